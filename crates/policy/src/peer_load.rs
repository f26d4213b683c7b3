//! What other entries have in progress, from what they tell.
//!
//! An entry sees its own calls only. With a few dozen entries before as many
//! engines it has about one call at each, which says nothing about how busy
//! an engine is. Each entry tells the others what it has, several times a
//! second, or where they are too many its zone's relays (`roster`); what was
//! told last counts until it is too old to be believed.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::time::{Duration, Instant};

use crate::pools::ServiceDemand;
use crate::suspects::Crash;

/// What an entry said is believed for so many of its own intervals.
pub const EXPIRY_INTERVALS: u32 = 4;

/// The shortest interval: what is told is as old as that, and a call takes
/// about ten of it.
const EVERY_LEAST: Duration = Duration::from_millis(100);

/// The interval up to which all entries are told alike. Beyond it the own
/// availability zone goes first: told more rarely, it would learn nothing of
/// calls.
const EVERY_MOST: Duration = Duration::from_secs(1);

/// The longest interval. With more entries than can be told each second, the
/// other zones still hear what a service's engines are loaded with,
/// which changes more slowly; of single calls the engines' sidecars know.
const FAR_MOST: Duration = Duration::from_secs(4);

/// Bytes a second that one entry may send, from the size that the system is
/// designed for (docs/CAPACITY.md).
const RATE: f64 = 8192.0;

/// Answers a second that a relay gives to those of its zone, however many they
/// are.
const ANSWERS: f64 = 64.0;

/// How often an entry speaks.
///
/// Load pattern: each of some dozen entries tells all others what it has. At
/// one datagram a second to each of 67, an entry sent 23 kB a second, four
/// fifths of it between zones.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Intervals {
    /// To entries of its own zone.
    pub same_zone: Duration,
    /// To the others.
    pub other_zones: Duration,
}

impl Intervals {
    /// The intervals of an entry for which telling all of its zone takes `near`
    /// bytes, and telling all others `far`.
    #[must_use]
    pub fn new(near: usize, far: usize) -> Self {
        let every = Duration::from_secs_f64((near + far) as f64 / RATE);
        if every <= EVERY_MOST {
            let every = every.max(EVERY_LEAST);
            return Self {
                same_zone: every,
                other_zones: every,
            };
        }
        let span = |bytes: usize, rate: f64| {
            let span = Duration::try_from_secs_f64(bytes as f64 / rate);
            span.unwrap_or(FAR_MOST).clamp(EVERY_MOST, FAR_MOST)
        };
        let near_every = span(near, RATE);
        let left = RATE - near as f64 / near_every.as_secs_f64();
        Self {
            same_zone: near_every,
            other_zones: span(far, left.max(1.0)),
        }
    }

    /// The intervals of an entry of a zone with so many members, which tells its
    /// relays.
    #[must_use]
    pub fn to_relays(members: usize) -> Self {
        let span = Duration::from_secs_f64(members as f64 / ANSWERS);
        let span = span.clamp(EVERY_MOST, FAR_MOST);
        Self {
            same_zone: span,
            other_zones: span,
        }
    }
}

/// Whose calls a saying tells of.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash)]
pub enum Scope {
    /// Those of the entry that says it.
    #[default]
    Own,
    /// Those of its availability zone.
    Zone,
    /// Those of all entries.
    All,
}

/// What one entry says.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct LoadReport {
    /// The life of the entry.
    pub incarnation: u64,
    /// Grows with each saying of that life.
    pub seq: u32,
    /// The availability zone that the entry stands in, by number.
    pub zone: u32,
    /// Whose calls these are.
    pub scope: Scope,
    /// Entries whose calls these are.
    pub entries: u32,
    /// How often the entry speaks.
    pub interval: Duration,
    /// What there is for each service, by the service's number.
    pub services: Vec<(u32, ServiceDemand)>,
    /// Calls at each server, by the server's short number.
    pub calls: Vec<(u16, CallCounts)>,
    /// Crashes of servers under calls, with how long ago they were seen, that
    /// the store has not taken yet.
    pub crashes: Vec<(Crash, Duration)>,
}

/// Calls at one server.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct CallCounts {
    /// All that have not ended.
    pub open: u32,
    /// Those of them that wait for their first event.
    pub waiting: u32,
}

/// Crashes that are passed on with the sum of several entries.
const CRASHES: usize = 16;

/// How long an entry that is not heard any more still counts among those that
/// share a limit. Entries that lost each other all go on, and would each take a
/// larger share while the sum is held against all of them.
const COUNTED: Duration = Duration::from_secs(600);

/// How many entries there are at the most, as far as one of them has heard.
#[derive(Debug, Default)]
pub struct PeakEntryCount {
    /// Counts, each larger than the later ones, with when they were last seen.
    counts: VecDeque<(Instant, usize)>,
}

impl PeakEntryCount {
    /// Notes how many entries are heard now; returns the most of late.
    pub fn record(&mut self, now: Instant, count: usize) -> usize {
        while self.counts.back().is_some_and(|(_, c)| *c <= count) {
            self.counts.pop_back();
        }
        self.counts.push_back((now, count));
        while self
            .counts
            .front()
            .is_some_and(|(at, _)| now >= *at + COUNTED)
        {
            self.counts.pop_front();
        }
        self.counts.front().map_or(count, |(_, most)| *most)
    }
}

/// What all other entries said last.
#[derive(Debug, Default)]
pub struct PeerLoads {
    said: HashMap<(u64, Scope), (Instant, LoadReport)>,
}

impl PeerLoads {
    /// Takes a saying over, unless a later one of the same life came first.
    pub fn observe(&mut self, now: Instant, saying: LoadReport) {
        let key = (saying.incarnation, saying.scope);
        let held = self.said.get(&key);
        if held.is_none_or(|(_, held)| held.seq < saying.seq) {
            self.said.insert(key, (now, saying));
        }
    }

    /// Forgets what is too old to be believed: its entry may have ended, and
    /// the calls that it told of with it.
    pub fn expire(&mut self, now: Instant) {
        self.said
            .retain(|_, (at, said)| now < *at + said.interval * EXPIRY_INTERVALS);
    }

    /// Entries that are heard themselves.
    #[must_use]
    pub fn count(&self) -> usize {
        let own = |(_, scope): &&(u64, Scope)| *scope == Scope::Own;
        self.said.keys().filter(own).count()
    }

    /// How many entries the relays of each other zone have summed up.
    #[must_use]
    pub fn entries_by_zone(&self) -> BTreeMap<u32, usize> {
        let mut zones = BTreeMap::new();
        for (_, said) in self.said.values().filter(|(_, s)| s.scope == Scope::Zone) {
            let entries = usize::try_from(said.entries).unwrap_or(usize::MAX);
            let most: &mut usize = zones.entry(said.zone).or_default();
            *most = entries.max(*most);
        }
        zones
    }

    /// What all other entries have, as far as is known; `own` is what this one
    /// says, which a sum of all holds as well.
    #[must_use]
    pub fn sum(&self, now: Instant, own: &LoadReport) -> LoadTotal {
        match self.best(|said| said.scope == Scope::All) {
            Some(all) => {
                let mut sum = LoadTotal::default();
                sum.add(now, all);
                sum.less(own);
                sum
            }
            None => self.heard(now),
        }
    }

    /// What the entries of zone `own.zone` have together, for the other zones.
    #[must_use]
    pub fn sum_zone(&self, now: Instant, own: &LoadReport) -> LoadReport {
        let mut sum = LoadTotal::default();
        let said = self.said.values();
        for held in said.filter(|(_, s)| s.scope == Scope::Own && s.zone == own.zone) {
            sum.add(now, held);
        }
        sum.add(now, &(now, own.clone()));
        sum.saying(own, Scope::Zone)
    }

    /// What all entries have together, for those of the own zone.
    #[must_use]
    pub fn sum_all(&self, now: Instant, own: &LoadReport) -> LoadReport {
        let mut sum = self.heard(now);
        sum.add(now, &(now, own.clone()));
        sum.saying(own, Scope::All)
    }

    /// What was heard of each zone, or of its entries.
    fn heard(&self, now: Instant) -> LoadTotal {
        let mut zones: Vec<u32> = Vec::new();
        for (_, said) in self.said.values() {
            if said.scope == Scope::Zone && !zones.contains(&said.zone) {
                zones.push(said.zone);
            }
        }
        let mut sum = LoadTotal::default();
        for zone in &zones {
            let best = self.best(|s| s.scope == Scope::Zone && s.zone == *zone);
            sum.add_some(now, best);
        }
        let apart = |s: &LoadReport| s.scope == Scope::Own && !zones.contains(&s.zone);
        for held in self.said.values().filter(|(_, said)| apart(said)) {
            sum.add(now, held);
        }
        sum
    }

    /// Of several sums of the same entries, the one that holds most of them: a
    /// relay that has just started has heard few.
    fn best(&self, which: impl Fn(&LoadReport) -> bool) -> Option<&(Instant, LoadReport)> {
        let held = self.said.values().filter(|(_, said)| which(said));
        held.max_by_key(|(at, said)| (said.entries, *at))
    }
}

/// What several entries have together.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct LoadTotal {
    /// How many they are.
    pub entries: u32,
    /// What they have for each service, by the service's number.
    pub services: BTreeMap<u32, ServiceDemand>,
    /// Calls at each server, by the server's short number.
    pub calls: BTreeMap<u16, CallCounts>,
    /// Crashes of servers, with how long ago they were seen.
    pub crashes: BTreeMap<Crash, Duration>,
}

impl LoadTotal {
    /// Adds what was heard at some time.
    fn add(&mut self, now: Instant, (at, said): &(Instant, LoadReport)) {
        self.entries += said.entries;
        for (service, told) in &said.services {
            let held = self.services.entry(*service).or_default();
            *held = held.combined(told);
        }
        for (server, calls) in &said.calls {
            let sum = self.calls.entry(*server).or_default();
            sum.open += calls.open;
            sum.waiting += calls.waiting;
        }
        let passed = now.saturating_duration_since(*at);
        for (crash, age) in &said.crashes {
            self.crashes.entry(*crash).or_insert(*age + passed);
        }
    }

    fn add_some(&mut self, now: Instant, held: Option<&(Instant, LoadReport)>) {
        if let Some(held) = held {
            self.add(now, held);
        }
    }

    /// Takes away what one entry has.
    fn less(&mut self, own: &LoadReport) {
        self.entries = self.entries.saturating_sub(own.entries);
        for (service, told) in &own.services {
            if let Some(held) = self.services.get_mut(service) {
                *held = held.without(told);
            }
        }
        for (server, calls) in &own.calls {
            if let Some(sum) = self.calls.get_mut(server) {
                sum.open = sum.open.saturating_sub(calls.open);
                sum.waiting = sum.waiting.saturating_sub(calls.waiting);
            }
        }
    }

    /// The same as it is passed on by the entry that says `own`.
    fn saying(self, own: &LoadReport, scope: Scope) -> LoadReport {
        LoadReport {
            scope,
            entries: self.entries,
            services: self.services.into_iter().collect(),
            calls: self.calls.into_iter().collect(),
            crashes: self.crashes.into_iter().take(CRASHES).collect(),
            ..own.clone()
        }
    }
}
