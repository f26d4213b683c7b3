//! The open-loop load generator and the report on what it saw.
//!
//! - [`arrivals`]: who asks for what, and when.
//! - [`caller`]: one caller's request and its outcome.
//! - [`report`]: the report, judged by what the stand-ins saw.

pub mod arrivals;
pub mod caller;
pub mod report;

use std::net::SocketAddr;
use std::time::Duration;

use standin::Ledger;

pub use arrivals::{Arrival, Mix};
pub use report::Report;

/// Time allowed for the last answers after the last arrival.
const GRACE: Duration = Duration::from_secs(30);

/// Sends the arrivals to the entries in turn and reports on the outcomes.
pub async fn run(mix: &Mix, entries: &[SocketAddr], ledger: &Ledger) -> Report {
    let arrivals = mix.arrivals();
    let start = tokio::time::Instant::now();
    let http = caller::client();

    let mut calls = Vec::with_capacity(arrivals.len());
    for (i, arrival) in arrivals.into_iter().enumerate() {
        tokio::time::sleep_until(start + arrival.at).await;
        let entry = entries[i % entries.len()];
        calls.push(actix_rt::spawn(caller::call(http.clone(), entry, arrival)));
    }

    let deadline = tokio::time::Instant::now() + GRACE;
    let mut outcomes = Vec::with_capacity(calls.len());
    for call in calls {
        // A call without an outcome by then counts as lost.
        if let Ok(Ok(outcome)) = tokio::time::timeout_at(deadline, call).await {
            outcomes.push(outcome);
        }
    }
    Report::judge(mix, &outcomes, ledger)
}
