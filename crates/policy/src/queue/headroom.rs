//! Slots kept free for the top tier.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use base::ids::Tier;

use crate::estimate::averages::MovingAverage;
use crate::estimate::histogram::WindowedHistogram;

/// A tier that asked for nothing this long is not counted as the top one.
const ACTIVE_PERIOD: Duration = Duration::from_secs(10);

/// The need is looked up over the last one to two of these.
const HISTOGRAM_PERIOD: Duration = Duration::from_secs(5);

/// How often the kept slots are worked out anew.
const RESIZE_INTERVAL: Duration = Duration::from_millis(100);

/// Probability that a request of the top tier may find no slot in its time
/// here. Its entry asks at two servers, so that it finds none at both far more
/// rarely; and then a lower-tier run is stopped for it.
const MAX_MISS_RATE: f64 = 0.02;

/// Sizes the slots kept free for the top tier.
///
/// A request of the top tier waits too long only if the tier needs more slots
/// than are kept and none of the others falls free in its time. Slots fall
/// free at a rate of those in lower hands over the mean service time; where
/// that is fast against the tier's slack, nothing has to stand idle.
#[derive(Debug)]
pub(super) struct Headroom {
    /// Largest number of slots that may be kept.
    max_reserved: usize,
    /// Slots kept for the top tier, in use or free.
    reserved_slots: usize,
    /// How many slots the top tier could have used, sampled over time. One
    /// more than the need, as the histogram has no zero.
    demand: WindowedHistogram,
    /// Time that the top tier's requests could wait when they came, in
    /// microseconds.
    slack: MovingAverage,
    /// The tier that `needs` and `slack` are about.
    measured_tier: Tier,
    /// When each tier asked last.
    last_arrival: BTreeMap<Tier, Instant>,
    /// When `kept` was worked out.
    resized_at: Instant,
}

impl Headroom {
    pub(super) fn new(slots: usize, share: f64, now: Instant) -> Self {
        Self {
            max_reserved: (slots as f64 * share.clamp(0.0, 1.0)) as usize,
            reserved_slots: 0,
            demand: WindowedHistogram::new(HISTOGRAM_PERIOD, now),
            slack: MovingAverage::default(),
            measured_tier: Tier::default(),
            last_arrival: BTreeMap::new(),
            resized_at: now,
        }
    }

    /// Notes that a tier asked for a slot and could wait for `slack`.
    pub(super) fn record_arrival(&mut self, now: Instant, tier: Tier, slack: Duration) {
        self.last_arrival.insert(tier, now);
        if self.top_tier(now) != Some(tier) {
            return;
        }
        if self.measured_tier != tier {
            self.measured_tier = tier;
            self.demand = WindowedHistogram::new(HISTOGRAM_PERIOD, now);
            self.slack = MovingAverage::default();
        }
        self.slack.add(slack.as_secs_f64() * 1e6);
    }

    /// The highest tier that asked lately.
    pub(super) fn top_tier(&self, now: Instant) -> Option<Tier> {
        let lately = |at: &Instant| now.saturating_duration_since(*at) < ACTIVE_PERIOD;
        let found = self.last_arrival.iter().find(|(_, at)| lately(at));
        found.map(|(tier, _)| *tier)
    }

    /// Samples how many slots the top tier could use, and works the kept
    /// slots out anew now and then. `service` is the mean service time.
    pub(super) fn sample_demand(
        &mut self,
        now: Instant,
        need: usize,
        slots: usize,
        service: Option<Duration>,
    ) {
        self.demand.record(now, need as u64 + 1);
        if now.saturating_duration_since(self.resized_at) < RESIZE_INTERVAL {
            return;
        }
        self.resized_at = now;
        self.reserved_slots = service.map_or(0, |service| self.required_slots(now, slots, service));
    }

    /// The smallest number of slots that keeps misses rare enough.
    fn required_slots(&mut self, now: Instant, slots: usize, service: Duration) -> usize {
        let slack = self.slack.get().unwrap_or(0.0);
        let service = (service.as_secs_f64() * 1e6).max(1.0);
        for kept in 0..self.max_reserved {
            let short = self.demand.share_above(now, kept as u64 + 1);
            let others = (slots - kept) as f64;
            let none_free = (-slack * others / service).exp();
            if short * none_free <= MAX_MISS_RATE {
                return kept;
            }
        }
        self.max_reserved
    }

    /// Slots that a tier must leave free, when the top tier uses `used`.
    pub(super) fn withheld_slots(&self, now: Instant, tier: Tier, used: usize) -> usize {
        match self.top_tier(now) {
            Some(top) if tier > top && top == self.measured_tier => {
                self.reserved_slots.saturating_sub(used)
            }
            _ => 0,
        }
    }
}
