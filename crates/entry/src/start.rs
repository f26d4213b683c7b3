//! Starting a request where a slot is held, so that it is known whether it
//! runs. See docs/DECISIONS/0202-retries.md.

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

/// How often a start without an answer is sent again where nothing else can
/// tell whether the request ran.
const AGAIN: u32 = 3;

/// How often it is sent again for a request that may run elsewhere instead.
const AGAIN_REPEATABLE: u32 = 1;

/// Pause before a start is sent again, so that a sidecar that resets
/// connections is not flooded.
const PAUSE: Duration = Duration::from_millis(100);

/// A ticket that holds a slot or runs at a sidecar. Dropped before it is
/// over, it is cancelled: what runs for a caller that went away is wasted.
pub struct Run {
    state: Rc<State>,
    /// Where it runs.
    pub server: Rc<Server>,
    /// The identity of this run.
    pub ticket: RequestId,
    /// The sidecar's life in which it runs.
    pub incarnation: Incarnation,
    /// Whether nothing is left to cancel.
    finished: Cell<bool>,
}

/// What became of a start.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StartStatus {
    /// It runs.
    Running,
    /// It did not run and never will.
    NotRun(RetryReason),
    /// Nobody can tell.
    Unknown,
}

impl Run {
    /// Takes charge of a ticket that holds a slot.
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

    /// Notes that nothing is left to cancel.
    pub fn mark_finished(&self) {
        self.finished.set(true);
    }

    /// Starts the work. A start without an answer may or may not have taken
    /// effect; it is sent again for the same life of the sidecar, which
    /// answers the same however often it is asked and so tells which.
    pub async fn start(&self, request: &Request) -> StartStatus {
        let again = match request.repeatable {
            true => AGAIN_REPEATABLE,
            false => AGAIN,
        };
        let mut sent = false;
        for _ in 0..=again {
            // This process may have stood still while it waited, and another
            // entry may own the call's key by now. A start sent then could be
            // the second run; cancelling tells what became of the first.
            if sent && !request.may_start(self.state.clock.now()) {
                break;
            }
            let order = StartRequest {
                ticket: self.ticket,
                incarnation: self.incarnation,
                work: request.work.clone(),
            };
            let answer = self
                .server
                .peer
                .start(self.state.call_header(), order)
                .await;
            match self.state.record_reply(&self.server, answer) {
                Ok(reply) => return self.start_status(reply.body, sent),
                Err(e) => {
                    warn!("start without answer", kv: { ticket = self.ticket.to_string().as_str(), error = e.to_string().as_str() });
                    sent |= !e.never_sent();
                    base::telemetry::count_retry(retry_reason(&e));
                    tokio::time::sleep(PAUSE).await;
                }
            }
        }
        if !sent {
            return StartStatus::NotRun(RetryReason::Unreachable);
        }
        // The caller of a repeatable request waits for its answer elsewhere;
        // this run, if there is one, is cancelled when it is dropped.
        if request.repeatable {
            return StartStatus::Unknown;
        }
        self.cancel().await
    }

    fn start_status(&self, started: StartOutcome, sent: bool) -> StartStatus {
        let outcome = match started {
            StartOutcome::Running => return StartStatus::Running,
            StartOutcome::ReservationExpired | StartOutcome::Cancelled => {
                StartStatus::NotRun(RetryReason::ReservationExpired)
            }
            StartOutcome::Refused(_) => StartStatus::NotRun(RetryReason::Refused),
            // An earlier start may have run in the life that is gone.
            StartOutcome::OtherIncarnation if sent => StartStatus::Unknown,
            StartOutcome::OtherIncarnation => StartStatus::NotRun(RetryReason::SidecarRestarted),
        };
        self.mark_finished();
        outcome
    }

    /// The last try to find out: a cancelled ticket that never started cannot
    /// start any more.
    async fn cancel(&self) -> StartStatus {
        let answer = self
            .server
            .peer
            .cancel(self.state.call_header(), self.ticket)
            .await;
        let Ok(reply) = self.state.record_reply(&self.server, answer) else {
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
            // Without an answer there is nobody left to tell.
            let answer = server.peer.cancel(state.call_header(), ticket).await;
            let _ = state.record_reply(&server, answer);
        });
    }
}
