//! Runs a complete fleet on loopback in one process, under load and with
//! injected faults.
//!
//! - [`arm`]: the routing policies that a comparison runs.
//! - [`compare`]: runs of several policies on the same requests.
//! - [`oracle`]: an upper bound of the goodput, by simulation.
//! - [`fleet`]: the fleets of the two users and their sizes.
//! - [`plan`]: the bundle and the workload of a fleet.
//! - [`changes`]: changes of the bundle during a run.
//! - [`cluster`]: the daemons and stand-ins of a run.
//! - [`daemon`]: one daemon on its own thread.
//! - [`rollout`]: the log, and publishing the bundle through it.
//! - [`faults`]: faults injected at set times.

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

/// Factor by which a straggler's steps are slower.
const STRAGGLER_PACE: f64 = 4.0;

/// Delay of load reports while there is a straggler.
const REPORT_LAG: HumanDuration = HumanDuration::ms(500);

/// Options of a run.
#[derive(Debug, Clone)]
pub struct Options {
    /// The user's fleet to run.
    pub fleet: Fleet,
    /// Time during which requests arrive, in seconds.
    pub seconds: f64,
    /// Seed of all random numbers.
    pub seed: u64,
    /// Whether one lower-tier class bursts in the middle third of the run.
    pub burst: bool,
    /// Whether one engine is four times slower and load reports are late.
    pub straggler: bool,
    /// Whether one backend server's host crashes during the burst.
    pub crash: bool,
    /// Further faults.
    pub faults: FaultPlan,
    /// The routing policy.
    pub arm: Arm,
    /// Whether to print progress lines.
    pub progress: bool,
}

impl Options {
    /// The workload of the run.
    #[must_use]
    pub fn workload(&self) -> Workload {
        plan::workload(self.fleet, self.seed, self.seconds, self.burst)
    }

    /// All faults of the run with their times.
    #[must_use]
    pub fn fault_plan(&self) -> FaultPlan {
        let mut plan = self.faults.clone();
        let mut add = |at: f64, fault| {
            let at = HumanDuration(Duration::from_secs_f64(at));
            plan.events.push(ScheduledFault { at, fault });
        };
        if self.straggler {
            let pace = STRAGGLER_PACE;
            // With a crash, the straggler starts during the burst as well.
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

/// Runs a fleet under load and computes the report.
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
    let started = Instant::now();
    let run = thread::scope(|scope| {
        scope.spawn(|| faults.run(&cluster));
        load::run(&workload, &entries, &cluster.ledger, options.progress)
    });
    let elapsed = started.elapsed().as_secs_f64();
    eprintln!("{}", cluster.control_traffic(elapsed));
    cluster.stop();
    run
}
