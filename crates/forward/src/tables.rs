//! The store's tables as this entry knows them: what changed is put to use,
//! and handed on to neighbours that ask.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::{Duration, Instant};

use policy::balance::{RecordChange, ServerRecord};
use policy::replica::{Records, Replica};
use policy::routes::Catalog;
use spdlog::info;
use tokio::sync::Notify;
use wire::tables::ChangesRequest;

use crate::state::State;

/// Servers whose entries lapsed while the store was away write them anew
/// within two seconds of its return. Those still missing then are gone.
pub(crate) const REREGISTRATION_TIME: Duration = Duration::from_secs(2);

/// A server that goes missing while the store answers has left, and may take
/// its last calls for about two seconds.
const LEAVE: Duration = Duration::from_millis(1200);

/// Entries that lapsed while the store was away may show as dropped up to so
/// long after it has come back.
const SETTLE: Duration = Duration::from_secs(3);

/// News of so many servers get a line each. A whole table of hundreds would take
/// a thin host longer to log than to use.
const LOGGED: usize = 32;

/// Copies of the tables.
#[derive(Debug, Default)]
pub struct TableReplicas {
    /// What the operators declare.
    pub catalog: RefCell<Replica<Rc<Catalog>>>,
    /// The backend servers.
    pub servers: RefCell<Replica<ServerRecord>>,
    /// Servers that have crashed under calls, each with the Unix millisecond.
    pub crashes: RefCell<Replica<u64>>,
    /// Wakes those who wait for a change of any.
    pub changed: Notify,
    /// How often the store was seen to have come back from an old copy.
    pub(crate) restore_count: Cell<u32>,
    /// Until when servers may be missing though they live.
    settling: Cell<Option<Instant>>,
}

impl TableReplicas {
    /// Notes that the store has come back.
    pub fn store_recovered(&self, now: Instant) {
        self.extend_settling(now, SETTLE);
    }

    /// Notes that it came back a while ago and `left` remains of the time in
    /// which servers may be missing.
    pub(crate) fn extend_settling(&self, now: Instant, left: Duration) {
        let until = Some(now + left);
        self.settling.set(self.settling.get().max(until));
    }

    /// How old the older of the copies that every call needs is; none while
    /// one is missing.
    #[must_use]
    pub fn age(&self, now: Instant) -> Option<Duration> {
        let catalog = self.catalog.borrow().age(now)?;
        Some(catalog.max(self.servers.borrow().age(now)?))
    }

    /// Whether there is news for one who asks.
    pub(crate) fn has_changes_since(&self, ask: &ChangesRequest) -> bool {
        let catalog = self.catalog.borrow().has_changes_since(ask.catalog);
        let servers = self.servers.borrow().has_changes_since(ask.servers);
        catalog || servers || self.crashes.borrow().has_changes_since(ask.crashes)
    }

    /// For how much longer servers may be missing though they live.
    #[must_use]
    pub fn settling_left(&self, now: Instant) -> Duration {
        let until = self.settling.get();
        until.map_or(Duration::ZERO, |at| at.saturating_duration_since(now))
    }
}

/// Puts news of the catalog to use.
pub(crate) fn apply_catalogs(state: &State, news: Records<Rc<Catalog>>) {
    if !news.is_empty() {
        state.tables.changed.notify_waiters();
    }
    for catalog in news.into_iter().filter_map(|(_, catalog)| catalog) {
        put(state, catalog);
    }
}

/// Puts a catalog in force unless a newer one is.
fn put(state: &State, catalog: Rc<Catalog>) {
    let held = state.catalog.borrow().as_ref().map(|c| c.version);
    if held.is_some_and(|v| v >= catalog.version) {
        return;
    }
    info!("catalog in force", kv: {
        version = catalog.version,
        before = held.unwrap_or(0),
        routes = catalog.route_count()
    });
    metrics::gauge!("pimentocart_catalog_version").set(catalog.version as f64);
    *state.catalog.borrow_mut() = Some(catalog);
}

/// Puts news of the servers to use.
pub(crate) fn apply_servers(state: &State, now: Instant, news: Records<ServerRecord>) {
    if !news.is_empty() {
        state.tables.changed.notify_waiters();
    }
    let away = !state.tables.settling_left(now).is_zero();
    let until = now + if away { REREGISTRATION_TIME } else { LEAVE };
    let many = news.len() > LOGGED;
    if many {
        info!("servers listed", kv: { count = news.len() });
    }
    for (id, listed) in news {
        match listed {
            Some(listed) => list(state, now, listed, !many),
            None => miss(state, now, &id, until),
        }
    }
    forget_missing(state, now);
    state.listed.set(true);
}

/// Forgets the servers that have been missing for long.
pub(crate) fn forget_missing(state: &State, now: Instant) {
    for id in state
        .balance
        .borrow_mut()
        .forget_missing(now, REREGISTRATION_TIME)
    {
        state.pool.forget(&id);
        info!("server forgotten", kv: { server = &*id });
    }
}

fn list(state: &State, now: Instant, listed: ServerRecord, log: bool) {
    let (id, leaving) = (Rc::clone(&listed.id), listed.leaving);
    let (addr, zone, born) = (listed.addr, Rc::clone(&listed.zone), listed.started_ms);
    let change = state.balance.borrow_mut().upsert(now, listed);
    if change == RecordChange::Unchanged {
        return;
    }
    // Connections to its earlier life lead nowhere any more.
    if leaving || change == RecordChange::Restarted {
        state.pool.forget(&id);
    }
    if !log {
        return;
    }
    info!("server listed", kv: {
        server = &*id,
        addr = addr.to_string().as_str(),
        zone = &*zone,
        leaving,
        born = born.unwrap_or(0),
        restarted = change == RecordChange::Restarted
    });
}

fn miss(state: &State, now: Instant, id: &str, until: Instant) {
    if state.balance.borrow_mut().mark_missing(now, id, until) {
        info!("server missing", kv: { server = id });
    }
}
