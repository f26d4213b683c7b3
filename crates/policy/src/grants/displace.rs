//! Queued calls that are refused when a call goes ahead of them.
//!
//! A call of a workspace within its share goes ahead of queued calls of
//! workspaces above theirs. Those that would now miss their limit are refused
//! at once: later, their callers could not try elsewhere, and their prefill
//! would delay calls that can still be in time.

use std::time::{Duration, Instant};

use super::GrantController;
use super::call::{CallId, GrantRequest};
use super::queue::QueueKey;
use crate::shares::ShareAccount;

/// Lanes of the queue that are checked for late calls, so that a decision takes
/// a bounded time.
const LANES_CHECKED: usize = 32;

impl GrantController {
    /// The queued calls that were refused since the last call of this method,
    /// each with the expected time to its first event.
    pub fn take_displaced(&mut self) -> Vec<(CallId, Duration)> {
        std::mem::take(&mut self.displaced)
    }

    /// The level of a workspace's next call of `rank` above the workspace's
    /// share: 0 while it is within the tolerance or no other workspace waits.
    #[must_use]
    pub fn share_level(&self, workspace: Option<u64>, rank: u8) -> u64 {
        let workspace = workspace.unwrap_or(0);
        let queued = self.queue.queued(rank, workspace);
        match &self.shares {
            Some(shares) if self.queue.others(workspace) > 0 => shares.level(workspace, queued),
            _ => 0,
        }
    }

    /// Takes a workspace's excess over its share of the whole service, in prefill
    /// tokens. Only the comparison in the example `fair_shares` uses it; see
    /// docs/design/fair-shares.md.
    pub fn observe_excess(&mut self, workspace: u64, excess: u64) {
        if let Some(shares) = &mut self.shares {
            shares.observe_excess(workspace, excess);
        }
    }

    /// The lane of the queue in which a call waits. Without fair shares all
    /// calls are in one; so are the calls without a workspace.
    pub(super) fn lane(&self, request: &GrantRequest) -> u64 {
        let shared = self.shares.is_some();
        request.workspace.filter(|_| shared).unwrap_or(0)
    }

    /// The time until the call's workspace is within its share again while the
    /// same workspaces wait; zero if it is, or if no other one waits.
    pub(super) fn share_wait(&self, request: &GrantRequest) -> Duration {
        let Some(shares) = &self.shares else {
            return Duration::ZERO;
        };
        let workspace = self.lane(request);
        let queued = self.queue.queued(request.rank, workspace);
        let excess = shares.excess(workspace, queued) as f64;
        let others = self.queue.others(workspace) as f64;
        Duration::try_from_secs_f64(excess * others * self.timing.pace())
            .unwrap_or(request.time_left)
            .min(request.time_left)
    }

    /// Refuses queued calls of workspaces above their share that would miss
    /// their limit behind the new call of `workspace` at `key`: from the lane
    /// furthest above its share, last call first. Calls of workspaces within
    /// their share and calls that must be admitted keep their place.
    pub(super) fn displace(&mut self, now: Instant, key: QueueKey, workspace: u64) {
        let Some(shares) = &self.shares else {
            return;
        };
        let lanes = self.queue.lanes_ahead(key.rank, shares);
        let lanes = lanes.into_iter().filter(|(_, other)| *other != workspace);
        // If the calls of a lane are in time, so are those of its rank that are
        // less far ahead.
        let mut in_time = Vec::new();
        for lane in lanes.take(LANES_CHECKED) {
            if in_time.contains(&lane.0) {
                continue;
            }
            let before = self.displaced.len();
            while let Some((id, expected)) = self.late_call(now, lane) {
                self.queue.remove(id);
                self.displaced.push((id, expected));
            }
            if self.displaced.len() == before {
                in_time.push(lane.0);
            }
        }
    }

    /// The last call of a lane, if its workspace is above its share and it would
    /// miss its limit.
    fn late_call(&self, now: Instant, lane: (u8, u64)) -> Option<(CallId, Duration)> {
        let (key, call) = self.queue.last(lane)?;
        let (request, id) = (&call.request, call.request.id);
        let before = self.queue.queued(lane.0, lane.1).saturating_sub(call.cost);
        let level = |shares: &ShareAccount| shares.level(lane.1, before);
        if self.shares.as_ref().map_or(0, level) == 0 {
            return None;
        }
        let waited = now.saturating_duration_since(call.since);
        let expected = self.expected_ttft(now, key, id, call.tokens, request);
        let late = waited + expected > request.ttft_limit;
        late.then(|| (id, expected.max(self.share_wait(request))))
    }
}
