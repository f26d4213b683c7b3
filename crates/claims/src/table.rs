//! Who owns which key, by the log's order. The same at every reader.

use std::collections::{HashMap, VecDeque};
use std::rc::Rc;
use std::time::Duration;

use base::ids::{Offset, RequestId};
use bundle::Hash;

use crate::record::{Claimed, End, Ended, Record};

/// Who owns which key.
#[derive(Debug, Clone, Default)]
pub struct Table {
    /// How long a claim owns its key, in the log's milliseconds.
    window_ms: u64,
    owners: HashMap<Hash, Owner>,
    /// When claims lapse, the first to lapse first.
    lapses: VecDeque<(u64, Hash, RequestId)>,
    next: Offset,
}

/// The call that owns a key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Owner {
    /// The call.
    pub ticket: RequestId,
    /// Hash of what it asks for.
    pub body: Hash,
    /// The entry that granted it.
    pub entry: Rc<str>,
    /// When the claim lapses, in the log's milliseconds.
    pub until_ms: u64,
    /// How it ended, if that is known.
    pub end: Option<End>,
}

impl Table {
    /// Makes an empty table.
    #[must_use]
    pub fn new(window_ms: u64) -> Self {
        Self {
            window_ms,
            ..Self::default()
        }
    }

    /// How long a claim owns its key.
    #[must_use]
    pub fn window(&self) -> Duration {
        Duration::from_millis(self.window_ms)
    }

    /// Keeps the window below half of the log's retention, so that a claim
    /// never expires while it owns its key; 0 stands for no retention.
    pub fn limit(&mut self, retention_ms: u64) {
        if retention_ms > 0 {
            self.window_ms = self.window_ms.min(retention_ms / 2);
        }
    }

    /// The offset to read next.
    #[must_use]
    pub fn next(&self) -> Offset {
        self.next
    }

    /// Notes that the log has nothing before `first` any more. What expired
    /// unread has lapsed too: the window is shorter than the retention.
    pub fn expired(&mut self, first: Offset) {
        self.next = self.next.max(first);
    }

    /// Takes in the record at `offset`, appended at `time_ms` of the log's
    /// clock.
    pub fn apply(&mut self, offset: Offset, time_ms: u64, body: &str) {
        if offset < self.next {
            return;
        }
        self.next = Offset(offset.0 + 1);
        self.lapse(time_ms);
        // A record of a later build that this one cannot read must not stop
        // the claims after it.
        let Ok(record) = serde_json::from_str::<Record>(body) else {
            return;
        };

        let entry: Rc<str> = record.entry.into();
        for ended in &record.ends {
            self.end(ended);
        }
        for claimed in &record.claims {
            self.claim(claimed, &entry, time_ms);
        }
    }

    /// Who owns a key now.
    #[must_use]
    pub fn owner(&self, key: &Hash) -> Option<&Owner> {
        self.owners.get(key)
    }

    /// How many keys are owned.
    #[must_use]
    pub fn len(&self) -> usize {
        self.owners.len()
    }

    /// Whether no key is owned.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.owners.is_empty()
    }

    /// Forgets claims that lapsed before `now_ms`.
    pub fn lapse(&mut self, now_ms: u64) {
        while let Some((until_ms, key, ticket)) = self.lapses.front().copied() {
            if until_ms > now_ms {
                return;
            }
            self.lapses.pop_front();
            if self.owners.get(&key).is_some_and(|o| o.ticket == ticket) {
                self.owners.remove(&key);
            }
        }
    }

    /// The first claim owns the key; the later ones change nothing.
    fn claim(&mut self, claimed: &Claimed, entry: &Rc<str>, time_ms: u64) {
        if self.owners.contains_key(&claimed.key) {
            return;
        }
        let until_ms = time_ms.saturating_add(self.window_ms);
        let ticket = claimed.ticket.0;
        let owner = Owner {
            ticket,
            body: claimed.body,
            entry: Rc::clone(entry),
            until_ms,
            end: None,
        };
        self.owners.insert(claimed.key, owner);
        self.lapses.push_back((until_ms, claimed.key, ticket));
    }

    fn end(&mut self, ended: &Ended) {
        let owner = self.owners.get_mut(&ended.key);
        let Some(owner) = owner.filter(|o| o.ticket == ended.ticket.0) else {
            return;
        };
        match ended.end {
            End::NotRun => {
                self.owners.remove(&ended.key);
            }
            end => owner.end = Some(end),
        }
    }
}
