//! One request and its phase.

use std::cell::{Cell, RefCell};
use std::time::Instant;

use base::ids::{RequestId, Tier};
use base::reason::Refusal;
use base::stop::StopSignal;
use policy::queue::Rejection;
use tokio::sync::Notify;

use super::response::ResponseBuffer;

/// A request that waits, holds a slot or has started.
pub struct Request {
    /// Identifies the request.
    pub ticket: RequestId,
    /// The tier of the request; tier 0 has the highest priority.
    pub tier: Tier,
    /// The current phase.
    pub(super) phase: RefCell<Phase>,
    /// When its entry is presumed gone unless it makes another call.
    pub(super) lease: Cell<Instant>,
    /// Notified when the phase or the response changes.
    pub changed: Notify,
    /// Triggered to stop the run.
    pub stop: StopSignal,
    /// Why the run was asked to stop; the first reason is kept.
    pub(super) stop_reason: Cell<Option<Refusal>>,
}

/// The phase of a request.
pub(super) enum Phase {
    /// Waiting for a slot.
    Queued,
    /// A slot is held for the request.
    Held {
        /// When the hold expires.
        until: Instant,
        /// Whether the slot came from the guaranteed share, ahead of a higher
        /// tier.
        guaranteed: bool,
    },
    /// Running, or ended with its response still buffered.
    Started(ResponseBuffer),
    /// Removed from the tracked requests.
    Removed(Removal),
}

/// Why a request was removed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Removal {
    /// Its hold or lease expired before it started, or the retention of its
    /// response ended. A request that has not started may reserve again.
    Expired,
    /// The request was refused.
    Refused(Rejection),
    /// The request was cancelled and never starts in this incarnation.
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

    /// Asks the run to stop; the first reason is kept.
    pub(super) fn request_stop(&self, reason: Refusal) {
        if self.stop_reason.get().is_none() {
            self.stop_reason.set(Some(reason));
        }
        self.stop.trigger();
    }

    /// Why the run was asked to stop; [`Refusal::CallerGone`] by default.
    #[must_use]
    pub fn stop_reason(&self) -> Refusal {
        self.stop_reason.get().unwrap_or(Refusal::CallerGone)
    }

    /// Sets the phase and wakes the waiting calls.
    pub(super) fn set_phase(&self, phase: Phase) {
        *self.phase.borrow_mut() = phase;
        self.changed.notify_waiters();
    }
}
