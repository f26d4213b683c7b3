//! Tickets that left without having started.

use std::collections::{HashMap, VecDeque};
use std::time::{Duration, Instant};

use base::ids::RequestId;

use super::ticket::Left;

/// How long they stay known.
const KEEP: Duration = Duration::from_secs(60);

/// Most that stay known; about 100 bytes each.
const MOST: usize = 65_536;

/// Tickets that left without having started, for a while.
///
/// A reserve that was delayed on its way could queue a ticket again after its
/// cancel, and take a slot for nobody. Tombstones prevent that. Beyond their
/// number or time the loss is one hold that lapses: nothing can run, as a
/// start needs a hold and the entry that cancelled sends no other start.
#[derive(Default)]
pub(super) struct Tombs {
    by_ticket: HashMap<RequestId, (Left, Instant)>,
    by_age: VecDeque<(Instant, RequestId)>,
}

impl Tombs {
    pub(super) fn insert(&mut self, now: Instant, ticket: RequestId, left: Left) {
        self.by_ticket.insert(ticket, (left, now));
        self.by_age.push_back((now, ticket));
        while self.by_age.len() > MOST {
            self.forget();
        }
    }

    /// How a ticket left, and when.
    pub(super) fn get(&self, ticket: RequestId) -> Option<(Left, Instant)> {
        self.by_ticket.get(&ticket).copied()
    }

    /// Lets a ticket come back.
    pub(super) fn remove(&mut self, ticket: RequestId) {
        self.by_ticket.remove(&ticket);
    }

    /// Forgets those that left long ago.
    pub(super) fn expire(&mut self, now: Instant) {
        let old = |at: Instant| now.saturating_duration_since(at) >= KEEP;
        while self.by_age.front().is_some_and(|(at, _)| old(*at)) {
            self.forget();
        }
    }

    pub(super) fn len(&self) -> usize {
        self.by_age.len()
    }

    fn forget(&mut self) {
        let Some((at, ticket)) = self.by_age.pop_front() else {
            return;
        };
        // It may have come back and left again since.
        if self.by_ticket.get(&ticket).is_some_and(|(_, t)| *t == at) {
            self.by_ticket.remove(&ticket);
        }
    }
}
