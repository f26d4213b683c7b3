//! The rank of a call and the limits on its expected latency, with which an
//! entry asks the sidecars of engines to admit it.
//!
//! Load pattern: a burst lasts for seconds, and refused callers retry within
//! it, each time with less time left. A call that can still be on time goes
//! before one that cannot, and no call of a higher tier is refused for being
//! late. See docs/DECISIONS/0603-grants.md and
//! docs/DECISIONS/0606-full-engines.md.

use std::time::Duration;

use base::ids::Tier;

use crate::wait_estimate::FIRST_LOW_TIER;

/// Number of ranks within one tier: engines have ten ranks, which fit three
/// tiers of three.
const RANKS_PER_TIER: u8 = 3;

/// Smallest fraction of the route's timeout that fresh callers bring: each
/// caller chooses its own timeout, and even first attempts come with less than
/// the full one.
const MIN_TIMEOUT_SHARE: f64 = 0.85;

/// Fraction of the time left to its target within which a call's first event
/// must be expected. Nine of ten calls take at most twice the expected time.
const TIMELY_SHARE: f64 = 0.5;

/// The same fraction, of the whole target, for a call whose target has passed.
/// It should be served while there is capacity but not displace a call that
/// can still be on time: where calls are refused, expected waits exceed this
/// limit.
const LATE_SHARE: f64 = 0.3;

/// Fraction of its target that a call may wait for servers that have all asked
/// for a lower rate.
const TURN_SHARE: f64 = 0.5;

/// Fraction of its time left that the expected latency of a high-tier call may
/// take.
const HIGH_TIER_SHARE: f64 = 0.6;

/// The rank of a call for engines; 0 is the most urgent. The tier of its
/// workspace goes first, or the route's tier if the workspace has none. Within
/// it the route's tier decides; otherwise an engine that runs out of memory
/// could preempt a live stream for batch work of a workspace of equal tier.
#[must_use]
pub fn rank(workspace: Option<Tier>, route: Tier) -> u8 {
    let tier = workspace.unwrap_or(route);
    let within = route.0.min(RANKS_PER_TIER - 1);
    tier.0.saturating_mul(RANKS_PER_TIER).saturating_add(within)
}

/// Whether calls of a route's tier wait for engines rather than being refused
/// as late.
#[must_use]
pub fn is_high_tier(route: Tier) -> bool {
    route.0 < FIRST_LOW_TIER
}

/// The properties of a call that decide its limits.
#[derive(Debug, Clone, Copy)]
pub struct CallTiming {
    /// Its route's tier; 0 is the highest.
    pub tier: u8,
    /// Target time to the first event on its route.
    pub target: Duration,
    /// Timeout of its route.
    pub timeout: Duration,
    /// Timeout stated by the caller.
    pub caller_timeout: Option<Duration>,
    /// Whether it has been sent to no server and its caller has received
    /// nothing.
    pub first_attempt: bool,
}

impl CallTiming {
    /// Whether the caller is probably retrying after a refusal: its timeout is
    /// below the minimum that fresh callers bring by more than the target,
    /// which the first attempt has used up.
    #[must_use]
    pub fn is_retry(&self) -> bool {
        let shortest = self.timeout.mul_f64(MIN_TIMEOUT_SHARE);
        self.caller_timeout
            .is_some_and(|p| p + self.target < shortest)
    }

    /// Maximum expected time to the first event with which an engine may be
    /// asked to admit the call, `age` after its arrival and `left` before it
    /// is abandoned.
    #[must_use]
    pub fn latency_limit(&self, age: Duration, left: Duration) -> Duration {
        let target = self.target.saturating_sub(age);
        let on_time = self.first_attempt && !self.is_retry() && !target.is_zero();
        let allowed = match on_time {
            true => target.mul_f64(TIMELY_SHARE),
            false => self.target.mul_f64(LATE_SHARE),
        };
        allowed.min(left)
    }

    /// How long after its arrival a call may still wait for servers that have all
    /// asked for a lower rate, if its caller leaves `patience` after the arrival.
    /// Urgent calls have the shortest targets, but are not refused for being late.
    #[must_use]
    pub fn turn_limit(&self, patience: Duration) -> Duration {
        let limit = self.target.mul_f64(TURN_SHARE);
        match is_high_tier(Tier(self.tier)) {
            true => limit.max(patience.mul_f64(HIGH_TIER_SHARE)),
            false => limit,
        }
    }

    /// Whether an engine must admit a prefill call that all engines have
    /// refused, when its first event takes at least `expected`.
    #[must_use]
    pub fn must_accept(&self, expected: Duration, left: Duration) -> bool {
        !self.first_attempt
            || is_high_tier(Tier(self.tier)) && expected <= left.mul_f64(HIGH_TIER_SHARE)
    }
}
