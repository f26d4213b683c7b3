//! Copies of a table that are read from the store and from each other.

use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::{Duration, Instant};

use policy::replica::{Replica, Update, UpdateKind};
use proptest::prelude::*;

type Records = policy::replica::Records<u8>;

fn record(key: &str, value: impl Into<Option<u8>>) -> (Rc<str>, Option<u8>) {
    (Rc::from(key), value.into())
}

fn update(scope: UpdateKind, next: u64, records: Records) -> Update<u8> {
    Update {
        records,
        kind: scope,
        position: next,
        as_of: Instant::now(),
    }
}

fn whole(next: u64, records: Records) -> Update<u8> {
    update(UpdateKind::Snapshot, next, records)
}

fn changes(next: u64, records: Records) -> Update<u8> {
    update(UpdateKind::Delta, next, records)
}

/// An entry has read from the store that a server left. The neighbour that it
/// asks next has been cut off from the store and still shows the server. Sent
/// there, a call would meet a server that is gone: what is behind says nothing.
#[test]
fn neighbour_behind_brings_nothing_back() {
    let mut held = Replica::default();
    held.apply_store_update(whole(10, vec![record("s1", 1)]), None);
    held.apply_store_update(changes(12, vec![record("s1", None)]), Some(10));
    assert!(
        held.apply_peer_update(changes(11, vec![record("s1", 1)]))
            .is_empty()
    );
    assert!(
        held.apply_peer_update(whole(11, vec![record("s1", 1)]))
            .is_empty()
    );
    assert_eq!(held.position(), Some(12));
}

/// Guards against a record being left out for good that one old copy of the store
/// lacked, and the next one shows since it was written again between them.
#[test]
fn record_lacking_in_one_copy_is_taken_from_the_next() {
    let mut held = Replica::default();
    held.apply_store_update(whole(10, vec![record("config", 1)]), None);
    held.apply_store_update(update(UpdateKind::RestoredSnapshot, 1000, Vec::new()), None);
    let news = held.apply_store_update(
        update(
            UpdateKind::RestoredSnapshot,
            2000,
            vec![record("config", 1)],
        ),
        None,
    );
    assert_eq!(news, vec![record("config", 1)]);
    let (_, told) = held.changes_since(None).expect("a table");
    assert_eq!(told, vec![record("config", 1)]);
}

/// Guards against a record coming back that was dropped after a copy had lacked
/// it.
#[test]
fn record_dropped_after_it_was_lacking_waits() {
    let mut held = Replica::default();
    held.apply_store_update(whole(10, vec![record("s1", 1)]), None);
    held.apply_store_update(update(UpdateKind::RestoredSnapshot, 1000, Vec::new()), None);
    held.apply_store_update(changes(1001, vec![record("s1", None)]), Some(1000));
    let news = held.apply_store_update(
        update(UpdateKind::RestoredSnapshot, 2000, vec![record("s1", 1)]),
        None,
    );
    assert!(news.is_empty(), "{news:?}");
}

/// Guards against a server that has left being called again because the store
/// came back from a copy that still shows it.
#[test]
fn dropped_key_waits_after_a_rewind() {
    let mut held = Replica::default();
    held.apply_store_update(whole(10, vec![record("left", 1), record("stays", 2)]), None);
    held.apply_store_update(
        changes(12, vec![record("left", None), record("new", 3)]),
        Some(10),
    );
    let copy = update(
        UpdateKind::RestoredSnapshot,
        1000,
        vec![record("left", 1), record("stays", 2)],
    );
    assert_eq!(
        held.apply_store_update(copy, Some(12)),
        [record("new", None)]
    );
    let (scope, told) = held.changes_since(Some(12)).expect("a copy");
    assert_eq!(
        (scope, told),
        (UpdateKind::Snapshot, vec![record("stays", 2)])
    );
    // One that lives writes its record again.
    let news = held.apply_store_update(changes(1001, vec![record("left", 1)]), Some(1000));
    assert_eq!(news, [record("left", 1)]);
}

/// Guards against an entry that never learns of a key, as it has started while
/// the store lacked it.
#[test]
fn unknown_key_is_taken_after_a_rewind() {
    let mut held = Replica::default();
    held.apply_store_update(whole(0, Vec::new()), None);
    let copy = update(
        UpdateKind::RestoredSnapshot,
        1000,
        vec![record("config", 1)],
    );
    assert_eq!(
        held.apply_store_update(copy, Some(0)),
        [record("config", 1)]
    );
}

/// What a whole table does not show has gone, and neighbours have to be told,
/// though the store has no record of it: entries that lapse during an outage
/// leave none.
#[test]
fn lapsed_key_is_told() {
    let mut held = Replica::default();
    held.apply_store_update(whole(10, vec![record("s1", 1), record("s2", 2)]), None);
    let news = held.apply_store_update(whole(10, vec![record("s2", 2)]), Some(10));
    assert_eq!(news, [record("s1", None)]);
    let (scope, told) = held.changes_since(Some(10)).expect("a copy");
    assert_eq!(scope, UpdateKind::Delta);
    assert!(told.contains(&record("s1", None)));
}

/// A neighbour was silent for so long that dropped keys are not remembered any
/// more. Told only what changed, it would keep them for ever.
#[test]
fn one_that_was_long_silent_is_told_the_whole() {
    let start = Instant::now();
    let mut held = Replica::default();
    let at = |mut told: Update<u8>, s| {
        told.as_of = start + Duration::from_secs(s);
        told
    };
    held.apply_store_update(at(whole(10, vec![record("s1", 1)]), 0), None);
    held.apply_store_update(at(changes(12, vec![record("s1", None)]), 1), Some(10));
    let (scope, _) = held.changes_since(Some(10)).expect("a copy");
    assert_eq!(scope, UpdateKind::Delta);
    held.apply_store_update(at(changes(900, vec![record("s2", 2)]), 100), Some(12));
    let (scope, told) = held.changes_since(Some(10)).expect("a copy");
    assert_eq!(scope, UpdateKind::Snapshot);
    assert_eq!(told, [record("s2", 2)]);
}

/// The store was set up anew and counts from the start again. Its word
/// replaces what was held under the old positions.
#[test]
fn store_that_counts_anew_is_followed() {
    let mut held = Replica::default();
    held.apply_store_update(whole(900, vec![record("s1", 1)]), None);
    let news = held.apply_store_update(whole(3, vec![record("s2", 2)]), Some(900));
    assert_eq!(news, [record("s1", None), record("s2", 2)]);
    assert_eq!(held.position(), Some(3));
}

/// The store as a plain log, to compare with.
#[derive(Default)]
struct Log(Vec<(u8, Option<u8>)>);

impl Log {
    /// The table as it stood after the first `next` records.
    fn table(&self, next: usize) -> BTreeMap<u8, u8> {
        let mut table = BTreeMap::new();
        for (key, value) in &self.0[..next] {
            match value {
                Some(value) => table.insert(*key, *value),
                None => table.remove(key),
            };
        }
        table
    }
}

fn name(key: u8) -> Rc<str> {
    Rc::from(key.to_string())
}

fn told(log: &Log, from: Option<u64>) -> Update<u8> {
    let next = log.0.len();
    let records = match from {
        Some(from) => log.0[from as usize..]
            .iter()
            .map(|(k, v)| (name(*k), *v))
            .collect(),
        None => log
            .table(next)
            .iter()
            .map(|(k, v)| (name(*k), Some(*v)))
            .collect(),
    };
    let scope = from.map_or(UpdateKind::Snapshot, |_| UpdateKind::Delta);
    update(scope, next as u64, records)
}

#[derive(Debug, Clone)]
enum Step {
    Write(u8, Option<u8>),
    ReadWhole(usize),
    ReadChanges(usize),
    Ask(usize, usize),
}

const ENTRIES: usize = 4;

fn step() -> impl Strategy<Value = Step> {
    let entry = 0..ENTRIES;
    prop_oneof![
        4 => (0..3u8, proptest::option::of(0..2u8)).prop_map(|(k, v)| Step::Write(k, v)),
        1 => entry.clone().prop_map(Step::ReadWhole),
        2 => entry.clone().prop_map(Step::ReadChanges),
        4 => (entry.clone(), entry).prop_map(|(a, b)| Step::Ask(a, b)),
    ]
}

proptest! {
    /// Whoever told an entry, in whatever order: its copy is the table as it
    /// stood at the position that the copy names, and that never goes back.
    #[test]
    fn copies_are_the_table_of_their_position(steps in proptest::collection::vec(step(), 1..80)) {
        let mut log = Log::default();
        let mut copies: Vec<Replica<u8>> = (0..ENTRIES).map(|_| Replica::default()).collect();
        for step in steps {
            let before: Vec<_> = copies.iter().map(Replica::position).collect();
            match step {
                Step::Write(key, value) => log.0.push((key, value)),
                Step::ReadWhole(i) => {
                    let asked = copies[i].position();
                    copies[i].apply_store_update(told(&log, None), asked);
                }
                Step::ReadChanges(i) => {
                    let asked = copies[i].position();
                    copies[i].apply_store_update(told(&log, asked), asked);
                }
                Step::Ask(i, j) => {
                    if let Some((scope, records)) = copies[j].changes_since(copies[i].position()) {
                        let next = copies[j].position().expect("a copy");
                        copies[i].apply_peer_update(update(scope, next, records));
                    }
                }
            }
            for (copy, before) in copies.iter().zip(before) {
                prop_assert!(copy.position() >= before);
                let Some(next) = copy.position() else { continue };
                let (_, records) = copy.changes_since(None).expect("a copy");
                let held: BTreeMap<Rc<str>, Option<u8>> = records.into_iter().collect();
                let table = log.table(next as usize);
                let table: BTreeMap<_, _> =
                    table.into_iter().map(|(k, v)| (name(k), Some(v))).collect();
                prop_assert_eq!(held, table);
            }
        }
    }
}
