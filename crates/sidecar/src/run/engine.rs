//! Runs a completion at a model engine and resumes its stream when the
//! connection breaks or goes silent. See docs/DECISIONS/0404-silence.md.

use std::cmp::Ordering;
use std::pin::pin;
use std::time::{Duration, Instant};

use base::reason::{Executed, Refusal};
use bytes::Bytes;
use clients::engine::{EngineClient, Error, Event};
use futures_util::{Stream, StreamExt};
use spdlog::warn;
use wire::{Chunk, ResponseEnd};

use crate::settings::StreamSettings;
use crate::state::{Request, State, interrupted};
use crate::{health, metrics};

use super::failed;

/// The engine's response status when it does not know a stream.
const NOT_FOUND: u16 = 404;

/// Timeout for the response header of a new run, as a multiple of the idle
/// timeout. If it is too short, the run may begin only after the engine was
/// asked to resume it and answered that it does not know the stream.
const HEADER_TIMEOUT_FACTOR: u32 = 3;

/// Delay before the second attempt to resume; it doubles with each further
/// attempt, up to 16 times this value.
const RETRY_DELAY: Duration = Duration::from_millis(25);

/// Runs a completion to its end and relays its tokens.
pub(super) async fn complete(
    state: &State,
    request: &Request,
    engine: &EngineClient,
    body: Bytes,
) -> ResponseEnd {
    let mut run = EngineRun {
        state,
        request,
        engine,
        settings: state.settings.streams,
        next_seq: 0,
        last_token_at: state.clock.now(),
        attempts: 0,
    };
    tokio::select! {
        end = run.run(body) => end,
        () = request.stop.wait() => {
            // Further tokens would be wasted.
            let _ = engine.cancel(request.ticket).await;
            state.stopped_end(request)
        }
    }
}

/// One completion at an engine.
struct EngineRun<'a> {
    state: &'a State,
    request: &'a Request,
    engine: &'a EngineClient,
    settings: StreamSettings,
    /// The sequence number of the next token.
    next_seq: u32,
    /// When the last token was received, or when the run began.
    last_token_at: Instant,
    /// Number of faults since then.
    attempts: u32,
}

/// Why a stream stopped before its end.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum StreamFault {
    /// Nothing was received within the idle timeout. The engine may only be
    /// slow; resuming then costs no more than a new connection.
    Silent,
    /// The connection broke.
    Broken,
    /// A token was missing.
    Gap,
    /// The engine could not be reached.
    Unreachable,
}

impl StreamFault {
    /// The value used in metric labels and log events.
    pub(crate) fn as_str(self) -> &'static str {
        match self {
            Self::Silent => "silent",
            Self::Broken => "broken",
            Self::Gap => "gap",
            Self::Unreachable => "unreachable",
        }
    }
}

impl EngineRun<'_> {
    async fn run(&mut self, body: Bytes) -> ResponseEnd {
        let (ticket, tier) = (self.request.ticket, self.request.tier);
        let response = self.engine.run(ticket, tier, body);
        let mut fault = match tokio::time::timeout(
            self.settings.idle_timeout.0 * HEADER_TIMEOUT_FACTOR,
            response,
        )
        .await
        {
            Ok(Ok(events)) => match self.take(events).await {
                Ok(end) => return end,
                Err(fault) => fault,
            },
            Ok(Err(e)) if e.not_run() => {
                warn!("engine did not run the request", kv: { ticket = ticket.to_string().as_str(), error = e.to_string().as_str() });
                health::record_error(self.state, &e);
                return failed(&e);
            }
            // The request may have arrived; resuming its stream tells.
            Ok(Err(_)) => StreamFault::Broken,
            Err(_) => StreamFault::Silent,
        };

        while self.should_retry(fault) {
            tokio::time::sleep(self.retry_delay()).await;
            metrics::resume_attempt(fault);
            let response = self.engine.resume(ticket, self.next_seq);
            fault = match tokio::time::timeout(self.settings.idle_timeout.0, response).await {
                Ok(Ok(events)) => match self.take(events).await {
                    Ok(end) => return end,
                    Err(fault) => fault,
                },
                Ok(Err(Error::Refused { status, .. })) if status == NOT_FOUND => {
                    warn!("stream unknown to engine", kv: { ticket = ticket.to_string().as_str(), next = self.next_seq });
                    return self.lost_end();
                }
                Ok(Err(Error::Connect { .. })) => StreamFault::Unreachable,
                Ok(Err(_)) => StreamFault::Broken,
                Err(_) => StreamFault::Silent,
            };
        }
        self.abandon(fault).await
    }

    /// Relays events until the end of the response or a fault.
    async fn take(
        &mut self,
        events: impl Stream<Item = Result<Event, Error>>,
    ) -> Result<ResponseEnd, StreamFault> {
        let mut events = pin!(events);
        loop {
            let event = tokio::time::timeout(self.settings.idle_timeout.0, events.next()).await;
            match event {
                Ok(Some(Ok(Event::Token { seq, text }))) => self.relay_token(seq, text)?,
                Ok(Some(Ok(Event::End {
                    token_count,
                    finish_reason,
                    cached_tokens,
                }))) if token_count == self.next_seq => {
                    return Ok(ResponseEnd::Complete {
                        chunk_count: token_count,
                        status: 200,
                        finish_reason,
                        cached_tokens,
                    });
                }
                Ok(Some(Ok(Event::End { .. }))) => return Err(StreamFault::Gap),
                Ok(Some(Err(_)) | None) => return Err(StreamFault::Broken),
                Err(_) => return Err(StreamFault::Silent),
            }
        }
    }

    /// Relays a token if it is the next in sequence.
    ///
    /// A token that was received before a fault may be repeated after resuming,
    /// and the caller would read it twice. A lost token would leave a gap in a
    /// response that looks complete. The sequence numbers reveal both.
    fn relay_token(&mut self, seq: u32, text: String) -> Result<(), StreamFault> {
        match seq.cmp(&self.next_seq) {
            Ordering::Less => metrics::duplicate_token(),
            Ordering::Greater => return Err(StreamFault::Gap),
            Ordering::Equal => {
                self.next_seq += 1;
                self.last_token_at = self.state.clock.now();
                self.attempts = 0;
                let data = Bytes::from(text);
                self.state
                    .push_chunk(self.request, Chunk { tokens: 1, data });
            }
        }
        Ok(())
    }

    /// Counts a fault and decides whether to resume the stream once more.
    fn should_retry(&mut self, fault: StreamFault) -> bool {
        let since_last_token = self.state.clock.now() - self.last_token_at;
        self.attempts += 1;
        match fault {
            // A slow engine cannot be told from a silent one, so only the stall
            // timeout ends the attempts.
            StreamFault::Silent => since_last_token < self.settings.stall_timeout.0,
            StreamFault::Broken | StreamFault::Gap | StreamFault::Unreachable => {
                self.attempts <= self.settings.max_attempts
                    && since_last_token < self.settings.stall_timeout.0
            }
        }
    }

    fn retry_delay(&self) -> Duration {
        match self.attempts {
            0 | 1 => Duration::ZERO,
            n => RETRY_DELAY * 2_u32.saturating_pow(n.min(6) - 2),
        }
    }

    async fn abandon(&self, fault: StreamFault) -> ResponseEnd {
        let ticket = self.request.ticket.to_string();
        warn!("stream abandoned", kv: { ticket = ticket.as_str(), next = self.next_seq, fault = fault.as_str() });
        // The engine may still be generating tokens that nobody will receive.
        if let Err(e) = self.engine.cancel(self.request.ticket).await {
            health::record_error(self.state, &e);
        }
        self.lost_end()
    }

    /// The end of a response whose stream is lost. Beyond the received tokens it
    /// is unknown how far the engine ran the request.
    fn lost_end(&self) -> ResponseEnd {
        let ran = match self.next_seq {
            0 => Executed::Unknown,
            _ => Executed::Partial,
        };
        interrupted(Refusal::BackendFailed, ran)
    }
}
