//! Sending one request and recording its outcome.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use awc::error::{ConnectError, SendRequestError};
use eventsource_stream::Eventsource;
use futures_util::StreamExt;
use serde::Deserialize;
use serde_json::{Value, json};

use crate::arrivals::{Arrival, RequestKind};
use crate::balancer::Balancer;

/// Timeout for the response header.
const HEADER_TIMEOUT: Duration = Duration::from_secs(60);

/// Timeout for the next event of an open stream. The entry sends comments at
/// shorter intervals while it waits itself.
const EVENT_TIMEOUT: Duration = Duration::from_secs(30);

/// Size limit of an answer that is not streamed, in bytes.
const ANSWER_LIMIT: usize = 16 << 20;

/// Header that marks a request as not repeatable.
const NO_REPEAT: &str = "x-no-repeat";

/// Header that carries the idempotency key.
const IDEMPOTENCY_KEY: &str = "idempotency-key";

/// Header that names the request class.
const REQUEST_CLASS: &str = "x-request-class";

/// Error types of an entry that accepts no requests at all.
const NOT_READY: [&str; 2] = ["draining", "no_bundle"];

/// The outcome of a request as its caller saw it.
#[derive(Debug, Clone)]
pub struct Outcome {
    /// The request.
    pub arrival: Arrival,
    /// Time from sending to the first token; `None` if none arrived in a
    /// stream.
    pub ttft: Option<Duration>,
    /// Time from sending to the end.
    pub total: Duration,
    /// Number of tokens received.
    pub tokens: u32,
    /// Whether a token belonged to another request or was out of order.
    pub corrupted: bool,
    /// How the request ended.
    pub ending: Ending,
}

/// How a request ended for its caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Ending {
    /// With the complete answer.
    Completed,
    /// With an HTTP error status and a reason, before any part of the answer.
    Refused(ErrorReply),
    /// With an error event in the stream, after the request was accepted.
    StreamFailed(ErrorReply),
    /// The caller disconnected on purpose.
    Abandoned,
    /// Without an answer or an error reply; holds a description.
    Lost(String),
}

/// The entry's error reply to a request that did not complete.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ErrorReply {
    /// The error type, as `shed`.
    pub reason: String,
    /// Whether the request ran, according to the entry: `no`, `partial` or
    /// `unknown`.
    pub ran: String,
}

impl Outcome {
    /// The outcome of a request that got neither an answer nor an error reply.
    #[must_use]
    pub fn lost(arrival: Arrival, reason: &str) -> Self {
        Self {
            arrival,
            ttft: None,
            total: Duration::ZERO,
            tokens: 0,
            corrupted: false,
            ending: Ending::Lost(reason.to_owned()),
        }
    }
}

/// Creates the HTTP client that all callers of a thread share.
#[must_use]
pub fn http_client() -> awc::Client {
    let connector = awc::Connector::new().limit(0);
    awc::Client::builder()
        .connector(connector)
        .timeout(HEADER_TIMEOUT)
        .finish()
}

/// Sends one request and reads its answer.
pub async fn send_request(http: awc::Client, balancer: &Balancer, arrival: Arrival) -> Outcome {
    let started = Instant::now();
    let mut outcome = Outcome::lost(arrival, "not sent");
    outcome.ending = receive(&http, balancer, &mut outcome, started).await;
    outcome.total = started.elapsed();
    outcome
}

async fn receive(
    http: &awc::Client,
    balancer: &Balancer,
    outcome: &mut Outcome,
    started: Instant,
) -> Ending {
    let (entry, mut response) = match send_with_failover(http, balancer, &outcome.arrival).await {
        Ok(sent) => sent,
        Err(ending) => return ending,
    };
    if !response.status().is_success() {
        let body = response.json::<Value>().await.unwrap_or_default();
        let Some(reply) = parse_error(&body) else {
            return Ending::Lost(format!(
                "status {} without an error type",
                response.status()
            ));
        };
        if NOT_READY.contains(&reply.reason.as_str()) {
            balancer.mark_failed(entry);
        }
        return Ending::Refused(reply);
    }

    match (&outcome.arrival.kind, outcome.arrival.stream) {
        (RequestKind::Completion, true) => read_stream(response, outcome, started).await,
        (RequestKind::Completion, false) => read_completion(response, outcome).await,
        (RequestKind::Call { .. }, _) => read_call(response, outcome).await,
    }
}

/// Sends the request to the first entry that accepts the connection. Only a
/// failure to connect leads to the next entry, since only then has the request
/// certainly not been sent.
async fn send_with_failover(
    http: &awc::Client,
    balancer: &Balancer,
    arrival: &Arrival,
) -> Result<(SocketAddr, awc::ClientResponse), Ending> {
    for entry in balancer.candidates() {
        match post(http, entry, arrival).await {
            Ok(response) => return Ok((entry, response)),
            // Also reported when the request was sent and the connection then
            // closed without an answer.
            Err(SendRequestError::Connect(ConnectError::Disconnected)) => {
                return Err(Ending::Lost(
                    "connection closed without an answer".to_owned(),
                ));
            }
            Err(SendRequestError::Connect(_)) => balancer.mark_failed(entry),
            Err(e) => return Err(Ending::Lost(format!("no answer: {e}"))),
        }
    }
    Err(Ending::Lost("no entry accepts connections".to_owned()))
}

async fn post(
    http: &awc::Client,
    entry: SocketAddr,
    arrival: &Arrival,
) -> Result<awc::ClientResponse, SendRequestError> {
    let path = match &arrival.kind {
        RequestKind::Completion => "chat/completions".to_owned(),
        RequestKind::Call { service } => format!("services/{service}/send"),
    };
    let mut request = http
        .post(format!("http://{entry}/v1/{path}"))
        .insert_header((REQUEST_CLASS, arrival.class.as_str()))
        .bearer_auth(&arrival.token);
    if !arrival.repeatable {
        request = request.insert_header((NO_REPEAT, "1"));
    }
    if arrival.keyed {
        request = request.insert_header((IDEMPOTENCY_KEY, arrival.mark.as_str()));
    }
    request.send_json(&body(arrival)).await
}

fn body(arrival: &Arrival) -> Value {
    if arrival.kind != RequestKind::Completion {
        return json!({ "mark": arrival.mark });
    }
    // The stand-ins count four bytes as one token.
    let prefix =
        format!("{:<4}", arrival.prefix_index % 1000).repeat(arrival.prefix_tokens as usize);
    let prompt = format!(
        "{} {}",
        arrival.mark,
        "word".repeat(arrival.prompt_tokens as usize)
    );
    json!({
        "model": arrival.class,
        "stream": arrival.stream,
        "messages": [
            { "role": "system", "content": format!("{}{prefix}", arrival.class) },
            { "role": "user", "content": prompt },
        ],
        "mark": arrival.mark,
        "length": arrival.answer_tokens,
    })
}

/// Reads a streamed answer.
async fn read_stream(
    response: awc::ClientResponse,
    outcome: &mut Outcome,
    started: Instant,
) -> Ending {
    let mut events = std::pin::pin!(response.timeout(Duration::MAX).eventsource());
    let mut finished = false;
    loop {
        if outcome
            .arrival
            .abandon_after
            .is_some_and(|n| outcome.tokens >= n)
        {
            return Ending::Abandoned;
        }
        let event = match tokio::time::timeout(EVENT_TIMEOUT, events.next()).await {
            Ok(Some(Ok(event))) => event,
            Ok(Some(Err(e))) => return Ending::Lost(format!("stream failed: {e}")),
            Ok(None) => return Ending::Lost("stream closed before the end event".to_owned()),
            Err(_) => return Ending::Lost("no stream event within the timeout".to_owned()),
        };
        if event.data == "[DONE]" {
            return match finished {
                true => Ending::Completed,
                false => Ending::Lost("end event without a finish reason".to_owned()),
            };
        }

        let Ok(event) = serde_json::from_str::<StreamEvent>(&event.data) else {
            return Ending::Lost("event is not valid JSON".to_owned());
        };
        if event.error.is_some() {
            return match parse_error(&json!({ "error": event.error })) {
                Some(reply) => Ending::StreamFailed(reply),
                None => Ending::Lost("error event without a type".to_owned()),
            };
        }
        let Some(choice) = event.choices.into_iter().next() else {
            return Ending::Lost("event without a choice".to_owned());
        };
        if choice.finish_reason.is_some() {
            finished = true;
            continue;
        }
        outcome.ttft.get_or_insert_with(|| started.elapsed());
        outcome.corrupted |=
            choice.delta.content != expected_token(&outcome.arrival, outcome.tokens);
        outcome.tokens += 1;
    }
}

/// Reads an answer that is not streamed.
async fn read_completion(mut response: awc::ClientResponse, outcome: &mut Outcome) -> Ending {
    let Ok(body) = response.json::<Value>().limit(ANSWER_LIMIT).await else {
        return Ending::Lost("answer body incomplete or not JSON".to_owned());
    };
    let Some(text) = body["choices"][0]["message"]["content"].as_str() else {
        return Ending::Lost("answer without text".to_owned());
    };
    let count = text.split_inclusive(' ').count();
    outcome.tokens = u32::try_from(count).unwrap_or(u32::MAX);
    let expected: String = (0..outcome.tokens)
        .map(|i| expected_token(&outcome.arrival, i))
        .collect();
    outcome.corrupted = text != expected;
    Ending::Completed
}

/// Reads the answer of a plain service.
async fn read_call(mut response: awc::ClientResponse, outcome: &mut Outcome) -> Ending {
    let Ok(body) = response.json::<Value>().await else {
        return Ending::Lost("service reply incomplete or not JSON".to_owned());
    };
    outcome.corrupted = body["mark"] != outcome.arrival.mark.as_str();
    Ending::Completed
}

/// The text that the stand-in generates as token number `i` of a request.
fn expected_token(arrival: &Arrival, i: u32) -> String {
    format!("{}:{i} ", arrival.mark)
}

fn parse_error(body: &Value) -> Option<ErrorReply> {
    let field = |key: &str| body["error"][key].as_str().unwrap_or("").to_owned();
    let (reason, ran) = (field("type"), field("ran"));
    (!reason.is_empty()).then_some(ErrorReply { reason, ran })
}

#[derive(Debug, Deserialize)]
struct StreamEvent {
    #[serde(default)]
    choices: Vec<Choice>,
    error: Option<Value>,
}

#[derive(Debug, Deserialize)]
struct Choice {
    #[serde(default)]
    delta: Delta,
    finish_reason: Option<String>,
}

#[derive(Debug, Default, Deserialize)]
struct Delta {
    content: String,
}
