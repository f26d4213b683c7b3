//! The slots of a backend server that are held or running.

use std::cmp::Reverse;
use std::collections::{BTreeMap, HashMap};
use std::rc::Rc;
use std::time::{Duration, Instant};

use base::ids::{RequestId, Tier};

use super::item::QueueRequest;

/// Requests that hold a slot or run. The number of slots in use is the number
/// of entries here, so no interleaving of calls can leak a slot.
#[derive(Debug)]
pub(super) struct Slots {
    total: usize,
    held: HashMap<RequestId, SlotHolder>,
    running: HashMap<RequestId, SlotHolder>,
    /// Slots in use by tier.
    tiers: BTreeMap<Tier, usize>,
    /// Sum of the running requests' start times, each relative to `epoch`, so
    /// that their mean age is computed without iterating.
    start_sum: Duration,
    epoch: Instant,
}

/// A request that holds a slot or runs.
#[derive(Debug)]
pub(super) struct SlotHolder {
    pub(super) request: QueueRequest,
    /// The tier that it was queued in.
    pub(super) tier: Tier,
    /// The flow (workspace) that was charged for the slot.
    pub(super) flow: Rc<str>,
    /// Slot time that the flow was charged, in microseconds.
    pub(super) cost_us: u64,
    /// Whether the guaranteed share put it ahead of a higher tier.
    pub(super) guaranteed: bool,
    /// When it got the slot; once running, when it started.
    pub(super) since: Instant,
    /// When its latest piece was produced.
    pub(super) last_piece: Option<Instant>,
    /// Number of pieces produced.
    pub(super) pieces: u32,
    /// Whether any piece has left the sidecar.
    pub(super) delivered: bool,
    /// Whether it was chosen for preemption.
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

    /// Number of slots that a tier uses.
    pub(super) fn used_by_tier(&self, tier: Tier) -> usize {
        self.tiers.get(&tier).copied().unwrap_or(0)
    }

    /// Mean time since the start of the running requests.
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

    pub(super) fn hold(&mut self, holder: SlotHolder) {
        *self.tiers.entry(holder.tier).or_default() += 1;
        self.held.insert(holder.request.ticket, holder);
    }

    /// Frees the slot of a request that holds one and has not started.
    pub(super) fn release_held(&mut self, ticket: RequestId) -> Option<SlotHolder> {
        let holder = self.held.remove(&ticket)?;
        self.release_in_tier(holder.tier);
        Some(holder)
    }

    /// Starts a request that holds a slot; false if it holds none.
    pub(super) fn start(&mut self, now: Instant, ticket: RequestId) -> bool {
        let Some(mut holder) = self.held.remove(&ticket) else {
            return false;
        };
        holder.since = now;
        self.start_sum += now.saturating_duration_since(self.epoch);
        self.running.insert(ticket, holder);
        true
    }

    pub(super) fn running_mut(&mut self, ticket: RequestId) -> Option<&mut SlotHolder> {
        self.running.get_mut(&ticket)
    }

    /// Frees the slot of a run.
    pub(super) fn release_running(&mut self, ticket: RequestId) -> Option<SlotHolder> {
        let holder = self.running.remove(&ticket)?;
        let start = holder.since.saturating_duration_since(self.epoch);
        self.start_sum = self.start_sum.saturating_sub(start);
        self.release_in_tier(holder.tier);
        Some(holder)
    }

    /// Whether a preempted run has not ended yet.
    pub(super) fn stopping(&self) -> bool {
        self.running.values().any(|g| g.stopping)
    }

    /// The run to preempt for a request of tier `above`: in the lowest tier,
    /// the one with the fewest pieces. Only runs that are repeatable, of which
    /// the caller has seen nothing and which were never preempted qualify, so
    /// every request eventually finishes.
    pub(super) fn preemption_victim(&self, above: Tier) -> Option<RequestId> {
        let eligible = |g: &&SlotHolder| {
            let unaffected = g.request.preemptions == 0 && !g.delivered && !g.stopping;
            g.tier > above && g.request.repeatable && unaffected
        };
        let preference = |g: &&SlotHolder| (g.tier, Reverse(g.pieces), g.since, g.request.ticket);
        let found = self
            .running
            .values()
            .filter(eligible)
            .max_by_key(preference);
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
