//! Runs each script under `tests/scenarios/` against the production decision
//! logic.
//!
//! - `command`: parses the commands of the scripts.
//! - `server`: sidecars with their queues and tickets, and simulated engines.
//! - `route`: an entry's placement, outlier ejection and retries.
//! - `records`: bundles and claims, applied in log order.
//! - `hosts`: an entry's membership, and leases.
//!
//! Update the expected output with
//! `UPDATE_GOLDENFILES=1 cargo test -p scenario`, and review the diff.

mod command;
mod hosts;
mod records;
mod route;
mod server;

use std::error::Error;
use std::path::PathBuf;

use base::clock::ManualClock;
use rstest::rstest;

use command::Command;

/// The text that a command of a script prints.
type CommandOutput = Result<String, Box<dyn Error>>;

#[rstest]
fn scenario(#[files("tests/scenarios/*")] path: PathBuf) {
    // The commands never yield, so spawned tasks do not run: the script
    // simulates the backend servers instead.
    actix_rt::System::new().block_on(async move {
        goldenscript::run(&mut Simulation::default(), path)
            .expect("the output differs from the script");
    });
}

/// The simulated components of one scenario.
#[derive(Default)]
struct Simulation {
    clock: ManualClock,
    fleet: server::Fleet,
    router: route::Router,
    records: records::Records,
    hosts: hosts::Hosts,
}

impl goldenscript::Runner for Simulation {
    type Command = Command;

    fn run(&mut self, command: &Command, _: &goldenscript::Context) -> CommandOutput {
        match command {
            Command::Clock(step) => Ok(self.fleet.advance(&self.clock, step.0)),
            Command::Server(args) => self.fleet.run(&self.clock, args),
            Command::Route(args) => self.router.run(&self.clock, args),
            Command::Records(args) => self.records.run(&self.clock, args),
            Command::Hosts(args) => self.hosts.run(&self.clock, args),
        }
    }
}
