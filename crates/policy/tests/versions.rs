//! The versions of each service's servers, as the server table tells them and as they are
//! recorded in the store.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use policy::balance::{Balancer, ServerRecord};
use policy::origins::{KnownVersions, infer_version};
use policy::versions::RECENT;
use policy::versions::records::{
    DueWrites, END_DELAY, KnownVersion, RETENTION, RecordedVersions, VersionKey, VersionRecord,
    VersionState,
};
use proptest::prelude::*;
use rstest::rstest;

fn server(id: &str, version: &str) -> ServerRecord {
    ServerRecord {
        id: Rc::from(id),
        service: Rc::from("llm"),
        addr: SocketAddr::from(([127, 0, 0, 1], 1)),
        zone: Rc::from("a"),
        slots: 4,
        leaving: false,
        started_ms: Some(1),
        version: Rc::from(version),
    }
}

fn versions(balancer: &Balancer, now: Instant) -> Vec<String> {
    let versions = balancer.recent_versions(now, "llm");
    let mut versions: Vec<String> = versions.iter().map(|v| v.to_string()).collect();
    versions.sort();
    versions
}

/// A version is recent from its first server on until some time after its last one.
#[test]
fn versions_outlast_their_servers() {
    let (mut balancer, now) = (Balancer::new("a"), Instant::now());
    balancer.upsert(now, server("one", "v1"));
    balancer.upsert(now, server("two", "v1"));
    balancer.upsert(now, server("three", "v2"));
    assert_eq!(versions(&balancer, now), ["v1", "v2"]);
    for id in ["one", "two"] {
        balancer.mark_missing(now, id, now);
    }
    balancer.forget_missing(now, Duration::ZERO);
    let last = now + RECENT - Duration::from_millis(1);
    assert_eq!(versions(&balancer, last), ["v1", "v2"]);
    assert_eq!(versions(&balancer, now + RECENT), ["v2"]);
}

/// Guards against counting a server under two versions after its record has changed, and
/// under that of a record which is older than the known one.
#[test]
fn changed_record_replaces_version() {
    let (mut balancer, now) = (Balancer::new("a"), Instant::now());
    balancer.upsert(now, server("one", "v1"));
    let restarted = ServerRecord {
        started_ms: Some(2),
        ..server("one", "v2")
    };
    balancer.upsert(now, restarted);
    balancer.upsert(now, server("one", "v1"));
    assert_eq!(versions(&balancer, now), ["v1", "v2"]);
    assert_eq!(versions(&balancer, now + RECENT), ["v2"]);
}

fn known(version: &str, listed: bool) -> KnownVersion<'_> {
    KnownVersion {
        service: "llm",
        version,
        listed,
    }
}

fn key(version: &str) -> VersionKey {
    VersionKey::new("llm", version)
}

/// Guards against deleting the record of a version while its streams may be taken up.
#[test]
fn ended_version_keeps_record() {
    let (mut recorded, mut now) = (RecordedVersions::default(), Instant::now());
    let due = recorded.due_writes(now, &[known("v1", true)], true);
    let [(new, record)] = &due.missing[..] else {
        panic!("{due:?}");
    };
    assert_eq!((*new, record.state), (key("v1"), VersionState::Active));
    recorded.apply(now, *new, Some(record.clone()));
    assert!(recorded.is_active(key("v1")));
    let nothing = DueWrites::default();
    assert_eq!(
        recorded.due_writes(now, &[known("v1", true)], true),
        nothing
    );

    assert_eq!(recorded.due_writes(now, &[], true), nothing);
    now += END_DELAY;
    let (_, ended) = recorded.due_writes(now, &[], true).ended.expect("an end");
    let ended = ended.expect("a record");
    assert_eq!(ended.state, VersionState::Ended);
    recorded.apply(now, key("v1"), Some(ended));
    assert!(!recorded.is_active(key("v1")));
    assert_eq!(recorded.of_service("llm").len(), 1);

    now += RETENTION - Duration::from_millis(1);
    assert_eq!(recorded.due_writes(now, &[], true), nothing);
    now += Duration::from_millis(1);
    let deleted = recorded.due_writes(now, &[], true).ended;
    assert_eq!(deleted, Some((key("v1"), None)));
}

/// Guards against ending a version whose servers this entry does not know: it has lost the
/// store, or they are back.
#[rstest]
#[case::out_of_touch(&[], false)]
#[case::servers_are_back(&["v1"], true)]
fn version_with_servers_ended(#[case] listed: &[&str], #[case] in_touch: bool) {
    for state in [VersionState::Active, VersionState::Ended] {
        let (mut recorded, now) = (RecordedVersions::default(), Instant::now());
        recorded.apply(now, key("v1"), Some(VersionRecord::unnamed(state)));
        assert_eq!(recorded.due_writes(now, &[], true).ended, None);
        let versions: Vec<_> = listed.iter().map(|v| known(v, true)).collect();
        let later = now + RETENTION * 2;
        assert_eq!(recorded.due_writes(later, &versions, in_touch).ended, None);
        // The time without servers begins again.
        assert_eq!(recorded.due_writes(later, &[], true).ended, None);
    }
}

/// Guards against forgetting a version that has just ended when the store is restored from a
/// copy without its record.
#[test]
fn lost_record_of_ended_version() {
    let (mut recorded, now) = (RecordedVersions::default(), Instant::now());
    let due = recorded.due_writes(now, &[known("v1", false)], true);
    let (lost, record) = due.ended.expect("a record");
    assert_eq!(lost, key("v1"));
    assert_eq!(record.map(|r| r.state), Some(VersionState::Ended));
}

/// Guards against forgetting a recorded version without servers when the store is restored
/// from a copy without its record.
#[test]
fn lost_record_of_unlisted_version() {
    let (mut recorded, now) = (RecordedVersions::default(), Instant::now());
    let record = VersionRecord::unnamed(VersionState::Ended);
    recorded.apply(now, key("v1"), Some(record.clone()));
    assert_eq!(recorded.mark_lost(|_| false), 1);
    assert_eq!(recorded.of_service("llm").len(), 1);
    let due = recorded.due_writes(now, &[], false);
    assert_eq!(due.missing, [(key("v1"), record.clone())]);
    recorded.apply(now, key("v1"), Some(record));
    assert_eq!(recorded.due_writes(now, &[], false), DueWrites::default());
}

/// Guards against streams of a version that begin while the store has lost its record.
#[test]
fn lost_record_counts_as_stored() {
    let (mut recorded, now) = (RecordedVersions::default(), Instant::now());
    let record = VersionRecord::unnamed(VersionState::Active);
    recorded.apply(now, key("v1"), Some(record));
    recorded.mark_lost(|_| false);
    assert!(!recorded.is_active(key("v1")));
    let due = recorded.due_writes(now, &[known("v1", true)], true);
    assert_eq!(due.missing.len(), 1);
}

/// Guards against records that are lost on the way through the store.
#[rstest]
#[case::short("llm", "v1")]
#[case::empty("", "")]
#[case::separators("a-b", "a&after=c%20 d")]
fn key_as_text(#[case] service: &str, #[case] version: &str) {
    let key = VersionKey::new(service, version);
    assert_eq!(key.to_string().parse(), Ok(key));
    assert_eq!(key.to_string().len(), 33);
}

/// Guards against an end of the process or a wrong key by an odd record.
#[rstest]
#[case::empty("")]
#[case::no_separator("0123456789abcdef")]
#[case::no_hash("llm-v1")]
#[case::too_long("10123456789abcdef-1")]
fn odd_key(#[case] text: &str) {
    assert!(text.parse::<VersionKey>().is_err());
}

/// A store and entries that share it.
struct Fleet {
    now: Instant,
    /// The log of the recorded versions.
    log: Vec<(VersionKey, Option<VersionRecord>)>,
    /// Number of times that the store was restored from a copy.
    era: u32,
    /// The versions that have servers.
    listed: BTreeSet<usize>,
    entries: Vec<Entry>,
}

/// An entry whose tables may be behind the store.
struct Entry {
    balancer: Balancer,
    recorded: RecordedVersions,
    position: usize,
    era: u32,
}

const VERSIONS: [&str; 3] = ["v1", "v2", "v3"];

impl Fleet {
    fn start() -> Self {
        let mut fleet = Self {
            now: Instant::now(),
            log: Vec::new(),
            era: 0,
            listed: BTreeSet::from([0]),
            entries: Vec::new(),
        };
        for _ in 0..3 {
            let entry = fleet.new_entry();
            fleet.entries.push(entry);
        }
        fleet
    }

    fn new_entry(&self) -> Entry {
        let mut entry = Entry {
            balancer: Balancer::new("a"),
            recorded: RecordedVersions::default(),
            position: 0,
            era: self.era,
        };
        self.read_records(&mut entry);
        self.read_servers(&mut entry);
        entry
    }

    fn read_servers(&self, entry: &mut Entry) {
        let unlisted = entry.balancer.ids().into_iter();
        let listed = |id: &Rc<str>| self.listed.iter().any(|n| VERSIONS[*n] == &**id);
        for id in unlisted.filter(|id| !listed(id)) {
            entry.balancer.mark_missing(self.now, &id, self.now);
        }
        for n in &self.listed {
            let record = server(VERSIONS[*n], VERSIONS[*n]);
            entry.balancer.upsert(self.now, record);
        }
        entry.balancer.forget_missing(self.now, Duration::ZERO);
    }

    fn read_records(&self, entry: &mut Entry) {
        if entry.era != self.era {
            let newest: BTreeMap<_, _> = self.log.iter().cloned().collect();
            let contained = |key: &VersionKey| matches!(newest.get(key), Some(Some(_)));
            entry.recorded.mark_lost(contained);
            for (key, record) in newest.iter().filter(|(_, record)| record.is_some()) {
                entry.recorded.apply(self.now, *key, record.clone());
            }
            (entry.era, entry.position) = (self.era, self.log.len());
        }
        for (key, record) in &self.log[entry.position..] {
            entry.recorded.apply(self.now, *key, record.clone());
        }
        entry.position = self.log.len();
    }

    /// Lets an entry write what it finds due, if the store has no more than it has read.
    fn write(&mut self, entry: usize) {
        let end = self.log.len();
        let entry = &mut self.entries[entry];
        let versions = entry.balancer.known_versions(self.now);
        let due = entry.recorded.due_writes(self.now, &versions, true);
        let active = due.missing.into_iter().map(|(k, r)| (k, Some(r)));
        self.log.extend(active);
        if let Some(ended) = due
            .ended
            .filter(|_| entry.position == end && self.log.len() == end)
        {
            self.log.push(ended);
        }
    }

    /// Restores the store from a copy without the newest `lost` records. The running entries
    /// notice it.
    fn restore(&mut self, lost: usize) {
        self.log.truncate(self.log.len().saturating_sub(lost));
        self.era += 1;
        for entry in 0..self.entries.len() {
            let mut reader = self.entries.remove(entry);
            self.read_records(&mut reader);
            self.entries.insert(entry, reader);
            self.write(entry);
        }
    }

    /// Begins a stream at an entry; returns its version, if it is recorded.
    fn begin(&mut self, entry: usize) -> Option<&'static str> {
        let entry = &self.entries[entry];
        let versions = entry.balancer.known_versions(self.now);
        let listed = versions.iter().filter(|v| v.listed);
        let mut recorded = listed.filter(|v| entry.recorded.is_active(key(v.version)));
        let version = recorded.next()?.version;
        VERSIONS.into_iter().find(|v| *v == version)
    }

    /// The version that an entry infers for an unknown stream after it has read the records.
    fn infer(&mut self, entry: usize) -> Option<Rc<str>> {
        let mut entry = self.entries.remove(entry);
        self.read_records(&mut entry);
        let seen = entry.balancer.recent_versions(self.now, "llm");
        let known = KnownVersions::of(&seen, &entry.recorded.of_service("llm"));
        self.entries.push(entry);
        infer_version(&known, &[], true)
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 256, ..ProptestConfig::default() })]

    /// Guards against any order of releases, losses of entries, late reads and restores of the
    /// store after which an unknown stream goes on at another version than its own.
    #[test]
    fn inferred_version_is_never_another(
        steps in proptest::collection::vec((0usize..3, 0usize..3, 0u32..12, 1u64..60_000), 1..300),
    ) {
        let mut fleet = Fleet::start();
        let mut streams: Vec<(&str, Instant)> = Vec::new();
        for (entry, version, event, ms) in steps {
            match event {
                0 => { fleet.listed.insert(version); }
                1 => { fleet.listed.remove(&version); }
                2 => fleet.entries[entry] = fleet.new_entry(),
                3 => {
                    let new = || fleet.new_entry();
                    fleet.entries = std::iter::repeat_with(new).take(3).collect();
                }
                4 => {
                    let begun = fleet.begin(entry);
                    streams.extend(begun.map(|version| (version, fleet.now)));
                }
                5 => {
                    let mut taken = fleet.entries.remove(entry);
                    fleet.read_records(&mut taken);
                    fleet.entries.insert(entry, taken);
                }
                6 => fleet.write(entry),
                9 => fleet.restore(usize::try_from(ms % 6).expect("small")),
                7 | 8 => fleet.now += Duration::from_millis(ms),
                _ => {
                    let mut taken = fleet.entries.remove(entry);
                    fleet.read_servers(&mut taken);
                    fleet.entries.insert(entry, taken);
                }
            }
            // Time passes in steps of seconds, in which each entry reads and writes.
            if event == 7 || event == 8 {
                for entry in 0..3 {
                    let mut taken = fleet.entries.remove(entry);
                    fleet.read_servers(&mut taken);
                    fleet.read_records(&mut taken);
                    fleet.entries.insert(entry, taken);
                    fleet.write(entry);
                }
            }
            streams.retain(|(_, begun)| fleet.now < *begun + RECENT);
            if let Some(inferred) = fleet.infer(entry) {
                for (version, _) in &streams {
                    prop_assert_eq!(*version, &*inferred);
                }
            }
        }
    }
}
