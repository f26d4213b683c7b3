//! What a sidecar decides: who waits, who starts, who is shed.

use std::collections::VecDeque;
use std::time::Instant;

use base::ids::{Ticket, Tier};
use base::reason::Refusal;

/// A request as the queue sees it.
#[derive(Debug, Clone)]
pub struct Ask {
    /// The request.
    pub ticket: Ticket,
    /// Its class.
    pub class: String,
    /// Its workspace, for the fair share.
    pub workspace: String,
    /// Its tier.
    pub tier: Tier,
    /// When the first piece is due.
    pub first_due: Instant,
    /// When the whole answer is due.
    pub whole_due: Instant,
    /// Size of the prompt, in tokens.
    pub prompt: u32,
    /// Whether the request may run more than once.
    pub repeatable: bool,
}

/// What became of an offered request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Offered {
    /// It waits.
    Queued,
    /// It is refused and did not run.
    Refused(Refusal),
}

/// The queue of one backend server.
#[derive(Debug)]
pub struct Queue {
    /// Requests that the backend server can run at once.
    slots: usize,
    /// Slots that are held or running.
    busy: usize,
    /// Requests that wait, first come first.
    waiting: VecDeque<Ask>,
}

impl Queue {
    /// Makes an empty queue for a backend server with `slots` slots.
    #[must_use]
    pub fn new(slots: usize) -> Self {
        Self {
            slots,
            busy: 0,
            waiting: VecDeque::new(),
        }
    }

    /// Offers a request.
    pub fn offer(&mut self, _now: Instant, ask: Ask) -> Offered {
        self.waiting.push_back(ask);
        Offered::Queued
    }

    /// Takes the next request to hold a slot for, if a slot is free.
    pub fn next(&mut self, _now: Instant) -> Option<Ask> {
        if self.busy >= self.slots {
            return None;
        }
        let ask = self.waiting.pop_front()?;
        self.busy += 1;
        Some(ask)
    }

    /// Takes out requests whose first piece is due before `now`.
    pub fn expire(&mut self, now: Instant) -> Vec<(Ticket, Refusal)> {
        let late = |a: &Ask| a.first_due <= now;
        let out = self.waiting.iter().filter(|a| late(a));
        let out = out.map(|a| (a.ticket, Refusal::Expired)).collect();
        self.waiting.retain(|a| !late(a));
        out
    }

    /// Takes a waiting request out.
    pub fn remove(&mut self, ticket: Ticket) -> bool {
        let before = self.waiting.len();
        self.waiting.retain(|a| a.ticket != ticket);
        before != self.waiting.len()
    }

    /// Gives a slot back, after a run or an unused hold.
    pub fn release(&mut self) {
        self.busy = self.busy.saturating_sub(1);
    }

    /// Requests that wait.
    #[must_use]
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Slots that are held or running.
    #[must_use]
    pub fn busy(&self) -> usize {
        self.busy
    }

    /// Requests that the backend server can run at once.
    #[must_use]
    pub fn slots(&self) -> usize {
        self.slots
    }
}
