//! Many new connections at one entry.

use std::thread;

use crate::caller::{Outcome, call};
use crate::fleet::{Fleet, served};

/// Connections that are opened at the same time, each for one call.
const CONNECTIONS: usize = 300;

/// Guards against an entry that reads calls and does not serve them when a load balancer sends
/// it most new connections, while another entry gets few.
#[test]
fn most_connections_at_one_entry() {
    let fleet = Fleet::start("crowded", 2);
    let calls: Vec<_> = (0..CONNECTIONS)
        .map(|n| {
            let addr = fleet.entries[usize::from(n % 20 == 0)].addr();
            let path = ["/safe/x", "/once/x", "/stream/x"][n % 3];
            thread::spawn(move || call(addr, path, &format!("crowded-{n}")))
        })
        .collect();
    let outcomes: Vec<Outcome> = calls
        .into_iter()
        .map(|c| c.join().expect("caller thread panicked"))
        .collect();
    let count = outcomes.iter().filter(|outcome| served(outcome)).count();
    let others: Vec<_> = outcomes.iter().filter(|outcome| !served(outcome)).collect();
    assert!(count * 4 >= CONNECTIONS * 3, "{count} served; {others:?}");
}
