//! Answers in the making: taken from the backend server, kept, handed out.

use base::ids::RequestId;
use base::reason::{Executed, Refusal};
use wire::{Chunk, PullOutcome, ResponseEnd};

use super::ticket::{Entry, Left, Phase};
use super::{State, broken};

impl State {
    /// Takes pieces from `from` on, and forgets those before.
    pub fn pull(&self, entry: &Entry, from: u32) -> PullOutcome {
        let mut phase = entry.phase.borrow_mut();
        let Phase::Started(answer) = &mut *phase else {
            return PullOutcome::Unknown;
        };

        // A run that is being preempted runs again elsewhere. Were a piece of
        // it handed out now, its caller would get two beginnings.
        if entry.why.get() == Some(Refusal::Preempted) && answer.end.is_none() {
            return PullOutcome::Chunks {
                first: from,
                chunks: Vec::new(),
                end: None,
            };
        }

        let (bytes, told) = (answer.bytes(), answer.told);
        answer.acknowledge(from);
        self.kept.set(self.kept.get() + answer.bytes() - bytes);
        let (first, chunks, end) = answer.batch();
        if answer.told && !told {
            self.untold.set(self.untold.get() - 1);
            self.told_at.set(Some(self.clock.now()));
        }
        let delivered = answer.delivered;
        drop(phase);

        if delivered {
            self.queue.borrow_mut().mark_delivered(entry.ticket);
        }
        PullOutcome::Chunks { first, chunks, end }
    }

    /// Adds a piece to an answer.
    pub fn push(&self, entry: &Entry, piece: Chunk) {
        let (now, tokens) = (self.clock.now(), piece.tokens);
        self.queue
            .borrow_mut()
            .record_piece(now, entry.ticket, tokens);

        let mut phase = entry.phase.borrow_mut();
        let Phase::Started(answer) = &mut *phase else {
            return;
        };
        self.kept.set(self.kept.get() + piece.data.len());
        answer.push(piece);
        // An entry that is gone pulls nothing, and its answer would grow for
        // as long as the backend server makes it. One piece always fits.
        let share = self.settings.kept_bytes / self.settings.backend.slots().max(1);
        let over = answer.several() && answer.bytes() > share;
        drop(phase);

        if over {
            entry.halt(Refusal::Truncated);
        }
        entry.changed.notify_waiters();
    }

    /// How many pieces an answer has so far.
    pub fn made(&self, entry: &Entry) -> u32 {
        match &*entry.phase.borrow() {
            Phase::Started(answer) => answer.made(),
            _ => 0,
        }
    }

    /// The end of a run that was asked to stop.
    #[must_use]
    pub fn stopped(&self, entry: &Entry) -> ResponseEnd {
        broken(entry.stopped(), Executed::Partial)
    }

    /// Ends an answer and gives its slot back.
    pub fn finish(&self, entry: &Entry, end: ResponseEnd) {
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
                self.kept.set(self.kept.get() - answer.bytes());
                answer.clear();
            }
            answer.end = Some((end, now));
            answer.told = entry.why.get() == Some(Refusal::CallerGone);
            if !answer.told {
                self.untold.set(self.untold.get() + 1);
            }
            self.ended.borrow_mut().push_back(entry.ticket);
            self.remind(now + self.settings.keep.0, entry.ticket);
        }
        entry.changed.notify_waiters();
        self.drop_kept();
        self.advance();
    }

    /// Drops ended answers while more bytes are kept than the settings allow:
    /// those whose entry has had the end first, and the oldest of them.
    fn drop_kept(&self) {
        while self.kept.get() > self.settings.kept_bytes {
            let mut ended = self.ended.borrow_mut();
            // The newest stays, however large it is: it has just ended, and
            // its entry is about to pull it.
            if ended.len() <= 1 {
                return;
            }
            let told = ended.iter().position(|t| self.told(*t));
            let Some(ticket) = ended.remove(told.unwrap_or(0)) else {
                return;
            };
            drop(ended);
            self.forget(ticket);
        }
    }

    fn told(&self, ticket: RequestId) -> bool {
        let Some(entry) = self.find(ticket) else {
            return true;
        };
        match &*entry.phase.borrow() {
            Phase::Started(answer) => answer.told,
            _ => false,
        }
    }

    /// Drops tickets that are forgotten from the list of those that ended.
    pub(super) fn trim(&self) {
        let mut ended = self.ended.borrow_mut();
        while ended.front().is_some_and(|t| self.find(*t).is_none()) {
            ended.pop_front();
        }
    }

    /// Forgets an answer that ended. Whoever still waits for it finds it gone.
    pub(super) fn forget(&self, ticket: RequestId) {
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
        self.kept.set(self.kept.get() - answer.bytes());
        if !answer.told {
            self.untold.set(self.untold.get() - 1);
        }
        *phase = Phase::Gone(Left::Lapsed);
        drop(phase);
        self.tickets.borrow_mut().remove(&ticket);
    }
}
