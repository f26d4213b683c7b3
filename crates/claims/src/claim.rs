//! A claimed key, owned by one call.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Instant;

use base::ids::RequestId;
use bundle::Hash;

use crate::claims::Claims;
use crate::record::CallOutcome;

/// A claimed key. If dropped without an outcome, the key is released if the
/// call was never started; otherwise the outcome is recorded as unknown.
pub struct Claim {
    claims: Rc<Claims>,
    key: Hash,
    ticket: RequestId,
    /// The call must not start at or after this time.
    start_deadline: Instant,
    started: Cell<bool>,
    finished: Cell<bool>,
}

impl Claim {
    pub(crate) fn new(
        claims: Rc<Claims>,
        key: Hash,
        ticket: RequestId,
        start_deadline: Instant,
    ) -> Self {
        Self {
            claims,
            key,
            ticket,
            start_deadline,
            started: Cell::new(false),
            finished: Cell::new(false),
        }
    }

    /// Marks the call as started and returns true, or returns false if the
    /// start deadline has passed.
    ///
    /// Without the deadline, a process that was suspended after the claim
    /// could start a call whose key another entry owns by now, and the call
    /// would run twice. Must be called after the last wait before the grant.
    /// The deadline is on the monotonic clock and includes a margin for the
    /// delivery to the backend server.
    #[must_use]
    pub fn try_start(&self, now: Instant) -> bool {
        if now >= self.start_deadline {
            return false;
        }
        self.started.set(true);
        true
    }

    /// Records the outcome of the call; only the first one counts.
    pub fn finish(&self, outcome: CallOutcome) {
        if !self.finished.replace(true) {
            self.claims.finish(self.key, self.ticket, outcome);
        }
    }
}

impl Drop for Claim {
    fn drop(&mut self) {
        let outcome = match self.started.get() {
            true => CallOutcome::Unknown,
            false => CallOutcome::NotRun,
        };
        self.finish(outcome);
    }
}

impl std::fmt::Debug for Claim {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Claim")
            .field("key", &self.key)
            .field("ticket", &self.ticket)
            .finish_non_exhaustive()
    }
}
