//! Whether a request can meet its targets with what waits before it.

use std::rc::Rc;
use std::time::{Duration, Instant};

use base::ids::{RequestId, Tier};
use base::reason::Refusal;

use super::Queue;
use super::item::{Ask, Item, Key, Verdict};
use super::ranks::Bucket;
use super::rules::QueuePolicy;

/// Shortest and longest time that a refused request is told to stay away.
const AFTER: (Duration, Duration) = (Duration::from_millis(50), Duration::from_secs(30));

/// What the waiting requests are told when the reason gives no better time.
const AFTER_SHED: Duration = Duration::from_secs(1);

/// A lower tier's class that has asked in vain this long is admitted against
/// the estimate once: an estimate that keeps everyone out is never corrected.
const PROBE: Duration = Duration::from_secs(5);

/// The smallest part of the slots that a tier is taken to have left.
const LEFT_LEAST: f64 = 0.02;

/// Part of the waiting requests that one review looks at again.
const REVIEW_PART: usize = 16;

/// Least and largest number of waiting requests that one review looks at
/// again; at half a microsecond each the largest takes well under 1% of a core
/// at a review every 10 ms.
const REVIEW: (usize, usize) = (16, 128);

impl Queue {
    /// Looks at waiting requests again and takes out those that cannot meet
    /// their targets any more. Call it every few milliseconds; each waiting
    /// request is looked at again within sixteen calls, in a queue of up to
    /// two thousand. Also returns those shed
    /// by [`Self::offer`] since the last call.
    ///
    /// A request that is given up gets its answer now and not at its
    /// deadline, so that its caller has the time left to do something else.
    pub fn review(&mut self, now: Instant) -> Vec<(RequestId, Verdict)> {
        self.sample(now);
        self.expire(now);
        if self.rules.policy == QueuePolicy::Full {
            self.reconsider(now);
        }
        std::mem::take(&mut self.given_up)
    }

    /// Takes out requests that would be late if they started now.
    fn expire(&mut self, now: Instant) {
        while let Some((latest, seq)) = self.by_latest.first().copied() {
            if latest > now {
                return;
            }
            let verdict = self.items.get(&seq).map(|item| late(now, item));
            self.by_latest.pop_first();
            if let Some(verdict) = verdict {
                self.give_up(seq, verdict);
            }
        }
    }

    /// Estimates a part of the waiting requests again, in the order of their
    /// deadlines: one taken out lets those behind it move up.
    fn reconsider(&mut self, now: Instant) {
        let part = (self.items.len() / REVIEW_PART).clamp(REVIEW.0, REVIEW.1);
        let mut left = part.min(self.items.len());
        while left > 0 {
            left -= 1;
            let Some((tier, key)) = self.step() else {
                return;
            };
            let Some(item) = self.items.get(&key.seq) else {
                continue;
            };
            if item.probe {
                continue;
            }
            let (flow, bucket) = (Rc::clone(&item.flow), item.bucket);
            let ask = item.ask.clone();
            if let Some(verdict) = self.verdict(now, &ask, tier, &flow, bucket) {
                self.give_up(key.seq, verdict);
            }
        }
    }

    /// The waiting request after the one looked at last, in the order of
    /// tiers and deadlines, and round again.
    fn step(&mut self) -> Option<(Tier, Key)> {
        let (tier, key) = match self.cursor {
            Some(at) => at,
            None => return self.first_from(Tier(0)),
        };
        let next = self.tiers.get(&tier).and_then(|t| t.after(key));
        let next = match (next, tier.0.checked_add(1)) {
            (Some(key), _) => Some((tier, key)),
            (None, Some(below)) => self.first_in(Tier(below)),
            (None, None) => None,
        };
        match next {
            Some(at) => {
                self.cursor = Some(at);
                Some(at)
            }
            None => self.first_from(Tier(0)),
        }
    }

    fn first_from(&mut self, tier: Tier) -> Option<(Tier, Key)> {
        self.cursor = self.first_in(tier);
        self.cursor
    }

    fn first_in(&self, tier: Tier) -> Option<(Tier, Key)> {
        let mut tiers = self.tiers.range(tier..);
        tiers.find_map(|(t, b)| Some((*t, b.earliest()?)))
    }

    /// Refuses a request that would miss its targets; `None` lets it wait.
    pub(super) fn verdict(
        &mut self,
        now: Instant,
        ask: &Ask,
        tier: Tier,
        flow: &Rc<str>,
        bucket: Bucket,
    ) -> Option<Verdict> {
        let first = self.estimator.first(now, &ask.shape());
        let whole = self.estimator.whole(now, &ask.shape());
        // With no equal or higher request before it the next slot is its own,
        // and one may fall free sooner than estimated; a lower tier's request
        // would then start in the time of one refused for want of a slot.
        let wait = match self.before(now, tier, flow, bucket) {
            0 => None,
            _ => self.wait(now, tier, &ask.class, flow, bucket),
        };
        // Nothing was seen yet: let it wait and watch.
        let wait = wait.unwrap_or(Duration::ZERO);

        let late = |took: Option<Duration>, due: Instant| {
            let end = now + wait + took.unwrap_or(Duration::ZERO);
            end.saturating_duration_since(due)
        };
        let over = late(first, ask.first_due).max(late(whole, ask.whole_due));
        (over > Duration::ZERO).then(|| Verdict {
            reason: Refusal::TargetUnreachable,
            after: over.clamp(AFTER.0, AFTER.1),
        })
    }

    /// How many requests are expected to start before one.
    fn before(&self, now: Instant, tier: Tier, flow: &Rc<str>, bucket: Bucket) -> usize {
        let own = self.tiers.get(&tier);
        let higher = self.tiers.range(..tier).map(|(_, b)| b.len());
        own.map_or(0, |t| t.ahead(now, flow, bucket)) + higher.sum::<usize>()
    }

    /// Estimated time until a request gets a slot; `None` when no service was
    /// seen yet and no slot is free.
    pub(super) fn wait(
        &self,
        now: Instant,
        tier: Tier,
        class: &Rc<str>,
        flow: &Rc<str>,
        bucket: Bucket,
    ) -> Option<Duration> {
        let own = self.tiers.get(&tier);
        let ahead = own.map_or(0, |t| t.ahead(now, flow, bucket));
        let mean = self.mean_service(now);

        // What waits before it, as slot time.
        let higher = self.tiers.range(..tier).map(|(_, b)| b.cost());
        let mut work = higher.sum::<u64>() as f64;
        let free = self.open(now, tier);
        if self.before(now, tier, flow, bucket) < free {
            return Some(Duration::ZERO);
        }
        let mean = mean?;
        let each = own
            .filter(|t| !t.is_empty())
            .map_or(mean, |t| t.cost() as f64 / t.len() as f64);
        work += ahead as f64 * each - free as f64 * each;

        // Higher tiers go on taking their part while it waits.
        let reserve = self.reserve(now, tier);
        let slots = self.slots.total().saturating_sub(reserve).max(1) as f64;
        let above = self.usage.above(now, tier, self.slots.total());
        let left = (1.0 - above).max(LEFT_LEAST);
        let work = work.max(0.0) * self.staying.get();
        let in_turn = (work + mean) / slots / left;

        let us = match self.out_of_turn(tier, class, mean / slots) {
            Some(us) => in_turn.min(us),
            None => in_turn,
        };
        Some(Duration::from_micros(us as u64))
    }

    /// Estimated time in microseconds until a lower tier's request gets a
    /// start by the guaranteed share, if it has one.
    fn out_of_turn(&self, tier: Tier, class: &Rc<str>, interval: f64) -> Option<f64> {
        let top = self.first_waiting().filter(|top| *top < tier)?;
        let share = self.guarantee.share();
        if share <= 0.0 {
            return None;
        }
        let turns = self.guarantee.waiting(tier, class) * self.guarantee.claims(top).max(1);
        let turns = turns as f64 * self.staying.get();
        let missing = 1.0 - self.guarantee.credit() + turns;
        Some((missing / share + 1.0) * interval)
    }

    /// Mean service time in microseconds. Nothing ends at a backend server
    /// that hangs, so what its runs have taken so far counts as well.
    pub(super) fn mean_service(&self, now: Instant) -> Option<f64> {
        let seen = self.estimator.service_us()? as f64;
        let age = self.slots.age(now).as_secs_f64() * 1e6;
        Some(seen.max(age / 2.0))
    }

    /// Whether a class that was kept out by estimates is let in once.
    pub(super) fn probes(&self, now: Instant, tier: Tier, class: &Rc<str>) -> bool {
        let lower = self.headroom.top(now).is_some_and(|top| tier > top);
        let none = self.guarantee.waiting(tier, class) == 0;
        lower && none && self.guarantee.unserved(now, tier, class) >= PROBE
    }

    /// Latest start with which a request's targets can be met.
    pub(super) fn latest(&mut self, now: Instant, ask: &Ask) -> Instant {
        if self.rules.policy != QueuePolicy::Full {
            return ask.first_due;
        }
        let first = self.estimator.first(now, &ask.shape()).unwrap_or_default();
        let whole = self.estimator.whole(now, &ask.shape()).unwrap_or_default();
        let by_first = ask.first_due.checked_sub(first).unwrap_or(now);
        let by_whole = ask.whole_due.checked_sub(whole).unwrap_or(now);
        by_first.min(by_whole)
    }
}

/// What a request is told that was shed.
pub(super) fn shed() -> Verdict {
    Verdict {
        reason: Refusal::Shed,
        after: AFTER_SHED,
    }
}

/// What a request is told whose latest start has passed.
fn late(now: Instant, item: &Item) -> Verdict {
    let expired = item.ask.first_due <= now;
    Verdict {
        reason: match expired {
            true => Refusal::Expired,
            false => Refusal::TargetUnreachable,
        },
        after: AFTER_SHED,
    }
}
