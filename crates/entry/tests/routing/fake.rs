//! A fake sidecar that replies according to a script, and entries that know some
//! of them.

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

/// Timeout of one request in a test.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(20);

/// How the fake replies to a reservation.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) enum ReserveScript {
    Ready {
        token_us: u32,
    },
    /// Never offers a slot, and reports this wait.
    Busy {
        wait_us: u32,
    },
    Refuse(Refusal),
    Silent,
    /// The first reservations, of this number, get no reply.
    SilentUntil(u32),
}

/// How the fake replies to a start.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) enum StartScript {
    Run,
    Expired,
    /// The reservations of the first starts, of this number, have expired.
    ExpiredUntil(u32),
    /// The request runs, but the first replies, of this number, are lost.
    RepliesLost(u32),
    /// The first start gets no reply; then the sidecar restarts.
    RestartAfter,
    /// The sidecar restarts before the first start arrives.
    RestartBefore,
    /// No start gets a reply.
    Silent,
}

/// How a run proceeds.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) enum RunScript {
    /// Two chunks and the end.
    Complete,
    /// Is interrupted after this number of chunks.
    Interrupted(u32, Executed),
    /// The first pulls, of this number, get no reply.
    PullsLost(u32),
}

/// The behavior of a fake.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Script {
    pub(crate) reserving: ReserveScript,
    pub(crate) starting: StartScript,
    pub(crate) running: RunScript,
    pub(crate) draining: bool,
}

impl Default for Script {
    fn default() -> Self {
        Self {
            reserving: ReserveScript::Ready { token_us: 3000 },
            starting: StartScript::Run,
            running: RunScript::Complete,
            draining: false,
        }
    }
}

/// A scripted sidecar and the calls that it received.
pub(crate) struct FakeSidecar {
    pub(crate) script: Cell<Script>,
    pub(crate) reserves: Cell<u32>,
    pub(crate) offers: Cell<u32>,
    pub(crate) starts: Cell<u32>,
    pub(crate) pulls: Cell<u32>,
    /// If set, the first reservation is answered with "waiting", and later ones
    /// after the other fake has offered this number of slots.
    pub(crate) busy_until: RefCell<Option<(Rc<FakeSidecar>, u32)>>,
    /// If set, a reservation is answered after the other fake has received this
    /// number of reservations.
    pub(crate) reserve_after: RefCell<Option<(Rc<FakeSidecar>, u32)>>,
    pub(crate) cancels: RefCell<Vec<RequestId>>,
    incarnation: Cell<u64>,
    /// The name, which is also the text of the fake's chunks.
    pub(crate) name: &'static str,
}

#[derive(Clone)]
pub(crate) struct Service(pub(crate) Rc<FakeSidecar>);

impl FakeSidecar {
    pub(crate) fn new(name: &'static str, script: Script) -> Rc<Self> {
        Rc::new(Self {
            script: Cell::new(script),
            reserves: Cell::default(),
            offers: Cell::default(),
            starts: Cell::default(),
            pulls: Cell::default(),
            busy_until: RefCell::default(),
            reserve_after: RefCell::default(),
            cancels: RefCell::default(),
            incarnation: Cell::new(1),
            name,
        })
    }

    fn reply<T>(&self, body: T) -> Reply<T> {
        let busy = match self.script.get().reserving {
            ReserveScript::Busy { wait_us } => Some(wait_us),
            _ => self.busy_until.borrow().as_ref().map(|_| 2_000_000),
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

    fn offer(&self, token_us: u32) -> Reply<ReserveOutcome> {
        count(&self.offers);
        self.reply(ReserveOutcome::Ready {
            lease_ms: 250,
            ttft_us: token_us,
            token_us,
            cached_tokens: 0,
        })
    }

    fn chunk(&self, number: u32) -> Chunk {
        Chunk {
            tokens: 1,
            data: Bytes::from(format!("{}{number} ", self.name)),
        }
    }
}

/// Waits until the other fake has received the given number of reservations.
async fn wait_for_reservations(other: &RefCell<Option<(Rc<FakeSidecar>, u32)>>) {
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
        let call_number = count(&fake.reserves);
        wait_for_reservations(&fake.reserve_after).await;
        if fake.busy_until.borrow().is_some() && call_number == 1 {
            return fake.reply(ReserveOutcome::Waiting {
                estimate_us: 2_000_000,
            });
        }
        let busy = fake.busy_until.borrow().clone();
        if let Some((other, times)) = busy {
            while other.offers.get() < times {
                tokio::time::sleep(Duration::from_millis(1)).await;
            }
            // Lets the offer of the other fake arrive first. The result is the
            // same if it does not.
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
        match fake.script.get().reserving {
            ReserveScript::Busy { wait_us } => {
                if call_number > 1 {
                    std::future::pending::<()>().await;
                }
                fake.reply(ReserveOutcome::Waiting {
                    estimate_us: u64::from(wait_us),
                })
            }
            ReserveScript::Silent => std::future::pending().await,
            ReserveScript::SilentUntil(number) if call_number <= number => {
                std::future::pending().await
            }
            ReserveScript::SilentUntil(_) => fake.offer(3000),
            ReserveScript::Refuse(reason) => fake.reply(ReserveOutcome::Refused {
                reason,
                retry_after_ms: 7000,
            }),
            ReserveScript::Ready { token_us } => fake.offer(token_us),
        }
    }

    async fn start(self, _: Context, _: CallHeader, _: StartRequest) -> Reply<StartOutcome> {
        let fake = self.0;
        let call_number = count(&fake.starts);
        match (fake.script.get().starting, call_number) {
            (StartScript::Silent, _) | (StartScript::RestartAfter, 1) => {
                std::future::pending().await
            }
            (StartScript::RepliesLost(number), call) if call <= number => {
                std::future::pending().await
            }
            (StartScript::ExpiredUntil(number), call) if call <= number => {
                fake.reply(StartOutcome::ReservationExpired)
            }
            (StartScript::Run | StartScript::RepliesLost(_) | StartScript::ExpiredUntil(_), _) => {
                fake.reply(StartOutcome::Running)
            }
            (StartScript::Expired, _) => fake.reply(StartOutcome::ReservationExpired),
            (StartScript::RestartAfter | StartScript::RestartBefore, _) => {
                fake.incarnation.set(2);
                fake.reply(StartOutcome::OtherIncarnation)
            }
        }
    }

    async fn pull(self, _: Context, _: CallHeader, request: PullRequest) -> Reply<PullOutcome> {
        let fake = self.0;
        let call_number = count(&fake.pulls);
        let running = fake.script.get().running;
        if matches!(running, RunScript::PullsLost(number) if call_number <= number) {
            std::future::pending::<()>().await;
        }
        let (chunks, end) = match running {
            RunScript::Complete | RunScript::PullsLost(_) => {
                let end = ResponseEnd::Complete {
                    chunk_count: 2,
                    status: 200,
                    finish_reason: "stop".to_owned(),
                    cached_tokens: 0,
                };
                (request.from..2, end)
            }
            RunScript::Interrupted(after, ran) => {
                let reason = Refusal::BackendFailed;
                (
                    request.from..after,
                    ResponseEnd::Interrupted { reason, ran },
                )
            }
        };
        // The end is sent in a separate reply after the chunks, as by an engine.
        let end = chunks.is_empty().then_some(end);
        fake.reply(PullOutcome::Chunks {
            first: request.from,
            chunks: chunks.map(|n| fake.chunk(n)).collect(),
            end,
        })
    }

    async fn cancel(self, _: Context, _: CallHeader, ticket: RequestId) -> Reply<CancelOutcome> {
        self.0.cancels.borrow_mut().push(ticket);
        if self.0.script.get().starting == StartScript::Silent {
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

/// An entry in zone `a` that knows the given fakes and reserves at `fan_out` of
/// them at once. The first fake is in the entry's zone, so that a fan-out of 1
/// starts with it.
pub(crate) async fn entry(fakes: &[Rc<FakeSidecar>], fan_out: usize) -> Rc<State> {
    entry_with(fakes, fan_out, short_timeouts(PlacementMode::LateBinding)).await
}

/// An entry with the given placement mode and timeouts that are long enough for a
/// busy machine, for tests in which every call gets a reply.
pub(crate) async fn generous_entry(
    fakes: &[Rc<FakeSidecar>],
    fan_out: usize,
    mode: PlacementMode,
) -> Rc<State> {
    let routing = Routing {
        reply_margin: HumanDuration::secs(10),
        connect_timeout: HumanDuration::secs(10),
        ..short_timeouts(mode)
    };
    entry_with(fakes, fan_out, routing).await
}

/// An entry that detects an unresponsive connection soon and keeps pulling from an
/// unreachable sidecar for longer than a busy machine takes.
pub(crate) async fn patient_entry(fakes: &[Rc<FakeSidecar>], fan_out: usize) -> Rc<State> {
    let routing = Routing {
        unreachable_timeout: HumanDuration::secs(15),
        ..short_timeouts(PlacementMode::LateBinding)
    };
    entry_with(fakes, fan_out, routing).await
}

/// An entry with the given routing settings.
async fn entry_with(fakes: &[Rc<FakeSidecar>], fan_out: usize, routing: Routing) -> Rc<State> {
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
    state_with(sidecars, fan_out, routing)
}

/// An entry that knows the given sidecars.
pub(crate) fn entry_state(
    sidecars: Vec<SidecarInfo>,
    fan_out: usize,
    mode: PlacementMode,
) -> Rc<State> {
    state_with(sidecars, fan_out, short_timeouts(mode))
}

fn state_with(sidecars: Vec<SidecarInfo>, fan_out: usize, routing: Routing) -> Rc<State> {
    let settings = serde_json::json!({
        "name": "entry", "zone": "a", "listen": "127.0.0.1:0", "seed": 1,
    });
    let mut settings: Settings = serde_json::from_value(settings).unwrap();
    settings.sidecars = sidecars;
    settings.fan_out = fan_out;
    settings.routing = routing;
    State::new(
        settings,
        BundleSync::fixed(Bundle::default()),
        Rc::new(SystemClock),
    )
}

/// Timeouts that are short enough to detect an unresponsive connection soon.
fn short_timeouts(mode: PlacementMode) -> Routing {
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

/// The answer that a caller receives.
#[derive(Debug, PartialEq)]
pub(crate) struct CallResult {
    pub(crate) text: String,
    pub(crate) end: Result<(), (Refusal, Executed)>,
}

impl CallResult {
    pub(crate) fn complete(text: &str) -> Self {
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

/// Makes one request and collects its answer.
pub(crate) async fn call(state: &Rc<State>, request: Request) -> CallResult {
    let mut text = String::new();
    let collected = tokio::time::timeout(REQUEST_TIMEOUT, collect(state, request, &mut text)).await;
    let end = collected
        .expect("the request ends")
        .map_err(|r| (r.reason, r.ran));
    CallResult { text, end }
}

async fn collect(
    state: &Rc<State>,
    request: Request,
    text: &mut String,
) -> Result<(), RequestError> {
    let granted = entry::dispatch::grant(state, &request).await?;
    let mut answer = ResponseStream::new(Rc::clone(state), request, granted);
    loop {
        let (chunks, complete) = match answer.next_part().await? {
            ResponsePart::Chunks(chunks) => (chunks, false),
            ResponsePart::Complete { chunks, .. } => (chunks, true),
        };
        for chunk in chunks {
            text.push_str(std::str::from_utf8(&chunk.data).unwrap());
        }
        if complete {
            return Ok(());
        }
    }
}
