//! The metrics recorder of one daemon.
//!
//! Each daemon runs on its own thread. The recorder is thread-local, so that
//! several daemons in one process (as in the demo) have separate metrics.

mod recorder;

use std::cell::RefCell;

use metrics::counter;
use recorder::Recorder;

use crate::reason::{Executed, Refusal, RetryReason};

/// Name of the counter of refusals, labelled by reason and by whether the
/// request was executed.
const REFUSALS: &str = "pimentocart_refusals_total";

/// Name of the counter of retries, labelled by reason.
const RETRIES: &str = "pimentocart_retries_total";

thread_local! {
    /// The recorder of the daemon on this thread.
    static RECORDER: RefCell<Option<Recorder>> = const { RefCell::new(None) };
}

/// Runs `body` with a new recorder for this thread. The counters of all reasons
/// start at zero, so that a scrape includes reasons that have not occurred.
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

/// Renders the metrics of this thread in the Prometheus text format.
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
