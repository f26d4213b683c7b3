//! A request that crashes every server that executes it, sent repeatedly.

use std::sync::atomic::Ordering;

use nix::sys::signal::Signal;
use rstest::rstest;

use crate::caller::{Outcome, call};
use crate::fleet::Fleet;
use crate::platform::wait_until;
use crate::process::Entry;

/// How often the request is sent. Each time would crash a server.
const ATTEMPTS: usize = 10;

/// Servers that may crash: three until the request is blocked, and three more
/// that it may reach while all entries learn of it.
const MAX_CRASHES: u32 = 6;

/// Guards against forwarding a fatal request forever: each attempt has a new
/// request id and goes to another entry, so ids alone cannot identify it.
#[rstest]
#[case::safe("/safe/fatal")]
#[case::once("/once/fatal")]
#[case::stream("/stream/fatal")]
#[case::engine("/engine/fatal")]
fn fatal_request_is_blocked(#[case] path: &str) {
    let name = path.replace('/', "-");
    let mut fleet = Fleet::start(&format!("stopped{name}"), 2);
    fleet.send(path, ATTEMPTS);
    let crashes = fleet.crashes();
    assert!(crashes <= MAX_CRASHES, "{crashes} servers crashed");
}

/// Guards against losing the record of a fatal request when entries restart:
/// they must read it from the store.
#[test]
fn fatal_request_blocked_after_restart() {
    let mut fleet = Fleet::start("restart", 2);
    fleet.send("/safe/fatal", ATTEMPTS);
    for entry in &mut fleet.entries {
        entry.signal(Signal::SIGKILL);
        entry.wait();
        entry.restart();
    }
    wait_until("all entries know the crashes", || {
        fleet.entries.iter().all(|e| e.status("crashes") >= 3)
    });
    fleet.replace();
    let before = fleet.crashes();
    fleet.send("/safe/fatal", 4);
    assert_eq!(fleet.crashes(), before);
}

/// Guards against forwarding a known fatal request during a store outage.
#[test]
fn fatal_request_refused_during_store_outage() {
    let mut fleet = Fleet::start("away", 2);
    fleet.send("/safe/fatal", ATTEMPTS);
    wait_until("all entries know the crashes", || {
        fleet.entries.iter().all(|e| e.status("crashes") >= 3)
    });
    fleet.platform.down.store(true, Ordering::SeqCst);
    let before = fleet.crashes();
    for (n, entry) in fleet.entries.iter().enumerate() {
        let outcome = call(entry.addr(), "/safe/fatal", &format!("away-{n}"));
        assert!(matches!(outcome, Outcome::Complete(503, _)), "{outcome:?}");
    }
    assert_eq!(fleet.crashes(), before);
}

/// Guards against each entry counting crashes alone during a store outage: the
/// entries must exchange the crashes that the store did not accept.
#[test]
fn crashes_are_gossiped_during_store_outage() {
    let mut fleet = Fleet::start("told", 2);
    for _ in 0..ATTEMPTS {
        fleet.servers.push(fleet.platform.server());
    }
    let listed = fleet.servers.len() as u64;
    wait_until("all entries know each other and the servers", || {
        let known = |e: &Entry| e.status("entries") == 1 && e.status("servers") == listed;
        fleet.entries.iter().all(known)
    });
    fleet.platform.down.store(true, Ordering::SeqCst);
    for n in 0..ATTEMPTS {
        let entry = &fleet.entries[n % fleet.entries.len()];
        call(entry.addr(), "/once/fatal", &format!("away-{n}"));
        let held = u64::from(fleet.crashes());
        wait_until("all entries know the crashes", || {
            fleet.entries.iter().all(|e| e.status("crashes") >= held)
        });
    }
    assert_eq!(fleet.crashes(), 3);
}
