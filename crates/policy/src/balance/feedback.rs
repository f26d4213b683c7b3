//! What servers say of themselves in their answers.

use std::time::{Duration, Instant};

use super::rate_limit::{Limit, TurnSchedule};
use super::slow_start::Window;
use super::{Balancer, ServerRecord};

/// The longest rest that is believed. What is longer is taken for a mistake,
/// as a service would lose the server for as long.
const REST_MOST: Duration = Duration::from_secs(3600);

/// Part of the rest that a server asks for by which an entry may stay away for
/// longer. All entries are asked in the same moment when a server begins to turn
/// calls away, and would all come back in one, too.
const REST_SPREAD: f64 = 0.25;

/// How long after a rest a server gets no more calls at once than it answers.
const WINDOW_KEPT: Duration = Duration::from_secs(10);

/// How soon a server may have room again: calls end all the time.
const ROOM: Duration = Duration::from_millis(20);

/// What an answer says of the server that made it.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct ServerFeedback {
    /// Whether the server is about to end and takes no new calls.
    pub leaving: bool,
    /// For how long the server wants no calls from this entry, if it says so.
    pub backoff: Option<Duration>,
    /// The calls a second that the server takes from all entries together, if
    /// it names any.
    pub rate_limit: Option<f64>,
}

/// What of a [`Word`] was not known before.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct FeedbackChange {
    /// Whether the server has begun to leave.
    pub leaving: bool,
    /// For how long the server has asked for rest, if it was not resting.
    pub backoff: Option<Duration>,
    /// Whether the server names a limit, if it has begun or ceased to do so.
    pub limited: Option<bool>,
}

/// What one life of a server has said so far.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct Said {
    /// Whether it leaves, which no life of a server takes back.
    pub(super) leaving: bool,
    /// Until when it wants no calls.
    rest: Option<Instant>,
    /// Calls at once since then.
    window: Option<Window>,
    /// The calls a second that it takes from all entries.
    limit: Option<Limit>,
}

impl Said {
    /// Takes over what an answer says, as `heard` describes it.
    pub(super) fn hear(&mut self, heard: &Heard<'_>) -> FeedbackChange {
        let Heard { now, word, .. } = *heard;
        let leaving = word.leaving && !self.leaving;
        self.leaving |= word.leaving;
        let rested = self.rests(now);
        if let Some(rest) = word.backoff {
            let span = rest.min(REST_MOST).mul_f64(1.0 + REST_SPREAD * heard.drawn);
            let until = self.rest.max(Some(now + span));
            if !rested {
                self.window = Some(Window::new(heard.open));
            }
            self.rest = until;
        }
        let limited = self.limit.is_some();
        match (&mut self.limit, word.rate_limit) {
            (Some(limit), Some(rate)) => limit.name(now, rate),
            (Some(limit), None) if limit.lifted(heard.sent) => self.limit = None,
            (None, Some(rate)) => self.limit = Some(Limit::new(now, rate)),
            _ => {}
        }
        FeedbackChange {
            leaving,
            backoff: word.backoff.filter(|_| !rested),
            limited: Some(self.limit.is_some()).filter(|named| *named != limited),
        }
    }

    /// Notes that it has answered a call as it should.
    pub(super) fn good(&mut self) {
        if let Some(window) = &mut self.window {
            window.answered();
        }
    }

    /// Notes that a call goes out to it with `open` calls there.
    fn sent(&mut self, now: Instant, open: u32, turns: Option<&TurnSchedule>) {
        if let (Some(limit), Some(turns)) = (&mut self.limit, turns) {
            limit.take(now, turns);
        }
        if let Some(window) = &mut self.window {
            window.sent(open);
        }
    }

    /// Whether it takes one more call from this entry now, with `open` there.
    pub(super) fn takes(&self, now: Instant, open: u32, turns: Option<&TurnSchedule>) -> bool {
        let turn = |limit: Limit| turns.is_some_and(|turns| limit.open(now, turns));
        !self.rests(now) && self.room(now, open) && self.limit.is_none_or(turn)
    }

    /// How long it is until it does at the most; none if that is not known.
    fn wait(&self, now: Instant, open: u32, turns: Option<&TurnSchedule>) -> Option<Duration> {
        let turn = match self.limit {
            Some(limit) if !limit.open(now, turns?) => limit.wait(now, turns?)?,
            _ => Duration::ZERO,
        };
        let rest = self
            .rest
            .map(|until| until.saturating_duration_since(now))
            .filter(|rest| !rest.is_zero());
        let room = match self.room(now, open) {
            true => Duration::ZERO,
            false => ROOM,
        };
        Some(rest.unwrap_or(room).max(turn))
    }

    /// Whether any of it still holds.
    pub(super) fn holds(&self, now: Instant) -> bool {
        self.leaving || self.rests(now) || self.limit.is_some()
    }

    /// Whether it wants no calls now.
    pub(super) fn rests(&self, now: Instant) -> bool {
        self.rest.is_some_and(|until| now < until)
    }

    /// Whether its window has room for one more call.
    fn room(&self, now: Instant, open: u32) -> bool {
        let held = self.rest.is_some_and(|until| now < until + WINDOW_KEPT);
        let window = self.window.filter(|_| held);
        window.is_none_or(|window| window.takes(open))
    }
}

/// An answer that says something of its server.
#[derive(Debug, Clone, Copy)]
pub(super) struct Heard<'a> {
    pub(super) now: Instant,
    /// When its call was sent.
    pub(super) sent: Instant,
    pub(super) word: &'a ServerFeedback,
    /// Calls of this entry at the server.
    pub(super) open: u32,
    /// A number drawn evenly from 0 to 1.
    pub(super) drawn: f64,
}

/// How many of the known servers have said something that still holds.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct FeedbackCounts {
    /// Those that leave.
    pub leaving: usize,
    /// Those that rest.
    pub backing_off: usize,
    /// Those that name a limit.
    pub limited: usize,
}

impl Balancer {
    /// Notes what an answer of `server` to a call that was sent at `sent` says
    /// of it. An answer of an earlier life says nothing of the present one.
    /// `drawn` is a number drawn evenly from 0 to 1.
    pub fn apply_feedback(
        &mut self,
        now: Instant,
        server: &ServerRecord,
        sent: Instant,
        word: &ServerFeedback,
        drawn: f64,
    ) -> FeedbackChange {
        let known = self.servers.get_mut(&server.id);
        let heard = Heard {
            now,
            sent,
            word,
            open: known.as_ref().map_or(0, |known| known.own.open),
            drawn,
        };
        match known {
            Some(known) if known.listed.started_ms == server.started_ms => known.said.hear(&heard),
            Some(_) => FeedbackChange::default(),
            None => self.past.hear(server, &heard),
        }
    }

    /// Takes the entry's turn for a call that is about to be sent to a server;
    /// returns whether it may be. What the server has said since the call was
    /// placed counts too.
    pub fn take_turn(&mut self, now: Instant, id: &str) -> bool {
        let Some(server) = self.servers.get_mut(id) else {
            return true;
        };
        let turns = self.turns.as_ref();
        if server.leaves() || !server.takes(now, turns) {
            return false;
        }
        server.said.sent(now, server.own.open, turns);
        true
    }

    /// How long it is until some server of `service` takes a call, if all that
    /// are there have asked for something else.
    #[must_use]
    pub fn next_turn(&self, now: Instant, service: &str) -> Option<Duration> {
        let serving = self.servers.values().filter(|s| s.serves(service));
        let turns = self.turns.as_ref();
        let waits = serving.filter_map(|s| s.said.wait(now, s.own.open, turns));
        waits.min().filter(|wait| !wait.is_zero())
    }

    /// How many of the known servers have said something that still holds.
    #[must_use]
    pub fn feedback_counts(&self, now: Instant) -> FeedbackCounts {
        let said = self.servers.values().map(|s| &s.said);
        said.fold(FeedbackCounts::default(), |counts, said| FeedbackCounts {
            leaving: counts.leaving + usize::from(said.leaving),
            backing_off: counts.backing_off + usize::from(said.rests(now)),
            limited: counts.limited + usize::from(said.limit.is_some()),
        })
    }
}
