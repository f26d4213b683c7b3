//! Which version began a stream, as several entries remember it.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use policy::origins::{
    KnownVersions, Members, Origin, OriginAnswer, OriginRecord, OriginTable, QueryScope,
    infer_version,
};
use policy::rendezvous::hash_name;
use proptest::prelude::*;
use rstest::rstest;

const TTL: Duration = Duration::from_secs(20);

fn record(stream: u64, version: u32) -> OriginRecord {
    OriginRecord {
        stream,
        origin: Origin {
            service: 7,
            version,
        },
        ttl: TTL,
    }
}

/// Entries that tell each other of their streams, without loss.
struct Fleet {
    now: Instant,
    members: Vec<SocketAddr>,
    homes: Members,
    tables: BTreeMap<SocketAddr, OriginTable>,
    service: Rc<str>,
}

impl Fleet {
    fn new(entries: u8) -> Self {
        let members: Vec<SocketAddr> = (0..entries)
            .map(|n| SocketAddr::from(([10, 0, 0, n], 7)))
            .collect();
        let tables = members.iter().map(|m| (*m, OriginTable::default()));
        Self {
            now: Instant::now(),
            tables: tables.collect(),
            homes: Members::new(&members),
            members,
            service: Rc::from("llm"),
        }
    }

    fn table(&mut self, entry: usize) -> &mut OriginTable {
        let addr = self.members[entry % self.members.len()];
        self.tables.get_mut(&addr).expect("a table")
    }

    fn begin(&mut self, entry: usize, stream: u64, version: u32) {
        let (now, service) = (self.now, Rc::clone(&self.service));
        let table = self.table(entry);
        table.began(now, &service, record(stream, version));
        for told in table.take_untold(now, |_| true) {
            for home in self.homes.homes(told.stream) {
                let table = self.tables.get_mut(&home).expect("a table");
                table.insert(now, told);
            }
        }
    }

    /// Restarts an entry, which asks all others for what it lacks.
    fn restart(&mut self, entry: usize) {
        let addr = self.members[entry % self.members.len()];
        self.tables.insert(addr, OriginTable::default());
        let others = self.tables.values();
        let missing = others.map(|t| t.records_for(self.now, addr, &self.homes));
        let missing: Vec<OriginRecord> = missing.flatten().collect();
        let now = self.now;
        let table = self.tables.get_mut(&addr).expect("a table");
        missing.into_iter().for_each(|r| table.insert(now, r));
    }

    fn find(&self, stream: u64) -> Option<u32> {
        let asked = self.homes.asked(stream);
        let mut asked = asked.iter().map(|addr| &self.tables[addr]);
        asked.find_map(|table| table.origin(self.now, stream).map(|o| o.version))
    }
}

/// Guards against losing the version of a stream when entries restart one after the other,
/// at any number of entries.
#[rstest]
#[case::two(2)]
#[case::few(4)]
#[case::dozens(30)]
#[case::full_mesh(93)]
fn versions_survive_restarts(#[case] entries: u8) {
    let mut fleet = Fleet::new(entries);
    for stream in 0..500 {
        fleet.begin(stream as usize, stream, stream as u32 % 3);
    }
    for entry in 0..usize::from(entries) {
        fleet.restart(entry);
    }
    for stream in 0..500 {
        assert_eq!(fleet.find(stream), Some(stream as u32 % 3));
    }
}

/// Guards against state that grows with the time or with the number of streams.
#[test]
fn records_are_bounded() {
    let (mut table, now) = (OriginTable::default(), Instant::now());
    let service: Rc<str> = Rc::from("llm");
    for stream in 0..100_000 {
        table.began(now, &service, record(stream, 1));
    }
    assert_eq!(table.len(), 65_536);
    // The newest are kept.
    assert!(table.origin(now, 99_999).is_some());
    table.insert(now + TTL, record(1, 1));
    assert_eq!(table.len(), 1);
    assert!(table.take_untold(now + TTL, |_| true).is_empty());
}

/// A stream is told of once its service has several versions, and only once.
#[test]
fn streams_are_told_when_versions_differ() {
    let (mut table, now) = (OriginTable::default(), Instant::now());
    let (busy, calm): (Rc<str>, Rc<str>) = (Rc::from("busy"), Rc::from("calm"));
    table.began(now, &busy, record(1, 1));
    table.began(now, &calm, record(2, 1));
    assert!(table.take_untold(now, |_| false).is_empty());
    let told = table.take_untold(now + TTL / 2, |service| service == "busy");
    let expected = OriginRecord {
        ttl: TTL / 2,
        ..record(1, 1)
    };
    assert_eq!(told, [expected]);
    let told = table.take_untold(now + TTL / 2, |_| true);
    assert_eq!(told.iter().map(|r| r.stream).collect::<Vec<_>>(), [2]);
}

/// Guards against going on at the only known version while another entry knows of several,
/// while the store has a record of another one, or while nothing shows that there was none.
#[rstest]
#[case::proven(&["v1"], &[], &[], true, Some("v1"))]
#[case::recorded(&["v1"], &["v1"], &[OriginAnswer::Unknown], true, Some("v1"))]
#[case::unproven(&["v1"], &["v1"], &[OriginAnswer::Unknown], false, None)]
#[case::no_answer(&["v1"], &["v1"], &[], false, None)]
#[case::others_know_several(&["v1"], &["v1"], &[OriginAnswer::Unknown, OriginAnswer::SeveralVersions], true, None)]
#[case::several(&["v1", "v2"], &["v1", "v2"], &[OriginAnswer::Unknown], true, None)]
#[case::another_recorded(&["v2"], &["v1", "v2"], &[OriginAnswer::Unknown], true, None)]
#[case::only_another_recorded(&["v2"], &["v1"], &[OriginAnswer::Unknown], true, None)]
#[case::no_servers(&[], &["v1"], &[], true, None)]
#[case::none(&[], &[], &[], true, None)]
fn version_inferred(
    #[case] seen: &[&str],
    #[case] recorded: &[&str],
    #[case] answers: &[OriginAnswer],
    #[case] proven: bool,
    #[case] expected: Option<&str>,
) {
    let seen: Vec<Rc<str>> = seen.iter().map(|v| Rc::from(*v)).collect();
    let recorded: Vec<u64> = recorded.iter().map(|v| hash_name(v)).collect();
    let inferred = infer_version(&KnownVersions::of(&seen, &recorded), answers, proven);
    assert_eq!(inferred.as_deref(), expected);
}

/// Guards against taking answers for a proof while an entry that may know more is missing
/// among them, has just started, or was not asked.
#[rstest]
#[case::all_answered(2, true, true, &[OriginAnswer::Unknown, OriginAnswer::Unknown], true)]
#[case::one_answered(1, true, true, &[OriginAnswer::Unknown], true)]
#[case::all_dropped(0, true, true, &[], false)]
#[case::one_missing(2, true, true, &[OriginAnswer::Unknown], false)]
#[case::other_unsettled(2, true, true, &[OriginAnswer::Unknown, OriginAnswer::Unsettled], false)]
#[case::own_start(2, true, false, &[OriginAnswer::Unknown, OriginAnswer::Unknown], false)]
#[case::others_not_found(0, false, true, &[], false)]
fn answers_are_conclusive(
    #[case] asked: usize,
    #[case] entries_known: bool,
    #[case] settled: bool,
    #[case] answers: &[OriginAnswer],
    #[case] expected: bool,
) {
    let scope = QueryScope {
        asked,
        entries_known,
        settled,
    };
    assert_eq!(scope.is_conclusive(answers), expected);
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 64, ..ProptestConfig::default() })]

    /// Guards against any order of streams, restarts and time after which a stream is found
    /// at another version than its own.
    #[test]
    fn version_is_never_another(
        steps in proptest::collection::vec((0usize..8, 0u64..40, 0u32..4, 0u64..2_000), 1..300),
    ) {
        let mut fleet = Fleet::new(8);
        let mut begun: BTreeMap<u64, u32> = BTreeMap::new();
        for (entry, stream, event, ms) in steps {
            match event {
                0 | 1 if !begun.contains_key(&stream) => {
                    fleet.begin(entry, stream, event);
                    begun.insert(stream, event);
                }
                2 => fleet.restart(entry),
                3 => fleet.now += Duration::from_millis(ms),
                _ => {}
            }
            if let Some(found) = fleet.find(stream) {
                prop_assert_eq!(Some(&found), begun.get(&stream));
            }
        }
    }
}
