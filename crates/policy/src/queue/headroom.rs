//! Slots reserved for the top tier.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use base::ids::Tier;

use crate::estimate::averages::MovingAverage;
use crate::estimate::histogram::WindowedHistogram;

/// A tier without a request for this long does not count as the top tier.
const ACTIVE_PERIOD: Duration = Duration::from_secs(10);

/// The demand is measured over the last one to two of these periods.
const HISTOGRAM_PERIOD: Duration = Duration::from_secs(5);

/// Interval at which the number of reserved slots is recomputed.
const RESIZE_INTERVAL: Duration = Duration::from_millis(100);

/// Accepted probability that a top-tier request finds no slot in time at this
/// server. Its entry asks two servers, so it rarely finds none at both; if it
/// does, a lower-tier run is preempted for it.
const MAX_MISS_RATE: f64 = 0.02;

/// Sizes the slots reserved for the top tier.
///
/// A top-tier request waits too long only if the tier needs more slots than
/// are reserved and no other slot becomes free in time. The other slots become
/// free at a rate of their number over the mean service time; where that is
/// fast compared with the tier's slack, no slot has to stay idle.
#[derive(Debug)]
pub(super) struct Headroom {
    /// Maximum number of reserved slots.
    max_reserved: usize,
    /// Slots reserved for the top tier, including those that it uses.
    reserved_slots: usize,
    /// Samples of the number of slots that the top tier could have used. Each
    /// is stored plus 1, as the histogram cannot hold 0.
    demand: WindowedHistogram,
    /// Moving average of the time that the top tier's requests could wait on
    /// arrival, in microseconds.
    slack: MovingAverage,
    /// The tier that `demand` and `slack` were measured for.
    measured_tier: Tier,
    /// Time of each tier's last request.
    last_arrival: BTreeMap<Tier, Instant>,
    /// When `reserved_slots` was last computed.
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

    /// Records a request of a tier that could wait for `slack`.
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

    /// The highest tier with a recent request.
    pub(super) fn top_tier(&self, now: Instant) -> Option<Tier> {
        let recent = |at: &Instant| now.saturating_duration_since(*at) < ACTIVE_PERIOD;
        let found = self.last_arrival.iter().find(|(_, at)| recent(at));
        found.map(|(tier, _)| *tier)
    }

    /// Records how many slots the top tier could use (`need`), and recomputes
    /// the reserved slots at intervals. `service` is the mean service time.
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

    /// The smallest number of reserved slots that keeps the miss probability
    /// within [`MAX_MISS_RATE`].
    fn required_slots(&mut self, now: Instant, slots: usize, service: Duration) -> usize {
        let slack = self.slack.get().unwrap_or(0.0);
        let service = (service.as_secs_f64() * 1e6).max(1.0);
        for reserved in 0..self.max_reserved {
            let demand_above = self.demand.share_above(now, reserved as u64 + 1);
            let others = (slots - reserved) as f64;
            let none_free = (-slack * others / service).exp();
            if demand_above * none_free <= MAX_MISS_RATE {
                return reserved;
            }
        }
        self.max_reserved
    }

    /// Number of free slots that `tier` must leave to the top tier, which uses
    /// `used` slots.
    pub(super) fn withheld_slots(&self, now: Instant, tier: Tier, used: usize) -> usize {
        match self.top_tier(now) {
            Some(top) if tier > top && top == self.measured_tier => {
                self.reserved_slots.saturating_sub(used)
            }
            _ => 0,
        }
    }
}
