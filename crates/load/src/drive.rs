//! Sending the arrivals of a run at their times, whatever became of earlier
//! ones, from several threads.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use crate::arrivals::Arrival;
use crate::balancer::Balancer;
use crate::caller::{self, Ending, Outcome};

/// Time allowed for the last answers after the last arrival.
const GRACE: Duration = Duration::from_secs(30);

/// Threads that send; one alone cannot read a whole fleet's tokens in time.
const THREADS: usize = 4;

/// How often progress is shown.
const PROGRESS_INTERVAL: Duration = Duration::from_secs(1);

/// Counts of a run as it goes on.
#[derive(Debug, Default)]
struct Counts {
    sent: AtomicU64,
    whole: AtomicU64,
    refused: AtomicU64,
    broken: AtomicU64,
    lost: AtomicU64,
}

/// Sends the arrivals to the entries and waits for the outcomes. Arrivals
/// without an end by the end of the grace time are lost.
#[must_use]
pub fn drive(arrivals: &[Arrival], entries: &[SocketAddr], progress: bool) -> Vec<Outcome> {
    let balancer = Arc::new(Balancer::new(entries));
    let counts = Arc::new(Counts::default());
    let over = Arc::new(AtomicBool::new(false));
    let start = Instant::now();

    let threads: Vec<_> = (0..THREADS)
        .map(|i| {
            let part: Vec<_> = arrivals.iter().skip(i).step_by(THREADS).cloned().collect();
            let (balancer, counts) = (Arc::clone(&balancer), Arc::clone(&counts));
            thread::spawn(move || send_all(part, &balancer, &counts, start))
        })
        .collect();
    let shown = progress.then(|| {
        let (counts, over) = (Arc::clone(&counts), Arc::clone(&over));
        thread::spawn(move || print_progress(&counts, &over, start))
    });

    let mut outcomes = Vec::with_capacity(arrivals.len());
    for thread in threads {
        // Outcomes of a thread that panicked are missing and count as lost.
        outcomes.extend(thread.join().unwrap_or_default());
    }
    over.store(true, Ordering::Relaxed);
    if let Some(shown) = shown {
        let _ = shown.join();
    }
    outcomes
}

fn send_all(
    part: Vec<Arrival>,
    balancer: &Arc<Balancer>,
    counts: &Arc<Counts>,
    start: Instant,
) -> Vec<Outcome> {
    actix_rt::System::new().block_on(async {
        let http = caller::http_client();
        let mut calls = Vec::with_capacity(part.len());
        for arrival in part {
            tokio::time::sleep_until((start + arrival.at).into()).await;
            counts.sent.fetch_add(1, Ordering::Relaxed);
            let (http, balancer) = (http.clone(), Arc::clone(balancer));
            let (counts, sent) = (Arc::clone(counts), arrival.clone());
            let call = actix_rt::spawn(async move {
                let outcome = caller::send_request(http, &balancer, arrival).await;
                counts.record(&outcome.ending);
                outcome
            });
            calls.push((sent, call));
        }

        let deadline = tokio::time::Instant::now() + GRACE;
        let mut outcomes = Vec::with_capacity(calls.len());
        for (sent, call) in calls {
            let outcome = match tokio::time::timeout_at(deadline, call).await {
                Ok(Ok(outcome)) => outcome,
                _ => Outcome::lost(sent, "no end within the grace time"),
            };
            outcomes.push(outcome);
        }
        outcomes
    })
}

impl Counts {
    fn record(&self, ending: &Ending) {
        let count = match ending {
            Ending::Completed => &self.whole,
            Ending::Refused(_) => &self.refused,
            Ending::StreamFailed(_) => &self.broken,
            Ending::Lost(_) => &self.lost,
            Ending::Abandoned => return,
        };
        count.fetch_add(1, Ordering::Relaxed);
    }
}

/// Prints a line of progress every second.
fn print_progress(counts: &Counts, over: &AtomicBool, start: Instant) {
    let read = |count: &AtomicU64| count.load(Ordering::Relaxed);
    while !over.load(Ordering::Relaxed) {
        thread::sleep(PROGRESS_INTERVAL);
        eprintln!(
            "second={} sent={} whole={} refused={} broken={} lost={}",
            start.elapsed().as_secs(),
            read(&counts.sent),
            read(&counts.whole),
            read(&counts.refused),
            read(&counts.broken),
            read(&counts.lost)
        );
    }
}
