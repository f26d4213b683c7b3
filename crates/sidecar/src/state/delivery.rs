//! Buffers the chunks that the backend server produces and delivers them to
//! the entries.

use base::ids::RequestId;
use base::reason::{Executed, Refusal};
use wire::{Chunk, PullOutcome, ResponseEnd};

use super::request::{Phase, Removal, Request};
use super::{State, interrupted};

impl State {
    /// Returns the buffered chunks from number `from` on and drops the earlier
    /// ones, which are thereby acknowledged.
    pub fn pull(&self, request: &Request, from: u32) -> PullOutcome {
        let mut phase = request.phase.borrow_mut();
        let Phase::Started(response) = &mut *phase else {
            return PullOutcome::Unknown;
        };

        // A preempted request runs again elsewhere. If a chunk of this run were
        // delivered now, the caller would receive the beginning twice.
        if request.stop_reason.get() == Some(Refusal::Preempted) && response.end.is_none() {
            return PullOutcome::Chunks {
                first: from,
                chunks: Vec::new(),
                end: None,
            };
        }

        let (size_before, was_delivered) = (response.retained_bytes(), response.end_delivered);
        response.acknowledge(from);
        self.retained_bytes
            .set(self.retained_bytes.get() + response.retained_bytes() - size_before);
        let (first, chunks, end) = response.batch();
        if response.end_delivered && !was_delivered {
            self.undelivered_ends.set(self.undelivered_ends.get() - 1);
            self.last_delivery.set(Some(self.clock.now()));
        }
        let delivered = response.delivered;
        drop(phase);

        if delivered {
            self.queue.borrow_mut().mark_delivered(request.ticket);
        }
        PullOutcome::Chunks { first, chunks, end }
    }

    /// Appends a chunk to a response.
    pub fn push_chunk(&self, request: &Request, chunk: Chunk) {
        let (now, tokens) = (self.clock.now(), chunk.tokens);
        self.queue
            .borrow_mut()
            .record_piece(now, request.ticket, tokens);

        let mut phase = request.phase.borrow_mut();
        let Phase::Started(response) = &mut *phase else {
            return;
        };
        self.retained_bytes
            .set(self.retained_bytes.get() + chunk.data.len());
        response.push_chunk(chunk);
        // If the entry is gone, nothing is pulled and the response would grow
        // until the backend server ends it. A single chunk is always allowed.
        let limit = self.settings.retention_bytes / self.settings.backend.slots().max(1);
        let over_limit = response.has_multiple() && response.retained_bytes() > limit;
        drop(phase);

        if over_limit {
            request.request_stop(Refusal::Truncated);
        }
        request.changed.notify_waiters();
    }

    /// The number of chunks that a response has so far.
    pub fn chunk_count(&self, request: &Request) -> u32 {
        match &*request.phase.borrow() {
            Phase::Started(response) => response.chunk_count(),
            _ => 0,
        }
    }

    /// The response end of a run that was asked to stop.
    #[must_use]
    pub fn stopped_end(&self, request: &Request) -> ResponseEnd {
        interrupted(request.stop_reason(), Executed::Partial)
    }

    /// Ends a response and releases its slot.
    pub fn finish(&self, request: &Request, end: ResponseEnd) {
        let now = self.clock.now();
        let complete = matches!(end, ResponseEnd::Complete { .. });
        self.queue
            .borrow_mut()
            .finish(now, request.ticket, complete);

        if let Phase::Started(response) = &mut *request.phase.borrow_mut() {
            // The caller receives the chunks of the next run only.
            if matches!(
                &end,
                ResponseEnd::Interrupted {
                    reason: Refusal::Preempted,
                    ..
                }
            ) {
                self.retained_bytes
                    .set(self.retained_bytes.get() - response.retained_bytes());
                response.clear();
            }
            response.end = Some((end, now));
            response.end_delivered = request.stop_reason.get() == Some(Refusal::CallerGone);
            if !response.end_delivered {
                self.undelivered_ends.set(self.undelivered_ends.get() + 1);
            }
            self.ended.borrow_mut().push_back(request.ticket);
            self.schedule_check(now + self.settings.retention.0, request.ticket);
        }
        request.changed.notify_waiters();
        self.enforce_retention();
        self.grant_slots();
    }

    /// Drops ended responses until the buffered bytes are within the settings'
    /// limit. Responses whose end was delivered go first, and of these the one
    /// that ended earliest.
    fn enforce_retention(&self) {
        while self.retained_bytes.get() > self.settings.retention_bytes {
            let mut ended = self.ended.borrow_mut();
            // The response that ended last stays, whatever its size, since its
            // entry is about to pull it.
            if ended.len() <= 1 {
                return;
            }
            let position = ended.iter().position(|t| self.end_delivered(*t));
            let Some(ticket) = ended.remove(position.unwrap_or(0)) else {
                return;
            };
            drop(ended);
            self.drop_response(ticket);
        }
    }

    fn end_delivered(&self, ticket: RequestId) -> bool {
        let Some(request) = self.find(ticket) else {
            return true;
        };
        match &*request.phase.borrow() {
            Phase::Started(response) => response.end_delivered,
            _ => false,
        }
    }

    /// Removes dropped tickets from the front of the list of ended ones.
    pub(super) fn trim_ended(&self) {
        let mut ended = self.ended.borrow_mut();
        while ended.front().is_some_and(|t| self.find(*t).is_none()) {
            ended.pop_front();
        }
    }

    /// Drops an ended response. A pull that still waits for it gets
    /// [`PullOutcome::Unknown`].
    pub(super) fn drop_response(&self, ticket: RequestId) {
        let Some(request) = self.find(ticket) else {
            return;
        };
        let mut phase = request.phase.borrow_mut();
        let Phase::Started(response) = &*phase else {
            return;
        };
        if response.end.is_none() {
            return;
        }
        self.retained_bytes
            .set(self.retained_bytes.get() - response.retained_bytes());
        if !response.end_delivered {
            self.undelivered_ends.set(self.undelivered_ends.get() - 1);
        }
        *phase = Phase::Removed(Removal::Expired);
        drop(phase);
        self.tickets.borrow_mut().remove(&ticket);
    }
}
