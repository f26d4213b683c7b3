//! Which entries read the store's tables, and which hear of them from a
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

use crate::rendezvous::{number, weight};

/// Entries in a zone from which on they read for each other. Below, it saves
/// less than a call a second, and costs what is known some freshness.
pub const SHARED_FROM: usize = 4;

/// The age at which an entry does not wait for its neighbours any more. What
/// operators change has to be in force, and servers that leave have to be left
/// alone, within a few seconds; a reader that died silently costs this much.
pub const OLDEST: Duration = Duration::from_millis(1800);

/// How much sooner some of the entries lose patience, so that those of a zone
/// do not all turn to the store in the same moment.
const SPREAD: Duration = Duration::from_millis(200);

/// How long a neighbour that did not answer is passed over; it doubles each
/// time. A dead host costs each question its whole wait.
const REST_FIRST: Duration = Duration::from_secs(1);

/// The longest time for which a neighbour is passed over.
const REST_MOST: Duration = Duration::from_secs(8);

/// How long a neighbour is passed over that tells what is too old while the
/// store answers others: it is cut off from the store and says so itself by
/// its age when it is back.
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
        let draw = weight(u64::from(zone), number(&addr.to_string()));
        Self {
            link: Reverse(link_mbps),
            draw: Reverse(draw),
        }
    }
}

/// The entries of one availability zone, as one of them sees them.
#[derive(Debug)]
pub struct Readers {
    own: Rank,
    peers: HashMap<SocketAddr, Peer>,
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
    /// Whether what it told last was too old.
    stale: bool,
}

impl Readers {
    /// Makes the view of an entry that has heard nobody yet.
    #[must_use]
    pub fn new(own: Rank) -> Self {
        Self {
            own,
            peers: HashMap::new(),
        }
    }

    /// Notes that a neighbour was heard, which will be heard again before
    /// `until`.
    pub fn hear(&mut self, addr: SocketAddr, rank: Rank, until: Instant) {
        let peer = self.peers.entry(addr).or_insert(Peer {
            rank,
            until,
            failures: 0,
            rest: None,
            stale: false,
        });
        peer.rank = rank;
        peer.until = peer.until.max(until);
    }

    /// The neighbour to ask; none when this entry has to read by itself.
    pub fn ask(&mut self, now: Instant) -> Option<SocketAddr> {
        self.peers.retain(|_, peer| now < peer.until);
        if !self.shared() {
            return None;
        }
        let before = self.peers.iter().filter(|(_, p)| p.rank < self.own);
        let mut before: Vec<(&SocketAddr, &Peer)> = before.collect();
        before.sort_by_key(|(addr, p)| (p.rank, **addr));
        let up = |p: &Peer| p.rest.is_none_or(|until| until <= now);
        let first = before.into_iter().take(ASKED).find(|(_, p)| up(p));
        first.map(|(addr, _)| *addr)
    }

    /// Notes what a neighbour has answered: how old its copies are, or none
    /// when it has not all of them.
    pub fn answered(&mut self, now: Instant, addr: SocketAddr, age: Option<Duration>) {
        let Some(age) = age else {
            return self.failed(now, addr);
        };
        if let Some(peer) = self.peers.get_mut(&addr) {
            peer.failures = 0;
            peer.stale = age > OLDEST;
        }
    }

    /// Notes that a neighbour did not answer.
    pub fn failed(&mut self, now: Instant, addr: SocketAddr) {
        if let Some(peer) = self.peers.get_mut(&addr) {
            let rest = REST_FIRST * 2u32.pow(peer.failures.min(8));
            peer.rest = Some(now + rest.min(REST_MOST));
            peer.failures += 1;
        }
    }

    /// Notes that the store has answered this entry. A neighbour that told old
    /// news meanwhile has lost it; before that, nobody can know better, and
    /// passing over one after the other would only move the questions about.
    pub fn store_answered(&mut self, now: Instant) {
        for peer in self.peers.values_mut().filter(|p| p.stale) {
            peer.rest = Some(now + REST_STALE);
            peer.stale = false;
        }
    }

    /// How old a copy may become before this entry reads by itself, though
    /// it has a neighbour to ask.
    #[must_use]
    pub fn patience(&self) -> Duration {
        let Reverse(draw) = self.own.draw;
        let share = (draw % 1024) as f64 / 1024.0;
        OLDEST - SPREAD.mul_f64(share)
    }

    /// Whether the entries of the zone read for each other.
    #[must_use]
    pub fn shared(&self) -> bool {
        self.peers.len() + 1 >= SHARED_FROM
    }
}
