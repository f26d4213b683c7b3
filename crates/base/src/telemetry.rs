//! The metrics recorder of one daemon.
//!
//! Each daemon lives on a thread of its own, so that several of them fit into
//! one process (the demo) without mixing their counters: the recorder is the
//! thread's local one.

use std::cell::RefCell;

use metrics::counter;
use metrics_exporter_prometheus::{PrometheusBuilder, PrometheusHandle};

use crate::reason::{Ran, Refusal, Retry};

/// Name of the counter of refusals, by reason and by what was said about
/// having run.
const REFUSALS: &str = "pimentocart_refusals_total";

/// Name of the counter of retries, by reason.
const RETRIES: &str = "pimentocart_retries_total";

/// Bounds of the latency histograms in seconds, each about twice the one
/// before: from the cost of a decision to the longest streams.
const BOUNDS: [f64; 14] = [
    0.000_1, 0.000_5, 0.002, 0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 4.0, 15.0,
];

thread_local! {
    /// Renders what this thread's recorder counted.
    static HANDLE: RefCell<Option<PrometheusHandle>> = const { RefCell::new(None) };
}

/// Runs `body` with a fresh recorder as the thread's own. Every reason starts
/// at zero, so that a scrape shows those that have not happened too.
pub fn with_recorder<T>(body: impl FnOnce() -> T) -> T {
    // Without bounds the library keeps quantiles, at ten times the cost; the
    // bounds are not empty, which is the only fault that it finds in them.
    let builder = PrometheusBuilder::new();
    let builder = builder.set_buckets(&BOUNDS).unwrap_or_default();
    let recorder = builder.build_recorder();
    HANDLE.set(Some(recorder.handle()));
    metrics::with_local_recorder(&recorder, || {
        for reason in Refusal::ALL {
            counter!(REFUSALS, "reason" => reason.as_str(), "ran" => Ran::No.as_str()).absolute(0);
        }
        for reason in Retry::ALL {
            counter!(RETRIES, "reason" => reason.as_str()).absolute(0);
        }
        body()
    })
}

/// What this thread's recorder counted, in the text format for scraping.
#[must_use]
pub fn render() -> String {
    HANDLE.with_borrow(|handle| {
        handle
            .as_ref()
            .map_or_else(String::new, PrometheusHandle::render)
    })
}

/// Tidies the histograms up. Samples are kept one by one until then, and
/// would fill the memory of a daemon that nobody scrapes.
pub fn upkeep() {
    HANDLE.with_borrow(|handle| {
        if let Some(handle) = handle {
            handle.run_upkeep();
        }
    });
}

/// Counts one refusal.
pub fn count_refusal(reason: Refusal, ran: Ran) {
    counter!(REFUSALS, "reason" => reason.as_str(), "ran" => ran.as_str()).increment(1);
}

/// Counts one retry.
pub fn count_retry(reason: Retry) {
    counter!(RETRIES, "reason" => reason.as_str()).increment(1);
}
