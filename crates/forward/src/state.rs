//! The catalog in force, the known servers, and what is open.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use base::clock::Clock;
use base::stop::StopSignal;
use policy::balance::Balancer;
use policy::discovery::PeerDiscovery;
use policy::link::LinkLoad;
use policy::peer_load::{PeakEntryCount, PeerLoads};
use policy::pools::PhasePools;
use policy::readers::{Rank, ZoneReaders};
use policy::rendezvous;
use policy::repeat_budget::RepeatBudget;
use policy::roster::{EntryInfo, Roster};
use policy::routes::Catalog;
use policy::wait_estimate::WaitEstimator;

use tokio::sync::Notify;

use crate::crashes::{self, CrashTracker};
use crate::duties::Duties;
use crate::grants::SidecarClient;
use crate::platform::Dialect;
use crate::pool::ConnectionPool;
use crate::settings::Settings;
use crate::tables::TableReplicas;

/// How often idle connections are looked through. Nothing waits for it: a
/// connection whose time is over is not used either way.
const SWEEP: Duration = Duration::from_secs(1);

/// How long a call waits for the tables of an entry that has just started.
const TABLES_WAIT: Duration = Duration::from_millis(400);

/// All that the parts of an entry share.
pub struct State {
    /// What the operators set.
    pub settings: Settings,
    /// How callers and servers are spoken to.
    pub dialect: Rc<dyn Dialect>,
    /// The time.
    pub clock: Rc<dyn Clock>,
    /// The catalog in force, once there is one.
    pub catalog: RefCell<Option<Rc<Catalog>>>,
    /// The known servers.
    pub balancer: RefCell<Balancer>,
    /// What calls load the engines with.
    pub phase_pools: RefCell<PhasePools>,
    /// How long calls wait at engines.
    pub wait_estimator: RefCell<WaitEstimator>,
    /// Copies of the store's tables.
    pub tables: TableReplicas,
    /// Who reads the store in this availability zone.
    pub zone_readers: RefCell<ZoneReaders>,
    /// What other entries have in progress.
    pub peer_loads: RefCell<PeerLoads>,
    /// Other entries.
    pub roster: RefCell<Roster>,
    /// How they are found.
    pub discovery: RefCell<PeerDiscovery>,
    /// How many entries there are.
    pub entry_count: RefCell<PeakEntryCount>,
    /// Repeats that are left.
    pub repeat_budget: RefCell<RepeatBudget>,
    /// The sidecars beside engines, if there are any.
    pub sidecars: RefCell<Option<Rc<SidecarClient>>>,
    /// What one entry does for all, if there is anything.
    pub duties: RefCell<Option<Rc<Duties>>>,
    /// Servers that have crashed under calls.
    pub crashes: CrashTracker,
    /// Connections to servers.
    pub connection_pool: ConnectionPool,
    /// Wakes those who wait for the store when it answers again.
    pub store_recovered: Notify,
    /// Has the others told at once what this one has.
    pub gossip_now: Notify,
    /// Whether the store does not answer questions about servers.
    pub store_lost: Cell<bool>,
    /// What the host's link carries towards the callers, if it matters.
    pub link_load: RefCell<Option<LinkLoad>>,
    /// Whether the servers are known.
    pub servers_loaded: Cell<bool>,
    /// Set when the entry is about to stop.
    pub stopping: StopSignal,
    /// Calls whose answers have not left whole.
    pub open_calls: Cell<usize>,
}

impl std::fmt::Debug for State {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("State")
            .field("name", &self.settings.name)
            .field("open", &self.open_calls)
            .finish_non_exhaustive()
    }
}

impl State {
    /// Makes the state of an entry that knows nothing yet.
    #[must_use]
    pub fn new(settings: Settings, dialect: Rc<dyn Dialect>, clock: Rc<dyn Clock>) -> Rc<Self> {
        Rc::new(Self {
            balancer: RefCell::new(Balancer::new(&settings.zone)),
            phase_pools: RefCell::default(),
            wait_estimator: RefCell::default(),
            tables: TableReplicas::default(),
            zone_readers: RefCell::new(ZoneReaders::new(own_rank(&settings))),
            peer_loads: RefCell::default(),
            roster: RefCell::new(Roster::new(
                own_entry_info(&settings),
                settings.duties.is_some(),
            )),
            discovery: RefCell::new(PeerDiscovery::new(
                clock.now(),
                settings.seed_addrs(),
                settings.first_start,
            )),
            entry_count: RefCell::default(),
            repeat_budget: RefCell::new(RepeatBudget::new(settings.repeat_limit())),
            dialect,
            clock,
            catalog: RefCell::default(),
            sidecars: RefCell::default(),
            duties: RefCell::default(),
            crashes: CrashTracker::default(),
            connection_pool: ConnectionPool::default(),
            store_recovered: Notify::new(),
            gossip_now: Notify::new(),
            store_lost: Cell::new(false),
            link_load: RefCell::new(settings.link_mbps.map(LinkLoad::new)),
            servers_loaded: Cell::new(false),
            stopping: StopSignal::new(),
            open_calls: Cell::new(0),
            settings,
        })
    }

    /// Whether new connections should be sent here.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        let known = self.servers_loaded.get() && self.catalog.borrow().is_some();
        known && !self.stopping.is_triggered() && !self.is_congested()
    }

    /// Waits until the catalog and the servers are known, for a while. An entry
    /// that has started has them in a moment, and a caller that is turned away
    /// comes back later than that.
    pub async fn wait_for_tables(&self) {
        let known = || self.catalog.borrow().is_some() && !self.balancer.borrow().is_empty();
        let wait = async {
            while !known() {
                self.tables.changed.notified().await;
            }
        };
        if !known() {
            // Either way the call is judged by what is known then.
            let _ = tokio::time::timeout(TABLES_WAIT, wait).await;
        }
    }

    /// Whether the entries of this availability zone read the store for each
    /// other.
    #[must_use]
    pub fn shares_reads(&self) -> bool {
        self.zone_readers.borrow().shares_reads()
    }

    /// Other entries that read the store as often as this one.
    #[must_use]
    pub fn competing_readers(&self) -> usize {
        match self.shares_reads() {
            true => 0,
            false => self.roster.borrow().count().total.saturating_sub(1),
        }
    }

    /// Whether callers should rather open their next connection elsewhere.
    #[must_use]
    pub fn is_congested(&self) -> bool {
        let now = self.clock.now();
        let mut link = self.link_load.borrow_mut();
        link.as_mut().is_some_and(|link| link.congested(now))
    }
}

/// This entry as others know it.
fn own_entry_info(settings: &Settings) -> EntryInfo {
    EntryInfo {
        addr: settings.gossip,
        zone: zone_hash(&settings.zone),
        link_mbps: link_mbps(settings),
    }
}

/// Where this entry stands among those of its zone.
pub(crate) fn own_rank(settings: &Settings) -> Rank {
    own_entry_info(settings).rank()
}

/// An availability zone's number between entries.
pub(crate) fn zone_hash(zone: &str) -> u32 {
    rendezvous::hash_name(zone) as u32
}

/// What the host's link carries, in million bits a second, as others are told.
pub(crate) fn link_mbps(settings: &Settings) -> u32 {
    settings.link_mbps.map_or(u32::MAX, |mbps| mbps as u32)
}

/// Counts one open call for as long as it lives.
#[derive(Debug)]
pub struct OpenCall(Rc<State>);

impl OpenCall {
    /// Counts a call as open.
    #[must_use]
    pub fn new(state: &Rc<State>) -> Self {
        state.open_calls.set(state.open_calls.get() + 1);
        Self(Rc::clone(state))
    }
}

impl Drop for OpenCall {
    fn drop(&mut self) {
        self.0
            .open_calls
            .set(self.0.open_calls.get().saturating_sub(1));
    }
}

/// Closes connections whose time is over, and tidies up, until `end`.
pub async fn sweep(state: Rc<State>, end: StopSignal) {
    while !end.is_triggered() {
        tokio::time::sleep(SWEEP).await;
        state.connection_pool.remove_expired(state.clock.now());
        crashes::expire(&state, state.clock.now());
    }
}
