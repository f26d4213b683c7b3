//! Stopping without cutting anything off. See docs/operators/drain.md.

use std::time::Duration;

use base::reason::Refusal;
use policy::queue::Rejection;

use super::State;
use super::request::{Phase, Removal};
use super::response::ResponseBuffer;

/// How often draining looks whether all has ended.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// How long an answer's end stays to be pulled again. The reply that carried
/// it may be lost with its connection; an entry notices that within its
/// call's bound and margin, dials anew and asks again.
const REPULL_GRACE: Duration = Duration::from_millis(1500);

/// How long runs may take to stop after the cut-off.
const STOP_TIMEOUT: Duration = Duration::from_secs(2);

/// What a draining sidecar tells newcomers; another one takes them at once.
const DRAINING: Rejection = Rejection {
    reason: Refusal::Draining,
    retry_after: Duration::ZERO,
};

/// What newcomers are told while the backend server cannot be reached.
const FAILED: Rejection = Rejection {
    reason: Refusal::BackendFailed,
    retry_after: Duration::from_secs(1),
};

/// How a drain ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DrainOutcome {
    /// Everything in progress ended by itself.
    Completed,
    /// The limit passed, and what was left was stopped.
    TimedOut,
}

impl State {
    /// Takes nothing new and waits until everything in progress has ended and
    /// its entries have had it, for `limit` at the most.
    ///
    /// Requests that wait are refused at once, so that they get a slot
    /// elsewhere in time; slots that are held may still be started, since
    /// their entries count on them.
    pub async fn drain(&self, limit: Duration) -> DrainOutcome {
        self.draining.set(true);
        self.refuse_waiting(DRAINING);
        if tokio::time::timeout(limit, self.wait_drained())
            .await
            .is_ok()
        {
            return DrainOutcome::Completed;
        }

        self.stop_runs();
        let _ = tokio::time::timeout(STOP_TIMEOUT, self.wait_drained()).await;
        DrainOutcome::TimedOut
    }

    /// Takes nothing new until the backend server is back.
    pub(crate) fn mark_failed(&self) {
        if !self.failed.replace(true) {
            self.refuse_waiting(FAILED);
            self.backend_failure.notify_one();
        }
    }

    /// Takes requests again.
    pub(crate) fn mark_recovered(&self) {
        self.failed.set(false);
    }

    /// Why nothing new is taken, if so.
    pub(super) fn closed_reason(&self) -> Option<Rejection> {
        if self.draining.get() {
            return Some(DRAINING);
        }
        self.failed.get().then_some(FAILED)
    }

    fn refuse_waiting(&self, verdict: Rejection) {
        let now = self.clock.now();
        let tickets = self.tickets.borrow();
        let waiting = |phase: &Phase| matches!(phase, Phase::Queued);
        let waiting = tickets.values().filter(|e| waiting(&e.phase.borrow()));
        let waiting: Vec<_> = waiting.cloned().collect();
        drop(tickets);

        for entry in waiting {
            self.queue.borrow_mut().cancel(now, entry.ticket, false);
            self.remove_unstarted(now, &entry, Removal::Refused(verdict));
        }
    }

    fn stop_runs(&self) {
        let running =
            |phase: &Phase| matches!(phase, Phase::Started(ResponseBuffer { end: None, .. }));
        for entry in self.tickets.borrow().values() {
            if running(&entry.phase.borrow()) {
                entry.request_stop(Refusal::Draining);
            }
        }
    }

    /// Waits until nothing is in progress and the last answers have arrived.
    async fn wait_drained(&self) {
        let arrived = || {
            let told = self.last_delivery.get();
            told.is_none_or(|at| self.clock.now().saturating_duration_since(at) >= REPULL_GRACE)
        };
        while !(self.is_idle() && arrived()) {
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }
}
