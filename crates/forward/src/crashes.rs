//! Backend servers that crash, and the calls that they were running at the time.
//!
//! When the connection to a server breaks, the entry connects again to find out whether
//! the server has crashed. A crash counts against each call that the server was running
//! and against the parts of its prompt, and is shared with the other entries through the
//! store. A call during which several servers have crashed is refused from then on, and so
//! are calls with a part of which that holds; `policy::suspects` decides when. Parts that
//! are known to be sound are shared as well. See docs/DECISIONS/0607-crashing-requests.md.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::io;
use std::rc::Rc;
use std::time::{Duration, Instant};

use base::stop::StopSignal;
use policy::balance::ServerRecord;
use policy::rendezvous;
use policy::replica::Records;
use policy::suspects::{
    CRASH_TTL, Crash, CrashRecord, CrashReport, CrashSuspects, Fingerprint, RecordKey, TrialTurn,
};
use rand::RngExt;
use spdlog::{info, warn};
use tokio::sync::Notify;

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

/// [`WRITE_DELAY_PER_ENTRY`] for urgent records. Only few entries have such records at the
/// same time.
const URGENT_DELAY_PER_ENTRY: Duration = Duration::from_millis(2);

/// Shortest delay between two writes.
const MIN_WRITE_DELAY: Duration = Duration::from_millis(50);

/// Longest delay, for each known entry, before the others are told that a part is sound.
/// Many entries know it of a part that many calls share, and the first one to tell it
/// spares the others the write.
const SOUND_DELAY_PER_ENTRY: Duration = Duration::from_millis(2);

/// Time from the head of an answer during which a server that crashes probably does so
/// because of the call.
const BEGIN_TIME: Duration = Duration::from_millis(250);

/// Time after a connection broke within which the loss of its server counts as its cause. A
/// silent server is removed from the list after a few heartbeats.
const UNRESOLVED_TTL: Duration = Duration::from_secs(8);

/// Maximum number of such calls that are kept for one server.
const MAX_UNRESOLVED: usize = 64;

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
    /// Calls whose connection broke at a server that was not found to have crashed, by
    /// server. It may have been replaced at once, or be lost with its host.
    unresolved_calls: RefCell<HashMap<Rc<str>, UnresolvedCalls>>,
    /// Records to write to the store, or `None` to delete one.
    pending_writes: RefCell<BTreeMap<RecordKey, Option<CrashRecord>>>,
    /// Index of the first of them in the next gossip datagram.
    gossip_cursor: Cell<usize>,
    /// Notified when there is something to write.
    write_needed: Notify,
    /// Whether a task waits to tell the others which parts are sound.
    telling: Cell<bool>,
}

/// Calls whose connection broke at a server of which it is not known whether it crashed.
#[derive(Debug)]
struct UnresolvedCalls {
    server: ServerRecord,
    calls: Vec<BrokenCall>,
}

/// A call with what identifies it among others.
#[derive(Debug, Clone)]
pub struct CallIdentity {
    /// Its content.
    pub fingerprint: Fingerprint,
    /// The parts of its prompt that other calls may share.
    pub shared_parts: Vec<u64>,
}

/// What the store has not recorded yet.
#[derive(Debug, Default)]
pub(crate) struct Unstored {
    pub(crate) crashes: Vec<CrashReport>,
    /// Parts of prompts that are sound, with the time since each was known to be.
    pub(crate) sound_parts: Vec<(u64, Duration)>,
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
    pub fn refusal_left(&self, now: Instant, call: &CallIdentity) -> Option<Duration> {
        let suspects = self.suspects.borrow();
        suspects.refusal_left(now, call.fingerprint, &call.shared_parts)
    }

    /// Whether calls whose prompts have these parts are refused.
    pub(crate) fn refuses_parts(&self, shared_parts: &[u64]) -> bool {
        self.suspects.borrow().refuses_parts(shared_parts)
    }

    /// The number of parts of prompts with which calls are refused.
    #[must_use]
    pub fn accused_parts(&self) -> usize {
        self.suspects.borrow().accused_parts().count()
    }

    /// Records that a server completed a call.
    pub fn request_served(&self, fingerprint: Fingerprint) {
        let cleared = self.suspects.borrow_mut().request_served(fingerprint);
        for crash in cleared {
            self.queue_write(RecordKey::Crash(crash), None);
        }
    }

    /// Queues a write of a record to the store, or its deletion.
    fn queue_write(&self, key: RecordKey, record: Option<CrashRecord>) {
        let mut pending = self.pending_writes.borrow_mut();
        if pending.len() >= MAX_PENDING_WRITES && !pending.contains_key(&key) {
            metrics::counter!("pimentocart_crashes_not_told_total").increment(1);
            return;
        }
        pending.insert(key, record);
        drop(pending);
        self.write_needed.notify_one();
    }

    /// What the store has not recorded yet, for the next gossip datagram.
    pub(crate) fn unstored(&self, wall_ms: u64) -> Unstored {
        let pending = self.pending_writes.borrow();
        let records = pending
            .iter()
            .filter_map(|(key, record)| Some((*key, record.as_ref()?)));
        let count = records.clone().count();
        let mut unstored = Unstored::default();
        if count == 0 {
            return unstored;
        }
        let from = self.gossip_cursor.get() % count;
        self.gossip_cursor.set(from + MAX_DATAGRAM_CRASHES);
        let rotated = records.clone().cycle().skip(from).take(count);
        let (urgent, others): (Vec<_>, Vec<_>) =
            rotated.partition(|(key, record)| self.is_urgent(*key, record));
        let records = urgent.into_iter().chain(others).take(MAX_DATAGRAM_CRASHES);
        for (key, record) in records {
            match key {
                RecordKey::Crash(crash) => unstored.crashes.push(report(crash, record, wall_ms)),
                RecordKey::SoundPart(part) => {
                    unstored
                        .sound_parts
                        .push((part, record_age(record, wall_ms)));
                }
            }
        }
        unstored
    }

    /// The next records to write, the urgent ones first, and whether there are any of these.
    fn next_batch(&self) -> (Vec<(RecordKey, Option<CrashRecord>)>, bool) {
        let pending = self.pending_writes.borrow();
        let is_urgent = |(key, record): &(&RecordKey, &Option<CrashRecord>)| {
            record.as_ref().is_some_and(|r| self.is_urgent(**key, r))
        };
        let (urgent, others): (Vec<_>, Vec<_>) = pending.iter().partition(is_urgent);
        let any_urgent = !urgent.is_empty();
        let batch = urgent.into_iter().chain(others).take(MAX_BATCH);
        let batch = batch.map(|(key, record)| (*key, record.clone()));
        (batch.collect(), any_urgent)
    }

    /// Whether the other entries should know of a record soon: a part under which another
    /// server crashed as well, or one that they may suspect and that is sound.
    fn is_urgent(&self, key: RecordKey, record: &CrashRecord) -> bool {
        match key {
            RecordKey::Crash(_) => self.suspects.borrow().is_repeated(&record.shared_parts),
            RecordKey::SoundPart(_) => true,
        }
    }

    /// Removes a written batch from the queue, except records that changed since.
    fn mark_written(&self, batch: &[(RecordKey, Option<CrashRecord>)]) {
        let mut pending = self.pending_writes.borrow_mut();
        for (key, record) in batch {
            if pending.get(key) == Some(record) {
                pending.remove(key);
            }
        }
    }
}

/// A call whose connection to a server broke.
#[derive(Debug, Clone)]
pub(crate) struct BrokenCall {
    /// The call.
    pub(crate) identity: CallIdentity,
    /// When it was sent to the server.
    pub(crate) sent_at: Instant,
    /// When the connection broke.
    pub(crate) broken_at: Instant,
    /// When the head of the answer arrived.
    pub(crate) began_at: Option<Instant>,
    /// Whether the server had been writing the answer for some time.
    pub(crate) steady: bool,
}

impl BrokenCall {
    /// Time from sending the call until its connection broke.
    fn run(&self) -> Duration {
        self.broken_at.saturating_duration_since(self.sent_at)
    }

    /// Whether the answer had begun a short time before.
    fn just_began(&self) -> bool {
        let age = |at| self.broken_at.saturating_duration_since(at);
        self.began_at.is_some_and(|at| age(at) < BEGIN_TIME)
    }

    /// What the crash of the server with this incarnation says about the call. A server
    /// that has been writing the answer for some time has not crashed because of a part
    /// of the prompt.
    fn into_report(self, now: Instant, incarnation: u64) -> CrashReport {
        CrashReport {
            crash: Crash {
                fingerprint: self.identity.fingerprint,
                incarnation,
            },
            age: now.saturating_duration_since(self.broken_at),
            run: self.run(),
            just_began: self.just_began(),
            shared_parts: match self.steady {
                true => Vec::new(),
                false => self.identity.shared_parts,
            },
        }
    }
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
        info!("connection broken", kv: {
            server = &*server.id,
            outcome,
            fingerprint = call.identity.fingerprint.to_string().as_str(),
            parts = format_parts(&call.identity.shared_parts).as_str(),
            run_ms = millis(call.run()),
            began = call.began_at.is_some(),
            steady = call.steady
        });
    }
    match outcome {
        "crashed" => record_crash(&state, &server, calls),
        _ => keep_unresolved(&state, server, calls),
    }
}

/// Keeps calls until it is known whether their server crashed.
fn keep_unresolved(state: &State, server: ServerRecord, calls: Vec<BrokenCall>) {
    let mut unresolved = state.crashes.unresolved_calls.borrow_mut();
    let at_server = unresolved
        .entry(Rc::clone(&server.id))
        .or_insert_with(|| UnresolvedCalls {
            server,
            calls: Vec::new(),
        });
    let room = MAX_UNRESOLVED.saturating_sub(at_server.calls.len());
    at_server.calls.extend(calls.into_iter().take(room));
}

/// Counts a crash of the server `id` if connections to it broke a short time ago: another
/// server has its address now, or its record was removed.
pub(crate) fn server_gone(state: &Rc<State>, id: &str) {
    let gone = state.crashes.unresolved_calls.borrow_mut().remove(id);
    let Some(UnresolvedCalls { server, mut calls }) = gone else {
        return;
    };
    let now = state.clock.now();
    calls.retain(|call| now < call.broken_at + UNRESOLVED_TTL);
    if !calls.is_empty() {
        info!("server gone after its connections broke", kv: { server = id, calls = calls.len() });
        record_crash(state, &server, calls);
    }
}

/// Forgets calls whose servers are still there.
fn expire_unresolved(state: &State, now: Instant) {
    let mut unresolved = state.crashes.unresolved_calls.borrow_mut();
    unresolved.retain(|_, at_server| {
        let calls = &mut at_server.calls;
        calls.retain(|call| now < call.broken_at + UNRESOLVED_TTL);
        !calls.is_empty()
    });
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

/// Counts a crash of `server` against the calls that it was running.
fn record_crash(state: &Rc<State>, server: &ServerRecord, calls: Vec<BrokenCall>) {
    let now = state.clock.now();
    let incarnation = rendezvous::score(
        rendezvous::hash_name(&server.id),
        server.started_ms.unwrap_or(0),
    );
    let reports = calls
        .into_iter()
        .map(|call| call.into_report(now, incarnation));
    add_own_reports(state, reports.collect());
}

/// Counts the crash of a server that this entry has seen against the calls that it was
/// running, and shares it with the other entries.
pub fn add_own_reports(state: &Rc<State>, reports: Vec<CrashReport>) {
    let (now, wall_ms) = (state.clock.now(), state.clock.wall_ms());
    let reports = observe(state, |suspects| suspects.server_crashed(now, reports));
    for report in reports {
        let key = RecordKey::Crash(report.crash);
        state
            .crashes
            .queue_write(key, Some(record(&report, wall_ms)));
        log_refusal(state, now, report.crash.fingerprint);
    }
}

/// The record of a crash.
fn record(report: &CrashReport, wall_ms: u64) -> CrashRecord {
    CrashRecord {
        seen_ms: wall_ms.saturating_sub(millis(report.age)),
        run_ms: u32::try_from(millis(report.run)).unwrap_or(u32::MAX),
        just_began: report.just_began,
        shared_parts: report.shared_parts.clone(),
    }
}

/// The report of the crash with this record.
fn report(crash: Crash, record: &CrashRecord, wall_ms: u64) -> CrashReport {
    CrashReport {
        crash,
        age: record_age(record, wall_ms),
        run: Duration::from_millis(u64::from(record.run_ms)),
        just_began: record.just_began,
        shared_parts: record.shared_parts.clone(),
    }
}

fn record_age(record: &CrashRecord, wall_ms: u64) -> Duration {
    Duration::from_millis(wall_ms.saturating_sub(record.seen_ms))
}

/// Lets the suspects learn something. Logs the requests and parts that are refused from
/// then on, and tells the other entries of parts that they may suspect wrongly.
fn observe<T>(state: &Rc<State>, learn: impl FnOnce(&mut CrashSuspects) -> T) -> T {
    let mut suspects = state.crashes.suspects.borrow_mut();
    let before: BTreeSet<u64> = suspects.accused_parts().collect();
    let learned = learn(&mut suspects);
    let after: BTreeSet<u64> = suspects.accused_parts().collect();
    let contested = suspects.has_contested_parts();
    drop(suspects);
    for part in after.difference(&before) {
        warn!("calls with part refused from now on after server crashes", kv: {
            part = format!("{part:x}").as_str()
        });
    }
    for part in before.difference(&after) {
        info!("calls with part accepted again", kv: { part = format!("{part:x}").as_str() });
    }
    metrics::gauge!("pimentocart_parts_refused").set(after.len() as f64);
    if contested && !state.crashes.telling.replace(true) {
        actix_rt::spawn(tell_sound_parts(Rc::clone(state)));
    }
    learned
}

/// Tells the other entries of parts that they may suspect and that this one knows to be
/// sound, unless another entry does so first.
async fn tell_sound_parts(state: Rc<State>) {
    let entries = u32::try_from(state.roster.borrow().count().total).unwrap_or(u32::MAX);
    let longest = SOUND_DELAY_PER_ENTRY.saturating_mul(entries);
    tokio::time::sleep(longest.mul_f64(rand::rng().random())).await;
    state.crashes.telling.set(false);
    let (now, wall_ms) = (state.clock.now(), state.clock.wall_ms());
    let told = observe(&state, |suspects| suspects.take_contested_parts(now));
    for (part, age) in told {
        let record = CrashRecord {
            seen_ms: wall_ms.saturating_sub(millis(age)),
            ..CrashRecord::default()
        };
        state
            .crashes
            .queue_write(RecordKey::SoundPart(part), Some(record));
    }
}

/// Whether a call that is refused for a part of its prompt may be sent as a trial.
pub(crate) fn may_try(state: &State, shared_parts: &[u64]) -> bool {
    let now = state.clock.now();
    let suspects = state.crashes.suspects.borrow();
    trial_turn(state, now).is_some_and(|turn| suspects.may_try(now, shared_parts, turn))
}

/// Takes the trial of [`may_try`]; returns whether there was one.
pub(crate) fn take_trial(state: &State, shared_parts: &[u64]) -> bool {
    let now = state.clock.now();
    let mut suspects = state.crashes.suspects.borrow_mut();
    trial_turn(state, now).is_some_and(|turn| suspects.take_trial(now, shared_parts, turn))
}

/// This entry's turn at trials; `None` while it does not know the other entries, which may
/// make the same trial.
fn trial_turn(state: &State, now: Instant) -> Option<TrialTurn> {
    if !state.discovery.borrow().entries_known(now) {
        return None;
    }
    let count = state.roster.borrow().count();
    Some(TrialTurn {
        entries: u32::try_from(count.total).unwrap_or(u32::MAX),
        index: u32::try_from(count.preceding).unwrap_or(u32::MAX),
    })
}

/// Records that a server goes on with its answer to a prompt with these parts.
pub(crate) fn record_sound_parts(state: &Rc<State>, parts: &[u64]) {
    if !parts.is_empty() {
        let now = state.clock.now();
        observe(state, |suspects| suspects.record_sound_parts(now, parts));
    }
}

/// Logs the call if it is refused from now on, whatever parts its prompt has.
fn log_refusal(state: &State, now: Instant, fingerprint: Fingerprint) {
    let call = CallIdentity {
        fingerprint,
        shared_parts: Vec::new(),
    };
    if state.crashes.refusal_left(now, &call).is_some() {
        warn!("call refused from now on after server crashes", kv: {
            fingerprint = call.fingerprint.to_string().as_str()
        });
    }
}

/// Applies changes of the crash table; `snapshot` says whether they come from a snapshot.
pub(crate) fn apply_changes(
    state: &Rc<State>,
    now: Instant,
    changes: Records<CrashRecord>,
    snapshot: bool,
) {
    if !changes.is_empty() {
        state.tables.changed.notify_waiters();
    }
    for (key, record) in changes {
        let key = match key.parse::<RecordKey>() {
            Ok(key) => key,
            // The reader of the store has logged the record that made the key known.
            Err(_) if record.is_none() => continue,
            Err(cause) => {
                warn!("invalid crash record skipped", kv: { key = &*key, cause = cause.as_str() });
                continue;
            }
        };
        match record {
            Some(record) => apply_record(state, now, key, &record),
            None => apply_removal(state, now, key, snapshot),
        }
    }
    metrics::gauge!("pimentocart_crashes_held").set(state.crashes.count() as f64);
}

/// Adds a crash that another entry has reported; returns whether it is new.
pub fn add_report(state: &Rc<State>, now: Instant, report: &CrashReport) -> bool {
    let added = observe(state, |suspects| suspects.add_crash(now, report));
    if added {
        log_refusal(state, now, report.crash.fingerprint);
        // Records that wait to be written may have become urgent.
        state.crashes.write_needed.notify_one();
    }
    added
}

/// Adds a part that another entry knew to be sound `age` ago.
pub(crate) fn add_sound_part(state: &Rc<State>, now: Instant, part: u64, age: Duration) {
    observe(state, |suspects| suspects.add_sound_part(now, part, age));
}

/// Adds a record from the store.
fn apply_record(state: &Rc<State>, now: Instant, key: RecordKey, record: &CrashRecord) {
    let wall_ms = state.clock.wall_ms();
    let age = record_age(record, wall_ms);
    match key {
        RecordKey::Crash(crash) => {
            let added = add_report(state, now, &report(crash, record, wall_ms));
            if !added && age > ORPHAN_AGE && reads_store(state, now) {
                state.crashes.queue_write(key, None);
            }
        }
        RecordKey::SoundPart(part) => {
            add_sound_part(state, now, part, age);
            if age > ORPHAN_AGE && reads_store(state, now) {
                state.crashes.queue_write(key, None);
            }
        }
    }
}

/// Handles a record that the store no longer has.
fn apply_removal(state: &Rc<State>, now: Instant, key: RecordKey, snapshot: bool) {
    let wall_ms = state.clock.wall_ms();
    let known = match key {
        RecordKey::Crash(crash) => {
            let report = state.crashes.suspects.borrow().report(now, crash);
            report.map(|report| record(&report, wall_ms))
        }
        RecordKey::SoundPart(part) => {
            let age = state.crashes.suspects.borrow().sound_age(now, part);
            age.map(|age| CrashRecord {
                seen_ms: wall_ms.saturating_sub(millis(age)),
                ..CrashRecord::default()
            })
        }
    };
    let recent = |r: &CrashRecord| snapshot && record_age(r, wall_ms) < REWRITE_WINDOW;
    match (known, key) {
        (Some(record), _) if recent(&record) => {
            info!("crash missing from the store; writing it again", kv: {
                crash = key.to_string().as_str()
            });
            state.crashes.queue_write(key, Some(record));
        }
        (_, RecordKey::Crash(crash)) => observe(state, |suspects| suspects.remove_crash(crash)),
        (_, RecordKey::SoundPart(_)) => {}
    }
}

/// Removes expired crashes and sound parts from this entry, and also from the store if this
/// entry reads it.
pub(crate) fn expire(state: &Rc<State>, now: Instant) {
    expire_unresolved(state, now);
    let (crashes, parts) = observe(state, |suspects| {
        (suspects.expire(now), suspects.expire_sound_parts(now))
    });
    if (crashes.is_empty() && parts.is_empty()) || !reads_store(state, now) {
        return;
    }
    let crashes = crashes.into_iter().map(RecordKey::Crash);
    for key in crashes.chain(parts.into_iter().map(RecordKey::SoundPart)) {
        state.crashes.queue_write(key, None);
    }
}

/// Whether this entry reads from the store, for itself or for others.
pub(crate) fn reads_store(state: &State, now: Instant) -> bool {
    state
        .zone_readers
        .borrow_mut()
        .preferred_peer(now)
        .is_none()
}

/// Writes crashes to the store until `end`.
pub async fn write_to_store<E: platform::CrashTable>(state: Rc<State>, table: E, end: StopSignal) {
    let mut failures = 0;
    let mut written_at: Option<tokio::time::Instant> = None;
    while !end.is_triggered() {
        let (batch, urgent) = state.crashes.next_batch();
        let delay = match batch.is_empty() {
            true => STOP_CHECK_INTERVAL,
            false => {
                let since = written_at.map_or(Duration::MAX, |at| at.elapsed());
                write_delay(&state, urgent, failures).saturating_sub(since)
            }
        };
        if batch.is_empty() || !delay.is_zero() {
            // The queue is checked again after a timeout as well as a notification.
            let _ = tokio::time::timeout(delay, state.crashes.write_needed.notified()).await;
            continue;
        }
        written_at = Some(tokio::time::Instant::now());
        match table.write(&batch).await {
            Ok(()) => {
                state.crashes.mark_written(&batch);
                failures = 0;
            }
            Err(e) => {
                failures += 1;
                if failures == 1 {
                    warn!("writing crashes failed; retrying", kv: {
                        count = batch.len(), cause = e.to_string().as_str()
                    });
                }
                if urgent {
                    state.gossip_now.notify_one();
                }
            }
        }
    }
}

/// Delay between two writes.
fn write_delay(state: &State, urgent: bool, failures: u32) -> Duration {
    let entries = u32::try_from(state.roster.borrow().count().total).unwrap_or(u32::MAX);
    let per_entry = match urgent {
        true => URGENT_DELAY_PER_ENTRY,
        false => WRITE_DELAY_PER_ENTRY,
    };
    let least = match failures {
        0 => MIN_WRITE_DELAY,
        _ => retry_delay(failures),
    };
    per_entry.saturating_mul(entries).max(least)
}
