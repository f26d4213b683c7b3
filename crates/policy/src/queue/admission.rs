//! Admission control: refuses and evicts requests that cannot meet their
//! targets behind the requests queued ahead of them.

use std::rc::Rc;
use std::time::{Duration, Instant};

use base::ids::{RequestId, Tier};
use base::reason::Refusal;

use super::Queue;
use super::deadline_counts::Bucket;
use super::item::{DeadlineKey, QueueRequest, QueuedRequest, Rejection};
use super::settings::QueuePolicy;

/// Minimum and maximum retry delay for requests that would miss a target.
const RETRY_AFTER_RANGE: (Duration, Duration) =
    (Duration::from_millis(50), Duration::from_secs(30));

/// Retry delay of shed and expired requests, for which no better one is known.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_secs(1);

/// A lower-tier class that has had no start for this long is admitted once
/// despite the estimate: an estimate that keeps every request out is never
/// corrected.
const PROBE_AFTER: Duration = Duration::from_secs(5);

/// Minimum share of the slots assumed to be left to a tier by the tiers above
/// it.
const MIN_CAPACITY_LEFT: f64 = 0.02;

/// One review looks at the number of waiting requests divided by this.
const REVIEW_DIVISOR: usize = 16;

/// Minimum and maximum number of waiting requests in one review. Each costs
/// half a microsecond, so with a review every 10 ms the maximum takes well
/// under 1% of a core.
const REVIEW_RANGE: (usize, usize) = (16, 128);

impl Queue {
    /// Re-estimates waiting requests and evicts those that can no longer meet
    /// their targets. Call it every few milliseconds; each waiting request is
    /// checked within 16 calls, in a queue of up to 2,000. Also returns the
    /// requests shed by [`Self::offer`] since the last call.
    ///
    /// An evicted request is answered at once instead of at its deadline,
    /// which leaves its caller time to try elsewhere.
    pub fn review(&mut self, now: Instant) -> Vec<(RequestId, Rejection)> {
        self.sample_demand(now);
        self.evict_expired(now);
        if self.settings.policy == QueuePolicy::Full {
            self.review_part(now);
        }
        std::mem::take(&mut self.evicted)
    }

    /// Evicts requests that would be late even if they started now.
    fn evict_expired(&mut self, now: Instant) {
        while let Some((latest, seq)) = self.by_latest.first().copied() {
            if latest > now {
                return;
            }
            let rejection = self
                .requests
                .get(&seq)
                .map(|item| late_rejection(now, item));
            self.by_latest.pop_first();
            if let Some(rejection) = rejection {
                self.evict(seq, rejection);
            }
        }
    }

    /// Re-estimates a part of the waiting requests in order of deadline, as
    /// each eviction moves the later ones up.
    fn review_part(&mut self, now: Instant) {
        let part = (self.requests.len() / REVIEW_DIVISOR).clamp(REVIEW_RANGE.0, REVIEW_RANGE.1);
        let mut left = part.min(self.requests.len());
        while left > 0 {
            left -= 1;
            let Some((tier, key)) = self.next_to_review() else {
                return;
            };
            let Some(item) = self.requests.get(&key.seq) else {
                continue;
            };
            if item.probe {
                continue;
            }
            let (flow, bucket) = (Rc::clone(&item.flow), item.bucket);
            let request = item.request.clone();
            if let Some(rejection) = self.predicted_miss(now, &request, tier, &flow, bucket) {
                self.evict(key.seq, rejection);
            }
        }
    }

    /// The waiting request after the last one reviewed, in order of tier and
    /// deadline, wrapping around at the end.
    fn next_to_review(&mut self) -> Option<(Tier, DeadlineKey)> {
        let (tier, key) = match self.review_cursor {
            Some(at) => at,
            None => return self.restart_review(Tier(0)),
        };
        let next = self.tiers.get(&tier).and_then(|t| t.next_after(key));
        let next = match (next, tier.0.checked_add(1)) {
            (Some(key), _) => Some((tier, key)),
            (None, Some(below)) => self.earliest_from_tier(Tier(below)),
            (None, None) => None,
        };
        match next {
            Some(at) => {
                self.review_cursor = Some(at);
                Some(at)
            }
            None => self.restart_review(Tier(0)),
        }
    }

    fn restart_review(&mut self, tier: Tier) -> Option<(Tier, DeadlineKey)> {
        self.review_cursor = self.earliest_from_tier(tier);
        self.review_cursor
    }

    fn earliest_from_tier(&self, tier: Tier) -> Option<(Tier, DeadlineKey)> {
        let mut tiers = self.tiers.range(tier..);
        tiers.find_map(|(t, b)| Some((*t, b.earliest()?)))
    }

    /// The rejection of a request that is predicted to miss a target; `None`
    /// if it may wait.
    pub(super) fn predicted_miss(
        &mut self,
        now: Instant,
        request: &QueueRequest,
        tier: Tier,
        flow: &Rc<str>,
        bucket: Bucket,
    ) -> Option<Rejection> {
        let first = self.estimator.first_bound(now, &request.cost_factors());
        let whole = self.estimator.service_bound(now, &request.cost_factors());
        // With no request of an equal or higher tier ahead it gets the next
        // slot, which may become free sooner than estimated. Refusing it then
        // could let a lower-tier request start in its place.
        let wait = match self.requests_ahead(now, tier, flow, bucket) {
            0 => None,
            _ => self.slot_wait(now, tier, &request.class, flow, bucket),
        };
        // Without measurements the request is admitted.
        let wait = wait.unwrap_or(Duration::ZERO);

        let late = |took: Option<Duration>, due: Instant| {
            let end = now + wait + took.unwrap_or(Duration::ZERO);
            end.saturating_duration_since(due)
        };
        let over = late(first, request.first_deadline).max(late(whole, request.answer_deadline));
        (over > Duration::ZERO).then(|| Rejection {
            reason: Refusal::TargetUnreachable,
            retry_after: over.clamp(RETRY_AFTER_RANGE.0, RETRY_AFTER_RANGE.1),
        })
    }

    /// Number of requests expected to start before a request.
    fn requests_ahead(&self, now: Instant, tier: Tier, flow: &Rc<str>, bucket: Bucket) -> usize {
        let own = self.tiers.get(&tier);
        let higher = self.tiers.range(..tier).map(|(_, b)| b.len());
        own.map_or(0, |t| t.count_ahead(now, flow, bucket)) + higher.sum::<usize>()
    }

    /// Estimated time until a request gets a slot; `None` when no slot is free
    /// and no service time was measured yet.
    pub(super) fn slot_wait(
        &self,
        now: Instant,
        tier: Tier,
        class: &Rc<str>,
        flow: &Rc<str>,
        bucket: Bucket,
    ) -> Option<Duration> {
        let own = self.tiers.get(&tier);
        let ahead = own.map_or(0, |t| t.count_ahead(now, flow, bucket));
        let mean = self.mean_service_us(now);

        // Slot time of the requests ahead.
        let higher = self.tiers.range(..tier).map(|(_, b)| b.total_cost());
        let mut work = higher.sum::<u64>() as f64;
        let free = self.available_slots(now, tier);
        if self.requests_ahead(now, tier, flow, bucket) < free {
            return Some(Duration::ZERO);
        }
        let mean = mean?;
        let each = own
            .filter(|t| !t.is_empty())
            .map_or(mean, |t| t.total_cost() as f64 / t.len() as f64);
        work += ahead as f64 * each - free as f64 * each;

        // Higher tiers keep using their share of the slots while it waits.
        let withheld = self.withheld_slots(now, tier);
        let slots = self.slots.total().saturating_sub(withheld).max(1) as f64;
        let above = self.usage.share_above(now, tier, self.slots.total());
        let left = (1.0 - above).max(MIN_CAPACITY_LEFT);
        let work = work.max(0.0) * self.start_share.get();
        let in_turn = (work + mean) / slots / left;

        let us = match self.guaranteed_wait_us(tier, class, mean / slots) {
            Some(us) => in_turn.min(us),
            None => in_turn,
        };
        Some(Duration::from_micros(us as u64))
    }

    /// Estimated time until the guaranteed share gives a lower tier's request
    /// a start, in microseconds, if it applies.
    fn guaranteed_wait_us(&self, tier: Tier, class: &Rc<str>, interval: f64) -> Option<f64> {
        let top = self.top_waiting_tier().filter(|top| *top < tier)?;
        let share = self.guarantee.share();
        if share <= 0.0 {
            return None;
        }
        let turns =
            self.guarantee.waiting(tier, class) * self.guarantee.waiting_classes(top).max(1);
        let turns = turns as f64 * self.start_share.get();
        let missing = 1.0 - self.guarantee.credit() + turns;
        Some((missing / share + 1.0) * interval)
    }

    /// Mean service time in microseconds. The age of the current runs counts
    /// too, because a hung backend server finishes no requests.
    pub(super) fn mean_service_us(&self, now: Instant) -> Option<f64> {
        let seen = self.estimator.mean_service_us()? as f64;
        let age = self.slots.mean_age(now).as_secs_f64() * 1e6;
        Some(seen.max(age / 2.0))
    }

    /// Whether a request of a class that estimates have kept out is admitted
    /// as a probe.
    pub(super) fn should_probe(&self, now: Instant, tier: Tier, class: &Rc<str>) -> bool {
        let lower = self.headroom.top_tier(now).is_some_and(|top| tier > top);
        let none = self.guarantee.waiting(tier, class) == 0;
        lower && none && self.guarantee.unserved(now, tier, class) >= PROBE_AFTER
    }

    /// Latest start at which a request can still meet its targets.
    pub(super) fn latest_start(&mut self, now: Instant, request: &QueueRequest) -> Instant {
        if self.settings.policy != QueuePolicy::Full {
            return request.first_deadline;
        }
        let first = self
            .estimator
            .first_bound(now, &request.cost_factors())
            .unwrap_or_default();
        let whole = self
            .estimator
            .service_bound(now, &request.cost_factors())
            .unwrap_or_default();
        let by_first = request.first_deadline.checked_sub(first).unwrap_or(now);
        let by_whole = request.answer_deadline.checked_sub(whole).unwrap_or(now);
        by_first.min(by_whole)
    }
}

/// The rejection of a shed request.
pub(super) fn shed_rejection() -> Rejection {
    Rejection {
        reason: Refusal::Shed,
        retry_after: DEFAULT_RETRY_AFTER,
    }
}

/// The rejection of a request whose latest start has passed.
fn late_rejection(now: Instant, item: &QueuedRequest) -> Rejection {
    let expired = item.request.first_deadline <= now;
    Rejection {
        reason: match expired {
            true => Refusal::Expired,
            false => Refusal::TargetUnreachable,
        },
        retry_after: DEFAULT_RETRY_AFTER,
    }
}
