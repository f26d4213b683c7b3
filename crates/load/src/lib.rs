//! An open-loop load generator and its report.
//!
//! - [`arrivals`]: the workload and the seeded sequence of its requests.
//! - [`balancer`]: selection of the entry for a request.
//! - [`caller`]: sending one request and recording its outcome.
//! - [`drive`]: sending all requests at their arrival times.
//! - [`evaluation`]: the report, from outcomes and the stand-ins' ledgers.
//! - [`report`]: the report's fields and its printed form.

pub mod arrivals;
pub mod balancer;
pub mod caller;
pub mod drive;
pub mod evaluation;
pub mod report;

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use standin::Ledger;

pub use arrivals::{Arrival, Workload};
pub use caller::{Ending, Outcome};
pub use report::Report;

/// Settings of the `load` command.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Addresses at which the entries listen.
    pub entries: Vec<SocketAddr>,
    /// Stand-ins whose ledgers the outcomes are checked against. Without them
    /// the report's `doubled`, `false_not_run` and `tokens_made` are unknown.
    #[serde(default)]
    pub ledgers: Vec<SocketAddr>,
    /// The requests to send.
    #[serde(rename = "mix")]
    pub workload: Workload,
}

/// The report on a run, with the outcome of each request.
#[derive(Debug, Clone)]
pub struct RunResult {
    /// The report.
    pub report: Report,
    /// The outcomes that the report was computed from.
    pub outcomes: Vec<Outcome>,
}

/// Sends the workload's requests to the entries and computes the report.
/// Blocks the calling thread until the run is over.
#[must_use]
pub fn run(
    workload: &Workload,
    entries: &[SocketAddr],
    ledger: &Ledger,
    progress: bool,
) -> RunResult {
    let arrivals = workload.arrivals();
    let outcomes = drive::drive(&arrivals, entries, progress);
    let report = evaluation::evaluate(workload, arrivals.len(), &outcomes, ledger);
    RunResult { report, outcomes }
}
