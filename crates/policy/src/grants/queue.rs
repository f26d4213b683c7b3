//! The calls that wait at a sidecar, in the order in which they are let in.

use std::collections::{BTreeMap, HashMap};
use std::time::Instant;

use super::call::{CallId, GrantRequest};

/// When it is a call's turn: the most urgent rank goes first, and of equal
/// ones whose time comes first.
///
/// Load pattern: calls of a lower tier come faster than the engine takes them,
/// for seconds. In one line by due times those of a higher tier, whose targets
/// are a third as long, waited behind them and came late one in six; in this
/// order one in twenty.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct QueueKey {
    /// The call's rank; 0 is the most urgent.
    pub(super) rank: u8,
    /// Among calls of that rank.
    pub(super) due: Instant,
}

/// A call that waits.
#[derive(Debug)]
pub(super) struct QueuedCall {
    /// Since when.
    pub(super) since: Instant,
    /// What it has to read, in tokens.
    pub(super) tokens: u32,
    /// The call.
    pub(super) request: GrantRequest,
}

/// The last of all calls whose turns come at one time.
const LAST_CALL: CallId = CallId {
    incarnation: u64::MAX,
    number: u32::MAX,
};

/// The waiting calls.
#[derive(Debug, Default)]
pub(super) struct WaitQueue {
    calls: BTreeMap<(QueueKey, CallId), QueuedCall>,
    /// When it is each one's turn.
    keys: HashMap<CallId, QueueKey>,
}

impl WaitQueue {
    /// When it is a call's turn; none when it does not wait.
    pub(super) fn key(&self, id: CallId) -> Option<QueueKey> {
        self.keys.get(&id).copied()
    }

    /// Has a call wait for its turn.
    pub(super) fn push(&mut self, key: QueueKey, call: QueuedCall) {
        let id = call.request.id;
        self.keys.insert(id, key);
        self.calls.insert((key, id), call);
    }

    /// The call whose turn comes first.
    pub(super) fn first(&self) -> Option<&GrantRequest> {
        self.calls.first_key_value().map(|(_, w)| &w.request)
    }

    /// Takes that call out.
    pub(super) fn pop(&mut self) -> Option<QueuedCall> {
        let ((_, id), call) = self.calls.pop_first()?;
        self.keys.remove(&id);
        Some(call)
    }

    /// Takes a call out that will not come.
    pub(super) fn remove(&mut self, id: CallId) {
        if let Some(key) = self.keys.remove(&id) {
            self.calls.remove(&(key, id));
        }
    }

    /// How many calls go before one whose turn is `turn`, and the tokens that
    /// they have to read.
    pub(super) fn ahead_of(&self, key: QueueKey) -> (u32, u64) {
        let before = self.calls.range(..=(key, LAST_CALL));
        before.fold((0, 0), |(calls, tokens), (_, w)| {
            (calls + 1, tokens + u64::from(w.tokens))
        })
    }

    /// The tokens that all of them have to read.
    pub(super) fn tokens(&self) -> u64 {
        self.calls.values().map(|w| u64::from(w.tokens)).sum()
    }

    /// Forgets the calls whose callers have gone.
    pub(super) fn expire(&mut self, now: Instant) {
        let gone = |w: &&QueuedCall| now >= w.since + w.request.time_left;
        let gone = self.calls.values().filter(gone).map(|w| w.request.id);
        let gone: Vec<CallId> = gone.collect();
        gone.into_iter().for_each(|id| self.remove(id));
    }

    pub(super) fn is_empty(&self) -> bool {
        self.calls.is_empty()
    }

    pub(super) fn len(&self) -> usize {
        self.calls.len()
    }
}
