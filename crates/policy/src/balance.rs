//! Which backend server gets a call that an entry sends by itself.
//!
//! Load pattern: many calls with long shared prompt parts, from several
//! entries. A part that is read again at a second engine costs more than a
//! short wait at the first, so each call goes to the same engine as the calls
//! with the same shared parts, chosen by rendezvous hashing without any
//! exchange, until that engine is clearly busier than the others by what all
//! entries have told. See docs/DECISIONS/0601-on-the-platform.md.

mod cooldown;
mod feedback;
mod name_order;
mod rate_limit;
mod retained;
mod slow_start;

use std::cmp::Reverse;
use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

use crate::peer_load::CallCounts;
use crate::rendezvous::{hash_name, score};
use feedback::Said;
use name_order::Names;
use retained::Past;

pub use feedback::{FeedbackChange, FeedbackCounts, ServerFeedback};
pub use rate_limit::TurnSchedule;

/// A home server with so many times the mean of open calls is passed over. At
/// twice the mean, shared prompt tokens read again were a tenth more.
const CROWDED: f64 = 3.0;

/// Open calls at a server that never make it crowded: with few calls in all,
/// two at one server are chance.
const CROWDED_LEAST: u32 = 1;

/// The key by which all entries order servers before they cut the order.
const CUT: u64 = 0x706f_6f6c;

/// A backend server as the platform lists it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServerRecord {
    /// Its name. A restart makes a new one, or keeps it with another `born`.
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
    /// Unix millisecond at which this life of the server began, if it says.
    #[serde(rename = "born")]
    pub started_ms: Option<u64>,
}

/// What the platform's list says that was not known.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RecordChange {
    /// Nothing.
    Unchanged,
    /// A server that was not known, or another state of one.
    Updated,
    /// The server has started again under its name.
    Restarted,
}

/// What is asked for.
#[derive(Debug, Clone, Copy)]
pub struct ServerQuery<'a> {
    /// The service.
    pub service: &'a str,
    /// Hash of the prompt's shared parts; none when there are none.
    pub prefix_hash: Option<u64>,
    /// Servers that the call was sent to before.
    pub tried: &'a [Rc<str>],
    /// The part of the servers that it should go to.
    pub partition: Partition,
    /// What decides among them.
    pub strategy: Strategy,
    /// A server with open calls that sent nothing for so long is passed over.
    pub silence_timeout: Duration,
}

/// What decides among servers.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Strategy {
    /// The home of the prompt's shared parts, unless it has clearly more
    /// open calls than the others.
    PrefixAffinity,
    /// Open calls of all entries.
    TwoChoices,
    /// The entry's own calls, in its own availability zone first: plain calls
    /// are over before others could tell of them.
    #[default]
    LeastOwnCalls,
}

/// A part of a service's servers, the same at every entry that cuts at the
/// same place.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Partition {
    /// All of them.
    #[default]
    All,
    /// So many, from the start of the common order.
    First(usize),
    /// All but so many.
    Rest(usize),
}

/// The servers that an entry knows, and its own calls at them.
#[derive(Debug)]
pub struct Balancer {
    /// The entry's availability zone.
    zone: Rc<str>,
    servers: HashMap<Rc<str>, Server>,
    /// What servers have said that are not known any more, or not again.
    past: Past,
    /// Names in the order in which they were first told.
    names: Names,
    /// Where the entry stands among those that share the servers' limits; none
    /// while it has not counted them, and no server that names one is called.
    turns: Option<TurnSchedule>,
    /// Makes ties fall differently from call to call.
    turn: u64,
}

#[derive(Debug)]
struct Server {
    listed: ServerRecord,
    /// Its place in the order in which names were first told.
    first: u64,
    /// Whether a newer one has its address.
    replaced: bool,
    /// Hash of its name, equal at every entry.
    key: u64,
    /// Own calls.
    own: CallCounts,
    /// Calls of other entries, as far as they have told.
    others: CallCounts,
    /// Failures to connect in a row.
    refused: u32,
    /// Failed runs in a row.
    failed: u32,
    /// Left alone until then.
    rest: Option<Instant>,
    /// When a byte last came from it, or the first of the open calls went out.
    heard: Option<Instant>,
    /// Since when the list has not shown it, and until when it may yet be
    /// called.
    missing: Option<(Instant, Instant)>,
    /// What it has said of itself.
    said: Said,
}

/// When a server began: by its own word, then by when it was first told.
type Age = (Option<u64>, u64);

impl Server {
    fn age(&self) -> Age {
        (self.listed.started_ms, self.first)
    }

    /// Whether it leaves, by the list or by its own word, whichever came first.
    fn leaves(&self) -> bool {
        self.listed.leaving || self.said.leaving
    }

    /// Whether it is there and takes new calls of `service`.
    fn serves(&self, service: &str) -> bool {
        let there = !self.leaves() && !self.replaced && self.missing.is_none();
        there && &*self.listed.service == service
    }

    /// Open calls at the server, of all entries.
    fn open(&self) -> u32 {
        self.own.open + self.others.open
    }

    /// Whether it takes a call from this entry now, by what it has said.
    fn takes(&self, now: Instant, turns: Option<&TurnSchedule>) -> bool {
        self.said.takes(now, self.own.open, turns)
    }

    /// Whether it has calls and sends nothing. A host that went dark keeps its
    /// connections open: calls sent on them would wait for seconds, until the
    /// transport gives up or the list drops it, and one after the other would
    /// be lost.
    fn silent(&self, now: Instant, silence: Duration) -> bool {
        let heard = self.heard.filter(|_| self.own.open > 0);
        heard.is_some_and(|at| now >= at + silence)
    }

    /// Whether it is neither left alone nor silent.
    fn well(&self, now: Instant, silence: Duration) -> bool {
        let rested = self.rest.is_none_or(|until| until <= now);
        rested && !self.silent(now, silence)
    }

    /// Calls that wait for their first event there, of all entries.
    fn waiting(&self) -> u32 {
        self.own.waiting + self.others.waiting
    }
}

impl Balancer {
    /// Makes a balance that knows no servers.
    #[must_use]
    pub fn new(zone: &str) -> Self {
        Self {
            zone: Rc::from(zone),
            servers: HashMap::new(),
            past: Past::default(),
            names: Names::default(),
            turns: None,
            turn: 0,
        }
    }

    /// Adds a server or takes its new state over.
    ///
    /// A server that has started again under its name is as a new one: left
    /// alone for the failures of its earlier life, it would stand idle for
    /// seconds. What that life wrote may come late, and would have calls kept
    /// from a server that is well.
    pub fn upsert(&mut self, now: Instant, listed: ServerRecord) -> RecordChange {
        let first = self.names.place(now, &listed.id);
        let addr = listed.addr;
        let before = self.addr(&listed.id);
        let change = self.put(listed, first);
        if change != RecordChange::Unchanged {
            self.find_replaced(addr);
            before
                .filter(|b| *b != addr)
                .into_iter()
                .for_each(|b| self.find_replaced(b));
        }
        change
    }

    fn put(&mut self, listed: ServerRecord, first: u64) -> RecordChange {
        match self.servers.get_mut(&listed.id) {
            Some(server) if listed.started_ms < server.listed.started_ms => RecordChange::Unchanged,
            Some(server) => {
                let restarted = server.listed.started_ms < listed.started_ms;
                let back = server.missing.take().is_some();
                let same = server.listed == listed;
                server.listed = listed;
                if restarted {
                    server.refused = 0;
                    server.failed = 0;
                    server.rest = None;
                    server.heard = None;
                    server.said = Said::default();
                    return RecordChange::Restarted;
                }
                match back || !same {
                    true => RecordChange::Updated,
                    false => RecordChange::Unchanged,
                }
            }
            None => {
                let server = Server {
                    first,
                    replaced: false,
                    key: hash_name(&listed.id),
                    own: CallCounts::default(),
                    others: CallCounts::default(),
                    refused: 0,
                    failed: 0,
                    rest: None,
                    heard: None,
                    missing: None,
                    said: self.past.take(&listed),
                    listed,
                };
                self.servers.insert(Rc::clone(&server.listed.id), server);
                RecordChange::Updated
            }
        }
    }

    /// Finds out which of the servers at an address has it now: the one that
    /// began last, or was told last where they do not say so.
    ///
    /// After a power cut the list shows engines twice for seconds, under the
    /// names of their earlier lives too. Each call to one of those is refused
    /// by the new life and costs a repeat, and a third of all calls were turned
    /// away when none was left.
    fn find_replaced(&mut self, addr: SocketAddr) {
        let mut newest: HashMap<Rc<str>, Age> = HashMap::new();
        let here = |s: &&mut Server| s.listed.addr == addr;
        for server in self.servers.values_mut().filter(here) {
            server.replaced = false;
            if server.missing.is_none() {
                let held = newest.entry(Rc::clone(&server.listed.service));
                let held = held.or_insert(server.age());
                *held = (*held).max(server.age());
            }
        }
        // Services are looked at apart: a record that names none of ours must
        // not take a server's address from it.
        for server in self.servers.values_mut().filter(here) {
            let newest = newest.get(&server.listed.service);
            server.replaced = newest.is_some_and(|newest| *newest > server.age());
        }
    }

    /// Notes that the list does not show a server any more; returns whether
    /// it did before.
    ///
    /// Entries lapse while the store is away though their servers live, and a
    /// server that left is missing in the same way. Until `until` it gets
    /// calls, but only while no server of its service is listed.
    pub fn mark_missing(&mut self, now: Instant, id: &str, until: Instant) -> bool {
        match self.servers.get_mut(id) {
            Some(server) if server.missing.is_none() => {
                server.missing = Some((now, until));
                let addr = server.listed.addr;
                self.find_replaced(addr);
                true
            }
            _ => false,
        }
    }

    /// Forgets the servers that have been missing for `wait`.
    pub fn forget_missing(&mut self, now: Instant, wait: Duration) -> Vec<Rc<str>> {
        let gone = |s: &&Server| s.missing.is_some_and(|(since, _)| now >= since + wait);
        let gone = self.servers.values().filter(gone);
        let gone: Vec<Rc<str>> = gone.map(|s| Rc::clone(&s.listed.id)).collect();
        for server in gone.iter().filter_map(|id| self.servers.remove(id)) {
            self.past.keep(now, &server.listed, server.said);
        }
        self.past.expire(now);
        let servers = &self.servers;
        self.names.forget(now, |id| servers.contains_key(id));
        gone
    }

    /// Whether no server is known.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.servers.is_empty()
    }

    /// The names of the known servers.
    #[must_use]
    pub fn ids(&self) -> Vec<Rc<str>> {
        self.servers.keys().cloned().collect()
    }

    /// Whether this life of a server is known to leave.
    #[must_use]
    pub fn is_leaving(&self, listed: &ServerRecord) -> bool {
        let server = self.servers.get(&listed.id);
        server.is_some_and(|s| s.leaves() && s.listed.started_ms == listed.started_ms)
    }

    /// Where a known server listens.
    #[must_use]
    pub fn addr(&self, id: &str) -> Option<SocketAddr> {
        self.servers.get(id).map(|s| s.listed.addr)
    }

    /// Whether a server is known and takes new calls.
    #[must_use]
    pub fn accepts_calls(&self, id: &str) -> bool {
        let open = |s: &Server| !s.leaves() && !s.replaced;
        self.servers.get(id).is_some_and(open)
    }

    /// How many servers of `service` take new calls, and the slots of each.
    #[must_use]
    pub fn serving_capacity(&self, service: &str) -> (usize, u32) {
        let open = self.servers.values().filter(|s| s.serves(service));
        open.fold((0, 0), |(n, slots), s| (n + 1, slots.max(s.listed.slots)))
    }

    /// The servers of `service` that take new calls, each with the calls that
    /// all entries have open there.
    #[must_use]
    pub fn serving(&self, service: &str) -> Vec<(ServerRecord, u32)> {
        let serving = self.servers.values().filter(|s| s.serves(service));
        serving.map(|s| (s.listed.clone(), s.open())).collect()
    }

    /// The server for a call, or none when no server may take it.
    pub fn choose(&mut self, now: Instant, want: &ServerQuery<'_>) -> Option<ServerRecord> {
        self.ranked(now, want).into_iter().next()
    }

    /// Servers that are likely to hold a prompt's shared parts, the likeliest
    /// first: its home among all of them, then the next one, whichever of them
    /// may take the call now. A home that is crowded, or was left to other
    /// calls a moment ago, still holds what it has read.
    #[must_use]
    pub fn prefix_holders(&self, now: Instant, want: &ServerQuery<'_>) -> Vec<ServerRecord> {
        let Some(prefix) = want.prefix_hash else {
            return Vec::new();
        };
        let fit = |s: &&Server| {
            let here = &*s.listed.service == want.service;
            let here = here && !s.replaced && s.missing.is_none();
            here && !s.said.rests(now) && s.well(now, want.silence_timeout)
        };
        let mut fit: Vec<&Server> = self.servers.values().filter(fit).collect();
        fit.sort_by_key(|s| Reverse(score(prefix, s.key)));
        fit.into_iter().map(|s| s.listed.clone()).collect()
    }

    /// The servers for a call, the best first.
    pub fn ranked(&mut self, now: Instant, want: &ServerQuery<'_>) -> Vec<ServerRecord> {
        self.turn = self.turn.wrapping_add(1);
        let serves = |s: &&Server| &*s.listed.service == want.service && !s.leaves() && !s.replaced;
        let mut fit: Vec<&Server> = self.servers.values().filter(serves).collect();
        match fit.iter().any(|s| s.missing.is_none()) {
            true => fit.retain(|s| s.missing.is_none()),
            false => fit.retain(|s| s.missing.is_some_and(|(_, until)| now < until)),
        }
        let turns = self.turns.as_ref();
        fit.retain(|s| !want.tried.contains(&s.listed.id) && s.takes(now, turns));
        let well = |s: &&Server| s.well(now, want.silence_timeout);
        // With none well, one that is not is better than none at all.
        if fit.iter().any(well) {
            fit.retain(well);
        }
        self.keep_part(&mut fit, want);
        let spread = want.prefix_hash.unwrap_or(self.turn);
        let drawn = |s: &Server| score(spread, s.key);
        match want.strategy {
            Strategy::PrefixAffinity => {
                let limit = crowded(&fit);
                fit.sort_by_key(|s| (s.open() > limit, Reverse(drawn(s))));
            }
            Strategy::TwoChoices => {
                fit.sort_by_key(|s| drawn(s));
                // What others tell is some tenths of a second old. If all
                // entries took the least loaded, they would all take the same
                // one; the better of two drawn ones spreads them.
                if let [one, two, ..] = &fit[..]
                    && two.open() < one.open()
                {
                    fit.swap(0, 1);
                }
            }
            Strategy::LeastOwnCalls => {
                let zone = &self.zone;
                fit.sort_by_key(|s| (s.own.open, s.listed.zone != *zone, drawn(s)));
            }
        }
        fit.into_iter().map(|s| s.listed.clone()).collect()
    }

    /// Leaves the servers of the wanted part, if any of them may be used.
    fn keep_part(&self, fit: &mut Vec<&Server>, want: &ServerQuery<'_>) {
        let (count, first) = match want.partition {
            Partition::All => return,
            Partition::First(count) => (count, true),
            Partition::Rest(count) => (count, false),
        };
        // The cut is made among all servers that take calls, so that an entry
        // for which one of them rests cuts where the others do.
        let mut order: Vec<&Server> = self.servers.values().collect();
        order.retain(|s| &*s.listed.service == want.service && !s.leaves() && s.missing.is_none());
        order.sort_by_key(|s| score(CUT, s.key));
        let part: HashSet<u64> = order.iter().take(count).map(|s| s.key).collect();
        let inside = |s: &&Server| part.contains(&s.key) == first;
        if fit.iter().any(inside) {
            fit.retain(inside);
        }
    }

    /// Own calls, by the server's short number.
    #[must_use]
    pub fn own_calls(&self) -> Vec<(u16, CallCounts)> {
        let busy = self.servers.values().filter(|s| s.own.open > 0);
        busy.map(|s| (short(s.key), s.own)).collect()
    }

    /// Takes over the calls that all other entries together have.
    pub fn set_remote_calls(&mut self, others: impl Fn(u16) -> CallCounts) {
        for server in self.servers.values_mut() {
            server.others = others(short(server.key));
        }
    }

    /// Calls of all entries that wait for their first event at a server.
    #[must_use]
    pub fn waiting_calls(&self, id: &str) -> u32 {
        self.servers.get(id).map_or(0, Server::waiting)
    }

    /// Notes that a byte came from a server.
    pub fn bytes_received(&mut self, now: Instant, id: &str) {
        if let Some(server) = self.servers.get_mut(id) {
            server.heard = Some(now);
        }
    }

    /// Notes that a call goes out to a server.
    pub fn call_sent(&mut self, now: Instant, id: &str) {
        if let Some(server) = self.servers.get_mut(id) {
            if server.own.open == 0 {
                server.heard = Some(now);
            }
            server.own.open += 1;
            server.own.waiting += 1;
        }
    }

    /// Notes that a call at a server has its first event, or will have none.
    pub fn call_started(&mut self, id: &str) {
        if let Some(server) = self.servers.get_mut(id) {
            server.own.waiting = server.own.waiting.saturating_sub(1);
        }
    }

    /// Notes that a call at a server that has begun has ended.
    pub fn call_ended(&mut self, id: &str) {
        if let Some(server) = self.servers.get_mut(id) {
            server.own.open = server.own.open.saturating_sub(1);
        }
    }
}

/// A server's number between entries. Two servers of one number, one pair in
/// sixty among fifty servers, look a little busier than they are.
fn short(key: u64) -> u16 {
    key as u16
}

/// Open calls at a server from which it counts as crowded.
fn crowded(fit: &[&Server]) -> u32 {
    let open: u32 = fit.iter().map(|s| s.open()).sum();
    let mean = f64::from(open) / fit.len().max(1) as f64;
    (mean * CROWDED).ceil() as u32 + CROWDED_LEAST
}
