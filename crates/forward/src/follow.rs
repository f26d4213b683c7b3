//! Reading the platform's tables from the store.
//!
//! A reader takes a whole table once and then its changes. When the store is
//! away, what was read last stays in force: a catalog never goes back, and a
//! server that is only missing from view may well live. An entry that has a
//! neighbour to ask (`neighbours`) reads only what has become too old.

use std::rc::Rc;
use std::time::{Duration, Instant};

use policy::balance::ServerRecord;
use policy::replica::{Records, Update, UpdateKind};
use policy::routes::Catalog;
use spdlog::{info, warn};

use crate::crashes;
use crate::edge::{Changes, Source, SourceError};
use crate::state::State;
use crate::tables::{apply_catalogs, apply_servers};

/// How long the store may hold a question for which there is no new catalog.
/// A question that got lost with its link costs so long, which must stay well
/// within the time in which a catalog has to be in force.
const CATALOG_WAIT: Duration = Duration::from_secs(2);

/// The same where neighbours are told: they cannot know that the copy still
/// holds before the store answers, and would soon read by themselves.
const CATALOG_WAIT_SHARED: Duration = Duration::from_secs(1);

/// The same for servers. They report all the time, so that an answer comes at
/// once; a lost question should be given up soon.
const SERVER_WAIT: Duration = Duration::from_millis(300);

/// The same for crashes, of which there are few. Entries that see one tell the
/// others by themselves until the store has it.
const CRASHES_WAIT: Duration = Duration::from_secs(8);

/// The pause after a failed question; the store comes back at any moment.
const RETRY: Duration = Duration::from_millis(150);

/// The longest pause after failed questions. It doubles up to here, since an
/// outage of seconds would otherwise cost each entry dozens of calls; what is
/// known stays in force meanwhile.
const RETRY_MOST: Duration = Duration::from_millis(600);

/// Neighbours that are asked have told what has changed after so long.
const TOLD: Duration = Duration::from_millis(400);

/// How often is looked whether the store answers questions about servers, while
/// the other tables are not asked for.
const LOST: Duration = Duration::from_millis(200);

/// How often is looked whether a table has become too old.
const LOOK: Duration = Duration::from_millis(200);

/// The same while there is no copy of it.
const LOOK_FIRST: Duration = Duration::from_millis(20);

/// Servers report every second or so, each at another moment. Asking again
/// at once would cost a call for each report; in this pause several come
/// together, and a leaving server is still known far sooner than it must be.
const GATHER: Duration = Duration::from_millis(800);

/// The same pause with many entries, which share what the store can take.
const GATHER_MANY: Duration = Duration::from_millis(1500);

/// The same pause while servers may be writing their entries anew. A fresh
/// entry has none to call until it has read them.
const GATHER_BACK: Duration = Duration::from_millis(150);

/// The pause after servers were told to have crashed: several entries have calls
/// at each, and tell of it in the same moment.
const GATHER_CRASHES: Duration = Duration::from_millis(50);

/// The name of the table of servers.
const SERVERS: &str = "servers";

/// Entries heard from which there are many.
const MANY: usize = 8;

/// Follows what the operators declare.
pub async fn catalogs<S: Source<Item = Catalog>>(state: Rc<State>, source: S) {
    let mut reader = Reader::new("catalog", source);
    loop {
        wait_for_store(&state).await;
        let (asked, age) = {
            let replica = state.tables.catalog.borrow();
            (replica.position(), replica.age(state.clock.now()))
        };
        if let Some(spare) = spare(&state, age) {
            tokio::time::sleep(spare).await;
            continue;
        }
        let wait = if state.shares() {
            CATALOG_WAIT_SHARED
        } else {
            CATALOG_WAIT
        };
        let Some(update) = reader.next(&state, asked, wait).await else {
            tokio::time::sleep(reader.pause(&state)).await;
            continue;
        };
        let update = update.map(Rc::new);
        let news = state
            .tables
            .catalog
            .borrow_mut()
            .apply_store_update(update, asked);
        apply_catalogs(&state, news);
    }
}

/// Follows the backend servers.
pub async fn servers<S: Source<Item = ServerRecord>>(state: Rc<State>, source: S) {
    let mut reader = Reader::new(SERVERS, source);
    loop {
        let (asked, age) = {
            let replica = state.tables.servers.borrow();
            (replica.position(), replica.age(state.clock.now()))
        };
        if let Some(spare) = spare(&state, age) {
            tokio::time::sleep(spare).await;
            continue;
        }
        let Some(mut update) = reader.next(&state, asked, SERVER_WAIT).await else {
            tokio::time::sleep(reader.pause(&state)).await;
            continue;
        };
        if update.kind == UpdateKind::RestoredSnapshot {
            keep_leaving(&state, &mut update.records);
        }
        let now = state.clock.now();
        let news = state
            .tables
            .servers
            .borrow_mut()
            .apply_store_update(update, asked);
        apply_servers(&state, now, news);
        let away = !state.tables.settling_left(now).is_zero();
        tokio::time::sleep(poll_delay(away, state.rivals())).await;
    }
}

/// Follows the servers that have crashed under calls.
pub async fn crashes<S: Source<Item = u64>>(state: Rc<State>, source: S) {
    let mut reader = Reader::new("crashes", source);
    loop {
        wait_for_store(&state).await;
        // A neighbour tells at once, and how old its copy is shows in the
        // other tables.
        let now = state.clock.now();
        let told = state.readers.borrow_mut().preferred_peer(now).is_some();
        if told || !state.finder.borrow().is_settled(now) {
            tokio::time::sleep(LOOK).await;
            continue;
        }
        let asked = state.tables.crashes.borrow().position();
        let Some(update) = reader.next(&state, asked, CRASHES_WAIT).await else {
            tokio::time::sleep(reader.pause(&state)).await;
            continue;
        };
        let whole = update.kind != UpdateKind::Delta;
        let news = state
            .tables
            .crashes
            .borrow_mut()
            .apply_store_update(update, asked);
        let pause = if news.is_empty() {
            Duration::ZERO
        } else {
            GATHER_CRASHES
        };
        crashes::apply_changes(&state, state.clock.now(), news, whole);
        tokio::time::sleep(pause).await;
    }
}

/// Keeps servers leaving that were known to leave before the store came back
/// from a copy in which they still stay.
fn keep_leaving(state: &State, records: &mut Records<ServerRecord>) {
    let balance = state.balance.borrow();
    for listed in records.iter_mut().filter_map(|(_, listed)| listed.as_mut()) {
        listed.leaving |= balance.is_leaving(listed);
    }
}

/// Waits while the store is known not to answer, and then for neighbours, if
/// there are any, to tell what has changed meanwhile.
async fn wait_for_store(state: &State) {
    let lost = state.lost.get();
    while state.lost.get() {
        // Either way it is looked again.
        let _ = tokio::time::timeout(LOST, state.regained.notified()).await;
    }
    let now = state.clock.now();
    if lost && state.readers.borrow_mut().store_retry_delay(now).is_some() {
        tokio::time::sleep(TOLD).await;
    }
}

/// How long a table need not be read yet, at most until it is looked at again;
/// none when it is to be read now.
fn spare(state: &State, age: Option<Duration>) -> Option<Duration> {
    let now = state.clock.now();
    let finder = state.finder.borrow();
    let mut readers = state.readers.borrow_mut();
    let spare = match (readers.preferred_peer(now), age) {
        (None, None) if !finder.is_settled(now) => LOOK_FIRST,
        // Some neighbour tells it what there is sooner than the store would.
        (asked, None) if asked.is_some() || readers.has_fresh_peer(now, true) => {
            let spare = readers
                .initial_copy_wait()
                .checked_sub(finder.elapsed(now))?;
            spare.min(LOOK_FIRST)
        }
        (None, Some(age)) if readers.has_fresh_peer(now, false) => {
            readers.copy_age_limit().checked_sub(age)?
        }
        (None, _) | (Some(_), None) => return None,
        (Some(_), Some(age)) => readers.copy_age_limit().checked_sub(age)?,
    };
    Some(spare.clamp(Duration::from_millis(1), LOOK))
}

/// How long to wait after so many failures in a row.
#[must_use]
pub fn retry_delay(failures: u32) -> Duration {
    let doubled = RETRY.saturating_mul(1 << failures.saturating_sub(1).min(8));
    doubled.min(RETRY_MOST)
}

/// How long to wait before servers are read again: `away` says whether the
/// store was away a moment ago, `entries` how many other entries read it too.
#[must_use]
pub fn poll_delay(away: bool, entries: usize) -> Duration {
    match (away, entries >= MANY) {
        (true, _) => GATHER_BACK,
        (false, true) => GATHER_MANY,
        (false, false) => GATHER,
    }
}

/// Reads a table, then its changes, and starts over when it fell behind.
struct Reader<S> {
    name: &'static str,
    source: S,
    /// Whether the whole table has to be read.
    whole: bool,
    /// Whether the store has come back from an old copy since it was.
    rewound: bool,
    /// Failures since the last answer.
    failures: u32,
    /// Whether the store answered that it does not have what was asked for.
    outdated: bool,
}

impl<S: Source> Reader<S> {
    fn new(name: &'static str, source: S) -> Self {
        Self {
            name,
            source,
            whole: false,
            rewound: false,
            failures: 0,
            outdated: false,
        }
    }

    /// How long to wait after a failure. Where neighbours are asked too, they
    /// tell when they reach the store again. A store that has dropped what was
    /// asked for is there, and has the whole table.
    fn pause(&self, state: &State) -> Duration {
        if self.outdated {
            return RETRY;
        }
        let aside = state
            .readers
            .borrow_mut()
            .store_retry_delay(state.clock.now());
        retry_delay(self.failures).max(aside.unwrap_or_default())
    }

    /// What the store says of a table that is held up to `from`; it may keep
    /// the question for `wait`.
    async fn next(
        &mut self,
        state: &State,
        from: Option<u64>,
        wait: Duration,
    ) -> Option<Update<S::Item>> {
        let from = from.filter(|_| !self.whole);
        let sent = state.clock.now();
        // A question that was lost while the store was away would be waited
        // for on and on; that another table is answered again shows that the
        // store is back, and asking anew costs one question.
        let read = tokio::select! {
            read = self.read(from, wait) => read,
            () = state.regained.notified() => self.read(from, wait).await,
        };
        match read {
            Ok(changes) => {
                let scope = match from {
                    Some(_) => UpdateKind::Delta,
                    None if std::mem::take(&mut self.rewound) => UpdateKind::RestoredSnapshot,
                    None => UpdateKind::Snapshot,
                };
                self.answered(state, from.is_none());
                Some(update(
                    changes,
                    scope,
                    complete_at(sent, wait, state.clock.now()),
                ))
            }
            Err(e) => {
                self.failed(state, &e);
                None
            }
        }
    }

    async fn read(
        &self,
        from: Option<u64>,
        wait: Duration,
    ) -> Result<Changes<S::Item>, SourceError> {
        match from {
            None => self.source.newest().await,
            Some(from) => self.source.changes(from, wait).await,
        }
    }

    fn answered(&mut self, state: &State, whole: bool) {
        if state
            .readers
            .borrow_mut()
            .preferred_peer(state.clock.now())
            .is_some()
        {
            // Those before this entry have lost the store and may ask it.
            state.speak.notify_one();
        }
        if self.name == SERVERS {
            state.lost.set(false);
        }
        self.whole = false;
        if self.failures == 0 {
            return;
        }
        info!("store regained", kv: { table = self.name, failures = self.failures });
        self.failures = 0;
        // Whatever lapsed meanwhile shows only in a whole table.
        self.whole = !whole;
        state.tables.store_recovered(state.clock.now());
        state.regained.notify_waiters();
    }

    fn failed(&mut self, state: &State, e: &SourceError) {
        metrics::counter!("pimentocart_store_failures_total", "table" => self.name).increment(1);
        let rewound = matches!(e, SourceError::Rewound { .. });
        self.rewound |= rewound;
        if rewound {
            state
                .tables
                .restore_count
                .set(state.tables.restore_count.get() + 1);
        }
        self.whole |= rewound || matches!(e, SourceError::Expired { .. });
        self.failures = self.failures.saturating_add(1);
        self.outdated = !matches!(e, SourceError::Unavailable { .. });
        // Servers report all the time, so that this table shows first that the
        // store is back.
        if self.name == SERVERS && !self.outdated {
            state.lost.set(true);
        }
        // The first of a row is logged; the rest are counted.
        if self.failures == 1 {
            let version = state.catalog.borrow().as_ref().map_or(0, |c| c.version);
            warn!("store lost", kv: { table = self.name, cause = e.to_string().as_str(), version });
        }
    }
}

fn update<T>(changes: Changes<T>, kind: UpdateKind, as_of: Instant) -> Update<T> {
    let record = |(key, value): (String, Option<T>)| (Rc::from(key), value);
    Update {
        records: changes.records.into_iter().map(record).collect(),
        kind,
        position: changes.next,
        as_of,
    }
}

/// The moment up to which an answer is known to be complete: that of the
/// question, or the end of the time for which the store has kept it.
fn complete_at(sent: Instant, wait: Duration, answered: Instant) -> Instant {
    let held = answered.saturating_duration_since(sent) >= wait;
    if held { sent + wait } else { sent }
}
