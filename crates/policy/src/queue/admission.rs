//! Whether a request can meet its targets with what waits before it.

use std::rc::Rc;
use std::time::{Duration, Instant};

use base::ids::{RequestId, Tier};
use base::reason::Refusal;

use super::Queue;
use super::deadline_counts::Bucket;
use super::item::{DeadlineKey, QueueRequest, QueuedRequest, Rejection};
use super::settings::QueuePolicy;

/// Shortest and longest time that a refused request is told to stay away.
const RETRY_AFTER_RANGE: (Duration, Duration) =
    (Duration::from_millis(50), Duration::from_secs(30));

/// What the waiting requests are told when the reason gives no better time.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_secs(1);

/// A lower tier's class that has asked in vain this long is admitted against
/// the estimate once: an estimate that keeps everyone out is never corrected.
const PROBE_AFTER: Duration = Duration::from_secs(5);

/// The smallest part of the slots that a tier is taken to have left.
const MIN_CAPACITY_LEFT: f64 = 0.02;

/// Part of the waiting requests that one review looks at again.
const REVIEW_DIVISOR: usize = 16;

/// Least and largest number of waiting requests that one review looks at
/// again; at half a microsecond each the largest takes well under 1% of a core
/// at a review every 10 ms.
const REVIEW_RANGE: (usize, usize) = (16, 128);

impl Queue {
    /// Looks at waiting requests again and takes out those that cannot meet
    /// their targets any more. Call it every few milliseconds; each waiting
    /// request is looked at again within sixteen calls, in a queue of up to
    /// two thousand. Also returns those shed
    /// by [`Self::offer`] since the last call.
    ///
    /// A request that is given up gets its answer now and not at its
    /// deadline, so that its caller has the time left to do something else.
    pub fn review(&mut self, now: Instant) -> Vec<(RequestId, Rejection)> {
        self.sample_demand(now);
        self.evict_expired(now);
        if self.settings.policy == QueuePolicy::Full {
            self.review_part(now);
        }
        std::mem::take(&mut self.evicted)
    }

    /// Takes out requests that would be late if they started now.
    fn evict_expired(&mut self, now: Instant) {
        while let Some((latest, seq)) = self.by_latest.first().copied() {
            if latest > now {
                return;
            }
            let verdict = self
                .requests
                .get(&seq)
                .map(|item| late_rejection(now, item));
            self.by_latest.pop_first();
            if let Some(verdict) = verdict {
                self.evict(seq, verdict);
            }
        }
    }

    /// Estimates a part of the waiting requests again, in the order of their
    /// deadlines: one taken out lets those behind it move up.
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
            let ask = item.request.clone();
            if let Some(verdict) = self.predicted_miss(now, &ask, tier, &flow, bucket) {
                self.evict(key.seq, verdict);
            }
        }
    }

    /// The waiting request after the one looked at last, in the order of
    /// tiers and deadlines, and round again.
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

    /// Refuses a request that would miss its targets; `None` lets it wait.
    pub(super) fn predicted_miss(
        &mut self,
        now: Instant,
        ask: &QueueRequest,
        tier: Tier,
        flow: &Rc<str>,
        bucket: Bucket,
    ) -> Option<Rejection> {
        let first = self.estimator.first_bound(now, &ask.cost_factors());
        let whole = self.estimator.service_bound(now, &ask.cost_factors());
        // With no equal or higher request before it the next slot is its own,
        // and one may fall free sooner than estimated; a lower tier's request
        // would then start in the time of one refused for want of a slot.
        let wait = match self.requests_ahead(now, tier, flow, bucket) {
            0 => None,
            _ => self.slot_wait(now, tier, &ask.class, flow, bucket),
        };
        // Nothing was seen yet: let it wait and watch.
        let wait = wait.unwrap_or(Duration::ZERO);

        let late = |took: Option<Duration>, due: Instant| {
            let end = now + wait + took.unwrap_or(Duration::ZERO);
            end.saturating_duration_since(due)
        };
        let over = late(first, ask.first_deadline).max(late(whole, ask.answer_deadline));
        (over > Duration::ZERO).then(|| Rejection {
            reason: Refusal::TargetUnreachable,
            retry_after: over.clamp(RETRY_AFTER_RANGE.0, RETRY_AFTER_RANGE.1),
        })
    }

    /// How many requests are expected to start before one.
    fn requests_ahead(&self, now: Instant, tier: Tier, flow: &Rc<str>, bucket: Bucket) -> usize {
        let own = self.tiers.get(&tier);
        let higher = self.tiers.range(..tier).map(|(_, b)| b.len());
        own.map_or(0, |t| t.count_ahead(now, flow, bucket)) + higher.sum::<usize>()
    }

    /// Estimated time until a request gets a slot; `None` when no service was
    /// seen yet and no slot is free.
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

        // What waits before it, as slot time.
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

        // Higher tiers go on taking their part while it waits.
        let reserve = self.withheld_slots(now, tier);
        let slots = self.slots.total().saturating_sub(reserve).max(1) as f64;
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

    /// Estimated time in microseconds until a lower tier's request gets a
    /// start by the guaranteed share, if it has one.
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

    /// Mean service time in microseconds. Nothing ends at a backend server
    /// that hangs, so what its runs have taken so far counts as well.
    pub(super) fn mean_service_us(&self, now: Instant) -> Option<f64> {
        let seen = self.estimator.mean_service_us()? as f64;
        let age = self.slots.mean_age(now).as_secs_f64() * 1e6;
        Some(seen.max(age / 2.0))
    }

    /// Whether a class that was kept out by estimates is let in once.
    pub(super) fn should_probe(&self, now: Instant, tier: Tier, class: &Rc<str>) -> bool {
        let lower = self.headroom.top_tier(now).is_some_and(|top| tier > top);
        let none = self.guarantee.waiting(tier, class) == 0;
        lower && none && self.guarantee.unserved(now, tier, class) >= PROBE_AFTER
    }

    /// Latest start with which a request's targets can be met.
    pub(super) fn latest_start(&mut self, now: Instant, ask: &QueueRequest) -> Instant {
        if self.settings.policy != QueuePolicy::Full {
            return ask.first_deadline;
        }
        let first = self
            .estimator
            .first_bound(now, &ask.cost_factors())
            .unwrap_or_default();
        let whole = self
            .estimator
            .service_bound(now, &ask.cost_factors())
            .unwrap_or_default();
        let by_first = ask.first_deadline.checked_sub(first).unwrap_or(now);
        let by_whole = ask.answer_deadline.checked_sub(whole).unwrap_or(now);
        by_first.min(by_whole)
    }
}

/// What a request is told that was shed.
pub(super) fn shed_rejection() -> Rejection {
    Rejection {
        reason: Refusal::Shed,
        retry_after: DEFAULT_RETRY_AFTER,
    }
}

/// What a request is told whose latest start has passed.
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
