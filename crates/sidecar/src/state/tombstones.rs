//! Tickets that left without having started.

use std::collections::{HashMap, VecDeque};
use std::time::{Duration, Instant};

use base::ids::RequestId;

use super::request::Removal;

/// How long they stay known.
const TOMBSTONE_TTL: Duration = Duration::from_secs(60);

/// Most that stay known; about 100 bytes each.
const MAX_TOMBSTONES: usize = 65_536;

/// Tickets that left without having started, for a while.
///
/// A reserve that was delayed on its way could queue a ticket again after its
/// cancel, and take a slot for nobody. Tombstones prevent that. Beyond their
/// number or time the loss is one hold that lapses: nothing can run, as a
/// start needs a hold and the entry that cancelled sends no other start.
#[derive(Default)]
pub(super) struct Tombstones {
    by_ticket: HashMap<RequestId, (Removal, Instant)>,
    by_age: VecDeque<(Instant, RequestId)>,
}

impl Tombstones {
    pub(super) fn insert(&mut self, now: Instant, ticket: RequestId, left: Removal) {
        self.by_ticket.insert(ticket, (left, now));
        self.by_age.push_back((now, ticket));
        while self.by_age.len() > MAX_TOMBSTONES {
            self.drop_oldest();
        }
    }

    /// How a ticket left, and when.
    pub(super) fn get(&self, ticket: RequestId) -> Option<(Removal, Instant)> {
        self.by_ticket.get(&ticket).copied()
    }

    /// Lets a ticket come back.
    pub(super) fn remove(&mut self, ticket: RequestId) {
        self.by_ticket.remove(&ticket);
    }

    /// Forgets those that left long ago.
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
        // It may have come back and left again since.
        if self.by_ticket.get(&ticket).is_some_and(|(_, t)| *t == at) {
            self.by_ticket.remove(&ticket);
        }
    }
}
