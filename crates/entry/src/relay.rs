//! Streams the chunks of an answer to the caller, and retries the request where
//! that is allowed. See docs/DECISIONS/0202-retries.md.

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

/// Delay before a failed pull is repeated.
const PULL_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Number of consecutive failed pulls after which a request that may run at
/// another server is retried there.
const MAX_FAILED_PULLS: u32 = 2;

/// The incoming answer to one request.
pub struct ResponseStream {
    state: Rc<State>,
    request: Request,
    run: Run,
    attempts: Attempts,
    /// Number of the next chunk, counted from 0 in the current run.
    next_chunk: u32,
    /// Tokens in the chunks of the current run so far.
    tokens: u32,
    /// Chunks buffered for a caller that does not stream.
    buffered: Vec<Chunk>,
}

/// A part of an answer.
pub enum ResponsePart {
    /// Chunks, in order.
    Chunks(Vec<Chunk>),
    /// The end of a complete answer, with its last chunks.
    Complete {
        /// The last chunks.
        chunks: Vec<Chunk>,
        /// HTTP status of the answer of a plain service.
        status: u16,
        /// Finish reason of a completion, or content type of the answer of a
        /// plain service.
        finish_reason: String,
    },
}

impl ResponseStream {
    /// Creates the stream for a request that was started.
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

    /// Waits for the next part. A caller that does not stream gets the answer as
    /// one part. Until then a failed run may be retried, since none of its chunks
    /// have been delivered.
    ///
    /// # Errors
    ///
    /// Returns the error with which the answer was interrupted.
    pub async fn next_part(&mut self) -> Result<ResponsePart, RequestError> {
        let cutoff = self.state.cutoff.clone();
        tokio::select! {
            part = self.pull_part() => return part,
            () = cutoff.wait() => {}
        }
        Err(drain::cutoff_error(self.next_chunk > 0))
    }

    /// How long the stream may be idle before a comment is sent.
    #[must_use]
    pub fn comment_interval(&self) -> Duration {
        self.state.settings.comment_interval.0
    }

    async fn pull_part(&mut self) -> Result<ResponsePart, RequestError> {
        loop {
            match self.pull().await {
                Ok(ResponsePart::Chunks(chunks)) if self.request.stream => {
                    return Ok(ResponsePart::Chunks(chunks));
                }
                Ok(ResponsePart::Chunks(chunks)) => self.buffered.extend(chunks),
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
                Err(failure) => self.retry(failure).await?,
            }
        }
    }

    /// Retries the request after its run failed.
    async fn retry(&mut self, mut failure: AttemptFailure) -> Result<(), RequestError> {
        failure.attempt.delivered = self.delivered();
        if failure.attempt.cause == RetryReason::Preempted {
            self.request.preemptions += 1;
        }
        let attempts = std::mem::take(&mut self.attempts);
        let server = self.run.server.index;
        let granted =
            dispatch::retry(&self.state, &self.request, attempts, server, failure).await?;

        counters::count_wasted_tokens(u64::from(self.tokens));
        self.run = granted.run;
        self.attempts = granted.attempts;
        self.next_chunk = 0;
        self.tokens = 0;
        self.buffered.clear();
        Ok(())
    }

    /// Whether chunks of the current run were sent to the caller. Chunks of
    /// another run must not follow them, because its text may differ.
    fn delivered(&self) -> bool {
        self.request.stream && self.next_chunk > 0
    }

    /// Waits for the next chunks of the current run.
    async fn pull(&mut self) -> Result<ResponsePart, AttemptFailure> {
        let hold = self.state.settings.routing.poll_hold.0;
        let mut outage: Option<(Instant, u32)> = None;
        loop {
            let pull_request = PullRequest {
                ticket: self.run.ticket,
                from: self.next_chunk,
                wait_ms: u32::try_from(hold.as_millis()).unwrap_or(u32::MAX),
            };
            let server = &self.run.server;
            let result = server
                .peer
                .pull(self.state.call_header(), pull_request)
                .await;
            let reply = match self.state.record_result(server, result) {
                Ok(reply) => reply,
                Err(e) => {
                    if outage.is_none() {
                        base::telemetry::count_retry(retry_reason(&e));
                    }
                    let (since, failed_pulls) = outage.unwrap_or((Instant::now(), 0));
                    outage = Some((since, failed_pulls + 1));
                    if self.should_give_up(since, failed_pulls + 1) {
                        warn!("answer lost; sidecar unreachable", kv: { ticket = self.run.ticket.to_string().as_str(), error = e.to_string().as_str() });
                        return Err(self.lost_failure(RetryReason::Unknown));
                    }
                    tokio::time::sleep(PULL_RETRY_DELAY).await;
                    continue;
                }
            };

            outage = None;
            if reply.incarnation != self.run.incarnation {
                // The sidecar restarted and lost the state of the run.
                self.run.mark_finished();
                return Err(self.lost_failure(RetryReason::SidecarRestarted));
            }
            if let Some(part) = self.accept(reply.body)? {
                return Ok(part);
            }
        }
    }

    /// Whether to stop pulling from an unreachable sidecar. If the request can
    /// run at another server, waiting costs more than another run. Otherwise the
    /// entry keeps trying up to a timeout, since the sidecar buffers the answer
    /// for a while.
    fn should_give_up(&self, since: Instant, failed_pulls: u32) -> bool {
        let timeout = self.state.settings.routing.unreachable_timeout.0;
        since.elapsed() >= timeout || (failed_pulls >= MAX_FAILED_PULLS && self.can_run_elsewhere())
    }

    /// Whether the request may run a second time and a server is there for it.
    fn can_run_elsewhere(&self) -> bool {
        let (server, request) = (self.run.server.index, &self.request);
        request.repeatable
            && !self.delivered()
            && self.attempts.has_other(&self.state, request, server)
    }

    /// Validates a pull result and updates the counters of the run.
    fn accept(&mut self, outcome: PullOutcome) -> Result<Option<ResponsePart>, AttemptFailure> {
        let PullOutcome::Chunks {
            first,
            mut chunks,
            end,
        } = outcome
        else {
            self.run.mark_finished();
            return Err(self.lost_failure(RetryReason::Unknown));
        };
        // After a gap in the chunk numbers the caller would get an answer that
        // the engine did not produce.
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

    /// The failure of a run that the sidecar reports as interrupted.
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

    /// The failure of a run whose answer can no longer be fetched.
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
