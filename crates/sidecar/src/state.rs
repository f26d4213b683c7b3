//! The requests of a sidecar, by ticket, and their phases.
//!
//! - `request`: one request and its phase.
//! - `response`: the buffered response of a request.
//! - `drain`: graceful shutdown.
//! - `delivery`: buffering chunks and delivering them to entries.
//! - `maintenance`: granting slots and handling timeouts.
//! - `tombstones`: tickets that were removed before they started.

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

use crate::bundle_sync::BundleSync;
use crate::settings::{Backend, Settings};
use crate::{metrics, run};
pub use drain::DrainOutcome;
pub use request::Request;
use request::{Phase, Removal};
use response::ResponseBuffer;
use tombstones::Tombstones;

/// Upper bound on the long-poll wait of a call, whatever the caller requests.
pub const MAX_CALL_WAIT: Duration = Duration::from_secs(5);

/// The state of one sidecar, shared by its tasks.
pub struct State {
    /// The sidecar's settings.
    pub settings: Settings,
    /// The source of the current time.
    pub clock: Rc<dyn Clock>,
    /// Identifies this process; a restart gets another one.
    pub incarnation: Incarnation,
    /// The bundle in force and its updates.
    pub bundle_sync: BundleSync,
    /// The client of the backend server.
    pub backend: BackendClient,
    /// The blocks in the engine's prefix cache, as far as its events tell.
    pub prefix_cache: RefCell<CacheMap>,
    /// The requests that wait for a slot, hold one or run.
    queue: RefCell<Queue>,
    /// Requests that wait, hold a slot or have started.
    tickets: RefCell<HashMap<RequestId, Rc<Request>>>,
    /// Tickets that were removed before they started.
    tombstones: RefCell<Tombstones>,
    /// When to check a ticket again: expiring holds and leases, and responses
    /// whose retention ends.
    timers: RefCell<BinaryHeap<Reverse<(Instant, RequestId)>>>,
    /// Tickets whose responses ended, in the order in which they ended.
    ended: RefCell<VecDeque<RequestId>>,
    /// Total size of all buffered responses, in bytes.
    retained_bytes: Cell<usize>,
    /// Number of ended responses whose end has not been delivered yet.
    undelivered_ends: Cell<usize>,
    /// When the end of a response was last delivered.
    last_delivery: Cell<Option<Instant>>,
    /// When the last periodic sweep was due.
    last_tick: Cell<Option<Instant>>,
    /// Whether the sidecar drains and refuses new requests.
    draining: Cell<bool>,
    /// Whether the backend server is considered unreachable.
    failed: Cell<bool>,
    /// Wakes the health monitor when the backend server becomes unreachable.
    pub(crate) backend_failure: Notify,
}

/// The client of the backend server.
pub enum BackendClient {
    /// A model engine.
    Engine(EngineClient),
    /// A plain service.
    Plain(PlainClient),
}

impl State {
    /// Creates the state of a newly started sidecar.
    #[must_use]
    pub fn new(settings: Settings, clock: Rc<dyn Clock>) -> Rc<Self> {
        let backend = match &settings.backend {
            Backend::Engine { addr, .. } => BackendClient::Engine(EngineClient::new(*addr)),
            Backend::Plain { addr, timeout, .. } => {
                BackendClient::Plain(PlainClient::new(*addr, timeout.0))
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
            last_tick: Cell::new(None),
            draining: Cell::new(false),
            failed: Cell::new(false),
            backend_failure: Notify::new(),
        })
    }

    /// Wraps a reply body with the bundle sequence, incarnation and load that
    /// every reply carries.
    pub fn reply<T>(&self, body: T) -> Reply<T> {
        Reply {
            sequence: self.bundle_sync.active.sequence(),
            incarnation: self.incarnation,
            load: self.load(),
            body,
        }
    }

    /// The current load of the backend server.
    pub fn load(&self) -> ServerLoad {
        let status = self.queue.borrow().status(self.clock.now());
        ServerLoad {
            running: saturating_u32(status.busy as u64),
            slots: saturating_u32(status.slots as u64),
            waiting: saturating_u32(status.waiting as u64),
            token_us: saturating_u32(status.token_us),
            ttft_us: saturating_u32(status.first_us),
            wait_us: saturating_u32(status.wait_us),
            draining: self.closed_reason().is_some(),
        }
    }

    /// Finds a request that waits, holds a slot or has started.
    pub fn find(&self, ticket: RequestId) -> Option<Rc<Request>> {
        self.tickets.borrow().get(&ticket).cloned()
    }

    /// Queues a request unless it is already tracked, and returns its status.
    /// The request itself is returned unless it was refused.
    pub fn reserve(&self, reservation: &ReserveRequest) -> (Option<Rc<Request>>, ReserveOutcome) {
        if let Some(request) = self.find(reservation.ticket) {
            self.renew_lease(&request, reservation.wait_ms);
            let status = self.reservation_status(&request, reservation.prompt_tokens);
            return (Some(request), status);
        }
        let now = self.clock.now();
        if let Some(rejection) = self.earlier_rejection(now, reservation.ticket) {
            return (None, refused_outcome(rejection));
        }

        let lease = now + self.lease_duration(reservation.wait_ms);
        let request = Rc::new(Request::new(reservation.ticket, reservation.tier, lease));
        let admission = match self.closed_reason() {
            Some(rejection) => Admission::Refused(rejection),
            None => self
                .queue
                .borrow_mut()
                .offer(now, queue_request(reservation, now)),
        };
        if let Admission::Refused(rejection) = admission {
            self.remove_unstarted(now, &request, Removal::Refused(rejection));
            return (None, refused_outcome(rejection));
        }

        let tracked = Rc::clone(&request);
        self.tickets
            .borrow_mut()
            .insert(reservation.ticket, tracked);
        self.grant_slots();
        let status = self.reservation_status(&request, reservation.prompt_tokens);
        (Some(request), status)
    }

    /// The status of a request, as the outcome of `reserve`.
    pub fn reservation_status(&self, request: &Request, prompt_tokens: u32) -> ReserveOutcome {
        let now = self.clock.now();
        match &*request.phase.borrow() {
            Phase::Queued => {
                let estimate = self.queue.borrow().estimated_wait(now, request.ticket);
                let estimate_us = u64::try_from(estimate.as_micros()).unwrap_or(u64::MAX);
                ReserveOutcome::Waiting { estimate_us }
            }
            Phase::Held { until, .. } => {
                let remaining = until.saturating_duration_since(now);
                let queue = self.queue.borrow();
                ReserveOutcome::Ready {
                    lease_ms: u32::try_from(remaining.as_millis()).unwrap_or(u32::MAX),
                    ttft_us: saturating_u32(queue.expected_first_us(prompt_tokens)),
                    token_us: saturating_u32(queue.status(now).token_us),
                    cached_tokens: 0,
                }
            }
            Phase::Started(_) => ReserveOutcome::AlreadyStarted,
            Phase::Removed(Removal::Refused(rejection)) => refused_outcome(*rejection),
            Phase::Removed(Removal::Cancelled) => refused_outcome(caller_gone()),
            // The next `reserve` call queues it again.
            Phase::Removed(Removal::Expired) => ReserveOutcome::Waiting { estimate_us: 0 },
        }
    }

    /// Starts a request that holds a slot.
    pub fn start(self: &Rc<Self>, start: StartRequest) -> StartOutcome {
        // A start meant for an earlier incarnation could run a request a second
        // time, since this process does not know whether it already ran there.
        if start.incarnation != self.incarnation {
            return StartOutcome::OtherIncarnation;
        }
        let Some(request) = self.find(start.ticket) else {
            let tombstone = self.tombstones.borrow().get(start.ticket);
            return match tombstone {
                Some((Removal::Cancelled, _)) => StartOutcome::Cancelled,
                // The slot of an expired hold may have been granted to another
                // request. Nothing has run, so the entry can reserve again, here
                // or at another server.
                _ => StartOutcome::ReservationExpired,
            };
        };

        let guaranteed = match &*request.phase.borrow() {
            Phase::Started(_) => return StartOutcome::Running,
            Phase::Queued | Phase::Removed(_) => return StartOutcome::ReservationExpired,
            Phase::Held { guaranteed, .. } => *guaranteed,
        };
        let now = self.clock.now();
        self.queue.borrow_mut().start(now, start.ticket);
        request.set_phase(Phase::Started(ResponseBuffer::default()));
        self.renew_lease(&request, 0);
        self.schedule_check(request.lease.get(), start.ticket);
        metrics::started(request.tier, guaranteed);

        actix_rt::spawn(run::run(Rc::clone(self), request, start.work));
        StartOutcome::Running
    }

    /// Cancels a request in any phase. One that has not started will never
    /// start.
    pub fn cancel(&self, ticket: RequestId) -> CancelOutcome {
        let now = self.clock.now();
        let Some(request) = self.find(ticket) else {
            // Its `reserve` or `start` call may arrive after the cancel.
            self.tombstones
                .borrow_mut()
                .insert(now, ticket, Removal::Cancelled);
            return CancelOutcome::NeverStarted;
        };
        match &*request.phase.borrow() {
            Phase::Started(ResponseBuffer { end: Some(_), .. }) => return CancelOutcome::Ended,
            Phase::Started(_) => {
                request.request_stop(Refusal::CallerGone);
                return CancelOutcome::Started;
            }
            Phase::Queued | Phase::Held { .. } | Phase::Removed(_) => {}
        }

        self.queue.borrow_mut().cancel(now, ticket, false);
        self.remove_unstarted(now, &request, Removal::Cancelled);
        self.grant_slots();
        CancelOutcome::NeverStarted
    }

    /// Whether nothing waits or runs and the end of every response has been
    /// delivered.
    pub fn is_idle(&self) -> bool {
        let queue = self.queue.borrow();
        queue.busy() == 0 && queue.waiting() == 0 && self.undelivered_ends.get() == 0
    }

    /// The number of tracked requests, the number of tombstones, and the size
    /// of all buffered responses in bytes, for measuring memory.
    pub fn tracked_sizes(&self) -> (usize, usize, usize) {
        let tickets = self.tickets.borrow().len();
        (
            tickets,
            self.tombstones.borrow().len(),
            self.retained_bytes.get(),
        )
    }

    /// The rejection that still applies to a removed ticket; `None` when it may
    /// be queued again.
    fn earlier_rejection(&self, now: Instant, ticket: RequestId) -> Option<Rejection> {
        let (removal, removed_at) = self.tombstones.borrow().get(ticket)?;
        match removal {
            Removal::Cancelled => return Some(caller_gone()),
            // A rejection for draining is final; any other applies until its
            // `retry_after` has passed.
            Removal::Refused(rejection) if rejection.reason == Refusal::Draining => {
                return Some(rejection);
            }
            Removal::Refused(rejection) if now < removed_at + rejection.retry_after => {
                return Some(rejection);
            }
            Removal::Refused(_) | Removal::Expired => {}
        }
        self.tombstones.borrow_mut().remove(ticket);
        None
    }

    /// Removes a request that has not started and leaves a tombstone.
    fn remove_unstarted(&self, now: Instant, request: &Request, removal: Removal) {
        match removal {
            Removal::Refused(rejection) => metrics::refused(request.tier, rejection.reason),
            Removal::Expired => metrics::expired(request.tier),
            Removal::Cancelled => {}
        }
        self.tickets.borrow_mut().remove(&request.ticket);
        self.tombstones
            .borrow_mut()
            .insert(now, request.ticket, removal);
        request.set_phase(Phase::Removed(removal));
    }
}

fn queue_request(reservation: &ReserveRequest, now: Instant) -> QueueRequest {
    QueueRequest {
        ticket: reservation.ticket,
        class: Rc::from(reservation.class.as_str()),
        workspace: Rc::from(reservation.workspace.as_str()),
        weight: reservation.weight,
        tier: reservation.tier,
        first_deadline: now + Duration::from_micros(reservation.ttft_budget_us),
        answer_deadline: now + Duration::from_micros(reservation.total_budget_us),
        prompt_tokens: reservation.prompt_tokens,
        max_tokens: reservation.max_tokens,
        repeatable: reservation.repeatable,
        preemptions: reservation.preemptions,
    }
}

/// The rejection of a cancelled ticket.
fn caller_gone() -> Rejection {
    Rejection {
        reason: Refusal::CallerGone,
        retry_after: Duration::ZERO,
    }
}

fn refused_outcome(rejection: Rejection) -> ReserveOutcome {
    ReserveOutcome::Refused {
        reason: rejection.reason,
        retry_after_ms: u32::try_from(rejection.retry_after.as_millis()).unwrap_or(u32::MAX),
    }
}

/// The end of an incomplete response.
#[must_use]
pub fn interrupted(reason: Refusal, ran: Executed) -> ResponseEnd {
    ResponseEnd::Interrupted { reason, ran }
}

fn saturating_u32(value: u64) -> u32 {
    u32::try_from(value).unwrap_or(u32::MAX)
}
