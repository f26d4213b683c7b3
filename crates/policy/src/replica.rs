//! A replica of one of the store's tables, updated from the store or from peers.
//!
//! Load pattern: dozens of entries need the same few tables, at most a second or two
//! old. If each read them from the store, the store's load would grow with the number
//! of entries. So a few entries read them and pass the changes on to the others, which
//! may receive them from several peers, late, or from a peer that has lost the store.
//! Updates are ordered by the store's own position: an update that is behind the
//! replica is ignored, so a departed server does not reappear and the catalog does not
//! revert. See docs/DECISIONS/0605-zone-readers.md.

use std::collections::{HashMap, HashSet};
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Number of low bits of a position that hold the offset in the store's log. The bits
/// above them count how often the store was restored from an old copy: offsets are then
/// assigned again, and positions from before must compare as lower. Positions stay below
/// 2^53, so that all JSON parsers represent them exactly.
pub const OFFSET_BITS: u32 = 40;

/// How long the tombstone of a deleted key is kept, so that peers that were unreachable
/// in the meantime receive the deletion. A peer that was unreachable for longer gets
/// the whole table.
const TOMBSTONE_TTL: Duration = Duration::from_secs(60);

/// Keys with their values, in the order of their writes as far as that is known; `None`
/// marks a deleted key.
pub type Records<T> = Vec<(Rc<str>, Option<T>)>;

/// The kind of an update.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum UpdateKind {
    /// All changes since the requested position.
    Delta,
    /// The whole table: keys that it lacks are deleted.
    Snapshot,
    /// The whole table of a store that was restored from an old copy. Keys in it that
    /// were deleted after the copy was made stay deleted until they are written again.
    RestoredSnapshot,
}

impl UpdateKind {
    /// The kind of a whole table at `position`, for a replica that is complete up to
    /// `known`.
    #[must_use]
    pub fn of_snapshot(known: Option<u64>, position: u64) -> Self {
        let restores = |position: u64| position >> OFFSET_BITS;
        match known.is_some_and(|known| restores(known) < restores(position)) {
            true => Self::RestoredSnapshot,
            false => Self::Snapshot,
        }
    }
}

/// An update of a table from the store or a peer.
#[derive(Debug, Clone)]
pub struct Update<T> {
    /// The updated records.
    pub records: Records<T>,
    /// Whether the records are changes or the whole table.
    pub kind: UpdateKind,
    /// The store's position up to which the records are complete.
    pub position: u64,
    /// A time at which the records were up to date.
    pub as_of: Instant,
}

impl<T> Update<T> {
    /// Converts the values.
    #[must_use]
    pub fn map<U>(self, convert: impl Fn(T) -> U) -> Update<U> {
        let record = |(key, current): (Rc<str>, Option<T>)| (key, current.map(&convert));
        Update {
            records: self.records.into_iter().map(record).collect(),
            kind: self.kind,
            position: self.position,
            as_of: self.as_of,
        }
    }
}

/// A replica of a table.
#[derive(Debug)]
pub struct Replica<T> {
    records: HashMap<Rc<str>, Record<T>>,
    /// The store's position up to which the replica is complete.
    position: Option<u64>,
    /// The latest time at which the replica was known to be complete.
    fresh_at: Option<Instant>,
    /// Number of values written so far.
    writes: u64,
    /// Tombstones up to this position have been pruned; peers behind it get the whole
    /// table.
    pruned_position: u64,
    /// Keys that the last update contained and that stayed deleted.
    withheld: Vec<Rc<str>>,
}

#[derive(Debug)]
struct Record<T> {
    /// `None` is a tombstone of a deleted key.
    value: Option<T>,
    /// Whether the key is deleted only because a restored copy of the store lacked it.
    /// It may have been written after that copy was made, and returns if a later copy
    /// has it.
    missing_in_copy: bool,
    /// Peers at a position below this one lack this value.
    changed: u64,
    /// Sequence number of the write, for the order of records.
    sequence: u64,
    /// When the value was written.
    at: Instant,
}

impl<T> Default for Replica<T> {
    fn default() -> Self {
        Self {
            records: HashMap::new(),
            position: None,
            fresh_at: None,
            writes: 0,
            pruned_position: 0,
            withheld: Vec::new(),
        }
    }
}

impl<T: Clone + PartialEq> Replica<T> {
    /// Applies an update read from the store, and returns the records that changed.
    ///
    /// The store is authoritative: if its positions went back, as after it was set up
    /// anew, a whole table replaces the records held under the old positions.
    pub fn apply_store_update(&mut self, update: Update<T>, requested: Option<u64>) -> Records<T> {
        let reset =
            update.kind == UpdateKind::Snapshot && requested.is_some_and(|a| update.position < a);
        if reset {
            self.position = None;
            self.pruned_position = 0;
        }
        self.merge(update, false)
    }

    /// Applies an update from a peer, and returns the records that changed: none if the
    /// update is behind the replica.
    pub fn apply_peer_update(&mut self, update: Update<T>) -> Records<T> {
        self.merge(update, true)
    }

    /// Applies an update. An update from a peer (`from_peer`) holds only the last value
    /// of each key: an unchanged key may have had another value in between, and peers
    /// that saw that value must receive the key again.
    fn merge(&mut self, update: Update<T>, from_peer: bool) -> Records<T> {
        if self
            .position
            .is_some_and(|position| update.position < position)
        {
            return Vec::new();
        }
        self.withheld.clear();
        let mut changed_records = Vec::new();
        if update.kind != UpdateKind::Delta {
            changed_records.extend(self.delete_absent(&update));
            self.pruned_position = self.pruned_position.max(update.position);
        }
        // A peer has withheld those records itself, unless they were written again.
        let restored = update.kind == UpdateKind::RestoredSnapshot && !from_peer;
        for (key, value) in update.records {
            if restored && self.was_deleted(&key) {
                self.withheld.push(key);
                continue;
            }
            if self.set(
                &key,
                value.clone(),
                update.position,
                update.as_of,
                from_peer,
            ) {
                changed_records.push((key, value));
            }
        }
        self.position = Some(update.position);
        self.fresh_at = self.fresh_at.max(Some(update.as_of));
        self.prune_tombstones(update.as_of);
        changed_records
    }

    /// Deletes the keys that a whole table lacks; returns them. Store entries that
    /// lapse leave no record, so these deletions must also reach peers that are
    /// complete up to the same position.
    fn delete_absent(&mut self, update: &Update<T>) -> Records<T> {
        let present: HashSet<&str> = update.records.iter().map(|(key, _)| &**key).collect();
        let mut deleted = Vec::new();
        for (key, record) in &mut self.records {
            if record.value.is_some() && !present.contains(&**key) {
                *record = Record {
                    value: None,
                    missing_in_copy: update.kind == UpdateKind::RestoredSnapshot,
                    changed: update.position + 1,
                    sequence: record.sequence,
                    at: update.as_of,
                };
                deleted.push((Rc::clone(key), None));
            }
        }
        deleted
    }

    /// Whether a key was deleted by a record, and not only missing in a restored copy.
    fn was_deleted(&self, key: &str) -> bool {
        let deleted = |r: &Record<T>| r.value.is_none() && !r.missing_in_copy;
        self.records.get(key).is_some_and(deleted)
    }

    /// Writes one record; returns whether its value changed. An unchanged record from a
    /// peer is passed on to other peers as well.
    ///
    /// A peer passes on a key as deleted also when its restored copy lacked the key. For
    /// a replica without a value of the key, that is no evidence of a deletion.
    fn set(
        &mut self,
        key: &Rc<str>,
        value: Option<T>,
        changed: u64,
        at: Instant,
        from_peer: bool,
    ) -> bool {
        match self.records.get_mut(key) {
            Some(record) if record.value == value => {
                record.missing_in_copy &= from_peer;
                if from_peer {
                    record.changed = changed;
                }
                false
            }
            existing => {
                let missing_in_copy = from_peer && existing.is_none() && value.is_none();
                self.writes += 1;
                let record = Record {
                    value,
                    missing_in_copy,
                    changed,
                    sequence: self.writes,
                    at,
                };
                self.records.insert(Rc::clone(key), record);
                true
            }
        }
    }

    /// Prunes old tombstones.
    fn prune_tombstones(&mut self, now: Instant) {
        let pruned = &mut self.pruned_position;
        self.records.retain(|_, record| {
            let keep = record.value.is_some() || now < record.at + TOMBSTONE_TTL;
            if !keep {
                *pruned = (*pruned).max(record.changed);
            }
            keep
        });
    }

    /// The records that a peer complete up to `from` needs; `None` while this replica
    /// is not known to be complete itself.
    #[must_use]
    pub fn changes_since(&self, from: Option<u64>) -> Option<(UpdateKind, Records<T>)> {
        self.position?;
        let from = from.filter(|from| *from >= self.pruned_position);
        let kind = from.map_or(UpdateKind::Snapshot, |_| UpdateKind::Delta);
        let wanted = |r: &Record<T>| match from {
            Some(from) => r.changed > from,
            None => r.value.is_some(),
        };
        let records = self.records.iter().filter(|(_, r)| wanted(r));
        let mut records: Vec<_> = records.collect();
        records.sort_by_key(|(_, r)| r.sequence);
        let records = records.into_iter();
        let records = records.map(|(key, r)| (Rc::clone(key), r.value.clone()));
        Some((kind, records.collect()))
    }

    /// Whether a peer complete up to `from` needs any records.
    #[must_use]
    pub fn has_changes_since(&self, from: Option<u64>) -> bool {
        match (self.position, from) {
            (None, _) => false,
            (Some(_), None) => true,
            (Some(_), Some(from)) => {
                from < self.pruned_position || self.records.values().any(|r| r.changed > from)
            }
        }
    }

    /// The keys that the last update contained and that stayed deleted, since the store
    /// was restored from a copy made before they were deleted.
    #[must_use]
    pub fn withheld(&self) -> &[Rc<str>] {
        &self.withheld
    }

    /// The store's position up to which the replica is complete.
    #[must_use]
    pub fn position(&self) -> Option<u64> {
        self.position
    }

    /// The latest time at which the replica was known to be complete.
    #[must_use]
    pub fn fresh_at(&self) -> Option<Instant> {
        self.fresh_at
    }

    /// The age of the replica; `None` while it holds no table.
    #[must_use]
    pub fn age(&self, now: Instant) -> Option<Duration> {
        self.fresh_at.map(|at| now.saturating_duration_since(at))
    }
}
