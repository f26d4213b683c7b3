//! A request that ends each server that begins it, sent again and again.

use std::sync::Arc;
use std::sync::atomic::Ordering;

use nix::sys::signal::Signal;
use rstest::rstest;

use crate::caller::{Seen, call};
use crate::platform::{Platform, Server, until};
use crate::process::Entry;

/// Sends of the request. Each would end a server.
const SENDS: usize = 10;

/// Servers that may end: three until the request is known, and three more that
/// it may reach while all entries learn of it.
const ENDS: u32 = 6;

/// A fleet whose ended servers are replaced.
struct Fleet {
    platform: Arc<Platform>,
    entries: Vec<Entry>,
    servers: Vec<Server>,
}

impl Fleet {
    fn start(name: &str) -> Self {
        let (platform, store) = Platform::start();
        let entry = |n| Entry::start(&format!("{name}-{n}"), store, None);
        let (servers, engines) = (
            (0..2).map(|_| platform.server()),
            (0..2).map(|_| platform.engine()),
        );
        let mut fleet = Self {
            entries: (0..2).map(entry).collect(),
            servers: servers.chain(engines).collect(),
            platform,
        };
        fleet.replace();
        fleet
    }

    /// Starts a new server in place of each that has ended, and waits until
    /// all entries serve.
    fn replace(&mut self) {
        for server in &mut self.servers {
            if server.ended() {
                server.delist();
                *server = server.next();
            }
        }
        for entry in &self.entries {
            for path in ["/safe/x", "/engine/x"] {
                until("all serve", || served(&call(entry.at(), path, "other")));
            }
        }
    }

    /// Sends the request so many times, to one entry after the other.
    fn send(&mut self, path: &str, times: usize) {
        for n in 0..times {
            call(
                self.entries[n % self.entries.len()].at(),
                path,
                &format!("try-{n}"),
            );
            self.replace();
        }
    }

    fn ended(&self) -> u32 {
        self.platform.ended.load(Ordering::SeqCst)
    }
}

fn served(seen: &Seen) -> bool {
    matches!(seen, Seen::Whole(200, _))
}

/// Guards against a request that ends servers being passed on for ever, since
/// each of its tries has a new identity and comes to another entry.
#[rstest]
#[case::safe("/safe/fatal")]
#[case::once("/once/fatal")]
#[case::stream("/stream/fatal")]
#[case::engine("/engine/fatal")]
fn fatal_request_is_stopped(#[case] path: &str) {
    let name = path.replace('/', "-");
    let mut fleet = Fleet::start(&format!("stopped{name}"));
    fleet.send(path, SENDS);
    let ended = fleet.ended();
    assert!(ended <= ENDS, "{ended} servers ended");
}

/// Guards against a request being known by one entry alone, or only for as long
/// as that entry lives: entries that start again learn of it from the store.
#[test]
fn fatal_request_known_after_a_restart() {
    let mut fleet = Fleet::start("restart");
    fleet.send("/safe/fatal", SENDS);
    for entry in &mut fleet.entries {
        entry.signal(Signal::SIGKILL);
        entry.wait();
        entry.restart();
    }
    until("all know", || {
        fleet.entries.iter().all(|e| e.status("crashes") >= 3)
    });
    fleet.replace();
    let before = fleet.ended();
    fleet.send("/safe/fatal", 4);
    assert_eq!(fleet.ended(), before);
}

/// Guards against a request being passed on again while the store is away.
#[test]
fn fatal_request_refused_while_the_store_is_away() {
    let mut fleet = Fleet::start("away");
    fleet.send("/safe/fatal", SENDS);
    until("all know", || {
        fleet.entries.iter().all(|e| e.status("crashes") >= 3)
    });
    fleet.platform.down.store(true, Ordering::SeqCst);
    let before = fleet.ended();
    for (n, entry) in fleet.entries.iter().enumerate() {
        let seen = call(entry.at(), "/safe/fatal", &format!("away-{n}"));
        assert!(matches!(seen, Seen::Whole(503, _)), "{seen:?}");
    }
    assert_eq!(fleet.ended(), before);
}

/// Guards against each entry counting for itself while the store is away: they
/// tell each other what the store has not taken.
#[test]
fn fatal_request_is_stopped_while_the_store_is_away() {
    let mut fleet = Fleet::start("told");
    for _ in 0..SENDS {
        fleet.servers.push(fleet.platform.server());
    }
    let listed = fleet.servers.len() as u64;
    until("all know each other and the servers", || {
        let known = |e: &Entry| e.status("entries") == 1 && e.status("servers") == listed;
        fleet.entries.iter().all(known)
    });
    fleet.platform.down.store(true, Ordering::SeqCst);
    for n in 0..SENDS {
        let entry = &fleet.entries[n % fleet.entries.len()];
        call(entry.at(), "/once/fatal", &format!("away-{n}"));
        let held = u64::from(fleet.ended());
        until("all know", || {
            fleet.entries.iter().all(|e| e.status("crashes") >= held)
        });
    }
    assert_eq!(fleet.ended(), 3);
}
