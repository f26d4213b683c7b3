//! One caller's request and its outcome.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use awc::error::{ConnectError, SendRequestError};
use eventsource_stream::Eventsource;
use futures_util::StreamExt;
use serde::Deserialize;
use serde_json::{Value, json};

use crate::arrivals::{Arrival, RequestKind};
use crate::balancer::Balancer;

/// Longest time that a caller waits for a header.
const HEADER_TIMEOUT: Duration = Duration::from_secs(60);

/// Longest time that a caller waits for an event of an open stream. The entry
/// sends comments at shorter intervals while it waits itself.
const EVENT_TIMEOUT: Duration = Duration::from_secs(30);

/// Largest whole answer, in bytes.
const ANSWER_LIMIT: usize = 16 << 20;

/// Header that marks one call as not repeatable.
const NO_REPEAT: &str = "x-no-repeat";

/// Header that carries the idempotency key.
const IDEMPOTENCY_KEY: &str = "idempotency-key";

/// Header that names the request class.
const REQUEST_CLASS: &str = "x-request-class";

/// Refusals that tell that an entry takes nothing at all.
const NOT_READY: [&str; 2] = ["draining", "no_bundle"];

/// What a caller saw of its request.
#[derive(Debug, Clone)]
pub struct Outcome {
    /// The request.
    pub arrival: Arrival,
    /// From sending to the first token; `None` when the answer was taken
    /// whole.
    pub ttft: Option<Duration>,
    /// From sending to the end.
    pub total: Duration,
    /// Tokens received.
    pub tokens: u32,
    /// Whether a token was another request's or out of order.
    pub corrupted: bool,
    /// How it ended.
    pub ending: Ending,
}

/// How a request ended for its caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Ending {
    /// With the whole answer.
    Completed,
    /// With an HTTP status that says why, before any part of the answer.
    Refused(ErrorReply),
    /// With an error event in the stream, after the request was accepted.
    StreamFailed(ErrorReply),
    /// The caller went away by itself.
    Abandoned,
    /// Without an end, for the reason in words.
    Lost(String),
}

/// What a caller was told about a request that did not end whole.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ErrorReply {
    /// The reason's word.
    pub reason: String,
    /// What was said about having run.
    pub ran: String,
}

impl Outcome {
    /// The outcome of a request that came to no end.
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

/// Makes the HTTP client that all callers of a thread share.
#[must_use]
pub fn http_client() -> awc::Client {
    let connector = awc::Connector::new().limit(0);
    awc::Client::builder()
        .connector(connector)
        .timeout(HEADER_TIMEOUT)
        .finish()
}

/// Sends one request and takes in its answer.
pub async fn send_request(http: awc::Client, balancer: &Balancer, arrival: Arrival) -> Outcome {
    let began = Instant::now();
    let mut outcome = Outcome::lost(arrival, "not sent");
    outcome.ending = receive(&http, balancer, &mut outcome, began).await;
    outcome.total = began.elapsed();
    outcome
}

async fn receive(
    http: &awc::Client,
    balancer: &Balancer,
    outcome: &mut Outcome,
    began: Instant,
) -> Ending {
    let (entry, mut response) = match send_with_failover(http, balancer, &outcome.arrival).await {
        Ok(sent) => sent,
        Err(ending) => return ending,
    };
    if !response.status().is_success() {
        let body = response.json::<Value>().await.unwrap_or_default();
        let Some(told) = parse_error(&body) else {
            return Ending::Lost(format!("status {} without a reason", response.status()));
        };
        if NOT_READY.contains(&told.reason.as_str()) {
            balancer.mark_failed(entry);
        }
        return Ending::Refused(told);
    }

    match (&outcome.arrival.kind, outcome.arrival.stream) {
        (RequestKind::Completion, true) => read_stream(response, outcome, began).await,
        (RequestKind::Completion, false) => read_completion(response, outcome).await,
        (RequestKind::Call { .. }, _) => read_call(response, outcome).await,
    }
}

/// Sends the request to one entry after the other, as a balancer does: only a
/// connection that could not be made leads to the next, since the request
/// certainly never went out on it.
async fn send_with_failover(
    http: &awc::Client,
    balancer: &Balancer,
    arrival: &Arrival,
) -> Result<(SocketAddr, awc::ClientResponse), Ending> {
    for entry in balancer.candidates() {
        match post(http, entry, arrival).await {
            Ok(response) => return Ok((entry, response)),
            // Reported also for a request that went out and got no answer.
            Err(SendRequestError::Connect(ConnectError::Disconnected)) => {
                return Err(Ending::Lost("the connection closed".to_owned()));
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
    // A token is four bytes to the stand-ins.
    let shared =
        format!("{:<4}", arrival.prefix_index % 1000).repeat(arrival.prefix_tokens as usize);
    let own = format!(
        "{} {}",
        arrival.mark,
        "word".repeat(arrival.prompt_tokens as usize)
    );
    json!({
        "model": arrival.class,
        "stream": arrival.stream,
        "messages": [
            { "role": "system", "content": format!("{}{shared}", arrival.class) },
            { "role": "user", "content": own },
        ],
        "mark": arrival.mark,
        "length": arrival.answer_tokens,
    })
}

/// Takes in an answer as it is made.
async fn read_stream(
    response: awc::ClientResponse,
    outcome: &mut Outcome,
    began: Instant,
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
            Ok(None) => return Ending::Lost("stream closed without an end".to_owned()),
            Err(_) => return Ending::Lost("stream went silent".to_owned()),
        };
        if event.data == "[DONE]" {
            return match finished {
                true => Ending::Completed,
                false => Ending::Lost("end mark without a finish".to_owned()),
            };
        }

        let Ok(event) = serde_json::from_str::<StreamEvent>(&event.data) else {
            return Ending::Lost("event that is no JSON".to_owned());
        };
        if event.error.is_some() {
            return match parse_error(&json!({ "error": event.error })) {
                Some(told) => Ending::StreamFailed(told),
                None => Ending::Lost("error without a reason".to_owned()),
            };
        }
        let Some(choice) = event.choices.into_iter().next() else {
            return Ending::Lost("event without a choice".to_owned());
        };
        if choice.finish_reason.is_some() {
            finished = true;
            continue;
        }
        outcome.ttft.get_or_insert_with(|| began.elapsed());
        outcome.corrupted |=
            choice.delta.content != expected_token(&outcome.arrival, outcome.tokens);
        outcome.tokens += 1;
    }
}

/// Takes in an answer that comes at once.
async fn read_completion(mut response: awc::ClientResponse, outcome: &mut Outcome) -> Ending {
    let Ok(body) = response.json::<Value>().limit(ANSWER_LIMIT).await else {
        return Ending::Lost("whole answer broke off".to_owned());
    };
    let Some(text) = body["choices"][0]["message"]["content"].as_str() else {
        return Ending::Lost("whole answer without text".to_owned());
    };
    let count = text.split_inclusive(' ').count();
    outcome.tokens = u32::try_from(count).unwrap_or(u32::MAX);
    let own: String = (0..outcome.tokens)
        .map(|i| expected_token(&outcome.arrival, i))
        .collect();
    outcome.corrupted = text != own;
    Ending::Completed
}

/// Takes in a plain service's answer.
async fn read_call(mut response: awc::ClientResponse, outcome: &mut Outcome) -> Ending {
    let Ok(body) = response.json::<Value>().await else {
        return Ending::Lost("plain answer broke off".to_owned());
    };
    outcome.corrupted = body["mark"] != outcome.arrival.mark.as_str();
    Ending::Completed
}

/// The text that the stand-in makes as token number `i` of a request.
fn expected_token(arrival: &Arrival, i: u32) -> String {
    format!("{}:{i} ", arrival.mark)
}

fn parse_error(body: &Value) -> Option<ErrorReply> {
    let word = |key: &str| body["error"][key].as_str().unwrap_or("").to_owned();
    let (reason, ran) = (word("type"), word("ran"));
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
