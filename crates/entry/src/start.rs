//! Starts a request at the sidecar that holds its slot and determines whether
//! it runs. See docs/DECISIONS/0202-retries.md.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use base::ids::{Incarnation, RequestId};
use base::reason::RetryReason;
use spdlog::warn;
use wire::{CancelOutcome, StartOutcome, StartRequest};

use crate::request::Request;
use crate::reserve::retry_reason;
use crate::state::{Server, State};

/// Number of times that an unanswered start is resent for a request that cannot
/// run at another server. If it must not run twice, only the reply shows whether
/// it ran.
const RESENDS: u32 = 3;

/// Number of times that an unanswered start is resent for a request that can run
/// at another server instead.
const RESENDS_ELSEWHERE: u32 = 1;

/// Delay before a start is resent, so that a sidecar that resets connections is
/// not flooded.
const RESEND_DELAY: Duration = Duration::from_millis(100);

/// A ticket that holds a slot or runs at a sidecar. It is cancelled if dropped
/// before it is finished, because a run whose caller disconnected only wastes a
/// slot.
pub struct Run {
    state: Rc<State>,
    /// The sidecar that runs it.
    pub server: Rc<Server>,
    /// The ticket that identifies this run.
    pub ticket: RequestId,
    /// The incarnation of the sidecar that granted the slot.
    pub incarnation: Incarnation,
    /// Whether the run has ended and needs no cancel.
    finished: Cell<bool>,
}

/// The result of a start.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StartStatus {
    /// The request runs.
    Running,
    /// The request did not run and this ticket can no longer start it.
    NotRun(RetryReason),
    /// The request may or may not have run.
    Unknown,
}

impl Run {
    /// Wraps a ticket that holds a slot.
    #[must_use]
    pub fn new(
        state: Rc<State>,
        server: Rc<Server>,
        ticket: RequestId,
        incarnation: Incarnation,
    ) -> Self {
        Self {
            state,
            server,
            ticket,
            incarnation,
            finished: Cell::new(false),
        }
    }

    /// Marks the run as ended, so that no cancel is sent on drop.
    pub fn mark_finished(&self) {
        self.finished.set(true);
    }

    /// Starts the request. An unanswered start may have taken effect, so it is
    /// resent for the same incarnation. The start is idempotent: the reply to
    /// any copy shows whether the request runs. `has_other` says that another
    /// server may be asked instead.
    pub async fn start(&self, request: &Request, has_other: bool) -> StartStatus {
        let resends = match request.repeatable && has_other {
            true => RESENDS_ELSEWHERE,
            false => RESENDS,
        };
        let mut sent = false;
        let mut cause = RetryReason::Unreachable;
        for _ in 0..=resends {
            // This process may have been suspended during the wait, and another
            // entry may have claimed the idempotency key since. A start sent now
            // could be a second run; the reply to a cancel shows what became of
            // the first.
            if sent && !request.may_start(self.state.clock.now()) {
                break;
            }
            let start_request = StartRequest {
                ticket: self.ticket,
                incarnation: self.incarnation,
                work: request.work.clone(),
            };
            let result = self
                .server
                .peer
                .start(self.state.call_header(), start_request)
                .await;
            match self.state.record_result(&self.server, result) {
                Ok(reply) => return self.start_status(reply.body, sent),
                Err(e) => {
                    warn!("start got no reply", kv: { ticket = self.ticket.to_string().as_str(), error = e.to_string().as_str() });
                    sent |= !e.never_sent();
                    cause = retry_reason(&e);
                    base::telemetry::count_retry(cause);
                    tokio::time::sleep(RESEND_DELAY).await;
                }
            }
        }
        if !sent {
            return StartStatus::NotRun(cause);
        }
        // A repeatable request is retried at another server. This run, if it
        // exists, is cancelled on drop.
        if request.repeatable {
            return StartStatus::Unknown;
        }
        self.cancel().await
    }

    fn start_status(&self, outcome: StartOutcome, sent: bool) -> StartStatus {
        let status = match outcome {
            StartOutcome::Running => return StartStatus::Running,
            StartOutcome::ReservationExpired | StartOutcome::Cancelled => {
                StartStatus::NotRun(RetryReason::ReservationExpired)
            }
            StartOutcome::Refused(_) => StartStatus::NotRun(RetryReason::Refused),
            // An earlier copy of the start may have run in the previous
            // incarnation.
            StartOutcome::OtherIncarnation if sent => StartStatus::Unknown,
            StartOutcome::OtherIncarnation => StartStatus::NotRun(RetryReason::SidecarRestarted),
        };
        self.mark_finished();
        status
    }

    /// Cancels the ticket to determine whether it ran. A ticket that is
    /// cancelled before its start can no longer start.
    async fn cancel(&self) -> StartStatus {
        let result = self
            .server
            .peer
            .cancel(self.state.call_header(), self.ticket)
            .await;
        let Ok(reply) = self.state.record_result(&self.server, result) else {
            return StartStatus::Unknown;
        };
        self.mark_finished();
        match reply.body {
            CancelOutcome::NeverStarted if reply.incarnation == self.incarnation => {
                StartStatus::NotRun(RetryReason::Unreachable)
            }
            _ => StartStatus::Unknown,
        }
    }
}

impl Drop for Run {
    fn drop(&mut self) {
        if self.finished.get() {
            return;
        }
        let (state, server, ticket) =
            (Rc::clone(&self.state), Rc::clone(&self.server), self.ticket);
        actix_rt::spawn(async move {
            // A failed cancel is not retried: the caller is gone.
            let result = server.peer.cancel(state.call_header(), ticket).await;
            let _ = state.record_result(&server, result);
        });
    }
}
