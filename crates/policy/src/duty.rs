//! Elects the daemon that performs a fleet-wide duty.
//!
//! Load pattern: daemons come and go at any moment, and any of them may be suspended,
//! cut off or killed while it performs the duty. The store answers late or not at all.
//! The holder is the daemon that wrote the newest record in the duty's log. Each write
//! names the log end that its writer knows (compare and swap), so that one of two
//! concurrent writers fails. Another candidate takes over only after the newest record
//! has stayed unchanged for a whole [`TERM_TTL`] on its own clock; the holder stops
//! after nine tenths of that time. See docs/DECISIONS/0701-duties.md.

use std::time::{Duration, Instant};

use base::ids::Offset;
use serde::{Deserialize, Serialize};

use crate::lease::Lease;

/// How long a term is valid without renewal. A takeover after the holder fails silently
/// takes at least this long. Renewal costs one write per half of it.
pub const TERM_TTL: Duration = Duration::from_millis(1800);

/// Additional wait per rank, so that one candidate claims the duty and the others learn
/// of its record.
const STAGGER: Duration = Duration::from_millis(300);

/// Number of ranks with distinct delays; candidates behind them share the longest one.
const MAX_STAGGERED_RANKS: usize = 8;

/// Delay after start before the first read of the duty's record. In this time a new
/// process learns of the holder and of the candidates that precede it.
const STARTUP_DELAY: Duration = Duration::from_millis(900);

/// Initial delay after a store call that failed or was refused. It doubles with each
/// consecutive failure: otherwise every candidate would query an unavailable store
/// several times a second.
const RETRY_BASE: Duration = Duration::from_millis(250);

/// Maximum number of doublings of the retry delay.
const MAX_RETRY_DOUBLINGS: u32 = 3;

/// The stored record of who holds the duty.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Term {
    /// Incarnation of the holder; a restarted process counts as another holder.
    pub holder: String,
    /// The holder's host.
    pub host: String,
    /// Fencing token; it increases with each holder.
    pub token: u64,
    /// The host that held the duty previously, if it was a different one.
    #[serde(rename = "before")]
    pub previous_host: Option<String>,
    /// Whether the holder has released the duty.
    pub released: bool,
}

/// The next action of a candidate.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Step {
    /// Do nothing now.
    Wait,
    /// Read the duty's record.
    Read,
    /// Write this term at the log end that the candidate knows
    /// ([`Candidate::log_end`]).
    Renew(Term),
    /// Write this term together with the other data of the record that was read; it
    /// replaces all duty data that this candidate holds. Other holders may have acted
    /// on what they wrote in the meantime.
    Claim(Term),
}

/// The outcome of a write.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WriteOutcome {
    /// The record was stored at this offset.
    Stored(u64),
    /// Another write came first; nothing was written.
    Conflict,
    /// The store refused the write; nothing was written.
    Refused,
    /// There was no answer: the record may have been written, or may still be written
    /// later.
    Unknown,
}

/// A daemon that may hold a duty. All times come from a clock that also advances while
/// the host is suspended ([`base::clock::Clock::now_boottime`]).
#[derive(Debug)]
pub struct Candidate {
    incarnation: String,
    host: String,
    /// How long a host must wait before it takes the duty back from its successor.
    return_delay: Duration,
    /// The newest known record.
    latest: Option<LatestRecord>,
    /// The term that this candidate wrote, while it holds the duty.
    term: Option<Term>,
    lease: Option<Lease>,
    /// The highest token that was rejected because a higher one had been seen.
    rejected_token: u64,
    /// Whether another candidate may have replaced the known record.
    needs_read: bool,
    /// No store call is made before this time.
    not_before: Instant,
    /// Consecutive store calls that failed or were refused.
    failures: u32,
    /// Whether the candidate has resigned permanently.
    resigned: bool,
}

#[derive(Debug, Clone, Copy)]
struct LatestRecord {
    /// Log end after the record.
    end: u64,
    /// When this candidate first learned of the record.
    first_seen: Instant,
}

impl Candidate {
    /// Creates a candidate that starts at `now`. A host that lost the duty to another
    /// host does not take it back within `return_delay`.
    #[must_use]
    pub fn new(now: Instant, incarnation: &str, host: &str, return_delay: Duration) -> Self {
        Self {
            incarnation: incarnation.to_owned(),
            host: host.to_owned(),
            return_delay,
            latest: None,
            term: None,
            lease: None,
            rejected_token: 0,
            needs_read: false,
            not_before: now + STARTUP_DELAY,
            failures: 0,
            resigned: false,
        }
    }

    /// The known end of the log.
    #[must_use]
    pub fn log_end(&self) -> u64 {
        self.latest.map_or(0, |latest| latest.end)
    }

    /// The fencing token for a call made at `now`; `None` unless this candidate holds
    /// the duty.
    ///
    /// Callers must ask for it right before each call: a holder that was suspended
    /// still believes that it holds the duty, and would repeat what its successor has
    /// already done.
    #[must_use]
    pub fn token(&self, now: Instant) -> Option<u64> {
        let Offset(token) = self.lease?.fencing_token(now)?;
        (token > self.rejected_token).then_some(token)
    }

    /// The term that this candidate wrote last, while it holds the duty.
    #[must_use]
    pub fn term(&self) -> Option<&Term> {
        self.term.as_ref()
    }

    /// The action to take at `now`, with `rank` other candidates preceding this one.
    #[must_use]
    pub fn next_step(&self, now: Instant, rank: usize) -> Step {
        if self.resigned || now < self.not_before {
            return Step::Wait;
        }
        let stagger = STAGGER * rank.min(MAX_STAGGERED_RANKS) as u32;
        match (&self.term, self.lease, self.latest) {
            (Some(_), _, _) if self.needs_read => Step::Read,
            (Some(term), Some(lease), _) if lease.needs_renewal(now) => Step::Renew(term.clone()),
            (Some(_), _, _) => Step::Wait,
            (None, _, Some(latest)) if now < latest.first_seen + TERM_TTL + stagger => Step::Wait,
            (None, _, None) if now < self.not_before + stagger => Step::Wait,
            _ => Step::Read,
        }
    }

    /// Records the log end that the holder announced after its latest record.
    pub fn observe_record(&mut self, now: Instant, end: u64, released: bool) {
        if self.latest.is_some_and(|latest| end <= latest.end) {
            return;
        }
        self.latest = Some(LatestRecord {
            end,
            first_seen: now,
        });
        self.needs_read = true;
        if released {
            // A released duty has no holder whose term must expire first.
            self.latest = None;
            self.not_before = now;
        }
    }

    /// Processes the result of a read: the duty's record and the end of its log.
    pub fn record_read(&mut self, now: Instant, term: Option<&Term>, end: u64) -> Step {
        let known = self.latest.filter(|latest| latest.end == end);
        let latest = known.unwrap_or(LatestRecord {
            end,
            first_seen: now,
        });
        self.latest = Some(latest);
        self.needs_read = false;
        self.failures = 0;
        if self.resigned {
            return Step::Wait;
        }
        let unchanged_for = now.saturating_duration_since(latest.first_seen);
        match term {
            Some(t)
                if t.holder == self.incarnation && !t.released && t.token > self.rejected_token =>
            {
                let held = self.term.replace(t.clone()).is_some();
                return match held {
                    true => Step::Renew(t.clone()),
                    false => Step::Claim(t.clone()),
                };
            }
            Some(t) if !self.may_follow(t, unchanged_for) => {
                self.clear_term();
                // A released record is not renewed, so only the return delay counts.
                let wait = if t.released {
                    self.return_delay
                } else {
                    TERM_TTL
                };
                self.not_before = now + wait.saturating_sub(unchanged_for).max(RETRY_BASE);
                return Step::Wait;
            }
            _ => {}
        }
        self.clear_term();
        Step::Claim(Term {
            holder: self.incarnation.clone(),
            host: self.host.clone(),
            token: end + 1,
            previous_host: term.and_then(|t| self.previous_host(t)),
            released: false,
        })
    }

    /// Whether this candidate may take over from the holder of `term`, whose record has
    /// been unchanged for `unchanged_for`.
    fn may_follow(&self, term: &Term, unchanged_for: Duration) -> bool {
        let was_previous = term.previous_host.as_deref() == Some(&*self.host);
        let wait = match (term.released, was_previous) {
            // The host's earlier incarnation has ended: otherwise this one could not
            // have bound its ports.
            _ if term.host == self.host => Duration::ZERO,
            // An immediate return would let the duty alternate between two hosts while
            // calls of both are in flight.
            (_, true) => TERM_TTL.max(self.return_delay),
            (true, false) => Duration::ZERO,
            (false, false) => TERM_TTL,
        };
        unchanged_for >= wait
    }

    /// The previous host to name in a term that succeeds `term`.
    fn previous_host(&self, term: &Term) -> Option<String> {
        if term.host == self.host {
            return term.previous_host.clone();
        }
        Some(term.host.clone())
    }

    /// Processes the outcome of a write of `term` that was sent at `sent`.
    pub fn record_write(&mut self, now: Instant, sent: Instant, term: Term, outcome: WriteOutcome) {
        match outcome {
            WriteOutcome::Stored(offset) => {
                self.latest = Some(LatestRecord {
                    end: offset + 1,
                    first_seen: now,
                });
                self.needs_read = false;
                self.failures = 0;
                self.lease = Some(Lease::new(Offset(term.token), sent, TERM_TTL));
                if term.released {
                    self.clear_term();
                } else {
                    self.term = Some(term);
                }
            }
            // The earlier term stays in force until its lease expires; no other
            // candidate may take over before then.
            WriteOutcome::Conflict => self.needs_read = true,
            WriteOutcome::Unknown => {
                self.needs_read = true;
                self.failed(now);
            }
            WriteOutcome::Refused => self.failed(now),
        }
    }

    /// Records that the store could not be read.
    pub fn record_read_failure(&mut self, now: Instant) {
        self.failed(now);
    }

    /// Whether the latest call was the first in a series of failures.
    #[must_use]
    pub fn failed_first(&self) -> bool {
        self.failures == 1
    }

    fn failed(&mut self, now: Instant) {
        self.not_before = now + RETRY_BASE * 2u32.pow(self.failures.min(MAX_RETRY_DOUBLINGS));
        self.failures += 1;
    }

    /// Records that a call with `token` was rejected because a higher token had been
    /// seen. The rejected token is never used again.
    pub fn reject_token(&mut self, now: Instant, token: u64) {
        self.rejected_token = self.rejected_token.max(token);
        if self
            .term
            .as_ref()
            .is_some_and(|t| t.token <= self.rejected_token)
        {
            self.clear_term();
            self.not_before = now + RETRY_BASE;
        }
    }

    /// Resigns permanently, or for `pause`. Returns the term to write if the duty was
    /// held.
    pub fn resign(&mut self, now: Instant, pause: Option<Duration>) -> Option<Term> {
        let term = self.term.take();
        self.lease = None;
        match pause {
            Some(pause) => self.not_before = now + pause,
            None => self.resigned = true,
        }
        term.map(|term| Term {
            released: true,
            ..term
        })
    }

    fn clear_term(&mut self) {
        self.term = None;
        self.lease = None;
    }
}
