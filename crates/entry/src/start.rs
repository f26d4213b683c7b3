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
use crate::reserve::cause;
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
    over: Cell<bool>,
}

/// What became of a start.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
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
            over: Cell::new(false),
        }
    }

    /// Notes that nothing is left to cancel.
    pub fn mark_finished(&self) {
        self.over.set(true);
    }

    /// Starts the work. A start without an answer may or may not have taken
    /// effect; it is sent again for the same life of the sidecar, which
    /// answers the same however often it is asked and so tells which.
    pub async fn start(&self, request: &Request) -> Outcome {
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
            let answer = self.server.peer.start(self.state.call_header(), order).await;
            match self.state.heard(&self.server, answer) {
                Ok(reply) => return self.judge(reply.body, sent),
                Err(e) => {
                    warn!("start without answer", kv: { ticket = self.ticket.to_string().as_str(), error = e.to_string().as_str() });
                    sent |= !e.never_sent();
                    base::telemetry::count_retry(cause(&e));
                    tokio::time::sleep(PAUSE).await;
                }
            }
        }
        if !sent {
            return Outcome::NotRun(RetryReason::Unreachable);
        }
        // The caller of a repeatable request waits for its answer elsewhere;
        // this run, if there is one, is cancelled when it is dropped.
        if request.repeatable {
            return Outcome::Unknown;
        }
        self.cancel().await
    }

    fn judge(&self, started: StartOutcome, sent: bool) -> Outcome {
        let outcome = match started {
            StartOutcome::Running => return Outcome::Running,
            StartOutcome::ReservationExpired | StartOutcome::Cancelled => {
                Outcome::NotRun(RetryReason::ReservationExpired)
            }
            StartOutcome::Refused(_) => Outcome::NotRun(RetryReason::Refused),
            // An earlier start may have run in the life that is gone.
            StartOutcome::OtherIncarnation if sent => Outcome::Unknown,
            StartOutcome::OtherIncarnation => Outcome::NotRun(RetryReason::SidecarRestarted),
        };
        self.mark_finished();
        outcome
    }

    /// The last try to find out: a cancelled ticket that never started cannot
    /// start any more.
    async fn cancel(&self) -> Outcome {
        let answer = self
            .server
            .peer
            .cancel(self.state.call_header(), self.ticket)
            .await;
        let Ok(reply) = self.state.heard(&self.server, answer) else {
            return Outcome::Unknown;
        };
        self.mark_finished();
        match reply.body {
            CancelOutcome::NeverStarted if reply.incarnation == self.incarnation => {
                Outcome::NotRun(RetryReason::Unreachable)
            }
            _ => Outcome::Unknown,
        }
    }
}

impl Drop for Run {
    fn drop(&mut self) {
        if self.over.get() {
            return;
        }
        let (state, server, ticket) =
            (Rc::clone(&self.state), Rc::clone(&self.server), self.ticket);
        actix_rt::spawn(async move {
            // Without an answer there is nobody left to tell.
            let answer = server.peer.cancel(state.call_header(), ticket).await;
            let _ = state.heard(&server, answer);
        });
    }
}
