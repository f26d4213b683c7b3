//! Running, resuming and cancelling completions at a model engine.
//!
//! An engine speaks chat completions over HTTP with server-sent events. Each
//! event numbers its token in `seq`, so that a stream can be resumed.

use std::net::SocketAddr;
use std::time::Duration;

use awc::error::{ConnectError, SendRequestError};
use awc::http::StatusCode;
use base::ids::{RequestId, Tier};
use bytes::Bytes;
use eventsource_stream::Eventsource;
use futures_util::{Stream, StreamExt};
use serde::{Deserialize, Serialize};
use snafu::{OptionExt, ResultExt, Snafu};

/// Header that names the request towards an engine or a plain service.
pub const REQUEST_ID_HEADER: &str = "x-request-id";

/// Header that carries the priority; lower numbers go first.
pub const PRIORITY_HEADER: &str = "x-priority";

/// Time allowed until an engine answers with a header.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(5);

/// Time allowed for a new connection to an engine.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Largest answer about the prefix cache, in bytes.
const CACHE_EVENTS_LIMIT: usize = 4 << 20;

/// The last event of a stream, by the usual protocol.
const DONE_MARKER: &str = "[DONE]";

/// One model engine as its sidecar reaches it.
#[derive(Clone)]
pub struct EngineClient {
    /// Where the engine listens.
    addr: SocketAddr,
    /// The HTTP client, which makes a connection for each call.
    http: awc::Client,
}

/// Why a call of an engine failed.
#[derive(Debug, Snafu)]
pub enum Error {
    /// The engine could not be reached, so the request did not run.
    #[snafu(display("step={step} peer={peer}: no connection"))]
    Connect {
        /// What was wanted.
        step: &'static str,
        /// The engine.
        peer: SocketAddr,
    },
    /// The call went out and its answer did not come, so the request may run.
    #[snafu(display("step={step} peer={peer}: {detail}"))]
    NoResponse {
        /// What was wanted.
        step: &'static str,
        /// The engine.
        peer: SocketAddr,
        /// What the client reported.
        detail: String,
    },
    /// The engine refused the call, so the request did not run.
    #[snafu(display("step={step} peer={peer}: refused with status {status}"))]
    Refused {
        /// What was wanted.
        step: &'static str,
        /// The engine.
        peer: SocketAddr,
        /// The HTTP status.
        status: u16,
    },
    /// The engine sent an event that does not fit its protocol.
    #[snafu(display("step=read_event peer={peer}: bad event: {source}"))]
    InvalidEvent {
        /// The engine.
        peer: SocketAddr,
        /// What the parser found.
        source: serde_json::Error,
    },
    /// An event had no choice in it.
    #[snafu(display("step=read_event peer={peer}: event without a choice"))]
    MissingChoice {
        /// The engine.
        peer: SocketAddr,
    },
}

impl Error {
    /// Whether the request certainly did not run.
    #[must_use]
    pub fn not_run(&self) -> bool {
        matches!(self, Self::Connect { .. } | Self::Refused { .. })
    }
}

/// One event of a stream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Event {
    /// A token.
    Token {
        /// Its number, from 0.
        seq: u32,
        /// Its text.
        text: String,
    },
    /// The end of a whole answer.
    End {
        /// How many tokens the answer has.
        token_count: u32,
        /// Why it ended.
        finish_reason: String,
        /// Prompt tokens that the engine found in its cache.
        cached_tokens: u32,
    },
}

/// One event as the engine writes it, in the usual shape.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct Chunk {
    /// The token's number.
    pub seq: u32,
    /// One choice.
    pub choices: Vec<Choice>,
    /// Present in the last event before the end mark.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub usage: Option<Usage>,
}

/// A load report as the engine writes it.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Requests in the batch.
    pub running: u32,
    /// Requests that wait for room in the batch.
    pub waiting: u32,
    /// Requests that fit into the batch.
    pub slots: u32,
    /// Time of a step, in microseconds.
    pub step_us: u32,
}

/// Cache events as the engine writes them. A number that is missing between
/// two events means that an event was lost.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvents {
    /// The number to ask from next time.
    #[serde(rename = "next")]
    pub next_seq: u64,
    /// The events, by number.
    pub events: Vec<CacheEvent>,
}

/// One change of an engine's prefix cache.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvent {
    /// The event's number; grows by one with each.
    pub seq: u64,
    /// What happened.
    pub change: CacheChange,
    /// The block: the hash of the prompt's text from its start to the
    /// block's end, where a block has 1,024 bytes.
    #[serde(rename = "block")]
    pub block_hash: u64,
}

/// What happened to a block of the prefix cache.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CacheChange {
    /// It was computed and is kept.
    Stored,
    /// It was dropped to make room.
    Removed,
}

/// One choice of a [`Chunk`].
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct Choice {
    /// The text of the token.
    pub text: String,
    /// Why the answer ended.
    pub finish_reason: Option<String>,
}

/// Token counts in the last event.
#[derive(Debug, Clone, Copy, Default, Serialize, Deserialize)]
pub struct Usage {
    /// Tokens of the prompt.
    pub prompt_tokens: u32,
    /// Tokens of the answer.
    pub completion_tokens: u32,
    /// Prompt tokens that were found in the cache.
    pub cached_tokens: u32,
}

impl EngineClient {
    /// Makes a client for the engine at `addr`.
    #[must_use]
    pub fn new(addr: SocketAddr) -> Self {
        // A kept connection may have gone silent for good. A request sent on
        // it would vanish, and nobody could tell whether it ran; a request on
        // a new connection either goes out or certainly did not run.
        let connector = awc::Connector::new()
            .timeout(CONNECT_TIMEOUT)
            .conn_keep_alive(Duration::ZERO)
            .limit(0);
        let http = awc::Client::builder()
            .connector(connector)
            .timeout(RESPONSE_TIMEOUT)
            .finish();
        Self { addr, http }
    }

    /// Where the engine listens.
    #[must_use]
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Runs a completion and returns its events. `body` is the caller's JSON.
    ///
    /// # Errors
    ///
    /// Returns [`Error`] when the engine did not accept the request;
    /// [`Error::not_run`] tells whether it may run all the same.
    pub async fn run(
        &self,
        ticket: RequestId,
        tier: Tier,
        body: Bytes,
    ) -> Result<impl Stream<Item = Result<Event, Error>> + use<>, Error> {
        let request = self
            .http
            .post(format!("http://{}/v1/completions", self.addr))
            .insert_header((REQUEST_ID_HEADER, ticket.to_string()))
            .insert_header((PRIORITY_HEADER, tier.to_string()))
            .content_type("application/json")
            .force_close();
        self.open_stream("run", request.send_body(body)).await
    }

    /// Resumes the stream of a request that the engine still runs or keeps,
    /// from token number `from` on.
    ///
    /// # Errors
    ///
    /// Returns [`Error`] when the engine does not know the request or cannot
    /// be reached.
    pub async fn resume(
        &self,
        ticket: RequestId,
        from: u32,
    ) -> Result<impl Stream<Item = Result<Event, Error>> + use<>, Error> {
        let url = format!("http://{}/v1/streams/{ticket}?from={from}", self.addr);
        let request = self.http.get(url).force_close();
        self.open_stream("resume", request.send()).await
    }

    /// Stops a request. A request that the engine does not know is no error.
    ///
    /// # Errors
    ///
    /// Returns [`Error`] when the engine cannot be reached.
    pub async fn cancel(&self, ticket: RequestId) -> Result<(), Error> {
        let url = format!("http://{}/v1/streams/{ticket}", self.addr);
        let sent = self.http.delete(url).force_close().send().await;
        sent.map(|_| ())
            .map_err(|e| self.classify_error("cancel", &e))
    }

    /// Asks after a stream that no request ever has. Any answer shows that
    /// the engine can be reached.
    ///
    /// # Errors
    ///
    /// Returns [`Error`] when the engine does not answer.
    pub async fn probe(&self) -> Result<(), Error> {
        let url = format!("http://{}/v1/streams/{}", self.addr, RequestId(0));
        let sent = self.http.get(url).force_close().send().await;
        sent.map(|_| ())
            .map_err(|e| self.classify_error("probe", &e))
    }

    /// Fetches the changes of the prefix cache from number `from` on.
    ///
    /// # Errors
    ///
    /// Returns [`Error`] when the engine cannot be reached or its answer does
    /// not fit.
    pub async fn cache_events(&self, from: u64) -> Result<CacheEvents, Error> {
        let (step, peer) = ("cache_events", self.addr);
        let url = format!("http://{}/v1/cache/events?from={from}", self.addr);
        let sent = self.http.get(url).send().await;
        let mut response = sent.map_err(|e| self.classify_error(step, &e))?;
        let body = response.body().limit(CACHE_EVENTS_LIMIT).await;
        let body = body.map_err(|e| {
            let detail = e.to_string();
            NoResponseSnafu { step, peer, detail }.build()
        })?;
        serde_json::from_slice(&body).context(InvalidEventSnafu { peer })
    }

    async fn open_stream(
        &self,
        step: &'static str,
        sent: awc::SendClientRequest,
    ) -> Result<impl Stream<Item = Result<Event, Error>> + use<>, Error> {
        let peer = self.addr;
        let response = sent.await.map_err(|e| self.classify_error(step, &e))?;
        if response.status() != StatusCode::OK {
            let status = response.status().as_u16();
            return RefusedSnafu { step, peer, status }.fail();
        }

        // The client bounds a body's time by default; an answer may be long.
        // Silence is watched by whoever reads the stream.
        let response = response.timeout(Duration::MAX);
        let events = response.eventsource().filter_map(move |event| async move {
            match event {
                Ok(event) if event.data == DONE_MARKER => None,
                Ok(event) => Some(parse_event(peer, &event.data)),
                Err(e) => {
                    let detail = e.to_string();
                    Some(
                        NoResponseSnafu {
                            step: "read_event",
                            peer,
                            detail,
                        }
                        .fail(),
                    )
                }
            }
        });
        Ok(events)
    }

    /// Tells a request that never went out from one that may have.
    fn classify_error(&self, step: &'static str, error: &SendRequestError) -> Error {
        let peer = self.addr;
        match error {
            e if never_sent(e) => ConnectSnafu { step, peer }.build(),
            other => NoResponseSnafu {
                step,
                peer,
                detail: other.to_string(),
            }
            .build(),
        }
    }
}

/// Whether a call that failed certainly never went out.
///
/// The client also reports a connection that closed between the request and
/// the answer as one that was not made (`Disconnected`). Taken at its word, a
/// request that a crashing server had begun would be told as not run, and
/// one that must not run twice would run again.
pub(crate) fn never_sent(error: &SendRequestError) -> bool {
    matches!(error, SendRequestError::Connect(e) if !matches!(e, ConnectError::Disconnected))
}

fn parse_event(peer: SocketAddr, data: &str) -> Result<Event, Error> {
    let chunk: Chunk = serde_json::from_str(data).context(InvalidEventSnafu { peer })?;
    let choice = chunk
        .choices
        .into_iter()
        .next()
        .context(MissingChoiceSnafu { peer })?;

    let Some(finish_reason) = choice.finish_reason else {
        return Ok(Event::Token {
            seq: chunk.seq,
            text: choice.text,
        });
    };
    let cached_tokens = chunk.usage.map_or(0, |u| u.cached_tokens);
    Ok(Event::End {
        token_count: chunk.seq,
        finish_reason,
        cached_tokens,
    })
}
