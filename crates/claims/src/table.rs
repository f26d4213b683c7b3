//! The owners of keys according to the log's order, identical for all readers.

use std::collections::{HashMap, VecDeque};
use std::rc::Rc;
use std::time::Duration;

use base::ids::{Offset, RequestId};
use bundle::Hash;

use crate::record::{CallOutcome, ClaimEnd, ClaimRequest, Record};

/// The owners of keys.
#[derive(Debug, Clone, Default)]
pub struct ClaimTable {
    /// How long a claim owns its key, in ms.
    window_ms: u64,
    owners: HashMap<Hash, KeyOwner>,
    /// Expiry times of claims in ms of the log's clock, earliest first.
    expiries: VecDeque<(u64, Hash, RequestId)>,
    next_offset: Offset,
}

/// The call that owns a key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct KeyOwner {
    /// Ticket of the call.
    pub ticket: RequestId,
    /// Hash of the request body.
    pub body: Hash,
    /// Name of the entry that claimed the key.
    pub entry: Rc<str>,
    /// Expiry time of the claim, in ms of the log's clock.
    pub expires_ms: u64,
    /// Outcome of the call, if known.
    pub outcome: Option<CallOutcome>,
}

impl ClaimTable {
    /// Creates an empty table; claims own their keys for `window_ms`.
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

    /// Limits the window to half of the log's retention, so that a record never
    /// expires from the log while its claims own their keys; 0 means unlimited
    /// retention.
    pub fn limit_window(&mut self, retention_ms: u64) {
        if retention_ms > 0 {
            self.window_ms = self.window_ms.min(retention_ms / 2);
        }
    }

    /// Offset of the next record to read.
    #[must_use]
    pub fn next_offset(&self) -> Offset {
        self.next_offset
    }

    /// Records that everything before `first` has expired from the log. Claims
    /// in records that expired unread have expired too because the window is
    /// shorter than the retention.
    pub fn skip_expired(&mut self, first: Offset) {
        self.next_offset = self.next_offset.max(first);
    }

    /// Applies the record at `offset`, appended at `time_ms` on the log's clock.
    pub fn apply(&mut self, offset: Offset, time_ms: u64, body: &str) {
        if offset < self.next_offset {
            return;
        }
        self.next_offset = Offset(offset.0 + 1);
        self.expire_claims(time_ms);
        // A record written by a newer build may be unreadable here. It must not
        // block the records after it.
        let Ok(record) = serde_json::from_str::<Record>(body) else {
            return;
        };

        let entry: Rc<str> = record.entry.into();
        for end in &record.ends {
            self.apply_end(end);
        }
        for request in &record.claims {
            self.apply_claim(request, &entry, time_ms);
        }
    }

    /// The current owner of a key.
    #[must_use]
    pub fn owner(&self, key: &Hash) -> Option<&KeyOwner> {
        self.owners.get(key)
    }

    /// Number of owned keys.
    #[must_use]
    pub fn len(&self) -> usize {
        self.owners.len()
    }

    /// Whether no keys are owned.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.owners.is_empty()
    }

    /// Removes claims that have expired by `now_ms`.
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

    /// Applies a claim. The first claim owns the key; later ones are ignored.
    fn apply_claim(&mut self, request: &ClaimRequest, entry: &Rc<str>, time_ms: u64) {
        if self.owners.contains_key(&request.key) {
            return;
        }
        let expires_ms = time_ms.saturating_add(self.window_ms);
        let ticket = request.ticket.0;
        let owner = KeyOwner {
            ticket,
            body: request.body,
            entry: Rc::clone(entry),
            expires_ms,
            outcome: None,
        };
        self.owners.insert(request.key, owner);
        self.expiries.push_back((expires_ms, request.key, ticket));
    }

    fn apply_end(&mut self, end: &ClaimEnd) {
        let owner = self.owners.get_mut(&end.key);
        let Some(owner) = owner.filter(|o| o.ticket == end.ticket.0) else {
            return;
        };
        match end.outcome {
            CallOutcome::NotRun => {
                self.owners.remove(&end.key);
            }
            outcome => owner.outcome = Some(outcome),
        }
    }
}
