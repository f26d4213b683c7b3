//! Which entries there are, and whom one of them speaks with.
//!
//! Load pattern: hundreds of entries with a call or two a second each. If all
//! told all, what each sends and hears would grow with their number. Up to
//! [`ALL_MOST`] of them do. Beyond it the first entries of each availability
//! zone are its relays: the others tell only these, which tell each other the
//! sums of their zones and answer with the sums of all. See
//! docs/DECISIONS/0801-relays.md.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use crate::readers::Rank;

/// Entries up to which all tell all: what 8 kB a second carry to each of the
/// others every 4 s, in datagrams of 350 bytes.
pub const MAX_FULL_MESH: usize = 93;

/// Relays of each availability zone. The loss of one leaves a second that
/// knows as much.
pub const RELAYS_PER_ZONE: usize = 2;

/// Entries of its own zone that one which asks is told of where there are too
/// many to name: those that may read the store for it, and itself.
pub const MAX_NAMED: usize = 5;

/// How long an entry counts as there after it has answered.
const ANSWERED: Duration = Duration::from_secs(10);

/// A relay that did not answer so often in a row is passed over.
const UNANSWERED: u32 = 3;

/// How long what a relay says of the number of entries counts.
const COUNTED: Duration = Duration::from_secs(16);

/// An entry as others know it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EntryInfo {
    /// Where it hears others.
    pub addr: SocketAddr,
    /// Its availability zone, by number.
    pub zone: u32,
    /// What its link carries, in million bits a second.
    pub link_mbps: u32,
}

impl EntryInfo {
    /// Its place in the order of its zone.
    #[must_use]
    pub fn rank(&self) -> Rank {
        Rank::new(self.zone, self.addr, self.link_mbps)
    }
}

/// The entries that one of them knows of.
#[derive(Debug)]
pub struct Roster {
    own: EntryInfo,
    rank: Rank,
    /// Whether all have to tell all, however many there are.
    whole: bool,
    entries: HashMap<SocketAddr, Known>,
    /// What was last answered about the number of entries.
    told: Option<(Instant, EntryCounts)>,
}

/// Another entry.
#[derive(Debug, Clone, Copy)]
struct Known {
    seat: EntryInfo,
    rank: Rank,
    /// Until when it counts as there unless it is heard again.
    until: Instant,
    /// How often it was told since it was last heard itself.
    unanswered: u32,
    /// Since when its copies of the store's tables may not be complete; none
    /// while it has none.
    fresh: Option<Instant>,
}

impl Known {
    fn mute(&self) -> bool {
        self.unanswered >= UNANSWERED
    }
}

/// How many entries there are, as one that hears them knows.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EntryCounts {
    /// In all zones.
    pub total: usize,
    /// In the zone of the one that asks.
    pub same_zone: usize,
    /// Those that stand before it in the order by zone and address.
    pub preceding: usize,
}

/// What an entry is told of another one.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RosterEntry {
    /// The entry.
    pub info: EntryInfo,
    /// How much longer it counts as there.
    pub remaining: Duration,
    /// How old its copies of the store's tables are; none while it has none.
    pub copy_age: Option<Duration>,
}

/// Whom an entry tells what it has in progress.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Targets {
    /// All others.
    FullMesh {
        /// Those of its own zone.
        same_zone: Vec<SocketAddr>,
        /// Those of the other zones.
        other_zones: Vec<SocketAddr>,
    },
    /// The relays.
    Relays {
        /// The relays of its own zone, but itself.
        same_zone: Vec<SocketAddr>,
        /// Those of the other zones, if it is a relay itself.
        other_zones: Vec<SocketAddr>,
        /// Entries of its zone.
        members: usize,
    },
}

impl Roster {
    /// Makes the roster of an entry that knows no other one. `whole` says that
    /// all have to tell all, however many there are.
    #[must_use]
    pub fn new(own: EntryInfo, whole: bool) -> Self {
        Self {
            own,
            rank: own.rank(),
            whole,
            entries: HashMap::new(),
            told: None,
        }
    }

    /// Notes how old the copies of an entry are.
    pub fn set_copy_age(&mut self, now: Instant, addr: SocketAddr, age: Option<Duration>) {
        if let Some(known) = self.entries.get_mut(&addr) {
            let fresh = age.and_then(|age| now.checked_sub(age));
            known.fresh = known.fresh.max(fresh);
        }
    }

    /// Notes that an entry was heard itself.
    pub fn mark_heard(&mut self, addr: SocketAddr) {
        if let Some(known) = self.entries.get_mut(&addr) {
            known.unanswered = 0;
        }
    }

    /// Notes an entry that counts as there until `until` at least; returns
    /// whether it was not known.
    pub fn insert(&mut self, seat: EntryInfo, until: Instant) -> bool {
        if seat.addr == self.own.addr {
            return false;
        }
        let held = self.entries.get(&seat.addr).copied();
        let rank = match held {
            Some(known) if known.seat == seat => known.rank,
            _ => seat.rank(),
        };
        let known = Known {
            seat,
            rank,
            until: held.map_or(until, |known| known.until.max(until)),
            unanswered: held.map_or(0, |known| known.unanswered),
            fresh: held.and_then(|known| known.fresh),
        };
        self.entries.insert(seat.addr, known);
        held.is_none()
    }

    /// Notes how many entries another one knows of. The one that knows most
    /// counts, for a while.
    pub fn record_counts(&mut self, now: Instant, count: EntryCounts) {
        let fresh =
            |(at, held): &(Instant, EntryCounts)| now < *at + COUNTED && held.total > count.total;
        if !self.told.as_ref().is_some_and(fresh) {
            self.told = Some((now, count));
        }
    }

    /// Forgets entries that were not heard of for too long.
    pub fn expire(&mut self, now: Instant) {
        self.entries.retain(|_, known| now < known.until);
        let old = |(at, _): &(Instant, EntryCounts)| now >= *at + COUNTED;
        if self.told.as_ref().is_some_and(old) {
            self.told = None;
        }
    }

    /// How many entries there are, with this one.
    #[must_use]
    pub fn count(&self) -> EntryCounts {
        let before = |k: &&Known| (k.seat.zone, k.seat.addr) < (self.own.zone, self.own.addr);
        let known = EntryCounts {
            total: self.entries.len() + 1,
            same_zone: self.zone(self.own.zone).count() + 1,
            preceding: self.entries.values().filter(before).count(),
        };
        match self.told {
            Some((_, told)) if told.total > known.total => told,
            _ => known,
        }
    }

    /// Whether there are too many entries for all to tell all.
    #[must_use]
    pub fn uses_relays(&self) -> bool {
        !self.whole && self.count().total > MAX_FULL_MESH
    }

    /// Whether this entry is a relay of its zone.
    #[must_use]
    pub fn is_relay(&self) -> bool {
        let before = self.zone(self.own.zone);
        let before = before.filter(|k| k.rank < self.rank && !k.mute());
        before.count() < RELAYS_PER_ZONE
    }

    /// Whom this entry tells what it has in progress, now.
    pub fn targets(&mut self) -> Targets {
        let own = self.own.zone;
        if !self.uses_relays() {
            let (near, far) = self.entries.values().partition(|k| k.seat.zone == own);
            return Targets::FullMesh {
                same_zone: addrs(near),
                other_zones: addrs(far),
            };
        }
        let far = match self.is_relay() {
            true => {
                let zones = self.zones();
                let others = zones.keys().filter(|zone| **zone != own);
                others
                    .flat_map(|zone| self.first(*zone, RELAYS_PER_ZONE))
                    .collect()
            }
            false => Vec::new(),
        };
        let far = addrs(far);
        let near = addrs(self.first(own, RELAYS_PER_ZONE));
        for addr in &near {
            if let Some(known) = self.entries.get_mut(addr) {
                known.unanswered += 1;
            }
        }
        Targets::Relays {
            same_zone: near,
            other_zones: far,
            members: self.count().same_zone,
        }
    }

    /// The entries that `asker` is told of, this one first, whose own copies are
    /// `age` old.
    #[must_use]
    pub fn entries_for(
        &self,
        now: Instant,
        asker: &EntryInfo,
        age: Option<Duration>,
    ) -> Vec<RosterEntry> {
        let known: Vec<&Known> = match self.uses_relays() {
            false => self.entries.values().collect(),
            true => {
                let zones = self.zones();
                let zones = zones.keys().map(|zone| match *zone == asker.zone {
                    true => (*zone, MAX_NAMED),
                    false => (*zone, RELAYS_PER_ZONE),
                });
                zones.flat_map(|(zone, n)| self.first(zone, n)).collect()
            }
        };
        // Told on with no time left, one that has ended would go round for ever.
        let there = |k: &&Known| k.seat.addr != asker.addr && now < k.until;
        let others = known.into_iter().filter(there);
        let others = others.map(|k| RosterEntry {
            info: k.seat,
            remaining: k.until.saturating_duration_since(now),
            copy_age: k.fresh.map(|at| now.saturating_duration_since(at)),
        });
        let own = RosterEntry {
            info: self.own,
            remaining: ANSWERED,
            copy_age: age,
        };
        std::iter::once(own).chain(others).collect()
    }

    /// How many entries there are, as `asker` is told; `zones` are the entries
    /// that relays of other zones have summed up.
    #[must_use]
    pub fn count_for(&self, asker: &EntryInfo, zones: &BTreeMap<u32, usize>) -> EntryCounts {
        let mut counts = self.zones();
        *counts.entry(self.own.zone).or_default() += 1;
        for (zone, summed) in zones {
            let count = counts.entry(*zone).or_default();
            *count = (*count).max(*summed);
        }
        let near = counts.get(&asker.zone).copied().unwrap_or(0);
        let before: usize = counts.range(..asker.zone).map(|(_, count)| count).sum();
        let seats = self.entries.values().map(|k| &k.seat).chain([&self.own]);
        let seats = seats.filter(|s| s.zone == asker.zone && s.addr < asker.addr);
        EntryCounts {
            total: self.count().total.max(counts.values().sum()),
            same_zone: near,
            preceding: before + seats.count(),
        }
    }

    /// The entries of a zone, but this one.
    fn zone(&self, zone: u32) -> impl Iterator<Item = &Known> {
        self.entries.values().filter(move |k| k.seat.zone == zone)
    }

    /// How many other entries each zone has.
    fn zones(&self) -> BTreeMap<u32, usize> {
        let mut zones = BTreeMap::new();
        for known in self.entries.values() {
            *zones.entry(known.seat.zone).or_default() += 1;
        }
        zones
    }

    /// The first `count` entries of a zone in its order, but this one and those
    /// that do not answer.
    fn first(&self, zone: u32, count: usize) -> Vec<&Known> {
        let mut first: Vec<&Known> = self.zone(zone).filter(|k| !k.mute()).collect();
        first.sort_unstable_by_key(|k| (k.rank, k.seat.addr));
        // This entry takes up a place in the order as well.
        let before = first.iter().filter(|k| k.rank < self.rank).count();
        let own = zone == self.own.zone && before < count;
        first.truncate(count - usize::from(own));
        first
    }
}

fn addrs(known: Vec<&Known>) -> Vec<SocketAddr> {
    known.into_iter().map(|k| k.seat.addr).collect()
}
