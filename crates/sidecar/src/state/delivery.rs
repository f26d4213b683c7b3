//! Answers in the making: taken from the backend server, kept, handed out.

use base::ids::RequestId;
use base::reason::{Executed, Refusal};
use wire::{Chunk, PullOutcome, ResponseEnd};

use super::request::{Phase, Removal, Request};
use super::{State, interrupted};

impl State {
    /// Takes pieces from `from` on, and forgets those before.
    pub fn pull(&self, entry: &Request, from: u32) -> PullOutcome {
        let mut phase = entry.phase.borrow_mut();
        let Phase::Started(answer) = &mut *phase else {
            return PullOutcome::Unknown;
        };

        // A run that is being preempted runs again elsewhere. Were a piece of
        // it handed out now, its caller would get two beginnings.
        if entry.stop_reason.get() == Some(Refusal::Preempted) && answer.end.is_none() {
            return PullOutcome::Chunks {
                first: from,
                chunks: Vec::new(),
                end: None,
            };
        }

        let (bytes, told) = (answer.retained_bytes(), answer.end_delivered);
        answer.acknowledge(from);
        self.retained_bytes
            .set(self.retained_bytes.get() + answer.retained_bytes() - bytes);
        let (first, chunks, end) = answer.batch();
        if answer.end_delivered && !told {
            self.undelivered_ends.set(self.undelivered_ends.get() - 1);
            self.last_delivery.set(Some(self.clock.now()));
        }
        let delivered = answer.delivered;
        drop(phase);

        if delivered {
            self.queue.borrow_mut().mark_delivered(entry.ticket);
        }
        PullOutcome::Chunks { first, chunks, end }
    }

    /// Adds a piece to an answer.
    pub fn push_chunk(&self, entry: &Request, piece: Chunk) {
        let (now, tokens) = (self.clock.now(), piece.tokens);
        self.queue
            .borrow_mut()
            .record_piece(now, entry.ticket, tokens);

        let mut phase = entry.phase.borrow_mut();
        let Phase::Started(answer) = &mut *phase else {
            return;
        };
        self.retained_bytes
            .set(self.retained_bytes.get() + piece.data.len());
        answer.push_chunk(piece);
        // An entry that is gone pulls nothing, and its answer would grow for
        // as long as the backend server makes it. One piece always fits.
        let share = self.settings.retention_bytes / self.settings.backend.slots().max(1);
        let over = answer.has_multiple() && answer.retained_bytes() > share;
        drop(phase);

        if over {
            entry.request_stop(Refusal::Truncated);
        }
        entry.changed.notify_waiters();
    }

    /// How many pieces an answer has so far.
    pub fn chunk_count(&self, entry: &Request) -> u32 {
        match &*entry.phase.borrow() {
            Phase::Started(answer) => answer.chunk_count(),
            _ => 0,
        }
    }

    /// The end of a run that was asked to stop.
    #[must_use]
    pub fn stopped_end(&self, entry: &Request) -> ResponseEnd {
        interrupted(entry.stop_reason(), Executed::Partial)
    }

    /// Ends an answer and gives its slot back.
    pub fn finish(&self, entry: &Request, end: ResponseEnd) {
        let now = self.clock.now();
        let whole = matches!(end, ResponseEnd::Complete { .. });
        self.queue.borrow_mut().finish(now, entry.ticket, whole);

        if let Phase::Started(answer) = &mut *entry.phase.borrow_mut() {
            // The caller gets the other run's pieces and none of this one's.
            if matches!(
                &end,
                ResponseEnd::Interrupted {
                    reason: Refusal::Preempted,
                    ..
                }
            ) {
                self.retained_bytes
                    .set(self.retained_bytes.get() - answer.retained_bytes());
                answer.clear();
            }
            answer.end = Some((end, now));
            answer.end_delivered = entry.stop_reason.get() == Some(Refusal::CallerGone);
            if !answer.end_delivered {
                self.undelivered_ends.set(self.undelivered_ends.get() + 1);
            }
            self.ended.borrow_mut().push_back(entry.ticket);
            self.schedule_check(now + self.settings.retention.0, entry.ticket);
        }
        entry.changed.notify_waiters();
        self.enforce_retention();
        self.grant_slots();
    }

    /// Drops ended answers while more bytes are kept than the settings allow:
    /// those whose entry has had the end first, and the oldest of them.
    fn enforce_retention(&self) {
        while self.retained_bytes.get() > self.settings.retention_bytes {
            let mut ended = self.ended.borrow_mut();
            // The newest stays, however large it is: it has just ended, and
            // its entry is about to pull it.
            if ended.len() <= 1 {
                return;
            }
            let told = ended.iter().position(|t| self.end_delivered(*t));
            let Some(ticket) = ended.remove(told.unwrap_or(0)) else {
                return;
            };
            drop(ended);
            self.drop_response(ticket);
        }
    }

    fn end_delivered(&self, ticket: RequestId) -> bool {
        let Some(entry) = self.find(ticket) else {
            return true;
        };
        match &*entry.phase.borrow() {
            Phase::Started(answer) => answer.end_delivered,
            _ => false,
        }
    }

    /// Drops tickets that are forgotten from the list of those that ended.
    pub(super) fn trim_ended(&self) {
        let mut ended = self.ended.borrow_mut();
        while ended.front().is_some_and(|t| self.find(*t).is_none()) {
            ended.pop_front();
        }
    }

    /// Forgets an answer that ended. Whoever still waits for it finds it gone.
    pub(super) fn drop_response(&self, ticket: RequestId) {
        let Some(entry) = self.find(ticket) else {
            return;
        };
        let mut phase = entry.phase.borrow_mut();
        let Phase::Started(answer) = &*phase else {
            return;
        };
        if answer.end.is_none() {
            return;
        }
        self.retained_bytes
            .set(self.retained_bytes.get() - answer.retained_bytes());
        if !answer.end_delivered {
            self.undelivered_ends.set(self.undelivered_ends.get() - 1);
        }
        *phase = Phase::Removed(Removal::Expired);
        drop(phase);
        self.tickets.borrow_mut().remove(&ticket);
    }
}
