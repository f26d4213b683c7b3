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
use crate::edge::Dialect;
use crate::grants::Sidecars;
use crate::pool::Pool;
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
    pub balance: RefCell<Balancer>,
    /// What calls load the engines with.
    pub pools: RefCell<PhasePools>,
    /// How long calls wait at engines.
    pub waits: RefCell<WaitEstimator>,
    /// Copies of the store's tables.
    pub tables: TableReplicas,
    /// Who reads the store in this availability zone.
    pub readers: RefCell<ZoneReaders>,
    /// What other entries have in progress.
    pub others: RefCell<PeerLoads>,
    /// Other entries.
    pub roster: RefCell<Roster>,
    /// How they are found.
    pub finder: RefCell<PeerDiscovery>,
    /// How many entries there are.
    pub entry_count: RefCell<PeakEntryCount>,
    /// Repeats that are left.
    pub budget: RefCell<RepeatBudget>,
    /// The sidecars beside engines, if there are any.
    pub sidecars: RefCell<Option<Rc<Sidecars>>>,
    /// What one entry does for all, if there is anything.
    pub duties: RefCell<Option<Rc<Duties>>>,
    /// Servers that have crashed under calls.
    pub crashes: CrashTracker,
    /// Connections to servers.
    pub pool: Pool,
    /// Wakes those who wait for the store when it answers again.
    pub regained: Notify,
    /// Has the others told at once what this one has.
    pub speak: Notify,
    /// Whether the store does not answer questions about servers.
    pub lost: Cell<bool>,
    /// What the host's link carries towards the callers, if it matters.
    pub link: RefCell<Option<LinkLoad>>,
    /// Whether the servers are known.
    pub listed: Cell<bool>,
    /// Set when the entry is about to stop.
    pub stopping: StopSignal,
    /// Calls whose answers have not left whole.
    pub open: Cell<usize>,
}

impl std::fmt::Debug for State {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("State")
            .field("name", &self.settings.name)
            .field("open", &self.open)
            .finish_non_exhaustive()
    }
}

impl State {
    /// Makes the state of an entry that knows nothing yet.
    #[must_use]
    pub fn new(settings: Settings, dialect: Rc<dyn Dialect>, clock: Rc<dyn Clock>) -> Rc<Self> {
        Rc::new(Self {
            balance: RefCell::new(Balancer::new(&settings.zone)),
            pools: RefCell::default(),
            waits: RefCell::default(),
            tables: TableReplicas::default(),
            readers: RefCell::new(ZoneReaders::new(own_rank(&settings))),
            others: RefCell::default(),
            roster: RefCell::new(Roster::new(own_seat(&settings), settings.duties.is_some())),
            finder: RefCell::new(PeerDiscovery::new(
                clock.now(),
                settings.seed_addrs(),
                settings.first_start,
            )),
            entry_count: RefCell::default(),
            budget: RefCell::new(RepeatBudget::new(settings.repeats())),
            dialect,
            clock,
            catalog: RefCell::default(),
            sidecars: RefCell::default(),
            duties: RefCell::default(),
            crashes: CrashTracker::default(),
            pool: Pool::default(),
            regained: Notify::new(),
            speak: Notify::new(),
            lost: Cell::new(false),
            link: RefCell::new(settings.link_mbps.map(LinkLoad::new)),
            listed: Cell::new(false),
            stopping: StopSignal::new(),
            open: Cell::new(0),
            settings,
        })
    }

    /// Whether new connections should be sent here.
    #[must_use]
    pub fn ready(&self) -> bool {
        let known = self.listed.get() && self.catalog.borrow().is_some();
        known && !self.stopping.is_triggered() && !self.crowded()
    }

    /// Waits until the catalog and the servers are known, for a while. An entry
    /// that has started has them in a moment, and a caller that is turned away
    /// comes back later than that.
    pub async fn wait_for_tables(&self) {
        let known = || self.catalog.borrow().is_some() && !self.balance.borrow().is_empty();
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
    pub fn shares(&self) -> bool {
        self.readers.borrow().shares_reads()
    }

    /// Other entries that read the store as often as this one.
    #[must_use]
    pub fn rivals(&self) -> usize {
        match self.shares() {
            true => 0,
            false => self.roster.borrow().count().total.saturating_sub(1),
        }
    }

    /// Whether callers should rather open their next connection elsewhere.
    #[must_use]
    pub fn crowded(&self) -> bool {
        let now = self.clock.now();
        let mut link = self.link.borrow_mut();
        link.as_mut().is_some_and(|link| link.congested(now))
    }
}

/// This entry as others know it.
fn own_seat(settings: &Settings) -> EntryInfo {
    EntryInfo {
        addr: settings.gossip,
        zone: zone_number(&settings.zone),
        link_mbps: link_mbps(settings),
    }
}

/// Where this entry stands among those of its zone.
pub(crate) fn own_rank(settings: &Settings) -> Rank {
    own_seat(settings).rank()
}

/// An availability zone's number between entries.
pub(crate) fn zone_number(zone: &str) -> u32 {
    rendezvous::hash_name(zone) as u32
}

/// What the host's link carries, in million bits a second, as others are told.
pub(crate) fn link_mbps(settings: &Settings) -> u32 {
    settings.link_mbps.map_or(u32::MAX, |mbps| mbps as u32)
}

/// Counts one open call for as long as it lives.
#[derive(Debug)]
pub struct Open(Rc<State>);

impl Open {
    /// Counts a call as open.
    #[must_use]
    pub fn new(state: &Rc<State>) -> Self {
        state.open.set(state.open.get() + 1);
        Self(Rc::clone(state))
    }
}

impl Drop for Open {
    fn drop(&mut self) {
        self.0.open.set(self.0.open.get().saturating_sub(1));
    }
}

/// Closes connections whose time is over, and tidies up, until `end`.
pub async fn sweep(state: Rc<State>, end: StopSignal) {
    while !end.is_triggered() {
        tokio::time::sleep(SWEEP).await;
        state.pool.sweep(state.clock.now());
        crashes::expire(&state, state.clock.now());
    }
}
