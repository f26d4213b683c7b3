//! Whether an engine takes calls, by what entries report about the calls that
//! they sent to it.
//!
//! Load pattern: an engine rejects every call at once, or has ended. All its
//! calls are over, so that it looks idle, admits more at once, and attracts the
//! calls that full engines refuse. Each entry finds out by calls of its own.

use std::time::{Duration, Instant};

use crate::balance::failure_cooldown;

/// Consecutive calls that the engine did not take, from which it is closed.
/// Fewer may come from one entry that cannot reach it, or from a full queue.
const REJECTION_LIMIT: u32 = 3;

/// Whether an engine takes calls.
#[derive(Debug, Clone, Copy, Default)]
pub struct EngineAvailability {
    /// Calls not taken since the last one with an event.
    rejections: u32,
    /// Until when no call is admitted.
    closed_until: Option<Instant>,
}

impl EngineAvailability {
    /// Records that the engine did not take an admitted call; returns whether
    /// it is closed because of this call.
    pub fn call_rejected(&mut self, now: Instant) -> bool {
        if self.closed_for(now).is_some() {
            // It was admitted before.
            return false;
        }
        self.rejections = self.rejections.saturating_add(1);
        if self.rejections < REJECTION_LIMIT {
            return false;
        }
        let failures = self.rejections - REJECTION_LIMIT + 1;
        self.closed_until = Some(now + failure_cooldown(failures));
        true
    }

    /// Records that the engine has begun to answer a call.
    pub fn call_started(&mut self) {
        *self = Self::default();
    }

    /// How long the engine admits no calls; `None` if it does.
    #[must_use]
    pub fn closed_for(&self, now: Instant) -> Option<Duration> {
        let left = self.closed_until?.saturating_duration_since(now);
        (!left.is_zero()).then_some(left)
    }
}
