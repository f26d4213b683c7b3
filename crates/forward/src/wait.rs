//! Waits that a process which stands still does not use up.

use std::time::{Duration, Instant};

use base::clock::Clock;

/// Longest part of a wait that passes in one turn. A process that was stopped has its timers
/// expired when it goes on, and the events that it waited for unread.
const STEP: Duration = Duration::from_millis(40);

/// A wait for events, whose limit is counted in turns of the event loop.
#[derive(Debug)]
pub(crate) struct Wait {
    left: Duration,
    deadline: Instant,
}

impl Wait {
    /// A wait of `limit` that ends at `deadline` in any case.
    pub(crate) fn new(limit: Duration, deadline: Instant) -> Self {
        Self {
            left: limit,
            deadline,
        }
    }

    /// Whether no time is left.
    pub(crate) fn is_over(&self, now: Instant) -> bool {
        self.left.is_zero() || now >= self.deadline
    }

    /// Waits for `event` for a part of the time that is left; returns whether it came.
    pub(crate) async fn step(&mut self, clock: &dyn Clock, event: impl Future) -> bool {
        let step = STEP.min(self.left);
        let started = clock.now();
        let came = tokio::time::timeout(step, event).await.is_ok();
        let elapsed = match came {
            true => clock.now().saturating_duration_since(started).min(step),
            false => step,
        };
        self.left -= elapsed;
        came
    }
}
