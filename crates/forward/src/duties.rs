//! Duties that one entry performs for all of them. See
//! docs/DECISIONS/0701-duties.md.
//!
//! - [`election`]: holding the duties through the store.
//! - [`report`]: reporting the usage while they are held.
//! - [`scale`]: ordering the number of backend servers meanwhile.
//! - [`messages`]: what entries tell each other for it.

pub mod election;
pub mod messages;
pub mod report;
pub mod scale;

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, HashMap};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use base::clock::Clock;
use base::ids::Incarnation;
use policy::duty::Candidate;
use policy::fleet_time::FleetTime;
use policy::readers::Rank;
use policy::usage::{IncarnationId, UsageCounter, UsageState, UsageWindows, WorkspaceCounts};
use tokio::net::UdpSocket;

use crate::settings::{self, Settings};
use crate::state::own_rank;

/// How often an entry looks what its duties ask of it.
const TICK: Duration = Duration::from_millis(100);

/// All that an entry knows of its duties.
pub struct Duties {
    /// What the operators set.
    settings: settings::DutySettings,
    /// The daemon's name, for the platform.
    name: String,
    clock: Rc<dyn Clock>,
    /// Where other entries tell this one.
    addr: SocketAddr,
    socket: UdpSocket,
    candidate: RefCell<Candidate>,
    counter: RefCell<UsageCounter>,
    time: RefCell<FleetTime>,
    /// What is reported, while this entry holds the duties.
    usage: RefCell<UsageState>,
    /// Windows that the store keeps as they are reported.
    stored_windows: RefCell<BTreeMap<u64, WorkspaceCounts>>,
    /// Since when this entry has held the duties.
    held_since: Cell<Option<Instant>>,
    /// Whether the platform's interface does not answer here.
    api_unreachable: Cell<bool>,
    /// Servers that were ordered, by service and availability zone.
    ordered_servers: RefCell<BTreeMap<String, u32>>,
    /// Who said last that it holds the duties.
    holder: Cell<Option<SocketAddr>>,
    /// The first window whose counts are still wanted: the store does not keep
    /// them as fixed.
    next_window: Cell<u64>,
    own_rank: Rank,
    /// The other entries, by their place in the order of all.
    peers: RefCell<HashMap<SocketAddr, Peer>>,
}

/// Another entry.
#[derive(Debug, Clone, Copy)]
struct Peer {
    rank: Rank,
    /// Until when it counts as there unless it is heard again.
    expires_at: Instant,
    /// When it last told its counts.
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
    /// Gets ready for the duties that the settings name, if there are any.
    ///
    /// # Errors
    ///
    /// Returns the error when the port for them cannot be bound.
    pub async fn bind(own: &Settings, clock: Rc<dyn Clock>) -> io::Result<Option<Rc<Self>>> {
        let any = |d: &settings::DutySettings| d.reports_usage() || d.autoscales();
        let Some(settings) = own.duties.clone().filter(any) else {
            return Ok(None);
        };
        let addr = own.duty_addr();
        let socket = UdpSocket::bind(addr).await?;
        let now = clock.now_boottime();
        let life = Incarnation::random();
        let host = addr.ip().to_string();
        let away = Duration::from_millis(settings.lease_ms);
        let windows = UsageWindows {
            length: Duration::from_secs_f64(settings.window_s),
            deadline: Duration::from_secs_f64(settings.due_s),
        };
        Ok(Some(Rc::new(Self {
            name: own.name.clone(),
            addr,
            socket,
            candidate: RefCell::new(Candidate::new(now, &life.to_string(), &host, away)),
            counter: RefCell::new(UsageCounter::new(life.0, windows)),
            time: RefCell::new(FleetTime::new(now)),
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
        })))
    }

    /// Where the platform's interface for duties answers.
    #[must_use]
    pub fn platform_addr(&self) -> SocketAddr {
        self.settings.platform
    }

    /// Counts a request of a workspace that a backend server has begun. Where
    /// nobody reports, nothing would ever be forgotten, and nothing is counted.
    pub fn count_request(&self, workspace: &str) {
        if !self.settings.reports_usage() {
            return;
        }
        let time = self.time();
        let now = self.clock.now_boottime();
        self.counter
            .borrow_mut()
            .count_request(now, time, workspace);
    }

    /// Notes another entry, which speaks again `within` that time, and what its
    /// host takes for the time of day.
    pub fn observe_peer(&self, from: SocketAddr, rank: Rank, within: Duration, wall_ms: u64) {
        let now = self.clock.now_boottime();
        let addr = SocketAddr::new(from.ip(), self.addr.port());
        let expires_at = now + within;
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
        self.time.borrow_mut().observe(now, peer, wall);
    }

    /// The fencing token while this entry holds the duties.
    #[must_use]
    pub fn token(&self) -> Option<u64> {
        self.candidate.borrow().token(self.clock.now_boottime())
    }

    /// This life's number among the counts.
    #[must_use]
    pub fn incarnation(&self) -> IncarnationId {
        self.counter.borrow().own_incarnation()
    }

    /// Requests that a life has told this entry of, of windows that are not
    /// settled.
    #[must_use]
    pub fn requests_of(&self, life: IncarnationId) -> u64 {
        self.counter.borrow().requests_of(life)
    }

    /// What the duties look like from here.
    #[must_use]
    pub fn status(&self) -> DutyStatus {
        let account = self.usage.borrow();
        DutyStatus {
            token: self.token(),
            holder: match self.token() {
                Some(_) => Some(self.addr),
                None => self.holder.get(),
            },
            next_window: self.next_window.get(),
            unreported: account.finalized.keys().copied().collect(),
            ordered_servers: self.ordered_servers.borrow().clone(),
        }
    }

    /// The time of day that the hosts agree on, from the Unix epoch.
    fn time(&self) -> Duration {
        let wall = Duration::from_millis(self.clock.wall_ms());
        self.time.borrow_mut().now(self.clock.now_boottime(), wall)
    }

    /// The other entries that are there, in the order of all.
    fn peers(&self) -> Vec<(Rank, SocketAddr)> {
        let now = self.clock.now_boottime();
        let mut peers = self.peers.borrow_mut();
        peers.retain(|_, peer| now < peer.expires_at);
        let mut peers: Vec<_> = peers.iter().map(|(a, p)| (p.rank, *a)).collect();
        peers.sort_unstable();
        peers
    }

    /// Whether all entries that are there have told their counts since `then`.
    /// Lives that have ended stay in the books, so that their number says
    /// nothing of those that have yet to speak.
    fn all_peers_reported(&self, then: Instant) -> bool {
        let peers = self.peers.borrow();
        peers
            .values()
            .all(|p| p.last_counts.is_some_and(|told| told >= then))
    }

    /// Entries that go before this one in the order of all.
    fn peers_ahead(&self) -> usize {
        self.peers()
            .iter()
            .filter(|(rank, _)| *rank < self.own_rank)
            .count()
    }
}

/// What an entry says of the duties to those who ask.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize)]
pub struct DutyStatus {
    /// The fencing token, if this entry holds them.
    pub token: Option<u64>,
    /// Where the holder is heard, as far as this entry knows.
    pub holder: Option<SocketAddr>,
    /// The first window of usage whose counts are still open.
    #[serde(rename = "next")]
    pub next_window: u64,
    /// Windows whose counts are fixed and not yet accepted by the platform, if
    /// this entry holds the duties.
    pub unreported: Vec<u64>,
    /// Servers that this entry has ordered, by service and availability zone,
    /// while it holds the duties.
    #[serde(rename = "ordered")]
    pub ordered_servers: BTreeMap<String, u32>,
}
