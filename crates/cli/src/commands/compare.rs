//! `compare`: runs several policies on the same seeded arrivals.

use std::path::PathBuf;
use std::process::ExitCode;

use base::logging::{self, Level};
use base::settings::HumanDuration;
use bpaf::Bpaf;
use demo::faults::FaultPlan;
use demo::{Arm, Fleet, Options, compare};

use crate::CommandResult;

/// Run several policies on the same seeded arrivals, with a burst, a
/// straggler and delayed load reports, and compare the results.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(command, generate(compare))]
pub(crate) struct Compare {
    /// Policies to compare, as in late,random
    #[bpaf(argument("A,B"))]
    arms: List<Arm>,
    /// Fleet to run: teranga or tallerazul
    #[bpaf(argument("FLEET"))]
    fleet: Fleet,
    /// Duration of the load in each run, as in 30s
    #[bpaf(
        long("for"),
        argument("TIME"),
        fallback(HumanDuration::secs(30)),
        display_fallback
    )]
    time: HumanDuration,
    /// Seeds of the runs, as in 1,2,3
    #[bpaf(argument("N,M"))]
    seeds: List<u64>,
    /// One backend server's host crashes in the middle of each run
    crash: bool,
    /// Where to write all reports as JSON
    #[bpaf(argument("FILE"))]
    report: Option<PathBuf>,
}

/// A comma-separated list of values.
#[derive(Debug, Clone)]
struct List<T>(Vec<T>);

impl<T: std::str::FromStr> std::str::FromStr for List<T>
where
    T::Err: std::fmt::Display,
{
    type Err = String;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let items = text
            .split(',')
            .map(|item| item.parse::<T>().map_err(|e| e.to_string()));
        items.collect::<Result<_, _>>().map(Self)
    }
}

impl Compare {
    pub(crate) fn run(self) -> CommandResult {
        logging::init(Level::Error);
        let options = Options {
            fleet: self.fleet,
            seconds: self.time.0.as_secs_f64(),
            seed: 0,
            burst: true,
            straggler: true,
            crash: self.crash,
            faults: FaultPlan::default(),
            arm: Arm::default(),
            progress: false,
        };
        let comparison = compare::compare(&options, &self.arms.0, &self.seeds.0);
        println!("{comparison}");
        if let Some(path) = &self.report {
            std::fs::write(path, serde_json::to_string_pretty(&comparison)?)?;
        }
        Ok(ExitCode::SUCCESS)
    }
}
