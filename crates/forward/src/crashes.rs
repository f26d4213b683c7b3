//! Backend servers that crash, and the calls that they were running at the time.
//!
//! When the connection to a server breaks, the entry connects again to find out whether
//! the server has crashed. A crash counts against each call that the server was running,
//! and is shared with the other entries through the store. A call during which several
//! servers have crashed is refused from then on; `policy::suspects` decides when. See
//! docs/DECISIONS/0607-crashing-requests.md.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, HashMap};
use std::io;
use std::rc::Rc;
use std::time::{Duration, Instant};

use base::stop::StopSignal;
use policy::balance::ServerRecord;
use policy::rendezvous;
use policy::replica::Records;
use policy::suspects::{CRASH_TTL, Crash, CrashSuspects, Fingerprint};
use spdlog::{info, warn};
use tokio::sync::Notify;
use wire::gossip;

use crate::follow::retry_delay;
use crate::platform;
use crate::pool::{Connection, ConnectionPool};
use crate::relay::millis;
use crate::state::State;

/// Maximum number of connection attempts to find out whether a server has crashed.
const MAX_CONNECT_ATTEMPTS: usize = 3;

/// Maximum number of crashes that wait to be written to the store. During a long outage of
/// the store, further ones are known to this entry only.
const MAX_PENDING_WRITES: usize = 1 << 10;

/// Maximum number of crashes in one write.
const MAX_BATCH: usize = 256;

/// Maximum number of crashes in one gossip datagram; they are sent in rotation.
const MAX_DATAGRAM_CRASHES: usize = 16;

/// Delay between two writes for each known entry: when all servers of a zone crash, all
/// entries have crashes to write at the same time.
const WRITE_DELAY_PER_ENTRY: Duration = Duration::from_millis(20);

/// Interval at which the idle writer checks whether the entry stops.
const STOP_CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// A store that was restored from a copy lacks the writes of the last seconds. A crash that
/// is missing and was seen within this time is written again; an older one was deleted on
/// purpose.
const REWRITE_WINDOW: Duration = Duration::from_secs(60);

/// Age at which a crash in the store is deleted as left behind by an entry that has ended.
/// The margin over [`CRASH_TTL`] allows for hosts whose clocks differ.
const ORPHAN_AGE: Duration = CRASH_TTL.saturating_mul(2);

/// The servers known to have crashed during calls.
#[derive(Debug, Default)]
pub struct CrashTracker {
    suspects: RefCell<CrashSuspects>,
    /// Calls whose connection broke, by server, until the cause is known.
    broken_calls: RefCell<HashMap<Rc<str>, Vec<BrokenCall>>>,
    /// Crashes to write to the store, with the time at which each was seen in Unix
    /// milliseconds, or `None` to delete it.
    pending_writes: RefCell<BTreeMap<Crash, Option<u64>>>,
    /// Index of the first of them in the next gossip datagram.
    gossip_cursor: Cell<usize>,
    /// Notified when there is something to write.
    write_needed: Notify,
}

impl CrashTracker {
    /// Whether no crash counts against any call.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.suspects.borrow().is_empty()
    }

    /// The number of crashes that count against calls.
    #[must_use]
    pub fn count(&self) -> usize {
        self.suspects.borrow().crash_count()
    }

    /// For how long a call must be refused; `None` if it may be sent to servers.
    #[must_use]
    pub fn refusal_left(&self, now: Instant, fingerprint: Fingerprint) -> Option<Duration> {
        self.suspects.borrow().refusal_left(now, fingerprint)
    }

    /// Records that a server completed a call.
    pub fn request_served(&self, fingerprint: Fingerprint) {
        let cleared = self.suspects.borrow_mut().request_served(fingerprint);
        for crash in cleared {
            self.queue_write(crash, None);
        }
    }

    /// Queues a write of a crash to the store, or its deletion if `seen_ms` is `None`.
    fn queue_write(&self, crash: Crash, seen_ms: Option<u64>) {
        let mut pending = self.pending_writes.borrow_mut();
        if pending.len() >= MAX_PENDING_WRITES && !pending.contains_key(&crash) {
            metrics::counter!("pimentocart_crashes_not_told_total").increment(1);
            return;
        }
        pending.insert(crash, seen_ms);
        drop(pending);
        self.write_needed.notify_one();
    }

    /// Crashes that the store has not recorded yet, for the next gossip datagram.
    pub(crate) fn unstored_reports(&self, wall_ms: u64) -> Vec<gossip::CrashReport> {
        let pending = self.pending_writes.borrow();
        let unstored = pending
            .iter()
            .filter_map(|(crash, seen_ms)| Some((crash, (*seen_ms)?)));
        let count = unstored.clone().count();
        if count == 0 {
            return Vec::new();
        }
        let from = self.gossip_cursor.get() % count;
        self.gossip_cursor.set(from + MAX_DATAGRAM_CRASHES);
        let reports = unstored
            .cycle()
            .skip(from)
            .take(count.min(MAX_DATAGRAM_CRASHES));
        let reports = reports.map(|(crash, seen_ms)| gossip::CrashReport {
            fingerprint: crash.fingerprint.0,
            incarnation: crash.incarnation,
            age_ms: u32::try_from(wall_ms.saturating_sub(seen_ms)).unwrap_or(u32::MAX),
        });
        reports.collect()
    }

    /// The next crashes to write.
    fn next_batch(&self) -> Vec<(Crash, Option<u64>)> {
        let pending = self.pending_writes.borrow();
        let batch = pending.iter().take(MAX_BATCH);
        batch.map(|(crash, seen_ms)| (*crash, *seen_ms)).collect()
    }

    /// Removes a written batch from the queue, except records that changed since.
    fn mark_written(&self, batch: &[(Crash, Option<u64>)]) {
        let mut pending = self.pending_writes.borrow_mut();
        for (crash, seen_ms) in batch {
            if pending.get(crash) == Some(seen_ms) {
                pending.remove(crash);
            }
        }
    }
}

/// A call whose connection to a server broke.
#[derive(Debug, Clone)]
pub(crate) struct BrokenCall {
    /// The call.
    pub(crate) fingerprint: Fingerprint,
    /// The parts of its prompt that other calls may share.
    pub(crate) shared_parts: Vec<u64>,
    /// When it was sent to the server.
    pub(crate) sent_at: Instant,
    /// Whether an event of the answer arrived.
    pub(crate) began: bool,
    /// Whether the server had been writing the answer for some time.
    pub(crate) steady: bool,
}

/// Records that the connection of `call` to `server` broke before the answer was complete.
/// A broken connection alone does not count against the call.
pub(crate) fn connection_broken(state: &Rc<State>, server: &ServerRecord, call: BrokenCall) {
    let mut broken_calls = state.crashes.broken_calls.borrow_mut();
    let calls = broken_calls.entry(Rc::clone(&server.id)).or_default();
    let first = calls.is_empty();
    calls.push(call);
    if first {
        actix_rt::spawn(check_server(Rc::clone(state), server.clone()));
    }
}

/// Checks whether `server` has crashed, by connecting to it.
async fn check_server(state: Rc<State>, server: ServerRecord) {
    let now = state.clock.now();
    let connected = connect(now, &server).await;
    let calls = state.crashes.broken_calls.borrow_mut().remove(&server.id);
    let calls = calls.unwrap_or_default();
    let outcome = match connected {
        Ok(conn) => {
            state.connection_pool.put(now, &server.id, conn);
            "alive"
        }
        Err(e) if e.kind() == io::ErrorKind::ConnectionRefused => "crashed",
        // A host that does not answer may be unreachable while its server is running.
        Err(_) => "unknown",
    };
    metrics::counter!("pimentocart_connections_broken_total", "server" => outcome)
        .increment(calls.len() as u64);
    for call in &calls {
        let run = now.saturating_duration_since(call.sent_at);
        info!("connection broken", kv: {
            server = &*server.id,
            outcome,
            fingerprint = call.fingerprint.to_string().as_str(),
            parts = format_parts(&call.shared_parts).as_str(),
            run_ms = millis(run),
            began = call.began,
            steady = call.steady
        });
    }
    if outcome == "crashed" {
        let fingerprints: Vec<Fingerprint> = calls.iter().map(|c| c.fingerprint).collect();
        record_crash(&state, &server, &fingerprints);
    }
}

/// The parts of a prompt for log lines.
fn format_parts(parts: &[u64]) -> String {
    let parts: Vec<String> = parts.iter().map(|part| format!("{part:x}")).collect();
    parts.join(",")
}

/// Connects to `server`, with retries after timeouts: otherwise a crashed server behind a
/// link that loses packets would count as unreachable.
async fn connect(now: Instant, server: &ServerRecord) -> io::Result<Connection> {
    let mut connected = ConnectionPool::connect(now, server.addr).await;
    for _ in 1..MAX_CONNECT_ATTEMPTS {
        match &connected {
            Err(e) if e.kind() == io::ErrorKind::TimedOut => {}
            _ => break,
        }
        connected = ConnectionPool::connect(now, server.addr).await;
    }
    connected
}

/// Counts a crash of `server` against the calls `fingerprints`.
fn record_crash(state: &State, server: &ServerRecord, fingerprints: &[Fingerprint]) {
    let (now, seen_ms) = (state.clock.now(), state.clock.wall_ms());
    let incarnation = rendezvous::score(
        rendezvous::hash_name(&server.id),
        server.started_ms.unwrap_or(0),
    );
    let crashes =
        state
            .crashes
            .suspects
            .borrow_mut()
            .server_crashed(now, incarnation, fingerprints);
    for crash in crashes {
        state.crashes.queue_write(crash, Some(seen_ms));
        log_refusal(state, now, crash.fingerprint);
    }
}

/// Logs the call if it is refused from now on.
fn log_refusal(state: &State, now: Instant, fingerprint: Fingerprint) {
    if state.crashes.refusal_left(now, fingerprint).is_some() {
        warn!("call refused from now on after server crashes", kv: { fingerprint = fingerprint.to_string().as_str() });
    }
}

/// Applies changes of the crash table; `snapshot` says whether they come from a snapshot.
pub(crate) fn apply_changes(state: &State, now: Instant, changes: Records<u64>, snapshot: bool) {
    if !changes.is_empty() {
        state.tables.changed.notify_waiters();
    }
    for (key, seen_ms) in changes {
        let crash = match key.parse::<Crash>() {
            Ok(crash) => crash,
            Err(cause) => {
                warn!("invalid crash record skipped", kv: { key = &*key, cause = cause.as_str() });
                continue;
            }
        };
        match seen_ms {
            Some(seen_ms) => apply_crash(state, now, crash, seen_ms),
            None => apply_removal(state, now, crash, snapshot),
        }
    }
    metrics::gauge!("pimentocart_crashes_held").set(state.crashes.count() as f64);
}

/// Adds crashes that another entry has reported by gossip.
pub(crate) fn add_reports(state: &State, now: Instant, crashes: &[gossip::CrashReport]) {
    for report in crashes {
        let crash = Crash {
            fingerprint: Fingerprint(report.fingerprint),
            incarnation: report.incarnation,
        };
        let age = Duration::from_millis(u64::from(report.age_ms));
        if state
            .crashes
            .suspects
            .borrow_mut()
            .add_crash(now, crash, age)
        {
            log_refusal(state, now, crash.fingerprint);
        }
    }
}

/// Adds a crash from the store that was seen at `seen_ms`, in Unix milliseconds.
fn apply_crash(state: &State, now: Instant, crash: Crash, seen_ms: u64) {
    let age = Duration::from_millis(state.clock.wall_ms().saturating_sub(seen_ms));
    if state
        .crashes
        .suspects
        .borrow_mut()
        .add_crash(now, crash, age)
    {
        log_refusal(state, now, crash.fingerprint);
    } else if age > ORPHAN_AGE && reads_store(state, now) {
        state.crashes.queue_write(crash, None);
    }
}

/// Handles a crash that the store no longer has.
fn apply_removal(state: &State, now: Instant, crash: Crash, snapshot: bool) {
    let age = state.crashes.suspects.borrow().crash_age(now, crash);
    match age {
        Some(age) if snapshot && age < REWRITE_WINDOW => {
            let age = u64::try_from(age.as_millis()).unwrap_or(u64::MAX);
            let seen_ms = state.clock.wall_ms().saturating_sub(age);
            info!("crash missing from the store; writing it again", kv: {
                crash = crash.to_string().as_str()
            });
            state.crashes.queue_write(crash, Some(seen_ms));
        }
        _ => state.crashes.suspects.borrow_mut().remove_crash(crash),
    }
}

/// Removes expired crashes from this entry, and also from the store if this entry reads it.
pub(crate) fn expire(state: &State, now: Instant) {
    let expired = state.crashes.suspects.borrow_mut().expire(now);
    if expired.is_empty() || !reads_store(state, now) {
        return;
    }
    for crash in expired {
        state.crashes.queue_write(crash, None);
    }
}

/// Whether this entry reads from the store, for itself or for others.
fn reads_store(state: &State, now: Instant) -> bool {
    state
        .zone_readers
        .borrow_mut()
        .preferred_peer(now)
        .is_none()
}

/// Writes crashes to the store until `end`.
pub async fn write_to_store<E: platform::CrashTable>(state: Rc<State>, table: E, end: StopSignal) {
    let mut failures = 0;
    while !end.is_triggered() {
        let batch = state.crashes.next_batch();
        if batch.is_empty() {
            // The queue is checked again after a timeout as well as a notification.
            let _ =
                tokio::time::timeout(STOP_CHECK_INTERVAL, state.crashes.write_needed.notified())
                    .await;
            continue;
        }
        let mut pause =
            WRITE_DELAY_PER_ENTRY * u32::try_from(state.roster.borrow().count().total).unwrap_or(1);
        match table.write(&batch).await {
            Ok(()) => {
                state.crashes.mark_written(&batch);
                failures = 0;
            }
            Err(e) => {
                failures += 1;
                pause = pause.max(retry_delay(failures));
                if failures == 1 {
                    warn!("writing crashes failed; retrying", kv: {
                        count = batch.len(), cause = e.to_string().as_str()
                    });
                }
            }
        }
        tokio::time::sleep(pause).await;
    }
}
