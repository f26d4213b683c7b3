//! A whole fleet on loopback in one process, with load.
//!
//! - [`fleet`]: the two users' fleets.
//! - [`host`]: one daemon on a thread of its own.
//! - [`rollout`]: the log and publishing the bundle through it.

pub mod fleet;
pub mod host;
pub mod rollout;

use std::time::Duration;

use base::stop::Stop;
use load::Report;
use standin::Ledger;

pub use fleet::Fleet;
use fleet::Plan;

/// Time for the daemons to start listening.
const WARM_UP: Duration = Duration::from_millis(300);

/// Runs a fleet under load for `seconds` and reports on it.
#[must_use]
pub fn run(fleet: Fleet, seconds: f64, seed: u64) -> Report {
    let plan = Plan::new(fleet, seed, seconds);
    let ledger = Ledger::default();
    let stop = Stop::new();
    let hosts = plan.start(&ledger, &stop);

    let report = actix_rt::System::new().block_on(async {
        tokio::time::sleep(WARM_UP).await;
        plan.rollout.publish(&plan.bundle).await;
        rollout::ready(&plan.operators_all()).await;
        load::run(&plan.mix, &plan.entries(), &ledger).await
    });

    stop.ask();
    for host in hosts {
        host.join();
    }
    report
}
