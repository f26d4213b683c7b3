//! Chooses the backend server for a call that an entry routes directly.
//!
//! Load pattern: several entries send many calls whose prompts share long
//! prefixes. Prefilling a prefix again at a second engine costs more than a
//! short wait at the first. Each call therefore goes to the engine that
//! rendezvous hashing assigns to its prefix, without coordination between
//! entries, until that engine is clearly busier than the others by the open
//! calls that all entries report. See docs/DECISIONS/0601-on-the-platform.md.

mod cooldown;
mod copies;
mod feedback;
mod name_order;
mod rate_limit;
mod retained;
mod slow_start;

use std::cmp::Reverse;
use std::collections::{BTreeMap, HashMap, HashSet};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

use crate::paces::{PaceClass, PaceClasses};
use crate::peer_load::CallCounts;
use crate::rendezvous::{hash_name, score, weighted_score};
use crate::versions::VersionHistory;
use crate::versions::records::KnownVersion;
use feedback::FeedbackState;
use name_order::NameOrder;
use retained::RetainedFeedback;

pub use cooldown::failure_cooldown;
pub use copies::CopyQuery;
pub use feedback::{FeedbackChange, FeedbackCounts, ServerFeedback};
pub use rate_limit::TurnSchedule;

/// The server with the highest score for a prefix is passed over when its open
/// calls exceed the mean of the service by this factor. At a factor of 2, a tenth
/// more shared prompt tokens were prefilled again.
const OVERLOAD_RATIO: f64 = 3.0;

/// Open calls that a server may have beyond the ratio: with few calls in total,
/// two of them can meet at one server by chance.
const OVERLOAD_MIN_CALLS: u32 = 1;

/// How long a record with an earlier start must be the newest of its server until it is
/// accepted. A late record of an earlier incarnation is followed by one of the present
/// incarnation within a few reports, which servers send about every second.
pub const EARLIER_START_WAIT: Duration = Duration::from_secs(5);

/// The rendezvous key by which all entries order servers before they partition
/// them.
const PARTITION_KEY: u64 = 0x706f_6f6c;

/// A backend server as the platform lists it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServerRecord {
    /// Its name. A restarted server has a new name, or the same name with a
    /// later `started_ms`.
    pub id: Rc<str>,
    /// The service that it offers.
    pub service: Rc<str>,
    /// The address that it listens on.
    pub addr: SocketAddr,
    /// Its availability zone.
    pub zone: Rc<str>,
    /// Calls that it runs concurrently.
    pub slots: u32,
    /// Whether it is draining and takes no new calls.
    pub leaving: bool,
    /// When this incarnation of the server started, in milliseconds since the
    /// Unix epoch, if the record says so.
    #[serde(rename = "born")]
    pub started_ms: Option<u64>,
    /// The version of its software; empty if the record names none.
    pub version: Rc<str>,
}

impl ServerRecord {
    /// The server's short number in what entries exchange.
    #[must_use]
    pub fn number(&self) -> u16 {
        short_number(hash_name(&self.id))
    }
}

/// How a record from the platform's list differs from what was known.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RecordChange {
    /// It contains nothing new.
    Unchanged,
    /// The server was unknown, or its state has changed.
    Updated,
    /// The server has restarted under the same name.
    Restarted,
}

/// Which server a call needs.
#[derive(Debug, Clone, Copy)]
pub struct ServerQuery<'a> {
    /// The service that is called.
    pub service: &'a str,
    /// Hash of the prompt's shared prefix, if it has one.
    pub prefix_hash: Option<u64>,
    /// Servers that the call was already sent to.
    pub tried: &'a [Rc<str>],
    /// The partition of the servers that it should go to.
    pub partition: Partition,
    /// How servers are ranked.
    pub strategy: Strategy,
    /// The software version that began the call's stream. What other versions write does
    /// not fit it.
    pub version: Option<&'a str>,
    /// A server with open calls that has sent nothing for this long is passed
    /// over.
    pub silence_timeout: Duration,
}

/// How the servers for a call are ranked.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Strategy {
    /// By the rendezvous score for the prompt's prefix; servers with clearly
    /// more open calls than the others come last.
    PrefixAffinity,
    /// The one of two random servers with fewer open calls of all entries.
    TwoChoices,
    /// By this entry's own open calls, then its own availability zone first.
    /// Calls of plain services end before other entries could report them.
    #[default]
    LeastOwnCalls,
}

/// A partition of a service's servers, equal at every entry that uses the same
/// count.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Partition {
    /// All of them.
    #[default]
    All,
    /// The first servers of the common order, as many as given.
    First(usize),
    /// All servers after the first ones, as many as given.
    Rest(usize),
}

/// The servers that an entry knows, with the open calls at each.
#[derive(Debug)]
pub struct Balancer {
    /// The entry's availability zone.
    zone: Rc<str>,
    servers: HashMap<Rc<str>, Server>,
    /// Feedback of servers that are currently not listed.
    retained: RetainedFeedback,
    /// The order in which server names were first seen.
    name_order: NameOrder,
    /// The software versions of each service.
    versions: VersionHistory,
    /// The entry's turns among those that share the servers' rate limits. Until
    /// the entries are counted it is unset, and rate-limited servers get no
    /// calls.
    turns: Option<TurnSchedule>,
    /// Choices made so far; varies the tie-break from call to call.
    choices: u64,
    /// Classes of each service's servers by their paces.
    paces: HashMap<Rc<str>, PaceClasses>,
}

#[derive(Debug)]
struct Server {
    record: ServerRecord,
    /// Position of its name in the order in which names were first seen.
    first_seen: u64,
    /// Whether a newer server has its address.
    replaced: bool,
    /// Hash of its name, equal at every entry.
    name_hash: u64,
    /// Calls of this entry.
    own_calls: CallCounts,
    /// Calls of the other entries, as last reported.
    remote_calls: CallCounts,
    /// Consecutive connection failures.
    connect_failures: u32,
    /// Consecutive failed calls.
    failed_calls: u32,
    /// End of the cooldown after failures.
    cooldown_until: Option<Instant>,
    /// When a byte last came from it, or the first of the open calls was sent.
    last_received: Option<Instant>,
    /// Since when the list has lacked it, and until when it may still be
    /// called.
    missing: Option<(Instant, Instant)>,
    /// What it has reported in its answers.
    feedback: FeedbackState,
    /// Its newest record, if that has an earlier start than the one in use.
    earlier: Option<EarlierStart>,
}

/// A record with an earlier start than the one in use.
#[derive(Debug)]
struct EarlierStart {
    record: ServerRecord,
    /// When a record with that start arrived first.
    since: Instant,
    /// Whether it is not the first one: the server itself goes on writing it.
    repeated: bool,
}

/// Sorts servers by when they started: by their own start time, then by the
/// order in which their names were first seen.
type StartRank = (Option<u64>, u64);

impl EarlierStart {
    /// Whether the server is draining. A single record may be a late one of an earlier
    /// incarnation.
    fn is_leaving(&self) -> bool {
        self.repeated && self.record.leaving
    }
}

impl Server {
    /// Its number in what entries exchange.
    fn number(&self) -> u16 {
        short_number(self.name_hash)
    }

    fn start_rank(&self) -> StartRank {
        (self.record.started_ms, self.first_seen)
    }

    /// Whether it is draining, by the list or by its own feedback, whichever
    /// came first. A server whose clock went back says so in records that are not in use yet.
    fn draining(&self) -> bool {
        let by_earlier = self.earlier.as_ref().is_some_and(EarlierStart::is_leaving);
        self.record.leaving || self.feedback.leaving || by_earlier
    }

    /// Whether it is listed and takes new calls of `service`.
    fn serves(&self, service: &str) -> bool {
        let available = !self.draining() && !self.replaced && self.missing.is_none();
        available && &*self.record.service == service
    }

    /// Whether it is listed, or may still be called, and takes new calls of `service`.
    fn is_callable(&self, now: Instant, service: &str) -> bool {
        let present = self.missing.is_none_or(|(_, until)| now < until);
        &*self.record.service == service && !self.draining() && !self.replaced && present
    }

    /// Open calls of all entries at the server.
    fn open_calls(&self) -> u32 {
        self.own_calls.open.saturating_add(self.remote_calls.open)
    }

    /// Whether its feedback allows a call from this entry now.
    fn accepts_call(&self, now: Instant, turns: Option<&TurnSchedule>) -> bool {
        self.feedback.accepts_call(now, self.own_calls.open, turns)
    }

    /// Whether it has open calls and has sent nothing for `timeout`.
    ///
    /// The connections to a host that lost power or its network stay open.
    /// Calls sent on them would wait for seconds, until the transport times out
    /// or the list drops the host, and would all be lost.
    fn is_silent(&self, now: Instant, timeout: Duration) -> bool {
        let received = self.last_received.filter(|_| self.own_calls.open > 0);
        received.is_some_and(|at| now >= at + timeout)
    }

    /// Whether it is neither in cooldown nor silent.
    fn is_healthy(&self, now: Instant, silence_timeout: Duration) -> bool {
        let cooled = self.cooldown_until.is_none_or(|until| until <= now);
        cooled && !self.is_silent(now, silence_timeout)
    }

    /// Calls of all entries that wait for their first event at the server.
    fn waiting_calls(&self) -> u32 {
        let remote = self.remote_calls.waiting;
        self.own_calls.waiting.saturating_add(remote)
    }
}

impl Balancer {
    /// Creates a balancer of an entry in `zone` that knows no servers.
    #[must_use]
    pub fn new(zone: &str) -> Self {
        Self {
            zone: Rc::from(zone),
            servers: HashMap::new(),
            retained: RetainedFeedback::default(),
            name_order: NameOrder::default(),
            versions: VersionHistory::default(),
            turns: None,
            choices: 0,
            paces: HashMap::new(),
        }
    }

    /// Adds a server or updates its state.
    ///
    /// A server that has restarted under its name counts as new. With the
    /// cooldown of its earlier incarnation it would stand idle for seconds.
    /// Records of an earlier incarnation may arrive late and are not applied at once,
    /// since they could keep calls from a healthy server; see
    /// [`Self::accept_earlier_starts`].
    pub fn upsert(&mut self, now: Instant, record: ServerRecord) -> RecordChange {
        let first_seen = self.name_order.position(now, &record.id);
        let addr = record.addr;
        let old_addr = self.addr(&record.id);
        let id = Rc::clone(&record.id);
        let version = |server: &Server| {
            let ServerRecord {
                service, version, ..
            } = &server.record;
            (Rc::clone(service), Rc::clone(version))
        };
        let before = self.servers.get(&id).map(version);
        let change = self.upsert_record(now, record, first_seen);
        let after = self.servers.get(&id).map(version);
        if before != after {
            if let Some((service, version)) = after {
                self.versions.server_added(&service, &version);
            }
            if let Some((service, version)) = before {
                self.versions.server_removed(now, &service, &version);
            }
        }
        if change != RecordChange::Unchanged {
            self.update_replaced(addr);
            old_addr
                .filter(|old| *old != addr)
                .into_iter()
                .for_each(|old| self.update_replaced(old));
        }
        change
    }

    fn upsert_record(
        &mut self,
        now: Instant,
        record: ServerRecord,
        first_seen: u64,
    ) -> RecordChange {
        match self.servers.get_mut(&record.id) {
            Some(server) if record.started_ms < server.record.started_ms => {
                let was_draining = server.draining();
                let known = server.earlier.take();
                let known = known.filter(|e| e.record.started_ms == record.started_ms);
                server.earlier = Some(EarlierStart {
                    record,
                    since: known.as_ref().map_or(now, |e| e.since),
                    repeated: known.is_some(),
                });
                match server.draining() && !was_draining {
                    true => RecordChange::Updated,
                    false => RecordChange::Unchanged,
                }
            }
            Some(server) => {
                server.earlier = None;
                let restarted = server.record.started_ms < record.started_ms;
                let returned = server.missing.take().is_some();
                let same = server.record == record;
                server.record = record;
                if restarted {
                    server.connect_failures = 0;
                    server.failed_calls = 0;
                    server.cooldown_until = None;
                    server.last_received = None;
                    server.feedback = FeedbackState::default();
                    return RecordChange::Restarted;
                }
                match returned || !same {
                    true => RecordChange::Updated,
                    false => RecordChange::Unchanged,
                }
            }
            None => {
                let server = Server {
                    first_seen,
                    replaced: false,
                    name_hash: hash_name(&record.id),
                    own_calls: CallCounts::default(),
                    remote_calls: CallCounts::default(),
                    connect_failures: 0,
                    failed_calls: 0,
                    cooldown_until: None,
                    last_received: None,
                    missing: None,
                    earlier: None,
                    feedback: self.retained.take(&record),
                    record,
                };
                self.servers.insert(Rc::clone(&server.record.id), server);
                RecordChange::Updated
            }
        }
    }

    /// Returns the records that lasted although they have an earlier start than the ones in
    /// use, for [`Self::upsert`], which accepts them from then on: the server's clock went
    /// back before it restarted, or the record in use was not its own.
    pub fn accept_earlier_starts(&mut self, now: Instant) -> Vec<ServerRecord> {
        let lasting = |at: Instant| now >= at + EARLIER_START_WAIT;
        let servers = self.servers.values_mut();
        let accepted = servers.filter_map(|server| {
            let EarlierStart { record, .. } = server.earlier.take_if(|e| lasting(e.since))?;
            server.record.started_ms = None;
            Some(record)
        });
        accepted.collect()
    }

    /// Determines which of the servers at an address owns it now: the one that
    /// started last or, without start times, whose name was seen last.
    ///
    /// After a power cut the list shows each engine twice for seconds, also
    /// under the name of its earlier incarnation. A call to the earlier name is
    /// refused by the new incarnation and costs a repeat; a third of all calls
    /// failed when no repeat was left.
    fn update_replaced(&mut self, addr: SocketAddr) {
        let mut newest: HashMap<Rc<str>, StartRank> = HashMap::new();
        let same_addr = |s: &&mut Server| s.record.addr == addr;
        for server in self.servers.values_mut().filter(same_addr) {
            server.replaced = false;
            if server.missing.is_none() {
                let rank = newest.entry(Rc::clone(&server.record.service));
                let rank = rank.or_insert(server.start_rank());
                *rank = (*rank).max(server.start_rank());
            }
        }
        // Services are compared separately: a record of a service that this
        // entry does not route must not take over a server's address.
        for server in self.servers.values_mut().filter(same_addr) {
            let newest = newest.get(&server.record.service);
            server.replaced = newest.is_some_and(|newest| *newest > server.start_rank());
        }
    }

    /// Marks a server as no longer listed; returns whether it was listed.
    ///
    /// While the store is unavailable, records of live servers expire just like
    /// those of servers that left. Until `until` the server still gets calls,
    /// but only while no server of its service is listed.
    pub fn mark_missing(&mut self, now: Instant, id: &str, until: Instant) -> bool {
        match self.servers.get_mut(id) {
            Some(server) if server.missing.is_none() => {
                server.missing = Some((now, until));
                server.earlier = None;
                let addr = server.record.addr;
                self.update_replaced(addr);
                true
            }
            _ => false,
        }
    }

    /// Removes the servers that have been missing for `wait`; returns their
    /// names.
    pub fn forget_missing(&mut self, now: Instant, wait: Duration) -> Vec<Rc<str>> {
        let gone = |s: &&Server| s.missing.is_some_and(|(since, _)| now >= since + wait);
        let gone = self.servers.values().filter(gone);
        let gone: Vec<Rc<str>> = gone.map(|s| Rc::clone(&s.record.id)).collect();
        for server in gone.iter().filter_map(|id| self.servers.remove(id)) {
            let ServerRecord {
                service, version, ..
            } = &server.record;
            self.versions.server_removed(now, service, version);
            self.retained.keep(now, &server.record, server.feedback);
        }
        self.retained.expire(now);
        let servers = &self.servers;
        self.name_order.expire(now, |id| servers.contains_key(id));
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

    /// Whether this incarnation of a server is known to be draining.
    #[must_use]
    pub fn is_leaving(&self, record: &ServerRecord) -> bool {
        let server = self.servers.get(&record.id);
        server.is_some_and(|s| s.draining() && s.record.started_ms == record.started_ms)
    }

    /// When the known incarnation of a server started, if its record says so.
    #[must_use]
    pub fn started_ms(&self, id: &str) -> Option<u64> {
        self.servers.get(id)?.record.started_ms
    }

    /// The address that a known server listens on.
    #[must_use]
    pub fn addr(&self, id: &str) -> Option<SocketAddr> {
        self.servers.get(id).map(|s| s.record.addr)
    }

    /// Whether a server is known and not known to be leaving or replaced. One that is missing
    /// from the list may be among them; [`Self::may_send`] decides about a call.
    #[must_use]
    pub fn accepts_calls(&self, id: &str) -> bool {
        let accepts = |s: &Server| !s.draining() && !s.replaced;
        self.servers.get(id).is_some_and(accepts)
    }

    /// Whether a call may be sent to a server now; `version` is the software version that the
    /// call is bound to, if any.
    ///
    /// Every path asks this last, right before it sends: a call may have waited since its
    /// server was chosen, and the server may have left meanwhile. A server that the list lacks
    /// may be called only for a moment, and only while no listed one could take the call.
    #[must_use]
    pub fn may_send(&self, now: Instant, id: &str, version: Option<&str>) -> bool {
        let Some(server) = self.servers.get(id) else {
            return false;
        };
        let service = &*server.record.service;
        let fits = |s: &Server| version.is_none_or(|v| &*s.record.version == v);
        let callable = server.is_callable(now, service);
        let listed = |s: &Server| s.serves(service) && fits(s);
        callable && (server.missing.is_none() || !self.servers.values().any(listed))
    }

    /// The number of servers of `service` that take new calls, and the largest
    /// number of slots that one of them has.
    #[must_use]
    pub fn serving_capacity(&self, service: &str) -> (usize, u32) {
        let serving = self.servers.values().filter(|s| s.serves(service));
        serving.fold((0, 0), |(n, slots), s| (n + 1, slots.max(s.record.slots)))
    }

    /// The servers of `service` that take new calls, each with the open calls
    /// of all entries there.
    #[must_use]
    pub fn serving(&self, service: &str) -> Vec<(ServerRecord, u32)> {
        let serving = self.servers.values().filter(|s| s.serves(service));
        serving
            .map(|s| (s.record.clone(), s.open_calls()))
            .collect()
    }

    /// The software versions of `service` that have or recently had servers, also
    /// those whose servers take no calls any more.
    #[must_use]
    pub fn recent_versions(&self, now: Instant, service: &str) -> Vec<Rc<str>> {
        self.versions.recent(now, service).cloned().collect()
    }

    /// The software versions of all services that have or recently had servers.
    #[must_use]
    pub fn known_versions(&self, now: Instant) -> Vec<KnownVersion<'_>> {
        self.versions.all(now)
    }

    /// The names of the services of which any server is or was known.
    pub fn known_services(&self) -> impl Iterator<Item = &Rc<str>> {
        self.versions.services()
    }

    /// Whether any server of `service` is known that may be called, now or after a
    /// pause.
    #[must_use]
    pub fn knows_server(&self, now: Instant, service: &str) -> bool {
        self.callable(now, service).next().is_some()
    }

    /// The servers of `service` that are listed or may still be called.
    fn callable(&self, now: Instant, service: &str) -> impl Iterator<Item = &Server> {
        let callable = move |s: &&Server| s.is_callable(now, service);
        self.servers.values().filter(callable)
    }

    /// The best server for a call, if any server may take it.
    pub fn choose(&mut self, now: Instant, query: &ServerQuery<'_>) -> Option<ServerRecord> {
        self.ranked(now, query).into_iter().next()
    }

    /// Servers that are likely to hold a prompt's prefix in their KV cache, the
    /// likeliest first: by rendezvous score among all healthy servers, also
    /// those that may not take the call now. An overloaded server, or one of
    /// another partition, still holds the prefixes that it has prefilled.
    #[must_use]
    pub fn prefix_holders(&self, now: Instant, query: &ServerQuery<'_>) -> Vec<ServerRecord> {
        let Some(prefix_hash) = query.prefix_hash else {
            return Vec::new();
        };
        let usable = |s: &&Server| {
            let listed = &*s.record.service == query.service;
            let listed = listed && !s.replaced && s.missing.is_none();
            listed && !s.feedback.is_backing_off(now) && s.is_healthy(now, query.silence_timeout)
        };
        let mut usable: Vec<&Server> = self.servers.values().filter(usable).collect();
        usable.sort_by_key(|s| Reverse(self.home_rank(prefix_hash, s)));
        usable.into_iter().map(|s| s.record.clone()).collect()
    }

    /// The servers that may take a call, the best first.
    pub fn ranked(&mut self, now: Instant, query: &ServerQuery<'_>) -> Vec<ServerRecord> {
        self.choices = self.choices.wrapping_add(1);
        let mut candidates: Vec<&Server> = self.callable(now, query.service).collect();
        if let Some(version) = query.version {
            candidates.retain(|s| &*s.record.version == version);
        }
        if candidates.iter().any(|s| s.missing.is_none()) {
            candidates.retain(|s| s.missing.is_none());
        }
        let turns = self.turns.as_ref();
        candidates.retain(|s| !query.tried.contains(&s.record.id) && s.accepts_call(now, turns));
        let healthy = |s: &&Server| s.is_healthy(now, query.silence_timeout);
        // Without any healthy server, an unhealthy one is better than none.
        if candidates.iter().any(healthy) {
            candidates.retain(healthy);
        }
        self.retain_partition(&mut candidates, query);
        let rank_key = query.prefix_hash.unwrap_or(self.choices);
        let rank = |s: &Server| score(rank_key, s.name_hash);
        match query.strategy {
            Strategy::PrefixAffinity => {
                let limit = overload_limit(&candidates);
                let rank = |s: &Server| self.home_rank(rank_key, s);
                candidates.sort_by_key(|s| (s.open_calls() > limit, Reverse(rank(s))));
            }
            Strategy::TwoChoices => {
                candidates.sort_by_key(|s| rank(s));
                // The counts of other entries are some tenths of a second old.
                // If all entries took the least loaded server, they would all
                // take the same one; the better of two random ones spreads them.
                if let [one, two, ..] = &candidates[..]
                    && two.open_calls() < one.open_calls()
                {
                    candidates.swap(0, 1);
                }
            }
            Strategy::LeastOwnCalls => {
                let zone = &self.zone;
                candidates.sort_by_key(|s| (s.own_calls.open, s.record.zone != *zone, rank(s)));
            }
        }
        candidates.into_iter().map(|s| s.record.clone()).collect()
    }

    /// Removes the candidates outside the query's partition, if any candidate
    /// is inside it.
    fn retain_partition(&self, candidates: &mut Vec<&Server>, query: &ServerQuery<'_>) {
        let (count, first) = match query.partition {
            Partition::All => return,
            Partition::First(count) => (count, true),
            Partition::Rest(count) => (count, false),
        };
        // The partition is computed over all servers that take calls. An entry
        // that has one of them in cooldown thus partitions like the others.
        let order = self.partition_order(query.service);
        let first_servers: HashSet<u64> = order.iter().take(count).map(|s| s.name_hash).collect();
        let inside = |s: &&Server| first_servers.contains(&s.name_hash) == first;
        if candidates.iter().any(inside) {
            candidates.retain(inside);
        }
    }

    /// The rank of a server as the home of a prefix; the highest is the home.
    /// Faster servers are the homes of more prefixes.
    fn home_rank(&self, prefix_hash: u64, server: &Server) -> u64 {
        let paces = self.paces.get(&server.record.service);
        match paces.and_then(|p| p.home_weight(server.number())) {
            // Positive floating-point numbers are ordered as their bits.
            Some(weight) => weighted_score(prefix_hash, server.name_hash, weight).to_bits(),
            None => score(prefix_hash, server.name_hash),
        }
    }

    /// The servers of a service that take calls, in the order in which they are
    /// partitioned: the fastest class first, then by hash.
    fn partition_order(&self, service: &str) -> Vec<&Server> {
        let mut order: Vec<&Server> = self.servers.values().collect();
        order.retain(|s| &*s.record.service == service && !s.draining() && s.missing.is_none());
        let paces = self.paces.get(service);
        let class = |s: &Server| paces.map_or(PaceClass::default(), |p| p.class(s.number()));
        order.sort_by_key(|s| (class(s), score(PARTITION_KEY, s.name_hash)));
        order
    }

    /// The number of servers at the start of the partition order that are about
    /// as fast together as `count` average ones.
    #[must_use]
    pub fn paced_count(&self, service: &str, count: usize) -> usize {
        let paces = self.paces.get(service).filter(|p| p.is_active());
        let Some(paces) = paces.filter(|_| count > 0) else {
            return count;
        };
        let order = self.partition_order(service);
        let speeds: Vec<f64> = order.iter().map(|s| paces.speed(s.number())).collect();
        let needed = speeds.iter().sum::<f64>() * count as f64 / order.len().max(1) as f64;
        let mut sum = 0.0;
        // Half a server too few is closer than half a server too many.
        let fits = |speed: &&f64| {
            sum += **speed;
            sum - **speed / 2.0 <= needed
        };
        let servers = speeds.iter().take_while(fits).count();
        servers.clamp(1, order.len().saturating_sub(1).max(1))
    }

    /// Sets the typical time between two events of a stream at each server, by
    /// its short number.
    pub fn set_paces(&mut self, paces: &BTreeMap<u16, Duration>) {
        let mut services: BTreeMap<Rc<str>, Vec<(u16, Duration)>> = BTreeMap::new();
        for server in self.servers.values() {
            let known = services.entry(Rc::clone(&server.record.service));
            let known = known.or_default();
            if let Some(event) = paces.get(&server.number()) {
                known.push((server.number(), *event));
            }
        }
        self.paces
            .retain(|service, _| services.contains_key(service));
        for (service, known) in services {
            self.paces.entry(service).or_default().update(&known);
        }
    }

    /// The typical time between two events of a stream at a server, if known.
    #[must_use]
    pub fn pace(&self, id: &str) -> Option<Duration> {
        let server = self.servers.get(id)?;
        self.paces
            .get(&server.record.service)?
            .event(server.number())
    }

    /// Number of servers with a known pace in a class, over all services.
    #[must_use]
    pub fn class_sizes(&self, class: PaceClass) -> usize {
        self.paces.values().map(|paces| paces.count(class)).sum()
    }

    /// Moves the servers that are too slow for a stream that allows `max_gap`
    /// behind the others.
    pub fn put_slow_last(&self, ranked: &mut [ServerRecord], max_gap: Duration) {
        let too_slow = |server: &ServerRecord| {
            let paces = self.paces.get(&server.service);
            paces.is_some_and(|p| p.is_too_slow(server.number(), max_gap))
        };
        ranked.sort_by_key(too_slow);
    }

    /// Open calls of this entry, by the short number of the server.
    #[must_use]
    pub fn own_calls(&self) -> Vec<(u16, CallCounts)> {
        let busy = self.servers.values().filter(|s| s.own_calls.open > 0);
        busy.map(|s| (short_number(s.name_hash), s.own_calls))
            .collect()
    }

    /// Sets the calls of all other entries, which `calls` returns by the short
    /// number of the server.
    pub fn set_remote_calls(&mut self, calls: impl Fn(u16) -> CallCounts) {
        for server in self.servers.values_mut() {
            server.remote_calls = calls(short_number(server.name_hash));
        }
    }

    /// Calls of all entries that wait for their first event at a server.
    #[must_use]
    pub fn waiting_calls(&self, id: &str) -> u32 {
        self.servers.get(id).map_or(0, Server::waiting_calls)
    }

    /// Records that bytes came from a server.
    pub fn bytes_received(&mut self, now: Instant, id: &str) {
        if let Some(server) = self.servers.get_mut(id) {
            server.last_received = Some(now);
        }
    }

    /// Records that a call is sent to a server.
    pub fn call_sent(&mut self, now: Instant, id: &str) {
        if let Some(server) = self.servers.get_mut(id) {
            if server.own_calls.open == 0 {
                server.last_received = Some(now);
            }
            server.own_calls.open += 1;
            server.own_calls.waiting += 1;
        }
    }

    /// Records that a call at a server has its first event, or will have none.
    pub fn call_started(&mut self, id: &str) {
        if let Some(server) = self.servers.get_mut(id) {
            server.own_calls.waiting = server.own_calls.waiting.saturating_sub(1);
        }
    }

    /// Records that a started call at a server has ended.
    pub fn call_ended(&mut self, id: &str) {
        if let Some(server) = self.servers.get_mut(id) {
            server.own_calls.open = server.own_calls.open.saturating_sub(1);
        }
    }
}

/// A server's number in the call counts that entries exchange. Among fifty
/// servers the chance that two share a number is one in sixty; both then look a
/// little busier than they are.
fn short_number(name_hash: u64) -> u16 {
    name_hash as u16
}

/// Open calls above which a server counts as overloaded.
fn overload_limit(candidates: &[&Server]) -> u32 {
    let open: f64 = candidates.iter().map(|s| f64::from(s.open_calls())).sum();
    let mean = open / candidates.len().max(1) as f64;
    ((mean * OVERLOAD_RATIO).ceil() as u32).saturating_add(OVERLOAD_MIN_CALLS)
}
