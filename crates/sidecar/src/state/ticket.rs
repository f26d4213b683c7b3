//! One ticket and where it stands.

use std::cell::{Cell, RefCell};
use std::time::Instant;

use base::ids::{RequestId, Tier};
use base::reason::Refusal;
use base::stop::StopSignal;
use policy::queue::Rejection;
use tokio::sync::Notify;

use super::answer::Answer;

/// One ticket that waits, holds a slot or started.
pub struct Entry {
    /// The request.
    pub ticket: RequestId,
    /// Its tier.
    pub tier: Tier,
    /// Where it stands.
    pub(super) phase: RefCell<Phase>,
    /// Until when its entry counts as there, without asking again.
    pub(super) lease: Cell<Instant>,
    /// Wakes who waits for a change.
    pub changed: Notify,
    /// Asks its run to stop.
    pub stop: StopSignal,
    /// Why its run was asked to stop.
    pub(super) why: Cell<Option<Refusal>>,
}

/// Where a ticket stands.
pub(super) enum Phase {
    /// It waits for a slot.
    Queued,
    /// A slot is held for it.
    Held {
        /// Until when.
        until: Instant,
        /// Whether it was let go before a higher tier.
        guaranteed: bool,
    },
    /// It started; its answer is being made or kept.
    Started(Answer),
    /// It is gone; the tombstone says more.
    Gone(Left),
}

/// How a ticket left without having started.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Left {
    /// Its hold ran out; it may ask again.
    Lapsed,
    /// The queue refused it.
    Refused(Rejection),
    /// It was cancelled and never starts in this life.
    Cancelled,
}

impl Entry {
    pub(super) fn new(ticket: RequestId, tier: Tier, lease: Instant) -> Self {
        Self {
            ticket,
            tier,
            phase: RefCell::new(Phase::Queued),
            lease: Cell::new(lease),
            changed: Notify::new(),
            stop: StopSignal::new(),
            why: Cell::new(None),
        }
    }

    /// Asks the run to stop; the first reason stands.
    pub(super) fn halt(&self, why: Refusal) {
        if self.why.get().is_none() {
            self.why.set(Some(why));
        }
        self.stop.trigger();
    }

    /// Why the run was asked to stop.
    #[must_use]
    pub fn stopped(&self) -> Refusal {
        self.why.get().unwrap_or(Refusal::CallerGone)
    }

    /// Moves on to another phase and wakes who waits for it.
    pub(super) fn set(&self, phase: Phase) {
        *self.phase.borrow_mut() = phase;
        self.changed.notify_waiters();
    }
}
