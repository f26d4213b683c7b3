//! The calls that wait for admission, in order of admission.
//!
//! Each workspace has a lane of its calls in each rank, ordered by due time.
//! Without fair shares all calls of a rank are in one lane.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::ops::Bound;
use std::time::{Duration, Instant};

use super::call::{CallId, GrantRequest};
use crate::shares::ShareAccount;

/// Width of the intervals of due times for which a lane keeps sums. At 10,000
/// queued calls, adding up those ahead of a new one took 40 us without sums.
const BUCKET: Duration = Duration::from_millis(8);

/// Calls at the end of a lane among which one is looked for that may be refused;
/// those that must be admitted are passed over.
const FORCED_PASSED: usize = 16;

/// Position in the queue: the lowest rank goes first, then the earliest due
/// time.
///
/// Load pattern: calls of a lower tier arrive faster than the engine takes
/// them, for some seconds. In a queue ordered by due time only, one in six
/// calls of a higher tier, whose latency targets are a third as long, came
/// late behind them; with this order one in twenty.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct QueueKey {
    /// Rank of the call; 0 is the most urgent.
    pub(super) rank: u8,
    /// Due time, which orders calls of equal rank.
    pub(super) due: Instant,
}

/// A queued call.
#[derive(Debug)]
pub(super) struct QueuedCall {
    /// When it was queued.
    pub(super) since: Instant,
    /// When it has to be admitted so that its first event is in time.
    pub(super) start_by: Instant,
    /// Tokens that it has to read.
    pub(super) tokens: u32,
    /// Its cost, in prefill tokens.
    pub(super) cost: u64,
    pub(super) request: GrantRequest,
}

impl QueuedCall {
    fn deadline(&self) -> Instant {
        self.since + self.request.time_left
    }

    fn work(&self) -> Work {
        Work {
            calls: 1,
            tokens: u64::from(self.tokens),
            cost: self.cost,
        }
    }
}

/// Work of several calls.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(super) struct Work {
    pub(super) calls: u32,
    /// Tokens to read.
    pub(super) tokens: u64,
    /// Cost in prefill tokens.
    pub(super) cost: u64,
}

impl Work {
    fn add(&mut self, other: Self) {
        self.calls += other.calls;
        self.tokens += other.tokens;
        self.cost += other.cost;
    }

    fn subtract(&mut self, other: Self) {
        self.calls -= other.calls;
        self.tokens -= other.tokens;
        self.cost -= other.cost;
    }

    /// The part of the work that has this cost.
    fn part(self, cost: u64) -> Self {
        if cost >= self.cost {
            return self;
        }
        let share = cost as f64 / self.cost as f64;
        Self {
            calls: (f64::from(self.calls) * share).ceil() as u32,
            tokens: (self.tokens as f64 * share) as u64,
            cost,
        }
    }
}

/// The largest call id, as an upper bound for calls with equal keys.
pub(super) const LAST_CALL: CallId = CallId {
    incarnation: u64::MAX,
    number: u32::MAX,
};

/// The smallest call id.
const FIRST_CALL: CallId = CallId {
    incarnation: 0,
    number: 0,
};

/// Calls of one workspace and rank.
#[derive(Debug, Default)]
struct Lane {
    calls: BTreeMap<(Instant, CallId), QueuedCall>,
    total: Work,
    /// Work by the interval of its due time.
    sums: BTreeMap<u32, Work>,
}

/// The queued calls.
#[derive(Debug, Default)]
pub(super) struct WaitQueue {
    lanes: BTreeMap<(u8, u64), Lane>,
    /// The key and the workspace of each call.
    keys: HashMap<CallId, (QueueKey, u64)>,
    /// When callers give up.
    deadlines: BTreeSet<(Instant, CallId)>,
    /// Start of the first interval of due times.
    epoch: Option<Instant>,
}

impl WaitQueue {
    /// The key of a call, if it is queued.
    pub(super) fn key(&self, id: CallId) -> Option<QueueKey> {
        self.keys.get(&id).map(|(key, _)| *key)
    }

    /// Adds a call to the lane of `workspace`.
    pub(super) fn push(&mut self, key: QueueKey, workspace: u64, call: QueuedCall) {
        let id = call.request.id;
        self.epoch.get_or_insert(key.due);
        let bucket = self.bucket(key.due);
        let lane = self.lanes.entry((key.rank, workspace)).or_default();
        lane.total.add(call.work());
        lane.sums.entry(bucket).or_default().add(call.work());
        self.keys.insert(id, (key, workspace));
        self.deadlines.insert((call.deadline(), id));
        lane.calls.insert((key.due, id), call);
    }

    /// The call that is admitted next. Within a rank, the lanes of workspaces
    /// at the lowest level go first, then the earliest due time.
    pub(super) fn first(&self, shares: Option<&ShareAccount>) -> Option<&QueuedCall> {
        let rank = self.lanes.first_key_value()?.0.0;
        let lanes = self.lanes.range((rank, 0)..=(rank, u64::MAX));
        let heads = lanes.filter_map(|((_, workspace), lane)| {
            let (position, call) = lane.calls.first_key_value()?;
            let level = shares.map_or(0, |s| s.level(*workspace, 0));
            Some(((level, *position), call))
        });
        let first = heads.min_by_key(|(position, _)| *position);
        first.map(|(_, call)| call)
    }

    /// All queued calls, in no particular order of admission.
    pub(super) fn iter(&self) -> impl Iterator<Item = &QueuedCall> {
        self.lanes.values().flat_map(|lane| lane.calls.values())
    }

    /// The first `limit` calls in order of admission.
    pub(super) fn ordered(&self, shares: Option<&ShareAccount>, limit: usize) -> Vec<&QueuedCall> {
        let mut ordered = Vec::new();
        let mut lanes = self.lanes.iter().peekable();
        while ordered.len() < limit
            && let Some(((rank, _), _)) = lanes.peek()
        {
            let mut calls = Vec::new();
            while let Some(((_, workspace), lane)) = lanes.next_if(|((r, _), _)| r == rank) {
                let mut ahead = 0;
                for (position, call) in lane.calls.iter().take(limit) {
                    let level = shares.map_or(0, |s| s.level(*workspace, ahead));
                    calls.push(((level, *position), call));
                    ahead += call.cost;
                }
            }
            calls.sort_unstable_by_key(|(position, _)| *position);
            ordered.extend(calls.into_iter().map(|(_, call)| call));
        }
        ordered.truncate(limit);
        ordered
    }

    /// Removes a call that is admitted, refused or cancelled.
    pub(super) fn remove(&mut self, id: CallId) -> Option<QueuedCall> {
        let (key, workspace) = self.keys.remove(&id)?;
        let bucket = self.bucket(key.due);
        let lane = self.lanes.get_mut(&(key.rank, workspace))?;
        let call = lane.calls.remove(&(key.due, id))?;
        lane.total.subtract(call.work());
        if let Some(sum) = lane.sums.get_mut(&bucket) {
            sum.subtract(call.work());
            if sum.calls == 0 {
                lane.sums.remove(&bucket);
            }
        }
        if lane.calls.is_empty() {
            self.lanes.remove(&(key.rank, workspace));
        }
        self.deadlines.remove(&(call.deadline(), id));
        Some(call)
    }

    /// The work that is admitted before the call `id` of `workspace` at `key`;
    /// with [`LAST_CALL`], before a new call.
    pub(super) fn ahead_of(
        &self,
        key: QueueKey,
        id: CallId,
        workspace: u64,
        shares: Option<&ShareAccount>,
    ) -> Work {
        let mut ahead = Work::default();
        let urgent = self.lanes.range(..(key.rank, 0));
        urgent.for_each(|(_, lane)| ahead.add(lane.total));
        let own = self.lanes.get(&(key.rank, workspace));
        let own = own.map_or(Work::default(), |lane| {
            self.before(lane, key.due, id, u64::MAX)
        });
        ahead.add(own);
        let Some(shares) = shares else {
            return ahead;
        };
        let level = shares.level(workspace, own.cost);
        let lanes = self.lanes.range((key.rank, 0)..=(key.rank, u64::MAX));
        for ((_, other), lane) in lanes.filter(|((_, other), _)| *other != workspace) {
            // Calls at a lower level go first, and those at the same level that
            // are due earlier.
            let (below, room) = shares.room(*other, level);
            if room == 0 {
                continue;
            }
            let lower = lane.total.part(below);
            if lower.cost == lane.total.cost {
                ahead.add(lower);
                continue;
            }
            let due = self.before(lane, key.due, id, room).part(room);
            ahead.add(if due.cost > lower.cost { due } else { lower });
        }
        ahead
    }

    /// The work of a workspace's queued calls that are at least as urgent as
    /// `rank`.
    pub(super) fn queued(&self, rank: u8, workspace: u64) -> u64 {
        let lanes = (0..=rank).filter_map(|rank| self.lanes.get(&(rank, workspace)));
        lanes.map(|lane| lane.total.cost).sum()
    }

    /// The lanes of ranks from `rank` on whose workspaces have more queued than
    /// the tolerance, furthest ahead first.
    pub(super) fn lanes_ahead(&self, rank: u8, shares: &ShareAccount) -> Vec<(u8, u64)> {
        let lanes = self.lanes.range((rank, 0)..);
        let mut ahead: Vec<(u64, (u8, u64))> = lanes
            .map(|(key, lane)| (shares.excess(key.1, lane.total.cost), *key))
            .filter(|(excess, _)| *excess > 0)
            .collect();
        ahead.sort_by_key(|(excess, key)| std::cmp::Reverse((*excess, *key)));
        ahead.into_iter().map(|(_, key)| key).collect()
    }

    /// The last call of a lane that may be refused, with its key.
    pub(super) fn last(&self, (rank, workspace): (u8, u64)) -> Option<(QueueKey, &QueuedCall)> {
        let lane = self.lanes.get(&(rank, workspace))?;
        let mut calls = lane.calls.iter().rev().take(FORCED_PASSED);
        let ((due, _), call) = calls.find(|(_, call)| !call.request.forced)?;
        Some((QueueKey { rank, due: *due }, call))
    }

    /// The workspaces with queued calls; some may occur more than once.
    pub(super) fn workspaces(&self) -> impl Iterator<Item = u64> {
        self.lanes.keys().map(|(_, workspace)| *workspace)
    }

    /// Number of lanes of other workspaces.
    pub(super) fn others(&self, workspace: u64) -> usize {
        self.workspaces()
            .filter(|other| *other != workspace)
            .count()
    }

    /// Tokens that all queued calls have to read.
    pub(super) fn tokens(&self) -> u64 {
        self.lanes.values().map(|lane| lane.total.tokens).sum()
    }

    /// Removes the calls whose callers' deadlines have passed.
    pub(super) fn expire(&mut self, now: Instant) {
        while let Some((deadline, id)) = self.deadlines.first().copied() {
            if now < deadline {
                return;
            }
            self.deadlines.remove(&(deadline, id));
            self.remove(id);
        }
        self.epoch = None;
    }

    pub(super) fn is_empty(&self) -> bool {
        self.keys.is_empty()
    }

    pub(super) fn len(&self) -> usize {
        self.keys.len()
    }

    /// The work of a lane before a position; if its cost is `enough` or more,
    /// at least that part of it.
    fn before(&self, lane: &Lane, due: Instant, id: CallId, enough: u64) -> Work {
        let bucket = self.bucket(due);
        let mut work = Work::default();
        for (_, sum) in lane.sums.range(..bucket) {
            work.add(*sum);
            if work.cost >= enough {
                return work;
            }
        }
        let first = match (self.epoch, bucket) {
            (Some(epoch), 1..) => Bound::Included((epoch + BUCKET * bucket, FIRST_CALL)),
            _ => Bound::Unbounded,
        };
        let last = lane.calls.range((first, Bound::Excluded((due, id))));
        last.for_each(|(_, call)| work.add(call.work()));
        work
    }

    /// The interval of a due time; earlier ones than the epoch are in the first.
    fn bucket(&self, due: Instant) -> u32 {
        let epoch = self.epoch.unwrap_or(due);
        let passed = due.saturating_duration_since(epoch).as_millis() / BUCKET.as_millis();
        u32::try_from(passed).unwrap_or(u32::MAX)
    }
}
