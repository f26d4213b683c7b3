//! Passing the answer's pieces on, and running the request again where that
//! is allowed. See docs/DECISIONS/0202-retries.md.

use std::rc::Rc;
use std::time::Duration;

use base::reason::{Executed, Refusal, RetryReason};
use policy::retry::FailedAttempt;
use spdlog::warn;
use tokio::time::Instant;
use wire::{Chunk, PullOutcome, PullRequest, ResponseEnd};

use crate::counters;
use crate::dispatch::{self, AttemptFailure, Attempts, Granted};
use crate::drain;
use crate::error::RequestError;
use crate::request::Request;
use crate::reserve::retry_reason;
use crate::start::Run;
use crate::state::State;

/// Pause between two pulls without an answer.
const PAUSE: Duration = Duration::from_millis(50);

/// Pulls without an answer after which a request that may run elsewhere is
/// not waited for any more.
const PULLS: u32 = 2;

/// The answer of one request as it comes in.
pub struct ResponseStream {
    state: Rc<State>,
    request: Request,
    run: Run,
    attempts: Attempts,
    /// The number of the next piece.
    next_chunk: u32,
    /// Tokens in this run's pieces so far.
    tokens: u32,
    /// Pieces held back for a caller that takes the answer whole.
    buffered: Vec<Chunk>,
}

/// What came in.
pub enum ResponsePart {
    /// Pieces, in order.
    Chunks(Vec<Chunk>),
    /// The end of a whole answer, after its last pieces.
    Complete {
        /// The last pieces.
        chunks: Vec<Chunk>,
        /// HTTP status of a plain service's answer.
        status: u16,
        /// Why the answer ended, or its content type.
        finish_reason: String,
    },
}

impl ResponseStream {
    /// Starts to take in the answer of a granted request.
    #[must_use]
    pub fn new(state: Rc<State>, request: Request, granted: Granted) -> Self {
        Self {
            state,
            request,
            run: granted.run,
            attempts: granted.attempts,
            next_chunk: 0,
            tokens: 0,
            buffered: Vec::new(),
        }
    }

    /// Waits for the next part. A caller that takes the answer whole gets one
    /// part; until then the request may run again, since nothing of the first
    /// run's answer has reached anyone.
    ///
    /// # Errors
    ///
    /// Returns how the answer broke off.
    pub async fn next_part(&mut self) -> Result<ResponsePart, RequestError> {
        let cutoff = self.state.cutoff.clone();
        tokio::select! {
            part = self.next_unguarded_part() => return part,
            () = cutoff.wait() => {}
        }
        Err(drain::cutoff_error(self.next_chunk > 0))
    }

    /// How long its stream may bring nothing until a comment is written.
    #[must_use]
    pub fn comment_interval(&self) -> Duration {
        self.state.settings.comment_interval.0
    }

    async fn next_unguarded_part(&mut self) -> Result<ResponsePart, RequestError> {
        loop {
            match self.pull().await {
                Ok(ResponsePart::Chunks(pieces)) if self.request.stream => {
                    return Ok(ResponsePart::Chunks(pieces));
                }
                Ok(ResponsePart::Chunks(pieces)) => self.buffered.extend(pieces),
                Ok(ResponsePart::Complete {
                    mut chunks,
                    status,
                    finish_reason,
                }) => {
                    if !self.buffered.is_empty() {
                        self.buffered.append(&mut chunks);
                        chunks = std::mem::take(&mut self.buffered);
                    }
                    return Ok(ResponsePart::Complete {
                        chunks,
                        status,
                        finish_reason,
                    });
                }
                Err(failed) => self.retry(failed).await?,
            }
        }
    }

    /// Runs the request again after its run failed.
    async fn retry(&mut self, mut failed: AttemptFailure) -> Result<(), RequestError> {
        failed.attempt.delivered = self.delivered();
        if failed.attempt.cause == RetryReason::Preempted {
            self.request.preemptions += 1;
        }
        let attempts = std::mem::take(&mut self.attempts);
        let server = self.run.server.index;
        let granted = dispatch::retry(&self.state, &self.request, attempts, server, failed).await?;

        counters::count_wasted_tokens(u64::from(self.tokens));
        self.run = granted.run;
        self.attempts = granted.attempts;
        self.next_chunk = 0;
        self.tokens = 0;
        self.buffered.clear();
        Ok(())
    }

    /// Whether a part of this run's answer reached the caller. The pieces of
    /// another run must not follow it: their words would differ.
    fn delivered(&self) -> bool {
        self.request.stream && self.next_chunk > 0
    }

    /// Waits for the next pieces of this run.
    async fn pull(&mut self) -> Result<ResponsePart, AttemptFailure> {
        let hold = self.state.settings.routing.poll_hold.0;
        let mut failing: Option<(Instant, u32)> = None;
        loop {
            let ask = PullRequest {
                ticket: self.run.ticket,
                from: self.next_chunk,
                wait_ms: u32::try_from(hold.as_millis()).unwrap_or(u32::MAX),
            };
            let server = &self.run.server;
            let answer = server.peer.pull(self.state.call_header(), ask).await;
            let reply = match self.state.record_reply(server, answer) {
                Ok(reply) => reply,
                Err(e) => {
                    if failing.is_none() {
                        base::telemetry::count_retry(retry_reason(&e));
                    }
                    let (since, pulls) = failing.unwrap_or((Instant::now(), 0));
                    failing = Some((since, pulls + 1));
                    if self.should_give_up(since, pulls + 1) {
                        warn!("answer lost", kv: { ticket = self.run.ticket.to_string().as_str(), error = e.to_string().as_str() });
                        return Err(self.lost_failure(RetryReason::Unknown));
                    }
                    tokio::time::sleep(PAUSE).await;
                    continue;
                }
            };

            failing = None;
            if reply.incarnation != self.run.incarnation {
                // The life that ran it is gone with all it knew.
                self.run.mark_finished();
                return Err(self.lost_failure(RetryReason::SidecarRestarted));
            }
            if let Some(part) = self.accept(reply.body)? {
                return Ok(part);
            }
        }
    }

    /// Whether to stop trying to reach the sidecar. Where the request may run
    /// elsewhere, waiting costs more than another run; where it may not, the
    /// sidecar keeps the answer for a while.
    fn should_give_up(&self, since: Instant, pulls: u32) -> bool {
        let elsewhere = self.request.repeatable && !self.delivered();
        let patience = self.state.settings.routing.unreachable_timeout.0;
        (elsewhere && pulls >= PULLS) || since.elapsed() >= patience
    }

    /// Checks what was pulled and counts it.
    fn accept(&mut self, pulled: PullOutcome) -> Result<Option<ResponsePart>, AttemptFailure> {
        let PullOutcome::Chunks {
            first,
            mut chunks,
            end,
        } = pulled
        else {
            self.run.mark_finished();
            return Err(self.lost_failure(RetryReason::Unknown));
        };
        // A piece missing between would give the caller another answer than
        // the one that was made.
        let Some(skip) = self.next_chunk.checked_sub(first) else {
            return Err(self.lost_failure(RetryReason::Unknown));
        };
        chunks.drain(..chunks.len().min(skip as usize));
        self.next_chunk += u32::try_from(chunks.len()).unwrap_or(u32::MAX);
        self.tokens += chunks.iter().map(|p| p.tokens).sum::<u32>();

        match end {
            None if chunks.is_empty() => Ok(None),
            None => Ok(Some(ResponsePart::Chunks(chunks))),
            Some(ResponseEnd::Complete {
                chunk_count,
                status,
                finish_reason,
                ..
            }) if chunk_count == self.next_chunk => {
                self.record_complete();
                Ok(Some(ResponsePart::Complete {
                    chunks,
                    status,
                    finish_reason,
                }))
            }
            Some(ResponseEnd::Complete { .. }) => Err(self.lost_failure(RetryReason::Unknown)),
            Some(ResponseEnd::Interrupted { reason, ran }) => {
                Err(self.interrupted_failure(reason, ran))
            }
        }
    }

    fn record_complete(&self) {
        self.run.mark_finished();
        self.state.record_run(&self.run.server, true);
        let mut lengths = self.state.answer_lengths.borrow_mut();
        lengths.record(&self.request.class, self.tokens);
    }

    /// The sidecar says that the run broke off.
    fn interrupted_failure(&self, reason: Refusal, ran: Executed) -> AttemptFailure {
        self.run.mark_finished();
        if reason == Refusal::BackendFailed {
            self.state.record_run(&self.run.server, false);
        }
        let ran = if self.delivered() {
            Executed::Partial
        } else {
            ran
        };
        let cause = match reason {
            Refusal::Preempted => RetryReason::Preempted,
            _ => RetryReason::BackendFailed,
        };
        AttemptFailure {
            attempt: FailedAttempt {
                cause,
                ran,
                delivered: self.delivered(),
            },
            error: RequestError {
                reason,
                ran,
                retry_after: None,
                hint: "the backend server failed".to_owned(),
            },
        }
    }

    /// The answer can no longer be had from the sidecar.
    fn lost_failure(&self, cause: RetryReason) -> AttemptFailure {
        let mut error = dispatch::outcome_unknown();
        if self.delivered() {
            error.reason = Refusal::Truncated;
            error.ran = Executed::Partial;
        }
        AttemptFailure {
            attempt: FailedAttempt {
                cause,
                ran: error.ran,
                delivered: self.delivered(),
            },
            error,
        }
    }
}
