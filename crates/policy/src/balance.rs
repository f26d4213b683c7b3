//! Which backend server gets a call that an entry sends by itself.
//!
//! Load pattern: many calls with long shared prompt parts, from several
//! entries that do not talk to each other. A part that is read again at a
//! second engine costs more than a short wait at the first, so each call goes
//! to the same engine as the calls with the same shared parts, chosen by
//! rendezvous hashing without any exchange, until that engine is clearly
//! busier than the others. See docs/DECISIONS/0601-on-the-platform.md.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use crate::rendezvous::{number, weight};

/// How long a server that failed once is left alone; it doubles with each
/// further failure. Long enough for a restart to be seen, short enough that
/// one lost connection costs little.
const REST_FIRST: Duration = Duration::from_millis(300);

/// The longest time for which a failing server is left alone. Servers that
/// are gone for good leave the list within seconds.
const REST_LIMIT: Duration = Duration::from_secs(3);

/// Failed runs in a row after which a server is left alone: single failures
/// belong to the calls.
const RUN_LIMIT: u32 = 3;

/// A backend server as the platform lists it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Listed {
    /// The name of this life of the server; a restart makes a new one.
    pub id: Rc<str>,
    /// What it serves.
    pub service: Rc<str>,
    /// Where it listens.
    pub addr: SocketAddr,
    /// The availability zone that it stands in.
    pub zone: Rc<str>,
    /// Calls that it runs at once.
    pub slots: u32,
    /// Whether it takes no new calls.
    pub leaving: bool,
}

/// What is asked for.
#[derive(Debug, Clone, Copy)]
pub struct Want<'a> {
    /// The service.
    pub service: &'a str,
    /// Hash of the prompt's shared parts; none when there are none.
    pub prefix: Option<u64>,
    /// Servers that the call was sent to before.
    pub tried: &'a [Rc<str>],
}

/// The servers that an entry knows, and its own calls at them.
#[derive(Debug)]
pub struct Balance {
    /// The entry's availability zone.
    zone: Rc<str>,
    servers: HashMap<Rc<str>, Server>,
    /// Makes ties fall differently from call to call.
    turn: u64,
}

#[derive(Debug)]
struct Server {
    listed: Listed,
    /// Hash of its name, equal at every entry.
    key: u64,
    /// Own calls that are out.
    open: u32,
    /// Failures to connect in a row.
    refused: u32,
    /// Failed runs in a row.
    failed: u32,
    /// Left alone until then.
    rest: Option<Instant>,
}

impl Balance {
    /// Makes a balance that knows no servers.
    #[must_use]
    pub fn new(zone: &str) -> Self {
        Self {
            zone: Rc::from(zone),
            servers: HashMap::new(),
            turn: 0,
        }
    }

    /// Adds a server or takes its new state over; returns whether anything
    /// changed.
    pub fn list(&mut self, listed: Listed) -> bool {
        match self.servers.get_mut(&listed.id) {
            Some(server) if server.listed == listed => false,
            Some(server) => {
                server.listed = listed;
                true
            }
            None => {
                let server = Server {
                    key: number(&listed.id),
                    open: 0,
                    refused: 0,
                    failed: 0,
                    rest: None,
                    listed,
                };
                self.servers.insert(Rc::clone(&server.listed.id), server);
                true
            }
        }
    }

    /// Forgets a server; returns whether it was known.
    pub fn remove(&mut self, id: &str) -> bool {
        self.servers.remove(id).is_some()
    }

    /// The known servers.
    pub fn servers(&self) -> impl Iterator<Item = &Listed> {
        self.servers.values().map(|s| &s.listed)
    }

    /// Whether a server is known and takes new calls.
    #[must_use]
    pub fn open(&self, id: &str) -> bool {
        self.servers.get(id).is_some_and(|s| !s.listed.leaving)
    }

    /// Servers of `service` that take new calls.
    #[must_use]
    pub fn count(&self, service: &str) -> usize {
        let open = |s: &&Server| &*s.listed.service == service && !s.listed.leaving;
        self.servers.values().filter(open).count()
    }

    /// The server for a call, or none when no server may take it.
    pub fn choose(&mut self, now: Instant, want: &Want<'_>) -> Option<Listed> {
        self.ranked(now, want).into_iter().next()
    }

    /// The servers for a call, the best first.
    pub fn ranked(&mut self, now: Instant, want: &Want<'_>) -> Vec<Listed> {
        self.turn = self.turn.wrapping_add(1);
        let usable = |s: &&Server| {
            &*s.listed.service == want.service
                && !s.listed.leaving
                && !want.tried.contains(&s.listed.id)
        };
        let mut fit: Vec<&Server> = self.servers.values().filter(usable).collect();
        let well = |s: &&Server| s.rest.is_none_or(|until| until <= now);
        // With none well, one that rests is better than none at all.
        if fit.iter().any(well) {
            fit.retain(well);
        }
        let spread = want.prefix.unwrap_or(self.turn);
        let zone = &self.zone;
        match want.prefix {
            Some(_) => fit.sort_by_key(|s| std::cmp::Reverse(weight(spread, s.key))),
            None => fit.sort_by_key(|s| (s.open, s.listed.zone != *zone, weight(spread, s.key))),
        }
        fit.into_iter().map(|s| s.listed.clone()).collect()
    }

    /// Own calls that are out at a server.
    #[must_use]
    pub fn out(&self, id: &str) -> u32 {
        self.servers.get(id).map_or(0, |s| s.open)
    }

    /// Notes that a call goes out to a server.
    pub fn sent(&mut self, id: &str) {
        if let Some(server) = self.servers.get_mut(id) {
            server.open += 1;
        }
    }

    /// Notes that a call at a server has ended.
    pub fn ended(&mut self, id: &str) {
        if let Some(server) = self.servers.get_mut(id) {
            server.open = server.open.saturating_sub(1);
        }
    }

    /// Notes that a server answered a call as it should.
    pub fn good(&mut self, id: &str) {
        if let Some(server) = self.servers.get_mut(id) {
            server.refused = 0;
            server.failed = 0;
            server.rest = None;
        }
    }

    /// Notes that no connection could be made to a server; it is left alone
    /// for a while that grows.
    pub fn unreachable(&mut self, now: Instant, id: &str) {
        if let Some(server) = self.servers.get_mut(id) {
            server.refused = server.refused.saturating_add(1);
            server.rest = Some(now + rest(server.refused));
        }
    }

    /// Notes that a call failed at a server after it was sent.
    pub fn failed(&mut self, now: Instant, id: &str) {
        if let Some(server) = self.servers.get_mut(id) {
            server.failed = server.failed.saturating_add(1);
            if server.failed >= RUN_LIMIT {
                server.rest = Some(now + rest(server.failed - RUN_LIMIT + 1));
            }
        }
    }
}

/// How long a server is left alone after so many failures.
fn rest(failures: u32) -> Duration {
    let doubled = REST_FIRST.saturating_mul(2u32.saturating_pow(failures.saturating_sub(1).min(8)));
    doubled.min(REST_LIMIT)
}
