//! How long a call would wait for its first event, and whether it should.
//!
//! Load pattern: prompts come faster than the engines read them, for as long
//! as a burst lasts. Sent on all the same, they queue inside the engines;
//! three quarters come late or are worked on until their callers give up, and
//! the engines spend the burst on answers that nobody takes. Refused at once,
//! the excess costs nothing, and the rest is on time. See
//! docs/DECISIONS/0602-admission.md.

use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use crate::estimate::averages::LinearFit;

/// Part of its target that a call of the lowest tiers may be expected to take.
/// In a burst the queue stands at whatever is allowed; allowed more than the
/// target, every call that is sent would be late (replayed: 58 of 273 in time
/// at 1.2).
const LOW_TIER_SHARE: f64 = 0.8;

/// Part of its time left that a call of the tiers above may be expected to
/// take. They go first inside the engine, so that the estimate, which counts
/// all that waits, is too high for them; and no lower call gains by it. The
/// same holds for a caller that was turned away before: turned away again it
/// would have come back for nothing.
const HIGH_TIER_SHARE: f64 = 0.6;

/// The first of the lowest tiers.
pub const FIRST_LOW_TIER: u8 = 2;

/// The soonest return: a refused caller must not be back within the same
/// moment of the burst.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(200);

/// Returns are spread over so many times the wait that was expected, or all
/// who were refused together would come back together.
const RETRY_JITTER: f64 = 1.0;

/// Part of a wait for servers over which those who are told of it are spread.
const WAIT_JITTER: f64 = 0.5;

/// What is known about waiting at the engines of each service.
#[derive(Debug, Default)]
pub struct WaitEstimator {
    /// Time to the first event by the calls that waited before it, for each
    /// service and rank: an engine takes the most urgent first, so that under
    /// load the least urgent wait ten times as long as the mean.
    fits: HashMap<(Rc<str>, u8), LinearFit>,
}

/// What decides how long a call may wait.
#[derive(Debug, Clone, Copy)]
pub struct CallDeadline {
    /// Its route's tier; 0 is the highest.
    pub tier: u8,
    /// Its rank for engines; 0 is the most urgent.
    pub rank: u8,
    /// When its first event should be there.
    pub target: Duration,
    /// How long until it is given up.
    pub left: Duration,
    /// Whether the caller was turned away before.
    pub is_retry: bool,
}

/// Whether a call should be sent on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Decision {
    /// It is expected in time.
    Send,
    /// It would be late; the caller may come back after this time.
    Refuse {
        /// When to come back.
        retry_after: Duration,
        /// How long the first event would have taken.
        expected: Duration,
    },
}

impl WaitEstimator {
    /// Notes that the first event of a call came after `took`, with `ahead`
    /// calls waiting at the server when it was sent.
    pub fn record(&mut self, service: &Rc<str>, rank: u8, ahead: u32, took: Duration) {
        let us = took.as_secs_f64() * 1e6;
        let key = (Rc::clone(service), rank);
        self.fits.entry(key).or_default().add(ahead, us);
    }

    /// How long the first event of a call would take with `ahead` calls
    /// waiting before it; zero before anything was seen.
    #[must_use]
    pub fn expected(&self, service: &Rc<str>, rank: u8, ahead: u32) -> Duration {
        let us = self.fits.get(&(Rc::clone(service), rank));
        let us = us.and_then(|f| f.predict(ahead)).unwrap_or(0.0);
        Duration::from_secs_f64(us * 1e-6)
    }

    /// Judges a call with `ahead` calls waiting before it. `drawn` is a number
    /// drawn evenly from 0 to 1.
    #[must_use]
    pub fn decide(
        &self,
        service: &Rc<str>,
        claim: CallDeadline,
        ahead: u32,
        drawn: f64,
    ) -> Decision {
        let expected = self.expected(service, claim.rank, ahead);
        let patient = claim.tier < FIRST_LOW_TIER || claim.is_retry;
        let allowed = match patient {
            true => claim.target.max(claim.left.mul_f64(HIGH_TIER_SHARE)),
            false => claim.target.mul_f64(LOW_TIER_SHARE),
        };
        if expected <= allowed {
            return Decision::Send;
        }
        let after = retry_after(expected, allowed, drawn);
        Decision::Refuse {
            retry_after: after,
            expected,
        }
    }
}

/// When to come back for a call that is expected to take `expected` where
/// `allowed` is fine. `drawn` is a number drawn evenly from 0 to 1.
#[must_use]
pub fn retry_after(expected: Duration, allowed: Duration, drawn: f64) -> Duration {
    let excess = expected.saturating_sub(allowed);
    MIN_RETRY_AFTER + excess + expected.mul_f64(RETRY_JITTER * drawn)
}

/// When to come back for a call that no server takes for `wait`: callers who are
/// all told the same moment would all come back in it. `drawn` as in
/// [`retry_after`].
#[must_use]
pub fn jitter(wait: Duration, drawn: f64) -> Duration {
    wait.mul_f64(1.0 + WAIT_JITTER * drawn)
}
