//! The share of starts that lower tiers get while higher ones wait.

use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::time::{Duration, Instant};

use base::ids::Tier;

/// Classes that wait for nothing are forgotten after this time.
const CLASS_EXPIRY: Duration = Duration::from_secs(60);

/// With more classes than this the forgotten ones are taken out.
const CLEANUP_THRESHOLD: usize = 32;

/// A start is due when the credit has come to a whole one, but for rounding.
const FULL_CREDIT: f64 = 1.0 - 1e-9;

/// Counts the share of starts due to lower tiers and whose turn it is.
///
/// Each start earns the share; a whole credit buys one start out of order. It
/// never grows beyond one, so that a higher tier is passed over once at the
/// most before it gets starts again.
#[derive(Debug)]
pub(super) struct Guarantee {
    /// What each start earns.
    share: f64,
    /// What was earned and not spent.
    credit: f64,
    /// Classes by tier and name.
    classes: BTreeMap<(Tier, Rc<str>), ClassState>,
}

/// One class's claim.
#[derive(Debug)]
struct ClassState {
    /// Since when requests came and none started.
    unserved_since: Instant,
    /// Whether any came since one started.
    unserved: bool,
    /// When one came or started last.
    seen: Instant,
    /// Waiting requests, in the order in which they came.
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

    /// What was earned and not spent, up to 1.
    pub(super) fn credit(&self) -> f64 {
        self.credit
    }

    /// Notes that a request of a class came, whether or not it is queued.
    pub(super) fn record_arrival(&mut self, now: Instant, tier: Tier, class: &Rc<str>) {
        if self.classes.len() > CLEANUP_THRESHOLD {
            let lately = |c: &ClassState| now.saturating_duration_since(c.seen) < CLASS_EXPIRY;
            self.classes
                .retain(|_, c| !c.waiting.is_empty() || lately(c));
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

    /// How long a class has asked in vain.
    pub(super) fn unserved(&self, now: Instant, tier: Tier, class: &Rc<str>) -> Duration {
        let found = self.classes.get(&(tier, Rc::clone(class)));
        let found = found.filter(|c| c.unserved);
        found.map_or(Duration::ZERO, |c| {
            now.saturating_duration_since(c.unserved_since)
        })
    }

    /// How many requests of a class wait.
    pub(super) fn waiting(&self, tier: Tier, class: &Rc<str>) -> usize {
        let found = self.classes.get(&(tier, Rc::clone(class)));
        found.map_or(0, |c| c.waiting.len())
    }

    /// How many classes below `top` wait.
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

    /// The request that starts out of order now, if one is due: the oldest of
    /// the class below `top` that has gone without a start longest. By class
    /// and not by request, or a class with long targets, whose requests can
    /// wait long, would take every turn of one with short targets.
    pub(super) fn next_out_of_turn(&self, top: Tier) -> Option<u64> {
        if self.credit < FULL_CREDIT {
            return None;
        }
        let below = self.classes.iter().filter(|((tier, _), _)| *tier > top);
        let waiting = below.filter(|(_, c)| !c.waiting.is_empty());
        let (_, class) = waiting.min_by_key(|(_, c)| c.unserved_since)?;
        class.waiting.first().copied()
    }

    /// Notes a start of a class.
    pub(super) fn record_start(&mut self, now: Instant, tier: Tier, class: &Rc<str>) {
        if let Some(class) = self.classes.get_mut(&(tier, Rc::clone(class))) {
            class.unserved_since = now;
            class.seen = now;
            class.unserved = !class.waiting.is_empty();
        }
    }

    /// Earns the share of one start.
    pub(super) fn earn(&mut self) {
        self.credit = (self.credit + self.share).min(1.0);
    }

    /// Takes back what was earned by a start that did not happen.
    pub(super) fn unearn(&mut self) {
        self.credit = (self.credit - self.share).max(0.0);
    }

    /// Spends a whole credit.
    pub(super) fn spend(&mut self) {
        self.credit = (self.credit - 1.0).max(0.0);
    }

    /// Gives back a credit that was spent on a start that did not happen, but
    /// for one start's share: the higher tier has waited for the hold already
    /// and gets a start before it is passed over again.
    pub(super) fn unspend(&mut self) {
        self.credit = (self.credit + 1.0).min(1.0 - self.share);
    }
}
