//! Running a completion at a model engine, whose stream is resumed when its
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

use crate::settings::Streams;
use crate::state::{Entry, State, broken};
use crate::{health, meter};

use super::failed;

/// The engine's answer when it does not know a stream.
const NOT_FOUND: u16 = 404;

/// Silence bounds for the header of a new run. Given up too early, the run may
/// begin after the engine was asked whether it knows it.
const HEADER_BOUNDS: u32 = 3;

/// Pause before the second attempt to resume; it doubles with each further.
const PAUSE: Duration = Duration::from_millis(25);

/// Runs a completion to its end and passes its tokens on.
pub(super) async fn complete(
    state: &State,
    entry: &Entry,
    engine: &EngineClient,
    body: Bytes,
) -> ResponseEnd {
    let mut run = Run {
        state,
        entry,
        engine,
        limits: state.settings.streams,
        next: 0,
        moved: state.clock.now(),
        attempts: 0,
    };
    tokio::select! {
        end = run.run(body) => end,
        () = entry.stop.wait() => {
            // What the engine still makes for it would be wasted.
            let _ = engine.cancel(entry.ticket).await;
            state.stopped(entry)
        }
    }
}

/// One completion at an engine.
struct Run<'a> {
    state: &'a State,
    entry: &'a Entry,
    engine: &'a EngineClient,
    limits: Streams,
    /// The number of the next token.
    next: u32,
    /// When the last token came.
    moved: Instant,
    /// Attempts to resume since then.
    attempts: u32,
}

/// Why a stream stopped before its end.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Fault {
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

impl Fault {
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

impl Run<'_> {
    async fn run(&mut self, body: Bytes) -> ResponseEnd {
        let (ticket, tier) = (self.entry.ticket, self.entry.tier);
        let begun = self.engine.run(ticket, tier, body);
        let mut fault = match tokio::time::timeout(self.limits.silence.0 * HEADER_BOUNDS, begun)
            .await
        {
            Ok(Ok(events)) => match self.take(events).await {
                Ok(end) => return end,
                Err(fault) => fault,
            },
            Ok(Err(e)) if e.not_run() => {
                warn!("run failed", kv: { ticket = ticket.to_string().as_str(), error = e.to_string().as_str() });
                health::note(self.state, &e);
                return failed(&e);
            }
            // The request may have arrived; its stream shows.
            Ok(Err(_)) => Fault::Broken,
            Err(_) => Fault::Silent,
        };

        while self.goes_on(fault) {
            tokio::time::sleep(self.pause()).await;
            meter::resume(fault);
            let resumed = self.engine.resume(ticket, self.next);
            fault = match tokio::time::timeout(self.limits.silence.0, resumed).await {
                Ok(Ok(events)) => match self.take(events).await {
                    Ok(end) => return end,
                    Err(fault) => fault,
                },
                Ok(Err(Error::Refused { status, .. })) if status == NOT_FOUND => {
                    warn!("stream unknown", kv: { ticket = ticket.to_string().as_str(), next = self.next });
                    return self.lost();
                }
                Ok(Err(Error::Connect { .. })) => Fault::Unreachable,
                Ok(Err(_)) => Fault::Broken,
                Err(_) => Fault::Silent,
            };
        }
        self.give_up(fault).await
    }

    /// Passes events on until the end or a fault.
    async fn take(
        &mut self,
        events: impl Stream<Item = Result<Event, Error>>,
    ) -> Result<ResponseEnd, Fault> {
        let mut events = pin!(events);
        loop {
            let event = tokio::time::timeout(self.limits.silence.0, events.next()).await;
            match event {
                Ok(Some(Ok(Event::Token { seq, text }))) => self.token(seq, text)?,
                Ok(Some(Ok(Event::End {
                    token_count,
                    finish_reason,
                    cached_tokens,
                }))) if token_count == self.next => {
                    return Ok(ResponseEnd::Complete {
                        chunk_count: token_count,
                        status: 200,
                        finish_reason,
                        cached_tokens,
                    });
                }
                Ok(Some(Ok(Event::End { .. }))) => return Err(Fault::Gap),
                Ok(Some(Err(_)) | None) => return Err(Fault::Broken),
                Err(_) => return Err(Fault::Silent),
            }
        }
    }

    /// Passes one token on, if it is the next.
    ///
    /// A token that came before a fault may come again after resuming, and
    /// its caller would read it twice. One that is missing would leave a hole
    /// in an answer that looks whole. The numbers tell both.
    fn token(&mut self, seq: u32, text: String) -> Result<(), Fault> {
        match seq.cmp(&self.next) {
            Ordering::Less => meter::duplicate(),
            Ordering::Greater => return Err(Fault::Gap),
            Ordering::Equal => {
                self.next += 1;
                self.moved = self.state.clock.now();
                self.attempts = 0;
                let data = Bytes::from(text);
                self.state.push(self.entry, Chunk { tokens: 1, data });
            }
        }
        Ok(())
    }

    /// Whether to try to resume once more.
    fn goes_on(&mut self, fault: Fault) -> bool {
        let still = self.state.clock.now() - self.moved;
        self.attempts += 1;
        match fault {
            // Slow and silent look alike; only time tells.
            Fault::Silent => still < self.limits.patience.0,
            Fault::Broken | Fault::Gap | Fault::Unreachable => {
                self.attempts <= self.limits.attempts && still < self.limits.patience.0
            }
        }
    }

    fn pause(&self) -> Duration {
        match self.attempts {
            0 | 1 => Duration::ZERO,
            n => PAUSE * 2_u32.saturating_pow(n.min(6) - 2),
        }
    }

    async fn give_up(&self, fault: Fault) -> ResponseEnd {
        let ticket = self.entry.ticket.to_string();
        warn!("stream given up", kv: { ticket = ticket.as_str(), next = self.next, fault = fault.as_str() });
        // The engine may go on with it for nobody.
        if let Err(e) = self.engine.cancel(self.entry.ticket).await {
            health::note(self.state, &e);
        }
        self.lost()
    }

    /// The end of an answer that cannot be had any more. What the engine did
    /// with it is not known, beyond the tokens that came.
    fn lost(&self) -> ResponseEnd {
        let ran = match self.next {
            0 => Executed::Unknown,
            _ => Executed::Partial,
        };
        broken(Refusal::BackendFailed, ran)
    }
}
