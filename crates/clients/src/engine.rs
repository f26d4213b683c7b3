//! HTTP client of a model engine: runs, resumes and cancels completions.
//!
//! An engine streams completions as server-sent events. Each event carries its
//! token's sequence number in `seq`, so that a stream can be resumed.

use std::net::SocketAddr;
use std::time::Duration;

use awc::error::{ConnectError, SendRequestError};
use awc::http::StatusCode;
use base::connect::HttpConnector;
use base::ids::{RequestId, Tier};
use bytes::Bytes;
use eventsource_stream::Eventsource;
use futures_util::{Stream, StreamExt};
use serde::{Deserialize, Serialize};
use snafu::{OptionExt, ResultExt, Snafu};

use crate::event_limit::limit_events;

/// Header with the request id, sent to engines and plain services.
pub const REQUEST_ID_HEADER: &str = "x-request-id";

/// Header with the request's priority; lower numbers are scheduled first.
pub const PRIORITY_HEADER: &str = "x-priority";

/// Timeout until an engine has sent its response headers.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(5);

/// Timeout for opening a connection to an engine.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Largest response body with cache events, in bytes.
const CACHE_EVENTS_LIMIT: usize = 4 << 20;

/// Largest event of a stream, in bytes. An event holds one token.
pub const MAX_EVENT_BYTES: usize = 1 << 20;

/// Data of the event that ends a stream, as in the OpenAI protocol.
const DONE_MARKER: &str = "[DONE]";

/// Client that a sidecar uses to call its model engine.
#[derive(Clone)]
pub struct EngineClient {
    /// Address that the engine listens on.
    addr: SocketAddr,
    /// HTTP client that opens a new connection for each call.
    http: awc::Client,
}

/// Error of a call to an engine or a plain service.
#[derive(Debug, Snafu)]
pub enum Error {
    /// No connection could be opened, so the request was not executed.
    #[snafu(display("step={step} peer={peer}: no connection"))]
    Connect {
        /// Operation that failed.
        step: &'static str,
        /// The engine.
        peer: SocketAddr,
    },
    /// The request was sent but no complete response arrived, so it may have
    /// been executed or may still run.
    #[snafu(display("step={step} peer={peer}: {detail}"))]
    NoResponse {
        /// Operation that failed.
        step: &'static str,
        /// The engine.
        peer: SocketAddr,
        /// Error text of the HTTP client.
        detail: String,
    },
    /// The engine rejected the request, so it was not executed.
    #[snafu(display("step={step} peer={peer}: refused with status {status}"))]
    Refused {
        /// Operation that failed.
        step: &'static str,
        /// The engine.
        peer: SocketAddr,
        /// The HTTP status.
        status: u16,
    },
    /// The engine sent data that is not valid JSON of the expected form.
    #[snafu(display("step=read_event peer={peer}: invalid event: {source}"))]
    InvalidEvent {
        /// The engine.
        peer: SocketAddr,
        /// Cause reported by the JSON parser.
        source: serde_json::Error,
    },
    /// An event has an empty `choices` array.
    #[snafu(display("step=read_event peer={peer}: event without a choice"))]
    MissingChoice {
        /// The engine.
        peer: SocketAddr,
    },
}

impl Error {
    /// Whether the request was certainly not executed.
    #[must_use]
    pub fn not_run(&self) -> bool {
        matches!(self, Self::Connect { .. } | Self::Refused { .. })
    }
}

/// Parsed event of a completion stream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Event {
    /// A generated token.
    Token {
        /// Sequence number of the token, starting at 0.
        seq: u32,
        /// Text of the token.
        text: String,
    },
    /// The end of a complete response.
    End {
        /// Number of tokens in the response.
        token_count: u32,
        /// Why generation ended.
        finish_reason: String,
        /// Prompt tokens that the engine found in its prefix cache.
        cached_tokens: u32,
    },
}

/// JSON of one event, a completion chunk of the OpenAI protocol with `seq`.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct Chunk {
    /// Sequence number of the token; in the last chunk the token count.
    pub seq: u32,
    /// Exactly one choice.
    pub choices: Vec<Choice>,
    /// Token counts, present only in the last chunk before `[DONE]`.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub usage: Option<Usage>,
}

/// JSON of an engine's load report.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Requests in the batch.
    pub running: u32,
    /// Requests queued for a slot in the batch.
    pub waiting: u32,
    /// Maximum number of requests in the batch.
    pub slots: u32,
    /// Duration of one step, in microseconds.
    pub step_us: u32,
}

/// JSON response with an engine's cache events. A gap between two sequence
/// numbers means that an event was lost.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvents {
    /// Sequence number to start the next fetch from.
    #[serde(rename = "next")]
    pub next_seq: u64,
    /// Events in ascending order of `seq`.
    pub events: Vec<CacheEvent>,
}

/// Change of one block in an engine's prefix cache.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvent {
    /// Sequence number, increased by one for each event.
    pub seq: u64,
    /// Kind of the change.
    pub change: CacheChange,
    /// Hash of the prompt text from its start to the end of the block. A block
    /// covers 1,024 bytes.
    #[serde(rename = "block")]
    pub block_hash: u64,
}

/// Kind of a change in the prefix cache.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CacheChange {
    /// The block was computed and stored.
    Stored,
    /// The block was evicted to free memory.
    Removed,
}

/// Generated text of a [`Chunk`].
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct Choice {
    /// The text of the token.
    pub text: String,
    /// Why generation ended; set only in the last chunk.
    pub finish_reason: Option<String>,
}

/// Token counts of a complete response.
#[derive(Debug, Clone, Copy, Default, Serialize, Deserialize)]
pub struct Usage {
    /// Tokens in the prompt.
    pub prompt_tokens: u32,
    /// Tokens in the response.
    pub completion_tokens: u32,
    /// Prompt tokens found in the prefix cache.
    pub cached_tokens: u32,
}

impl EngineClient {
    /// Creates a client for the engine at `addr`.
    #[must_use]
    pub fn new(addr: SocketAddr) -> Self {
        // Connections are not reused: an idle connection may be dead without
        // either end noticing, and a request lost on it may or may not have been
        // executed. If a new connection fails, the request was certainly not sent.
        let connector = awc::Connector::new()
            .connector(HttpConnector)
            .timeout(CONNECT_TIMEOUT)
            .conn_keep_alive(Duration::ZERO)
            .limit(0);
        let http = awc::Client::builder()
            .connector(connector)
            .timeout(RESPONSE_TIMEOUT)
            .finish();
        Self { addr, http }
    }

    /// Address that the engine listens on.
    #[must_use]
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Starts a completion and returns the stream of its events. `body` is the
    /// JSON that the caller sent.
    ///
    /// # Errors
    ///
    /// Returns [`Error`] when the engine did not confirm the request.
    /// [`Error::not_run`] tells whether it was certainly not executed.
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

    /// Resumes the stream of a request that is running or has recently ended,
    /// starting at token `from`.
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

    /// Cancels a request. Succeeds also when the engine does not know it.
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

    /// Health check: requests the stream of an id that is never used. Any
    /// response shows that the engine is reachable.
    ///
    /// # Errors
    ///
    /// Returns [`Error`] when the engine does not respond.
    pub async fn probe(&self) -> Result<(), Error> {
        let url = format!("http://{}/v1/streams/{}", self.addr, RequestId(0));
        let sent = self.http.get(url).force_close().send().await;
        sent.map(|_| ())
            .map_err(|e| self.classify_error("probe", &e))
    }

    /// Fetches the prefix cache events with a sequence number of at least `from`.
    ///
    /// # Errors
    ///
    /// Returns [`Error`] when the engine cannot be reached or its response is
    /// invalid.
    pub async fn cache_events(&self, from: u64) -> Result<CacheEvents, Error> {
        let (step, peer) = ("cache_events", self.addr);
        let url = format!("http://{}/v1/cache/events?from={from}", self.addr);
        let sent = self.http.get(url).send().await;
        let response = sent.map_err(|e| self.classify_error(step, &e))?;
        // The timeout of the request does not cover the body.
        let mut response = response.timeout(RESPONSE_TIMEOUT);
        let body = response.body().limit(CACHE_EVENTS_LIMIT).await;
        let body = body.map_err(|e| {
            let detail = e.to_string();
            NoResponseSnafu { step, peer, detail }.build()
        })?;
        serde_json::from_slice(&body).context(InvalidEventSnafu { peer })
    }

    /// Sends a request and parses the events of its response.
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

        // By default the client limits the time of the whole body, but a
        // completion may take long. The reader of the stream applies its own
        // timeout between events.
        let response = response.timeout(Duration::MAX);
        let chunks = limit_events(response, MAX_EVENT_BYTES);
        let events = chunks.eventsource().filter_map(move |event| async move {
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

    /// Distinguishes a request that was never sent from one that may have been.
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

/// Whether a failed request was certainly never sent.
///
/// The client reports a connection that closed between request and response as
/// a connect error (`Disconnected`), too. Treating it as never sent would report
/// a request that a crashing server had started as not executed, and a request
/// that must not be repeated would be executed twice.
pub(crate) fn never_sent(error: &SendRequestError) -> bool {
    matches!(error, SendRequestError::Connect(e) if !matches!(e, ConnectError::Disconnected))
}

/// Parses the data of one server-sent event.
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
