//! Graceful shutdown: refuses new requests and lets those in progress finish.
//! See docs/operators/drain.md.

use std::time::Duration;

use base::reason::Refusal;
use policy::queue::Rejection;

use super::State;
use super::request::{Phase, Removal};
use super::response::ResponseBuffer;

/// How often a drain checks whether all requests have ended.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// How long the sidecar stays up after it delivered the end of a response, so
/// that the end can be pulled again. The reply may be lost with its connection;
/// the entry notices that within the call's timeout and margin, reconnects and
/// repeats the pull.
const REPULL_GRACE: Duration = Duration::from_millis(1500);

/// Time allowed for runs to stop after the drain timed out.
const STOP_TIMEOUT: Duration = Duration::from_secs(2);

/// The rejection of new requests during a drain. There is no delay before a
/// retry, since another server can take the request at once.
const DRAINING: Rejection = Rejection {
    reason: Refusal::Draining,
    retry_after: Duration::ZERO,
};

/// The rejection of new requests while the backend server is unreachable.
const FAILED: Rejection = Rejection {
    reason: Refusal::BackendFailed,
    retry_after: Duration::from_secs(1),
};

/// How a drain ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DrainOutcome {
    /// All requests in progress ended within the timeout.
    Completed,
    /// The timeout expired, and the remaining runs were stopped.
    TimedOut,
}

impl State {
    /// Refuses new requests and waits until all requests in progress have ended
    /// and their responses are delivered, for at most `timeout`.
    ///
    /// Waiting requests are refused at once, so that they get a slot elsewhere
    /// in time. Requests that hold a slot may still start, since their entries
    /// rely on it.
    pub async fn drain(&self, timeout: Duration) -> DrainOutcome {
        self.draining.set(true);
        self.refuse_waiting(DRAINING);
        if tokio::time::timeout(timeout, self.wait_drained())
            .await
            .is_ok()
        {
            return DrainOutcome::Completed;
        }

        self.stop_runs();
        let _ = tokio::time::timeout(STOP_TIMEOUT, self.wait_drained()).await;
        DrainOutcome::TimedOut
    }

    /// Marks the backend server as unreachable: refuses new and waiting requests
    /// until it recovers.
    pub(crate) fn mark_failed(&self) {
        if !self.failed.replace(true) {
            self.refuse_waiting(FAILED);
            self.backend_failure.notify_one();
        }
    }

    /// Marks the backend server as reachable again.
    pub(crate) fn mark_recovered(&self) {
        self.failed.set(false);
    }

    /// The rejection of new requests, if the sidecar accepts none.
    pub(super) fn closed_reason(&self) -> Option<Rejection> {
        if self.draining.get() {
            return Some(DRAINING);
        }
        self.failed.get().then_some(FAILED)
    }

    fn refuse_waiting(&self, rejection: Rejection) {
        let now = self.clock.now();
        let tickets = self.tickets.borrow();
        let is_queued = |phase: &Phase| matches!(phase, Phase::Queued);
        let waiting = tickets.values().filter(|r| is_queued(&r.phase.borrow()));
        let waiting: Vec<_> = waiting.cloned().collect();
        drop(tickets);

        for request in waiting {
            self.queue.borrow_mut().cancel(now, request.ticket, false);
            self.remove_unstarted(now, &request, Removal::Refused(rejection));
        }
    }

    fn stop_runs(&self) {
        let is_running =
            |phase: &Phase| matches!(phase, Phase::Started(ResponseBuffer { end: None, .. }));
        for request in self.tickets.borrow().values() {
            if is_running(&request.phase.borrow()) {
                request.request_stop(Refusal::Draining);
            }
        }
    }

    /// Waits until no request is in progress and the grace period after the last
    /// delivered end has passed.
    async fn wait_drained(&self) {
        let grace_passed = || {
            let last_delivery = self.last_delivery.get();
            last_delivery
                .is_none_or(|at| self.clock.now().saturating_duration_since(at) >= REPULL_GRACE)
        };
        while !(self.is_idle() && grace_passed()) {
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }
}
