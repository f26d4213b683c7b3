//! The open-loop load generator and the report on what it saw.
//!
//! - [`arrivals`]: who asks for what, and when.
//! - [`balancer`]: which entry a caller is sent to.
//! - [`caller`]: one caller's request and its outcome.
//! - [`drive`]: sending all of them at their times.
//! - [`evaluation`]: what the outcomes come to by what the stand-ins saw.
//! - [`report`]: the report as it is written and printed.

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
    /// Where the entries listen.
    pub entries: Vec<SocketAddr>,
    /// Stand-ins whose ledgers judge the outcomes; without them `doubled` and
    /// `false_not_run` cannot be told.
    #[serde(default)]
    pub ledgers: Vec<SocketAddr>,
    /// What to send.
    #[serde(rename = "mix")]
    pub workload: Workload,
}

/// What a run came to, with each outcome.
#[derive(Debug, Clone)]
pub struct RunResult {
    /// The report.
    pub report: Report,
    /// The outcomes it was judged from.
    pub outcomes: Vec<Outcome>,
}

/// Sends the workload's arrivals to the entries and judges the outcomes. Blocks
/// the calling thread until the run is over.
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
