//! Feedback of servers that are currently not listed.
//!
//! A server that is cut off from the store drops out of the list and returns in
//! the same incarnation. Meanwhile it still answers the calls that it has.

use std::collections::HashMap;
use std::rc::Rc;
use std::time::{Duration, Instant};

use super::ServerRecord;
use super::feedback::{FeedbackChange, FeedbackState, ReceivedFeedback};

/// How long feedback is retained. Draining servers end within minutes, and
/// outages that drop servers from the list are shorter.
const RETENTION: Duration = Duration::from_secs(600);

/// The retained feedback by server name.
#[derive(Debug, Default)]
pub(super) struct RetainedFeedback {
    servers: HashMap<Rc<str>, Retained>,
}

/// The feedback of one incarnation of a server.
#[derive(Debug)]
struct Retained {
    started_ms: Option<u64>,
    feedback: FeedbackState,
    /// When the feedback was last updated.
    updated_at: Instant,
}

impl RetainedFeedback {
    /// Keeps the feedback of a server that is not listed.
    pub(super) fn keep(&mut self, now: Instant, server: &ServerRecord, feedback: FeedbackState) {
        if feedback.is_active(now) {
            let retained = Retained {
                started_ms: server.started_ms,
                feedback,
                updated_at: now,
            };
            self.servers.insert(Rc::clone(&server.id), retained);
        }
    }

    /// Applies the feedback of an answer of a server that is not listed.
    pub(super) fn apply(
        &mut self,
        server: &ServerRecord,
        received: &ReceivedFeedback<'_>,
    ) -> FeedbackChange {
        let is_newer = |retained: &Retained| retained.started_ms > server.started_ms;
        if self.servers.get(&server.id).is_some_and(is_newer) {
            return FeedbackChange::default();
        }
        let mut feedback = self.take(server);
        let change = feedback.apply(received);
        self.keep(received.now, server, feedback);
        change
    }

    /// Removes and returns the feedback of this incarnation of a server.
    pub(super) fn take(&mut self, server: &ServerRecord) -> FeedbackState {
        let retained = self.servers.remove(&server.id);
        let retained = retained.filter(|retained| retained.started_ms == server.started_ms);
        retained
            .map(|retained| retained.feedback)
            .unwrap_or_default()
    }

    /// Removes feedback that is older than the retention time.
    pub(super) fn expire(&mut self, now: Instant) {
        self.servers
            .retain(|_, retained| now < retained.updated_at + RETENTION);
    }
}
