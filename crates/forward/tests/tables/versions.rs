//! Tests of the recorded software versions, also during outages of the store.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use base::clock::SystemClock;
use base::stop::StopSignal;
use forward::platform::{Changes, Source, SourceError, VersionTable};
use forward::settings::Settings;
use forward::state::State;
use forward::{follow, versions};
use policy::balance::ServerRecord;
use policy::duty::WriteOutcome;
use policy::replica::OFFSET_BITS;
use policy::versions::records::{VersionKey, VersionRecord, VersionState};

use rstest::rstest;

use crate::common::{NoCallsDialect, wait_until};

/// The table of versions in a store that all entries share.
#[derive(Clone, Default)]
struct Table(Rc<Inner>);

#[derive(Default)]
struct Inner {
    log: RefCell<Vec<(VersionKey, Option<VersionRecord>)>>,
    unavailable: Cell<bool>,
    writes: Cell<u32>,
    failures: Cell<u32>,
    /// Number of restores of which the store tells its readers.
    era: Cell<u64>,
}

/// How a store that lost its newest records tells so.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Loss {
    /// It counts the restore.
    Restored,
    /// Its positions go back.
    SetUpAnew,
}

impl Table {
    /// The newest record of each key.
    fn records(&self) -> BTreeMap<VersionKey, VersionRecord> {
        let log = self.0.log.borrow();
        let newest: BTreeMap<_, _> = log.iter().cloned().collect();
        let kept = newest.into_iter().filter_map(|(key, r)| Some((key, r?)));
        kept.collect()
    }

    /// Restores the store from a copy that ends at position `next`.
    fn restore(&self, next: usize) {
        self.0.log.borrow_mut().truncate(next);
    }

    /// Loses all records.
    fn lose_all(&self, loss: Loss) {
        self.restore(0);
        if loss == Loss::Restored {
            self.0.era.set(self.0.era.get() + 1);
        }
    }

    /// The position at the end of the log.
    fn end(&self) -> u64 {
        self.0.era.get() << OFFSET_BITS | self.0.log.borrow().len() as u64
    }

    /// Writes the record of an active version.
    fn insert(&self, version: &str) {
        let record = VersionRecord::unnamed(VersionState::Active);
        let key = VersionKey::new("llm", version);
        self.0.log.borrow_mut().push((key, Some(record)));
    }

    fn check(&self) -> Result<(), SourceError> {
        if !self.0.unavailable.get() {
            return Ok(());
        }
        self.0.failures.set(self.0.failures.get() + 1);
        let (step, peer, cause) = ("call", "store".to_owned(), "down".to_owned());
        Err(SourceError::Unavailable { step, peer, cause })
    }
}

impl Source for Table {
    type Item = VersionRecord;

    async fn snapshot(&self) -> Result<Changes<VersionRecord>, SourceError> {
        self.check()?;
        let records = self.records().into_iter();
        Ok(Changes {
            records: records.map(|(key, r)| (key.to_string(), Some(r))).collect(),
            next: self.end(),
        })
    }

    async fn changes(
        &self,
        from: u64,
        _wait: Duration,
    ) -> Result<Changes<VersionRecord>, SourceError> {
        tokio::time::sleep(Duration::from_millis(5)).await;
        self.check()?;
        let (step, peer) = ("read", "store".to_owned());
        if from >> OFFSET_BITS != self.0.era.get() {
            return Err(SourceError::Rewound { step, peer });
        }
        let offset = from & ((1 << OFFSET_BITS) - 1);
        let log = self.0.log.borrow();
        let Some(records) = log.get(usize::try_from(offset).expect("short")..) else {
            return Err(SourceError::Expired { step, peer });
        };
        let text = |(key, r): &(VersionKey, Option<VersionRecord>)| (key.to_string(), r.clone());
        Ok(Changes {
            records: records.iter().map(text).collect(),
            next: self.end(),
        })
    }
}

impl VersionTable for Table {
    async fn write(&self, records: &[(VersionKey, VersionRecord)]) -> Result<(), SourceError> {
        self.check()?;
        self.0.writes.set(self.0.writes.get() + 1);
        let records = records.iter().map(|(key, r)| (*key, Some(r.clone())));
        self.0.log.borrow_mut().extend(records);
        Ok(())
    }

    async fn replace(
        &self,
        at: u64,
        key: VersionKey,
        record: Option<&VersionRecord>,
    ) -> WriteOutcome {
        let mut log = self.0.log.borrow_mut();
        if (self.0.era.get() << OFFSET_BITS | log.len() as u64) != at {
            return WriteOutcome::Conflict;
        }
        log.push((key, record.cloned()));
        WriteOutcome::Stored(at)
    }
}

/// Starts an entry on `table`.
fn start_entry(table: &Table) -> Rc<State> {
    let any = "127.0.0.1:1";
    let text = serde_json::json!({
        "name": "entry", "zone": "a", "listen": any, "ready": any, "ready_path": "/ready",
        "gossip": any, "store": any, "grace_s": 8.0, "repeat_ratio": 0.2,
        "repeat_window_s": 10.0,
    });
    let settings: Settings = serde_json::from_value(text).expect("settings");
    let state = State::new(settings, Rc::new(NoCallsDialect), Rc::new(SystemClock));
    actix_rt::spawn(follow::versions(Rc::clone(&state), table.clone()));
    actix_rt::spawn(versions::write_to_store(
        Rc::clone(&state),
        table.clone(),
        StopSignal::new(),
    ));
    state
}

fn list_server(state: &State, version: &str) {
    let record = ServerRecord {
        id: Rc::from(version),
        service: Rc::from("llm"),
        addr: SocketAddr::from(([127, 0, 0, 1], 1)),
        zone: Rc::from("a"),
        slots: 4,
        leaving: false,
        started_ms: None,
        version: Rc::from(version),
    };
    let now = state.clock.now();
    state.balancer.borrow_mut().upsert(now, record);
}

fn is_active(table: &Table, version: &str) -> bool {
    let records = table.records();
    let record = records.get(&VersionKey::new("llm", version));
    record.is_some_and(|r| r.state == VersionState::Active)
}

/// Guards against a version without a record, and against each entry that starts writing it
/// again.
#[actix_rt::test]
async fn version_recorded_once() {
    let table = Table::default();
    let first = start_entry(&table);
    list_server(&first, "v1");
    wait_until("the version is recorded", || is_active(&table, "v1")).await;
    let second = start_entry(&table);
    list_server(&second, "v1");
    wait_until("the record is known", || second.versions.count() == 1).await;
    list_server(&second, "v2");
    let known = || first.versions.count() == 2 && is_active(&table, "v2");
    wait_until("the second version is recorded", known).await;
    assert_eq!(table.0.writes.get(), 2);
}

/// Guards against a version that stays without a record after the store was away.
#[actix_rt::test]
async fn version_recorded_after_outage() {
    let table = Table::default();
    let entry = start_entry(&table);
    wait_until("the records are read", || {
        entry.tables.versions.borrow().position().is_some()
    })
    .await;
    table.0.unavailable.set(true);
    list_server(&entry, "v1");
    wait_until("a call fails", || table.0.failures.get() > 1).await;
    table.0.unavailable.set(false);
    wait_until("the version is recorded", || is_active(&table, "v1")).await;
}

/// Guards against a version without a record after the store was restored from a copy.
#[actix_rt::test]
async fn lost_record_is_written_again() {
    let table = Table::default();
    let entry = start_entry(&table);
    list_server(&entry, "v1");
    wait_until("the version is recorded", || {
        is_active(&table, "v1") && entry.versions.count() == 1
    })
    .await;
    wait_until("the record is read", || {
        entry.tables.versions.borrow().position() == Some(1)
    })
    .await;
    table.restore(0);
    wait_until("the version is recorded again", || is_active(&table, "v1")).await;
}

/// Guards against an entry that forgets the versions it has read when the store is restored
/// from a copy without them: none of them may have servers any more that would tell.
#[rstest]
#[case::restored(Loss::Restored)]
#[case::set_up_anew(Loss::SetUpAnew)]
#[actix_rt::test]
async fn read_records_outlast_restored_table(#[case] loss: Loss) {
    let table = Table::default();
    table.insert("v1");
    table.insert("v2");
    let entry = start_entry(&table);
    let known = || entry.versions.of_service("llm").len();
    wait_until("the records are read", || known() == 2).await;
    table.lose_all(loss);
    list_server(&entry, "v2");
    let fewest = Cell::new(2);
    wait_until("the records are written again", || {
        fewest.set(fewest.get().min(known()));
        table.records().len() == 2
    })
    .await;
    assert_eq!(fewest.get(), 2);
    assert!(is_active(&table, "v1") && is_active(&table, "v2"));
}
