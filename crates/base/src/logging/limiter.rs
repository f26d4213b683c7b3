//! Limits log lines about events that another process can cause at any rate.

use std::cell::Cell;
use std::time::{Duration, Instant};

/// Time between two lines about the same kind of event.
const INTERVAL: Duration = Duration::from_secs(10);

/// Decides which events of one kind are logged.
#[derive(Debug, Default)]
pub struct LineLimiter {
    logged_at: Cell<Option<Instant>>,
    /// Events since the last line.
    unlogged: Cell<u64>,
}

impl LineLimiter {
    /// Records an event. Returns the number of earlier events that were not logged if this
    /// one is to be logged.
    pub fn record(&self, now: Instant) -> Option<u64> {
        let recent = |at: Instant| now.saturating_duration_since(at) < INTERVAL;
        if self.logged_at.get().is_some_and(recent) {
            self.unlogged.set(self.unlogged.get().saturating_add(1));
            return None;
        }
        self.logged_at.set(Some(now));
        Some(self.unlogged.take())
    }
}
