//! Who owns which key, by the log's order. The same at every reader.

use std::collections::{HashMap, VecDeque};
use std::rc::Rc;
use std::time::Duration;

use base::ids::{Offset, RequestId};
use bundle::Hash;

use crate::record::{CallOutcome, ClaimEnd, ClaimRequest, Record};

/// Who owns which key.
#[derive(Debug, Clone, Default)]
pub struct ClaimTable {
    /// How long a claim owns its key, in the log's milliseconds.
    window_ms: u64,
    owners: HashMap<Hash, KeyOwner>,
    /// When claims lapse, the first to lapse first.
    expiries: VecDeque<(u64, Hash, RequestId)>,
    next_offset: Offset,
}

/// The call that owns a key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct KeyOwner {
    /// The call.
    pub ticket: RequestId,
    /// Hash of what it asks for.
    pub body: Hash,
    /// The entry that granted it.
    pub entry: Rc<str>,
    /// When the claim lapses, in the log's milliseconds.
    pub expires_ms: u64,
    /// How it ended, if that is known.
    pub outcome: Option<CallOutcome>,
}

impl ClaimTable {
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
    pub fn limit_window(&mut self, retention_ms: u64) {
        if retention_ms > 0 {
            self.window_ms = self.window_ms.min(retention_ms / 2);
        }
    }

    /// The offset to read next.
    #[must_use]
    pub fn next_offset(&self) -> Offset {
        self.next_offset
    }

    /// Notes that the log has nothing before `first` any more. What expired
    /// unread has lapsed too: the window is shorter than the retention.
    pub fn skip_expired(&mut self, first: Offset) {
        self.next_offset = self.next_offset.max(first);
    }

    /// Takes in the record at `offset`, appended at `time_ms` of the log's
    /// clock.
    pub fn apply(&mut self, offset: Offset, time_ms: u64, body: &str) {
        if offset < self.next_offset {
            return;
        }
        self.next_offset = Offset(offset.0 + 1);
        self.expire_claims(time_ms);
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
    pub fn owner(&self, key: &Hash) -> Option<&KeyOwner> {
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
    pub fn expire_claims(&mut self, now_ms: u64) {
        while let Some((expires_ms, key, ticket)) = self.expiries.front().copied() {
            if expires_ms > now_ms {
                return;
            }
            self.expiries.pop_front();
            if self.owners.get(&key).is_some_and(|o| o.ticket == ticket) {
                self.owners.remove(&key);
            }
        }
    }

    /// The first claim owns the key; the later ones change nothing.
    fn claim(&mut self, claimed: &ClaimRequest, entry: &Rc<str>, time_ms: u64) {
        if self.owners.contains_key(&claimed.key) {
            return;
        }
        let expires_ms = time_ms.saturating_add(self.window_ms);
        let ticket = claimed.ticket.0;
        let owner = KeyOwner {
            ticket,
            body: claimed.body,
            entry: Rc::clone(entry),
            expires_ms,
            outcome: None,
        };
        self.owners.insert(claimed.key, owner);
        self.expiries.push_back((expires_ms, claimed.key, ticket));
    }

    fn end(&mut self, ended: &ClaimEnd) {
        let owner = self.owners.get_mut(&ended.key);
        let Some(owner) = owner.filter(|o| o.ticket == ended.ticket.0) else {
            return;
        };
        match ended.outcome {
            CallOutcome::NotRun => {
                self.owners.remove(&ended.key);
            }
            end => owner.outcome = Some(end),
        }
    }
}
