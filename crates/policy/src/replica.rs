//! An entry's copy of one of the store's tables, whoever it was told by.
//!
//! Load pattern: dozens of entries need the same few tables, fresh to a second
//! or two. Each reading them by itself costs the store calls in proportion to
//! the entries. Here a few read, and hand on what changed to the others, which
//! may hear it from several, late, or from one that has lost the store. What
//! decides between two updates is the store's own position: one that is
//! behind what is held says nothing new, so a departed server is not brought
//! back and a catalog does not go back. See docs/DECISIONS/0605-zone-readers.md.

use std::collections::{HashMap, HashSet};
use std::rc::Rc;
use std::time::{Duration, Instant};

/// How long a dropped key is remembered, so that neighbours that were silent
/// meanwhile are told of it. One that was silent for longer is told the whole
/// table.
const DROPPED_KEPT: Duration = Duration::from_secs(60);

/// Keys with their values, in the order in which they were written as far as
/// that is known; none for a key that was dropped.
pub type Records<T> = Vec<(Rc<str>, Option<T>)>;

/// What an update of a table holds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum UpdateKind {
    /// All changes since the position from which was asked.
    Delta,
    /// The whole table: what it does not show is gone.
    Snapshot,
    /// The whole table of a store that has come back from an old copy. What it
    /// shows and was dropped since the copy was made waits until it is written
    /// again.
    RestoredSnapshot,
}

/// What the store or a neighbour says of a table.
#[derive(Debug, Clone)]
pub struct Update<T> {
    /// What it says.
    pub records: Records<T>,
    /// What the records are.
    pub kind: UpdateKind,
    /// The store's position up to which they are complete.
    pub position: u64,
    /// A moment at which they were all that there was.
    pub as_of: Instant,
}

impl<T> Update<T> {
    /// The same with other values.
    #[must_use]
    pub fn map<U>(self, value: impl Fn(T) -> U) -> Update<U> {
        let record = |(key, old): (Rc<str>, Option<T>)| (key, old.map(&value));
        Update {
            records: self.records.into_iter().map(record).collect(),
            kind: self.kind,
            position: self.position,
            as_of: self.as_of,
        }
    }
}

/// A copy of a table.
#[derive(Debug)]
pub struct Replica<T> {
    records: HashMap<Rc<str>, Record<T>>,
    /// The store's position up to which the copy is complete.
    next: Option<u64>,
    /// The last moment at which it was known to be.
    fresh: Option<Instant>,
    /// Values taken over so far.
    count: u64,
    /// What was dropped up to this position is not known: those who are behind
    /// it are told the whole table.
    forgotten: u64,
}

#[derive(Debug)]
struct Record<T> {
    /// None once the key was dropped.
    value: Option<T>,
    /// Whether it is gone since an old copy of the store lacked it: it may have
    /// been written after that copy was made, and comes back with the next.
    lacked: bool,
    /// Those whose position is below this have not been update.
    changed: u64,
    /// Its place in the order in which values were taken over.
    order: u64,
    /// When the value was taken over.
    at: Instant,
}

impl<T> Default for Replica<T> {
    fn default() -> Self {
        Self {
            records: HashMap::new(),
            next: None,
            fresh: None,
            count: 0,
            forgotten: 0,
        }
    }
}

impl<T: Clone + PartialEq> Replica<T> {
    /// Takes over what the store said itself, and returns what is new.
    ///
    /// The store has the last word: if its positions went back, as after it was
    /// set up anew, a whole table replaces what was held under the old ones.
    pub fn apply_store_update(&mut self, update: Update<T>, asked: Option<u64>) -> Records<T> {
        let restarted =
            update.kind == UpdateKind::Snapshot && asked.is_some_and(|a| update.position < a);
        if restarted {
            self.next = None;
            self.forgotten = 0;
        }
        self.merge(update, false)
    }

    /// Takes over what a neighbour said, and returns what is new: nothing, if
    /// it is behind what is held.
    pub fn apply_peer_update(&mut self, update: Update<T>) -> Records<T> {
        self.merge(update, true)
    }

    /// Takes an update over. One of a neighbour (`collapsed`) holds the last
    /// value of each key only: a key that is as it was before may have been
    /// another meanwhile, and those who saw that have to be told again.
    fn merge(&mut self, update: Update<T>, collapsed: bool) -> Records<T> {
        if self.next.is_some_and(|next| update.position < next) {
            return Vec::new();
        }
        let mut news = Vec::new();
        if update.kind != UpdateKind::Delta {
            news.extend(self.drop_unseen(&update));
            self.forgotten = self.forgotten.max(update.position);
        }
        let copy = update.kind == UpdateKind::RestoredSnapshot;
        for (key, value) in update.records {
            if copy && self.dropped(&key) {
                continue;
            }
            if self.put(
                &key,
                value.clone(),
                update.position,
                update.as_of,
                collapsed,
            ) {
                news.push((key, value));
            }
        }
        self.next = Some(update.position);
        self.fresh = self.fresh.max(Some(update.as_of));
        self.forget(update.as_of);
        news
    }

    /// Drops the keys that a whole table does not show; returns them. Entries
    /// that lapse leave no record behind, so those who are complete up to the
    /// same position have to be told as well.
    fn drop_unseen(&mut self, update: &Update<T>) -> Records<T> {
        let shown: HashSet<&str> = update.records.iter().map(|(key, _)| &**key).collect();
        let mut dropped = Vec::new();
        for (key, record) in &mut self.records {
            if record.value.is_some() && !shown.contains(&**key) {
                *record = Record {
                    value: None,
                    lacked: update.kind == UpdateKind::RestoredSnapshot,
                    changed: update.position + 1,
                    order: record.order,
                    at: update.as_of,
                };
                dropped.push((Rc::clone(key), None));
            }
        }
        dropped
    }

    /// Whether a key was dropped a while ago, and not only lacking in a copy.
    fn dropped(&self, key: &str) -> bool {
        let dropped = |r: &Record<T>| r.value.is_none() && !r.lacked;
        self.records.get(key).is_some_and(dropped)
    }

    /// Writes one record; returns whether its value is another than before.
    fn put(
        &mut self,
        key: &Rc<str>,
        value: Option<T>,
        changed: u64,
        at: Instant,
        again: bool,
    ) -> bool {
        match self.records.get_mut(key) {
            Some(record) if record.value == value => {
                record.lacked = false;
                if again {
                    record.changed = changed;
                }
                false
            }
            _ => {
                self.count += 1;
                let record = Record {
                    value,
                    lacked: false,
                    changed,
                    order: self.count,
                    at,
                };
                self.records.insert(Rc::clone(key), record);
                true
            }
        }
    }

    /// Forgets keys that were dropped long ago.
    fn forget(&mut self, now: Instant) {
        let forgotten = &mut self.forgotten;
        self.records.retain(|_, record| {
            let keep = record.value.is_some() || now < record.at + DROPPED_KEPT;
            if !keep {
                *forgotten = (*forgotten).max(record.changed);
            }
            keep
        });
    }

    /// What one that is complete up to `from` has to be told; none while the
    /// copy itself is not known to be complete.
    #[must_use]
    pub fn changes_since(&self, from: Option<u64>) -> Option<(UpdateKind, Records<T>)> {
        self.next?;
        let from = from.filter(|from| *from >= self.forgotten);
        let scope = from.map_or(UpdateKind::Snapshot, |_| UpdateKind::Delta);
        let wanted = |r: &Record<T>| match from {
            Some(from) => r.changed > from,
            None => r.value.is_some(),
        };
        let records = self.records.iter().filter(|(_, r)| wanted(r));
        let mut records: Vec<_> = records.collect();
        records.sort_by_key(|(_, r)| r.order);
        let records = records.into_iter();
        let records = records.map(|(key, r)| (Rc::clone(key), r.value.clone()));
        Some((scope, records.collect()))
    }

    /// Whether one that is complete up to `from` has anything to be update.
    #[must_use]
    pub fn has_changes_since(&self, from: Option<u64>) -> bool {
        match (self.next, from) {
            (None, _) => false,
            (Some(_), None) => true,
            (Some(_), Some(from)) => {
                from < self.forgotten || self.records.values().any(|r| r.changed > from)
            }
        }
    }

    /// The store's position up to which the copy is complete.
    #[must_use]
    pub fn position(&self) -> Option<u64> {
        self.next
    }

    /// The last moment at which the copy was known to be complete.
    #[must_use]
    pub fn fresh_at(&self) -> Option<Instant> {
        self.fresh
    }

    /// How old the copy may be by now; none while there is none.
    #[must_use]
    pub fn age(&self, now: Instant) -> Option<Duration> {
        self.fresh.map(|at| now.saturating_duration_since(at))
    }
}
