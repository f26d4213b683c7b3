//! Decides which entries read the store's tables, and which copy them from a peer.
//!
//! Load pattern: the calls to the store grow with the number of entries, since each
//! entry needs the same tables every second. In each availability zone the entry with
//! the widest link reads them, and the others ask it for changes. All entries derive
//! the same order from the peers they know, without any coordination. A peer that does
//! not answer, or that has lost the store while another one still reads it, is skipped
//! for a while, and the next in the order replaces it. An entry whose copy has become
//! too old reads from the store itself, regardless of its peers. See
//! docs/DECISIONS/0605-zone-readers.md.

use std::cmp::Reverse;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use crate::rendezvous::{hash_name, score};

/// Minimum number of entries in a zone for sharing reads. With fewer, sharing saves
/// less than one store call a second and makes the copies older.
pub const MIN_SHARING_ENTRIES: usize = 4;

/// Copy age at which an entry stops waiting for its peers. Changes by operators must be
/// in force, and departing servers must get no more calls, within a few seconds; a
/// reader that fails silently costs this much of that time.
pub const MAX_COPY_AGE: Duration = Duration::from_millis(1800);

/// Copy age at which the next entry in the order reads as well, and the others ask it.
/// It must exceed the age that a copy reaches between two answers of the store.
pub const TAKEOVER_AGE: Duration = Duration::from_millis(1450);

/// Additional copy age before the entry after that one reads.
const TAKEOVER_STAGGER: Duration = Duration::from_millis(100);

/// Time for which a copy reported as fresh still counts as fresh: its holder keeps
/// updating it.
const FRESH_TTL: Duration = Duration::from_secs(4);

/// How long entries that have started and have no copies yet wait for their
/// peers: the next entries in the order wait for `INITIAL_WAIT_READERS` plus a
/// stagger, the others for `INITIAL_WAIT_MIN` plus up to `INITIAL_WAIT_SPREAD`.
const INITIAL_WAIT_READERS: Duration = Duration::from_millis(300);
const INITIAL_WAIT_STAGGER: Duration = Duration::from_millis(150);
const INITIAL_WAIT_MIN: Duration = Duration::from_millis(800);
const INITIAL_WAIT_SPREAD: Duration = Duration::from_millis(700);

/// Spread of the copy age limit towards shorter values, so that the entries of a zone
/// do not all read from the store at the same moment.
const AGE_LIMIT_SPREAD: Duration = Duration::from_millis(200);

/// Spread of the copy age limit towards longer values, for each entry of the zone
/// beyond [`LARGE_ZONE`], so that the first entry that reaches the store can update the
/// others.
const AGE_LIMIT_PER_ENTRY: Duration = Duration::from_millis(30);
const LARGE_ZONE: usize = 16;
const MAX_AGE_LIMIT_EXTRA: Duration = Duration::from_millis(2500);

/// Delay before an entry with a peer to ask retries a store that did not answer. In a
/// large zone the delay grows with the number of entries, so that the total retry rate
/// stays constant.
const RETRY_DELAY: Duration = Duration::from_secs(2);
const RETRY_PER_ENTRY: Duration = Duration::from_millis(250);

/// Retry delay without a peer to ask: the part for each entry of the zone, and the
/// maximum.
const ISOLATED_RETRY_PER_ENTRY: Duration = Duration::from_millis(30);
const MAX_ISOLATED_RETRY: Duration = Duration::from_secs(3);

/// First backoff for a peer that did not answer; it doubles with each failure. Each
/// request to a dead host costs its whole timeout.
const MIN_BACKOFF: Duration = Duration::from_secs(1);

/// Maximum backoff for a peer.
const MAX_BACKOFF: Duration = Duration::from_secs(8);

/// Time for which a peer that reported a copy that is too old counts as cut off from
/// the store; the next in the order is asked before it.
const STALE_TTL: Duration = Duration::from_secs(3);

/// Number of peers at the head of the order that an entry asks before it reads the
/// store itself.
const MAX_CANDIDATES: usize = 2;

/// An entry's position in the order of its zone.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Rank {
    /// Link capacity in Mbit/s. Sending a catalog of some hundred kB to a dozen peers
    /// takes seconds on a narrow link.
    link: Reverse<u32>,
    /// Tie-break among equal links.
    tie_break: Reverse<u64>,
}

impl Rank {
    /// The rank of the entry at `addr` with a link of `link_mbps` Mbit/s.
    #[must_use]
    pub fn new(zone: u32, addr: SocketAddr, link_mbps: u32) -> Self {
        let tie_break = score(u64::from(zone), hash_name(&addr.to_string()));
        Self {
            link: Reverse(link_mbps),
            tie_break: Reverse(tie_break),
        }
    }
}

/// The entries of one availability zone, as known to one of them.
#[derive(Debug)]
pub struct ZoneReaders {
    own: Rank,
    peers: HashMap<SocketAddr, Peer>,
    /// Number of entries in the zone, as reported by others.
    zone_size: usize,
    /// Number of entries that precede this one; kept while no peer is known.
    preceding: usize,
}

#[derive(Debug)]
struct Peer {
    rank: Rank,
    /// The peer is dropped at this time unless it is heard again.
    expires_at: Instant,
    /// Consecutive requests that the peer did not answer.
    failures: u32,
    /// The peer is skipped until this time.
    skip_until: Option<Instant>,
    /// When the peer last reported the age of its copies, and that age.
    reported_age: Option<(Instant, Duration)>,
}

impl Peer {
    /// Whether the copies that it recently reported were too old to use.
    fn is_stale(&self, now: Instant) -> bool {
        let recent = |at: Instant| now < at + STALE_TTL;
        self.reported_age
            .is_some_and(|(at, age)| age > TAKEOVER_AGE && recent(at))
    }

    /// Whether the peer may be asked now.
    fn is_available(&self, now: Instant) -> bool {
        self.skip_until.is_none_or(|skip_until| skip_until <= now)
    }

    /// Whether its copies are assumed to be fresh now.
    fn is_fresh(&self, now: Instant) -> bool {
        self.reported_age
            .is_some_and(|(at, age)| age <= TAKEOVER_AGE && now < at + FRESH_TTL)
    }
}

impl ZoneReaders {
    /// Creates the view of an entry that knows no peers yet.
    #[must_use]
    pub fn new(own: Rank) -> Self {
        Self {
            own,
            peers: HashMap::new(),
            zone_size: 0,
            preceding: 0,
        }
    }

    /// Sets the number of entries in the zone.
    pub fn set_zone_size(&mut self, zone_size: usize) {
        self.zone_size = zone_size;
    }

    /// Records a peer, which expires at `expires_at` unless it is heard again.
    pub fn observe(&mut self, addr: SocketAddr, rank: Rank, expires_at: Instant) {
        let peer = self.peers.entry(addr).or_insert(Peer {
            rank,
            expires_at,
            failures: 0,
            skip_until: None,
            reported_age: None,
        });
        peer.rank = rank;
        peer.expires_at = peer.expires_at.max(expires_at);
    }

    /// Records the age of a peer's copies, as reported by the peer.
    pub fn set_copy_age(&mut self, now: Instant, addr: SocketAddr, age: Duration) {
        if let Some(peer) = self.peers.get_mut(&addr) {
            peer.reported_age = Some((now, age));
        }
    }

    /// The peer to ask for updates; `None` when this entry has to read from the store.
    ///
    /// A peer with old copies has lost the store, and the next in the order reads by
    /// then. If both have lost it, the store may be unavailable to all, and asking one
    /// peer after the other gains nothing.
    pub fn preferred_peer(&mut self, now: Instant) -> Option<SocketAddr> {
        self.peers.retain(|_, peer| now < peer.expires_at);
        if !self.peers.is_empty() {
            self.preceding = self.count_preceding();
        }
        if !self.shares_reads() {
            return None;
        }
        let preceding = self.peers.iter().filter(|(_, p)| p.rank < self.own);
        let mut preceding: Vec<(&SocketAddr, &Peer)> = preceding.collect();
        preceding.sort_by_key(|(addr, p)| (p.rank, **addr));
        let preceding = preceding.into_iter().take(MAX_CANDIDATES);
        let available: Vec<_> = preceding.filter(|(_, p)| p.is_available(now)).collect();
        let fresh = available.iter().find(|(_, p)| !p.is_stale(now));
        fresh.or(available.first()).map(|(addr, _)| **addr)
    }

    /// The peer to ask when this entry's own copies are `age` old (`None`: it has no
    /// copies). If the preceding peers have also lost the store, or have also just
    /// started, any peer with fresh copies will do.
    pub fn update_source(&mut self, now: Instant, age: Option<Duration>) -> Option<SocketAddr> {
        let asked = self.preferred_peer(now);
        let is_fresh = age.is_some_and(|age| age <= TAKEOVER_AGE);
        if is_fresh && (asked.is_some() || self.preceding == 0) {
            return asked;
        }
        let fresh = |addr| self.peers.get(&addr).is_some_and(|p| p.is_fresh(now));
        if asked.is_some_and(fresh) {
            return asked;
        }
        let first = self
            .fresh_peers(now)
            .min_by_key(|(addr, p)| (p.rank, **addr));
        first.map(|(addr, _)| *addr).or(asked)
    }

    /// Whether a peer with fresh copies can be asked by an entry that has no copies
    /// (`any`), or by one that other entries precede.
    #[must_use]
    pub fn has_fresh_peer(&self, now: Instant, any: bool) -> bool {
        (any || self.preceding > 0) && self.fresh_peers(now).next().is_some()
    }

    /// Peers that answer and have fresh copies.
    fn fresh_peers(&self, now: Instant) -> impl Iterator<Item = (&SocketAddr, &Peer)> {
        let peers = self.peers.iter();
        peers.filter(move |(_, p)| p.is_fresh(now) && p.is_available(now))
    }

    /// Records the answer of a peer: the age of its copies, or `None` when its copies
    /// are incomplete.
    pub fn record_answer(&mut self, now: Instant, addr: SocketAddr, age: Option<Duration>) {
        let Some(age) = age else {
            return self.record_failure(now, addr);
        };
        if let Some(peer) = self.peers.get_mut(&addr) {
            peer.failures = 0;
            peer.reported_age = Some((now, age));
        }
    }

    /// Records that a peer did not answer.
    pub fn record_failure(&mut self, now: Instant, addr: SocketAddr) {
        if let Some(peer) = self.peers.get_mut(&addr) {
            let backoff = MIN_BACKOFF * 2u32.pow(peer.failures.min(8));
            peer.skip_until = Some(now + backoff.min(MAX_BACKOFF));
            peer.failures += 1;
        }
    }

    /// The copy age at which this entry reads from the store itself although it has a
    /// peer to ask.
    #[must_use]
    pub fn copy_age_limit(&self) -> Duration {
        let preceding = self.count_preceding();
        if preceding <= MAX_CANDIDATES {
            return TAKEOVER_AGE
                + TAKEOVER_STAGGER * u32::try_from(preceding.saturating_sub(1)).unwrap_or(0);
        }
        let spread_share = self.spread_share();
        let excess = u32::try_from(self.zone_size.saturating_sub(LARGE_ZONE)).unwrap_or(u32::MAX);
        let extra = AGE_LIMIT_PER_ENTRY
            .saturating_mul(excess)
            .min(MAX_AGE_LIMIT_EXTRA);
        MAX_COPY_AGE - AGE_LIMIT_SPREAD.mul_f64(spread_share) + extra.mul_f64(1.0 - spread_share)
    }

    /// How long an entry that has started waits for copies from its peers before it
    /// reads the store.
    #[must_use]
    pub fn initial_copy_wait(&self) -> Duration {
        let preceding = self.count_preceding();
        if preceding <= MAX_CANDIDATES {
            let extra = u32::try_from(preceding.saturating_sub(1)).unwrap_or(0);
            return INITIAL_WAIT_READERS + INITIAL_WAIT_STAGGER * extra;
        }
        INITIAL_WAIT_MIN + INITIAL_WAIT_SPREAD.mul_f64(self.spread_share())
    }

    /// This entry's fraction, from 0 to 1, of a delay spread over the zone's entries.
    fn spread_share(&self) -> f64 {
        let Reverse(tie_break) = self.own.tie_break;
        (tie_break % 1024) as f64 / 1024.0
    }

    /// Delay before an entry that is not first in the order retries a store that did
    /// not answer; `None` for the first entry.
    pub fn store_retry_delay(&mut self, now: Instant) -> Option<Duration> {
        let asked = self.preferred_peer(now).is_some();
        if self.preceding == 0 {
            return None;
        }
        let zone_size = u32::try_from(self.zone_size.max(self.peers.len())).unwrap_or(u32::MAX);
        // An entry without a peer to ask has no other source.
        Some(match (asked, self.preceding <= MAX_CANDIDATES) {
            (false, _) => ISOLATED_RETRY_PER_ENTRY
                .saturating_mul(zone_size)
                .min(MAX_ISOLATED_RETRY),
            (true, true) => RETRY_DELAY,
            (true, false) => RETRY_PER_ENTRY.saturating_mul(zone_size).max(RETRY_DELAY),
        })
    }

    /// The number of peers that precede this entry in the order.
    fn count_preceding(&self) -> usize {
        let peers = self.peers.values();
        peers.filter(|p| p.rank < self.own).count()
    }

    /// Whether the entries of the zone share reads.
    #[must_use]
    pub fn shares_reads(&self) -> bool {
        self.peers.len() + 1 >= MIN_SHARING_ENTRIES
    }
}
