//! The tickets of a sidecar and their states.
//!
//! - `ticket`: one ticket and where it stands.
//! - `answer`: an answer in the making.
//! - `drain`: stopping without cutting anything off.
//! - `delivery`: taking answers in and handing them out.
//! - `upkeep`: handing slots out, and what falls due with time.
//! - `tombs`: tickets that left without having started.

mod answer;
mod delivery;
mod drain;
mod ticket;
mod tombs;
mod upkeep;

use std::cell::{Cell, RefCell};
use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap, VecDeque};
use std::rc::Rc;
use std::time::{Duration, Instant};

use base::clock::Clock;
use base::ids::{Incarnation, RequestId};
use base::reason::{Executed, Refusal};
use clients::engine::EngineClient;
use clients::plain::PlainClient;
use policy::Queue;
use policy::caches::CacheMap;
use policy::queue::{Admission, QueueRequest, Rejection};
use tokio::sync::Notify;
use wire::{
    CancelOutcome, Reply, ReserveOutcome, ReserveRequest, ResponseEnd, ServerLoad, StartOutcome,
    StartRequest,
};

use crate::settings::{Backend, Settings};
use crate::spread::Spread;
use crate::{meter, run};
use answer::Answer;
pub use drain::Drained;
pub use ticket::Entry;
use ticket::{Left, Phase};
use tombs::Tombs;

/// Longest time that a call is held, whatever it asks for.
pub const HOLD_LIMIT: Duration = Duration::from_secs(5);

/// Everything that a sidecar knows.
pub struct State {
    /// What the operators set.
    pub settings: Settings,
    /// Where the time comes from.
    pub clock: Rc<dyn Clock>,
    /// This life of the sidecar.
    pub incarnation: Incarnation,
    /// The bundle in force.
    pub spread: Spread,
    /// The backend server.
    pub backend: Client,
    /// What its prefix cache is believed to hold.
    pub caches: RefCell<CacheMap>,
    /// Who waits for a slot, holds one or runs.
    queue: RefCell<Queue>,
    /// Tickets that wait, hold a slot or started.
    tickets: RefCell<HashMap<RequestId, Rc<Entry>>>,
    /// Tickets that left without having started.
    tombs: RefCell<Tombs>,
    /// When to look at a ticket again: holds that lapse, answers to forget.
    timers: RefCell<BinaryHeap<Reverse<(Instant, RequestId)>>>,
    /// Tickets whose answers ended, the first to end first.
    ended: RefCell<VecDeque<RequestId>>,
    /// Bytes of all kept answers.
    kept: Cell<usize>,
    /// Ended answers whose entry has not got the end yet.
    untold: Cell<usize>,
    /// When an entry was last handed an answer's end.
    told_at: Cell<Option<Instant>>,
    /// Whether no new requests are taken.
    draining: Cell<bool>,
    /// Whether the backend server cannot be reached.
    failed: Cell<bool>,
    /// Wakes who probes the backend server.
    pub(crate) failure: Notify,
}

/// The client of the backend server.
pub enum Client {
    /// A model engine.
    Engine(EngineClient),
    /// A plain service.
    Plain(PlainClient),
}

impl State {
    /// Makes the state of a sidecar that just started.
    #[must_use]
    pub fn new(settings: Settings, clock: Rc<dyn Clock>) -> Rc<Self> {
        let backend = match &settings.backend {
            Backend::Engine { addr, .. } => Client::Engine(EngineClient::new(*addr)),
            Backend::Plain { addr, timeout, .. } => {
                Client::Plain(PlainClient::new(*addr, timeout.0))
            }
        };
        let queue = Queue::new(settings.queue, settings.backend.slots(), clock.now());
        Rc::new(Self {
            queue: RefCell::new(queue),
            spread: Spread::new(settings.follow.as_ref(), Rc::clone(&clock)),
            settings,
            clock,
            incarnation: Incarnation::random(),
            backend,
            caches: RefCell::default(),
            tickets: RefCell::default(),
            tombs: RefCell::default(),
            timers: RefCell::default(),
            ended: RefCell::default(),
            kept: Cell::new(0),
            untold: Cell::new(0),
            told_at: Cell::new(None),
            draining: Cell::new(false),
            failed: Cell::new(false),
            failure: Notify::new(),
        })
    }

    /// Wraps an answer with what every answer tells.
    pub fn reply<T>(&self, body: T) -> Reply<T> {
        Reply {
            sequence: self.spread.held.sequence(),
            incarnation: self.incarnation,
            load: self.load(),
            body,
        }
    }

    /// How busy the backend server is.
    pub fn load(&self) -> ServerLoad {
        let standing = self.queue.borrow().status(self.clock.now());
        ServerLoad {
            running: number(standing.busy as u64),
            slots: number(standing.slots as u64),
            waiting: number(standing.waiting as u64),
            token_us: number(standing.token_us),
            ttft_us: number(standing.first_us),
            wait_us: number(standing.wait_us),
            draining: self.closed().is_some(),
        }
    }

    /// Finds a ticket that waits, holds a slot or started.
    pub fn find(&self, ticket: RequestId) -> Option<Rc<Entry>> {
        self.tickets.borrow().get(&ticket).cloned()
    }

    /// Queues a request that is not known yet, and tells where it stands; the
    /// entry is there while that may change.
    pub fn reserve(&self, ask: &ReserveRequest) -> (Option<Rc<Entry>>, ReserveOutcome) {
        if let Some(entry) = self.find(ask.ticket) {
            self.renew(&entry, ask.wait_ms);
            let stands = self.stands(&entry, ask.prompt_tokens);
            return (Some(entry), stands);
        }
        let now = self.clock.now();
        if let Some(left) = self.left(now, ask.ticket) {
            return (None, refused(left));
        }

        let lease = now + self.lease(ask.wait_ms);
        let entry = Rc::new(Entry::new(ask.ticket, ask.tier, lease));
        let offered = match self.closed() {
            Some(verdict) => Admission::Refused(verdict),
            None => self.queue.borrow_mut().offer(now, queue_ask(ask, now)),
        };
        if let Admission::Refused(verdict) = offered {
            self.leave(now, &entry, Left::Refused(verdict));
            return (None, refused(verdict));
        }

        let known = Rc::clone(&entry);
        self.tickets.borrow_mut().insert(ask.ticket, known);
        self.advance();
        let stands = self.stands(&entry, ask.prompt_tokens);
        (Some(entry), stands)
    }

    /// Where a ticket stands, as an answer to `reserve`.
    pub fn stands(&self, entry: &Entry, prompt: u32) -> ReserveOutcome {
        let now = self.clock.now();
        match &*entry.phase.borrow() {
            Phase::Queued => {
                let estimate = self.queue.borrow().estimated_wait(now, entry.ticket);
                let estimate_us = u64::try_from(estimate.as_micros()).unwrap_or(u64::MAX);
                ReserveOutcome::Waiting { estimate_us }
            }
            Phase::Held { until, .. } => {
                let left = until.saturating_duration_since(now);
                let queue = self.queue.borrow();
                ReserveOutcome::Ready {
                    lease_ms: u32::try_from(left.as_millis()).unwrap_or(u32::MAX),
                    ttft_us: number(queue.expected_first_us(prompt)),
                    token_us: number(queue.status(now).token_us),
                    cached_tokens: 0,
                }
            }
            Phase::Started(_) => ReserveOutcome::AlreadyStarted,
            Phase::Gone(Left::Refused(verdict)) => refused(*verdict),
            Phase::Gone(Left::Cancelled) => refused(gone()),
            // Asking again queues it anew.
            Phase::Gone(Left::Lapsed) => ReserveOutcome::Waiting { estimate_us: 0 },
        }
    }

    /// Starts a ticket that holds a slot.
    pub fn start(self: &Rc<Self>, order: StartRequest) -> StartOutcome {
        // A start meant for an earlier life could run a request a second
        // time: what that life did with it is not known here.
        if order.incarnation != self.incarnation {
            return StartOutcome::OtherIncarnation;
        }
        let Some(entry) = self.find(order.ticket) else {
            let left = self.tombs.borrow().get(order.ticket);
            return match left {
                Some((Left::Cancelled, _)) => StartOutcome::Cancelled,
                // A slot that lapsed may be another's by now. Its entry asks
                // again, here or elsewhere; nothing has run.
                _ => StartOutcome::ReservationExpired,
            };
        };

        let guaranteed = match &*entry.phase.borrow() {
            Phase::Started(_) => return StartOutcome::Running,
            Phase::Queued | Phase::Gone(_) => return StartOutcome::ReservationExpired,
            Phase::Held { guaranteed, .. } => *guaranteed,
        };
        let now = self.clock.now();
        self.queue.borrow_mut().start(now, order.ticket);
        entry.set(Phase::Started(Answer::default()));
        self.renew(&entry, 0);
        self.remind(entry.lease.get(), order.ticket);
        meter::started(entry.tier, guaranteed);

        actix_rt::spawn(run::run(Rc::clone(self), entry, order.work));
        StartOutcome::Running
    }

    /// Ends a ticket whatever its state. One that never started never will.
    pub fn cancel(&self, ticket: RequestId) -> CancelOutcome {
        let now = self.clock.now();
        let Some(entry) = self.find(ticket) else {
            // Its reserve or start may still be on the way.
            self.tombs.borrow_mut().insert(now, ticket, Left::Cancelled);
            return CancelOutcome::NeverStarted;
        };
        match &*entry.phase.borrow() {
            Phase::Started(Answer { end: Some(_), .. }) => return CancelOutcome::Ended,
            Phase::Started(_) => {
                entry.halt(Refusal::CallerGone);
                return CancelOutcome::Started;
            }
            Phase::Queued | Phase::Held { .. } | Phase::Gone(_) => {}
        }

        self.queue.borrow_mut().cancel(now, ticket, false);
        self.leave(now, &entry, Left::Cancelled);
        self.advance();
        CancelOutcome::NeverStarted
    }

    /// Whether nothing waits or runs and every answer has been handed out.
    pub fn idle(&self) -> bool {
        let queue = self.queue.borrow();
        queue.busy() == 0 && queue.waiting() == 0 && self.untold.get() == 0
    }

    /// Tickets, tombstones and bytes that are kept, for measuring memory.
    pub fn sizes(&self) -> (usize, usize, usize) {
        let tickets = self.tickets.borrow().len();
        (tickets, self.tombs.borrow().len(), self.kept.get())
    }

    /// Why a ticket that left is not queued again; `None` when it may be.
    fn left(&self, now: Instant, ticket: RequestId) -> Option<Rejection> {
        let (left, at) = self.tombs.borrow().get(ticket)?;
        match left {
            Left::Cancelled => return Some(gone()),
            // A draining sidecar refuses for good; another refusal stands
            // until the time that it told.
            Left::Refused(verdict) if verdict.reason == Refusal::Draining => return Some(verdict),
            Left::Refused(verdict) if now < at + verdict.retry_after => return Some(verdict),
            Left::Refused(_) | Left::Lapsed => {}
        }
        self.tombs.borrow_mut().remove(ticket);
        None
    }

    /// Lets a ticket go that never started.
    fn leave(&self, now: Instant, entry: &Entry, left: Left) {
        match left {
            Left::Refused(verdict) => meter::refused(entry.tier, verdict.reason),
            Left::Lapsed => meter::lapsed(entry.tier),
            Left::Cancelled => {}
        }
        self.tickets.borrow_mut().remove(&entry.ticket);
        self.tombs.borrow_mut().insert(now, entry.ticket, left);
        entry.set(Phase::Gone(left));
    }
}

fn queue_ask(ask: &ReserveRequest, now: Instant) -> QueueRequest {
    QueueRequest {
        ticket: ask.ticket,
        class: Rc::from(ask.class.as_str()),
        workspace: Rc::from(ask.workspace.as_str()),
        weight: ask.weight,
        tier: ask.tier,
        first_deadline: now + Duration::from_micros(ask.ttft_budget_us),
        answer_deadline: now + Duration::from_micros(ask.total_budget_us),
        prompt_tokens: ask.prompt_tokens,
        max_tokens: ask.max_tokens,
        repeatable: ask.repeatable,
        preemptions: ask.preemptions,
    }
}

/// What a cancelled ticket is told.
fn gone() -> Rejection {
    Rejection {
        reason: Refusal::CallerGone,
        retry_after: Duration::ZERO,
    }
}

fn refused(verdict: Rejection) -> ReserveOutcome {
    ReserveOutcome::Refused {
        reason: verdict.reason,
        retry_after_ms: u32::try_from(verdict.retry_after.as_millis()).unwrap_or(u32::MAX),
    }
}

/// An end of an answer that is not whole.
#[must_use]
pub fn broken(reason: Refusal, ran: Executed) -> ResponseEnd {
    ResponseEnd::Interrupted { reason, ran }
}

fn number(n: u64) -> u32 {
    u32::try_from(n).unwrap_or(u32::MAX)
}
