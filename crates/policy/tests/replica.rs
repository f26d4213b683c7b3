//! Tests replicas of a table that are updated from the store and from each other.

use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::time::{Duration, Instant};

use policy::replica::{OFFSET_BITS, Replica, Update, UpdateKind};
use proptest::prelude::*;
use rstest::rstest;

type Records = policy::replica::Records<u8>;

fn record(key: &str, value: impl Into<Option<u8>>) -> (Rc<str>, Option<u8>) {
    (Rc::from(key), value.into())
}

fn update(kind: UpdateKind, position: u64, records: Records) -> Update<u8> {
    Update {
        records,
        kind,
        position,
        as_of: Instant::now(),
    }
}

fn snapshot(position: u64, records: Records) -> Update<u8> {
    update(UpdateKind::Snapshot, position, records)
}

fn delta(position: u64, records: Records) -> Update<u8> {
    update(UpdateKind::Delta, position, records)
}

/// An entry has read from the store that a server left. The peer that it asks next is
/// cut off from the store and still lists the server; a call sent there would fail.
/// Updates behind the replica must be ignored.
#[test]
fn outdated_peer_update_is_ignored() {
    let mut replica = Replica::default();
    replica.apply_store_update(snapshot(10, vec![record("s1", 1)]), None);
    replica.apply_store_update(delta(12, vec![record("s1", None)]), Some(10));
    assert!(
        replica
            .apply_peer_update(delta(11, vec![record("s1", 1)]))
            .is_empty()
    );
    assert!(
        replica
            .apply_peer_update(snapshot(11, vec![record("s1", 1)]))
            .is_empty()
    );
    assert_eq!(replica.position(), Some(12));
}

/// Guards against a record missing permanently because one restored copy of the store
/// lacked it, although the next copy has it since it was written again in between.
#[test]
fn record_lacking_in_one_copy_is_taken_from_the_next() {
    let mut replica = Replica::default();
    replica.apply_store_update(snapshot(10, vec![record("config", 1)]), None);
    replica.apply_store_update(update(UpdateKind::RestoredSnapshot, 1000, Vec::new()), None);
    let changed_records = replica.apply_store_update(
        update(
            UpdateKind::RestoredSnapshot,
            2000,
            vec![record("config", 1)],
        ),
        None,
    );
    assert_eq!(changed_records, vec![record("config", 1)]);
    let (_, records) = replica.changes_since(None).expect("a complete replica");
    assert_eq!(records, vec![record("config", 1)]);
}

/// The position `offset` of a store that was restored `restores` times.
fn position(restores: u64, offset: u64) -> u64 {
    restores << OFFSET_BITS | offset
}

/// Takes over what `source` passes on to a peer at the position of `replica`.
fn copy_from(replica: &mut Replica<u8>, source: &Replica<u8>) {
    let Some((kind, records)) = source.changes_since(replica.position()) else {
        return;
    };
    let position = source.position().expect("a complete replica");
    let kind = match kind {
        UpdateKind::Delta => kind,
        _ => UpdateKind::of_snapshot(replica.position(), position),
    };
    replica.apply_peer_update(update(kind, position, records));
}

/// Guards against an entry without a catalog for good: it copied from a peer whose
/// restored copy of the store lacked the catalog, and then withheld the catalog from the
/// next copy.
#[rstest]
#[case::started_from_the_copy(Some(snapshot(position(1, 0), Vec::new())), false)]
#[case::held_the_record(Some(snapshot(10, vec![record("config", 1)])), false)]
#[case::held_the_record_and_copied_from_a_started_peer(
    Some(snapshot(10, vec![record("config", 1)])),
    true
)]
#[case::knew_nothing(None, false)]
fn record_lacking_at_a_peer_is_taken_from_the_next_copy(
    #[case] first: Option<Update<u8>>,
    #[case] peer_started: bool,
) {
    let lacking = || update(UpdateKind::RestoredSnapshot, position(1, 0), Vec::new());
    let mut peer = Replica::default();
    if !peer_started {
        peer.apply_store_update(snapshot(10, vec![record("config", 1)]), None);
    }
    peer.apply_store_update(lacking(), None);
    let mut replica = Replica::default();
    if let Some(first) = first {
        replica.apply_store_update(first, None);
    }
    copy_from(&mut replica, &peer);
    let records = vec![record("config", 1)];
    let copy = update(UpdateKind::RestoredSnapshot, position(2, 1), records);
    let changed_records = replica.apply_store_update(copy, replica.position());
    assert_eq!(changed_records, [record("config", 1)]);
}

/// Guards against calls to a departed server: a peer whose restored copy lacked its
/// record does not know that it left, but the entry does.
#[test]
fn record_lacking_at_a_peer_stays_deleted() {
    let mut replica = Replica::default();
    replica.apply_store_update(snapshot(10, vec![record("left", 1)]), None);
    let mut peer = Replica::default();
    copy_from(&mut peer, &replica);
    let lacking = update(UpdateKind::RestoredSnapshot, position(1, 0), Vec::new());
    peer.apply_store_update(lacking, Some(10));
    replica.apply_store_update(delta(12, vec![record("left", None)]), Some(10));
    copy_from(&mut replica, &peer);
    let records = vec![record("left", 1)];
    let copy = update(UpdateKind::RestoredSnapshot, position(2, 1), records);
    let changed_records = replica.apply_store_update(copy, Some(position(1, 0)));
    assert!(changed_records.is_empty(), "{changed_records:?}");
}

/// Guards against a record returning that was deleted after a restored copy had lacked
/// it.
#[test]
fn record_dropped_after_it_was_lacking_waits() {
    let mut replica = Replica::default();
    replica.apply_store_update(snapshot(10, vec![record("s1", 1)]), None);
    replica.apply_store_update(update(UpdateKind::RestoredSnapshot, 1000, Vec::new()), None);
    replica.apply_store_update(delta(1001, vec![record("s1", None)]), Some(1000));
    let changed_records = replica.apply_store_update(
        update(UpdateKind::RestoredSnapshot, 2000, vec![record("s1", 1)]),
        None,
    );
    assert!(changed_records.is_empty(), "{changed_records:?}");
}

/// Guards against calls to a departed server because the store was restored from a copy
/// that still lists it.
#[test]
fn dropped_key_waits_after_a_rewind() {
    let mut replica = Replica::default();
    replica.apply_store_update(
        snapshot(10, vec![record("left", 1), record("stays", 2)]),
        None,
    );
    replica.apply_store_update(
        delta(12, vec![record("left", None), record("new", 3)]),
        Some(10),
    );
    let copy = update(
        UpdateKind::RestoredSnapshot,
        1000,
        vec![record("left", 1), record("stays", 2)],
    );
    assert_eq!(
        replica.apply_store_update(copy, Some(12)),
        [record("new", None)]
    );
    let (kind, records) = replica.changes_since(Some(12)).expect("a complete replica");
    assert_eq!(
        (kind, records),
        (UpdateKind::Snapshot, vec![record("stays", 2)])
    );
    // A server that is still alive writes its record again.
    let changed_records =
        replica.apply_store_update(delta(1001, vec![record("left", 1)]), Some(1000));
    assert_eq!(changed_records, [record("left", 1)]);
}

/// Guards against an entry never learning of a key because the store lacked it when the
/// entry started.
#[test]
fn unknown_key_is_accepted_after_a_rewind() {
    let mut replica = Replica::default();
    replica.apply_store_update(snapshot(0, Vec::new()), None);
    let copy = update(
        UpdateKind::RestoredSnapshot,
        1000,
        vec![record("config", 1)],
    );
    assert_eq!(
        replica.apply_store_update(copy, Some(0)),
        [record("config", 1)]
    );
}

/// Keys that a whole table lacks are deleted, and peers must receive the deletion
/// although the store has no record of it: entries that lapse during an outage leave
/// none.
#[test]
fn lapsed_key_is_passed_on_as_deleted() {
    let mut replica = Replica::default();
    replica.apply_store_update(snapshot(10, vec![record("s1", 1), record("s2", 2)]), None);
    let changed_records = replica.apply_store_update(snapshot(10, vec![record("s2", 2)]), Some(10));
    assert_eq!(changed_records, [record("s1", None)]);
    let (kind, records) = replica.changes_since(Some(10)).expect("a complete replica");
    assert_eq!(kind, UpdateKind::Delta);
    assert!(records.contains(&record("s1", None)));
}

/// A peer was silent for so long that the tombstones have been pruned. A delta would
/// leave it with the deleted keys forever, so it must get the whole table.
#[test]
fn long_silent_peer_gets_the_whole_table() {
    let start = Instant::now();
    let mut replica = Replica::default();
    let at = |mut store_update: Update<u8>, s| {
        store_update.as_of = start + Duration::from_secs(s);
        store_update
    };
    replica.apply_store_update(at(snapshot(10, vec![record("s1", 1)]), 0), None);
    replica.apply_store_update(at(delta(12, vec![record("s1", None)]), 1), Some(10));
    let (kind, _) = replica.changes_since(Some(10)).expect("a complete replica");
    assert_eq!(kind, UpdateKind::Delta);
    replica.apply_store_update(at(delta(900, vec![record("s2", 2)]), 100), Some(12));
    let (kind, records) = replica.changes_since(Some(10)).expect("a complete replica");
    assert_eq!(kind, UpdateKind::Snapshot);
    assert_eq!(records, [record("s2", 2)]);
}

/// The store was set up anew and its positions restarted. Its table replaces the
/// records held under the old positions.
#[test]
fn reset_store_replaces_the_replica() {
    let mut replica = Replica::default();
    replica.apply_store_update(snapshot(900, vec![record("s1", 1)]), None);
    let changed_records = replica.apply_store_update(snapshot(3, vec![record("s2", 2)]), Some(900));
    assert_eq!(changed_records, [record("s1", None), record("s2", 2)]);
    assert_eq!(replica.position(), Some(3));
}

/// The store as a plain log, used as the reference model.
#[derive(Default)]
struct Log(Vec<(u8, Option<u8>)>);

impl Log {
    /// The table after the first `next` records.
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

fn store_update(log: &Log, from: Option<u64>) -> Update<u8> {
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
    let kind = from.map_or(UpdateKind::Snapshot, |_| UpdateKind::Delta);
    update(kind, next as u64, records)
}

#[derive(Debug, Clone)]
enum Step {
    Write(u8, Option<u8>),
    ReadWhole(usize),
    ReadChanges(usize),
    CopyFrom(usize, usize),
}

const ENTRIES: usize = 4;

fn step() -> impl Strategy<Value = Step> {
    let entry = 0..ENTRIES;
    prop_oneof![
        4 => (0..3u8, proptest::option::of(0..2u8)).prop_map(|(k, v)| Step::Write(k, v)),
        1 => entry.clone().prop_map(Step::ReadWhole),
        2 => entry.clone().prop_map(Step::ReadChanges),
        4 => (entry.clone(), entry).prop_map(|(a, b)| Step::CopyFrom(a, b)),
    ]
}

proptest! {
    /// Regardless of the sources and the order of updates, a replica equals the table
    /// at its own position, and that position never goes back.
    #[test]
    fn replica_equals_the_table_at_its_position(steps in proptest::collection::vec(step(), 1..80)) {
        let mut log = Log::default();
        let mut copies: Vec<Replica<u8>> = (0..ENTRIES).map(|_| Replica::default()).collect();
        for step in steps {
            let before: Vec<_> = copies.iter().map(Replica::position).collect();
            match step {
                Step::Write(key, value) => log.0.push((key, value)),
                Step::ReadWhole(i) => {
                    let asked = copies[i].position();
                    copies[i].apply_store_update(store_update(&log, None), asked);
                }
                Step::ReadChanges(i) => {
                    let asked = copies[i].position();
                    copies[i].apply_store_update(store_update(&log, asked), asked);
                }
                Step::CopyFrom(i, j) => {
                    if let Some((kind, records)) = copies[j].changes_since(copies[i].position()) {
                        let position = copies[j].position().expect("a complete replica");
                        copies[i].apply_peer_update(update(kind, position, records));
                    }
                }
            }
            for (copy, before) in copies.iter().zip(before) {
                prop_assert!(copy.position() >= before);
                let Some(next) = copy.position() else { continue };
                let (_, records) = copy.changes_since(None).expect("a complete replica");
                let current: BTreeMap<Rc<str>, Option<u8>> = records.into_iter().collect();
                let table = log.table(next as usize);
                let table: BTreeMap<_, _> =
                    table.into_iter().map(|(k, v)| (name(k), Some(v))).collect();
                prop_assert_eq!(current, table);
            }
        }
    }
}

/// A store that is restored from old copies, and the keys that a record ever deleted.
#[derive(Default)]
struct RestoredLog {
    log: Log,
    restores: u64,
    deleted: BTreeSet<u8>,
}

impl RestoredLog {
    fn write(&mut self, key: u8, value: Option<u8>) {
        self.log.0.push((key, value));
        if value.is_none() {
            self.deleted.insert(key);
        }
    }

    /// Restores a copy that lacks the newest `count` records.
    fn restore(&mut self, count: usize) {
        let kept = self.log.0.len().saturating_sub(count);
        self.log.0.truncate(kept);
        self.restores += 1;
    }

    /// What an entry reads whose replica is complete up to `from`.
    fn update(&self, from: Option<u64>) -> Update<u8> {
        let start = position(self.restores, 0);
        let offset = from.and_then(|from| from.checked_sub(start));
        let mut update = store_update(&self.log, offset);
        update.position += start;
        if offset.is_none() {
            update.kind = UpdateKind::of_snapshot(from, update.position);
        }
        update
    }
}

#[derive(Debug, Clone)]
enum RestoreStep {
    Write(u8, Option<u8>),
    Restore(usize),
    Read(usize),
    CopyFrom(usize, usize),
    Restart(usize),
}

fn restore_step() -> impl Strategy<Value = RestoreStep> {
    let entry = 0..ENTRIES;
    prop_oneof![
        4 => (0..3u8, proptest::option::weighted(0.8, 0..2u8))
            .prop_map(|(k, v)| RestoreStep::Write(k, v)),
        2 => (0..4usize).prop_map(RestoreStep::Restore),
        4 => entry.clone().prop_map(RestoreStep::Read),
        4 => (entry.clone(), entry.clone()).prop_map(|(a, b)| RestoreStep::CopyFrom(a, b)),
        1 => entry.prop_map(RestoreStep::Restart),
    ]
}

proptest! {
    /// Whatever copies the store is restored from, and whichever entries copy from each
    /// other, an entry that has read the store lacks only keys that a record deleted once.
    #[test]
    fn only_deleted_keys_are_withheld(
        steps in proptest::collection::vec(restore_step(), 1..100),
    ) {
        let mut store = RestoredLog::default();
        let mut copies: Vec<Replica<u8>> = (0..ENTRIES).map(|_| Replica::default()).collect();
        for step in steps {
            match step {
                RestoreStep::Write(key, value) => store.write(key, value),
                RestoreStep::Restore(count) => store.restore(count),
                RestoreStep::Read(i) => {
                    let from = copies[i].position();
                    copies[i].apply_store_update(store.update(from), from);
                    let (_, records) = copies[i].changes_since(None).expect("a complete replica");
                    let held: BTreeMap<_, _> = records.into_iter().collect();
                    for (key, value) in store.log.table(store.log.0.len()) {
                        prop_assert!(
                            held.get(&name(key)) == Some(&Some(value))
                                || store.deleted.contains(&key),
                            "{key} is missing in {held:?}"
                        );
                    }
                }
                RestoreStep::CopyFrom(i, j) => {
                    if i != j {
                        let mut replica = std::mem::take(&mut copies[i]);
                        copy_from(&mut replica, &copies[j]);
                        copies[i] = replica;
                    }
                }
                RestoreStep::Restart(i) => copies[i] = Replica::default(),
            }
        }
    }
}
