//! Tests of the crash table, also during outages of the store.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::{Duration, Instant};

use base::clock::{Clock, SystemClock};
use base::stop::StopSignal;
use forward::crashes::CallIdentity;
use forward::platform::{self, Changes, Source, SourceError};
use forward::settings::Settings;
use forward::state::State;
use forward::{crashes, follow, neighbours};
use policy::readers::{MIN_SHARING_ENTRIES, Rank};
use policy::roster::EntryCounts;
use policy::suspects::{Crash, CrashRecord, CrashReport, Fingerprint, RecordKey};
use rstest::rstest;
use tokio::net::TcpListener;

use crate::common::{NoCallsDialect, TEST_TIMEOUT, wait_until};

/// The crash table in a store that all entries share.
#[derive(Clone, Default)]
struct Table(Rc<Inner>);

#[derive(Default)]
struct Inner {
    log: RefCell<Vec<(String, Option<CrashRecord>)>>,
    unavailable: Cell<bool>,
    /// Whether it has refused a request.
    refused: Cell<bool>,
    /// Number of times that it was read.
    reads: Cell<u32>,
}

impl Table {
    /// Restores the store from a copy that ends at position `next`.
    fn restore(&self, next: usize) {
        self.0.log.borrow_mut().truncate(next);
    }

    /// The newest record of each key.
    fn records(&self) -> BTreeMap<String, CrashRecord> {
        let log = self.0.log.borrow();
        let newest: BTreeMap<_, _> = log.iter().cloned().collect();
        let kept = |(key, record): (String, Option<CrashRecord>)| Some((key, record?));
        newest.into_iter().filter_map(kept).collect()
    }

    fn check(&self) -> Result<(), SourceError> {
        let (step, peer, cause) = ("read", "store".to_owned(), "down".to_owned());
        if self.0.unavailable.get() {
            self.0.refused.set(true);
            return Err(SourceError::Unavailable { step, peer, cause });
        }
        Ok(())
    }
}

impl Source for Table {
    type Item = CrashRecord;

    async fn snapshot(&self) -> Result<Changes<CrashRecord>, SourceError> {
        self.check()?;
        self.0.reads.set(self.0.reads.get() + 1);
        let records = self.records().into_iter();
        Ok(Changes {
            records: records.map(|(key, record)| (key, Some(record))).collect(),
            next: self.0.log.borrow().len() as u64,
        })
    }

    async fn changes(
        &self,
        from: u64,
        _wait: Duration,
    ) -> Result<Changes<CrashRecord>, SourceError> {
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
    async fn write(&self, records: &[(RecordKey, Option<CrashRecord>)]) -> Result<(), SourceError> {
        self.check()?;
        let records = records
            .iter()
            .map(|(key, record)| (key.to_string(), record.clone()));
        self.0.log.borrow_mut().extend(records);
        Ok(())
    }
}

fn crashing_call() -> Fingerprint {
    Fingerprint::from_parts(&[b"fatal"])
}

/// Records crashes of several server incarnations, as another entry would.
async fn record_crashes(table: &Table, incarnations: std::ops::Range<u64>) {
    let crashes = incarnations.map(|incarnation| {
        let crash = Crash {
            fingerprint: crashing_call(),
            incarnation,
        };
        let record = CrashRecord {
            seen_ms: SystemClock.wall_ms(),
            ..CrashRecord::default()
        };
        (RecordKey::Crash(crash), Some(record))
    });
    let crashes: Vec<_> = crashes.collect();
    platform::CrashTable::write(table, &crashes)
        .await
        .expect("written");
}

/// Starts an entry on `table`.
async fn start_entry(table: &Table) -> Rc<State> {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let addr = listener.local_addr().expect("an address");
    let any = "127.0.0.1:1";
    let text = serde_json::json!({
        "name": "entry", "zone": "a", "listen": any, "ready": any, "ready_path": "/ready",
        "gossip": addr, "store": any, "grace_s": 8.0, "repeat_ratio": 0.2,
        "repeat_window_s": 10.0, "link_mbps": 10.0,
    });
    let settings: Settings = serde_json::from_value(text).expect("settings");
    let state = State::new(settings, Rc::new(NoCallsDialect), Rc::new(SystemClock));
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

/// Makes `first`, which has a wider link, known to `state`, and enough silent entries that
/// the zone shares reads.
fn observe_entries(state: &State, first: &State) {
    let (expires_at, addr) = (Instant::now() + TEST_TIMEOUT, first.settings.gossip);
    let mut readers = state.zone_readers.borrow_mut();
    readers.observe(addr, Rank::new(0, addr, u32::MAX), expires_at);
    for n in 2..=MIN_SHARING_ENTRIES {
        let addr = ([127, 0, 0, u8::try_from(n).expect("a few")], 1).into();
        readers.observe(addr, Rank::new(0, addr, 0), expires_at);
    }
}

fn refused(state: &State) -> bool {
    let call = CallIdentity {
        fingerprint: crashing_call(),
        shared_parts: Vec::new(),
    };
    let left = state.crashes.refusal_left(state.clock.now(), &call);
    left.is_some()
}

/// Guards against a request being sent on by an entry that saw none of its crashes: those
/// that other entries recorded count as well.
#[actix_rt::test]
async fn crashes_seen_by_other_entries_count() {
    let table = Table::default();
    let state = start_entry(&table).await;
    record_crashes(&table, 0..2).await;
    wait_until("two crashes are known", || state.crashes.count() == 2).await;
    assert!(!refused(&state));
    record_crashes(&table, 2..3).await;
    wait_until("refused", || refused(&state)).await;
}

/// Guards against an entry of a large zone, which does not read the store, missing the
/// crashes: it gets them from its neighbour.
#[actix_rt::test]
async fn neighbour_passes_crashes_on() {
    let (table, nothing) = (Table::default(), Table::default());
    let first = start_entry(&table).await;
    let other = start_entry(&nothing).await;
    nothing.0.unavailable.set(true);
    observe_entries(&other, &first);
    record_crashes(&table, 0..3).await;
    wait_until("refused", || refused(&other)).await;
}

/// Guards against a request being sent on again after the store was restored from a copy
/// that lacks the latest crashes.
#[actix_rt::test]
async fn lost_crashes_are_written_again() {
    let table = Table::default();
    let state = start_entry(&table).await;
    record_crashes(&table, 0..1).await;
    record_crashes(&table, 1..3).await;
    wait_until("refused", || refused(&state)).await;
    table.restore(1);
    wait_until("the store refuses the position", || table.0.refused.get()).await;
    wait_until("written again", || table.records().len() == 3).await;
    assert!(refused(&state));
}

/// Guards against a request being sent on by entries that read the store while it is
/// unavailable.
#[actix_rt::test]
async fn refused_while_store_unavailable() {
    let table = Table::default();
    let state = start_entry(&table).await;
    record_crashes(&table, 0..3).await;
    wait_until("refused", || refused(&state)).await;
    table.0.unavailable.set(true);
    wait_until("the store refuses the request", || table.0.refused.get()).await;
    assert!(refused(&state));
}

/// Guards against a crash counting forever although another entry has cleared it.
#[actix_rt::test]
async fn crashes_cleared_by_another_entry_are_removed() {
    let table = Table::default();
    let state = start_entry(&table).await;
    record_crashes(&table, 0..3).await;
    wait_until("refused", || refused(&state)).await;
    let other = start_entry(&table).await;
    wait_until("refused by the other entry", || refused(&other)).await;
    other.crashes.request_served(crashing_call());
    wait_until("deleted from the store", || table.records().is_empty()).await;
    wait_until("accepted again", || !refused(&state)).await;
}

/// Lets an entry know that there are `total` entries.
fn set_entry_count(state: &State, total: usize) {
    let counts = EntryCounts {
        total,
        same_zone: 10,
        preceding: 0,
    };
    let now = state.clock.now();
    state.roster.borrow_mut().record_counts(now, counts);
}

/// Lets a server crash under a call of `state` whose prompt has part 7.
fn crash_server(state: &Rc<State>, incarnation: u64) {
    let report = CrashReport {
        crash: Crash {
            fingerprint: Fingerprint::from_parts(&[&incarnation.to_le_bytes()]),
            incarnation,
        },
        age: Duration::ZERO,
        run: Duration::from_millis(100),
        just_began: false,
        shared_parts: vec![7],
    };
    crashes::add_own_reports(state, vec![report]);
}

/// Guards against the crashes of an entry reaching the store so late in a large fleet that
/// the part of a prompt under which servers crash is not known within the 3 s that are
/// allowed.
#[rstest]
#[case::small(4)]
#[case::middle(100)]
#[case::large(987)]
#[actix_rt::test]
async fn repeated_crashes_are_written_soon(#[case] entries: usize) {
    let table = Table::default();
    let state = start_entry(&table).await;
    wait_until("the table was read", || table.0.reads.get() > 0).await;
    set_entry_count(&state, entries);
    tokio::time::pause();
    for incarnation in 0..5 {
        crash_server(&state, incarnation);
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    tokio::time::sleep(Duration::from_millis(2500)).await;
    assert_eq!(table.records().len(), 5);
}

/// Guards against entries that write all crashes at once when all servers crash: those that
/// point at no part wait.
#[actix_rt::test]
async fn single_crashes_are_paced() {
    let table = Table::default();
    let state = start_entry(&table).await;
    wait_until("the table was read", || table.0.reads.get() > 0).await;
    set_entry_count(&state, 100);
    tokio::time::pause();
    for incarnation in 0..5 {
        let mut report = CrashReport::without_parts(
            Crash {
                fingerprint: crashing_call(),
                incarnation,
            },
            Duration::ZERO,
        );
        report.shared_parts = vec![incarnation];
        crashes::add_own_reports(&state, vec![report]);
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    assert_eq!(table.records().len(), 1);
    tokio::time::sleep(Duration::from_millis(2500)).await;
    assert_eq!(table.records().len(), 5);
}
