//! Backend servers that crash, and the calls under which they do.
//!
//! A server whose connection breaks is connected to once more. If it has crashed,
//! that is held against each call it had, told to the other entries by way of
//! the store, and a call under which several have crashed is sent to no server any
//! more: `policy::suspects` decides when. See
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

use crate::edge;
use crate::follow::retry_delay;
use crate::pool::{Conn, Pool};
use crate::state::State;

/// Connections that are tried to find out whether a server has crashed.
const DIALS: usize = 3;

/// Records that wait to be written at most. While the store is away for long,
/// further ones are held by this entry alone.
const UNWRITTEN: usize = 1 << 10;

/// Records that are written in one call.
const BATCH: usize = 256;

/// Crashes that another entry is told of in one datagram, in turn.
const TOLD: usize = 16;

/// The pause between two writes, for each entry that is heard: when a whole
/// zone's servers crash, all entries have something to write at once.
const WRITE_EACH: Duration = Duration::from_millis(20);

/// How often is looked whether the entry stops while nothing is to be written.
const LOOK: Duration = Duration::from_secs(1);

/// A store that comes back from a copy has lost what it took in the last
/// seconds. What is missing there and was seen so long ago at the most is
/// written again; what is older was dropped by somebody.
const LOST: Duration = Duration::from_secs(60);

/// Records of crashes that were seen so long ago were left behind by an entry that
/// has ended. The margin is for hosts whose clocks differ.
const FORGOTTEN: Duration = CRASH_TTL.saturating_mul(2);

/// What an entry knows of servers that have crashed under calls.
#[derive(Debug, Default)]
pub struct CrashTracker {
    suspects: RefCell<CrashSuspects>,
    /// Calls whose connections broke, by server, until it is known why.
    broken: RefCell<HashMap<Rc<str>, Vec<Fingerprint>>>,
    /// What the store is to be told: when a crash was seen in Unix
    /// milliseconds, or none when it is not held any more.
    unwritten: RefCell<BTreeMap<Crash, Option<u64>>>,
    /// Where the next datagram to other entries goes on among them.
    told: Cell<usize>,
    /// Wakes the writer.
    wake: Notify,
}

impl CrashTracker {
    /// Whether anything is held against any call.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.suspects.borrow().is_empty()
    }

    /// Crashes that are held against calls.
    #[must_use]
    pub fn count(&self) -> usize {
        self.suspects.borrow().crash_count()
    }

    /// For how long a call is not to be sent to any server; none if it may be.
    #[must_use]
    pub fn refusal_left(&self, now: Instant, fingerprint: Fingerprint) -> Option<Duration> {
        self.suspects.borrow().refusal_left(now, fingerprint)
    }

    /// Notes that a server has run a call whole.
    pub fn request_served(&self, fingerprint: Fingerprint) {
        let cleared = self.suspects.borrow_mut().request_served(fingerprint);
        for crash in cleared {
            self.tell(crash, None);
        }
    }

    /// Has the store told of a crash.
    fn tell(&self, crash: Crash, at: Option<u64>) {
        let mut unwritten = self.unwritten.borrow_mut();
        if unwritten.len() >= UNWRITTEN && !unwritten.contains_key(&crash) {
            metrics::counter!("pimentocart_crashes_not_told_total").increment(1);
            return;
        }
        unwritten.insert(crash, at);
        drop(unwritten);
        self.wake.notify_one();
    }

    /// What the other entries are told, as the store has not taken it.
    pub(crate) fn unstored_reports(&self, wall_ms: u64) -> Vec<gossip::CrashReport> {
        let unwritten = self.unwritten.borrow();
        let held = unwritten
            .iter()
            .filter_map(|(crash, at)| Some((crash, (*at)?)));
        let count = held.clone().count();
        if count == 0 {
            return Vec::new();
        }
        let from = self.told.get() % count;
        self.told.set(from + TOLD);
        let told = held.cycle().skip(from).take(count.min(TOLD));
        let told = told.map(|(crash, at)| gossip::CrashReport {
            fingerprint: crash.fingerprint.0,
            incarnation: crash.incarnation,
            age_ms: u32::try_from(wall_ms.saturating_sub(at)).unwrap_or(u32::MAX),
        });
        told.collect()
    }

    /// What is to be written next.
    fn batch(&self) -> Vec<(Crash, Option<u64>)> {
        let unwritten = self.unwritten.borrow();
        let batch = unwritten.iter().take(BATCH);
        batch.map(|(crash, at)| (*crash, *at)).collect()
    }

    /// Notes that a batch was written.
    fn written(&self, batch: &[(Crash, Option<u64>)]) {
        let mut unwritten = self.unwritten.borrow_mut();
        for (crash, at) in batch {
            if unwritten.get(crash) == Some(at) {
                unwritten.remove(crash);
            }
        }
    }
}

/// Notes that the connection of call `fingerprint` to `server` broke before its
/// answer was whole. A lost connection alone says nothing of the call.
pub(crate) fn connection_broken(
    state: &Rc<State>,
    server: &ServerRecord,
    fingerprint: Fingerprint,
) {
    let mut broken = state.crashes.broken.borrow_mut();
    let fingerprints = broken.entry(Rc::clone(&server.id)).or_default();
    let first = fingerprints.is_empty();
    fingerprints.push(fingerprint);
    if first {
        actix_rt::spawn(look(Rc::clone(state), server.clone()));
    }
}

/// Looks whether `server` has crashed.
async fn look(state: Rc<State>, server: ServerRecord) {
    let now = state.clock.now();
    let dialled = dial(now, &server).await;
    let fingerprints = state.crashes.broken.borrow_mut().remove(&server.id);
    let fingerprints = fingerprints.unwrap_or_default();
    let outcome = match dialled {
        Ok(conn) => {
            state.pool.put(now, &server.id, conn);
            "alive"
        }
        Err(e) if e.kind() == io::ErrorKind::ConnectionRefused => "crashed",
        // A host that does not answer may be cut off, with its server well.
        Err(_) => "unknown",
    };
    metrics::counter!("pimentocart_connections_broken_total", "server" => outcome)
        .increment(fingerprints.len() as u64);
    for fingerprint in &fingerprints {
        info!("connection broken", kv: {
            server = &*server.id,
            outcome,
            fingerprint = fingerprint.to_string().as_str()
        });
    }
    if outcome == "crashed" {
        crashed(&state, &server, &fingerprints);
    }
}

/// Connects to `server`, again where nothing comes back: on a link that loses
/// packets a server that has crashed would else count as cut off.
async fn dial(now: Instant, server: &ServerRecord) -> io::Result<Conn> {
    let mut dialled = Pool::dial(now, server.addr).await;
    for _ in 1..DIALS {
        match &dialled {
            Err(e) if e.kind() == io::ErrorKind::TimedOut => {}
            _ => break,
        }
        dialled = Pool::dial(now, server.addr).await;
    }
    dialled
}

/// Holds it against `fingerprints` that `server` has crashed.
fn crashed(state: &State, server: &ServerRecord, fingerprints: &[Fingerprint]) {
    let (now, at) = (state.clock.now(), state.clock.wall_ms());
    let life = rendezvous::score(
        rendezvous::hash_name(&server.id),
        server.started_ms.unwrap_or(0),
    );
    let crashes = state
        .crashes
        .suspects
        .borrow_mut()
        .server_crashed(now, life, fingerprints);
    for crash in crashes {
        state.crashes.tell(crash, Some(at));
        note_refused(state, now, crash.fingerprint);
    }
}

/// Logs a call that is refused from now on.
fn note_refused(state: &State, now: Instant, fingerprint: Fingerprint) {
    if state.crashes.refusal_left(now, fingerprint).is_some() {
        warn!("call crashes servers", kv: { fingerprint = fingerprint.to_string().as_str() });
    }
}

/// Puts news of the table to use; `whole` says whether it was read anew.
pub(crate) fn apply_changes(state: &State, now: Instant, news: Records<u64>, whole: bool) {
    if !news.is_empty() {
        state.tables.changed.notify_waiters();
    }
    for (key, at) in news {
        let crash = match key.parse::<Crash>() {
            Ok(crash) => crash,
            Err(cause) => {
                warn!("record not understood", kv: { key = &*key, cause = cause.as_str() });
                continue;
            }
        };
        match at {
            Some(at) => hold(state, now, crash, at),
            None => dropped(state, now, crash, whole),
        }
    }
    metrics::gauge!("pimentocart_crashes_held").set(state.crashes.count() as f64);
}

/// Holds crashes that another entry tells of.
pub(crate) fn add_reports(state: &State, now: Instant, crashes: &[gossip::CrashReport]) {
    for said in crashes {
        let crash = Crash {
            fingerprint: Fingerprint(said.fingerprint),
            incarnation: said.incarnation,
        };
        let age = Duration::from_millis(u64::from(said.age_ms));
        if state
            .crashes
            .suspects
            .borrow_mut()
            .add_crash(now, crash, age)
        {
            note_refused(state, now, crash.fingerprint);
        }
    }
}

/// Holds a crash that the store tells of and that was seen at `at`.
fn hold(state: &State, now: Instant, crash: Crash, at: u64) {
    let age = Duration::from_millis(state.clock.wall_ms().saturating_sub(at));
    if state
        .crashes
        .suspects
        .borrow_mut()
        .add_crash(now, crash, age)
    {
        note_refused(state, now, crash.fingerprint);
    } else if age > FORGOTTEN && reads(state, now) {
        state.crashes.tell(crash, None);
    }
}

/// Notes that the store does not hold a crash any more.
fn dropped(state: &State, now: Instant, crash: Crash, whole: bool) {
    let age = state.crashes.suspects.borrow().crash_age(now, crash);
    match age {
        Some(age) if whole && age < LOST => {
            let age = u64::try_from(age.as_millis()).unwrap_or(u64::MAX);
            let at = state.clock.wall_ms().saturating_sub(age);
            info!("crash written again", kv: { crash = crash.to_string().as_str() });
            state.crashes.tell(crash, Some(at));
        }
        _ => state.crashes.suspects.borrow_mut().remove_crash(crash),
    }
}

/// Lets go of what was held long enough, here and, by those who read it, in
/// the store.
pub(crate) fn expire(state: &State, now: Instant) {
    let expired = state.crashes.suspects.borrow_mut().expire(now);
    if expired.is_empty() || !reads(state, now) {
        return;
    }
    for crash in expired {
        state.crashes.tell(crash, None);
    }
}

/// Whether this entry reads the store for itself or for others.
fn reads(state: &State, now: Instant) -> bool {
    state.readers.borrow_mut().preferred_peer(now).is_none()
}

/// Tells the store until `end`.
pub async fn write_to_store<E: edge::Crashes>(state: Rc<State>, table: E, end: StopSignal) {
    let mut failures = 0;
    while !end.is_triggered() {
        let batch = state.crashes.batch();
        if batch.is_empty() {
            // Either way it is looked again.
            let _ = tokio::time::timeout(LOOK, state.crashes.wake.notified()).await;
            continue;
        }
        let mut pause =
            WRITE_EACH * u32::try_from(state.roster.borrow().count().total).unwrap_or(1);
        match table.write(&batch).await {
            Ok(()) => {
                state.crashes.written(&batch);
                failures = 0;
            }
            Err(e) => {
                failures += 1;
                pause = pause.max(retry_delay(failures));
                if failures == 1 {
                    warn!("crashes not written", kv: {
                        count = batch.len(), cause = e.to_string().as_str()
                    });
                }
            }
        }
        tokio::time::sleep(pause).await;
    }
}
