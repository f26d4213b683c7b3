//! A sidecar that answers by a script, and an entry that knows a few of them.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::{Duration, Instant};

use base::clock::SystemClock;
use base::ids::{Incarnation, RequestId, Tier};
use base::reason::{Executed, Refusal};
use base::settings::HumanDuration;
use base::stop::StopSignal;
use bundle::{Bundle, Class, Targets};
use bytes::Bytes;
use entry::bundle_sync::BundleSync;
use entry::error::RequestError;
use entry::relay::{ResponsePart, ResponseStream};
use entry::request::Request;
use entry::settings::{Routing, Settings, SidecarInfo};
use entry::state::State;
use policy::placement::PlacementMode;
use tarpc::context::Context;
use wire::{
    BackendRequest, CallHeader, CancelOutcome, Chunk, PullOutcome, PullRequest, Reply,
    ReserveOutcome, ReserveRequest, ResponseEnd, ServerLoad, Sidecar, StartOutcome, StartRequest,
};

/// Longest time that a test waits for anything.
const BOUND: Duration = Duration::from_secs(20);

/// How the fake answers a reservation.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) enum Reserving {
    Ready {
        token_us: u32,
    },
    /// It waits for ever, and says for how long.
    Busy {
        wait_us: u32,
    },
    Refuse(Refusal),
    Silent,
}

/// How the fake answers a start.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) enum Starting {
    Run,
    Lapsed,
    /// It runs, but the first answer is lost.
    ReplyLost,
    /// The first start gets no answer; then the sidecar has a new life.
    Reborn,
    /// The sidecar has a new life before the start comes.
    RebornBefore,
    /// No start ever gets an answer.
    Silent,
}

/// How a run goes on.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) enum Running {
    /// Two pieces and the end.
    Whole,
    /// Breaks off after so many pieces.
    Broken(u32, Executed),
    /// The first pull gets no answer.
    PullLost,
}

/// What the fake does.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Script {
    pub(crate) reserving: Reserving,
    pub(crate) starting: Starting,
    pub(crate) running: Running,
    pub(crate) draining: bool,
}

impl Default for Script {
    fn default() -> Self {
        Self {
            reserving: Reserving::Ready { token_us: 3000 },
            starting: Starting::Run,
            running: Running::Whole,
            draining: false,
        }
    }
}

/// A scripted sidecar and what it saw.
pub(crate) struct Fake {
    pub(crate) script: Cell<Script>,
    pub(crate) reserves: Cell<u32>,
    pub(crate) offers: Cell<u32>,
    pub(crate) starts: Cell<u32>,
    pub(crate) pulls: Cell<u32>,
    /// A first poll is answered "waiting", and later ones once the other fake
    /// offered so many slots.
    pub(crate) busy: RefCell<Option<(Rc<Fake>, u32)>>,
    /// A reservation is answered once the other fake was asked so often.
    pub(crate) after: RefCell<Option<(Rc<Fake>, u32)>>,
    pub(crate) cancels: RefCell<Vec<RequestId>>,
    incarnation: Cell<u64>,
    /// The word that marks this fake's pieces.
    pub(crate) name: &'static str,
}

#[derive(Clone)]
pub(crate) struct Service(pub(crate) Rc<Fake>);

impl Fake {
    pub(crate) fn new(name: &'static str, script: Script) -> Rc<Self> {
        Rc::new(Self {
            script: Cell::new(script),
            reserves: Cell::default(),
            offers: Cell::default(),
            starts: Cell::default(),
            pulls: Cell::default(),
            busy: RefCell::default(),
            after: RefCell::default(),
            cancels: RefCell::default(),
            incarnation: Cell::new(1),
            name,
        })
    }

    fn reply<T>(&self, body: T) -> Reply<T> {
        let busy = match self.script.get().reserving {
            Reserving::Busy { wait_us } => Some(wait_us),
            _ => self.busy.borrow().as_ref().map(|_| 2_000_000),
        };
        let load = ServerLoad {
            slots: 8,
            running: if busy.is_some() { 8 } else { 0 },
            wait_us: busy.unwrap_or(0),
            token_us: 3000,
            ttft_us: 3000,
            draining: self.script.get().draining,
            ..ServerLoad::default()
        };
        Reply {
            sequence: base::ids::BundleSequence::default(),
            incarnation: Incarnation(self.incarnation.get()),
            load,
            body,
        }
    }

    fn piece(&self, number: u32) -> Chunk {
        Chunk {
            tokens: 1,
            data: Bytes::from(format!("{}{number} ", self.name)),
        }
    }
}

/// Waits until the other fake was asked often enough.
async fn asked(other: &RefCell<Option<(Rc<Fake>, u32)>>) {
    let Some((fake, times)) = other.borrow().clone() else {
        return;
    };
    while fake.reserves.get() < times {
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
}

fn count(cell: &Cell<u32>) -> u32 {
    cell.set(cell.get() + 1);
    cell.get()
}

impl Sidecar for Service {
    async fn reserve(self, _: Context, _: CallHeader, _: ReserveRequest) -> Reply<ReserveOutcome> {
        let fake = self.0;
        let nth = count(&fake.reserves);
        asked(&fake.after).await;
        if fake.busy.borrow().is_some() && nth == 1 {
            return fake.reply(ReserveOutcome::Waiting {
                estimate_us: 2_000_000,
            });
        }
        let busy = fake.busy.borrow().clone();
        if let Some((other, times)) = busy {
            while other.offers.get() < times {
                tokio::time::sleep(Duration::from_millis(1)).await;
            }
            // Lets the other's offer come first; the verdict is the same if
            // it does not.
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
        match fake.script.get().reserving {
            Reserving::Busy { wait_us } => {
                if nth > 1 {
                    std::future::pending::<()>().await;
                }
                fake.reply(ReserveOutcome::Waiting {
                    estimate_us: u64::from(wait_us),
                })
            }
            Reserving::Silent => std::future::pending().await,
            Reserving::Refuse(reason) => fake.reply(ReserveOutcome::Refused {
                reason,
                retry_after_ms: 7000,
            }),
            Reserving::Ready { token_us } => {
                count(&fake.offers);
                fake.reply(ReserveOutcome::Ready {
                    lease_ms: 250,
                    ttft_us: token_us,
                    token_us,
                    cached_tokens: 0,
                })
            }
        }
    }

    async fn start(self, _: Context, _: CallHeader, _: StartRequest) -> Reply<StartOutcome> {
        let fake = self.0;
        let nth = count(&fake.starts);
        match (fake.script.get().starting, nth) {
            (Starting::Silent, _) | (Starting::ReplyLost | Starting::Reborn, 1) => {
                std::future::pending().await
            }
            (Starting::Run | Starting::ReplyLost, _) => fake.reply(StartOutcome::Running),
            (Starting::Lapsed, _) => fake.reply(StartOutcome::ReservationExpired),
            (Starting::Reborn | Starting::RebornBefore, _) => {
                fake.incarnation.set(2);
                fake.reply(StartOutcome::OtherIncarnation)
            }
        }
    }

    async fn pull(self, _: Context, _: CallHeader, ask: PullRequest) -> Reply<PullOutcome> {
        let fake = self.0;
        let nth = count(&fake.pulls);
        let running = fake.script.get().running;
        if running == Running::PullLost && nth == 1 {
            std::future::pending::<()>().await;
        }
        let (pieces, end) = match running {
            Running::Whole | Running::PullLost => {
                let end = ResponseEnd::Complete {
                    chunk_count: 2,
                    status: 200,
                    finish_reason: "stop".to_owned(),
                    cached_tokens: 0,
                };
                (ask.from..2, end)
            }
            Running::Broken(after, ran) => {
                let reason = Refusal::BackendFailed;
                (ask.from..after, ResponseEnd::Interrupted { reason, ran })
            }
        };
        // The pieces come before the end, as they would from an engine.
        let end = pieces.is_empty().then_some(end);
        fake.reply(PullOutcome::Chunks {
            first: ask.from,
            chunks: pieces.map(|n| fake.piece(n)).collect(),
            end,
        })
    }

    async fn cancel(self, _: Context, _: CallHeader, ticket: RequestId) -> Reply<CancelOutcome> {
        self.0.cancels.borrow_mut().push(ticket);
        if self.0.script.get().starting == Starting::Silent {
            return std::future::pending().await;
        }
        self.0.reply(CancelOutcome::NeverStarted)
    }

    async fn offer_bundle(self, _: Context, _: CallHeader, _: Bytes) -> Reply<bool> {
        self.0.reply(false)
    }

    async fn fetch_bundle(self, _: Context, _: CallHeader) -> Reply<Option<Bytes>> {
        self.0.reply(None)
    }
}

/// An entry in zone `a` that knows the given fakes, the first in its zone, and
/// asks `fan` of them at once. Asked one by one, the first comes first.
pub(crate) async fn entry(fakes: &[Rc<Fake>], fan: usize) -> Rc<State> {
    entry_by(fakes, fan, quick(PlacementMode::LateBinding)).await
}

/// An entry that gives sidecars more time than a busy machine may take from
/// them, and places by the given mode. For tests in which none falls silent.
pub(crate) async fn unhurried(fakes: &[Rc<Fake>], fan: usize, mode: PlacementMode) -> Rc<State> {
    let routing = Routing {
        reply_margin: HumanDuration::secs(10),
        connect_timeout: HumanDuration::secs(10),
        ..quick(mode)
    };
    entry_by(fakes, fan, routing).await
}

/// An entry that routes by the given settings.
async fn entry_by(fakes: &[Rc<Fake>], fan: usize, routing: Routing) -> Rc<State> {
    let mut sidecars = Vec::new();
    for (i, fake) in fakes.iter().enumerate() {
        let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
        sidecars.push(SidecarInfo {
            name: fake.name.to_owned(),
            addr: listener.local_addr().unwrap(),
            zone: if i == 0 { "a" } else { "b" }.to_owned(),
            serves: "model".to_owned(),
        });
        let service = Service(Rc::clone(fake));
        actix_rt::spawn(wire::serve::serve(listener, service, StopSignal::new()));
    }
    state_by(sidecars, fan, routing)
}

/// An entry that knows the given sidecars.
pub(crate) fn state(sidecars: Vec<SidecarInfo>, fan: usize, mode: PlacementMode) -> Rc<State> {
    state_by(sidecars, fan, quick(mode))
}

fn state_by(sidecars: Vec<SidecarInfo>, fan: usize, routing: Routing) -> Rc<State> {
    let settings = serde_json::json!({
        "name": "entry", "zone": "a", "listen": "127.0.0.1:0", "seed": 1,
    });
    let mut settings: Settings = serde_json::from_value(settings).unwrap();
    settings.sidecars = sidecars;
    settings.fan_out = fan;
    settings.routing = routing;
    State::new(
        settings,
        BundleSync::fixed(Bundle::default()),
        Rc::new(SystemClock),
    )
}

/// Timing under which a silent connection shows soon.
fn quick(mode: PlacementMode) -> Routing {
    Routing {
        poll_hold: HumanDuration::ms(100),
        reply_margin: HumanDuration::ms(300),
        unreachable_timeout: HumanDuration::secs(1),
        grace_period: HumanDuration::secs(5),
        mode,
        ..Routing::default()
    }
}

pub(crate) fn request(stream: bool, repeatable: bool) -> Request {
    let targets = Targets {
        first_token: HumanDuration::secs(10),
        token_gap: HumanDuration::ms(43),
        full_answer: HumanDuration::secs(20),
    };
    Request {
        ticket: RequestId::random(),
        workspace: "w".to_owned(),
        weight: 1,
        class: "class".to_owned(),
        class_spec: Class {
            tier: Tier(0),
            targets,
            model: "model".to_owned(),
        },
        target: "model".to_owned(),
        arrived: Instant::now(),
        stream,
        repeatable,
        preemptions: 0,
        idempotency_key: None,
        claim: None,
        prompt_tokens: 10,
        max_tokens: 2,
        prefix_hash: 0,
        work: BackendRequest::Completion {
            body: Bytes::from_static(b"{}"),
            chat: true,
        },
    }
}

/// What one caller gets.
#[derive(Debug, PartialEq)]
pub(crate) struct Got {
    pub(crate) text: String,
    pub(crate) end: Result<(), (Refusal, Executed)>,
}

impl Got {
    pub(crate) fn whole(text: &str) -> Self {
        Self {
            text: text.to_owned(),
            end: Ok(()),
        }
    }

    pub(crate) fn refused(text: &str, reason: Refusal, ran: Executed) -> Self {
        Self {
            text: text.to_owned(),
            end: Err((reason, ran)),
        }
    }
}

/// Makes one request and takes in its answer.
pub(crate) async fn call(state: &Rc<State>, request: Request) -> Got {
    let mut text = String::new();
    let taken = tokio::time::timeout(BOUND, take(state, request, &mut text)).await;
    let end = taken
        .expect("the request ends")
        .map_err(|r| (r.reason, r.ran));
    Got { text, end }
}

async fn take(state: &Rc<State>, request: Request, text: &mut String) -> Result<(), RequestError> {
    let granted = entry::dispatch::grant(state, &request).await?;
    let mut answer = ResponseStream::new(Rc::clone(state), request, granted);
    loop {
        let (pieces, whole) = match answer.next_part().await? {
            ResponsePart::Chunks(pieces) => (pieces, false),
            ResponsePart::Complete { chunks, .. } => (chunks, true),
        };
        for piece in pieces {
            text.push_str(std::str::from_utf8(&piece.data).unwrap());
        }
        if whole {
            return Ok(());
        }
    }
}
