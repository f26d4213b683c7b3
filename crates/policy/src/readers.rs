//! Which entries read the store's tables, and which observe of them from a
//! neighbour.
//!
//! Load pattern: calls to the store grow with the number of entries, since
//! each reads the same tables every second. In each availability zone the
//! entry with the widest link reads, and the others ask it what changed. All
//! choose it by the same order from whom they hear, without any exchange. One
//! that does not answer, or has lost the store while another still reads it,
//! is passed over for a while, so that the next in the order stands in. An
//! entry whose copy has grown too old reads by itself, whatever the neighbours
//! say. See docs/DECISIONS/0605-zone-readers.md.

use std::cmp::Reverse;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use crate::rendezvous::{hash_name, score};

/// Entries in a zone from which on they read for each other. Below, it saves
/// less than a call a second, and costs what is known some freshness.
pub const MIN_SHARING_ENTRIES: usize = 4;

/// The age at which an entry does not wait for its neighbours any more. What
/// operators change has to be in force, and servers that leave have to be left
/// alone, within a few seconds; a reader that died silently costs this much.
pub const MAX_COPY_AGE: Duration = Duration::from_millis(1800);

/// The age at which the next in the order reads as well, and the others ask it.
/// It has to be above what a copy comes to between two answers of the store.
pub const TAKEOVER_AGE: Duration = Duration::from_millis(1450);

/// How much later the one after that reads.
const TURN_EACH: Duration = Duration::from_millis(100);

/// How long copies count as fresh that were fresh when they were told of: whoever
/// has them brings them up to date meanwhile.
const KNOWN: Duration = Duration::from_secs(4);

/// How long entries that have started and have no copies yet wait for their
/// neighbours: those that come next in the order, and the others at least and
/// at most.
const FIRST_TURN: Duration = Duration::from_millis(300);
const FIRST_EACH: Duration = Duration::from_millis(150);
const FIRST: Duration = Duration::from_millis(800);
const FIRST_SPREAD: Duration = Duration::from_millis(700);

/// How much sooner some of the entries lose patience, so that those of a zone
/// do not all turn to the store in the same moment.
const SPREAD: Duration = Duration::from_millis(200);

/// How much later some of them lose it for each entry of the zone beyond
/// [`CROWD`], so that the first who reaches the store can tell the others.
const SPREAD_EACH: Duration = Duration::from_millis(30);
const CROWD: usize = 16;
const SPREAD_MOST: Duration = Duration::from_millis(2500);

/// How long an entry whose neighbours are asked waits before it tries a store
/// again that did not answer; for each entry of a large zone a part of it, so
/// that all of them together try as often, however many they are.
const ASIDE: Duration = Duration::from_secs(2);
const ASIDE_EACH: Duration = Duration::from_millis(250);

/// The same where it has no neighbour to ask, for each entry of the zone and at
/// the most.
const ALONE_EACH: Duration = Duration::from_millis(30);
const ALONE_MOST: Duration = Duration::from_secs(3);

/// How long a neighbour that did not answer is passed over; it doubles each
/// time. A dead host costs each question its whole wait.
const REST_FIRST: Duration = Duration::from_secs(1);

/// The longest time for which a neighbour is passed over.
const REST_MOST: Duration = Duration::from_secs(8);

/// How long a neighbour counts as cut off from the store after it told what is
/// too old, and the next in the order is asked before it.
const REST_STALE: Duration = Duration::from_secs(3);

/// Neighbours that are asked before an entry reads by itself.
const ASKED: usize = 2;

/// Where an entry stands in the order of its zone.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Rank {
    /// What its link carries, in million bits a second. Handing a catalog of
    /// some hundred kB to a dozen neighbours takes a thin link seconds.
    link: Reverse<u32>,
    /// Decides among equal links.
    draw: Reverse<u64>,
}

impl Rank {
    /// The rank of the entry at `addr` whose link carries `link_mbps`.
    #[must_use]
    pub fn new(zone: u32, addr: SocketAddr, link_mbps: u32) -> Self {
        let draw = score(u64::from(zone), hash_name(&addr.to_string()));
        Self {
            link: Reverse(link_mbps),
            draw: Reverse(draw),
        }
    }
}

/// The entries of one availability zone, as one of them sees them.
#[derive(Debug)]
pub struct ZoneReaders {
    own: Rank,
    peers: HashMap<SocketAddr, Peer>,
    /// How many entries the zone has, as far as others say.
    size: usize,
    /// How many of them were before this one when any was heard last.
    place: usize,
}

#[derive(Debug)]
struct Peer {
    rank: Rank,
    /// Until when it counts as there unless it is heard again.
    until: Instant,
    /// Questions in a row that it did not answer.
    failures: u32,
    /// Passed over until then.
    rest: Option<Instant>,
    /// When it last told how old its copies were, and how old.
    told: Option<(Instant, Duration)>,
}

impl Peer {
    /// Whether what it told of late was too old to go on with.
    fn stale(&self, now: Instant) -> bool {
        let late = |at: Instant| now < at + REST_STALE;
        self.told
            .is_some_and(|(at, age)| age > TAKEOVER_AGE && late(at))
    }

    /// Whether it is not passed over.
    fn up(&self, now: Instant) -> bool {
        self.rest.is_none_or(|until| until <= now)
    }

    /// Whether its copies are known to be fresh by now.
    fn fresh(&self, now: Instant) -> bool {
        self.told
            .is_some_and(|(at, age)| age <= TAKEOVER_AGE && now < at + KNOWN)
    }
}

impl ZoneReaders {
    /// Makes the view of an entry that has heard nobody yet.
    #[must_use]
    pub fn new(own: Rank) -> Self {
        Self {
            own,
            peers: HashMap::new(),
            size: 0,
            place: 0,
        }
    }

    /// Notes how many entries the zone has.
    pub fn set_zone_size(&mut self, size: usize) {
        self.size = size;
    }

    /// Notes that a neighbour was heard, which will be heard again before
    /// `until`.
    pub fn observe(&mut self, addr: SocketAddr, rank: Rank, until: Instant) {
        let peer = self.peers.entry(addr).or_insert(Peer {
            rank,
            until,
            failures: 0,
            rest: None,
            told: None,
        });
        peer.rank = rank;
        peer.until = peer.until.max(until);
    }

    /// Notes how old the copies of a neighbour are, as it says itself.
    pub fn set_copy_age(&mut self, now: Instant, addr: SocketAddr, age: Duration) {
        if let Some(peer) = self.peers.get_mut(&addr) {
            peer.told = Some((now, age));
        }
    }

    /// The neighbour to ask; none when this entry has to read by itself.
    ///
    /// One whose copies are old has lost the store, and the next in the order
    /// reads by then. If both have, the store may be away for all, and nothing
    /// is gained by asking one after the other.
    pub fn preferred_peer(&mut self, now: Instant) -> Option<SocketAddr> {
        self.peers.retain(|_, peer| now < peer.until);
        if !self.peers.is_empty() {
            self.place = self.before();
        }
        if !self.shares_reads() {
            return None;
        }
        let before = self.peers.iter().filter(|(_, p)| p.rank < self.own);
        let mut before: Vec<(&SocketAddr, &Peer)> = before.collect();
        before.sort_by_key(|(addr, p)| (p.rank, **addr));
        let before = before.into_iter().take(ASKED);
        let up: Vec<_> = before.filter(|(_, p)| p.up(now)).collect();
        let fresh = up.iter().find(|(_, p)| !p.stale(now));
        fresh.or(up.first()).map(|(addr, _)| **addr)
    }

    /// The neighbour to ask by an entry whose own copies are `age` old; none
    /// when it has none. Where those before it have lost the store as it has
    /// itself, or have just started as it has, any other one that has fresh copies
    /// will do.
    pub fn update_source(&mut self, now: Instant, age: Option<Duration>) -> Option<SocketAddr> {
        let asked = self.preferred_peer(now);
        let young = age.is_some_and(|age| age <= TAKEOVER_AGE);
        if young && (asked.is_some() || self.place == 0) {
            return asked;
        }
        let fresh = |addr| self.peers.get(&addr).is_some_and(|p| p.fresh(now));
        if asked.is_some_and(fresh) {
            return asked;
        }
        let first = self.fresh(now).min_by_key(|(addr, p)| (p.rank, **addr));
        first.map(|(addr, _)| *addr).or(asked)
    }

    /// Whether there is a neighbour to ask for an entry that has no copies, or
    /// whose turn it is not to read.
    #[must_use]
    pub fn has_fresh_peer(&self, now: Instant, any: bool) -> bool {
        (any || self.place > 0) && self.fresh(now).next().is_some()
    }

    /// Neighbours that answer and have fresh copies.
    fn fresh(&self, now: Instant) -> impl Iterator<Item = (&SocketAddr, &Peer)> {
        let peers = self.peers.iter();
        peers.filter(move |(_, p)| p.fresh(now) && p.up(now))
    }

    /// Notes what a neighbour has answered: how old its copies are, or none
    /// when it has not all of them.
    pub fn record_answer(&mut self, now: Instant, addr: SocketAddr, age: Option<Duration>) {
        let Some(age) = age else {
            return self.record_failure(now, addr);
        };
        if let Some(peer) = self.peers.get_mut(&addr) {
            peer.failures = 0;
            peer.told = Some((now, age));
        }
    }

    /// Notes that a neighbour did not answer.
    pub fn record_failure(&mut self, now: Instant, addr: SocketAddr) {
        if let Some(peer) = self.peers.get_mut(&addr) {
            let rest = REST_FIRST * 2u32.pow(peer.failures.min(8));
            peer.rest = Some(now + rest.min(REST_MOST));
            peer.failures += 1;
        }
    }

    /// How old a copy may become before this entry reads by itself, though
    /// it has a neighbour to ask.
    #[must_use]
    pub fn copy_age_limit(&self) -> Duration {
        let before = self.before();
        if before <= ASKED {
            return TAKEOVER_AGE + TURN_EACH * u32::try_from(before.saturating_sub(1)).unwrap_or(0);
        }
        let share = self.share();
        let crowd = u32::try_from(self.size.saturating_sub(CROWD)).unwrap_or(u32::MAX);
        let later = SPREAD_EACH.saturating_mul(crowd).min(SPREAD_MOST);
        MAX_COPY_AGE - SPREAD.mul_f64(share) + later.mul_f64(1.0 - share)
    }

    /// How long an entry that has started waits for its neighbours' copies before
    /// it reads by itself.
    #[must_use]
    pub fn initial_copy_wait(&self) -> Duration {
        let before = self.before();
        if before <= ASKED {
            let later = u32::try_from(before.saturating_sub(1)).unwrap_or(0);
            return FIRST_TURN + FIRST_EACH * later;
        }
        FIRST + FIRST_SPREAD.mul_f64(self.share())
    }

    /// This entry's part of a span over which those of a zone are spread.
    fn share(&self) -> f64 {
        let Reverse(draw) = self.own.draw;
        (draw % 1024) as f64 / 1024.0
    }

    /// How long an entry whose turn it is not to read waits before it tries a
    /// store again that did not answer; none when it is its turn.
    pub fn store_retry_delay(&mut self, now: Instant) -> Option<Duration> {
        let asked = self.preferred_peer(now).is_some();
        if self.place == 0 {
            return None;
        }
        let size = u32::try_from(self.size.max(self.peers.len())).unwrap_or(u32::MAX);
        // One that has no neighbour to ask has nobody else to learn from.
        Some(match (asked, self.place <= ASKED) {
            (false, _) => ALONE_EACH.saturating_mul(size).min(ALONE_MOST),
            (true, true) => ASIDE,
            (true, false) => ASIDE_EACH.saturating_mul(size).max(ASIDE),
        })
    }

    /// How many neighbours are before this entry in the order.
    fn before(&self) -> usize {
        let peers = self.peers.values();
        peers.filter(|p| p.rank < self.own).count()
    }

    /// Whether the entries of the zone read for each other.
    #[must_use]
    pub fn shares_reads(&self) -> bool {
        self.peers.len() + 1 >= MIN_SHARING_ENTRIES
    }
}
