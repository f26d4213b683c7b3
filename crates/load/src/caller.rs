//! One caller's request and its outcome.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use eventsource_stream::Eventsource;
use futures_util::StreamExt;
use serde::Deserialize;
use serde_json::{Value, json};

use crate::arrivals::Arrival;

/// Longest time that a caller waits for a header.
const HEADER_TIMEOUT: Duration = Duration::from_secs(60);

/// What a caller saw of its request.
#[derive(Debug, Clone)]
pub struct Outcome {
    /// The request.
    pub arrival: Arrival,
    /// From sending to the first token.
    pub first: Option<Duration>,
    /// From sending to the end.
    pub total: Duration,
    /// Tokens received.
    pub tokens: u32,
    /// Whether a token was another request's or out of order.
    pub mixed: bool,
    /// How it ended.
    pub ending: Ending,
}

/// How a request ended for its caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Ending {
    /// With the whole answer.
    Whole,
    /// With a refusal: its reason and what was said about having run.
    Refused {
        /// The reason's word.
        reason: String,
        /// What was said about having run.
        ran: String,
    },
    /// Without an end.
    Lost,
}

/// Makes the HTTP client that all callers share.
#[must_use]
pub fn client() -> awc::Client {
    let connector = awc::Connector::new().limit(0);
    awc::Client::builder()
        .connector(connector)
        .timeout(HEADER_TIMEOUT)
        .finish()
}

/// Sends one request and takes in its whole answer.
pub async fn call(http: awc::Client, entry: SocketAddr, arrival: Arrival) -> Outcome {
    let began = Instant::now();
    let mut outcome = Outcome {
        arrival,
        first: None,
        total: Duration::ZERO,
        tokens: 0,
        mixed: false,
        ending: Ending::Lost,
    };
    outcome.ending = take(&http, entry, &mut outcome, began).await;
    outcome.total = began.elapsed();
    outcome
}

async fn take(
    http: &awc::Client,
    entry: SocketAddr,
    outcome: &mut Outcome,
    began: Instant,
) -> Ending {
    let arrival = &outcome.arrival;
    let body = json!({
        "model": arrival.class,
        "stream": true,
        "messages": [{ "role": "user", "content": "word".repeat(arrival.prompt as usize) }],
        "mark": arrival.mark,
        "length": arrival.answer,
    });
    let sent = http
        .post(format!("http://{entry}/v1/chat/completions"))
        .bearer_auth(&arrival.token)
        .send_json(&body);
    let Ok(mut response) = sent.await else {
        return Ending::Lost;
    };
    if !response.status().is_success() {
        let body = response.json::<Value>().await.unwrap_or_default();
        return refused(&body);
    }

    let mut events = std::pin::pin!(response.timeout(Duration::MAX).eventsource());
    let mut finished = false;
    while let Some(Ok(event)) = events.next().await {
        if event.data == "[DONE]" {
            return if finished {
                Ending::Whole
            } else {
                Ending::Lost
            };
        }
        let Ok(event) = serde_json::from_str::<Event>(&event.data) else {
            return Ending::Lost;
        };
        if let Some(error) = event.error {
            return refused(&json!({ "error": error }));
        }
        let Some(choice) = event.choices.into_iter().next() else {
            return Ending::Lost;
        };
        if choice.finish_reason.is_some() {
            finished = true;
            continue;
        }
        outcome.first.get_or_insert_with(|| began.elapsed());
        let expected = format!("{}:{} ", outcome.arrival.mark, outcome.tokens);
        outcome.mixed |= choice.delta.content != expected;
        outcome.tokens += 1;
    }
    Ending::Lost
}

fn refused(body: &Value) -> Ending {
    let word = |key: &str| body["error"][key].as_str().unwrap_or("").to_owned();
    let (reason, ran) = (word("type"), word("ran"));
    if reason.is_empty() {
        return Ending::Lost;
    }
    Ending::Refused { reason, ran }
}

#[derive(Debug, Deserialize)]
struct Event {
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
