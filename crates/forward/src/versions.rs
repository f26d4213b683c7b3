//! Keeps a record of each service's software versions in the platform's store, where it
//! outlasts all entries, so that an entry that has just started does not take the version
//! that it finds for the only one that there was. `policy::versions::records` decides what
//! is written. See docs/design/stream-versions.md.

use std::cell::{Cell, RefCell};
use std::collections::HashSet;
use std::rc::Rc;
use std::time::{Duration, Instant};

use base::stop::StopSignal;
use policy::duty::WriteOutcome;
use policy::replica::{OFFSET_BITS, Records, Update, UpdateKind};
use policy::versions::records::{
    DueWrites, RecordedVersions, VersionKey, VersionRecord, VersionState,
};
use rand::RngExt;
use spdlog::{info, warn};
use tokio::sync::Notify;

use crate::crashes;
use crate::follow::retry_delay;
use crate::platform::{Source, SourceError, VersionTable};
use crate::state::State;
use crate::tables::SETTLING_TIME;
use crate::wait::Wait;

/// Longest wait of a stream's first event for the record of its version.
const RECORD_TIMEOUT: Duration = Duration::from_millis(400);

/// Time after a failed read or write within which streams do not wait for records.
const FAILURE_TTL: Duration = Duration::from_secs(2);

/// Maximum number of responses that are read at once.
const MAX_RESPONSES: usize = 64;

/// Longest wait of a call for a read of the records, besides [`MAX_READ_DELAY`]. A caller
/// that is refused may ask another entry.
const READ_TIMEOUT: Duration = Duration::from_millis(400);

/// Shortest delay between two reads for calls. Calls that arrive meanwhile share the next.
const MIN_READ_DELAY: Duration = Duration::from_millis(50);

/// Longest such delay.
const MAX_READ_DELAY: Duration = Duration::from_secs(1);

/// Such a delay for each known entry: after the loss of all entries, all of them read.
const READ_DELAY_PER_ENTRY: Duration = Duration::from_micros(700);

/// Delay for each known entry, up to [`MAX_WRITE_DELAY`], within which a new version is
/// recorded. The first entry that records it spares the others the write.
const WRITE_DELAY_PER_ENTRY: Duration = Duration::from_micros(200);

/// Longest such delay of an entry that reads the store.
const MAX_WRITE_DELAY: Duration = Duration::from_millis(150);

/// Additional delay of an entry that copies the tables from a neighbour, which learns of a
/// new version first and records it.
const COPY_WRITE_DELAY: Duration = Duration::from_millis(150);

/// Delay for each known entry within which the end of a version is recorded.
const END_DELAY_PER_ENTRY: Duration = Duration::from_millis(20);

/// Interval at which the writer checks whether the store answers again.
const OUTAGE_CHECK_INTERVAL: Duration = Duration::from_millis(200);

/// Interval at which the writer checks which versions have ended.
const CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// The recorded versions, as this entry knows them.
#[derive(Debug)]
pub struct VersionTracker {
    recorded: RefCell<RecordedVersions>,
    /// When the entry started.
    started_at: Instant,
    /// When the records were first read.
    first_read: Cell<Option<Instant>>,
    /// When the store was last found to be restored from an old copy.
    restored_at: Cell<Option<Instant>>,
    /// Until when the records may lack versions that a restored store has lost, and that this
    /// entry has not read before.
    partial_until: Cell<Option<Instant>>,
    /// When a read or write failed last, unless the store has answered since.
    failed_at: Cell<Option<Instant>>,
    /// Wakes the writer.
    write_needed: Notify,
    /// Wakes the task that reads the records for calls.
    read_needed: Notify,
    /// Notified when records were read or written, or could not be.
    changed: Notify,
}

impl VersionTracker {
    /// Creates the tracker of an entry that starts.
    #[must_use]
    pub fn new(started_at: Instant) -> Self {
        Self {
            recorded: RefCell::default(),
            started_at,
            first_read: Cell::new(None),
            restored_at: Cell::new(None),
            partial_until: Cell::new(None),
            failed_at: Cell::new(None),
            write_needed: Notify::new(),
            read_needed: Notify::new(),
            changed: Notify::new(),
        }
    }

    /// Hashes of the recorded versions of a service.
    #[must_use]
    pub fn of_service(&self, service: &str) -> Vec<u64> {
        self.recorded.borrow().of_service(service)
    }

    /// Number of recorded versions.
    #[must_use]
    pub fn count(&self) -> usize {
        self.recorded.borrow().len()
    }

    /// Requests a read of the records.
    pub(crate) fn request_read(&self) {
        self.read_needed.notify_one();
    }

    /// Records that the store has answered.
    pub(crate) fn store_answered(&self) {
        self.failed_at.set(None);
    }

    /// Whether a read or write failed a moment ago. Streams do not wait for records then.
    fn is_failing(&self, now: Instant) -> bool {
        self.failed_at
            .get()
            .is_some_and(|at| now < at + FAILURE_TTL)
    }

    /// Wakes the writer, after the server table has changed.
    pub(crate) fn servers_changed(&self) {
        self.write_needed.notify_one();
    }

    /// Records that a whole table was read, which ends at `position`.
    ///
    /// A table proves nothing of the time before a restore until servers have registered and
    /// entries have recorded their versions again. An entry that read the records for some time
    /// before it has kept them.
    fn table_read(&self, now: Instant, position: u64, restored: bool) {
        let settled_at = now + SETTLING_TIME;
        if restored {
            self.restored_at.set(Some(now));
        }
        let first = self.first_read.get().unwrap_or(now);
        self.first_read.set(Some(first));
        let started = now < first + SETTLING_TIME || self.may_lack_versions(now);
        if started && position >> OFFSET_BITS > 0 && (restored || first == now) {
            self.partial_until.set(Some(settled_at));
        }
    }

    /// Whether the records may lack versions that a restored store has lost.
    fn may_lack_versions(&self, now: Instant) -> bool {
        self.partial_until.get().is_some_and(|until| now < until)
    }

    /// Whether the store was found to be restored a moment ago.
    fn is_restored(&self, now: Instant) -> bool {
        let restored_at = self.restored_at.get();
        restored_at.is_some_and(|at| now < at + SETTLING_TIME)
    }

    fn is_active(&self, key: VersionKey) -> bool {
        self.recorded.borrow().is_active(key)
    }
}

/// A time at which the known records were complete.
fn read_at(state: &State) -> Option<Instant> {
    state.tables.versions.borrow().fresh_at()
}

/// Whether the records have been read since this entry started.
pub(crate) fn is_settled(state: &State) -> bool {
    read_at(state).is_some_and(|at| at >= state.versions.started_at)
}

/// Whether the records that this entry has read show all versions, for entries that ask it.
pub(crate) fn is_complete(state: &State) -> bool {
    is_settled(state) && !state.versions.may_lack_versions(state.clock.now())
}

/// Whether the records were read at `since` or later, and show all versions before that.
fn is_proven(state: &State, since: Instant) -> bool {
    let (own, now) = (&state.versions, state.clock.now());
    let restored = own.may_lack_versions(now) || own.is_restored(now);
    !restored && read_at(state).is_some_and(|at| at >= since)
}

/// Waits until the records are known as of `since` or later; returns whether they are. The
/// wait ends before the caller's `deadline`.
pub(crate) async fn read_since(state: &State, since: Instant, deadline: Instant) -> bool {
    let mut wait = Wait::new(READ_TIMEOUT + read_delay(state), deadline);
    state.versions.request_read();
    loop {
        let changed = state.versions.changed.notified();
        if is_proven(state, since) {
            return true;
        }
        if wait.is_over(state.clock.now()) {
            return false;
        }
        if wait.step(&*state.clock, changed).await {
            state.versions.request_read();
        }
    }
}

/// Waits until a version is recorded, before the first event of one of its streams is
/// passed on. While the store cannot be written, streams go on without a record. The wait
/// ends before the caller's `deadline`.
pub(crate) async fn wait_for_record(
    state: &State,
    service: &str,
    version: &str,
    deadline: Instant,
) {
    let key = VersionKey::new(service, version);
    let own = &state.versions;
    if own.is_active(key) {
        return;
    }
    let mut wait = Wait::new(RECORD_TIMEOUT, deadline);
    own.write_needed.notify_one();
    let recorded = loop {
        let changed = own.changed.notified();
        if own.is_active(key) {
            break true;
        }
        let now = state.clock.now();
        if own.is_failing(now) || wait.is_over(now) {
            break false;
        }
        if read_at(state).is_none() {
            own.request_read();
        }
        if wait.step(&*state.clock, changed).await {
            own.write_needed.notify_one();
        }
    };
    let outcome = if recorded { "recorded" } else { "unrecorded" };
    metrics::counter!("pimentocart_version_waits_total", "outcome" => outcome).increment(1);
    if !recorded {
        info!("stream of unrecorded version passed on", kv: { service, version });
    }
}

/// Applies changes of the records, which come from an update of the given kind.
///
/// A table that was restored from an old copy proves nothing of the time before: records that
/// it lacks stay in force and are written again.
pub fn apply_changes(
    state: &State,
    now: Instant,
    changes: Records<VersionRecord>,
    kind: UpdateKind,
) {
    state.versions.changed.notify_waiters();
    if changes.is_empty() && kind == UpdateKind::Delta {
        return;
    }
    state.tables.changed.notify_waiters();
    let mut recorded = state.versions.recorded.borrow_mut();
    for (key, record) in changes {
        if record.is_none() && kind == UpdateKind::RestoredSnapshot {
            continue;
        }
        match key.parse::<VersionKey>() {
            Ok(key) => recorded.apply(now, key, record),
            // A deleted record that was invalid is of no concern.
            Err(_) if record.is_none() => {}
            Err(cause) => {
                warn!("invalid version record skipped", kv: { key = &*key, cause = cause.as_str() });
            }
        }
    }
    if kind != UpdateKind::Delta {
        let position = state.tables.versions.borrow().position();
        let restored = kind == UpdateKind::RestoredSnapshot;
        state
            .versions
            .table_read(now, position.unwrap_or(0), restored);
        let (_, records) = state
            .tables
            .versions
            .borrow()
            .changes_since(None)
            .unwrap_or((UpdateKind::Snapshot, Vec::new()));
        let keys = records.iter().filter_map(|(key, _)| key.parse().ok());
        let keys: HashSet<VersionKey> = keys.collect();
        if restored {
            let lost = recorded.mark_lost(|key| keys.contains(key));
            info!("version records lost with a restored table", kv: { lost });
        } else {
            recorded.retain(|key| keys.contains(key));
        }
    }
    metrics::gauge!("pimentocart_versions_recorded").set(recorded.len() as f64);
    state.versions.write_needed.notify_one();
}

/// Reads the records when a call needs them, until `end`.
pub async fn read_for_calls<S: Source<Item = VersionRecord>>(
    state: Rc<State>,
    source: S,
    end: StopSignal,
) {
    let mut failures = 0;
    while !end.is_triggered() {
        let needed = state.versions.read_needed.notified();
        if tokio::time::timeout(CHECK_INTERVAL, needed).await.is_err() {
            continue;
        }
        match read(&state, &source).await {
            Ok(()) => {
                failures = 0;
                state.versions.store_answered();
            }
            Err(e) => {
                failures += 1;
                state.versions.failed_at.set(Some(state.clock.now()));
                if failures == 1 {
                    warn!("reading recorded versions failed", kv: { cause = e.to_string().as_str() });
                }
                state.versions.changed.notify_waiters();
            }
        }
        metrics::counter!("pimentocart_version_reads_total").increment(1);
        let delay = match failures {
            0 => read_delay(&state),
            _ => retry_delay(failures).max(read_delay(&state)),
        };
        tokio::time::sleep(delay).await;
    }
}

/// Reads the changes since the known records, or all records.
async fn read<S: Source<Item = VersionRecord>>(
    state: &State,
    source: &S,
) -> Result<(), SourceError> {
    let as_of = state.clock.now();
    let position = state.tables.versions.borrow().position();
    let read = match position {
        Some(from) => source.changes(from, Duration::ZERO).await,
        None => source.snapshot().await,
    };
    let (mut changes, kind) = match read {
        Ok(changes) if position.is_some() => (changes, UpdateKind::Delta),
        Ok(changes) => (changes, UpdateKind::Snapshot),
        Err(SourceError::Expired { .. } | SourceError::Rewound { .. }) => {
            let changes = source.snapshot().await?;
            let kind = UpdateKind::of_snapshot(position, changes.next);
            (changes, kind)
        }
        Err(e) => return Err(e),
    };
    // A response may hold a part of the changes only. One that has none shows the end.
    let mut more = true;
    for _ in 0..MAX_RESPONSES {
        let next = source.changes(changes.next, Duration::ZERO).await?;
        more = next.next != changes.next;
        changes.records.extend(next.records);
        changes.next = next.next;
        if !more {
            break;
        }
    }
    if more {
        return Err(SourceError::Unavailable {
            step: "read-versions",
            peer: state.settings.store.to_string(),
            cause: "no end of the changes".to_owned(),
        });
    }
    let records = changes.records.into_iter();
    let update = Update {
        records: records.map(|(key, r)| (Rc::from(key), r)).collect(),
        kind,
        position: changes.next,
        as_of,
    };
    let change = change_kind(kind, position, update.position);
    let snapshot = kind != UpdateKind::Delta;
    let mut replica = state.tables.versions.borrow_mut();
    let changes = replica.apply_store_update(update, position.filter(|_| snapshot));
    drop(replica);
    apply_changes(state, state.clock.now(), changes, change);
    Ok(())
}

/// The kind of an update for [`apply_changes`]: a whole table that ends at `next`, before the
/// position `known`, is of a store that was set up anew, and may lack records as well.
pub(crate) fn change_kind(kind: UpdateKind, known: Option<u64>, next: u64) -> UpdateKind {
    match kind {
        UpdateKind::Snapshot if known.is_some_and(|known| next < known) => {
            UpdateKind::RestoredSnapshot
        }
        _ => kind,
    }
}

/// Delay between two reads for calls.
fn read_delay(state: &State) -> Duration {
    let delay = READ_DELAY_PER_ENTRY.saturating_mul(entry_count(state));
    delay.clamp(MIN_READ_DELAY, MAX_READ_DELAY)
}

fn entry_count(state: &State) -> u32 {
    u32::try_from(state.roster.borrow().count().total).unwrap_or(u32::MAX)
}

/// Records in the store which versions have servers, until `end`.
pub async fn write_to_store<T: VersionTable>(state: Rc<State>, table: T, end: StopSignal) {
    let mut failures = 0;
    let mut end_at: Option<Instant> = None;
    while !end.is_triggered() {
        if !due_writes(&state).missing.is_empty() {
            tokio::time::sleep(write_delay(&state)).await;
            let missing = due_writes(&state).missing;
            if !missing.is_empty() {
                failures = write_missing(&state, &table, &missing, failures).await;
            }
            if failures > 0 {
                wait_to_retry(&state, failures).await;
            }
            continue;
        }
        failures = 0;
        let now = state.clock.now();
        match (due_writes(&state).ended, end_at) {
            (None, _) => end_at = None,
            (Some(_), None) => {
                let longest = END_DELAY_PER_ENTRY.saturating_mul(entry_count(&state));
                end_at = Some(now + longest.mul_f64(rand::rng().random()));
            }
            (Some((key, record)), Some(at)) if now >= at => {
                write_ended(&state, &table, key, record).await;
                end_at = None;
            }
            (Some(_), Some(_)) => {}
        }
        // The versions are checked again after a timeout as well as a notification.
        let needed = state.versions.write_needed.notified();
        let _ = tokio::time::timeout(CHECK_INTERVAL, needed).await;
    }
}

/// Waits before a failed write is repeated: until the store answers again, if it is away.
async fn wait_to_retry(state: &State, failures: u32) {
    let per_entry = END_DELAY_PER_ENTRY.saturating_mul(entry_count(state));
    tokio::time::sleep(retry_delay(failures).max(per_entry)).await;
    while state.tables.is_store_lost() && !state.stopping.is_triggered() {
        tokio::time::sleep(OUTAGE_CHECK_INTERVAL).await;
    }
}

/// The writes that the store lacks: none before its records are known.
fn due_writes(state: &State) -> DueWrites {
    let now = state.clock.now();
    let mut recorded = state.versions.recorded.borrow_mut();
    if read_at(state).is_none() {
        return DueWrites::default();
    }
    let balancer = state.balancer.borrow();
    let in_touch = state.servers_loaded.get()
        && !state.tables.are_servers_lost()
        && !state.tables.may_lack_servers(now)
        && crashes::reads_store(state, now);
    recorded.due_writes(now, &balancer.known_versions(now), in_touch)
}

/// Delay before a new version is recorded.
fn write_delay(state: &State) -> Duration {
    let longest = WRITE_DELAY_PER_ENTRY.saturating_mul(entry_count(state));
    let delay = longest.min(MAX_WRITE_DELAY).mul_f64(rand::rng().random());
    match crashes::reads_store(state, state.clock.now()) {
        true => delay,
        false => delay + COPY_WRITE_DELAY,
    }
}

/// Writes records that the store lacks; returns the number of consecutive failures.
async fn write_missing<T: VersionTable>(
    state: &State,
    table: &T,
    records: &[(VersionKey, VersionRecord)],
    failures: u32,
) -> u32 {
    let outcome = table.write(records).await;
    let now = state.clock.now();
    let failures = match outcome {
        Ok(()) => {
            let mut recorded = state.versions.recorded.borrow_mut();
            for (key, record) in records {
                recorded.apply(now, *key, Some(record.clone()));
                log_written(*key, Some(record));
            }
            0
        }
        Err(e) => {
            if failures == 0 {
                warn!("recording versions failed; retrying", kv: {
                    count = records.len(), cause = e.to_string().as_str()
                });
            }
            failures + 1
        }
    };
    state.versions.failed_at.set((failures > 0).then_some(now));
    state.versions.changed.notify_waiters();
    failures
}

/// Records that a version has ended, or deletes its record, unless the table has changes
/// that this entry has not read: the version may have servers again.
async fn write_ended<T: VersionTable>(
    state: &State,
    table: &T,
    key: VersionKey,
    record: Option<VersionRecord>,
) {
    let Some(at) = state.tables.versions.borrow().position() else {
        return;
    };
    if let WriteOutcome::Stored(_) = table.replace(at, key, record.as_ref()).await {
        log_written(key, record.as_ref());
        let mut recorded = state.versions.recorded.borrow_mut();
        recorded.apply(state.clock.now(), key, record);
    }
}

fn log_written(key: VersionKey, record: Option<&VersionRecord>) {
    let outcome = match record.map(|r| r.state) {
        Some(VersionState::Active) => "active",
        Some(VersionState::Ended) => "ended",
        None => "deleted",
    };
    metrics::counter!("pimentocart_version_writes_total", "state" => outcome).increment(1);
    info!("version recorded", kv: {
        key = key.to_string().as_str(),
        service = record.map_or("-", |r| r.service.as_str()),
        version = record.map_or("-", |r| r.version.as_str()),
        state = outcome
    });
}
