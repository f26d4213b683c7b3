//! `demo`: runs a whole fleet on loopback in one process, under load.

use std::path::PathBuf;

use base::logging::{self, Level};
use base::settings::{self, HumanDuration};
use bpaf::Bpaf;
use demo::faults::FaultPlan;
use demo::{Arm, Fleet, Options};

use crate::CommandResult;

/// Run a whole fleet on loopback in one process, under load.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(command, generate(demo))]
pub(crate) struct Demo {
    /// Fleet to run: teranga or tallerazul
    #[bpaf(argument("FLEET"))]
    fleet: Fleet,
    /// Duration of the load, as in 10s
    #[bpaf(
        long("for"),
        argument("TIME"),
        fallback(HumanDuration::secs(10)),
        display_fallback
    )]
    time: HumanDuration,
    /// Seed of the random numbers
    #[bpaf(argument("N"), fallback(1), display_fallback)]
    seed: u64,
    /// One lower-tier class arrives at 5 times its rate in the middle third
    burst: bool,
    /// One model engine is 4 times slower and load reports are delayed by 0.5 s
    straggler: bool,
    /// One backend server's host crashes in the middle of the run
    crash: bool,
    /// JSON fault plan: further faults and when they occur
    #[bpaf(argument("FILE"))]
    faults: Option<PathBuf>,
    /// Where to write the report as JSON
    #[bpaf(argument("FILE"))]
    report: Option<PathBuf>,
}

impl Demo {
    pub(crate) fn run(self) -> CommandResult {
        logging::init(Level::Warn);
        let faults = self.faults.as_deref().map(settings::load::<FaultPlan>);
        let options = Options {
            fleet: self.fleet,
            seconds: self.time.0.as_secs_f64(),
            seed: self.seed,
            burst: self.burst,
            straggler: self.straggler,
            crash: self.crash,
            faults: faults.transpose()?.unwrap_or_default(),
            arm: Arm::default(),
            progress: true,
        };

        let run = demo::run(&options);
        println!("{}", run.report);
        super::load::print_lost(&run);
        super::load::finish_run(&run.report, self.report.as_deref())
    }
}
