//! `load`: runs an open-loop load generator against entries.

use std::collections::HashMap;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

use base::settings;
use bpaf::Bpaf;
use load::{Ending, Report, RunResult};
use standin::Ledger;

use crate::CommandResult;

/// Send a seeded mix of requests to entries and report on the answers.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(command, generate(load))]
pub(crate) struct Load {
    /// JSON settings
    #[bpaf(argument("FILE"))]
    settings: PathBuf,
    /// Where to write the report as JSON
    #[bpaf(argument("FILE"))]
    report: Option<PathBuf>,
}

impl Load {
    pub(crate) fn run(self) -> CommandResult {
        let settings: load::Settings = settings::load(&self.settings)?;
        let ledger = Ledger::default();
        let arrivals = settings.workload.arrivals();
        let outcomes = load::drive::drive(&arrivals, &settings.entries, true);
        for addr in &settings.ledgers {
            ledger.merge(&fetch_ledger(*addr)?);
        }
        if settings.ledgers.is_empty() {
            println!("no ledgers given: doubled, false_not_run and tokens_made are not measured");
        }

        let report =
            load::evaluation::evaluate(&settings.workload, arrivals.len(), &outcomes, &ledger);
        println!("{report}");
        let run = RunResult { report, outcomes };
        print_lost(&run);
        finish_run(&run.report, self.report.as_deref())
    }
}

/// Fetches the requests that a stand-in has recorded.
fn fetch_ledger(
    addr: std::net::SocketAddr,
) -> Result<HashMap<String, standin::ledger::RequestCounts>, Box<dyn std::error::Error>> {
    actix_rt::System::new().block_on(async {
        let url = format!("http://{addr}/ledger");
        let sent = load::caller::http_client().get(url).send().await;
        let mut response = sent.map_err(|e| format!("step=fetch_ledger peer={addr}: {e}"))?;
        Ok(response.json().limit(1 << 30).await?)
    })
}

/// Maximum number of lost requests to print.
const MAX_LOST_SHOWN: usize = 10;

/// Prints details of the lost requests, at most [`MAX_LOST_SHOWN`] of them.
pub(crate) fn print_lost(run: &RunResult) {
    let lost = run.outcomes.iter().filter_map(|o| match &o.ending {
        Ending::Lost(reason) => Some((o, reason)),
        _ => None,
    });
    for (outcome, reason) in lost.take(MAX_LOST_SHOWN) {
        let arrival = &outcome.arrival;
        println!(
            "lost mark={} at={:.1}s ended={:.1}s tokens={} of={} stream={} reason={reason:?}",
            arrival.mark,
            arrival.at.as_secs_f64(),
            (arrival.at + outcome.total).as_secs_f64(),
            outcome.tokens,
            arrival.answer_tokens,
            arrival.stream
        );
    }
}

/// Writes the report to `path`, if given; the exit code is 0 if the report is
/// sound.
pub(crate) fn finish_run(report: &Report, path: Option<&Path>) -> CommandResult {
    if let Some(path) = path {
        std::fs::write(path, serde_json::to_string_pretty(report)?)?;
    }
    Ok(match report.is_correct() {
        true => ExitCode::SUCCESS,
        false => ExitCode::FAILURE,
    })
}
