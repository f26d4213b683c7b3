//! Following the servers that crash under calls, through losses of the store.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::{Duration, Instant};

use base::clock::{Clock, SystemClock};
use base::stop::StopSignal;
use forward::platform::{self, Changes, Source, SourceError};
use forward::settings::Settings;
use forward::state::State;
use forward::{crashes, follow, neighbours};
use policy::readers::{MIN_SHARING_ENTRIES, Rank};
use policy::suspects::{Crash, Fingerprint};
use tokio::net::TcpListener;

use crate::common::{Mute, PATIENCE, until};

/// The table in a store that all entries share.
#[derive(Clone, Default)]
struct Table(Rc<Inner>);

#[derive(Default)]
struct Inner {
    log: RefCell<Vec<(String, Option<u64>)>>,
    away: Cell<bool>,
    /// Whether it has refused a question.
    refused: Cell<bool>,
}

impl Table {
    /// Has the store come back from a copy that ends at `next`.
    fn rewind(&self, next: usize) {
        self.0.log.borrow_mut().truncate(next);
    }

    /// The newest record of each key.
    fn records(&self) -> BTreeMap<String, u64> {
        let log = self.0.log.borrow();
        let newest: BTreeMap<_, _> = log.iter().cloned().collect();
        let held = |(key, at): (String, Option<u64>)| Some((key, at?));
        newest.into_iter().filter_map(held).collect()
    }

    fn check(&self) -> Result<(), SourceError> {
        let (step, peer, cause) = ("read", "store".to_owned(), "down".to_owned());
        if self.0.away.get() {
            self.0.refused.set(true);
            return Err(SourceError::Unavailable { step, peer, cause });
        }
        Ok(())
    }
}

impl Source for Table {
    type Item = u64;

    async fn snapshot(&self) -> Result<Changes<u64>, SourceError> {
        self.check()?;
        let records = self.records().into_iter();
        Ok(Changes {
            records: records.map(|(key, at)| (key, Some(at))).collect(),
            next: self.0.log.borrow().len() as u64,
        })
    }

    async fn changes(&self, from: u64, _wait: Duration) -> Result<Changes<u64>, SourceError> {
        tokio::time::sleep(Duration::from_millis(5)).await;
        self.check()?;
        let log = self.0.log.borrow();
        let Some(records) = log.get(usize::try_from(from).expect("short")..) else {
            self.0.refused.set(true);
            let (step, peer) = ("read", "store".to_owned());
            return Err(SourceError::Expired { step, peer });
        };
        Ok(Changes {
            records: records.to_vec(),
            next: log.len() as u64,
        })
    }
}

impl platform::CrashTable for Table {
    async fn write(&self, crashes: &[(Crash, Option<u64>)]) -> Result<(), SourceError> {
        self.check()?;
        let records = crashes.iter().map(|(crash, at)| (crash.to_string(), *at));
        self.0.log.borrow_mut().extend(records);
        Ok(())
    }
}

fn fatal() -> Fingerprint {
    Fingerprint::from_parts(&[b"fatal"])
}

/// Has an entry with a store of its own see servers crash.
async fn see(table: &Table, lives: std::ops::Range<u64>) {
    let crashes = lives.map(|incarnation| {
        (
            Crash {
                fingerprint: fatal(),
                incarnation,
            },
            Some(SystemClock.wall_ms()),
        )
    });
    let crashes: Vec<_> = crashes.collect();
    platform::CrashTable::write(table, &crashes)
        .await
        .expect("written");
}

/// Starts an entry on `table`.
async fn entry(table: &Table) -> Rc<State> {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let addr = listener.local_addr().expect("an address");
    let any = "127.0.0.1:1";
    let text = serde_json::json!({
        "name": "entry", "zone": "a", "listen": any, "ready": any, "ready_path": "/ready",
        "gossip": addr, "store": any, "grace_s": 8.0, "repeat_ratio": 0.2,
        "repeat_window_s": 10.0, "link_mbps": 10.0,
    });
    let settings: Settings = serde_json::from_value(text).expect("settings");
    let state = State::new(settings, Rc::new(Mute), Rc::new(SystemClock));
    let (follows, writes) = (Rc::clone(&state), Rc::clone(&state));
    actix_rt::spawn(follow::crashes(follows, table.clone()));
    actix_rt::spawn(crashes::write_to_store(
        writes,
        table.clone(),
        StopSignal::new(),
    ));
    actix_rt::spawn(neighbours::answer_requests(
        listener,
        Rc::clone(&state),
        StopSignal::new(),
    ));
    actix_rt::spawn(neighbours::follow(Rc::clone(&state), StopSignal::new()));
    state
}

/// Has `state` hear `first`, which has a wider link, and enough silent ones for
/// a zone that shares.
fn hear(state: &State, first: &State) {
    let (until, addr) = (Instant::now() + PATIENCE, first.settings.gossip);
    let mut readers = state.zone_readers.borrow_mut();
    readers.observe(addr, Rank::new(0, addr, u32::MAX), until);
    for n in 2..=MIN_SHARING_ENTRIES {
        let addr = ([127, 0, 0, u8::try_from(n).expect("a few")], 1).into();
        readers.observe(addr, Rank::new(0, addr, 0), until);
    }
}

fn refused(state: &State) -> bool {
    state
        .crashes
        .refusal_left(state.clock.now(), fatal())
        .is_some()
}

/// Guards against a request being passed on by an entry that no server has
/// crashed for.
#[actix_rt::test]
async fn ends_seen_elsewhere_are_held() {
    let table = Table::default();
    let state = entry(&table).await;
    see(&table, 0..2).await;
    until("two are known", || state.crashes.count() == 2).await;
    assert!(!refused(&state));
    see(&table, 2..3).await;
    until("refused", || refused(&state)).await;
}

/// Guards against an entry of a large zone, which does not read the store,
/// learning nothing.
#[actix_rt::test]
async fn neighbour_tells_of_ends() {
    let (table, nothing) = (Table::default(), Table::default());
    let first = entry(&table).await;
    let other = entry(&nothing).await;
    nothing.0.away.set(true);
    hear(&other, &first);
    see(&table, 0..3).await;
    until("refused", || refused(&other)).await;
}

/// Guards against a request being passed on again once the store has come back
/// from a copy that lacks what the entries had told it.
#[actix_rt::test]
async fn lost_ends_are_written_again() {
    let table = Table::default();
    let state = entry(&table).await;
    see(&table, 0..1).await;
    see(&table, 1..3).await;
    until("refused", || refused(&state)).await;
    table.rewind(1);
    until("the store refuses the position", || table.0.refused.get()).await;
    until("written again", || table.records().len() == 3).await;
    assert!(refused(&state));
}

/// Guards against a request being passed on by entries that read the store while
/// it is away.
#[actix_rt::test]
async fn held_while_the_store_is_away() {
    let table = Table::default();
    let state = entry(&table).await;
    see(&table, 0..3).await;
    until("refused", || refused(&state)).await;
    table.0.away.set(true);
    until("the store does not answer", || table.0.refused.get()).await;
    assert!(refused(&state));
}

/// Guards against a crash being held for ever that another entry has cleared.
#[actix_rt::test]
async fn cleared_elsewhere_is_let_go() {
    let table = Table::default();
    let state = entry(&table).await;
    see(&table, 0..3).await;
    until("refused", || refused(&state)).await;
    let other = entry(&table).await;
    until("refused there too", || refused(&other)).await;
    other.crashes.request_served(fatal());
    until("gone from the store", || table.records().is_empty()).await;
    until("let go", || !refused(&state)).await;
}
