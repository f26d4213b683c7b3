//! A fleet of entries and of servers that are replaced after a crash.

use std::sync::Arc;
use std::sync::atomic::Ordering;

use crate::caller::{Outcome, call};
use crate::platform::{Platform, Server, wait_until};
use crate::process::Entry;

/// A fleet whose crashed servers are replaced.
pub(crate) struct Fleet {
    pub(crate) platform: Arc<Platform>,
    pub(crate) entries: Vec<Entry>,
    pub(crate) servers: Vec<Server>,
}

impl Fleet {
    /// Starts a fleet of `entries` entries, whose logs are named after `name`.
    pub(crate) fn start(name: &str, entries: usize) -> Self {
        let (platform, store) = Platform::start();
        let entry = |n| Entry::start(&format!("{name}-{n}"), store, None);
        let (servers, engines) = (
            (0..2).map(|_| platform.server()),
            (0..2).map(|_| platform.engine()),
        );
        let mut fleet = Self {
            entries: (0..entries).map(entry).collect(),
            servers: servers.chain(engines).collect(),
            platform,
        };
        fleet.replace();
        fleet
    }

    /// Replaces each crashed server, and waits until all entries serve calls.
    pub(crate) fn replace(&mut self) {
        for server in &mut self.servers {
            if server.is_stopped() {
                server.deregister();
                *server = server.replacement();
            }
        }
        for entry in &self.entries {
            for path in ["/safe/x", "/engine/x"] {
                wait_until("all serve", || served(&call(entry.addr(), path, "other")));
            }
        }
    }

    /// Sends the request `times` times, alternating between the entries.
    pub(crate) fn send(&mut self, path: &str, times: usize) {
        for n in 0..times {
            call(
                self.entries[n % self.entries.len()].addr(),
                path,
                &format!("try-{n}"),
            );
            self.replace();
        }
    }

    /// Number of servers that calls have crashed.
    pub(crate) fn crashes(&self) -> u32 {
        self.platform.crashes.load(Ordering::SeqCst)
    }
}

/// Whether a call was answered with success.
pub(crate) fn served(outcome: &Outcome) -> bool {
    matches!(outcome, Outcome::Complete(200, _))
}
