//! The calls that wait for admission, in order of admission.

use std::collections::{BTreeMap, HashMap};
use std::time::Instant;

use super::call::{CallId, GrantRequest};

/// Position in the queue: the lowest rank goes first, then the earliest due
/// time.
///
/// Load pattern: calls of a lower tier arrive faster than the engine takes
/// them, for some seconds. In a queue ordered by due time only, one in six
/// calls of a higher tier, whose latency targets are a third as long, came
/// late behind them; with this order one in twenty.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct QueueKey {
    /// Rank of the call; 0 is the most urgent.
    pub(super) rank: u8,
    /// Due time, which orders calls of equal rank.
    pub(super) due: Instant,
}

/// A queued call.
#[derive(Debug)]
pub(super) struct QueuedCall {
    /// When it was queued.
    pub(super) since: Instant,
    /// When it has to be admitted so that its first event is in time.
    pub(super) start_by: Instant,
    /// Tokens that it has to read.
    pub(super) tokens: u32,
    pub(super) request: GrantRequest,
}

/// The largest call id, as an upper bound for calls with equal keys.
const LAST_CALL: CallId = CallId {
    incarnation: u64::MAX,
    number: u32::MAX,
};

/// The queued calls.
#[derive(Debug, Default)]
pub(super) struct WaitQueue {
    calls: BTreeMap<(QueueKey, CallId), QueuedCall>,
    /// The key of each call.
    keys: HashMap<CallId, QueueKey>,
}

impl WaitQueue {
    /// The key of a call, if it is queued.
    pub(super) fn key(&self, id: CallId) -> Option<QueueKey> {
        self.keys.get(&id).copied()
    }

    /// Adds a call.
    pub(super) fn push(&mut self, key: QueueKey, call: QueuedCall) {
        let id = call.request.id;
        self.keys.insert(id, key);
        self.calls.insert((key, id), call);
    }

    /// The calls in order of admission.
    pub(super) fn iter(&self) -> impl Iterator<Item = &QueuedCall> {
        self.calls.values()
    }

    /// Removes a call that is admitted, refused or cancelled.
    pub(super) fn remove(&mut self, id: CallId) -> Option<QueuedCall> {
        let key = self.keys.remove(&id)?;
        self.calls.remove(&(key, id))
    }

    /// Number of calls up to and including `key`, and the tokens that they
    /// have to read.
    pub(super) fn ahead_of(&self, key: QueueKey) -> (u32, u64) {
        let before = self.calls.range(..=(key, LAST_CALL));
        before.fold((0, 0), |(calls, tokens), (_, w)| {
            (calls + 1, tokens + u64::from(w.tokens))
        })
    }

    /// Tokens that all queued calls have to read.
    pub(super) fn tokens(&self) -> u64 {
        self.calls.values().map(|w| u64::from(w.tokens)).sum()
    }

    /// Removes the calls whose callers' deadlines have passed.
    pub(super) fn expire(&mut self, now: Instant) {
        let gone = |w: &&QueuedCall| now >= w.since + w.request.time_left;
        let gone = self.calls.values().filter(gone).map(|w| w.request.id);
        let gone: Vec<CallId> = gone.collect();
        for id in gone {
            self.remove(id);
        }
    }

    pub(super) fn is_empty(&self) -> bool {
        self.calls.is_empty()
    }

    pub(super) fn len(&self) -> usize {
        self.calls.len()
    }
}
