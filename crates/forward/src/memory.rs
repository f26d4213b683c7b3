//! The bytes that the entry holds for callers and servers: bodies that are being read, bodies
//! of calls in progress, and answers. See docs/design/host-resources.md.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::{Duration, Instant};

use base::clock::Clock;
use base::descriptors;
use base::http::limits::Connections;
use base::logging::limiter::LineLimiter;
use base::memory::{Account, Held};
use policy::memory::{
    ANSWER_RESERVE, BodyProgress, CONNECTION_BYTES, HostLimits, STALLED_TIME, choose_victim,
};
use spdlog::warn;
use tokio::sync::Notify;

use crate::settings::Settings;

/// Capacity of a buffer when its first bytes arrive. Most bodies and answers are smaller.
const FIRST_CAPACITY: usize = 4 << 10;

/// Capacity up to which a buffer grows with the bytes that arrive.
const SMALL_CAPACITY: usize = 64 << 10;

/// The part of the memory, one in this many, that answers leave to bodies. Otherwise callers
/// that do not read large answers would keep out all others.
const BODY_PART: usize = 4;

/// The part of the memory, one in this many, that large bodies leave to small ones.
const SMALL_BODY_PART: usize = 16;

/// How often an answer that waits for memory looks for callers that have stopped reading.
const BLOCKED_CHECK_INTERVAL: Duration = Duration::from_millis(200);

/// The bytes that the entry holds for others, and how many it may hold.
#[derive(Debug)]
pub struct Memory {
    account: Account,
    /// The connections of callers.
    pub connections: Rc<Connections>,
    /// The bodies that are being read.
    bodies: RefCell<BTreeMap<u64, Rc<BodyState>>>,
    next_body: Cell<u64>,
    /// Bytes of the answer that uses those kept free for answers, if one does.
    reserve_taken: Rc<Cell<Option<usize>>>,
    log: LineLimiter,
}

#[derive(Debug)]
struct BodyState {
    /// Bytes held.
    taken: Cell<usize>,
    /// The declared length, or the bytes held if that is more.
    size: Cell<usize>,
    active_at: Cell<Instant>,
    /// Whether the body has to give way to others.
    refused: Cell<bool>,
    refusal: Notify,
}

impl BodyState {
    /// Whether others gain memory if the body is refused.
    fn may_give_way(&self) -> bool {
        self.taken.get() > 0 && !self.refused.get()
    }

    fn progress(&self, number: u64) -> BodyProgress {
        BodyProgress {
            number,
            size: self.size.get(),
            active_at: self.active_at.get(),
        }
    }
}

impl Memory {
    /// Creates the account that the settings allow.
    #[must_use]
    pub fn new(settings: &Settings, clock: Rc<dyn Clock>) -> Self {
        // The settings may name more than the process was given.
        let fds = settings.max_fds.unwrap_or(usize::MAX);
        let fds = fds.min(descriptors::soft_limit());
        let limits = HostLimits::new(settings.memory_mb, fds);
        let account = Account::new(limits.held_bytes);
        let connections =
            Connections::new(limits.connections, CONNECTION_BYTES, account.clone(), clock);
        Self {
            account,
            connections,
            bodies: RefCell::default(),
            next_body: Cell::new(0),
            reserve_taken: Rc::default(),
            log: LineLimiter::default(),
        }
    }

    /// Bytes that are held now.
    #[must_use]
    pub fn held(&self) -> usize {
        self.account.held()
    }

    /// Begins to read a body of which the caller has declared the length, if it has.
    pub(crate) fn begin_body(self: &Rc<Self>, now: Instant, declared: Option<usize>) -> BodyHold {
        let number = self.next_body.get();
        self.next_body.set(number + 1);
        let state = Rc::new(BodyState {
            taken: Cell::new(0),
            size: Cell::new(declared.unwrap_or(0)),
            active_at: Cell::new(now),
            refused: Cell::new(false),
            refusal: Notify::new(),
        });
        self.bodies.borrow_mut().insert(number, Rc::clone(&state));
        BodyHold {
            memory: Rc::clone(self),
            number,
            state,
            held: Some(self.account.hold()),
        }
    }

    /// Begins to read an answer.
    pub(crate) fn begin_answer(self: &Rc<Self>) -> AnswerHold {
        AnswerHold {
            memory: Rc::clone(self),
            held: self.account.hold(),
            reserve: None,
        }
    }

    /// Bytes that must stay free when more are held: the most that the answer which uses the
    /// reserve still needs.
    fn reserve(&self) -> usize {
        let taken = self.reserve_taken.get().unwrap_or(0);
        ANSWER_RESERVE.saturating_sub(taken)
    }

    /// Like [`reserve`](Self::reserve), for a body of `bytes` bytes. Large bodies leave room
    /// for small ones.
    fn body_reserve(&self, bytes: usize) -> usize {
        let small = match bytes > SMALL_CAPACITY {
            true => self.account.limit() / SMALL_BODY_PART,
            false => 0,
        };
        self.reserve() + small
    }

    /// Makes another body than `own` give way; returns whether one did.
    fn refuse_other(&self, now: Instant, own: u64) -> bool {
        let bodies = self.bodies.borrow();
        let Some(asking) = bodies.get(&own) else {
            return false;
        };
        let others = bodies
            .iter()
            .filter(|(number, state)| **number != own && state.may_give_way());
        let others = others.map(|(number, state)| state.progress(*number));
        let victim = choose_victim(now, asking.progress(own), others);
        let Some(state) = victim.and_then(|victim| bodies.get(&victim.number)) else {
            return false;
        };
        state.refused.set(true);
        state.refusal.notify_one();
        true
    }

    /// Whether a body that gave way still holds bytes.
    fn awaits_refused(&self) -> bool {
        self.bodies
            .borrow()
            .values()
            .any(|state| state.refused.get())
    }

    /// Logs that a body was refused.
    fn log_refusal(&self, now: Instant) {
        metrics::counter!("pimentocart_bodies_refused_total").increment(1);
        if let Some(unlogged) = self.log.record(now) {
            warn!("body refused: memory is short", kv: {
                held = self.account.held(),
                limit = self.account.limit(),
                connections = self.connections.count(),
                unlogged
            });
        }
    }

    /// Updates the gauges.
    pub(crate) fn report(&self) {
        metrics::gauge!("pimentocart_held_bytes").set(self.account.held() as f64);
        metrics::gauge!("pimentocart_caller_connections").set(self.connections.count() as f64);
    }
}

/// The bytes of one body while it is being read.
#[derive(Debug)]
pub(crate) struct BodyHold {
    memory: Rc<Memory>,
    number: u64,
    state: Rc<BodyState>,
    held: Option<Held>,
}

impl BodyHold {
    /// Holds `bytes` in all, if need be by making other bodies give way; returns whether it
    /// does.
    pub(crate) async fn grow(&mut self, now: Instant, bytes: usize) -> bool {
        let (memory, state) = (Rc::clone(&self.memory), Rc::clone(&self.state));
        let Some(held) = &mut self.held else {
            return false;
        };
        state.size.set(state.size.get().max(bytes));
        loop {
            let released = memory.account.released();
            if state.refused.get() {
                return false;
            }
            if held.try_set(bytes, memory.body_reserve(bytes)) {
                state.taken.set(bytes);
                return true;
            }
            let found = memory.awaits_refused()
                || memory.connections.close_blocked(STALLED_TIME)
                || memory.refuse_other(now, self.number);
            if !found {
                return false;
            }
            // Another body may make this one give way meanwhile.
            tokio::select! {
                () = released => {}
                () = state.refusal.notified() => {}
            }
        }
    }

    /// Records that bytes arrived.
    pub(crate) fn record_bytes(&self, now: Instant) {
        self.state.active_at.set(now);
    }

    /// Completes when the body has to give way.
    pub(crate) async fn refused(&self) {
        while !self.state.refused.get() {
            self.state.refusal.notified().await;
        }
    }

    /// Records that the body is refused.
    pub(crate) fn log_refusal(&self, now: Instant) {
        self.memory.log_refusal(now);
    }

    /// The bytes of the whole body, to be held until its call has ended.
    pub(crate) fn into_held(mut self) -> Option<Held> {
        self.held.take()
    }
}

impl Drop for BodyHold {
    fn drop(&mut self) {
        self.memory.bodies.borrow_mut().remove(&self.number);
    }
}

/// The bytes of one answer until the caller has read it.
#[derive(Debug)]
pub struct AnswerHold {
    memory: Rc<Memory>,
    held: Held,
    reserve: Option<ReserveGuard>,
}

/// The right to use the bytes that are kept free for answers.
#[derive(Debug)]
struct ReserveGuard(Rc<Cell<Option<usize>>>);

impl Drop for ReserveGuard {
    fn drop(&mut self) {
        self.0.set(None);
    }
}

impl AnswerHold {
    /// Bytes held.
    pub(crate) fn bytes(&self) -> usize {
        self.held.bytes()
    }

    /// Releases all bytes. Another answer may use those that are kept free.
    pub(crate) fn release(&mut self) {
        self.reserve = None;
        self.held.set(0);
    }

    /// Waits until there is memory for `bytes` in all; fewer than now are released. One answer
    /// at a time may use the bytes that are kept free, and needs no others: it always ends.
    pub(crate) async fn grow(&mut self, bytes: usize) {
        loop {
            let released = self.memory.account.released();
            if let Some(reserve) = &self.reserve {
                reserve.0.set(Some(bytes));
                self.held.set(bytes);
                return;
            }
            let reserve = self.memory.reserve() + self.memory.account.limit() / BODY_PART;
            if self.held.try_set(bytes, reserve) {
                return;
            }
            let taken = &self.memory.reserve_taken;
            if taken.get().is_none() {
                taken.set(Some(bytes));
                self.reserve = Some(ReserveGuard(Rc::clone(taken)));
                continue;
            }
            metrics::counter!("pimentocart_answer_memory_waits_total").increment(1);
            // Callers that have stopped reading would keep the others waiting.
            while self.memory.connections.close_blocked(STALLED_TIME) {}
            let _ = tokio::time::timeout(BLOCKED_CHECK_INTERVAL, released).await;
        }
    }
}

/// The capacity of a buffer that has to hold `needed` bytes, of which the sender has declared
/// `declared`. It doubles while it is small. A larger buffer takes the declared length at
/// once: the ones that it would outgrow leave gaps in the memory of the process.
pub(crate) fn next_capacity(current: usize, needed: usize, declared: Option<usize>) -> usize {
    let doubled = needed.max(current.saturating_mul(2)).max(FIRST_CAPACITY);
    match declared {
        Some(declared) if needed > declared => doubled,
        Some(declared) if doubled > SMALL_CAPACITY => declared,
        Some(declared) => doubled.min(declared),
        None => doubled,
    }
}
