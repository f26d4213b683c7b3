//! Backend servers that end, and the calls under which they do.
//!
//! A server whose connection breaks is connected to once more. If it has ended,
//! that is held against each call it had, told to the other entries by way of
//! the store, and a call under which several have ended is sent to no server any
//! more: `policy::suspects` decides when. See
//! docs/DECISIONS/0607-crashing-requests.md.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, HashMap};
use std::io;
use std::rc::Rc;
use std::time::{Duration, Instant};

use base::stop::Stop;
use policy::balance::Listed;
use policy::rendezvous;
use policy::replica::Records;
use policy::suspects::{End, HELD, Print, Suspects};
use spdlog::{info, warn};
use tokio::sync::Notify;
use wire::gossip;

use crate::edge;
use crate::follow::retry;
use crate::pool::{Conn, Pool};
use crate::state::State;

/// Connections that are tried to find out whether a server has ended.
const DIALS: usize = 3;

/// Records that wait to be written at most. While the store is away for long,
/// further ones are held by this entry alone.
const UNWRITTEN: usize = 1 << 10;

/// Records that are written in one call.
const BATCH: usize = 256;

/// Ends that another entry is told of in one datagram, in turn.
const TOLD: usize = 16;

/// The pause between two writes, for each entry that is heard: when a whole
/// zone's servers end, all entries have something to write at once.
const WRITE_EACH: Duration = Duration::from_millis(20);

/// How often is looked whether the entry stops while nothing is to be written.
const LOOK: Duration = Duration::from_secs(1);

/// A store that comes back from a copy has lost what it took in the last
/// seconds. What is missing there and was seen so long ago at the most is
/// written again; what is older was dropped by somebody.
const LOST: Duration = Duration::from_secs(60);

/// Records of ends that were seen so long ago were left behind by an entry that
/// has ended. The margin is for hosts whose clocks differ.
const FORGOTTEN: Duration = HELD.saturating_mul(2);

/// What an entry knows of servers that have ended under calls.
#[derive(Debug, Default)]
pub struct Ends {
    suspects: RefCell<Suspects>,
    /// Calls whose connections broke, by server, until it is known why.
    broken: RefCell<HashMap<Rc<str>, Vec<Print>>>,
    /// What the store is to be told: when an end was seen in Unix
    /// milliseconds, or none when it is not held any more.
    unwritten: RefCell<BTreeMap<End, Option<u64>>>,
    /// Where the next datagram to other entries goes on among them.
    told: Cell<usize>,
    /// Wakes the writer.
    wake: Notify,
}

impl Ends {
    /// Whether anything is held against any call.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.suspects.borrow().is_empty()
    }

    /// Ends that are held against calls.
    #[must_use]
    pub fn count(&self) -> usize {
        self.suspects.borrow().count()
    }

    /// For how long a call is not to be sent to any server; none if it may be.
    #[must_use]
    pub fn refused(&self, now: Instant, print: Print) -> Option<Duration> {
        self.suspects.borrow().refused(now, print)
    }

    /// Notes that a server has run a call whole.
    pub fn served(&self, print: Print) {
        let cleared = self.suspects.borrow_mut().served(print);
        for end in cleared {
            self.tell(end, None);
        }
    }

    /// Has the store told of an end.
    fn tell(&self, end: End, at: Option<u64>) {
        let mut unwritten = self.unwritten.borrow_mut();
        if unwritten.len() >= UNWRITTEN && !unwritten.contains_key(&end) {
            metrics::counter!("pimentocart_ends_not_told_total").increment(1);
            return;
        }
        unwritten.insert(end, at);
        drop(unwritten);
        self.wake.notify_one();
    }

    /// What the other entries are told, as the store has not taken it.
    pub(crate) fn untold(&self, wall_ms: u64) -> Vec<gossip::End> {
        let unwritten = self.unwritten.borrow();
        let held = unwritten.iter().filter_map(|(end, at)| Some((end, (*at)?)));
        let count = held.clone().count();
        if count == 0 {
            return Vec::new();
        }
        let from = self.told.get() % count;
        self.told.set(from + TOLD);
        let told = held.cycle().skip(from).take(count.min(TOLD));
        let told = told.map(|(end, at)| gossip::End {
            print: end.print.0,
            life: end.life,
            age_ms: u32::try_from(wall_ms.saturating_sub(at)).unwrap_or(u32::MAX),
        });
        told.collect()
    }

    /// What is to be written next.
    fn batch(&self) -> Vec<(End, Option<u64>)> {
        let unwritten = self.unwritten.borrow();
        let batch = unwritten.iter().take(BATCH);
        batch.map(|(end, at)| (*end, *at)).collect()
    }

    /// Notes that a batch was written.
    fn written(&self, batch: &[(End, Option<u64>)]) {
        let mut unwritten = self.unwritten.borrow_mut();
        for (end, at) in batch {
            if unwritten.get(end) == Some(at) {
                unwritten.remove(end);
            }
        }
    }
}

/// Notes that the connection of call `print` to `server` broke before its
/// answer was whole. A lost connection alone says nothing of the call.
pub(crate) fn broke(state: &Rc<State>, server: &Listed, print: Print) {
    let mut broken = state.ends.broken.borrow_mut();
    let prints = broken.entry(Rc::clone(&server.id)).or_default();
    let first = prints.is_empty();
    prints.push(print);
    if first {
        actix_rt::spawn(look(Rc::clone(state), server.clone()));
    }
}

/// Looks whether `server` has ended.
async fn look(state: Rc<State>, server: Listed) {
    let now = state.clock.now();
    let dialled = dial(now, &server).await;
    let prints = state.ends.broken.borrow_mut().remove(&server.id);
    let prints = prints.unwrap_or_default();
    let outcome = match dialled {
        Ok(conn) => {
            state.pool.put(now, &server.id, conn);
            "alive"
        }
        Err(e) if e.kind() == io::ErrorKind::ConnectionRefused => "ended",
        // A host that does not answer may be cut off, with its server well.
        Err(_) => "unknown",
    };
    metrics::counter!("pimentocart_connections_broken_total", "server" => outcome)
        .increment(prints.len() as u64);
    for print in &prints {
        info!("connection broken", kv: {
            server = &*server.id,
            outcome,
            print = print.to_string().as_str()
        });
    }
    if outcome == "ended" {
        ended(&state, &server, &prints);
    }
}

/// Connects to `server`, again where nothing comes back: on a link that loses
/// packets a server that has ended would else count as cut off.
async fn dial(now: Instant, server: &Listed) -> io::Result<Conn> {
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

/// Holds it against `prints` that `server` has ended.
fn ended(state: &State, server: &Listed, prints: &[Print]) {
    let (now, at) = (state.clock.now(), state.clock.wall_ms());
    let life = rendezvous::weight(rendezvous::number(&server.id), server.born.unwrap_or(0));
    let ends = state.ends.suspects.borrow_mut().ended(now, life, prints);
    for end in ends {
        state.ends.tell(end, Some(at));
        note_refused(state, now, end.print);
    }
}

/// Logs a call that is refused from now on.
fn note_refused(state: &State, now: Instant, print: Print) {
    if state.ends.refused(now, print).is_some() {
        warn!("call ends servers", kv: { print = print.to_string().as_str() });
    }
}

/// Puts news of the table to use; `whole` says whether it was read anew.
pub(crate) fn take(state: &State, now: Instant, news: Records<u64>, whole: bool) {
    if !news.is_empty() {
        state.tables.changed.notify_waiters();
    }
    for (key, at) in news {
        let end = match key.parse::<End>() {
            Ok(end) => end,
            Err(cause) => {
                warn!("record not understood", kv: { key = &*key, cause = cause.as_str() });
                continue;
            }
        };
        match at {
            Some(at) => hold(state, now, end, at),
            None => dropped(state, now, end, whole),
        }
    }
    metrics::gauge!("pimentocart_ends_held").set(state.ends.count() as f64);
}

/// Holds ends that another entry tells of.
pub(crate) fn hear(state: &State, now: Instant, ends: &[gossip::End]) {
    for said in ends {
        let end = End {
            print: Print(said.print),
            life: said.life,
        };
        let age = Duration::from_millis(u64::from(said.age_ms));
        if state.ends.suspects.borrow_mut().hold(now, end, age) {
            note_refused(state, now, end.print);
        }
    }
}

/// Holds an end that the store tells of and that was seen at `at`.
fn hold(state: &State, now: Instant, end: End, at: u64) {
    let age = Duration::from_millis(state.clock.wall_ms().saturating_sub(at));
    if state.ends.suspects.borrow_mut().hold(now, end, age) {
        note_refused(state, now, end.print);
    } else if age > FORGOTTEN && reads(state, now) {
        state.ends.tell(end, None);
    }
}

/// Notes that the store does not hold an end any more.
fn dropped(state: &State, now: Instant, end: End, whole: bool) {
    let age = state.ends.suspects.borrow().age(now, end);
    match age {
        Some(age) if whole && age < LOST => {
            let age = u64::try_from(age.as_millis()).unwrap_or(u64::MAX);
            let at = state.clock.wall_ms().saturating_sub(age);
            info!("end written again", kv: { end = end.to_string().as_str() });
            state.ends.tell(end, Some(at));
        }
        _ => state.ends.suspects.borrow_mut().clear(end),
    }
}

/// Lets go of what was held long enough, here and, by those who read it, in
/// the store.
pub(crate) fn expire(state: &State, now: Instant) {
    let expired = state.ends.suspects.borrow_mut().expire(now);
    if expired.is_empty() || !reads(state, now) {
        return;
    }
    for end in expired {
        state.ends.tell(end, None);
    }
}

/// Whether this entry reads the store for itself or for others.
fn reads(state: &State, now: Instant) -> bool {
    state.readers.borrow_mut().ask(now).is_none()
}

/// Tells the store until `end`.
pub async fn write<E: edge::Ends>(state: Rc<State>, table: E, end: Stop) {
    let mut failures = 0;
    while !end.asked() {
        let batch = state.ends.batch();
        if batch.is_empty() {
            // Either way it is looked again.
            let _ = tokio::time::timeout(LOOK, state.ends.wake.notified()).await;
            continue;
        }
        let mut pause = WRITE_EACH * u32::try_from(state.others.borrow().count() + 1).unwrap_or(1);
        match table.write(&batch).await {
            Ok(()) => {
                state.ends.written(&batch);
                failures = 0;
            }
            Err(e) => {
                failures += 1;
                pause = pause.max(retry(failures));
                if failures == 1 {
                    warn!("ends not written", kv: {
                        count = batch.len(), cause = e.to_string().as_str()
                    });
                }
            }
        }
        tokio::time::sleep(pause).await;
    }
}
