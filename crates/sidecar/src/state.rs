//! The tickets of a sidecar and their states.
//!
//! - `ticket`: one ticket and where it stands.
//! - `answer`: an answer in the making.
//! - `drain`: stopping without cutting anything off.
//! - `delivery`: taking answers in and handing them out.
//! - `upkeep`: handing slots out, and what falls due with time.
//! - `tombs`: tickets that left without having started.

mod delivery;
mod drain;
mod maintenance;
mod request;
mod response;
mod tombstones;

use std::cell::{Cell, RefCell};
use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap, VecDeque};
use std::rc::Rc;
use std::time::{Duration, Instant};

use base::clock::Clock;
use base::ids::{Incarnation, RequestId};
use base::reason::{Executed, Refusal};
use clients::engine::Engine;
use clients::plain::Plain;
use policy::Queue;
use policy::caches::CacheMap;
use policy::queue::{Admission, QueueRequest, Rejection};
use tokio::sync::Notify;
use wire::{
    CancelOutcome, Reply, ReserveOutcome, ReserveRequest, ResponseEnd, ServerLoad, StartOutcome,
    StartRequest,
};

use crate::bundle_sync::BundleSync;
use crate::settings::{Backend, Settings};
use crate::{metrics, run};
pub use drain::DrainOutcome;
pub use request::Request;
use request::{Phase, Removal};
use response::ResponseBuffer;
use tombstones::Tombstones;

/// Longest time that a call is held, whatever it asks for.
pub const MAX_CALL_WAIT: Duration = Duration::from_secs(5);

/// Everything that a sidecar knows.
pub struct State {
    /// What the operators set.
    pub settings: Settings,
    /// Where the time comes from.
    pub clock: Rc<dyn Clock>,
    /// This life of the sidecar.
    pub incarnation: Incarnation,
    /// The bundle in force.
    pub bundle_sync: BundleSync,
    /// The backend server.
    pub backend: BackendClient,
    /// What its prefix cache is believed to hold.
    pub prefix_cache: RefCell<CacheMap>,
    /// Who waits for a slot, holds one or runs.
    queue: RefCell<Queue>,
    /// Tickets that wait, hold a slot or started.
    tickets: RefCell<HashMap<RequestId, Rc<Request>>>,
    /// Tickets that left without having started.
    tombstones: RefCell<Tombstones>,
    /// When to look at a ticket again: holds that lapse, answers to forget.
    timers: RefCell<BinaryHeap<Reverse<(Instant, RequestId)>>>,
    /// Tickets whose answers ended, the first to end first.
    ended: RefCell<VecDeque<RequestId>>,
    /// Bytes of all kept answers.
    retained_bytes: Cell<usize>,
    /// Ended answers whose entry has not got the end yet.
    undelivered_ends: Cell<usize>,
    /// When an entry was last handed an answer's end.
    last_delivery: Cell<Option<Instant>>,
    /// Whether no new requests are taken.
    draining: Cell<bool>,
    /// Whether the backend server cannot be reached.
    failed: Cell<bool>,
    /// Wakes who probes the backend server.
    pub(crate) backend_failure: Notify,
}

/// The client of the backend server.
pub enum BackendClient {
    /// A model engine.
    Engine(Engine),
    /// A plain service.
    Plain(Plain),
}

impl State {
    /// Makes the state of a sidecar that just started.
    #[must_use]
    pub fn new(settings: Settings, clock: Rc<dyn Clock>) -> Rc<Self> {
        let backend = match &settings.backend {
            Backend::Engine { addr, .. } => BackendClient::Engine(Engine::new(*addr)),
            Backend::Plain { addr, timeout, .. } => {
                BackendClient::Plain(Plain::new(*addr, timeout.0))
            }
        };
        let queue = Queue::new(settings.queue, settings.backend.slots(), clock.now());
        Rc::new(Self {
            queue: RefCell::new(queue),
            bundle_sync: BundleSync::new(settings.follow.as_ref(), Rc::clone(&clock)),
            settings,
            clock,
            incarnation: Incarnation::random(),
            backend,
            prefix_cache: RefCell::default(),
            tickets: RefCell::default(),
            tombstones: RefCell::default(),
            timers: RefCell::default(),
            ended: RefCell::default(),
            retained_bytes: Cell::new(0),
            undelivered_ends: Cell::new(0),
            last_delivery: Cell::new(None),
            draining: Cell::new(false),
            failed: Cell::new(false),
            backend_failure: Notify::new(),
        })
    }

    /// Wraps an answer with what every answer tells.
    pub fn reply<T>(&self, body: T) -> Reply<T> {
        Reply {
            sequence: self.bundle_sync.active.sequence(),
            incarnation: self.incarnation,
            load: self.load(),
            body,
        }
    }

    /// How busy the backend server is.
    pub fn load(&self) -> ServerLoad {
        let standing = self.queue.borrow().status(self.clock.now());
        ServerLoad {
            running: saturating_u32(standing.busy as u64),
            slots: saturating_u32(standing.slots as u64),
            waiting: saturating_u32(standing.waiting as u64),
            token_us: saturating_u32(standing.token_us),
            ttft_us: saturating_u32(standing.first_us),
            wait_us: saturating_u32(standing.wait_us),
            draining: self.closed_reason().is_some(),
        }
    }

    /// Finds a ticket that waits, holds a slot or started.
    pub fn find(&self, ticket: RequestId) -> Option<Rc<Request>> {
        self.tickets.borrow().get(&ticket).cloned()
    }

    /// Queues a request that is not known yet, and tells where it stands; the
    /// entry is there while that may change.
    pub fn reserve(&self, ask: &ReserveRequest) -> (Option<Rc<Request>>, ReserveOutcome) {
        if let Some(entry) = self.find(ask.ticket) {
            self.renew_lease(&entry, ask.wait_ms);
            let stands = self.reservation_status(&entry, ask.prompt_tokens);
            return (Some(entry), stands);
        }
        let now = self.clock.now();
        if let Some(left) = self.earlier_rejection(now, ask.ticket) {
            return (None, refused_outcome(left));
        }

        let lease = now + self.lease_duration(ask.wait_ms);
        let entry = Rc::new(Request::new(ask.ticket, ask.tier, lease));
        let offered = match self.closed_reason() {
            Some(verdict) => Admission::Refused(verdict),
            None => self.queue.borrow_mut().offer(now, queue_request(ask, now)),
        };
        if let Admission::Refused(verdict) = offered {
            self.remove_unstarted(now, &entry, Removal::Refused(verdict));
            return (None, refused_outcome(verdict));
        }

        let known = Rc::clone(&entry);
        self.tickets.borrow_mut().insert(ask.ticket, known);
        self.grant_slots();
        let stands = self.reservation_status(&entry, ask.prompt_tokens);
        (Some(entry), stands)
    }

    /// Where a ticket stands, as an answer to `reserve`.
    pub fn reservation_status(&self, entry: &Request, prompt: u32) -> ReserveOutcome {
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
                    ttft_us: saturating_u32(queue.expected_first_us(prompt)),
                    token_us: saturating_u32(queue.status(now).token_us),
                    cached_tokens: 0,
                }
            }
            Phase::Started(_) => ReserveOutcome::AlreadyStarted,
            Phase::Removed(Removal::Refused(verdict)) => refused_outcome(*verdict),
            Phase::Removed(Removal::Cancelled) => refused_outcome(caller_gone()),
            // Asking again queues it anew.
            Phase::Removed(Removal::Expired) => ReserveOutcome::Waiting { estimate_us: 0 },
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
            let left = self.tombstones.borrow().get(order.ticket);
            return match left {
                Some((Removal::Cancelled, _)) => StartOutcome::Cancelled,
                // A slot that lapsed may be another's by now. Its entry asks
                // again, here or elsewhere; nothing has run.
                _ => StartOutcome::ReservationExpired,
            };
        };

        let guaranteed = match &*entry.phase.borrow() {
            Phase::Started(_) => return StartOutcome::Running,
            Phase::Queued | Phase::Removed(_) => return StartOutcome::ReservationExpired,
            Phase::Held { guaranteed, .. } => *guaranteed,
        };
        let now = self.clock.now();
        self.queue.borrow_mut().start(now, order.ticket);
        entry.set_phase(Phase::Started(ResponseBuffer::default()));
        self.renew_lease(&entry, 0);
        self.schedule_check(entry.lease.get(), order.ticket);
        metrics::started(entry.tier, guaranteed);

        actix_rt::spawn(run::run(Rc::clone(self), entry, order.work));
        StartOutcome::Running
    }

    /// Ends a ticket whatever its state. One that never started never will.
    pub fn cancel(&self, ticket: RequestId) -> CancelOutcome {
        let now = self.clock.now();
        let Some(entry) = self.find(ticket) else {
            // Its reserve or start may still be on the way.
            self.tombstones
                .borrow_mut()
                .insert(now, ticket, Removal::Cancelled);
            return CancelOutcome::NeverStarted;
        };
        match &*entry.phase.borrow() {
            Phase::Started(ResponseBuffer { end: Some(_), .. }) => return CancelOutcome::Ended,
            Phase::Started(_) => {
                entry.request_stop(Refusal::CallerGone);
                return CancelOutcome::Started;
            }
            Phase::Queued | Phase::Held { .. } | Phase::Removed(_) => {}
        }

        self.queue.borrow_mut().cancel(now, ticket, false);
        self.remove_unstarted(now, &entry, Removal::Cancelled);
        self.grant_slots();
        CancelOutcome::NeverStarted
    }

    /// Whether nothing waits or runs and every answer has been handed out.
    pub fn is_idle(&self) -> bool {
        let queue = self.queue.borrow();
        queue.busy() == 0 && queue.waiting() == 0 && self.undelivered_ends.get() == 0
    }

    /// Tickets, tombstones and bytes that are kept, for measuring memory.
    pub fn tracked_sizes(&self) -> (usize, usize, usize) {
        let tickets = self.tickets.borrow().len();
        (
            tickets,
            self.tombstones.borrow().len(),
            self.retained_bytes.get(),
        )
    }

    /// Why a ticket that left is not queued again; `None` when it may be.
    fn earlier_rejection(&self, now: Instant, ticket: RequestId) -> Option<Rejection> {
        let (left, at) = self.tombstones.borrow().get(ticket)?;
        match left {
            Removal::Cancelled => return Some(caller_gone()),
            // A draining sidecar refuses for good; another refusal stands
            // until the time that it told.
            Removal::Refused(verdict) if verdict.reason == Refusal::Draining => {
                return Some(verdict);
            }
            Removal::Refused(verdict) if now < at + verdict.retry_after => return Some(verdict),
            Removal::Refused(_) | Removal::Expired => {}
        }
        self.tombstones.borrow_mut().remove(ticket);
        None
    }

    /// Lets a ticket go that never started.
    fn remove_unstarted(&self, now: Instant, entry: &Request, left: Removal) {
        match left {
            Removal::Refused(verdict) => metrics::refused(entry.tier, verdict.reason),
            Removal::Expired => metrics::lapsed(entry.tier),
            Removal::Cancelled => {}
        }
        self.tickets.borrow_mut().remove(&entry.ticket);
        self.tombstones.borrow_mut().insert(now, entry.ticket, left);
        entry.set_phase(Phase::Removed(left));
    }
}

fn queue_request(ask: &ReserveRequest, now: Instant) -> QueueRequest {
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
fn caller_gone() -> Rejection {
    Rejection {
        reason: Refusal::CallerGone,
        retry_after: Duration::ZERO,
    }
}

fn refused_outcome(verdict: Rejection) -> ReserveOutcome {
    ReserveOutcome::Refused {
        reason: verdict.reason,
        retry_after_ms: u32::try_from(verdict.retry_after.as_millis()).unwrap_or(u32::MAX),
    }
}

/// An end of an answer that is not whole.
#[must_use]
pub fn interrupted(reason: Refusal, ran: Executed) -> ResponseEnd {
    ResponseEnd::Interrupted { reason, ran }
}

fn saturating_u32(n: u64) -> u32 {
    u32::try_from(n).unwrap_or(u32::MAX)
}
