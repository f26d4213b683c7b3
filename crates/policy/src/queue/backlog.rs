//! Fair queueing of the waiting requests of one tier.

use std::collections::{BTreeSet, HashMap};
use std::ops::Bound;
use std::rc::Rc;
use std::time::Instant;

use super::deadline_counts::{Bucket, DeadlineCounts};
use super::item::{DeadlineKey, QueuedRequest};

/// Slot time at weight 1, in microseconds, by which a workspace may run ahead
/// of its fair share because its deadlines are near.
pub(super) const MAX_LEAD_US: u64 = 1_000_000;

/// The waiting requests of one tier: start-time fair queueing between
/// workspaces, earliest deadline first within a workspace.
///
/// Each workspace has a tag: the slot time given to it so far, divided by its
/// weight. The workspace with the smallest tag is next. A workspace that
/// becomes active starts at the tier's virtual time, so that idle time earns
/// it neither credit nor debt.
#[derive(Debug)]
pub(super) struct Backlog {
    /// Workspaces by name: those with waiting requests, and idle ones ahead of
    /// their share.
    flows: HashMap<Rc<str>, Flow>,
    /// Workspaces with waiting requests, ordered by tag.
    by_tag: BTreeSet<(u64, Rc<str>)>,
    /// Idle workspaces that are ahead of their share, ordered by tag.
    idle_by_tag: BTreeSet<(u64, Rc<str>)>,
    /// All waiting requests in order of deadline.
    by_deadline: BTreeSet<DeadlineKey>,
    /// The tag of the workspace last chosen by fair share.
    virtual_time: u64,
    /// Sum of the weights of workspaces with waiting requests.
    total_weight: u64,
    /// Expected slot time of all waiting requests, in microseconds.
    total_cost: u64,
    /// Number of waiting requests by deadline.
    deadline_counts: DeadlineCounts,
}

/// One workspace's waiting requests.
#[derive(Debug)]
struct Flow {
    tag: u64,
    weight: u64,
    waiting: BTreeSet<DeadlineKey>,
}

impl Backlog {
    pub(super) fn new(now: Instant) -> Self {
        Self {
            flows: HashMap::new(),
            by_tag: BTreeSet::new(),
            idle_by_tag: BTreeSet::new(),
            by_deadline: BTreeSet::new(),
            virtual_time: 0,
            total_weight: 0,
            total_cost: 0,
            deadline_counts: DeadlineCounts::new(now),
        }
    }

    pub(super) fn len(&self) -> usize {
        self.by_deadline.len()
    }

    pub(super) fn is_empty(&self) -> bool {
        self.by_deadline.is_empty()
    }

    /// Expected slot time of all waiting requests, in microseconds.
    pub(super) fn total_cost(&self) -> u64 {
        self.total_cost
    }

    /// The bucket in which a deadline is counted.
    pub(super) fn bucket(&self, now: Instant, due: Instant) -> Bucket {
        self.deadline_counts.bucket(now, due)
    }

    /// Queues a request.
    pub(super) fn insert(&mut self, item: &QueuedRequest) {
        self.deadline_counts.add(item.bucket);
        self.by_deadline.insert(item.key);
        self.total_cost += item.cost_us;

        let flow = self.flows.entry(Rc::clone(&item.flow));
        let flow = flow.or_insert_with(|| Flow {
            tag: self.virtual_time,
            weight: 1,
            waiting: BTreeSet::new(),
        });
        let weight = u64::from(item.request.weight.max(1));
        if flow.waiting.is_empty() {
            self.idle_by_tag.remove(&(flow.tag, Rc::clone(&item.flow)));
            flow.tag = flow.tag.max(self.virtual_time);
            self.by_tag.insert((flow.tag, Rc::clone(&item.flow)));
        } else {
            self.total_weight -= flow.weight;
        }
        flow.weight = weight;
        self.total_weight += weight;
        flow.waiting.insert(item.key);
    }

    /// Removes a request that does not start.
    pub(super) fn remove(&mut self, item: &QueuedRequest) {
        self.by_deadline.remove(&item.key);
        self.total_cost -= item.cost_us.min(self.total_cost);
        self.deadline_counts.remove(item.bucket);

        if let Some(flow) = self.flows.get_mut(&item.flow) {
            flow.waiting.remove(&item.key);
            if flow.waiting.is_empty() {
                self.mark_idle(&item.flow);
            }
        }
    }

    /// Removes a request that starts, and charges its workspace.
    pub(super) fn dequeue(&mut self, item: &QueuedRequest) {
        // The virtual time follows the smallest tag. An out-of-order start
        // must not advance it, otherwise the workspaces passed over would lose
        // their turn.
        if let Some((tag, _)) = self.by_tag.first() {
            self.virtual_time = self.virtual_time.max(*tag);
        }
        if let Some(flow) = self.flows.get_mut(&item.flow) {
            self.by_tag.remove(&(flow.tag, Rc::clone(&item.flow)));
            flow.tag += tag_increment(item.cost_us, flow.weight);
            self.by_tag.insert((flow.tag, Rc::clone(&item.flow)));
        }
        self.remove(item);
        self.forget_idle();
    }

    /// Refunds a workspace for a start that did not happen.
    pub(super) fn refund(&mut self, name: &Rc<str>, cost: u64) {
        let Some(flow) = self.flows.get_mut(name) else {
            return;
        };
        let order = match flow.waiting.is_empty() {
            true => &mut self.idle_by_tag,
            false => &mut self.by_tag,
        };
        order.remove(&(flow.tag, Rc::clone(name)));
        let back = tag_increment(cost, flow.weight);
        flow.tag = flow.tag.saturating_sub(back).max(self.virtual_time);
        order.insert((flow.tag, Rc::clone(name)));
    }

    /// The request that is next by fair share.
    pub(super) fn next_by_share(&self) -> Option<DeadlineKey> {
        let (_, name) = self.by_tag.first()?;
        self.flows.get(name)?.waiting.first().copied()
    }

    /// The request with the earliest deadline.
    pub(super) fn earliest(&self) -> Option<DeadlineKey> {
        self.by_deadline.first().copied()
    }

    /// The request with the latest deadline.
    pub(super) fn last(&self) -> Option<DeadlineKey> {
        self.by_deadline.last().copied()
    }

    /// The next request in the order of deadlines after `key`.
    pub(super) fn next_after(&self, key: DeadlineKey) -> Option<DeadlineKey> {
        let range = (Bound::Excluded(key), Bound::Unbounded);
        self.by_deadline.range(range).next().copied()
    }

    /// Whether a workspace may start out of order to meet a deadline.
    pub(super) fn may_overtake(&self, name: &Rc<str>) -> bool {
        let ahead = |f: &Flow| f.tag.saturating_sub(self.virtual_time);
        self.flows
            .get(name)
            .is_some_and(|f| ahead(f) <= MAX_LEAD_US / f.weight)
    }

    /// Number of the tier's requests expected to start before a request: at
    /// most those due before `bucket`, and at most those that fair queueing
    /// starts while the workspace's own earlier requests do.
    pub(super) fn count_ahead(&self, now: Instant, flow: &Rc<str>, bucket: Bucket) -> usize {
        let due = self.deadline_counts.count_before(now, bucket);
        let Some(own) = self.flows.get(flow).filter(|f| !f.waiting.is_empty()) else {
            // A workspace without waiting requests goes after at most one
            // request of each other workspace.
            return due.min(self.by_tag.len());
        };
        let share = own.waiting.len() as u64 * self.total_weight / own.weight;
        due.min(usize::try_from(share).unwrap_or(usize::MAX))
    }

    /// Marks a workspace without waiting requests as idle.
    fn mark_idle(&mut self, name: &Rc<str>) {
        let Some(flow) = self.flows.get(name) else {
            return;
        };
        self.total_weight -= flow.weight;
        self.by_tag.remove(&(flow.tag, Rc::clone(name)));
        self.idle_by_tag.insert((flow.tag, Rc::clone(name)));
        self.forget_idle();
    }

    /// Removes idle workspaces that are no longer ahead of their share, which
    /// bounds the memory: on return they start at the virtual time like a new
    /// one.
    fn forget_idle(&mut self) {
        let all = self.by_deadline.is_empty();
        while let Some((tag, _)) = self.idle_by_tag.first() {
            if !all && *tag > self.virtual_time {
                return;
            }
            if let Some((_, name)) = self.idle_by_tag.pop_first() {
                self.flows.remove(&name);
            }
        }
    }
}

/// The amount that a start adds to its workspace's tag.
fn tag_increment(cost: u64, weight: u64) -> u64 {
    (cost.max(1) / weight).max(1)
}
