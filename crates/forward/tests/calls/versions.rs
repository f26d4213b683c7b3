//! Streams of software versions that the store has, or may have, no record of.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use base::stop::StopSignal;
use forward::platform::{Changes, Source, SourceError, VersionTable};
use forward::versions;
use policy::duty::WriteOutcome;
use policy::replica::{Replica, Update, UpdateKind};
use policy::routes::CallKind;
use policy::versions::records::{VersionKey, VersionRecord, VersionState};
use rstest::rstest;
use tokio::sync::Notify;

use crate::common::{Action, Entry, Plan, header, status};

/// An event of a stream that does not end.
const EVENT: &str = "HTTP/1.1 200 OK\r\ncall-id: {id}\r\nseal: s\r\n\
    Transfer-Encoding: chunked\r\n\r\n10\r\nid: 1\ndata: a\n\n\n\r\n0\r\n\r\n";

/// What the store does with a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Access {
    /// Answers.
    Open,
    /// Answers writes once they are let through.
    Held,
    /// Refuses.
    Refused,
}

/// The table of versions in a store.
#[derive(Clone)]
struct Table(Rc<Inner>);

struct Inner {
    access: Access,
    log: RefCell<Vec<(String, VersionRecord)>>,
    /// Writes that have arrived.
    arrived: Cell<u32>,
    /// Lets a write through.
    release: Notify,
}

impl Table {
    fn new(access: Access, versions: &[&str]) -> Self {
        let record = |version: &&str| {
            let key = VersionKey::new("app", version).to_string();
            (key, VersionRecord::unnamed(VersionState::Active))
        };
        Self(Rc::new(Inner {
            access,
            log: RefCell::new(versions.iter().map(record).collect()),
            arrived: Cell::new(0),
            release: Notify::new(),
        }))
    }

    fn check(&self) -> Result<(), SourceError> {
        let (step, peer, cause) = ("call", "store".to_owned(), "down".to_owned());
        match self.0.access {
            Access::Refused => Err(SourceError::Unavailable { step, peer, cause }),
            Access::Open | Access::Held => Ok(()),
        }
    }
}

impl Source for Table {
    type Item = VersionRecord;

    async fn snapshot(&self) -> Result<Changes<VersionRecord>, SourceError> {
        self.check()?;
        let log = self.0.log.borrow();
        let records = log.iter().map(|(key, r)| (key.clone(), Some(r.clone())));
        Ok(Changes {
            records: records.collect(),
            next: log.len() as u64,
        })
    }

    async fn changes(&self, _: u64, _: Duration) -> Result<Changes<VersionRecord>, SourceError> {
        self.snapshot().await
    }
}

impl VersionTable for Table {
    async fn write(&self, records: &[(VersionKey, VersionRecord)]) -> Result<(), SourceError> {
        self.0.arrived.set(self.0.arrived.get() + 1);
        if self.0.access == Access::Held {
            self.0.release.notified().await;
        }
        self.check()?;
        let records = records.iter().map(|(key, r)| (key.to_string(), r.clone()));
        self.0.log.borrow_mut().extend(records);
        Ok(())
    }

    async fn replace(&self, _: u64, _: VersionKey, _: Option<&VersionRecord>) -> WriteOutcome {
        WriteOutcome::Refused
    }
}

/// Starts an entry that has read no records, and its tasks that read and write them.
async fn start(plan: Plan, table: &Table) -> Entry {
    let entry = Entry::start(plan).await;
    let state = &entry.state;
    *state.tables.versions.borrow_mut() = Replica::default();
    versions::apply_changes(state, state.clock.now(), Vec::new(), UpdateKind::Snapshot);
    actix_rt::spawn(versions::write_to_store(
        Rc::clone(state),
        table.clone(),
        StopSignal::new(),
    ));
    actix_rt::spawn(versions::read_for_calls(
        Rc::clone(state),
        table.clone(),
        StopSignal::new(),
    ));
    entry
}

/// Guards against a caller that has events of a version which the store has no record of,
/// so that entries that start later do not know of it.
#[actix_rt::test]
async fn event_passed_on_before_record() {
    let table = Table::new(Access::Held, &[]);
    let plan = Plan {
        versions: &["v1"],
        store_answers: false,
        ..Plan::new(CallKind::Resumable, 1, &[Action::Send(EVENT)])
    };
    let entry = start(plan, &table).await;
    let call = entry.call("call-id: 1\r\n");
    tokio::pin!(call);
    let arrived = async {
        while table.0.arrived.get() == 0 {
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
    };
    tokio::select! {
        biased;
        answer = &mut call => panic!("answered before the record: {answer}"),
        () = arrived => {}
    }
    table.0.release.notify_one();
    assert_eq!(status(&call.await), "200");
    assert_eq!(table.0.log.borrow().len(), 1);
}

/// Guards against an event that is passed on before the record of its version, since the
/// process stood still while it was written.
#[actix_rt::test]
async fn event_passed_on_after_stand_still() {
    let table = Table::new(Access::Held, &[]);
    let plan = Plan {
        versions: &["v1"],
        store_answers: false,
        ..Plan::new(CallKind::Resumable, 1, &[Action::Send(EVENT)])
    };
    let entry = start(plan, &table).await;
    let call = entry.call("call-id: 1\r\n");
    tokio::pin!(call);
    let written = async {
        while table.0.arrived.get() == 0 {
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
        std::thread::sleep(STAND_STILL);
        // The expired timers are handled before the store's response.
        for _ in 0..TURNS {
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
        table.0.release.notify_one();
        std::future::pending::<()>().await;
    };
    tokio::select! {
        biased;
        answer = &mut call => assert_eq!(status(&answer), "200"),
        () = written => {}
    }
    assert_eq!(table.0.log.borrow().len(), 1);
}

/// Time for which the process stands still, longer than any wait of a call.
const STAND_STILL: Duration = Duration::from_secs(1);

/// Turns of the event loop between the end of the stand-still and the store's response.
const TURNS: u32 = 5;

/// Guards against streams that are not passed on while the store cannot be written.
#[actix_rt::test]
async fn event_held_back_without_store() {
    let table = Table::new(Access::Refused, &[]);
    let plan = Plan {
        versions: &["v1"],
        store_answers: false,
        ..Plan::new(CallKind::Resumable, 1, &[Action::Send(EVENT)])
    };
    let entry = start(plan, &table).await;
    assert_eq!(status(&entry.call("call-id: 1\r\n").await), "200");
}

/// Guards against inferring the version of an unknown stream from the server table alone,
/// and against refusing such a stream if its service has had one version only.
#[rstest]
#[case::only_version(Access::Open, &["v1"], "200")]
#[case::another_recorded(Access::Open, &["v1", "v2"], "503")]
#[case::only_another_recorded(Access::Open, &["v2"], "503")]
#[case::store_away(Access::Refused, &["v1"], "503")]
#[actix_rt::test]
async fn version_inferred_without_records(
    #[case] access: Access,
    #[case] recorded: &[&str],
    #[case] expected: &str,
) {
    let table = Table::new(access, recorded);
    let plan = Plan {
        versions: &["v1"],
        store_answers: false,
        ..Plan::new(CallKind::Resumable, 1, &[Action::Send(EVENT)])
    };
    let entry = start(plan, &table).await;
    let answer = entry.call("call-id: 2\r\nresumes: 1\r\nlast-event: 0\r\n");
    let answer = answer.await;
    assert_eq!(status(&answer), expected);
    let sent = entry.servers.requests();
    let ran = sent
        .iter()
        .any(|r| header(r, "call-id").as_deref() == Some("2"));
    assert_eq!(ran, expected == "200");
}

/// Guards against answering from records that were read before the call arrived, though
/// another version may have begun the stream since.
#[actix_rt::test]
async fn version_inferred_from_old_records() {
    let table = Table::new(Access::Open, &["v1", "v2"]);
    let plan = Plan {
        versions: &["v1"],
        seeds: vec!["127.0.0.3:1".parse().expect("an address")],
        store_answers: false,
        ..Plan::new(CallKind::Resumable, 1, &[Action::Send(EVENT)])
    };
    let entry = start(plan, &table).await;
    let (state, now) = (&entry.state, entry.state.clock.now());
    let key = VersionKey::new("app", "v1").to_string();
    let record = VersionRecord::unnamed(VersionState::Active);
    let update = Update {
        records: vec![(Rc::from(key), Some(record))],
        kind: UpdateKind::Snapshot,
        position: 1,
        as_of: now,
    };
    let changes = state
        .tables
        .versions
        .borrow_mut()
        .apply_store_update(update, None);
    versions::apply_changes(state, now, changes, UpdateKind::Snapshot);
    let answer = entry.call("call-id: 2\r\nresumes: 1\r\nlast-event: 0\r\n");
    assert_eq!(status(&answer.await), "503");
}
