//! Sends the requests of a run at their arrival times from several threads,
//! without waiting for earlier ones (open loop).

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use crate::arrivals::Arrival;
use crate::balancer::Balancer;
use crate::caller::{self, Ending, Outcome};

/// Time allowed for outstanding answers after the last arrival.
const GRACE: Duration = Duration::from_secs(30);

/// Number of sending threads. One alone cannot read the tokens of a whole
/// fleet in time.
const THREADS: usize = 4;

/// Interval between progress lines.
const PROGRESS_INTERVAL: Duration = Duration::from_secs(1);

/// Running totals, for the progress lines.
#[derive(Debug, Default)]
struct Counts {
    sent: AtomicU64,
    whole: AtomicU64,
    refused: AtomicU64,
    broken: AtomicU64,
    lost: AtomicU64,
}

/// Sends the requests to the entries and waits for their outcomes. Requests
/// that have not ended within the grace time count as lost.
#[must_use]
pub fn drive(arrivals: &[Arrival], entries: &[SocketAddr], progress: bool) -> Vec<Outcome> {
    let balancer = Arc::new(Balancer::new(entries));
    let counts = Arc::new(Counts::default());
    let finished = Arc::new(AtomicBool::new(false));
    let start = Instant::now();

    let threads: Vec<_> = (0..THREADS)
        .map(|i| {
            let arrivals: Vec<_> = arrivals.iter().skip(i).step_by(THREADS).cloned().collect();
            let (balancer, counts) = (Arc::clone(&balancer), Arc::clone(&counts));
            thread::spawn(move || send_all(arrivals, &balancer, &counts, start))
        })
        .collect();
    let progress_thread = progress.then(|| {
        let (counts, finished) = (Arc::clone(&counts), Arc::clone(&finished));
        thread::spawn(move || print_progress(&counts, &finished, start))
    });

    let mut outcomes = Vec::with_capacity(arrivals.len());
    for thread in threads {
        // The outcomes of a thread that panicked are missing, and the report
        // counts them as lost.
        outcomes.extend(thread.join().unwrap_or_default());
    }
    finished.store(true, Ordering::Relaxed);
    if let Some(progress_thread) = progress_thread {
        let _ = progress_thread.join();
    }
    outcomes
}

fn send_all(
    arrivals: Vec<Arrival>,
    balancer: &Arc<Balancer>,
    counts: &Arc<Counts>,
    start: Instant,
) -> Vec<Outcome> {
    actix_rt::System::new().block_on(async {
        let http = caller::http_client();
        let mut calls = Vec::with_capacity(arrivals.len());
        for arrival in arrivals {
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
                _ => Outcome::lost(sent, "not ended within the grace time"),
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

/// Prints a progress line every second until the run is over.
fn print_progress(counts: &Counts, finished: &AtomicBool, start: Instant) {
    let read = |count: &AtomicU64| count.load(Ordering::Relaxed);
    while !finished.load(Ordering::Relaxed) {
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
