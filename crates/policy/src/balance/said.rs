//! What servers say of themselves in their answers.

use std::time::{Duration, Instant};

use super::limit::Limit;
use super::{Balance, Listed};

/// The longest rest that is believed. What is longer is taken for a mistake,
/// as a service would lose the server for as long.
const REST_MOST: Duration = Duration::from_secs(3600);

/// What an answer says of the server that made it.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Word {
    /// Whether the server is about to end and takes no new calls.
    pub leaving: bool,
    /// For how long the server wants no calls from this entry, if it says so.
    pub rest: Option<Duration>,
    /// The calls a second that the server takes from all entries together, if
    /// it names any.
    pub limit: Option<f64>,
}

/// What of a [`Word`] was not known before.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct News {
    /// Whether the server has begun to leave.
    pub leaving: bool,
    /// For how long the server has asked for rest, if it was not resting.
    pub rest: Option<Duration>,
    /// Whether the server names a limit, if it has begun or ceased to do so.
    pub limited: Option<bool>,
}

/// What one life of a server has said so far.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct Said {
    /// Whether it leaves, which no life of a server takes back.
    pub(super) leaving: bool,
    /// Until when it wants no calls.
    pub(super) rest: Option<Instant>,
    /// The calls a second that it takes from all entries.
    pub(super) limit: Option<Limit>,
}

impl Said {
    /// Takes an answer's word over that came to a call sent at `sent`.
    fn hear(&mut self, now: Instant, sent: Instant, word: &Word) -> News {
        let leaving = word.leaving && !self.leaving;
        self.leaving |= word.leaving;
        let rested = self.rests(now);
        if let Some(rest) = word.rest {
            let until = now + rest.min(REST_MOST);
            self.rest = self.rest.max(Some(until));
        }
        let limited = self.limit.is_some();
        match (&mut self.limit, word.limit) {
            (Some(limit), Some(rate)) => limit.name(now, rate),
            (Some(limit), None) if limit.lifted(sent) => self.limit = None,
            (None, Some(rate)) => self.limit = Some(Limit::new(now, rate)),
            _ => {}
        }
        News {
            leaving,
            rest: word.rest.filter(|_| !rested),
            limited: Some(self.limit.is_some()).filter(|now| *now != limited),
        }
    }

    /// Whether it wants no calls now.
    pub(super) fn rests(&self, now: Instant) -> bool {
        self.rest.is_some_and(|until| now < until)
    }
}

/// How many of the known servers have said something that still holds.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Counts {
    /// Those that leave.
    pub leaving: usize,
    /// Those that rest.
    pub resting: usize,
    /// Those that name a limit.
    pub limited: usize,
}

impl Balance {
    /// Notes what an answer of `server` to a call that was sent at `sent` says
    /// of it. An answer of an earlier life says nothing of the present one.
    pub fn answered(&mut self, now: Instant, server: &Listed, sent: Instant, word: &Word) -> News {
        match self.servers.get_mut(&server.id) {
            Some(known) if known.listed.born == server.born => known.said.hear(now, sent, word),
            _ => News::default(),
        }
    }

    /// How many of the known servers have said something that still holds.
    #[must_use]
    pub fn said(&self, now: Instant) -> Counts {
        let said = self.servers.values().map(|s| &s.said);
        said.fold(Counts::default(), |counts, said| Counts {
            leaving: counts.leaving + usize::from(said.leaving),
            resting: counts.resting + usize::from(said.rests(now)),
            limited: counts.limited + usize::from(said.limit.is_some()),
        })
    }
}
