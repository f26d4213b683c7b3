//! A key that is owned by one call.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Instant;

use base::ids::RequestId;
use bundle::Hash;

use crate::claims::Claims;
use crate::record::CallOutcome;

/// A key that is owned. Dropped without an end, it is released if the call
/// never began, and left as unknown if it did.
pub struct Claim {
    claims: Rc<Claims>,
    key: Hash,
    ticket: RequestId,
    /// The call must not begin after this.
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

    /// Whether the call may begin now; from then on it may have run.
    ///
    /// A process that stood still since the claim would otherwise begin a
    /// call whose key another entry owns by now, and the call would run
    /// twice. Asked after the last wait before the grant, on the monotonic
    /// clock, with a margin for the way to the backend server, it cannot.
    #[must_use]
    pub fn try_start(&self, now: Instant) -> bool {
        if now >= self.start_deadline {
            return false;
        }
        self.started.set(true);
        true
    }

    /// Tells how the call ended.
    pub fn finish(&self, outcome: CallOutcome) {
        if !self.finished.replace(true) {
            self.claims.finish(self.key, self.ticket, outcome);
        }
    }
}

impl Drop for Claim {
    fn drop(&mut self) {
        let end = match self.started.get() {
            true => CallOutcome::Unknown,
            false => CallOutcome::NotRun,
        };
        self.finish(end);
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
