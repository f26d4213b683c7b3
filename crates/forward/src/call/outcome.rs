//! What is known of a call's execution: its charge, and its end when the entry stops.

use std::rc::Rc;
use std::time::Duration;

use base::reason::Refusal;
use policy::wait_estimate;
use rand::RngExt;
use spdlog::info;

use super::Call;
use crate::exchange::SendError;
use crate::reply::{LocalReply, Reply};

/// Retry-After when the entry is stopping. The caller's next connection goes to another entry
/// as soon as the load balancer has noticed.
const DRAINING_RETRY: Duration = Duration::from_millis(100);

/// Whether a backend server has started the call. A workspace is charged for
/// each call that was started.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum BillingState {
    /// No server has started it.
    NotStarted,
    /// It was sent to a service without an engine, which starts calls soon and
    /// does not report it.
    MaybeStarted,
    /// A server has started it, and it was charged.
    Counted,
}

/// Whether a backend server may have run the call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Execution {
    /// It was sent to no server, or only to servers that did not run it.
    NotSent,
    /// It is being sent for the first time, or a server is running it.
    InProgress,
    /// An attempt has failed that may have run it.
    Possible,
}

/// The refusal of a call that was not sent because the entry is stopping.
pub(crate) fn draining_refusal() -> LocalReply {
    let after = wait_estimate::jitter(DRAINING_RETRY, rand::rng().random());
    LocalReply::refused(Refusal::Draining, after)
}

impl Call {
    /// Like [`run`](Self::run), until the grace period of a stopping entry is about to end.
    /// The caller then learns whether the call may have run.
    pub async fn run_until_cutoff(self: Rc<Self>) -> Reply {
        let state = Rc::clone(&self.state);
        tokio::select! {
            biased;
            reply = Rc::clone(&self).run() => reply,
            () = state.cutoff.wait() => Reply::Local(self.cutoff_reply()),
        }
    }

    fn cutoff_reply(&self) -> LocalReply {
        let sent = self.execution.get() != Execution::NotSent;
        info!("call ended by shutdown", kv: { id = self.request_id(), sent, ms = self.age_ms() });
        match sent {
            true => LocalReply::failed(502, Refusal::OutcomeUnknown),
            false => draining_refusal(),
        }
    }

    /// Charges the call to its workspace. Later calls of this method do
    /// nothing.
    pub(super) fn record_usage(&self) {
        if self.billing.replace(BillingState::Counted) == BillingState::Counted {
            return;
        }
        let duties = self.state.duties.borrow();
        if let (Some(duties), Some(workspace)) = (&*duties, &self.workspace) {
            duties.count_request(&workspace.name);
        }
    }

    /// Records that the call is being sent to a server.
    pub(super) fn record_sent(&self) {
        if self.phase.is_none() && self.billing.get() == BillingState::NotStarted {
            self.billing.set(BillingState::MaybeStarted);
        }
        if self.execution.get() == Execution::NotSent {
            self.execution.set(Execution::InProgress);
        }
    }

    /// Clears the mark of a possible start if the failure shows that the call
    /// has not run.
    pub(super) fn record_failed(&self, error: &SendError) {
        if error.not_run() {
            self.discard_backup();
        }
        if self.billing.get() == BillingState::MaybeStarted && error.not_run() {
            self.billing.set(BillingState::NotStarted);
        }
        // What an earlier attempt may have run stays possible.
        match error.not_run() {
            true if self.execution.get() == Execution::InProgress => {
                self.execution.set(Execution::NotSent);
            }
            true => {}
            false => self.execution.set(Execution::Possible),
        }
    }
}
