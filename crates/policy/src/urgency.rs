//! On what terms a call asks the sidecars of engines for a place.
//!
//! Load pattern: a burst lasts for seconds, callers who are turned away come
//! back within it, and bring less time each. A call that can yet be in time
//! goes before one that cannot, and nobody of a higher tier is turned away for
//! being late. See docs/DECISIONS/0603-grants.md and
//! docs/DECISIONS/0606-full-engines.md.

use std::time::Duration;

use base::ids::Tier;

use crate::wait_estimate::FIRST_LOW_TIER;

/// Ranks of routes within one tier: engines know ten ranks, and three tiers of
/// each fit.
const RANKS_PER_TIER: u8 = 3;

/// Part of the route's timeout that the least patient of callers bring: what
/// one waits is its own choice, and fresh calls come with less than the whole.
const MIN_TIMEOUT_SHARE: f64 = 0.85;

/// Part of what is left of its target within which a call's first event must
/// be expected. Nine of ten come within twice what was expected.
const TIMELY_SHARE: f64 = 0.5;

/// The same part of its whole target for a call whose target has passed. It
/// should be served while there is room, and not take the place of one that
/// can yet be in time: where calls are turned away, queues stand above this.
const LATE_SHARE: f64 = 0.3;

/// Part of its time left that a call of the tiers above the lowest may take.
const HIGH_TIER_SHARE: f64 = 0.6;

/// The rank of a call for engines; 0 is the most urgent. The tier of its
/// workspace goes first, which is its route's where the workspace has none.
/// Within it the route's decides, or an engine that runs out of memory could
/// preempt a live stream for the bulk work of an equal workspace.
#[must_use]
pub fn rank(workspace: Option<Tier>, route: Tier) -> u8 {
    let tier = workspace.unwrap_or(route);
    let within = route.0.min(RANKS_PER_TIER - 1);
    tier.0.saturating_mul(RANKS_PER_TIER).saturating_add(within)
}

/// A call, as far as its terms depend on it.
#[derive(Debug, Clone, Copy)]
pub struct CallTiming {
    /// Its route's tier; 0 is the highest.
    pub tier: u8,
    /// Time to the first event that callers of its route want.
    pub target: Duration,
    /// How long its route keeps a caller waiting at the most.
    pub timeout: Duration,
    /// How long the caller said that it waits.
    pub caller_timeout: Option<Duration>,
    /// Whether no server has had it, and its caller has nothing of it.
    pub first_attempt: bool,
}

impl CallTiming {
    /// Whether the caller has spent its target elsewhere before, as those do
    /// who were turned away: its time is shorter than that of the least
    /// patient by more than its target.
    #[must_use]
    pub fn is_retry(&self) -> bool {
        let least = self.timeout.mul_f64(MIN_TIMEOUT_SHARE);
        self.caller_timeout.is_some_and(|p| p + self.target < least)
    }

    /// How long the first event may be expected to take for an engine to be
    /// asked for a place, `age` after the call came and `left` before it is
    /// given up.
    #[must_use]
    pub fn latency_limit(&self, age: Duration, left: Duration) -> Duration {
        let target = self.target.saturating_sub(age);
        let timely = self.first_attempt && !self.is_retry() && !target.is_zero();
        let allowed = match timely {
            true => target.mul_f64(TIMELY_SHARE),
            false => self.target.mul_f64(LATE_SHARE),
        };
        allowed.min(left)
    }

    /// Whether an engine has to take a reading call that every one has turned
    /// away, the first event being `expected` at the soonest.
    #[must_use]
    pub fn must_accept(&self, expected: Duration, left: Duration) -> bool {
        !self.first_attempt
            || self.tier < FIRST_LOW_TIER && expected <= left.mul_f64(HIGH_TIER_SHARE)
    }
}
