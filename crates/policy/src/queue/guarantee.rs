//! The share of starts guaranteed to lower tiers while higher ones wait.

use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::time::{Duration, Instant};

use base::ids::Tier;

/// Classes with no waiting requests are removed after this time without an
/// arrival or start.
const CLASS_EXPIRY: Duration = Duration::from_secs(60);

/// Number of classes above which unused ones are removed.
const CLEANUP_THRESHOLD: usize = 32;

/// Credit at which a start is due: 1, less a margin for rounding errors.
const FULL_CREDIT: f64 = 1.0 - 1e-9;

/// Tracks the credit of the lower tiers and which class gets the next start.
/// Every regular start earns `share`; a full credit buys one start out of
/// order. The credit is capped at 1, so a higher tier is passed over at most
/// once before it gets starts again.
///
#[derive(Debug)]
pub(super) struct Guarantee {
    /// Credit earned by each regular start.
    share: f64,
    /// Credit earned and not spent.
    credit: f64,
    /// Classes by tier and name.
    classes: BTreeMap<(Tier, Rc<str>), ClassState>,
}

/// The state of one class.
#[derive(Debug)]
struct ClassState {
    /// Time of the first arrival since the last start.
    unserved_since: Instant,
    /// Whether a request arrived since the last start.
    unserved: bool,
    /// Time of the last arrival or start.
    seen: Instant,
    /// Sequence numbers of waiting requests, in order of arrival.
    waiting: BTreeSet<u64>,
}

impl Guarantee {
    pub(super) fn new(share: f64) -> Self {
        Self {
            share: share.clamp(0.0, 0.5),
            credit: 0.0,
            classes: BTreeMap::new(),
        }
    }

    pub(super) fn set_share(&mut self, share: f64) {
        self.share = share.clamp(0.0, 0.5);
    }

    pub(super) fn share(&self) -> f64 {
        self.share
    }

    /// Credit earned and not spent, at most 1.
    pub(super) fn credit(&self) -> f64 {
        self.credit
    }

    /// Records the arrival of a request, whether or not it is queued.
    pub(super) fn record_arrival(&mut self, now: Instant, tier: Tier, class: &Rc<str>) {
        if self.classes.len() > CLEANUP_THRESHOLD {
            let recent = |c: &ClassState| now.saturating_duration_since(c.seen) < CLASS_EXPIRY;
            self.classes
                .retain(|_, c| !c.waiting.is_empty() || recent(c));
        }
        let entry = self.classes.entry((tier, Rc::clone(class)));
        let class = entry.or_insert_with(|| ClassState {
            unserved_since: now,
            unserved: false,
            seen: now,
            waiting: BTreeSet::new(),
        });
        if !class.unserved {
            class.unserved = true;
            class.unserved_since = now;
        }
        class.seen = now;
    }

    /// Time for which a class has had arrivals but no start.
    pub(super) fn unserved(&self, now: Instant, tier: Tier, class: &Rc<str>) -> Duration {
        let found = self.classes.get(&(tier, Rc::clone(class)));
        let found = found.filter(|c| c.unserved);
        found.map_or(Duration::ZERO, |c| {
            now.saturating_duration_since(c.unserved_since)
        })
    }

    /// Number of waiting requests of a class.
    pub(super) fn waiting(&self, tier: Tier, class: &Rc<str>) -> usize {
        let found = self.classes.get(&(tier, Rc::clone(class)));
        found.map_or(0, |c| c.waiting.len())
    }

    /// Number of classes below tier `top` with waiting requests.
    pub(super) fn waiting_classes(&self, top: Tier) -> usize {
        let below = self.classes.iter().filter(|((tier, _), _)| *tier > top);
        below.filter(|(_, c)| !c.waiting.is_empty()).count()
    }

    pub(super) fn insert(&mut self, tier: Tier, class: &Rc<str>, seq: u64) {
        if let Some(class) = self.classes.get_mut(&(tier, Rc::clone(class))) {
            class.waiting.insert(seq);
        }
    }

    pub(super) fn remove(&mut self, tier: Tier, class: &Rc<str>, seq: u64) {
        if let Some(class) = self.classes.get_mut(&(tier, Rc::clone(class))) {
            class.waiting.remove(&seq);
        }
    }

    /// The request that starts out of order now, if one is due: the oldest
    /// request of the class below `top` that has gone longest without a start.
    /// The choice is by class because a class with long targets, whose
    /// requests can wait long, would otherwise take every turn from a class
    /// with short targets.
    pub(super) fn next_out_of_turn(&self, top: Tier) -> Option<u64> {
        if self.credit < FULL_CREDIT {
            return None;
        }
        let below = self.classes.iter().filter(|((tier, _), _)| *tier > top);
        let waiting = below.filter(|(_, c)| !c.waiting.is_empty());
        let (_, class) = waiting.min_by_key(|(_, c)| c.unserved_since)?;
        class.waiting.first().copied()
    }

    /// Records a start of a class.
    pub(super) fn record_start(&mut self, now: Instant, tier: Tier, class: &Rc<str>) {
        if let Some(class) = self.classes.get_mut(&(tier, Rc::clone(class))) {
            class.unserved_since = now;
            class.seen = now;
            class.unserved = !class.waiting.is_empty();
        }
    }

    /// Adds the credit of one regular start.
    pub(super) fn earn(&mut self) {
        self.credit = (self.credit + self.share).min(1.0);
    }

    /// Takes back the credit of a regular start that did not happen.
    pub(super) fn unearn(&mut self) {
        self.credit = (self.credit - self.share).max(0.0);
    }

    /// Spends a full credit.
    pub(super) fn spend(&mut self) {
        self.credit = (self.credit - 1.0).max(0.0);
    }

    /// Refunds a credit spent on a start that did not happen, capped one
    /// `share` below a full credit: the higher tier has already waited for
    /// that hold and gets a start before it is passed over again.
    pub(super) fn unspend(&mut self) {
        self.credit = (self.credit + 1.0).min(1.0 - self.share);
    }
}
