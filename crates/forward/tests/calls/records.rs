//! The recorded versions of an entry's servers, in a store that has no others.

use std::rc::Rc;
use std::time::Duration;

use base::stop::StopSignal;
use forward::platform::{Changes, Source, SourceError};
use forward::state::State;
use forward::versions;
use policy::balance::ServerRecord;
use policy::replica::{Update, UpdateKind};
use policy::versions::records::{VersionKey, VersionRecord, VersionState};

/// The position at the end of the table.
const END: u64 = 1;

/// The table of versions in a store.
struct Table(Vec<(String, VersionRecord)>);

impl Source for Table {
    type Item = VersionRecord;

    async fn snapshot(&self) -> Result<Changes<VersionRecord>, SourceError> {
        let records = self.0.iter().cloned();
        Ok(Changes {
            records: records.map(|(key, record)| (key, Some(record))).collect(),
            next: END,
        })
    }

    async fn changes(&self, from: u64, _: Duration) -> Result<Changes<VersionRecord>, SourceError> {
        match from {
            END => Ok(Changes {
                records: Vec::new(),
                next: END,
            }),
            _ => self.snapshot().await,
        }
    }
}

/// Lets the entry know the versions of these servers as recorded in the store, which
/// `answers` later reads or does not.
pub(crate) fn record_versions(state: &Rc<State>, servers: &[ServerRecord], answers: bool) {
    let now = state.clock.now();
    let record = |server: &ServerRecord| {
        let key = VersionKey::new(&server.service, &server.version);
        let record = VersionRecord::unnamed(VersionState::Active);
        (key.to_string(), record)
    };
    let records: Vec<_> = servers.iter().map(record).collect();
    let known = records.iter().cloned();
    let update = Update {
        records: known.map(|(key, r)| (Rc::from(key), Some(r))).collect(),
        kind: UpdateKind::Snapshot,
        position: END,
        as_of: now,
    };
    let mut replica = state.tables.versions.borrow_mut();
    let changes = replica.apply_store_update(update, None);
    drop(replica);
    versions::apply_changes(state, now, changes, UpdateKind::Snapshot);
    if answers {
        let reads = versions::read_for_calls(Rc::clone(state), Table(records), StopSignal::new());
        actix_rt::spawn(reads);
    }
}
