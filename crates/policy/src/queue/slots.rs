//! The slots of a backend server: who holds one and who runs.

use std::cmp::Reverse;
use std::collections::{BTreeMap, HashMap};
use std::rc::Rc;
use std::time::{Duration, Instant};

use base::ids::{RequestId, Tier};

use super::item::Ask;

/// Who holds a slot and who runs. The number of slots in use is the number of
/// entries here, so that no interleaving of calls can leak one.
#[derive(Debug)]
pub(super) struct Slots {
    total: usize,
    held: HashMap<RequestId, Grant>,
    running: HashMap<RequestId, Grant>,
    /// Slots in use by tier.
    tiers: BTreeMap<Tier, usize>,
    /// Sum of the running requests' starts, as time since `epoch`, so that
    /// their mean age needs no walk over them.
    starts: Duration,
    epoch: Instant,
}

/// A request that holds a slot or runs.
#[derive(Debug)]
pub(super) struct Grant {
    pub(super) ask: Ask,
    /// The tier that it was queued in.
    pub(super) tier: Tier,
    /// The flow that was charged.
    pub(super) flow: Rc<str>,
    /// What the flow was charged.
    pub(super) cost: u64,
    /// Whether it was let go before a higher tier.
    pub(super) guaranteed: bool,
    /// When it got the slot, or started.
    pub(super) since: Instant,
    /// When its newest piece came.
    pub(super) newest: Option<Instant>,
    /// Pieces made.
    pub(super) pieces: u32,
    /// Whether any piece has left the sidecar.
    pub(super) delivered: bool,
    /// Whether it was told to stop for a higher tier.
    pub(super) stopping: bool,
}

impl Slots {
    pub(super) fn new(total: usize, now: Instant) -> Self {
        Self {
            total,
            held: HashMap::new(),
            running: HashMap::new(),
            tiers: BTreeMap::new(),
            starts: Duration::ZERO,
            epoch: now,
        }
    }

    pub(super) fn total(&self) -> usize {
        self.total
    }

    pub(super) fn busy(&self) -> usize {
        self.held.len() + self.running.len()
    }

    pub(super) fn free(&self) -> usize {
        self.total.saturating_sub(self.busy())
    }

    pub(super) fn running(&self) -> usize {
        self.running.len()
    }

    /// Slots in use by one tier.
    pub(super) fn of_tier(&self, tier: Tier) -> usize {
        self.tiers.get(&tier).copied().unwrap_or(0)
    }

    /// Mean time since the start of those that run.
    pub(super) fn age(&self, now: Instant) -> Duration {
        let Ok(count) = u32::try_from(self.running.len()) else {
            return Duration::ZERO;
        };
        if count == 0 {
            return Duration::ZERO;
        }
        let now = now.saturating_duration_since(self.epoch);
        now.saturating_sub(self.starts / count)
    }

    pub(super) fn hold(&mut self, grant: Grant) {
        *self.tiers.entry(grant.tier).or_default() += 1;
        self.held.insert(grant.ask.ticket, grant);
    }

    /// Gives the slot of a request back that holds it and has not started.
    pub(super) fn unhold(&mut self, ticket: RequestId) -> Option<Grant> {
        let grant = self.held.remove(&ticket)?;
        self.vacate(grant.tier);
        Some(grant)
    }

    /// Turns a hold into a run.
    pub(super) fn start(&mut self, now: Instant, ticket: RequestId) -> bool {
        let Some(mut grant) = self.held.remove(&ticket) else {
            return false;
        };
        grant.since = now;
        self.starts += now.saturating_duration_since(self.epoch);
        self.running.insert(ticket, grant);
        true
    }

    pub(super) fn run(&mut self, ticket: RequestId) -> Option<&mut Grant> {
        self.running.get_mut(&ticket)
    }

    /// Gives the slot of a run back.
    pub(super) fn end(&mut self, ticket: RequestId) -> Option<Grant> {
        let grant = self.running.remove(&ticket)?;
        let start = grant.since.saturating_duration_since(self.epoch);
        self.starts = self.starts.saturating_sub(start);
        self.vacate(grant.tier);
        Some(grant)
    }

    /// Whether a run was told to stop and has not ended.
    pub(super) fn stopping(&self) -> bool {
        self.running.values().any(|g| g.stopping)
    }

    /// The run to stop for a request of tier `above`: of the lowest tier, the
    /// one with the least done. Only one whose caller has seen nothing, which
    /// may run again, and which was not stopped before; so each ends.
    pub(super) fn victim(&self, above: Tier) -> Option<RequestId> {
        let fit = |g: &&Grant| {
            let fresh = g.ask.preempted == 0 && !g.delivered && !g.stopping;
            g.tier > above && g.ask.repeatable && fresh
        };
        let worst = |g: &&Grant| (g.tier, Reverse(g.pieces), g.since, g.ask.ticket);
        let found = self.running.values().filter(fit).max_by_key(worst);
        found.map(|g| g.ask.ticket)
    }

    fn vacate(&mut self, tier: Tier) {
        if let Some(count) = self.tiers.get_mut(&tier) {
            *count -= 1;
            if *count == 0 {
                self.tiers.remove(&tier);
            }
        }
    }
}
