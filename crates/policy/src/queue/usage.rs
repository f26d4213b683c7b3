//! How much of the slots each tier was given lately.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use base::ids::Tier;

/// Time after which a start counts for a bit more than a third.
const FADE: Duration = Duration::from_secs(2);

/// Slot time given to each tier, in which older starts count for less.
#[derive(Debug, Default)]
pub(super) struct Usage {
    tiers: BTreeMap<Tier, Faded>,
}

#[derive(Debug)]
struct Faded {
    us: f64,
    at: Instant,
}

impl Usage {
    /// Adds slot time given to a tier, or takes it back when negative.
    pub(super) fn add(&mut self, now: Instant, tier: Tier, us: f64) {
        let faded = self.tiers.entry(tier).or_insert(Faded { us: 0.0, at: now });
        faded.us = (faded.now(now) + us).max(0.0);
        faded.at = now;
    }

    /// Share of `slots` that the tiers above one took lately.
    pub(super) fn above(&self, now: Instant, tier: Tier, slots: usize) -> f64 {
        let us: f64 = self.tiers.range(..tier).map(|(_, f)| f.now(now)).sum();
        us / (FADE.as_secs_f64() * 1e6 * slots.max(1) as f64)
    }
}

impl Faded {
    fn now(&self, now: Instant) -> f64 {
        let passed = now.saturating_duration_since(self.at);
        self.us * (-passed.as_secs_f64() / FADE.as_secs_f64()).exp()
    }
}
