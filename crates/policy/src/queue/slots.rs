//! The slots of a backend server: who holds one and who runs.

use std::cmp::Reverse;
use std::collections::{BTreeMap, HashMap};
use std::rc::Rc;
use std::time::{Duration, Instant};

use base::ids::{RequestId, Tier};

use super::item::QueueRequest;

/// Who holds a slot and who runs. The number of slots in use is the number of
/// entries here, so that no interleaving of calls can leak one.
#[derive(Debug)]
pub(super) struct Slots {
    total: usize,
    held: HashMap<RequestId, SlotHolder>,
    running: HashMap<RequestId, SlotHolder>,
    /// Slots in use by tier.
    tiers: BTreeMap<Tier, usize>,
    /// Sum of the running requests' starts, as time since `epoch`, so that
    /// their mean age needs no walk over them.
    start_sum: Duration,
    epoch: Instant,
}

/// A request that holds a slot or runs.
#[derive(Debug)]
pub(super) struct SlotHolder {
    pub(super) request: QueueRequest,
    /// The tier that it was queued in.
    pub(super) tier: Tier,
    /// The flow that was charged.
    pub(super) flow: Rc<str>,
    /// What the flow was charged.
    pub(super) cost_us: u64,
    /// Whether it was let go before a higher tier.
    pub(super) guaranteed: bool,
    /// When it got the slot, or started.
    pub(super) since: Instant,
    /// When its newest piece came.
    pub(super) last_piece: Option<Instant>,
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
            start_sum: Duration::ZERO,
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
    pub(super) fn used_by_tier(&self, tier: Tier) -> usize {
        self.tiers.get(&tier).copied().unwrap_or(0)
    }

    /// Mean time since the start of those that run.
    pub(super) fn mean_age(&self, now: Instant) -> Duration {
        let Ok(count) = u32::try_from(self.running.len()) else {
            return Duration::ZERO;
        };
        if count == 0 {
            return Duration::ZERO;
        }
        let now = now.saturating_duration_since(self.epoch);
        now.saturating_sub(self.start_sum / count)
    }

    pub(super) fn hold(&mut self, grant: SlotHolder) {
        *self.tiers.entry(grant.tier).or_default() += 1;
        self.held.insert(grant.request.ticket, grant);
    }

    /// Gives the slot of a request back that holds it and has not started.
    pub(super) fn release_held(&mut self, ticket: RequestId) -> Option<SlotHolder> {
        let grant = self.held.remove(&ticket)?;
        self.release_in_tier(grant.tier);
        Some(grant)
    }

    /// Turns a hold into a run.
    pub(super) fn start(&mut self, now: Instant, ticket: RequestId) -> bool {
        let Some(mut grant) = self.held.remove(&ticket) else {
            return false;
        };
        grant.since = now;
        self.start_sum += now.saturating_duration_since(self.epoch);
        self.running.insert(ticket, grant);
        true
    }

    pub(super) fn running_mut(&mut self, ticket: RequestId) -> Option<&mut SlotHolder> {
        self.running.get_mut(&ticket)
    }

    /// Gives the slot of a run back.
    pub(super) fn release_running(&mut self, ticket: RequestId) -> Option<SlotHolder> {
        let grant = self.running.remove(&ticket)?;
        let start = grant.since.saturating_duration_since(self.epoch);
        self.start_sum = self.start_sum.saturating_sub(start);
        self.release_in_tier(grant.tier);
        Some(grant)
    }

    /// Whether a run was told to stop and has not ended.
    pub(super) fn stopping(&self) -> bool {
        self.running.values().any(|g| g.stopping)
    }

    /// The run to stop for a request of tier `above`: of the lowest tier, the
    /// one with the least done. Only one whose caller has seen nothing, which
    /// may run again, and which was not stopped before; so each ends.
    pub(super) fn preemption_victim(&self, above: Tier) -> Option<RequestId> {
        let fit = |g: &&SlotHolder| {
            let fresh = g.request.preemptions == 0 && !g.delivered && !g.stopping;
            g.tier > above && g.request.repeatable && fresh
        };
        let worst = |g: &&SlotHolder| (g.tier, Reverse(g.pieces), g.since, g.request.ticket);
        let found = self.running.values().filter(fit).max_by_key(worst);
        found.map(|g| g.request.ticket)
    }

    fn release_in_tier(&mut self, tier: Tier) {
        if let Some(count) = self.tiers.get_mut(&tier) {
            *count -= 1;
            if *count == 0 {
                self.tiers.remove(&tier);
            }
        }
    }
}
