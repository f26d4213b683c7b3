//! Who performs a duty that one daemon has to do for all of them.
//!
//! Load pattern: daemons that come and go at any moment, any of which may be
//! paused, cut off or killed while it performs the duty, before a store that
//! answers late or not at all. The holder is whoever wrote the newest record
//! of the duty; each write names the end of the log that its writer knows, so
//! that of two writers one fails. Others take over only once that record has
//! stood unchanged for a whole [`TTL`] of their own time, and the holder stops
//! a tenth before that. See docs/DECISIONS/0701-duties.md.

use std::time::{Duration, Instant};

use base::ids::Offset;
use serde::{Deserialize, Serialize};

use crate::lease::Lease;

/// How long a record holds. Taking over after a silent loss lasts as long, and
/// renewing it costs a write each half of it.
pub const TTL: Duration = Duration::from_millis(1800);

/// How much longer each further candidate in the order waits, so that one
/// claims and the others hear of it.
const STAGGER: Duration = Duration::from_millis(300);

/// Candidates that the stagger tells apart; those behind them wait alike.
const PLACES: usize = 8;

/// How long a new process waits before it first looks for a holder. Meanwhile
/// it hears of the holder, or of who goes before it in the order.
const SETTLE: Duration = Duration::from_millis(900);

/// The pause after a call that the store has not answered or has refused. It
/// doubles with each further one, as a store that is away would else be asked
/// by every candidate several times a second.
const RETRY: Duration = Duration::from_millis(250);

/// How often that pause doubles at the most.
const DOUBLINGS: u32 = 3;

/// Who holds the duty, as the store has it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Term {
    /// The holder's life; a process that starts again is another holder.
    pub holder: String,
    /// The holder's host.
    pub host: String,
    /// The fencing token; it grows with each holder.
    pub token: u64,
    /// The host that held the duty before, if it was another one.
    pub before: Option<String>,
    /// Whether the holder has given the duty up.
    pub released: bool,
}

/// What a candidate should do next.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Step {
    /// Nothing for now.
    Rest,
    /// Read the duty's record.
    Read,
    /// Write this at the end that the candidate knows ([`Candidate::end`]).
    Write(Term),
    /// The same, with what the record that was read keeps beside the term in
    /// place of all that this candidate has of it: others may have held the
    /// duty meanwhile and acted on what they wrote.
    Claim(Term),
}

/// What became of a write.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Written {
    /// It stands at this offset.
    At(u64),
    /// Another write came first; nothing was written.
    Behind,
    /// The store refused it; nothing was written.
    Refused,
    /// It was not answered: it may have been written, or may be later.
    Unknown,
}

/// One daemon that may hold a duty. Times are of a clock that also counts
/// while the host is suspended ([`base::clock::Clock::now_boottime`]).
#[derive(Debug)]
pub struct Candidate {
    life: String,
    host: String,
    /// How long a host stays away after another one has followed it.
    away: Duration,
    /// The newest record that is known of.
    seen: Option<Seen>,
    /// What this candidate has written, while it holds the duty.
    term: Option<Term>,
    lease: Option<Lease>,
    /// The highest token that was refused for a higher one.
    barred: u64,
    /// Whether another's record may have replaced the known one.
    unsure: bool,
    /// Nothing is asked of the store before.
    look: Instant,
    /// Calls in a row that the store has not answered or has refused.
    failures: u32,
    /// Whether it has given the duty up for good.
    resigned: bool,
}

#[derive(Debug, Clone, Copy)]
struct Seen {
    /// Where the log ends after it.
    end: u64,
    /// When it was first known of.
    at: Instant,
}

impl Candidate {
    /// Makes a candidate that starts at `now`. A host whose duty went to
    /// another one does not take it back within `away`.
    #[must_use]
    pub fn new(now: Instant, life: &str, host: &str, away: Duration) -> Self {
        Self {
            life: life.to_owned(),
            host: host.to_owned(),
            away,
            seen: None,
            term: None,
            lease: None,
            barred: 0,
            unsure: false,
            look: now + SETTLE,
            failures: 0,
            resigned: false,
        }
    }

    /// Where the log ends, as far as is known.
    #[must_use]
    pub fn end(&self) -> u64 {
        self.seen.map_or(0, |seen| seen.end)
    }

    /// The fencing token for a call made at `now`; none unless the duty is
    /// held.
    ///
    /// A holder that was suspended still believes that it holds the duty, and
    /// would do again what its successor has done. It must ask here right
    /// before each call.
    #[must_use]
    pub fn token(&self, now: Instant) -> Option<u64> {
        let Offset(token) = self.lease?.fence(now)?;
        (token > self.barred).then_some(token)
    }

    /// What this candidate has written last, while it holds the duty.
    #[must_use]
    pub fn term(&self) -> Option<&Term> {
        self.term.as_ref()
    }

    /// What to do at `now`, with `place` other candidates before this one.
    #[must_use]
    pub fn next(&self, now: Instant, place: usize) -> Step {
        if self.resigned || now < self.look {
            return Step::Rest;
        }
        let stagger = STAGGER * place.min(PLACES) as u32;
        match (&self.term, self.lease, self.seen) {
            (Some(_), _, _) if self.unsure => Step::Read,
            (Some(term), Some(lease), _) if lease.due(now) => Step::Write(term.clone()),
            (Some(_), _, _) => Step::Rest,
            (None, _, Some(seen)) if now < seen.at + TTL + stagger => Step::Rest,
            (None, _, None) if now < self.look + stagger => Step::Rest,
            _ => Step::Read,
        }
    }

    /// Notes that the holder told where the log ends after its last record.
    pub fn heard(&mut self, now: Instant, end: u64, released: bool) {
        if self.seen.is_some_and(|seen| end <= seen.end) {
            return;
        }
        self.seen = Some(Seen { end, at: now });
        self.unsure = true;
        if released {
            // Nobody has to be waited for.
            self.seen = None;
            self.look = now;
        }
    }

    /// Takes what the store holds: the duty's record, and where its log ends.
    pub fn read(&mut self, now: Instant, term: Option<&Term>, end: u64) -> Step {
        let before = self.seen.filter(|seen| seen.end == end);
        let seen = before.unwrap_or(Seen { end, at: now });
        self.seen = Some(seen);
        self.unsure = false;
        self.failures = 0;
        if self.resigned {
            return Step::Rest;
        }
        let stood = now.saturating_duration_since(seen.at);
        match term {
            Some(t) if t.holder == self.life && !t.released && t.token > self.barred => {
                let held = self.term.replace(t.clone()).is_some();
                return match held {
                    true => Step::Write(t.clone()),
                    false => Step::Claim(t.clone()),
                };
            }
            Some(t) if !self.may_follow(t, stood) => {
                self.drop_term();
                // A record that was given up has nobody to renew it.
                let wait = if t.released { self.away } else { TTL };
                self.look = now + wait.saturating_sub(stood).max(RETRY);
                return Step::Rest;
            }
            _ => {}
        }
        self.drop_term();
        Step::Claim(Term {
            holder: self.life.clone(),
            host: self.host.clone(),
            token: end + 1,
            before: term.and_then(|t| self.before(t)),
            released: false,
        })
    }

    /// Whether this candidate may follow the holder of `term`, whose record
    /// has stood unchanged for `stood`.
    fn may_follow(&self, term: &Term, stood: Duration) -> bool {
        let returns = term.before.as_deref() == Some(&*self.host);
        let wait = match (term.released, returns) {
            // An earlier life of this host has ended, or this one would not
            // have got its ports.
            _ if term.host == self.host => Duration::ZERO,
            // Taken back at once, the duty would go to and fro between two
            // hosts, with calls of both on their way.
            (_, true) => TTL.max(self.away),
            (true, false) => Duration::ZERO,
            (false, false) => TTL,
        };
        stood >= wait
    }

    /// The host to name as the one before, when `term` is followed.
    fn before(&self, term: &Term) -> Option<String> {
        if term.host == self.host {
            return term.before.clone();
        }
        Some(term.host.clone())
    }

    /// Takes what became of writing `term`, which was sent at `sent`.
    pub fn wrote(&mut self, now: Instant, sent: Instant, term: Term, written: Written) {
        match written {
            Written::At(offset) => {
                self.seen = Some(Seen {
                    end: offset + 1,
                    at: now,
                });
                self.unsure = false;
                self.failures = 0;
                self.lease = Some(Lease::new(Offset(term.token), sent, TTL));
                if term.released {
                    self.drop_term();
                } else {
                    self.term = Some(term);
                }
            }
            // What was held before stays held until its time is over; nobody
            // may follow before that.
            Written::Behind => self.unsure = true,
            Written::Unknown => {
                self.unsure = true;
                self.failed(now);
            }
            Written::Refused => self.failed(now),
        }
    }

    /// Notes that the store could not be read.
    pub fn unread(&mut self, now: Instant) {
        self.failed(now);
    }

    /// Whether the last call was the first in a row that failed.
    #[must_use]
    pub fn has_failed(&self) -> bool {
        self.failures == 1
    }

    fn failed(&mut self, now: Instant) {
        self.look = now + RETRY * 2u32.pow(self.failures.min(DOUBLINGS));
        self.failures += 1;
    }

    /// Notes that a call with `token` was refused since a higher one was seen.
    /// It is never used again.
    pub fn refused(&mut self, now: Instant, token: u64) {
        self.barred = self.barred.max(token);
        if self.term.as_ref().is_some_and(|t| t.token <= self.barred) {
            self.drop_term();
            self.look = now + RETRY;
        }
    }

    /// Gives the duty up, for good or for `pause`; returns what to write, if
    /// it was held.
    pub fn resign(&mut self, now: Instant, pause: Option<Duration>) -> Option<Term> {
        let term = self.term.take();
        self.lease = None;
        match pause {
            Some(pause) => self.look = now + pause,
            None => self.resigned = true,
        }
        term.map(|term| Term {
            released: true,
            ..term
        })
    }

    fn drop_term(&mut self) {
        self.term = None;
        self.lease = None;
    }
}
