//! This entry's replicas of the store's tables. Changes are applied to its state, and
//! passed on to the neighbours that poll it.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::{Duration, Instant};

use policy::balance::{RecordChange, ServerRecord};
use policy::replica::{Records, Replica};
use policy::routes::Catalog;
use policy::suspects::CrashRecord;
use policy::versions::records::VersionRecord;
use spdlog::{info, warn};
use tokio::sync::Notify;
use wire::tables::ChangesRequest;

use crate::crashes;
use crate::relay::millis;
use crate::state::State;

/// Servers whose records expired during an outage of the store register again within two
/// seconds of its recovery. Those that are still missing then are gone.
pub(crate) const REREGISTRATION_TIME: Duration = Duration::from_secs(2);

/// A server that goes missing while the store is available has left, and may finish its
/// last calls for about two seconds.
const DEPARTURE_TIME: Duration = Duration::from_millis(1200);

/// Time after a recovery of the store during which records that expired in the outage may
/// be reported as deleted.
pub(crate) const SETTLING_TIME: Duration = Duration::from_secs(3);

/// Names of the tables, in log lines and metrics.
pub(crate) const CATALOG_TABLE: &str = "catalog";
pub(crate) const SERVERS_TABLE: &str = "servers";
pub(crate) const CRASHES_TABLE: &str = "crashes";
pub(crate) const VERSIONS_TABLE: &str = "versions";

/// Age from which a copy of the catalog is reported as out of date.
const REPORTED_AGE: Duration = Duration::from_secs(1);

/// Age up to which a copy of the catalog shows that a route or an API key does not exist. It
/// is less than the two seconds within which a new catalog has to be in force.
const MAX_DENIAL_AGE: Duration = Duration::from_millis(1500);

/// Maximum number of changed servers that get a log line each. On a small host, logging a
/// table of hundreds of servers would take longer than applying it.
const MAX_LOGGED_SERVERS: usize = 32;

/// The replicas of the tables.
#[derive(Debug, Default)]
pub struct TableReplicas {
    /// The catalog, which the operators declare.
    pub catalog: RefCell<Replica<Rc<Catalog>>>,
    /// The backend servers.
    pub servers: RefCell<Replica<ServerRecord>>,
    /// Servers that crashed during calls, and parts of prompts that are known to be sound.
    pub crashes: RefCell<Replica<CrashRecord>>,
    /// The software versions that each service has or recently had.
    pub versions: RefCell<Replica<VersionRecord>>,
    /// Notified when any table has changed.
    pub changed: Notify,
    /// Number of times that the store was found to be restored from an old copy.
    pub(crate) restore_count: Cell<u32>,
    /// Servers may be missing until this time although they are running.
    settling_until: Cell<Option<Instant>>,
    /// When the servers were first read.
    servers_read_at: Cell<Option<Instant>>,
    /// Whether the last read of the catalog, and of the servers, got no answer.
    catalog_lost: Cell<bool>,
    servers_lost: Cell<bool>,
    /// Whether the catalog was reported as out of date.
    reported_old: Cell<bool>,
}

impl TableReplicas {
    /// Whether the store is known not to answer: the reads of both tables that every call
    /// needs have failed. The store may refuse or lose one of them alone.
    #[must_use]
    pub fn is_store_lost(&self) -> bool {
        self.catalog_lost.get() && self.servers_lost.get()
    }

    /// Whether the last read of the servers got no answer.
    #[must_use]
    pub fn are_servers_lost(&self) -> bool {
        self.servers_lost.get()
    }

    /// Records that a neighbour has sent recent copies of both tables.
    pub(crate) fn tables_copied(&self) {
        self.catalog_lost.set(false);
        self.servers_lost.set(false);
    }

    /// Records that a read of a table got no answer.
    pub(crate) fn table_lost(&self, table: &str) {
        if let Some(lost) = self.lost_mark(table) {
            lost.set(true);
        }
    }

    /// Records that a table was read.
    pub(crate) fn table_read(&self, table: &str) {
        if let Some(lost) = self.lost_mark(table) {
            lost.set(false);
        }
    }

    fn lost_mark(&self, table: &str) -> Option<&Cell<bool>> {
        match table {
            CATALOG_TABLE => Some(&self.catalog_lost),
            SERVERS_TABLE => Some(&self.servers_lost),
            _ => None,
        }
    }

    /// Whether the copy of the catalog is recent enough to tell that something does not
    /// exist.
    pub(crate) fn shows_absence(&self, now: Instant) -> bool {
        let age = self.catalog.borrow().age(now);
        age.is_none_or(|age| age <= MAX_DENIAL_AGE)
    }

    /// Reports the age of the catalog as a metric, and logs when it becomes out of date and
    /// when it is up to date again.
    pub(crate) fn report_catalog_age(&self, now: Instant, version: u64) {
        let Some(age) = self.catalog.borrow().age(now) else {
            return;
        };
        metrics::gauge!("pimentocart_catalog_age_seconds").set(age.as_secs_f64());
        let is_old = age > REPORTED_AGE;
        if self.reported_old.replace(is_old) == is_old {
            return;
        }
        let age_ms = millis(age);
        match is_old {
            true => warn!("catalog may be out of date", kv: { version, age_ms }),
            false => info!("catalog is up to date again", kv: { version, age_ms }),
        }
    }

    /// Records that the store is available again after an outage.
    pub fn store_recovered(&self, now: Instant) {
        self.extend_settling(now, SETTLING_TIME);
    }

    /// Records that the store was found to be restored from an old copy.
    pub(crate) fn record_restore(&self) {
        self.restore_count.set(self.restore_count.get() + 1);
    }

    /// Extends the time during which servers may be missing although they are running to at
    /// least `duration` from now.
    pub fn extend_settling(&self, now: Instant, duration: Duration) {
        let settling_until = Some(now + duration);
        self.settling_until
            .set(self.settling_until.get().max(settling_until));
    }

    /// The age of the older one of the two tables that every call needs, the catalog and
    /// the servers; `None` while one is missing.
    #[must_use]
    pub fn age(&self, now: Instant) -> Option<Duration> {
        let catalog = self.catalog.borrow().age(now)?;
        Some(catalog.max(self.servers.borrow().age(now)?))
    }

    /// Whether there are changes after the positions in `request`.
    pub(crate) fn has_changes_since(&self, request: &ChangesRequest) -> bool {
        let catalog = self.catalog.borrow().has_changes_since(request.catalog);
        let servers = self.servers.borrow().has_changes_since(request.servers);
        let crashes = self.crashes.borrow().has_changes_since(request.crashes);
        let versions = self.versions.borrow().has_changes_since(request.versions);
        catalog || servers || crashes || versions
    }

    /// Records that the servers were read.
    pub(crate) fn servers_read(&self, now: Instant) {
        let first = self.servers_read_at.get().unwrap_or(now);
        self.servers_read_at.set(Some(first));
    }

    /// Whether the table may lack running servers: shortly after a recovery of the store,
    /// and after the first read, since the store may have been restored just before it.
    #[must_use]
    pub fn may_lack_servers(&self, now: Instant) -> bool {
        let read_at = self.servers_read_at.get();
        let recently_started = read_at.is_some_and(|at| now < at + SETTLING_TIME);
        recently_started || !self.settling_left(now).is_zero()
    }

    /// Remaining time during which servers may be missing although they are running.
    #[must_use]
    pub fn settling_left(&self, now: Instant) -> Duration {
        let settling_until = self.settling_until.get();
        settling_until.map_or(Duration::ZERO, |at| at.saturating_duration_since(now))
    }
}

/// Applies changes of the catalog.
pub(crate) fn apply_catalogs(state: &State, changes: Records<Rc<Catalog>>) {
    if !changes.is_empty() {
        state.tables.changed.notify_waiters();
    }
    for catalog in changes.into_iter().filter_map(|(_, catalog)| catalog) {
        activate(state, catalog);
    }
}

/// Puts a catalog in force unless the current one is as new.
fn activate(state: &State, catalog: Rc<Catalog>) {
    let current = state.catalog.borrow().as_ref().map(|c| c.version);
    if current.is_some_and(|v| v >= catalog.version) {
        return;
    }
    info!("catalog in force", kv: {
        version = catalog.version,
        before = current.unwrap_or(0),
        routes = catalog.route_count()
    });
    metrics::gauge!("pimentocart_catalog_version").set(catalog.version as f64);
    *state.catalog.borrow_mut() = Some(catalog);
}

/// Applies changes of the servers.
pub(crate) fn apply_servers(state: &Rc<State>, now: Instant, changes: Records<ServerRecord>) {
    if !changes.is_empty() {
        state.tables.changed.notify_waiters();
    }
    let recovering = !state.tables.settling_left(now).is_zero();
    let usable_until = now
        + if recovering {
            REREGISTRATION_TIME
        } else {
            DEPARTURE_TIME
        };
    let many = changes.len() > MAX_LOGGED_SERVERS;
    if many {
        info!("servers listed", kv: { count = changes.len() });
    }
    for (id, record) in changes {
        match record {
            Some(record) => record_server(state, now, record, !many),
            None => mark_missing(state, now, &id, usable_until),
        }
    }
    let earlier = state.balancer.borrow_mut().accept_earlier_starts(now);
    for record in earlier {
        warn!("server has an earlier start than before", kv: {
            server = &*record.id, born = record.started_ms.unwrap_or(0)
        });
        record_server(state, now, record, true);
    }
    forget_missing(state, now);
    state.tables.servers_read(now);
    state.servers_loaded.set(true);
    state.versions.servers_changed();
}

/// Drops the servers that have been missing for longer than [`REREGISTRATION_TIME`].
pub(crate) fn forget_missing(state: &State, now: Instant) {
    for id in state
        .balancer
        .borrow_mut()
        .forget_missing(now, REREGISTRATION_TIME)
    {
        state.connection_pool.close_idle(&id);
        info!("server forgotten", kv: { server = &*id });
    }
}

fn record_server(state: &Rc<State>, now: Instant, record: ServerRecord, log: bool) {
    let (id, leaving) = (Rc::clone(&record.id), record.leaving);
    let (addr, zone, started_ms) = (record.addr, Rc::clone(&record.zone), record.started_ms);
    let version = Rc::clone(&record.version);
    let change = state.balancer.borrow_mut().upsert(now, record);
    if change == RecordChange::Unchanged {
        return;
    }
    if leaving {
        state.moves.server_leaves(now, &id);
    }
    // Connections to its previous incarnation are dead.
    if leaving || change == RecordChange::Restarted {
        state.connection_pool.close_idle(&id);
    }
    if change == RecordChange::Restarted {
        crashes::server_gone(state, &id);
    }
    if !log {
        return;
    }
    info!("server listed", kv: {
        server = &*id,
        addr = addr.to_string().as_str(),
        zone = &*zone,
        version = &*version,
        leaving,
        born = started_ms.unwrap_or(0),
        restarted = change == RecordChange::Restarted
    });
}

fn mark_missing(state: &Rc<State>, now: Instant, id: &str, usable_until: Instant) {
    if state
        .balancer
        .borrow_mut()
        .mark_missing(now, id, usable_until)
    {
        info!("server missing", kv: { server = id });
        crashes::server_gone(state, id);
    }
}
