//! Tombstones of tickets that were removed before they started.

use std::collections::{HashMap, VecDeque};
use std::time::{Duration, Instant};

use base::ids::RequestId;

use super::request::Removal;

/// How long a tombstone is kept.
const TOMBSTONE_TTL: Duration = Duration::from_secs(60);

/// The maximum number of tombstones; each takes about 100 bytes.
const MAX_TOMBSTONES: usize = 65_536;

/// Tickets that were recently removed before they started.
///
/// Without tombstones a delayed `reserve` could queue a ticket again after its
/// `cancel` and take a slot that nobody uses. When a tombstone was dropped for
/// its age or for the limit, the cost is one hold that expires: nothing can
/// run, since a start needs a hold and the entry that cancelled sends no
/// further start.
#[derive(Default)]
pub(super) struct Tombstones {
    by_ticket: HashMap<RequestId, (Removal, Instant)>,
    by_age: VecDeque<(Instant, RequestId)>,
}

impl Tombstones {
    pub(super) fn insert(&mut self, now: Instant, ticket: RequestId, removal: Removal) {
        self.by_ticket.insert(ticket, (removal, now));
        self.by_age.push_back((now, ticket));
        while self.by_age.len() > MAX_TOMBSTONES {
            self.drop_oldest();
        }
    }

    /// Why and when a ticket was removed.
    pub(super) fn get(&self, ticket: RequestId) -> Option<(Removal, Instant)> {
        self.by_ticket.get(&ticket).copied()
    }

    /// Removes a tombstone, so that its ticket may be queued again.
    pub(super) fn remove(&mut self, ticket: RequestId) {
        self.by_ticket.remove(&ticket);
    }

    /// Drops the tombstones that have reached their maximum age.
    pub(super) fn expire(&mut self, now: Instant) {
        let old = |at: Instant| now.saturating_duration_since(at) >= TOMBSTONE_TTL;
        while self.by_age.front().is_some_and(|(at, _)| old(*at)) {
            self.drop_oldest();
        }
    }

    pub(super) fn len(&self) -> usize {
        self.by_age.len()
    }

    fn drop_oldest(&mut self) {
        let Some((at, ticket)) = self.by_age.pop_front() else {
            return;
        };
        // The ticket may have been queued and removed again since.
        if self.by_ticket.get(&ticket).is_some_and(|(_, t)| *t == at) {
            self.by_ticket.remove(&ticket);
        }
    }
}
