//! Recent slot time of each tier.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use base::ids::Tier;

/// Time constant of the exponential decay: after this time a start counts for
/// 1/e, a bit more than a third.
const DECAY_TIME: Duration = Duration::from_secs(2);

/// Slot time given to each tier, decaying exponentially.
#[derive(Debug, Default)]
pub(super) struct TierUsage {
    tiers: BTreeMap<Tier, DecayingSum>,
}

#[derive(Debug)]
struct DecayingSum {
    us: f64,
    at: Instant,
}

impl TierUsage {
    /// Adds slot time given to a tier; a negative amount takes it back.
    pub(super) fn add(&mut self, now: Instant, tier: Tier, us: f64) {
        let sum = self
            .tiers
            .entry(tier)
            .or_insert(DecayingSum { us: 0.0, at: now });
        sum.us = (sum.value_at(now) + us).max(0.0);
        sum.at = now;
    }

    /// Share of `slots` that the tiers above `tier` used recently.
    pub(super) fn share_above(&self, now: Instant, tier: Tier, slots: usize) -> f64 {
        let us: f64 = self.tiers.range(..tier).map(|(_, f)| f.value_at(now)).sum();
        us / (DECAY_TIME.as_secs_f64() * 1e6 * slots.max(1) as f64)
    }
}

impl DecayingSum {
    fn value_at(&self, value_at: Instant) -> f64 {
        let passed = value_at.saturating_duration_since(self.at);
        self.us * (-passed.as_secs_f64() / DECAY_TIME.as_secs_f64()).exp()
    }
}
