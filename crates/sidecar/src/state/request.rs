//! One ticket and where it stands.

use std::cell::{Cell, RefCell};
use std::time::Instant;

use base::ids::{RequestId, Tier};
use base::reason::Refusal;
use base::stop::StopSignal;
use policy::queue::Rejection;
use tokio::sync::Notify;

use super::response::ResponseBuffer;

/// One ticket that waits, holds a slot or started.
pub struct Request {
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
    pub(super) stop_reason: Cell<Option<Refusal>>,
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
    Started(ResponseBuffer),
    /// It is gone; the tombstone says more.
    Removed(Removal),
}

/// How a ticket left without having started.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Removal {
    /// Its hold ran out; it may ask again.
    Expired,
    /// The queue refused it.
    Refused(Rejection),
    /// It was cancelled and never starts in this life.
    Cancelled,
}

impl Request {
    pub(super) fn new(ticket: RequestId, tier: Tier, lease: Instant) -> Self {
        Self {
            ticket,
            tier,
            phase: RefCell::new(Phase::Queued),
            lease: Cell::new(lease),
            changed: Notify::new(),
            stop: StopSignal::new(),
            stop_reason: Cell::new(None),
        }
    }

    /// Asks the run to stop; the first reason stands.
    pub(super) fn request_stop(&self, why: Refusal) {
        if self.stop_reason.get().is_none() {
            self.stop_reason.set(Some(why));
        }
        self.stop.trigger();
    }

    /// Why the run was asked to stop.
    #[must_use]
    pub fn stop_reason(&self) -> Refusal {
        self.stop_reason.get().unwrap_or(Refusal::CallerGone)
    }

    /// Moves on to another phase and wakes who waits for it.
    pub(super) fn set_phase(&self, phase: Phase) {
        *self.phase.borrow_mut() = phase;
        self.changed.notify_waiters();
    }
}
