//! Reading the platform's tables from the store.
//!
//! A reader takes one snapshot of a table and then follows its changes. While the store
//! is unavailable, the last data stays in force: the catalog never reverts, and a server
//! that is missing from the table may still be running. An entry that can ask a neighbour
//! (`neighbours`) reads only the tables of which its copy has become too old.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::{Duration, Instant};

use policy::balance::ServerRecord;
use policy::replica::{Records, Replica, Update, UpdateKind};
use policy::routes::Catalog;
use policy::suspects::CrashRecord;
use policy::versions::records::VersionRecord;
use spdlog::{info, warn};

use crate::crashes;
use crate::platform::{Changes, Source, SourceError};
use crate::state::State;
use crate::tables::{
    CATALOG_TABLE, CRASHES_TABLE, SERVERS_TABLE, VERSIONS_TABLE, apply_catalogs, apply_servers,
};
use crate::versions;

/// How long the store may hold a long-poll request while there is no new catalog. A
/// request lost with its connection delays a new catalog by this time, the time for a
/// response and [`MIN_RETRY_DELAY`]: together less than the two seconds within which a
/// catalog has to be in force. Neighbours copy from this entry and can't know either that
/// the copy is current before the store answers.
const CATALOG_WAIT: Duration = Duration::from_millis(800);

/// [`CATALOG_WAIT`] for servers. They report all the time, so an answer comes at once, and
/// a lost request should be abandoned soon.
const SERVER_WAIT: Duration = Duration::from_millis(300);

/// [`CATALOG_WAIT`] for crashes, which are rare. Entries that see one report it to the
/// others by gossip until the store has it.
const CRASHES_WAIT: Duration = Duration::from_secs(8);

/// [`CATALOG_WAIT`] for software versions, which change with releases only.
const VERSIONS_WAIT: Duration = Duration::from_secs(20);

/// Delay after the first failed request. It is short, since the store may recover at any
/// time.
const MIN_RETRY_DELAY: Duration = Duration::from_millis(150);

/// Maximum delay after failed requests. The delay doubles up to this limit, since an
/// outage of a few seconds would otherwise cost each entry dozens of calls; the known data
/// stays in force in the meantime.
const MAX_RETRY_DELAY: Duration = Duration::from_millis(600);

/// Time after the end of an outage within which a neighbour has sent the changes.
const PEER_UPDATE_WAIT: Duration = Duration::from_millis(400);

/// Interval at which the readers of tables that can wait check whether the store answers
/// requests for the catalog or the servers again; they send none until then.
const OUTAGE_CHECK_INTERVAL: Duration = Duration::from_millis(200);

/// Interval at which the age of a copy is checked.
const AGE_CHECK_INTERVAL: Duration = Duration::from_millis(200);

/// [`AGE_CHECK_INTERVAL`] while there is no copy.
const INITIAL_CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// Delay between two reads of the servers. Each server reports about every second, at its
/// own time, so reading again at once would cost one call for each report. This delay
/// batches several reports, and a leaving server is still noticed well within its limit.
const SERVER_POLL_DELAY: Duration = Duration::from_millis(800);

/// [`SERVER_POLL_DELAY`] with many entries, which share the store's capacity.
const SERVER_POLL_DELAY_MANY: Duration = Duration::from_millis(1500);

/// [`SERVER_POLL_DELAY`] while servers may be registering again after an outage. An entry
/// that has just started can call no server until it has read them.
const RECOVERY_POLL_DELAY: Duration = Duration::from_millis(150);

/// Delay after crashes were read: several entries have calls at a server and report its
/// crash at the same time.
const CRASH_POLL_DELAY: Duration = Duration::from_millis(50);

/// Number of other entries from which [`SERVER_POLL_DELAY_MANY`] applies.
const MANY_ENTRIES: usize = 8;

/// Follows the catalog, which the operators declare. It is read whatever becomes of the
/// other tables: the store can refuse or lose one of them alone.
pub async fn catalogs<S: Source<Item = Catalog>>(state: Rc<State>, source: S) {
    let mut reader = TableReader::new(CATALOG_TABLE, source);
    loop {
        let (position, age) = {
            let replica = state.tables.catalog.borrow();
            (replica.position(), replica.age(state.clock.now()))
        };
        if let Some(delay) = read_delay(&state, age) {
            tokio::time::sleep(delay).await;
            continue;
        }
        let replica = &state.tables.catalog;
        let Some(update) = reader.next_update(&state, replica, CATALOG_WAIT).await else {
            tokio::time::sleep(reader.retry_delay(&state)).await;
            continue;
        };
        let update = update.map(Rc::new);
        let changes = reader.apply(&mut state.tables.catalog.borrow_mut(), update, position);
        apply_catalogs(&state, changes);
    }
}

/// Follows the backend servers.
pub async fn servers<S: Source<Item = ServerRecord>>(state: Rc<State>, source: S) {
    let mut reader = TableReader::new(SERVERS_TABLE, source);
    loop {
        let (position, age) = {
            let replica = state.tables.servers.borrow();
            (replica.position(), replica.age(state.clock.now()))
        };
        if let Some(delay) = read_delay(&state, age) {
            tokio::time::sleep(delay).await;
            continue;
        }
        let replica = &state.tables.servers;
        let Some(mut update) = reader.next_update(&state, replica, SERVER_WAIT).await else {
            tokio::time::sleep(reader.retry_delay(&state)).await;
            continue;
        };
        if update.kind == UpdateKind::RestoredSnapshot {
            preserve_leaving(&state, &mut update.records);
        }
        let now = state.clock.now();
        let changes = reader.apply(&mut state.tables.servers.borrow_mut(), update, position);
        apply_servers(&state, now, changes);
        let recovering = !state.tables.settling_left(now).is_zero();
        let delay = poll_delay(recovering, state.competing_readers());
        tokio::select! {
            () = tokio::time::sleep(delay) => {}
            () = wait_until_wanted(&state) => {}
        }
    }
}

/// Waits until a call lacks a server, and at least [`RECOVERY_POLL_DELAY`], so that such
/// calls do not cost one read each.
async fn wait_until_wanted(state: &State) {
    tokio::time::sleep(RECOVERY_POLL_DELAY).await;
    state.servers_wanted.notified().await;
}

/// Follows the records of servers that crashed during calls.
pub async fn crashes<S: Source<Item = CrashRecord>>(state: Rc<State>, source: S) {
    let mut reader = TableReader::new(CRASHES_TABLE, source);
    loop {
        wait_for_store(&state).await;
        // A neighbour sends crashes at once, and the age of its copies is known from the
        // other tables.
        let now = state.clock.now();
        let has_peer = state
            .zone_readers
            .borrow_mut()
            .preferred_peer(now)
            .is_some();
        if has_peer || !state.discovery.borrow().is_settled(now) {
            tokio::time::sleep(AGE_CHECK_INTERVAL).await;
            continue;
        }
        let position = state.tables.crashes.borrow().position();
        let replica = &state.tables.crashes;
        let Some(update) = reader.next_update(&state, replica, CRASHES_WAIT).await else {
            tokio::time::sleep(reader.retry_delay(&state)).await;
            continue;
        };
        let snapshot = update.kind != UpdateKind::Delta;
        let changes = reader.apply(&mut state.tables.crashes.borrow_mut(), update, position);
        let pause = if changes.is_empty() {
            Duration::ZERO
        } else {
            CRASH_POLL_DELAY
        };
        crashes::apply_changes(&state, state.clock.now(), changes, snapshot);
        tokio::time::sleep(pause).await;
    }
}

/// Follows the records of software versions.
pub async fn versions<S: Source<Item = VersionRecord>>(state: Rc<State>, source: S) {
    let mut reader = TableReader::new(VERSIONS_TABLE, source);
    loop {
        wait_for_store(&state).await;
        // A neighbour sends new versions at once. One that may lack some is not relied on:
        // `versions::read_for_calls` reads from the store.
        let now = state.clock.now();
        if !crashes::reads_store(&state, now) || !state.discovery.borrow().is_settled(now) {
            tokio::time::sleep(AGE_CHECK_INTERVAL).await;
            continue;
        }
        let position = state.tables.versions.borrow().position();
        let replica = &state.tables.versions;
        let sent = state.clock.now();
        let Some(mut update) = reader.next_update(&state, replica, VERSIONS_WAIT).await else {
            tokio::time::sleep(reader.retry_delay(&state)).await;
            continue;
        };
        // A late response may have been written at any time since its request.
        update.as_of = sent;
        state.versions.store_answered();
        let kind = versions::change_kind(update.kind, position, update.position);
        let changes = reader.apply(&mut state.tables.versions.borrow_mut(), update, position);
        versions::apply_changes(&state, state.clock.now(), changes, kind);
    }
}

/// Keeps the leaving mark of servers that were known to be leaving before the store was
/// restored from a copy without it.
fn preserve_leaving(state: &State, records: &mut Records<ServerRecord>) {
    let balance = state.balancer.borrow();
    for listed in records.iter_mut().filter_map(|(_, listed)| listed.as_mut()) {
        listed.leaving |= balance.is_leaving(listed);
    }
}

/// Waits while the store is known not to answer, and then for neighbours, if there are
/// any, to send the changes.
async fn wait_for_store(state: &State) {
    let was_lost = state.tables.is_store_lost();
    while state.tables.is_store_lost() {
        // The state is checked again after a timeout as well as a notification.
        let _ = tokio::time::timeout(OUTAGE_CHECK_INTERVAL, state.store_recovered.notified()).await;
    }
    let now = state.clock.now();
    if was_lost
        && state
            .zone_readers
            .borrow_mut()
            .store_retry_delay(now)
            .is_some()
    {
        tokio::time::sleep(PEER_UPDATE_WAIT).await;
    }
}

/// How long to wait before checking again whether to read a table whose copy is `age` old;
/// `None` when it has to be read now.
fn read_delay(state: &State, age: Option<Duration>) -> Option<Duration> {
    let now = state.clock.now();
    let finder = state.discovery.borrow();
    let mut readers = state.zone_readers.borrow_mut();
    let delay = match (readers.preferred_peer(now), age) {
        (None, None) if !finder.is_settled(now) => INITIAL_CHECK_INTERVAL,
        // A neighbour sends the first copy sooner than the store would.
        (peer, None) if peer.is_some() || readers.has_fresh_peer(now, true) => {
            let delay = readers
                .initial_copy_wait()
                .checked_sub(finder.elapsed(now))?;
            delay.min(INITIAL_CHECK_INTERVAL)
        }
        (None, Some(age)) if readers.has_fresh_peer(now, false) => {
            readers.copy_age_limit().checked_sub(age)?
        }
        (None, _) | (Some(_), None) => return None,
        (Some(_), Some(age)) => readers.copy_age_limit().checked_sub(age)?,
    };
    Some(delay.clamp(Duration::from_millis(1), AGE_CHECK_INTERVAL))
}

/// The delay after a number of consecutive failures.
#[must_use]
pub fn retry_delay(failures: u32) -> Duration {
    let delay = MIN_RETRY_DELAY.saturating_mul(1 << failures.saturating_sub(1).min(8));
    delay.min(MAX_RETRY_DELAY)
}

/// The delay before servers are read again; `recovering` is set shortly after an outage of
/// the store, and `entries` is the number of other entries that read it too.
#[must_use]
pub fn poll_delay(recovering: bool, entries: usize) -> Duration {
    match (recovering, entries >= MANY_ENTRIES) {
        (true, _) => RECOVERY_POLL_DELAY,
        (false, true) => SERVER_POLL_DELAY_MANY,
        (false, false) => SERVER_POLL_DELAY,
    }
}

/// Reads a snapshot of a table, then its changes, and takes a new snapshot when the store
/// no longer has the changes.
struct TableReader<S> {
    name: &'static str,
    source: S,
    /// Whether the next read has to be a snapshot.
    needs_snapshot: bool,
    /// Whether the store was restored from an old copy since the last snapshot.
    restored: bool,
    /// Consecutive failures.
    failures: u32,
    /// Whether the store answered that it no longer has the requested position.
    position_expired: bool,
}

impl<S: Source> TableReader<S> {
    fn new(name: &'static str, source: S) -> Self {
        Self {
            name,
            source,
            needs_snapshot: false,
            restored: false,
            failures: 0,
            position_expired: false,
        }
    }

    /// The delay after a failure. It is longer for an entry with neighbours, which announce
    /// when they reach the store again. If only the requested position is gone, the store
    /// is available and a snapshot can be read soon.
    fn retry_delay(&self, state: &State) -> Duration {
        if self.position_expired {
            return MIN_RETRY_DELAY;
        }
        let peer_delay = state
            .zone_readers
            .borrow_mut()
            .store_retry_delay(state.clock.now());
        retry_delay(self.failures).max(peer_delay.unwrap_or_default())
    }

    /// Reads the changes that `replica` lacks, or a snapshot; the store may hold the
    /// request for `wait`. Returns `None` after a failure.
    async fn next_update<T: Clone + PartialEq>(
        &mut self,
        state: &State,
        replica: &RefCell<Replica<T>>,
        wait: Duration,
    ) -> Option<Update<S::Item>> {
        let from = replica.borrow().position();
        let from = from.filter(|_| !self.needs_snapshot);
        let sent = state.clock.now();
        // A request that was lost during an outage would block until its timeout. When
        // another table gets an answer again, the store has recovered, and sending the
        // request again costs one call.
        let read = tokio::select! {
            read = self.read(from, wait) => read,
            () = state.store_recovered.notified() => self.read(from, wait).await,
        };
        match read {
            Ok(changes) => {
                let kind = match from {
                    Some(_) => UpdateKind::Delta,
                    None if std::mem::take(&mut self.restored) => UpdateKind::RestoredSnapshot,
                    // A snapshot is read without a position, so the store cannot report
                    // the restore.
                    None => UpdateKind::of_snapshot(replica.borrow().position(), changes.next),
                };
                if kind == UpdateKind::RestoredSnapshot {
                    state.tables.record_restore();
                }
                self.record_success(state, from.is_none());
                Some(to_update(
                    changes,
                    kind,
                    complete_at(sent, wait, state.clock.now()),
                ))
            }
            Err(e) => {
                self.record_failure(state, &e);
                None
            }
        }
    }

    /// Applies an update to the replica, and logs whole tables.
    fn apply<T: Clone + PartialEq>(
        &self,
        replica: &mut Replica<T>,
        update: Update<T>,
        requested: Option<u64>,
    ) -> Records<T> {
        let (kind, position, count) = (update.kind, update.position, update.records.len());
        let changes = replica.apply_store_update(update, requested);
        if kind != UpdateKind::Delta {
            info!("whole table read", kv: {
                table = self.name,
                restored = kind == UpdateKind::RestoredSnapshot,
                position,
                records = count,
                changed = changes.len(),
                withheld = replica.withheld().join(",").as_str()
            });
        }
        changes
    }

    async fn read(
        &self,
        from: Option<u64>,
        wait: Duration,
    ) -> Result<Changes<S::Item>, SourceError> {
        match from {
            None => self.source.snapshot().await,
            Some(from) => self.source.changes(from, wait).await,
        }
    }

    fn record_success(&mut self, state: &State, snapshot: bool) {
        if state
            .zone_readers
            .borrow_mut()
            .preferred_peer(state.clock.now())
            .is_some()
        {
            // Neighbours with precedence may have lost the store; a report at once tells
            // them that they can ask this entry.
            state.gossip_now.notify_one();
        }
        state.tables.table_read(self.name);
        self.needs_snapshot = false;
        if self.failures == 0 {
            return;
        }
        info!("store regained", kv: { table = self.name, failures = self.failures });
        self.failures = 0;
        // Records that expired during the outage are missing only from a snapshot.
        self.needs_snapshot = !snapshot;
        if self.name == SERVERS_TABLE {
            state.tables.store_recovered(state.clock.now());
        }
        state.store_recovered.notify_waiters();
    }

    fn record_failure(&mut self, state: &State, e: &SourceError) {
        metrics::counter!("pimentocart_store_failures_total", "table" => self.name).increment(1);
        let restored = matches!(e, SourceError::Rewound { .. });
        self.restored |= restored;
        self.needs_snapshot |= restored || matches!(e, SourceError::Expired { .. });
        self.failures = self.failures.saturating_add(1);
        self.position_expired = !matches!(e, SourceError::Unavailable { .. });
        if !self.position_expired {
            state.tables.table_lost(self.name);
        }
        // Only the first of consecutive failures is logged; the metric counts all.
        if self.failures == 1 {
            let version = state.catalog.borrow().as_ref().map_or(0, |c| c.version);
            warn!("store lost", kv: { table = self.name, cause = e.to_string().as_str(), version });
        }
    }
}

fn to_update<T>(changes: Changes<T>, kind: UpdateKind, as_of: Instant) -> Update<T> {
    let record = |(key, value): (String, Option<T>)| (Rc::from(key), value);
    Update {
        records: changes.records.into_iter().map(record).collect(),
        kind,
        position: changes.next,
        as_of,
    }
}

/// The time at which an answer is likely to have been complete: when the request was sent,
/// or the end of `wait` if it took that long. An answer that was delayed is older.
fn complete_at(sent: Instant, wait: Duration, answered: Instant) -> Instant {
    let waited_fully = answered.saturating_duration_since(sent) >= wait;
    if waited_fully { sent + wait } else { sent }
}
