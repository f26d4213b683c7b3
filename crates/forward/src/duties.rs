//! Duties that one entry performs for the whole fleet. See
//! docs/DECISIONS/0701-duties.md.
//!
//! - [`election`]: elects the holder of the duties through the store.
//! - [`report`]: reports the usage to the platform.
//! - [`scale`]: orders the number of backend servers.
//! - [`messages`]: exchanges usage counts and holder notices among entries.

pub mod election;
pub mod messages;
pub mod report;
pub mod scale;

use std::cell::{Cell, OnceCell, RefCell};
use std::collections::{BTreeMap, HashMap};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use base::clock::Clock;
use base::ids::Incarnation;
use base::listen::Binder;
use policy::duty::Candidate;
use policy::fleet_time::FleetTime;
use policy::readers::Rank;
use policy::usage::{IncarnationId, UsageCounter, UsageState, UsageWindows, WorkspaceCounts};
use tokio::net::UdpSocket;

use crate::settings::{self, Settings};
use crate::state::own_rank;

/// Interval at which an entry checks for due steps of its duties.
const TICK: Duration = Duration::from_millis(100);

/// An entry's state of the duties, as holder or as candidate.
pub struct Duties {
    settings: settings::DutySettings,
    /// Name of the daemon in calls to the platform.
    name: String,
    clock: Rc<dyn Clock>,
    /// Address for messages from other entries.
    addr: SocketAddr,
    /// The socket for these messages, once it is bound.
    socket: OnceCell<UdpSocket>,
    /// Until when requests are counted without a socket. Their windows can be reported
    /// only if the other entries get the counts before the report is due.
    count_until: Instant,
    candidate: RefCell<Candidate>,
    counter: RefCell<UsageCounter>,
    fleet_time: RefCell<FleetTime>,
    /// The usage data of the duties' record, while this entry holds the duties.
    usage: RefCell<UsageState>,
    /// Finalized windows whose counts the store keeps, so that they may be reported.
    stored_windows: RefCell<BTreeMap<u64, WorkspaceCounts>>,
    /// When this entry acquired the duties, if it holds them.
    held_since: Cell<Option<Instant>>,
    /// Whether the platform API does not answer this entry.
    api_unreachable: Cell<bool>,
    /// Number of servers ordered, by service and availability zone.
    ordered_servers: RefCell<BTreeMap<String, u32>>,
    /// The entry that last announced that it holds the duties.
    holder: Cell<Option<SocketAddr>>,
    /// The first window that the store does not keep as finalized; its counts and later
    /// ones are still needed.
    next_window: Cell<u64>,
    own_rank: Rank,
    /// The other entries, by address.
    peers: RefCell<HashMap<SocketAddr, Peer>>,
}

/// Another entry.
#[derive(Debug, Clone, Copy)]
struct Peer {
    rank: Rank,
    /// When it no longer counts as present, unless it is heard from again.
    expires_at: Instant,
    /// When its last counts arrived.
    last_counts: Option<Instant>,
}

impl std::fmt::Debug for Duties {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Duties")
            .field("settings", &self.settings)
            .finish_non_exhaustive()
    }
}

impl Duties {
    /// Creates the state for the configured duties; none if no duties are configured.
    #[must_use]
    pub fn new(own: &Settings, clock: Rc<dyn Clock>) -> Option<Rc<Self>> {
        let has_duties = |d: &settings::DutySettings| d.reports_usage() || d.autoscales();
        let settings = own.duties.clone().filter(has_duties)?;
        let addr = own.duty_addr();
        let now = clock.now_boottime();
        let incarnation = Incarnation::random();
        let host = addr.ip().to_string();
        let return_delay = Duration::from_millis(settings.lease_ms);
        let windows = UsageWindows {
            length: Duration::from_secs_f64(settings.window_s),
            deadline: Duration::from_secs_f64(settings.due_s),
        };
        let unbound = windows.length.saturating_add(windows.deadline);
        Some(Rc::new(Self {
            name: own.name.clone(),
            addr,
            socket: OnceCell::new(),
            count_until: now.checked_add(unbound).unwrap_or(now),
            candidate: RefCell::new(Candidate::new(
                now,
                &incarnation.to_string(),
                &host,
                return_delay,
            )),
            counter: RefCell::new(UsageCounter::new(incarnation.0, windows)),
            fleet_time: RefCell::new(FleetTime::new(now)),
            usage: RefCell::default(),
            stored_windows: RefCell::default(),
            held_since: Cell::new(None),
            api_unreachable: Cell::new(false),
            ordered_servers: RefCell::default(),
            holder: Cell::new(None),
            next_window: Cell::new(0),
            own_rank: own_rank(own),
            peers: RefCell::default(),
            settings,
            clock,
        }))
    }

    /// Binds the port for messages from other entries; returns whether it is bound, or the
    /// entry was stopped before that.
    ///
    /// # Errors
    ///
    /// Returns the error when the port can never be bound.
    pub async fn bind(&self, binder: &Binder) -> io::Result<bool> {
        let Some(socket) = binder.udp("duties", self.addr).await? else {
            return Ok(false);
        };
        Ok(self.socket.set(socket).is_ok())
    }

    /// The socket for messages from other entries.
    fn socket(&self) -> Option<&UdpSocket> {
        self.socket.get()
    }

    /// Address of the platform API for duties.
    #[must_use]
    pub fn platform_addr(&self) -> SocketAddr {
        self.settings.platform
    }

    /// Counts a request of a workspace that a backend server has begun. Without usage
    /// reporting nothing is counted, since counts are dropped only after their report.
    pub fn count_request(&self, workspace: &str) {
        if !self.settings.reports_usage() {
            return;
        }
        let time = self.fleet_time();
        let now = self.clock.now_boottime();
        if self.socket().is_none() && now >= self.count_until {
            return;
        }
        self.counter
            .borrow_mut()
            .count_request(now, time, workspace);
    }

    /// Records another entry, which counts as present for `ttl`, and the wall clock of
    /// its host in milliseconds since the Unix epoch.
    pub fn observe_peer(&self, from: SocketAddr, rank: Rank, ttl: Duration, wall_ms: u64) {
        let now = self.clock.now_boottime();
        let addr = SocketAddr::new(from.ip(), self.addr.port());
        let expires_at = now + ttl;
        let mut peers = self.peers.borrow_mut();
        let last_counts = peers.get(&addr).and_then(|peer| peer.last_counts);
        peers.insert(
            addr,
            Peer {
                rank,
                expires_at,
                last_counts,
            },
        );
        drop(peers);
        let wall = Duration::from_millis(wall_ms);
        let peer = policy::rendezvous::hash_name(&addr.to_string());
        self.fleet_time.borrow_mut().observe(now, peer, wall);
    }

    /// The fencing token, while this entry holds the duties.
    #[must_use]
    pub fn token(&self) -> Option<u64> {
        self.candidate.borrow().token(self.clock.now_boottime())
    }

    /// The incarnation number of this entry in usage counts.
    #[must_use]
    pub fn incarnation(&self) -> IncarnationId {
        self.counter.borrow().own_incarnation()
    }

    /// Number of requests that this entry knows of an incarnation, in windows that are
    /// not finalized.
    #[must_use]
    pub fn requests_of(&self, incarnation: IncarnationId) -> u64 {
        self.counter.borrow().requests_of(incarnation)
    }

    /// The duties as this entry knows them.
    #[must_use]
    pub fn status(&self) -> DutyStatus {
        let usage = self.usage.borrow();
        DutyStatus {
            token: self.token(),
            holder: match self.token() {
                Some(_) => Some(self.addr),
                None => self.holder.get(),
            },
            next_window: self.next_window.get(),
            unreported: usage.finalized.keys().copied().collect(),
            ordered_servers: self.ordered_servers.borrow().clone(),
        }
    }

    /// The common time of the fleet's hosts, since the Unix epoch.
    fn fleet_time(&self) -> Duration {
        let wall = Duration::from_millis(self.clock.wall_ms());
        self.fleet_time
            .borrow_mut()
            .now(self.clock.now_boottime(), wall)
    }

    /// The other entries that are present, in rank order.
    fn peers(&self) -> Vec<(Rank, SocketAddr)> {
        let now = self.clock.now_boottime();
        let mut peers = self.peers.borrow_mut();
        peers.retain(|_, peer| now < peer.expires_at);
        let mut peers: Vec<_> = peers.iter().map(|(a, p)| (p.rank, *a)).collect();
        peers.sort_unstable();
        peers
    }

    /// Whether all other entries that are present have sent their counts since `since`.
    /// The usage counter cannot tell: it also keeps incarnations that have ended, so
    /// their number does not show whether a present entry is missing.
    fn all_peers_reported(&self, since: Instant) -> bool {
        let peers = self.peers.borrow();
        peers
            .values()
            .all(|p| p.last_counts.is_some_and(|at| at >= since))
    }

    /// Number of other entries that precede this one in rank order.
    fn peers_ahead(&self) -> usize {
        self.peers()
            .iter()
            .filter(|(rank, _)| *rank < self.own_rank)
            .count()
    }
}

/// The duties as an entry knows them, for its status page.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize)]
pub struct DutyStatus {
    /// The fencing token, if this entry holds the duties.
    pub token: Option<u64>,
    /// Address of the holder, if this entry knows it.
    pub holder: Option<SocketAddr>,
    /// The first usage window that is not finalized.
    #[serde(rename = "next")]
    pub next_window: u64,
    /// Finalized windows that the platform has not yet accepted, if this entry holds the
    /// duties.
    pub unreported: Vec<u64>,
    /// Number of servers that this entry has ordered, by service and availability zone,
    /// while it holds the duties.
    #[serde(rename = "ordered")]
    pub ordered_servers: BTreeMap<String, u32>,
}
