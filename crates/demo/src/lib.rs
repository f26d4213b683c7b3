//! A whole fleet on loopback in one process, with load and faults.
//!
//! - [`arm`]: the policies that a comparison sets side by side.
//! - [`compare`]: running them on the same arrivals.
//! - [`oracle`]: what an oracle could make of a load, by arithmetic.
//! - [`fleet`]: the two users' fleets in the sizes of the brief.
//! - [`plan`]: what a fleet declares and what its callers send.
//! - [`changes`]: changes of the bundle while a demo runs.
//! - [`cluster`]: the daemons and stand-ins.
//! - [`daemon`]: one daemon on a thread of its own.
//! - [`rollout`]: the log and publishing the bundle through it.
//! - [`faults`]: faults brought about at set times.

pub mod arm;
pub mod changes;
pub mod cluster;
pub mod compare;
pub mod daemon;
pub mod faults;
pub mod fleet;
pub mod oracle;
pub mod plan;
pub mod rollout;

use std::thread;
use std::time::{Duration, Instant};

use base::settings::HumanDuration;
use load::{RunResult, Workload};

pub use arm::Arm;
use cluster::Layout;
use faults::{Fault, FaultPlan, ScheduledFault};
pub use fleet::Fleet;

/// Time for the daemons to start listening.
const WARM_UP: Duration = Duration::from_millis(300);

/// How much slower a straggler is.
const STRAGGLER_PACE: f64 = 4.0;

/// How late load reports are while there is a straggler.
const REPORT_LAG: HumanDuration = HumanDuration::ms(500);

/// What to run.
#[derive(Debug, Clone)]
pub struct Options {
    /// Whose fleet.
    pub fleet: Fleet,
    /// How long requests arrive, in seconds.
    pub seconds: f64,
    /// Seed of all random numbers.
    pub seed: u64,
    /// Whether one lower-tier class bursts in the middle third.
    pub burst: bool,
    /// Whether one engine is four times slower and load reports are late.
    pub straggler: bool,
    /// Whether one backend server's host crashes in the burst.
    pub crash: bool,
    /// Further faults.
    pub faults: FaultPlan,
    /// The router's policy.
    pub arm: Arm,
    /// Whether to print progress.
    pub progress: bool,
}

impl Options {
    /// The load.
    #[must_use]
    pub fn workload(&self) -> Workload {
        plan::workload(self.fleet, self.seed, self.seconds, self.burst)
    }

    /// All faults with their times.
    #[must_use]
    pub fn fault_plan(&self) -> FaultPlan {
        let mut plan = self.faults.clone();
        let mut add = |at: f64, fault| {
            let at = HumanDuration(Duration::from_secs_f64(at));
            plan.events.push(ScheduledFault { at, fault });
        };
        if self.straggler {
            let pace = STRAGGLER_PACE;
            // With a crash, the second fault comes in the midst of the burst.
            let at = if self.crash { self.seconds * 0.4 } else { 0.0 };
            add(at, Fault::Straggler { server: 0, pace });
            add(0.0, Fault::ReportLag { lag: REPORT_LAG });
        }
        if self.crash {
            let (server, restart_after) = (1, None);
            add(
                self.seconds * 0.45,
                Fault::CrashHost {
                    server,
                    restart_after,
                },
            );
        }
        plan
    }
}

/// Runs a fleet under load and reports on it.
#[must_use]
pub fn run(options: &Options) -> RunResult {
    let workload = options.workload();
    let faults = options.fault_plan();
    let mut layout = Layout::new(options.fleet, plan::bundle(options.fleet), options.seed);
    layout.needs_forwarders = faults.needs_forwarders();
    layout.arm = options.arm;

    let entries = layout.entries();
    let cluster = layout.start();
    thread::sleep(WARM_UP);
    let began = Instant::now();
    let run = thread::scope(|scope| {
        scope.spawn(|| faults.run(&cluster));
        load::run(&workload, &entries, &cluster.ledger, options.progress)
    });
    let took = began.elapsed().as_secs_f64();
    eprintln!("{}", cluster.control_traffic(took));
    cluster.stop();
    run
}
