//! Keeps the known entries and decides to which of them an entry reports its load.
//!
//! Load pattern: hundreds of entries with one or two calls a second each. If every
//! entry reported to every other, the traffic of each would grow with their number. Up
//! to [`MAX_FULL_MESH`] entries do so. With more, the first entries of each
//! availability zone act as relays: the others report only to these relays, which
//! exchange the sums of their zones and answer with the sum over all zones. See
//! docs/DECISIONS/0801-relays.md.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use crate::readers::Rank;

/// Maximum number of entries that report to each other directly: a budget of 8 kB/s
/// carries one datagram of 350 bytes to each of the others every 4 s.
pub const MAX_FULL_MESH: usize = 93;

/// Relays of each availability zone. If one fails, the second has the same data.
pub const RELAYS_PER_ZONE: usize = 2;

/// Number of entries of its own zone that an asking entry is told of when there are too
/// many to list: the entries that may read the store for it, and itself.
pub const MAX_NAMED: usize = 5;

/// Time for which an entry counts as present after it has answered.
const ANSWER_TTL: Duration = Duration::from_secs(10);

/// Consecutive unanswered reports after which a relay is skipped until it answers.
const MAX_UNANSWERED: u32 = 3;

/// Time for which a relay's entry counts stay valid.
const COUNT_TTL: Duration = Duration::from_secs(16);

/// Address, zone and link of an entry.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EntryInfo {
    /// Address at which the entry receives messages.
    pub addr: SocketAddr,
    /// Number of its availability zone.
    pub zone: u32,
    /// Link capacity in Mbit/s.
    pub link_mbps: u32,
}

impl EntryInfo {
    /// Its rank in the order of its zone.
    #[must_use]
    pub fn rank(&self) -> Rank {
        Rank::new(self.zone, self.addr, self.link_mbps)
    }
}

/// The entries known to one entry.
#[derive(Debug)]
pub struct Roster {
    own: EntryInfo,
    rank: Rank,
    /// Whether all entries report to all others, regardless of their number.
    full_mesh: bool,
    /// In a fixed order, so that equal rosters act alike.
    entries: BTreeMap<SocketAddr, Member>,
    /// The latest entry counts received from another entry.
    reported: Option<(Instant, EntryCounts)>,
}

/// Another entry.
#[derive(Debug, Clone, Copy)]
struct Member {
    info: EntryInfo,
    rank: Rank,
    /// The entry is dropped at this time unless it is heard again.
    expires_at: Instant,
    /// Reports sent to it since it was last heard.
    unanswered: u32,
    /// Latest time at which its copies of the store's tables were known to be complete;
    /// `None` while it has none.
    fresh_at: Option<Instant>,
}

impl Member {
    fn is_unresponsive(&self) -> bool {
        self.unanswered >= MAX_UNANSWERED
    }
}

/// Numbers of entries, as known to one of them.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EntryCounts {
    /// In all zones.
    pub total: usize,
    /// In the zone of the asking entry.
    pub same_zone: usize,
    /// Entries that precede the asking one in the order by zone and address.
    pub preceding: usize,
}

/// An entry as listed for another one.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RosterEntry {
    /// Address, zone and link of the entry.
    pub info: EntryInfo,
    /// Remaining time for which it counts as present.
    pub remaining: Duration,
    /// Age of its copies of the store's tables; `None` while it has none.
    pub copy_age: Option<Duration>,
}

/// The entries to which an entry reports its load.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Targets {
    /// All other entries.
    FullMesh {
        /// Entries of its own zone.
        same_zone: Vec<SocketAddr>,
        /// Entries of the other zones.
        other_zones: Vec<SocketAddr>,
    },
    /// The relays only.
    Relays {
        /// The relays of its own zone, without itself.
        same_zone: Vec<SocketAddr>,
        /// The relays of the other zones, if it is a relay itself.
        other_zones: Vec<SocketAddr>,
        /// Number of entries in its zone.
        members: usize,
    },
}

impl Roster {
    /// Creates the roster of an entry that knows no other one. With `full_mesh`, all
    /// entries report to all others, regardless of their number.
    #[must_use]
    pub fn new(own: EntryInfo, full_mesh: bool) -> Self {
        Self {
            own,
            rank: own.rank(),
            full_mesh,
            entries: BTreeMap::new(),
            reported: None,
        }
    }

    /// Records the age of an entry's copies.
    pub fn set_copy_age(&mut self, now: Instant, addr: SocketAddr, copy_age: Option<Duration>) {
        if let Some(member) = self.entries.get_mut(&addr) {
            let fresh_at = copy_age.and_then(|age| now.checked_sub(age));
            member.fresh_at = member.fresh_at.max(fresh_at);
        }
    }

    /// Records that a message came from the entry itself.
    pub fn mark_heard(&mut self, addr: SocketAddr) {
        if let Some(member) = self.entries.get_mut(&addr) {
            member.unanswered = 0;
        }
    }

    /// Adds or refreshes an entry that counts as present at least until `expires_at`;
    /// returns whether it is new.
    pub fn insert(&mut self, info: EntryInfo, expires_at: Instant) -> bool {
        if info.addr == self.own.addr {
            return false;
        }
        let existing = self.entries.get(&info.addr).copied();
        let rank = match existing {
            Some(member) if member.info == info => member.rank,
            _ => info.rank(),
        };
        let member = Member {
            info,
            rank,
            expires_at: existing.map_or(expires_at, |member| member.expires_at.max(expires_at)),
            unanswered: existing.map_or(0, |member| member.unanswered),
            fresh_at: existing.and_then(|member| member.fresh_at),
        };
        self.entries.insert(info.addr, member);
        existing.is_none()
    }

    /// Records the entry counts of another entry. The largest count is kept until it
    /// expires.
    pub fn record_counts(&mut self, now: Instant, count: EntryCounts) {
        let fresh = |(at, existing): &(Instant, EntryCounts)| {
            now < *at + COUNT_TTL && existing.total > count.total
        };
        if !self.reported.as_ref().is_some_and(fresh) {
            self.reported = Some((now, count));
        }
    }

    /// Drops entries and counts that have expired.
    pub fn expire(&mut self, now: Instant) {
        self.entries.retain(|_, member| now < member.expires_at);
        let old = |(at, _): &(Instant, EntryCounts)| now >= *at + COUNT_TTL;
        if self.reported.as_ref().is_some_and(old) {
            self.reported = None;
        }
    }

    /// The number of entries, including this one.
    #[must_use]
    pub fn count(&self) -> EntryCounts {
        let preceding = |m: &&Member| (m.info.zone, m.info.addr) < (self.own.zone, self.own.addr);
        let local = EntryCounts {
            total: self.entries.len() + 1,
            same_zone: self.members_of(self.own.zone).count() + 1,
            preceding: self.entries.values().filter(preceding).count(),
        };
        match self.reported {
            Some((_, reported)) if reported.total > local.total => reported,
            _ => local,
        }
    }

    /// Whether there are too many entries for direct reports, so that relays are used.
    #[must_use]
    pub fn uses_relays(&self) -> bool {
        !self.full_mesh && self.count().total > MAX_FULL_MESH
    }

    /// Whether this entry is a relay of its zone.
    #[must_use]
    pub fn is_relay(&self) -> bool {
        let preceding = self.members_of(self.own.zone);
        let preceding = preceding.filter(|m| m.rank < self.rank && !m.is_unresponsive());
        preceding.count() < RELAYS_PER_ZONE
    }

    /// The entries to which this one reports its load now.
    pub fn targets(&mut self) -> Targets {
        let own = self.own.zone;
        if !self.uses_relays() {
            let (same_zone, other_zones) = self.entries.values().partition(|m| m.info.zone == own);
            return Targets::FullMesh {
                same_zone: addresses(same_zone),
                other_zones: addresses(other_zones),
            };
        }
        let other_zones = match self.is_relay() {
            true => {
                let zones = self.zone_counts();
                let others = zones.keys().filter(|zone| **zone != own);
                others
                    .flat_map(|zone| self.highest_ranked(*zone, RELAYS_PER_ZONE))
                    .collect()
            }
            false => Vec::new(),
        };
        let other_zones = addresses(other_zones);
        let mut same_zone = self.highest_ranked(own, RELAYS_PER_ZONE);
        same_zone.extend(self.skipped_relays());
        let same_zone = addresses(same_zone);
        for addr in &same_zone {
            if let Some(member) = self.entries.get_mut(addr) {
                member.unanswered = member.unanswered.saturating_add(1);
            }
        }
        Targets::Relays {
            same_zone,
            other_zones,
            members: self.count().same_zone,
        }
    }

    /// The entries to list for `asker`, beginning with this one, whose own copies have
    /// the age `copy_age`.
    #[must_use]
    pub fn entries_for(
        &self,
        now: Instant,
        asker: &EntryInfo,
        copy_age: Option<Duration>,
    ) -> Vec<RosterEntry> {
        let members: Vec<&Member> = match self.uses_relays() {
            false => self.entries.values().collect(),
            true => {
                let zones = self.zone_counts();
                let zones = zones.keys().map(|zone| match *zone == asker.zone {
                    true => (*zone, MAX_NAMED),
                    false => (*zone, RELAYS_PER_ZONE),
                });
                zones
                    .flat_map(|(zone, n)| self.highest_ranked(zone, n))
                    .collect()
            }
        };
        // An expired entry is left out: entries would otherwise keep passing it on to
        // each other forever.
        let is_present = |m: &&Member| m.info.addr != asker.addr && now < m.expires_at;
        let others = members.into_iter().filter(is_present);
        let others = others.map(|m| RosterEntry {
            info: m.info,
            remaining: m.expires_at.saturating_duration_since(now),
            copy_age: m.fresh_at.map(|at| now.saturating_duration_since(at)),
        });
        let own = RosterEntry {
            info: self.own,
            remaining: ANSWER_TTL,
            copy_age,
        };
        std::iter::once(own).chain(others).collect()
    }

    /// The entry counts to send to `asker`; `zones` holds the numbers of entries that
    /// relays of other zones have reported.
    #[must_use]
    pub fn count_for(&self, asker: &EntryInfo, zones: &BTreeMap<u32, usize>) -> EntryCounts {
        let mut counts = self.zone_counts();
        *counts.entry(self.own.zone).or_default() += 1;
        for (zone, summed) in zones {
            let count = counts.entry(*zone).or_default();
            *count = (*count).max(*summed);
        }
        let same_zone = counts.get(&asker.zone).copied().unwrap_or(0);
        let preceding: usize = counts.range(..asker.zone).map(|(_, count)| count).sum();
        let infos = self.entries.values().map(|m| &m.info).chain([&self.own]);
        let infos = infos.filter(|s| s.zone == asker.zone && s.addr < asker.addr);
        EntryCounts {
            total: self.count().total.max(counts.values().sum()),
            same_zone,
            preceding: preceding + infos.count(),
        }
    }

    /// The entries, with this one, that the entries of the own zone know alike: all, or
    /// the first of the zone if there are too many.
    #[must_use]
    pub fn common_members(&self) -> Vec<SocketAddr> {
        if !self.uses_relays() {
            let all = self.entries.keys().copied();
            return all.chain([self.own.addr]).collect();
        }
        let members = self.members_of(self.own.zone);
        let mut members: Vec<(Rank, SocketAddr)> = members
            .map(|m| (m.rank, m.info.addr))
            .chain([(self.rank, self.own.addr)])
            .collect();
        members.sort_unstable();
        members.truncate(MAX_NAMED);
        members.into_iter().map(|(_, addr)| addr).collect()
    }

    /// The other entries of a zone.
    fn members_of(&self, zone: u32) -> impl Iterator<Item = &Member> {
        self.entries.values().filter(move |m| m.info.zone == zone)
    }

    /// The number of other entries in each zone.
    fn zone_counts(&self) -> BTreeMap<u32, usize> {
        let mut zones = BTreeMap::new();
        for member in self.entries.values() {
            *zones.entry(member.info.zone).or_default() += 1;
        }
        zones
    }

    /// The entries that precede the relays of the own zone and are skipped because they
    /// do not answer. They still get reports until they expire: messages may have been
    /// lost, and an entry that is not asked cannot answer.
    fn skipped_relays(&self) -> Vec<&Member> {
        let mut first: Vec<&Member> = self.members_of(self.own.zone).collect();
        first.sort_unstable_by_key(|m| (m.rank, m.info.addr));
        let mut relays = 0;
        let mut skipped = Vec::new();
        for member in first {
            if relays == RELAYS_PER_ZONE || skipped.len() == RELAYS_PER_ZONE {
                break;
            }
            if member.is_unresponsive() {
                skipped.push(member);
            } else {
                relays += 1;
            }
        }
        skipped
    }

    /// The first `count` entries of a zone in its order, without this one and those
    /// that do not answer.
    fn highest_ranked(&self, zone: u32, count: usize) -> Vec<&Member> {
        let mut first: Vec<&Member> = self
            .members_of(zone)
            .filter(|m| !m.is_unresponsive())
            .collect();
        first.sort_unstable_by_key(|m| (m.rank, m.info.addr));
        // This entry has a rank in the order as well.
        let preceding = first.iter().filter(|m| m.rank < self.rank).count();
        let own = zone == self.own.zone && preceding < count;
        first.truncate(count - usize::from(own));
        first
    }
}

fn addresses(members: Vec<&Member>) -> Vec<SocketAddr> {
    members.into_iter().map(|m| m.info.addr).collect()
}
