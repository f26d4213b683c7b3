//! Running a completion at a model engine, whose stream is resumed when its
//! connection breaks or goes silent. See docs/DECISIONS/0404-silence.md.

use std::cmp::Ordering;
use std::pin::pin;
use std::time::{Duration, Instant};

use base::reason::{Executed, Refusal};
use bytes::Bytes;
use clients::engine::{Engine, Error, Event};
use futures_util::{Stream, StreamExt};
use spdlog::warn;
use wire::{Chunk, ResponseEnd};

use crate::settings::StreamSettings;
use crate::state::{Request, State, interrupted};
use crate::{health, metrics};

use super::failed;

/// The engine's answer when it does not know a stream.
const NOT_FOUND: u16 = 404;

/// Silence bounds for the header of a new run. Given up too early, the run may
/// begin after the engine was asked whether it knows it.
const HEADER_TIMEOUT_FACTOR: u32 = 3;

/// Pause before the second attempt to resume; it doubles with each further.
const RETRY_DELAY: Duration = Duration::from_millis(25);

/// Runs a completion to its end and passes its tokens on.
pub(super) async fn complete(
    state: &State,
    entry: &Request,
    engine: &Engine,
    body: Bytes,
) -> ResponseEnd {
    let mut run = EngineRun {
        state,
        entry,
        engine,
        settings: state.settings.streams,
        next_seq: 0,
        last_token_at: state.clock.now(),
        attempts: 0,
    };
    tokio::select! {
        end = run.run(body) => end,
        () = entry.stop.wait() => {
            // What the engine still makes for it would be wasted.
            let _ = engine.cancel(entry.ticket).await;
            state.stopped_end(entry)
        }
    }
}

/// One completion at an engine.
struct EngineRun<'a> {
    state: &'a State,
    entry: &'a Request,
    engine: &'a Engine,
    settings: StreamSettings,
    /// The number of the next token.
    next_seq: u32,
    /// When the last token came.
    last_token_at: Instant,
    /// Attempts to resume since then.
    attempts: u32,
}

/// Why a stream stopped before its end.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum StreamFault {
    /// Nothing came for the silence bound. The engine may only be slow;
    /// resuming then costs it a connection and nothing else.
    Silent,
    /// The connection broke.
    Broken,
    /// A token was missing.
    Gap,
    /// The engine could not be reached.
    Unreachable,
}

impl StreamFault {
    /// The word used in labels and logs.
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
        let (ticket, tier) = (self.entry.ticket, self.entry.tier);
        let begun = self.engine.run(ticket, tier, body);
        let mut fault = match tokio::time::timeout(
            self.settings.idle_timeout.0 * HEADER_TIMEOUT_FACTOR,
            begun,
        )
        .await
        {
            Ok(Ok(events)) => match self.take(events).await {
                Ok(end) => return end,
                Err(fault) => fault,
            },
            Ok(Err(e)) if e.not_run() => {
                warn!("run failed", kv: { ticket = ticket.to_string().as_str(), error = e.to_string().as_str() });
                health::record_error(self.state, &e);
                return failed(&e);
            }
            // The request may have arrived; its stream shows.
            Ok(Err(_)) => StreamFault::Broken,
            Err(_) => StreamFault::Silent,
        };

        while self.should_retry(fault) {
            tokio::time::sleep(self.retry_delay()).await;
            metrics::resume_attempt(fault);
            let resumed = self.engine.resume(ticket, self.next_seq);
            fault = match tokio::time::timeout(self.settings.idle_timeout.0, resumed).await {
                Ok(Ok(events)) => match self.take(events).await {
                    Ok(end) => return end,
                    Err(fault) => fault,
                },
                Ok(Err(Error::Refused { status, .. })) if status == NOT_FOUND => {
                    warn!("stream unknown", kv: { ticket = ticket.to_string().as_str(), next = self.next_seq });
                    return self.lost_end();
                }
                Ok(Err(Error::Connect { .. })) => StreamFault::Unreachable,
                Ok(Err(_)) => StreamFault::Broken,
                Err(_) => StreamFault::Silent,
            };
        }
        self.abandon(fault).await
    }

    /// Passes events on until the end or a fault.
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
                    count,
                    finish,
                    cached,
                }))) if count == self.next_seq => {
                    return Ok(ResponseEnd::Complete {
                        chunk_count: count,
                        status: 200,
                        finish_reason: finish,
                        cached_tokens: cached,
                    });
                }
                Ok(Some(Ok(Event::End { .. }))) => return Err(StreamFault::Gap),
                Ok(Some(Err(_)) | None) => return Err(StreamFault::Broken),
                Err(_) => return Err(StreamFault::Silent),
            }
        }
    }

    /// Passes one token on, if it is the next.
    ///
    /// A token that came before a fault may come again after resuming, and
    /// its caller would read it twice. One that is missing would leave a hole
    /// in an answer that looks whole. The numbers tell both.
    fn relay_token(&mut self, seq: u32, text: String) -> Result<(), StreamFault> {
        match seq.cmp(&self.next_seq) {
            Ordering::Less => metrics::duplicate_token(),
            Ordering::Greater => return Err(StreamFault::Gap),
            Ordering::Equal => {
                self.next_seq += 1;
                self.last_token_at = self.state.clock.now();
                self.attempts = 0;
                let data = Bytes::from(text);
                self.state.push_chunk(self.entry, Chunk { tokens: 1, data });
            }
        }
        Ok(())
    }

    /// Whether to try to resume once more.
    fn should_retry(&mut self, fault: StreamFault) -> bool {
        let still = self.state.clock.now() - self.last_token_at;
        self.attempts += 1;
        match fault {
            // Slow and silent look alike; only time tells.
            StreamFault::Silent => still < self.settings.stall_timeout.0,
            StreamFault::Broken | StreamFault::Gap | StreamFault::Unreachable => {
                self.attempts <= self.settings.max_attempts && still < self.settings.stall_timeout.0
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
        let ticket = self.entry.ticket.to_string();
        warn!("stream given up", kv: { ticket = ticket.as_str(), next = self.next_seq, fault = fault.as_str() });
        // The engine may go on with it for nobody.
        if let Err(e) = self.engine.cancel(self.entry.ticket).await {
            health::record_error(self.state, &e);
        }
        self.lost_end()
    }

    /// The end of an answer that cannot be had any more. What the engine did
    /// with it is not known, beyond the tokens that came.
    fn lost_end(&self) -> ResponseEnd {
        let ran = match self.next_seq {
            0 => Executed::Unknown,
            _ => Executed::Partial,
        };
        interrupted(Refusal::BackendFailed, ran)
    }
}
