//! A closed-loop load generator: each client sends its next request when the
//! previous one has ended.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use eventsource_stream::Eventsource;
use futures_util::StreamExt;
use load::arrivals::RequestKind;
use load::balancer::Balancer;
use load::{Arrival, Ending, caller};
use serde_json::json;

use crate::testbed::{CLASS, TOKEN};

/// Threads that send requests, each with an event loop of its own.
const THREADS: u64 = 4;

/// Results of a batch of requests.
#[derive(Debug, Clone, Copy, Default)]
pub struct Totals {
    /// Requests that received a complete answer.
    pub whole: u64,
    /// Requests that ended in any other way.
    pub failed: u64,
    /// Tokens received.
    pub tokens: u64,
    /// From the first request to the last answer.
    pub elapsed: Duration,
}

/// The request with this number, which asks for `answer` tokens.
#[must_use]
pub fn arrival(number: u64, answer_tokens: u32) -> Arrival {
    Arrival {
        at: Duration::ZERO,
        class: CLASS.to_owned(),
        kind: RequestKind::Completion,
        token: TOKEN.to_owned(),
        mark: format!("m{number}"),
        prompt_tokens: 16,
        prefix_tokens: 0,
        prefix_index: 0,
        answer_tokens,
        stream: true,
        abandon_after: None,
        repeatable: true,
        keyed: false,
    }
}

/// Sends `count` requests for `answer` tokens each, at most `in_flight` of
/// them at a time (rounded up to a multiple of the number of threads).
#[must_use]
pub fn send_requests(entry: SocketAddr, count: u64, in_flight: u64, answer: u32) -> Totals {
    let started = Instant::now();
    let next = Arc::new(AtomicU64::new(0));
    let threads: Vec<_> = (0..THREADS)
        .map(|_| {
            let next = Arc::clone(&next);
            thread::spawn(move || worker(entry, &next, count, in_flight.div_ceil(THREADS), answer))
        })
        .collect();

    let mut totals = Totals::default();
    for thread in threads {
        let part = thread.join().unwrap_or_default();
        totals.whole += part.whole;
        totals.failed += part.failed;
        totals.tokens += part.tokens;
    }
    totals.elapsed = started.elapsed();
    totals
}

/// Sends requests from one thread until the shared counter `next` reaches
/// `count`.
fn worker(
    entry: SocketAddr,
    next: &Arc<AtomicU64>,
    count: u64,
    in_flight: u64,
    answer: u32,
) -> Totals {
    actix_rt::System::new().block_on(async {
        let http = caller::http_client();
        let balancer = Arc::new(Balancer::new(&[entry]));
        let tasks: Vec<_> = (0..in_flight)
            .map(|_| {
                let (http, balancer) = (http.clone(), Arc::clone(&balancer));
                let next = Arc::clone(next);
                actix_rt::spawn(async move {
                    let mut totals = Totals::default();
                    loop {
                        let number = next.fetch_add(1, Ordering::Relaxed);
                        if number >= count {
                            return totals;
                        }
                        let sent = arrival(number, answer);
                        let outcome = caller::send_request(http.clone(), &balancer, sent).await;
                        let whole = outcome.ending == Ending::Completed && !outcome.corrupted;
                        totals.whole += u64::from(whole);
                        totals.failed += u64::from(!whole);
                        totals.tokens += u64::from(outcome.tokens);
                    }
                })
            })
            .collect();

        let mut totals = Totals::default();
        for task in tasks {
            let part = task.await.unwrap_or_default();
            totals.whole += part.whole;
            totals.failed += part.failed;
            totals.tokens += part.tokens;
        }
        totals
    })
}

/// The route by which a request reaches an engine.
#[derive(Debug, Clone, Copy)]
pub enum Route {
    /// Through the entry at an address.
    Entry(SocketAddr),
    /// Straight to the engine stand-in at an address.
    Direct(SocketAddr),
}

impl Route {
    /// Opens a streamed completion; returns it with the time to its first event.
    ///
    /// # Errors
    ///
    /// Returns a description of the failed request.
    pub async fn open_stream(
        self,
        http: &awc::Client,
        number: u64,
        answer: u32,
    ) -> Result<(Duration, impl futures_util::Stream + use<>), String> {
        let url = match self {
            Self::Entry(addr) => format!("http://{addr}/v1/chat/completions"),
            Self::Direct(addr) => format!("http://{addr}/v1/completions"),
        };
        let body = json!({
            "model": CLASS,
            "stream": true,
            "messages": [{ "role": "user", "content": "word".repeat(16) }],
            "mark": format!("m{number}"),
            "length": answer,
        });

        let started = Instant::now();
        let request = http.post(url).bearer_auth(TOKEN);
        let request = request.insert_header(("x-request-id", format!("direct-{number}")));
        let sent = request.send_json(&body).await;
        let response = sent.map_err(|e| e.to_string())?;
        if !response.status().is_success() {
            return Err(format!("status {}", response.status()));
        }
        let mut events = Box::pin(response.timeout(Duration::MAX).eventsource());
        let first = events.next().await.ok_or("no event")?;
        first.map_err(|e| e.to_string())?;
        Ok((started.elapsed(), events))
    }
}
