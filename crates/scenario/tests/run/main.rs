//! Runs each script under `tests/scenarios/` against the real decisions.
//!
//! - `server`: sidecars with their queues and tickets, before small engines.
//! - `route`: what an entry decides about servers and retries.
//! - `records`: bundles and claims in the log's order.
//! - `hosts`: membership and leases.
//!
//! Refresh the expected output by
//! `UPDATE_GOLDENFILES=1 cargo test -p scenario`, and read the difference.

mod hosts;
mod records;
mod route;
mod server;
mod words;

use std::error::Error;
use std::path::PathBuf;

use base::clock::ManualClock;
use rstest::rstest;

use words::Command;

/// What a command of a script says.
type Said = Result<String, Box<dyn Error>>;

#[rstest]
fn scenario_holds(#[files("tests/scenarios/*")] path: PathBuf) {
    // Nothing ever waits, so tasks that the decisions spawn get no turn: the
    // script plays the backend servers' part.
    actix_rt::System::new().block_on(async move {
        goldenscript::run(&mut World::default(), path).expect("the scenario differs");
    });
}

/// Everything in one scenario.
#[derive(Default)]
struct World {
    clock: ManualClock,
    fleet: server::Fleet,
    route: route::Route,
    records: records::Records,
    hosts: hosts::Hosts,
}

impl goldenscript::Runner for World {
    type Command = Command;

    fn run(&mut self, command: &Command, _: &goldenscript::Context) -> Said {
        match command {
            Command::Clock(step) => Ok(self.fleet.pass(&self.clock, step.0)),
            Command::Server(words) => self.fleet.run(&self.clock, words),
            Command::Route(words) => self.route.run(&self.clock, words),
            Command::Records(words) => self.records.run(&self.clock, words),
            Command::Hosts(words) => self.hosts.run(&self.clock, words),
        }
    }
}
