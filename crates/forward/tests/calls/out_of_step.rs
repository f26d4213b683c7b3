//! Streams that callers take up at an entry whose tables are out of date: it was cut off from
//! the others or from the store, or stood still.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use base::stop::StopSignal;
use forward::platform::{Changes, Source, SourceError};
use forward::versions;
use policy::routes::CallKind;
use policy::versions::records::{VersionKey, VersionRecord, VersionState};
use rstest::rstest;

use crate::common::{Action, Entry, Plan, status};

/// The rest of a stream after its first event.
const REMAINDER: &str = "HTTP/1.1 200 OK\r\ncall-id: {id}\r\nseal: s\r\n\
    Transfer-Encoding: chunked\r\n\r\n10\r\nid: 2\ndata: b\n\n\n\r\n0\r\n\r\n";

/// A call that takes up a stream of which no entry knows.
const TAKES_UP: &str = "call-id: 2\r\nresumes: 1\r\nlast-event: 1\r\n";

/// The records of versions in the store, each as one step of its log.
#[derive(Clone, Default)]
struct Table(Rc<Inner>);

#[derive(Default)]
struct Inner {
    log: RefCell<Vec<String>>,
    unavailable: Cell<bool>,
    /// Requests that have arrived.
    requests: Cell<u32>,
}

impl Table {
    fn new(versions: &[&str]) -> Self {
        let table = Self::default();
        versions.iter().for_each(|version| table.add(version));
        table
    }

    fn add(&self, version: &str) {
        let key = VersionKey::new("app", version).to_string();
        self.0.log.borrow_mut().push(key);
    }

    fn read(&self, from: u64) -> Result<Changes<VersionRecord>, SourceError> {
        self.0.requests.set(self.0.requests.get() + 1);
        if self.0.unavailable.get() {
            let (step, peer, cause) = ("read", "store".to_owned(), "down".to_owned());
            return Err(SourceError::Unavailable { step, peer, cause });
        }
        let log = self.0.log.borrow();
        let record = VersionRecord::unnamed(VersionState::Active);
        let new = log.iter().skip(usize::try_from(from).expect("short"));
        Ok(Changes {
            records: new.map(|key| (key.clone(), Some(record.clone()))).collect(),
            next: log.len() as u64,
        })
    }
}

impl Source for Table {
    type Item = VersionRecord;

    async fn snapshot(&self) -> Result<Changes<VersionRecord>, SourceError> {
        self.read(0)
    }

    async fn changes(&self, from: u64, _: Duration) -> Result<Changes<VersionRecord>, SourceError> {
        self.read(from)
    }
}

/// An entry that has read the record of `v1`, its only version, some time ago.
async fn start(table: &Table) -> Entry {
    let plan = Plan {
        versions: &["v1"],
        store_answers: false,
        ..Plan::new(CallKind::Resumable, 1, &[Action::Send(REMAINDER)])
    };
    let entry = Entry::start(plan).await;
    actix_rt::spawn(versions::read_for_calls(
        Rc::clone(&entry.state),
        table.clone(),
        StopSignal::new(),
    ));
    entry
}

/// Guards against an entry that has dropped all others, since it heard nothing of them, and
/// takes the answers of none for a proof that there is no other version.
#[rstest]
#[case::another_version(&["v1", "v2"], false, "503")]
#[case::only_version(&["v1"], false, "200")]
#[case::store_away(&["v1"], true, "503")]
#[actix_rt::test]
async fn nobody_asked_taken_for_proof(
    #[case] recorded: &[&str],
    #[case] unavailable: bool,
    #[case] expected: &str,
) {
    let table = Table::new(recorded);
    table.0.unavailable.set(unavailable);
    let entry = start(&table).await;
    assert_eq!(status(&entry.call(TAKES_UP).await), expected);
    let ran = usize::from(expected == "200");
    assert_eq!(entry.servers.requests().len(), ran);
}
