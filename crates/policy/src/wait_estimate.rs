//! Predicts how long a call waits for its first event, and refuses calls that
//! would be late.
//!
//! Load pattern: during a burst, prompts arrive faster than the engines can
//! prefill them. If all are sent, they queue inside the engines; three
//! quarters are late or are processed until their callers give up, so the
//! engines spend the burst on answers that nobody receives. If the excess is
//! refused at once it costs no engine time, and the rest is on time. See
//! docs/DECISIONS/0602-admission.md.

use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use crate::estimate::averages::LinearFit;

/// Fraction of its target that the expected wait of a low-tier call may take.
/// In a burst the queue grows to whatever is allowed; with more than the
/// target, every call that is sent would be late (in a replay, 58 of 273 calls
/// were on time at 1.2).
const LOW_TIER_SHARE: f64 = 0.8;

/// Fraction of the time left that the expected wait of a high-tier call may
/// take. Such calls go first inside the engine, so the estimate, which counts
/// every waiting call, is too high for them; and refusing them would not help
/// any low-tier call. The same limit applies to retries: a caller refused
/// twice would have retried for nothing.
const HIGH_TIER_SHARE: f64 = 0.6;

/// The highest of the low tiers.
pub const FIRST_LOW_TIER: u8 = 2;

/// Minimum retry delay: a refused caller must not return within the same
/// moment of the burst.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(200);

/// Jitter of the retry delay, as a multiple of the expected wait; without it,
/// callers refused together would return together.
const RETRY_JITTER: f64 = 1.0;

/// Jitter of the wait for a server to become available, as a fraction of that
/// wait.
const WAIT_JITTER: f64 = 0.5;

/// Measured waits at the engines of each service.
#[derive(Debug, Default)]
pub struct WaitEstimator {
    /// Time to the first event over the number of calls waiting ahead, for
    /// each service and rank. Ranks are separate because an engine takes the
    /// most urgent calls first: under load the least urgent wait ten times the
    /// mean.
    fits: HashMap<(Rc<str>, u8), LinearFit>,
}

/// The properties of a call that limit its wait.
#[derive(Debug, Clone, Copy)]
pub struct CallDeadline {
    /// Its route's tier; 0 is the highest.
    pub tier: u8,
    /// Its rank for engines; 0 is the most urgent.
    pub rank: u8,
    /// Target time to its first event.
    pub target: Duration,
    /// Time until it is abandoned.
    pub left: Duration,
    /// Whether the caller retries after a refusal.
    pub is_retry: bool,
}

/// Whether a call is sent on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Decision {
    /// The first event is expected in time.
    Send,
    /// The first event would be late.
    Refuse {
        /// Delay before a retry.
        retry_after: Duration,
        /// Expected time to the first event.
        expected: Duration,
    },
}

impl WaitEstimator {
    /// Records that the first event of a call arrived after `took`, with
    /// `ahead` calls waiting at the server when it was sent.
    pub fn record(&mut self, service: &Rc<str>, rank: u8, ahead: u32, took: Duration) {
        let us = took.as_secs_f64() * 1e6;
        let key = (Rc::clone(service), rank);
        self.fits.entry(key).or_default().add(ahead, us);
    }

    /// Expected time to the first event of a call with `ahead` calls waiting
    /// before it; zero before the first measurement.
    #[must_use]
    pub fn expected(&self, service: &Rc<str>, rank: u8, ahead: u32) -> Duration {
        let us = self.fits.get(&(Rc::clone(service), rank));
        let us = us.and_then(|f| f.predict(ahead)).unwrap_or(0.0);
        Duration::from_secs_f64(us * 1e-6)
    }

    /// Decides whether to send a call with `ahead` calls waiting before it.
    /// `random` is a uniform random number between 0 and 1.
    #[must_use]
    pub fn decide(
        &self,
        service: &Rc<str>,
        call: CallDeadline,
        ahead: u32,
        random: f64,
    ) -> Decision {
        let expected = self.expected(service, call.rank, ahead);
        let lenient = call.tier < FIRST_LOW_TIER || call.is_retry;
        let allowed = match lenient {
            true => call.target.max(call.left.mul_f64(HIGH_TIER_SHARE)),
            false => call.target.mul_f64(LOW_TIER_SHARE),
        };
        if expected <= allowed {
            return Decision::Send;
        }
        let retry_after = retry_after(expected, allowed, random);
        Decision::Refuse {
            retry_after,
            expected,
        }
    }
}

/// Retry delay of a call that is expected to take `expected` where `allowed`
/// is acceptable. `random` is a uniform random number between 0 and 1.
#[must_use]
pub fn retry_after(expected: Duration, allowed: Duration, random: f64) -> Duration {
    let excess = expected.saturating_sub(allowed);
    MIN_RETRY_AFTER + excess + expected.mul_f64(RETRY_JITTER * random)
}

/// Retry delay of a call that no server takes for `wait`, with jitter, as
/// callers who are all told the same time would all return at once. `random`
/// as in [`retry_after`].
#[must_use]
pub fn jitter(wait: Duration, random: f64) -> Duration {
    wait.mul_f64(1.0 + WAIT_JITTER * random)
}
