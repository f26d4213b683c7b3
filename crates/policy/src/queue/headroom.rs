//! Slots kept free for the top tier.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use base::ids::Tier;

use crate::estimate::aged::Aged;
use crate::estimate::fit::Mean;

/// A tier that asked for nothing this long is not counted as the top one.
const LATELY: Duration = Duration::from_secs(10);

/// The need is looked up over the last one to two of these.
const PERIOD: Duration = Duration::from_secs(5);

/// How often the kept slots are worked out anew.
const RENEW: Duration = Duration::from_millis(100);

/// Probability that a request of the top tier may find no slot in its time
/// here. Its entry asks at two servers, so that it finds none at both far more
/// rarely; and then a lower-tier run is stopped for it.
const MISS: f64 = 0.02;

/// Sizes the slots kept free for the top tier.
///
/// A request of the top tier waits too long only if the tier needs more slots
/// than are kept and none of the others falls free in its time. Slots fall
/// free at a rate of those in lower hands over the mean service time; where
/// that is fast against the tier's slack, nothing has to stand idle.
#[derive(Debug)]
pub(super) struct Headroom {
    /// Largest number of slots that may be kept.
    most: usize,
    /// Slots kept for the top tier, in use or free.
    kept: usize,
    /// How many slots the top tier could have used, sampled over time. One
    /// more than the need, as the histogram has no zero.
    needs: Aged,
    /// Time that the top tier's requests could wait when they came, in
    /// microseconds.
    slack: Mean,
    /// The tier that `needs` and `slack` are about.
    about: Tier,
    /// When each tier asked last.
    asked: BTreeMap<Tier, Instant>,
    /// When `kept` was worked out.
    renewed: Instant,
}

impl Headroom {
    pub(super) fn new(slots: usize, share: f64, now: Instant) -> Self {
        Self {
            most: (slots as f64 * share.clamp(0.0, 1.0)) as usize,
            kept: 0,
            needs: Aged::new(PERIOD, now),
            slack: Mean::default(),
            about: Tier::default(),
            asked: BTreeMap::new(),
            renewed: now,
        }
    }

    /// Notes that a tier asked for a slot and could wait for `slack`.
    pub(super) fn came(&mut self, now: Instant, tier: Tier, slack: Duration) {
        self.asked.insert(tier, now);
        if self.top(now) != Some(tier) {
            return;
        }
        if self.about != tier {
            self.about = tier;
            self.needs = Aged::new(PERIOD, now);
            self.slack = Mean::default();
        }
        self.slack.add(slack.as_secs_f64() * 1e6);
    }

    /// The highest tier that asked lately.
    pub(super) fn top(&self, now: Instant) -> Option<Tier> {
        let lately = |at: &Instant| now.saturating_duration_since(*at) < LATELY;
        let found = self.asked.iter().find(|(_, at)| lately(at));
        found.map(|(tier, _)| *tier)
    }

    /// Samples how many slots the top tier could use, and works the kept
    /// slots out anew now and then. `service` is the mean service time.
    pub(super) fn sample(
        &mut self,
        now: Instant,
        need: usize,
        slots: usize,
        service: Option<Duration>,
    ) {
        self.needs.record(now, need as u64 + 1);
        if now.saturating_duration_since(self.renewed) < RENEW {
            return;
        }
        self.renewed = now;
        self.kept = service.map_or(0, |service| self.enough(now, slots, service));
    }

    /// The smallest number of slots that keeps misses rare enough.
    fn enough(&mut self, now: Instant, slots: usize, service: Duration) -> usize {
        let slack = self.slack.get().unwrap_or(0.0);
        let service = (service.as_secs_f64() * 1e6).max(1.0);
        for kept in 0..self.most {
            let short = self.needs.above(now, kept as u64 + 1);
            let others = (slots - kept) as f64;
            let none_free = (-slack * others / service).exp();
            if short * none_free <= MISS {
                return kept;
            }
        }
        self.most
    }

    /// Slots that a tier must leave free, when the top tier uses `used`.
    pub(super) fn reserve(&self, now: Instant, tier: Tier, used: usize) -> usize {
        match self.top(now) {
            Some(top) if tier > top && top == self.about => self.kept.saturating_sub(used),
            _ => 0,
        }
    }
}
