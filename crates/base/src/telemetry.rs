//! The metrics recorder of one daemon.
//!
//! Each daemon lives on a thread of its own, so that several of them fit into
//! one process (the demo) without mixing their counters: the recorder is the
//! thread's local one.

mod recorder;

use std::cell::RefCell;

use metrics::counter;
use recorder::Recorder;

use crate::reason::{Executed, Refusal, RetryReason};

/// Name of the counter of refusals, by reason and by what was said about
/// having run.
const REFUSALS: &str = "pimentocart_refusals_total";

/// Name of the counter of retries, by reason.
const RETRIES: &str = "pimentocart_retries_total";

thread_local! {
    /// This thread's recorder.
    static RECORDER: RefCell<Option<Recorder>> = const { RefCell::new(None) };
}

/// Runs `body` with a fresh recorder as the thread's own. Every reason starts
/// at zero, so that a scrape shows those that have not happened too.
pub fn with_recorder<T>(body: impl FnOnce() -> T) -> T {
    let recorder = Recorder::new();
    RECORDER.set(Some(recorder.clone()));
    metrics::with_local_recorder(&recorder, || {
        for reason in Refusal::ALL {
            counter!(REFUSALS, "reason" => reason.as_str(), "ran" => Executed::No.as_str())
                .absolute(0);
        }
        for reason in RetryReason::ALL {
            counter!(RETRIES, "reason" => reason.as_str()).absolute(0);
        }
        body()
    })
}

/// What this thread's recorder counted, in the text format for scraping.
#[must_use]
pub fn render() -> String {
    RECORDER.with_borrow(|recorder| recorder.as_ref().map_or_else(String::new, Recorder::render))
}

/// Counts one refusal.
pub fn count_refusal(reason: Refusal, ran: Executed) {
    counter!(REFUSALS, "reason" => reason.as_str(), "ran" => ran.as_str()).increment(1);
}

/// Counts one retry.
pub fn count_retry(reason: RetryReason) {
    counter!(RETRIES, "reason" => reason.as_str()).increment(1);
}
