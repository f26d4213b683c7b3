//! Tracks the load of other entries from their reports.
//!
//! An entry knows only its own calls. With a few dozen entries and as many engines, it
//! has about one call at each engine, which says nothing about how busy the engine is.
//! Each entry therefore reports its load to the others several times a second, or, if
//! there are too many, to the relays of its zone (`roster`). The latest report counts
//! until it expires.

use std::collections::{BTreeMap, VecDeque};
use std::time::{Duration, Instant};

use crate::paces::MAX_REPORTED;
use crate::pools::ServiceDemand;
use crate::shares::rates::{self, GroupRates, ShareGroup};
use crate::suspects::{Crash, CrashReport};

/// Number of the sender's report intervals after which its report expires.
pub const EXPIRY_INTERVALS: u32 = 4;

/// Shortest interval. It bounds the age of a report, and a call takes about ten times
/// as long.
const MIN_INTERVAL: Duration = Duration::from_millis(100);

/// Longest interval at which all entries get reports equally often. Beyond it the own
/// availability zone has priority: with rarer reports it would miss whole calls.
const MAX_SHARED_INTERVAL: Duration = Duration::from_secs(1);

/// Longest interval. If there are more entries than can get a report each second, the
/// other zones still learn the load of a service's engines, which changes more slowly;
/// the engines' sidecars know the individual calls.
const MAX_INTERVAL: Duration = Duration::from_secs(4);

/// Bytes a second that one entry may send, derived from the design size of the system
/// (docs/CAPACITY.md).
const SEND_RATE: f64 = 8192.0;

/// Answers a second that a relay sends to the entries of its zone, regardless of their
/// number.
const ANSWER_RATE: f64 = 64.0;

/// How often an entry reports its load.
///
/// Load pattern: each of a few dozen entries reports to all others. At one datagram a
/// second to each of 67 entries, an entry sent 23 kB/s, four fifths of it between
/// zones.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Intervals {
    /// Interval for entries of its own zone.
    pub same_zone: Duration,
    /// Interval for all other entries.
    pub other_zones: Duration,
}

impl Intervals {
    /// The intervals of an entry whose reports take `same_zone` bytes for all entries
    /// of its zone, and `other_zones` bytes for all others.
    #[must_use]
    pub fn new(same_zone: usize, other_zones: usize) -> Self {
        let interval = Duration::from_secs_f64((same_zone + other_zones) as f64 / SEND_RATE);
        if interval <= MAX_SHARED_INTERVAL {
            let interval = interval.max(MIN_INTERVAL);
            return Self {
                same_zone: interval,
                other_zones: interval,
            };
        }
        let interval_for = |bytes: usize, rate: f64| {
            let interval = Duration::try_from_secs_f64(bytes as f64 / rate);
            interval
                .unwrap_or(MAX_INTERVAL)
                .clamp(MAX_SHARED_INTERVAL, MAX_INTERVAL)
        };
        let same_zone_interval = interval_for(same_zone, SEND_RATE);
        let remaining = SEND_RATE - same_zone as f64 / same_zone_interval.as_secs_f64();
        Self {
            same_zone: same_zone_interval,
            other_zones: interval_for(other_zones, remaining.max(1.0)),
        }
    }

    /// The intervals of an entry that reports to the relays of a zone with `members`
    /// entries.
    #[must_use]
    pub fn to_relays(members: usize) -> Self {
        let interval = Duration::from_secs_f64(members as f64 / ANSWER_RATE);
        let interval = interval.clamp(MAX_SHARED_INTERVAL, MAX_INTERVAL);
        Self {
            same_zone: interval,
            other_zones: interval,
        }
    }
}

/// The entries that a load report covers.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum Scope {
    /// The sender only.
    #[default]
    Own,
    /// All entries of the sender's availability zone.
    Zone,
    /// All entries.
    All,
}

/// A load report of one entry.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct LoadReport {
    /// The sender's incarnation.
    pub incarnation: u64,
    /// Sequence number; it increases with each report of that incarnation.
    pub seq: u32,
    /// Number of the sender's availability zone.
    pub zone: u32,
    /// The entries that the report covers.
    pub scope: Scope,
    /// Number of entries that the report covers.
    pub entries: u32,
    /// The sender's report interval.
    pub interval: Duration,
    /// Load of each service, by the service's number.
    pub services: Vec<(u32, ServiceDemand)>,
    /// Calls at each server, by the server's short number.
    pub calls: Vec<(u16, CallCounts)>,
    /// Server crashes during calls that the store has not recorded yet.
    pub crashes: Vec<CrashReport>,
    /// Parts of prompts that are known to be sound and that the store has not recorded
    /// yet, with the time since each was known to be.
    pub sound_parts: Vec<(u64, Duration)>,
    /// Typical time between two events of a stream at each server, by the server's
    /// short number; the newest first.
    pub paces: Vec<(u16, Duration)>,
    /// Rates of workspaces' calls to services that reject calls.
    pub workspaces: Vec<(ShareGroup, GroupRates)>,
}

/// Numbers of calls at one server.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct CallCounts {
    /// Calls that have not ended.
    pub open: u32,
    /// Open calls that wait for their first event.
    pub waiting: u32,
}

/// Maximum number of crashes in a report that covers several entries.
const MAX_CRASHES: usize = 16;

/// How long a silent entry still counts among those that share a limit. Entries that
/// have lost contact with each other all continue, and would each take a larger share
/// while the limit applies to the total of all of them.
const PEAK_WINDOW: Duration = Duration::from_secs(600);

/// The highest recent number of entries, as known to one of them.
#[derive(Debug, Default)]
pub struct PeakEntryCount {
    /// Decreasing counts, each with the time at which it was last seen.
    counts: VecDeque<(Instant, usize)>,
}

impl PeakEntryCount {
    /// Records the current number of entries; returns the highest recent one.
    pub fn record(&mut self, now: Instant, count: usize) -> usize {
        while self.counts.back().is_some_and(|(_, c)| *c <= count) {
            self.counts.pop_back();
        }
        self.counts.push_back((now, count));
        while self
            .counts
            .front()
            .is_some_and(|(at, _)| now >= *at + PEAK_WINDOW)
        {
            self.counts.pop_front();
        }
        self.counts.front().map_or(count, |(_, most)| *most)
    }
}

/// The latest load reports of all other entries.
#[derive(Debug, Default)]
pub struct PeerLoads {
    /// In a fixed order, so that entries with equal reports choose the same sums.
    reports: BTreeMap<(u64, Scope), (Instant, LoadReport)>,
}

impl PeerLoads {
    /// Stores a report unless a later one of the same incarnation has arrived.
    pub fn observe(&mut self, now: Instant, report: LoadReport) {
        let key = (report.incarnation, report.scope);
        let existing = self.reports.get(&key);
        if existing.is_none_or(|(_, existing)| existing.seq < report.seq) {
            self.reports.insert(key, (now, report));
        }
    }

    /// Drops expired reports: their senders may have ended, together with the calls
    /// that they reported.
    pub fn expire(&mut self, now: Instant) {
        self.reports
            .retain(|_, (at, report)| now < *at + report.interval * EXPIRY_INTERVALS);
    }

    /// Number of entries whose own reports are held.
    #[must_use]
    pub fn count(&self) -> usize {
        let own = |(_, scope): &&(u64, Scope)| *scope == Scope::Own;
        self.reports.keys().filter(own).count()
    }

    /// Number of entries covered by the relays' reports, for each other zone.
    #[must_use]
    pub fn entries_by_zone(&self) -> BTreeMap<u32, usize> {
        let mut zones = BTreeMap::new();
        for (_, report) in self
            .reports
            .values()
            .filter(|(_, r)| r.scope == Scope::Zone)
        {
            let entries = usize::try_from(report.entries).unwrap_or(usize::MAX);
            let most: &mut usize = zones.entry(report.zone).or_default();
            *most = entries.max(*most);
        }
        zones
    }

    /// The known load of all other entries. `own` is this entry's own report, which is
    /// subtracted from a report that covers all entries.
    #[must_use]
    pub fn sum(&self, now: Instant, own: &LoadReport) -> LoadTotal {
        match self.most_complete(|report| report.scope == Scope::All) {
            Some(all) => {
                let mut sum = LoadTotal::default();
                sum.add(now, all);
                sum.subtract(own);
                sum
            }
            None => self.sum_received(now),
        }
    }

    /// The total load of zone `own.zone`, for the other zones.
    #[must_use]
    pub fn sum_zone(&self, now: Instant, own: &LoadReport) -> LoadReport {
        let mut sum = LoadTotal::default();
        let reports = self.reports.values();
        for received in reports.filter(|(_, r)| r.scope == Scope::Own && r.zone == own.zone) {
            sum.add(now, received);
        }
        sum.add(now, &(now, own.clone()));
        sum.into_report(own, Scope::Zone)
    }

    /// The total load of all entries, for the entries of the own zone.
    #[must_use]
    pub fn sum_all(&self, now: Instant, own: &LoadReport) -> LoadReport {
        let mut sum = self.sum_received(now);
        sum.add(now, &(now, own.clone()));
        sum.into_report(own, Scope::All)
    }

    /// The total of the received reports: the zone's report for each zone that has one,
    /// else the reports of its entries.
    fn sum_received(&self, now: Instant) -> LoadTotal {
        let mut zones: Vec<u32> = Vec::new();
        for (_, report) in self.reports.values() {
            if report.scope == Scope::Zone && !zones.contains(&report.zone) {
                zones.push(report.zone);
            }
        }
        let mut sum = LoadTotal::default();
        for zone in &zones {
            let most_complete = self.most_complete(|r| r.scope == Scope::Zone && r.zone == *zone);
            sum.add_if_some(now, most_complete);
        }
        let without_sum = |r: &LoadReport| r.scope == Scope::Own && !zones.contains(&r.zone);
        for received in self
            .reports
            .values()
            .filter(|(_, report)| without_sum(report))
        {
            sum.add(now, received);
        }
        sum
    }

    /// The matching report that covers the most entries: a relay that has just started
    /// has received few reports.
    fn most_complete(
        &self,
        matches: impl Fn(&LoadReport) -> bool,
    ) -> Option<&(Instant, LoadReport)> {
        let candidates = self.reports.values().filter(|(_, report)| matches(report));
        candidates.max_by_key(|(at, report)| (report.entries, *at))
    }
}

/// The total load of several entries.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct LoadTotal {
    /// Number of entries.
    pub entries: u32,
    /// Load of each service, by the service's number.
    pub services: BTreeMap<u32, ServiceDemand>,
    /// Calls at each server, by the server's short number.
    pub calls: BTreeMap<u16, CallCounts>,
    /// Server crashes.
    pub crashes: BTreeMap<Crash, CrashReport>,
    /// Parts of prompts that are known to be sound, with the time since each was known
    /// to be.
    pub sound_parts: BTreeMap<u64, Duration>,
    /// Sum and number of the reported times between two events of a stream at each
    /// server, by the server's short number.
    pub paces: BTreeMap<u16, (Duration, u32)>,
    /// Rates of workspaces' calls to services that reject calls.
    pub workspaces: BTreeMap<ShareGroup, GroupRates>,
}

impl LoadTotal {
    /// Adds a report that was received at a given time.
    fn add(&mut self, now: Instant, (at, report): &(Instant, LoadReport)) {
        self.entries = self.entries.saturating_add(report.entries);
        for (service, load) in &report.services {
            let existing = self.services.entry(*service).or_default();
            *existing = existing.combined(load);
        }
        for (server, calls) in &report.calls {
            let sum = self.calls.entry(*server).or_default();
            sum.open = sum.open.saturating_add(calls.open);
            sum.waiting = sum.waiting.saturating_add(calls.waiting);
        }
        let elapsed = now.saturating_duration_since(*at);
        for crash in &report.crashes {
            let aged = || CrashReport {
                age: crash.age.saturating_add(elapsed),
                ..crash.clone()
            };
            self.crashes.entry(crash.crash).or_insert_with(aged);
        }
        for (part, age) in &report.sound_parts {
            let age = age.saturating_add(elapsed);
            let least = self.sound_parts.entry(*part).or_insert(age);
            *least = age.min(*least);
        }
        self.add_paces(&report.paces);
        for (group, rates) in &report.workspaces {
            self.workspaces.entry(*group).or_default().add(rates);
        }
    }

    fn add_if_some(&mut self, now: Instant, received: Option<&(Instant, LoadReport)>) {
        if let Some(received) = received {
            self.add(now, received);
        }
    }

    /// Adds reported times between two events of a stream.
    pub fn add_paces(&mut self, paces: &[(u16, Duration)]) {
        for (server, event) in paces {
            let (sum, count) = self.paces.entry(*server).or_default();
            *sum = sum.saturating_add(*event);
            *count += 1;
        }
    }

    /// The mean of the reported times between two events of a stream, by the server's
    /// short number.
    #[must_use]
    pub fn mean_paces(&self) -> BTreeMap<u16, Duration> {
        let mean = |(server, (sum, count)): (&u16, &(Duration, u32))| (*server, *sum / *count);
        self.paces.iter().map(mean).collect()
    }

    /// Subtracts the load of one entry. Paces are no sums and stay.
    fn subtract(&mut self, own: &LoadReport) {
        self.entries = self.entries.saturating_sub(own.entries);
        for (service, load) in &own.services {
            if let Some(existing) = self.services.get_mut(service) {
                *existing = existing.without(load);
            }
        }
        for (server, calls) in &own.calls {
            if let Some(sum) = self.calls.get_mut(server) {
                sum.open = sum.open.saturating_sub(calls.open);
                sum.waiting = sum.waiting.saturating_sub(calls.waiting);
            }
        }
        for (group, rates) in &own.workspaces {
            if let Some(sum) = self.workspaces.get_mut(group) {
                sum.subtract(rates);
            }
        }
    }

    /// Converts the total to a report sent by the entry with the report `own`.
    fn into_report(self, own: &LoadReport, scope: Scope) -> LoadReport {
        // What this entry has learned is the newest it knows; the rest is cut off by
        // number, at any entry alike.
        let own_first = own.paces.iter().map(|(server, _)| *server);
        let mut paces = self.mean_paces();
        let own_first = own_first.filter_map(|server| paces.remove_entry(&server));
        let own_first: Vec<(u16, Duration)> = own_first.collect();
        let paces = own_first.into_iter().chain(paces);
        LoadReport {
            paces: paces.take(MAX_REPORTED).collect(),
            scope,
            entries: self.entries,
            services: self.services.into_iter().collect(),
            calls: self.calls.into_iter().collect(),
            crashes: self.crashes.into_values().take(MAX_CRASHES).collect(),
            sound_parts: self.sound_parts.into_iter().take(MAX_CRASHES).collect(),
            workspaces: rates::reported(self.workspaces.into_iter().collect()),
            ..own.clone()
        }
    }
}
