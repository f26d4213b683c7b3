//! What servers report about themselves in their answers.

use std::time::{Duration, Instant};

use super::rate_limit::{RateLimit, TurnSchedule};
use super::slow_start::SlowStart;
use super::{Balancer, ServerRecord};

/// The longest backoff that is honoured. A longer one is taken for a mistake,
/// since the service would lose the server for all that time.
const MAX_BACKOFF: Duration = Duration::from_secs(3600);

/// Largest jitter that an entry adds to a backoff, as a fraction of it. When a
/// server begins to reject calls, it asks all entries for a backoff at the same
/// moment, and without jitter they would all return at once.
const BACKOFF_JITTER: f64 = 0.25;

/// How long after a backoff the concurrency of calls to a server stays limited.
const SLOW_START_SPAN: Duration = Duration::from_secs(10);

/// Wait until a server with a full slow-start window is tried again. Calls end
/// all the time, so that it may soon have room.
const FULL_WINDOW_WAIT: Duration = Duration::from_millis(20);

/// What an answer reports about the server that sent it.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct ServerFeedback {
    /// Whether the server is draining and takes no new calls.
    pub leaving: bool,
    /// For how long the server wants no calls from this entry, if it asks for
    /// a backoff.
    pub backoff: Option<Duration>,
    /// The calls per second that the server takes from all entries together,
    /// if it is rate-limited.
    pub rate_limit: Option<f64>,
}

/// What a [`ServerFeedback`] changed in the known state of the server.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct FeedbackChange {
    /// Whether the server has begun to drain.
    pub leaving: bool,
    /// The backoff that the server asked for, if none was in effect.
    pub backoff: Option<Duration>,
    /// Whether the server is rate-limited now, if that has changed.
    pub limited: Option<bool>,
}

/// The feedback of one incarnation of a server so far.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct FeedbackState {
    /// Whether it is draining, which an incarnation never reverts.
    pub(super) leaving: bool,
    /// Until when it wants no calls.
    backoff_until: Option<Instant>,
    /// Limit on concurrent calls since the backoff.
    slow_start: Option<SlowStart>,
    /// The rate of calls that it takes from all entries.
    rate_limit: Option<RateLimit>,
}

impl FeedbackState {
    /// Applies the feedback of an answer.
    pub(super) fn apply(&mut self, received: &ReceivedFeedback<'_>) -> FeedbackChange {
        let ReceivedFeedback { now, feedback, .. } = *received;
        let leaving = feedback.leaving && !self.leaving;
        self.leaving |= feedback.leaving;
        let was_backing_off = self.is_backing_off(now);
        if let Some(backoff) = feedback.backoff {
            let span = backoff
                .min(MAX_BACKOFF)
                .mul_f64(1.0 + BACKOFF_JITTER * received.jitter);
            let until = self.backoff_until.max(Some(now + span));
            if !was_backing_off {
                self.slow_start = Some(SlowStart::new(received.open_calls));
            }
            self.backoff_until = until;
        }
        let was_limited = self.rate_limit.is_some();
        match (&mut self.rate_limit, feedback.rate_limit) {
            (Some(limit), Some(rate)) => limit.update(now, rate),
            (Some(limit), None) if limit.is_lifted(received.sent_at) => self.rate_limit = None,
            (None, Some(rate)) => self.rate_limit = Some(RateLimit::new(now, rate)),
            _ => {}
        }
        FeedbackChange {
            leaving,
            backoff: feedback.backoff.filter(|_| !was_backing_off),
            limited: Some(self.rate_limit.is_some()).filter(|limited| *limited != was_limited),
        }
    }

    /// Records that the server answered a call successfully.
    pub(super) fn call_succeeded(&mut self) {
        if let Some(slow_start) = &mut self.slow_start {
            slow_start.call_answered();
        }
    }

    /// Records that a call is sent to the server while `open_calls` of this
    /// entry are open there.
    fn call_sent(&mut self, now: Instant, open_calls: u32, turns: Option<&TurnSchedule>) {
        if let (Some(limit), Some(turns)) = (&mut self.rate_limit, turns) {
            limit.use_turn(now, turns);
        }
        if let Some(slow_start) = &mut self.slow_start {
            slow_start.call_sent(open_calls);
        }
    }

    /// Whether the server takes one more call from this entry now, with
    /// `open_calls` open there.
    pub(super) fn accepts_call(
        &self,
        now: Instant,
        open_calls: u32,
        turns: Option<&TurnSchedule>,
    ) -> bool {
        let has_turn = |limit: RateLimit| turns.is_some_and(|turns| limit.has_turn(now, turns));
        !self.is_backing_off(now)
            && self.has_room(now, open_calls)
            && self.rate_limit.is_none_or(has_turn)
    }

    /// The longest time until the server takes a call from this entry, if it is
    /// known.
    fn wait(
        &self,
        now: Instant,
        open_calls: u32,
        turns: Option<&TurnSchedule>,
    ) -> Option<Duration> {
        let turn_wait = match self.rate_limit {
            Some(limit) if !limit.has_turn(now, turns?) => limit.wait(now, turns?)?,
            _ => Duration::ZERO,
        };
        let backoff = self
            .backoff_until
            .map(|until| until.saturating_duration_since(now))
            .filter(|backoff| !backoff.is_zero());
        let room_wait = match self.has_room(now, open_calls) {
            true => Duration::ZERO,
            false => FULL_WINDOW_WAIT,
        };
        Some(backoff.unwrap_or(room_wait).max(turn_wait))
    }

    /// Whether any of the feedback is still in effect.
    pub(super) fn is_active(&self, now: Instant) -> bool {
        self.leaving || self.is_backing_off(now) || self.rate_limit.is_some()
    }

    /// Whether the server wants no calls now.
    pub(super) fn is_backing_off(&self, now: Instant) -> bool {
        self.backoff_until.is_some_and(|until| now < until)
    }

    /// Whether the slow-start window has room for one more call.
    fn has_room(&self, now: Instant, open_calls: u32) -> bool {
        let in_effect = self
            .backoff_until
            .is_some_and(|until| now < until + SLOW_START_SPAN);
        let slow_start = self.slow_start.filter(|_| in_effect);
        slow_start.is_none_or(|slow_start| slow_start.has_room(open_calls))
    }
}

/// The feedback of one answer, with its context.
#[derive(Debug, Clone, Copy)]
pub(super) struct ReceivedFeedback<'a> {
    pub(super) now: Instant,
    /// When the answered call was sent.
    pub(super) sent_at: Instant,
    pub(super) feedback: &'a ServerFeedback,
    /// Open calls of this entry at the server.
    pub(super) open_calls: u32,
    /// A random number, uniform from 0 to 1.
    pub(super) jitter: f64,
}

/// How many of the known servers have feedback in effect.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct FeedbackCounts {
    /// Servers that are draining.
    pub leaving: usize,
    /// Servers in a backoff that they asked for.
    pub backing_off: usize,
    /// Servers with a rate limit.
    pub limited: usize,
}

impl Balancer {
    /// Applies the feedback of an answer of `server` to a call that was sent at
    /// `sent_at`. Feedback of an earlier incarnation does not apply to the
    /// present one. `jitter` is a random number, uniform from 0 to 1.
    pub fn apply_feedback(
        &mut self,
        now: Instant,
        server: &ServerRecord,
        sent_at: Instant,
        feedback: &ServerFeedback,
        jitter: f64,
    ) -> FeedbackChange {
        let known = self.servers.get_mut(&server.id);
        let received = ReceivedFeedback {
            now,
            sent_at,
            feedback,
            open_calls: known.as_ref().map_or(0, |known| known.own_calls.open),
            jitter,
        };
        match known {
            Some(known) if known.record.started_ms == server.started_ms => {
                known.feedback.apply(&received)
            }
            Some(_) => FeedbackChange::default(),
            None => self.retained.apply(server, &received),
        }
    }

    /// Takes this entry's turn for a call that is about to be sent to a server;
    /// returns whether the server's feedback allows the call. Feedback that
    /// arrived after the server was chosen counts too.
    pub fn take_turn(&mut self, now: Instant, id: &str) -> bool {
        let Some(server) = self.servers.get_mut(id) else {
            return false;
        };
        let turns = self.turns.as_ref();
        if server.draining() || !server.accepts_call(now, turns) {
            return false;
        }
        server.feedback.call_sent(now, server.own_calls.open, turns);
        true
    }

    /// How long it is until some server of `service` takes a call, if the
    /// feedback of all available servers forbids one now.
    #[must_use]
    pub fn next_turn(&self, now: Instant, service: &str) -> Option<Duration> {
        let serving = self.servers.values().filter(|s| s.serves(service));
        let turns = self.turns.as_ref();
        let waits = serving.filter_map(|s| s.feedback.wait(now, s.own_calls.open, turns));
        waits.min().filter(|wait| !wait.is_zero())
    }

    /// How many of the known servers have feedback in effect.
    #[must_use]
    pub fn feedback_counts(&self, now: Instant) -> FeedbackCounts {
        let feedback = self.servers.values().map(|s| &s.feedback);
        feedback.fold(FeedbackCounts::default(), |counts, feedback| {
            FeedbackCounts {
                leaving: counts.leaving + usize::from(feedback.leaving),
                backing_off: counts.backing_off + usize::from(feedback.is_backing_off(now)),
                limited: counts.limited + usize::from(feedback.rate_limit.is_some()),
            }
        })
    }
}
