//! The state that the parts of an entry share: the catalog in force, the known servers
//! and the calls in progress.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::time::{Duration, Instant};

use base::clock::Clock;
use base::stop::StopSignal;
use policy::backup::CopyTable;
use policy::balance::Balancer;
use policy::discovery::PeerDiscovery;
use policy::durations::CallDurations;
use policy::link::LinkLoad;
use policy::paces::PaceClass;
use policy::peer_load::{PeakEntryCount, PeerLoads};
use policy::pools::PhasePools;
use policy::readers::{Rank, ZoneReaders};
use policy::rendezvous;
use policy::repeat_budget::RepeatBudget;
use policy::roster::{EntryInfo, Roster};
use policy::routes::{Catalog, Route};
use policy::shares::rates::WorkspaceRates;
use policy::wait_estimate::WaitEstimator;
use spdlog::info;

use tokio::sync::Notify;

use crate::crashes::{self, CrashTracker};
use crate::duties::Duties;
use crate::grants::SidecarClient;
use crate::memory::Memory;
use crate::moves::OpenStreams;
use crate::origins::Origins;
use crate::platform::Dialect;
use crate::pool::ConnectionPool;
use crate::settings::Settings;
use crate::tables::TableReplicas;
use crate::versions::VersionTracker;

/// Interval at which expired connections are closed. It is not critical: a connection
/// that has expired is not used in any case.
const SWEEP_INTERVAL: Duration = Duration::from_secs(1);

/// How long a call waits at an entry that has just started and has not read its tables.
const TABLES_TIMEOUT: Duration = Duration::from_millis(400);

/// Interval at which a waiting call asks for another read of the servers.
const SERVER_WAIT_INTERVAL: Duration = Duration::from_millis(100);

/// The shared state of an entry.
pub struct State {
    /// The settings, read at the start.
    pub settings: Settings,
    /// Reads and writes the headers of callers and servers.
    pub dialect: Rc<dyn Dialect>,
    /// The source of all times.
    pub clock: Rc<dyn Clock>,
    /// The catalog in force, once one has been read.
    pub catalog: RefCell<Option<Rc<Catalog>>>,
    /// The known servers, and the choice among them.
    pub balancer: RefCell<Balancer>,
    /// The split of engines by prefill and decode load.
    pub phase_pools: RefCell<PhasePools>,
    /// Estimates how long calls wait at engines.
    pub wait_estimator: RefCell<WaitEstimator>,
    /// Replicas of the store's tables.
    pub tables: TableReplicas,
    /// Which entries of this availability zone read the store.
    pub zone_readers: RefCell<ZoneReaders>,
    /// The calls that other entries have in progress.
    pub peer_loads: RefCell<PeerLoads>,
    /// The other known entries.
    pub roster: RefCell<Roster>,
    /// The search for other entries.
    pub discovery: RefCell<PeerDiscovery>,
    /// The number of entries.
    pub entry_count: RefCell<PeakEntryCount>,
    /// Rates of workspaces' calls to services without engines.
    pub workspace_rates: RefCell<WorkspaceRates>,
    /// Limits the repeats of calls.
    pub repeat_budget: RefCell<RepeatBudget>,
    /// The copies of this entry's streams at second engines.
    pub copies: RefCell<CopyTable>,
    /// The software versions that began streams.
    pub origins: Origins,
    /// The recorded software versions of each service.
    pub versions: VersionTracker,
    /// The services whose latest whole stream had gaps in the numbers of its events.
    skipping_services: RefCell<BTreeSet<Rc<str>>>,
    /// Asks the sidecars next to engines, if there are any.
    pub sidecars: RefCell<Option<Rc<SidecarClient>>>,
    /// The fleet-wide duties, if any are configured and their port could be bound.
    pub duties: RefCell<Option<Rc<Duties>>>,
    /// Server crashes, and the calls that may have caused them.
    pub crashes: CrashTracker,
    /// The open streams that can be moved, and the engines that leave.
    pub moves: OpenStreams,
    /// The bytes held for callers and servers.
    pub memory: Rc<Memory>,
    /// Idle connections to servers.
    pub connection_pool: ConnectionPool,
    /// Wakes the tasks that wait for the store when it answers again.
    pub store_recovered: Notify,
    /// Wakes the reader of the servers ahead of its next read.
    pub servers_wanted: Notify,
    /// Triggers a load report to the other entries ahead of the next interval.
    pub gossip_now: Notify,
    /// Load on the host's network link towards the callers, if its capacity is set.
    pub link_load: RefCell<Option<LinkLoad>>,
    /// Whether the server table has been read.
    pub servers_loaded: Cell<bool>,
    /// Triggered when the entry starts to drain.
    pub stopping: StopSignal,
    /// When it started to drain.
    pub(crate) stopped_at: Cell<Option<Instant>>,
    /// How long the calls of each route take.
    pub durations: RefCell<CallDurations>,
    /// Whether calls are refused because the grace period is too short for them.
    pub refusing: Cell<bool>,
    /// Triggered shortly before the grace period ends; ends the calls in progress.
    pub cutoff: StopSignal,
    /// Number of calls whose answers have not been sent completely.
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
    /// Whether the numbers of events in streams of `service` have gaps.
    pub(crate) fn skips_numbers(&self, service: &str) -> bool {
        self.skipping_services.borrow().contains(service)
    }

    /// Records whether the numbers of events in a whole stream of `service` had gaps.
    pub(crate) fn record_numbers(&self, service: &Rc<str>, skips: bool) {
        let mut skipping = self.skipping_services.borrow_mut();
        match skips {
            true => skipping.insert(Rc::clone(service)),
            false => skipping.remove(service),
        };
    }

    /// Creates the state of a starting entry, without a catalog and servers.
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
            workspace_rates: RefCell::default(),
            repeat_budget: RefCell::new(RepeatBudget::new(clock.now(), settings.repeat_limit())),
            versions: VersionTracker::new(clock.now()),
            memory: Rc::new(Memory::new(&settings, Rc::clone(&clock))),
            dialect,
            clock,
            catalog: RefCell::default(),
            copies: RefCell::new(CopyTable::new(&settings.name)),
            origins: Origins::default(),
            skipping_services: RefCell::default(),
            sidecars: RefCell::default(),
            duties: RefCell::default(),
            crashes: CrashTracker::default(),
            moves: OpenStreams::new(settings.moves),
            connection_pool: ConnectionPool::default(),
            store_recovered: Notify::new(),
            servers_wanted: Notify::new(),
            gossip_now: Notify::new(),
            link_load: RefCell::new(settings.link_mbps.map(LinkLoad::new)),
            servers_loaded: Cell::new(false),
            stopping: StopSignal::new(),
            stopped_at: Cell::new(None),
            durations: RefCell::default(),
            refusing: Cell::new(false),
            cutoff: StopSignal::new(),
            open_calls: Cell::new(0),
            settings,
        })
    }

    /// The paces of engines that this entry knows from their sidecars, the newest
    /// first; none unless streams are placed by them.
    #[must_use]
    pub fn known_paces(&self, now: Instant) -> Vec<(u16, Duration)> {
        let sidecars = self.sidecars.borrow();
        let sidecars = sidecars.as_ref().filter(|_| self.settings.paced_streams);
        sidecars.map_or_else(Vec::new, |s| s.paces.borrow_mut().recent(now))
    }

    /// Passes the paces that all entries know to the balancer.
    pub fn apply_paces(&self, paces: &BTreeMap<u16, Duration>) {
        let mut balancer = self.balancer.borrow_mut();
        balancer.set_paces(paces);
        for class in PaceClass::ALL {
            let engines = balancer.class_sizes(class);
            metrics::gauge!("pimentocart_engines_paced", "class" => class.label())
                .set(engines as f64);
        }
    }

    /// Records that the entry starts to drain.
    pub fn stop(&self) {
        self.stopped_at.set(Some(self.clock.now()));
        self.stopping.trigger();
    }

    /// Whether a call of `route` may be sent to a server now. A stopping entry ends the calls in
    /// progress before it exits, so it begins only those that end before that: by their
    /// `deadline`, or, soon after it was told to stop, as usual for their route if that is known.
    #[must_use]
    pub(crate) fn may_begin(&self, route: &Route, deadline: Instant) -> bool {
        let Some(stopped_at) = self.stopped_at.get() else {
            return true;
        };
        let now = self.clock.now();
        let cutoff = stopped_at + self.settings.cutoff_time();
        if deadline <= cutoff {
            return true;
        }
        let usual = self.durations.borrow().usual(route);
        let early = now < stopped_at + self.settings.estimating_time();
        early && usual.is_none_or(|usual| now + usual <= cutoff)
    }

    /// Whether the load balancer should send new connections here.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        let known = self.servers_loaded.get() && self.catalog.borrow().is_some();
        known && !self.stopping.is_triggered() && !self.is_congested()
    }

    /// Waits until the catalog and the servers are known, or until a timeout. A starting
    /// entry has them within a moment, and a rejected caller would take longer to retry.
    pub async fn wait_for_tables(&self) {
        let known = || self.catalog.borrow().is_some() && !self.balancer.borrow().is_empty();
        let wait = async {
            while !known() {
                self.tables.changed.notified().await;
            }
        };
        if !known() {
            // After the timeout the call continues with the tables that are there.
            let _ = tokio::time::timeout(TABLES_TIMEOUT, wait).await;
        }
    }

    /// Waits until a server of `service` is known, or until a timeout, while the table may
    /// lack running servers. A store that was restored from an old copy has all records
    /// again within a moment, and a rejected caller would take longer to retry. The wait
    /// ends before the caller's `deadline`.
    pub async fn wait_for_server(&self, service: &str, deadline: Instant) {
        let known = || {
            let now = self.clock.now();
            !self.tables.may_lack_servers(now) || self.balancer.borrow().knows_server(now, service)
        };
        if known() {
            return;
        }
        let wait = async {
            while !known() {
                self.servers_wanted.notify_one();
                // The table is checked again after a timeout as well as a change.
                let changed = self.tables.changed.notified();
                let _ = tokio::time::timeout(SERVER_WAIT_INTERVAL, changed).await;
            }
        };
        let left = deadline.saturating_duration_since(self.clock.now());
        // After the timeout the call continues with the servers that are there.
        let found = tokio::time::timeout(TABLES_TIMEOUT.min(left / 2), wait).await;
        let outcome = if found.is_ok() { "found" } else { "none" };
        metrics::counter!("pimentocart_server_waits_total", "outcome" => outcome).increment(1);
    }

    /// Waits for a change of the server table while it may lack running servers, for a call
    /// that no known server takes; returns whether there was one. The wait ends before the
    /// caller's `deadline`.
    pub(crate) async fn wait_for_missing_servers(&self, deadline: Instant) -> bool {
        let now = self.clock.now();
        if !self.tables.may_lack_servers(now) {
            return false;
        }
        let changed = self.tables.changed.notified();
        self.servers_wanted.notify_one();
        let left = deadline.saturating_duration_since(now);
        let changed = tokio::time::timeout(TABLES_TIMEOUT.min(left / 2), changed).await;
        let outcome = if changed.is_ok() { "changed" } else { "none" };
        metrics::counter!("pimentocart_server_waits_total", "outcome" => outcome).increment(1);
        changed.is_ok()
    }

    /// Takes one retry of the call with the ID `request_id` from the retry budget, if one
    /// is left.
    pub(crate) fn take_retry(&self, request_id: &str, service: &Rc<str>) -> bool {
        let now = self.clock.now();
        let mut budget = self.repeat_budget.borrow_mut();
        let left = budget.take_repeat(now, service);
        let balance = budget.balance(now, service);
        drop(budget);
        let (outcome, event) = match left {
            true => ("taken", "retry taken"),
            false => ("none_left", "retry budget exhausted"),
        };
        metrics::counter!("pimentocart_repeats_total", "outcome" => outcome).increment(1);
        info!("{event}", kv: {
            id = request_id,
            service = &**service,
            entries = balance.entries,
            credit = format!("{:.2}", balance.credit).as_str(),
            slack = format!("{:.2}", balance.slack).as_str()
        });
        left
    }

    /// Whether the entries of this availability zone share their reads of the store.
    #[must_use]
    pub fn shares_reads(&self) -> bool {
        self.zone_readers.borrow().shares_reads()
    }

    /// Number of other entries that read the store as often as this one.
    #[must_use]
    pub fn competing_readers(&self) -> usize {
        match self.shares_reads() {
            true => 0,
            false => self.roster.borrow().count().total.saturating_sub(1),
        }
    }

    /// Whether the host's link is congested, so that callers should open their next
    /// connection to another entry.
    #[must_use]
    pub fn is_congested(&self) -> bool {
        let now = self.clock.now();
        let mut link = self.link_load.borrow_mut();
        link.as_mut().is_some_and(|link| link.congested(now))
    }
}

/// The address, zone and link capacity of this entry, as sent to other entries.
fn own_entry_info(settings: &Settings) -> EntryInfo {
    EntryInfo {
        addr: settings.gossip,
        zone: zone_hash(&settings.zone),
        link_mbps: link_mbps(settings),
    }
}

/// This entry's rank in the order of entries.
pub(crate) fn own_rank(settings: &Settings) -> Rank {
    own_entry_info(settings).rank()
}

/// The number that stands for an availability zone in messages between entries.
pub(crate) fn zone_hash(zone: &str) -> u32 {
    rendezvous::hash_name(zone) as u32
}

/// Capacity of the host's link in Mbit/s, as sent to other entries; the maximum if it is
/// not set.
pub(crate) fn link_mbps(settings: &Settings) -> u32 {
    settings.link_mbps.map_or(u32::MAX, |mbps| mbps as u32)
}

/// Guard that counts a call as open until it is dropped.
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

/// Closes expired connections, drops expired crash records and reports the memory in use and
/// the age of the catalog at regular intervals, until `end`.
pub async fn sweep(state: Rc<State>, end: StopSignal) {
    while !end.is_triggered() {
        tokio::time::sleep(SWEEP_INTERVAL).await;
        state.connection_pool.remove_expired(state.clock.now());
        crashes::expire(&state, state.clock.now());
        state.memory.report();
        let version = state.catalog.borrow().as_ref().map_or(0, |c| c.version);
        state.tables.report_catalog_age(state.clock.now(), version);
    }
}
