//! Streams that callers take up while an entry knows a part of the records only.

use std::rc::Rc;
use std::time::Duration;

use base::stop::StopSignal;
use forward::platform::{Changes, Source, SourceError};
use forward::state::State;
use forward::versions;
use policy::replica::{Replica, Update, UpdateKind};
use policy::routes::CallKind;
use policy::versions::records::{VersionKey, VersionRecord, VersionState};

use crate::common::{Action, Entry, Plan, catalog, header, listed, status};
use crate::streams::REMAINDER;

/// The first event of a stream and its end.
const FIRST: &str = "HTTP/1.1 200 OK\r\ncall-id: {id}\r\nseal: s\r\n\
    Transfer-Encoding: chunked\r\n\r\nf\r\nid: 1\ndata: a\n\n\r\n0\r\n\r\n";

/// The third event of a stream and its end.
const THIRD: &str = "HTTP/1.1 200 OK\r\ncall-id: {id}\r\nseal: s\r\n\
    Transfer-Encoding: chunked\r\n\r\nf\r\nid: 3\ndata: c\n\n\r\n0\r\n\r\n";

/// A table whose responses hold one record each.
struct OneByOne(Vec<String>);

impl Source for OneByOne {
    type Item = VersionRecord;

    async fn snapshot(&self) -> Result<Changes<VersionRecord>, SourceError> {
        self.changes(0, Duration::ZERO).await
    }

    async fn changes(
        &self,
        from: u64,
        _wait: Duration,
    ) -> Result<Changes<VersionRecord>, SourceError> {
        let from = usize::try_from(from).expect("a short log");
        let record = |key: &String| {
            let active = VersionRecord::unnamed(VersionState::Active);
            (key.clone(), Some(active))
        };
        let records: Vec<_> = self.0.iter().skip(from).take(1).map(record).collect();
        let next = (from + records.len()) as u64;
        Ok(Changes { records, next })
    }
}

/// Applies changes of the recorded versions.
fn apply(state: &Rc<State>, position: u64, key: &str, record: Option<VersionState>) {
    let now = state.clock.now();
    let update = Update {
        records: vec![(Rc::from(key), record.map(VersionRecord::unnamed))],
        kind: UpdateKind::Delta,
        position,
        as_of: now,
    };
    let mut replica = state.tables.versions.borrow_mut();
    let changes = replica.apply_store_update(update, None);
    drop(replica);
    versions::apply_changes(state, now, changes, UpdateKind::Delta);
}

/// Guards against a stream going on at the only known version when a response held only a
/// part of the records.
#[actix_rt::test]
async fn partial_read_taken_as_complete() {
    let plan = Plan {
        versions: &["v1"],
        seeds: vec!["127.0.0.3:1".parse().expect("an address")],
        store_answers: false,
        ..Plan::new(CallKind::Resumable, 1, &[Action::Send(REMAINDER)])
    };
    let entry = Entry::start(plan).await;
    let state = &entry.state;
    let now = state.clock.now();
    let outdated = Update {
        records: Vec::new(),
        kind: UpdateKind::Snapshot,
        position: 0,
        as_of: now - Duration::from_secs(5),
    };
    let mut replica = Replica::default();
    let changes = replica.apply_peer_update(outdated);
    *state.tables.versions.borrow_mut() = replica;
    versions::apply_changes(state, now, changes, UpdateKind::Snapshot);
    let log = ["v1", "v2"].map(|v| VersionKey::new("app", v).to_string());
    let table = OneByOne(log.into());
    let reads = versions::read_for_calls(Rc::clone(state), table, StopSignal::new());
    actix_rt::spawn(reads);
    let answer = entry.call("call-id: 2\r\nresumes: 1\r\nlast-event: 1\r\n");
    assert_eq!(status(&answer.await), "503");
}

/// Guards against a record that is lost with another one whose key stands for the same
/// version.
#[actix_rt::test]
async fn record_lost_with_other_key() {
    let plan = Plan {
        versions: &["v1"],
        ..Plan::new(CallKind::Resumable, 1, &[Action::Send(REMAINDER)])
    };
    let entry = Entry::start(plan).await;
    let key = VersionKey::new("app", "v2").to_string();
    let other = format!("+{key}");
    apply(&entry.state, 2, &key, Some(VersionState::Ended));
    apply(&entry.state, 3, &other, Some(VersionState::Active));
    apply(&entry.state, 4, &other, None);
    let answer = entry.call("call-id: 3\r\nresumes: 1\r\nlast-event: 1\r\n");
    assert_eq!(status(&answer.await), "503");
}

/// Guards against a stream that goes on at another service, to which its route was moved,
/// and then at another version there.
#[actix_rt::test]
async fn moved_stream_joined_of_two_versions() {
    let mut actions = vec![Action::Send(FIRST); 20];
    actions.extend((0..20).flat_map(|_| [Action::Send(REMAINDER), Action::Send(THIRD)]));
    let plan = Plan {
        versions: &["v0", "v1", "v2"],
        services: &["app", "other", "other"],
        ..Plan::new(CallKind::Resumable, 1, &actions)
    };
    let only = |services: &'static [&'static str]| {
        let plan = Plan {
            services,
            ..Plan::new(CallKind::Resumable, 1, &[])
        };
        Some(Rc::new(catalog(&plan)))
    };
    let entry = Entry::start(plan).await;
    *entry.state.catalog.borrow_mut() = only(&["app"]);
    for id in 1..=20 {
        entry.call(&format!("call-id: {id}\r\n")).await;
    }
    *entry.state.catalog.borrow_mut() = only(&["other"]);
    for id in 1..=20 {
        let before = entry.servers.requests().len();
        for (attempt, last) in [(2, 1), (3, 2)] {
            let headers =
                format!("call-id: {id}-{attempt}\r\nresumes: {id}\r\nlast-event: {last}\r\n");
            assert_eq!(status(&entry.call(&headers).await), "200");
        }
        let requests = entry.servers.requests();
        let mut servers = requests[before..].iter().map(|r| header(r, "server"));
        assert_eq!(servers.next(), servers.next());
    }
}

/// Guards against refusing a stream whose version was clear when it was taken up first, once
/// there is a second version.
#[actix_rt::test]
async fn inferred_version_forgotten_after_release() {
    let actions = [Action::Send(REMAINDER), Action::Send(THIRD)];
    let plan = Plan {
        versions: &["v1"],
        ..Plan::new(CallKind::Resumable, 1, &actions)
    };
    let entry = Entry::start(plan).await;
    let first = entry.call("call-id: 1-2\r\nresumes: 1\r\nlast-event: 1\r\n");
    assert_eq!(status(&first.await), "200");
    let mut newer = listed("s9", "127.0.0.1:1".parse().expect("an address"));
    newer.version = Rc::from("v2");
    let now = entry.state.clock.now();
    entry.state.balancer.borrow_mut().upsert(now, newer);
    let second = entry.call("call-id: 1-3\r\nresumes: 1\r\nlast-event: 2\r\n");
    assert_eq!(status(&second.await), "200");
}
