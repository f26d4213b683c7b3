//! The waiting requests of one tier.

use std::collections::{BTreeSet, HashMap};
use std::ops::Bound;
use std::rc::Rc;
use std::time::Instant;

use super::deadline_counts::{Bucket, DeadlineCounts};
use super::item::{DeadlineKey, QueuedRequest};

/// How far, in microseconds of slot time at weight 1, a workspace may run
/// ahead of its fair share because its deadlines are near.
pub(super) const MAX_LEAD_US: u64 = 1_000_000;

/// The waiting requests of one tier: fair between workspaces by start-time
/// fair queueing, and earliest deadline first within a workspace.
///
/// Each workspace has a tag: the slot time given to it so far, over its
/// weight. The smallest tag goes next. A workspace that comes anew starts at
/// the tier's virtual time, so that it neither saves up for time in which it
/// asked for nothing nor owes any.
#[derive(Debug)]
pub(super) struct Backlog {
    /// Workspaces by name: those that wait, and those ahead of their share.
    flows: HashMap<Rc<str>, Flow>,
    /// Workspaces that wait, by tag.
    by_tag: BTreeSet<(u64, Rc<str>)>,
    /// Workspaces that do not wait but are ahead of their share, by tag.
    idle_by_tag: BTreeSet<(u64, Rc<str>)>,
    /// All requests by deadline.
    by_deadline: BTreeSet<DeadlineKey>,
    /// The tag of the workspace that was picked last for its share.
    virtual_time: u64,
    /// Sum of the weights of workspaces that wait.
    total_weight: u64,
    /// Sum of the slot time that waiting requests are expected to take.
    total_cost: u64,
    /// Counts of deadlines.
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

    /// Slot time that the waiting requests are expected to take.
    pub(super) fn total_cost(&self) -> u64 {
        self.total_cost
    }

    /// The bucket in which a deadline counts.
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

    /// Takes a request out that does not start.
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

    /// Takes a request out that starts, and charges its workspace.
    pub(super) fn dequeue(&mut self, item: &QueuedRequest) {
        // The virtual time follows the smallest tag; a start out of turn must
        // not move it, or those passed over would lose their claim.
        if let Some((tag, _)) = self.by_tag.first() {
            self.virtual_time = self.virtual_time.max(*tag);
        }
        if let Some(flow) = self.flows.get_mut(&item.flow) {
            self.by_tag.remove(&(flow.tag, Rc::clone(&item.flow)));
            flow.tag += charge(item.cost_us, flow.weight);
            self.by_tag.insert((flow.tag, Rc::clone(&item.flow)));
        }
        self.remove(item);
        self.forget_idle();
    }

    /// Gives a workspace back what a start was charged that did not happen.
    pub(super) fn refund(&mut self, name: &Rc<str>, cost: u64) {
        let Some(flow) = self.flows.get_mut(name) else {
            return;
        };
        let order = match flow.waiting.is_empty() {
            true => &mut self.idle_by_tag,
            false => &mut self.by_tag,
        };
        order.remove(&(flow.tag, Rc::clone(name)));
        let back = charge(cost, flow.weight);
        flow.tag = flow.tag.saturating_sub(back).max(self.virtual_time);
        order.insert((flow.tag, Rc::clone(name)));
    }

    /// The request that starts next by the fair share.
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

    /// Whether a workspace may go out of turn for its deadline.
    pub(super) fn may_overtake(&self, name: &Rc<str>) -> bool {
        let ahead = |f: &Flow| f.tag.saturating_sub(self.virtual_time);
        self.flows
            .get(name)
            .is_some_and(|f| ahead(f) <= MAX_LEAD_US / f.weight)
    }

    /// How many of the tier's requests are expected to start before one: no
    /// more than are due before `bucket`, and no more than the fair share lets pass
    /// while its own workspace's earlier ones start.
    pub(super) fn count_ahead(&self, now: Instant, flow: &Rc<str>, bucket: Bucket) -> usize {
        let due = self.deadline_counts.count_before(now, bucket);
        let Some(own) = self.flows.get(flow).filter(|f| !f.waiting.is_empty()) else {
            // A workspace that waits for nothing yet goes after one request
            // of each other one at the most.
            return due.min(self.by_tag.len());
        };
        let share = own.waiting.len() as u64 * self.total_weight / own.weight;
        due.min(usize::try_from(share).unwrap_or(usize::MAX))
    }

    /// Moves a workspace that waits no more to those at rest.
    fn mark_idle(&mut self, name: &Rc<str>) {
        let Some(flow) = self.flows.get(name) else {
            return;
        };
        self.total_weight -= flow.weight;
        self.by_tag.remove(&(flow.tag, Rc::clone(name)));
        self.idle_by_tag.insert((flow.tag, Rc::clone(name)));
        self.forget_idle();
    }

    /// Forgets workspaces at rest that are not ahead of their share any more:
    /// coming back they start where a new one does. That bounds the memory.
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

/// What a start adds to the tag of a workspace.
fn charge(cost: u64, weight: u64) -> u64 {
    (cost.max(1) / weight).max(1)
}
