//! Keeping level with the platform's tables.
//!
//! A reader takes a whole table once and then its changes. When the store is
//! away, what was read last stays in force: a catalog never goes back, and a
//! server that is only missing from view may well live.

use std::collections::HashSet;
use std::rc::Rc;
use std::time::{Duration, Instant};

use policy::balance::{Change, Listed};
use policy::routes::Catalog;
use spdlog::{info, warn};

use crate::edge::{Changes, Source, SourceError};
use crate::state::State;

/// How long the store may hold a question for which there is no new catalog.
/// A question that got lost with its link costs so long, which must stay well
/// within the time in which a catalog has to be in force.
const CATALOG_WAIT: Duration = Duration::from_secs(2);

/// The same for servers. They report all the time, so that an answer comes at
/// once; a lost question should be given up soon.
const SERVER_WAIT: Duration = Duration::from_millis(300);

/// The pause after a failed question; the store comes back at any moment.
const RETRY: Duration = Duration::from_millis(150);

/// The longest pause after failed questions. It doubles up to here, since an
/// outage of seconds would otherwise cost each entry dozens of calls; what is
/// known stays in force meanwhile.
const RETRY_MOST: Duration = Duration::from_millis(600);

/// Servers report every second or so, each at another moment. Asking again
/// at once would cost a call for each report; in this pause several come
/// together, and a leaving server is still known far sooner than it must be.
const GATHER: Duration = Duration::from_millis(800);

/// The same pause with many entries, which share what the store can take.
const GATHER_MANY: Duration = Duration::from_millis(1500);

/// The same pause while servers may be writing their entries anew. A fresh
/// entry has none to call until it has read them.
const GATHER_BACK: Duration = Duration::from_millis(150);

/// Entries heard from which there are many.
const MANY: usize = 8;

/// Servers whose entries lapsed while the store was away write them anew
/// within two seconds of its return. Those still missing then are gone.
const RETURN: Duration = Duration::from_secs(2);

/// A server that goes missing while the store answers has left, and may take
/// its last calls for about two seconds.
const LEAVE: Duration = Duration::from_millis(1200);

/// Entries that lapsed while the store was away may show as dropped up to so
/// long after it has come back.
const SETTLE: Duration = Duration::from_secs(3);

/// Follows what the operators declare.
pub async fn catalogs<S: Source<Item = Catalog>>(state: Rc<State>, source: S) {
    let mut reader = Reader::new("catalog", source, CATALOG_WAIT);
    loop {
        let Some(news) = reader.next(&state).await else {
            tokio::time::sleep(retry(reader.failures)).await;
            continue;
        };
        for (_, catalog) in news.records {
            if let Some(catalog) = catalog {
                put(&state, catalog);
            }
        }
    }
}

/// Puts a catalog in force unless a newer one is.
fn put(state: &State, catalog: Catalog) {
    let held = state.catalog.borrow().as_ref().map(|c| c.version);
    if held.is_some_and(|v| v >= catalog.version) {
        return;
    }
    info!("catalog in force", kv: {
        version = catalog.version,
        before = held.unwrap_or(0),
        routes = catalog.routes()
    });
    metrics::gauge!("pimentocart_catalog_version").set(catalog.version as f64);
    *state.catalog.borrow_mut() = Some(Rc::new(catalog));
}

/// Follows the backend servers.
pub async fn servers<S: Source<Item = Listed>>(state: Rc<State>, source: S) {
    let mut reader = Reader::new("servers", source, SERVER_WAIT);
    loop {
        let Some(news) = reader.next(&state).await else {
            tokio::time::sleep(retry(reader.failures)).await;
            continue;
        };
        let now = state.clock.now();
        let away = reader.regained.is_some_and(|at| now < at + SETTLE);
        let until = now + if away { RETURN } else { LEAVE };
        if news.whole {
            let shown: HashSet<&str> = news.records.iter().map(|(k, _)| k.as_str()).collect();
            let known: Vec<Rc<str>> = state.balance.borrow().ids();
            let unseen = known.iter().filter(|id| !shown.contains(&***id));
            unseen.for_each(|id| miss(&state, now, id, until));
        }
        for (id, listed) in news.records {
            match listed {
                Some(listed) => list(&state, listed),
                None => miss(&state, now, &id, until),
            }
        }
        for id in state.balance.borrow_mut().forget(now, RETURN) {
            state.pool.forget(&id);
            info!("server forgotten", kv: { server = &*id });
        }
        state.listed.set(true);
        let entries = state.others.borrow().count();
        tokio::time::sleep(pause(away, entries)).await;
    }
}

/// How long to wait after so many failures in a row.
#[must_use]
pub fn retry(failures: u32) -> Duration {
    let doubled = RETRY.saturating_mul(1 << failures.saturating_sub(1).min(8));
    doubled.min(RETRY_MOST)
}

/// How long to wait before servers are read again: `away` says whether the
/// store was away a moment ago, `entries` how many other entries read it too.
#[must_use]
pub fn pause(away: bool, entries: usize) -> Duration {
    match (away, entries >= MANY) {
        (true, _) => GATHER_BACK,
        (false, true) => GATHER_MANY,
        (false, false) => GATHER,
    }
}

fn list(state: &State, listed: Listed) {
    let (id, leaving) = (Rc::clone(&listed.id), listed.leaving);
    let (addr, zone, born) = (listed.addr, Rc::clone(&listed.zone), listed.born);
    let change = state.balance.borrow_mut().list(listed);
    if change == Change::None {
        return;
    }
    // Connections to its earlier life lead nowhere any more.
    if leaving || change == Change::Restarted {
        state.pool.forget(&id);
    }
    info!("server listed", kv: {
        server = &*id,
        addr = addr.to_string().as_str(),
        zone = &*zone,
        leaving,
        born = born.unwrap_or(0),
        restarted = change == Change::Restarted
    });
}

fn miss(state: &State, now: Instant, id: &str, until: Instant) {
    if state.balance.borrow_mut().miss(now, id, until) {
        info!("server missing", kv: { server = id });
    }
}

/// Reads a table, then its changes, and starts over when it fell behind.
struct Reader<S> {
    name: &'static str,
    source: S,
    /// How long the store may hold a question.
    wait: Duration,
    /// The position from which to go on; none before a whole table was read.
    from: Option<u64>,
    /// Failures since the last answer.
    failures: u32,
    /// When the store last came back.
    regained: Option<Instant>,
}

/// What a read brought.
struct News<T> {
    records: Vec<(String, Option<T>)>,
    /// Whether this is the whole table.
    whole: bool,
}

impl<S: Source> Reader<S> {
    fn new(name: &'static str, source: S, wait: Duration) -> Self {
        Self {
            name,
            source,
            wait,
            from: None,
            failures: 0,
            regained: None,
        }
    }

    async fn next(&mut self, state: &State) -> Option<News<S::Item>> {
        let whole = self.from.is_none();
        // A question that was lost while the store was away would be waited
        // for on and on; that another table is answered again shows that the
        // store is back, and asking anew costs one question.
        let read = tokio::select! {
            read = self.read() => read,
            () = state.regained.notified() => self.read().await,
        };
        match read {
            Ok(changes) => {
                if self.failures > 0 {
                    info!("store regained", kv: { table = self.name, failures = self.failures });
                    // Whatever lapsed meanwhile shows only in a whole table.
                    self.failures = 0;
                    self.regained = Some(state.clock.now());
                    state.regained.notify_waiters();
                    self.from = None;
                    if !whole {
                        return Some(self.news(changes.records, false));
                    }
                }
                self.from = Some(changes.next);
                Some(self.news(changes.records, whole))
            }
            Err(e) => {
                self.failed(state, &e);
                None
            }
        }
    }

    async fn read(&self) -> Result<Changes<S::Item>, SourceError> {
        match self.from {
            None => self.source.newest().await,
            Some(from) => self.source.changes(from, self.wait).await,
        }
    }

    fn news(&self, records: Vec<(String, Option<S::Item>)>, whole: bool) -> News<S::Item> {
        News { records, whole }
    }

    fn failed(&mut self, state: &State, e: &SourceError) {
        metrics::counter!("pimentocart_store_failures_total", "table" => self.name).increment(1);
        if matches!(e, SourceError::Expired { .. }) {
            self.from = None;
        }
        self.failures = self.failures.saturating_add(1);
        // The first of a row is logged; the rest are counted.
        if self.failures == 1 {
            let version = state.catalog.borrow().as_ref().map_or(0, |c| c.version);
            warn!("store lost", kv: { table = self.name, cause = e.to_string().as_str(), version });
        }
    }
}
