//! Fair shares of services without engines, by approximate fair dropping.
//!
//! Load pattern: for three seconds 450 calls a second arrive for three servers
//! that complete 300, while two workspaces send 6 times their usual rate. Each
//! server rejects what arrives beyond its queue, whoever sent it. While servers
//! reject calls, each entry therefore refuses calls of workspaces above their
//! fair rate before it sends them, with the probability at which the workspace
//! keeps its fair rate.
//!
//! Rates are those of all entries: each adds its own to its load report
//! (`peer_load`). Any subset of entries gives about the same result, since own
//! rate and fair rate are of the same entries; so a lost report changes little.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use super::{MAX_WORKSPACES, fair_rate};

/// Half-life of counted calls: a flood is known within a second, and a workspace
/// with 10 calls a second is known to within a fifth.
const HALF_LIFE: Duration = Duration::from_secs(1);

/// How long after a rejection a service counts as rejecting.
const REJECTING_TIME: Duration = Duration::from_secs(1);

/// How long after a rejection the rates of a service are reported to other
/// entries. Reports of services with room would only take bandwidth.
const REPORT_TIME: Duration = Duration::from_secs(10);

/// Number of workspaces that are reported separately for each group.
pub const REPORTED_WORKSPACES: usize = 8;

/// Standard deviations by which the counted rate of a workspace must exceed the
/// fair rate.
const DEVIATIONS: f64 = 2.0;

/// Part of the calls that servers take up to which workspaces keep their fair
/// rates. At 1, the queues of the servers stay full, and each burst is rejected
/// whoever sent it.
const USED_PART: f64 = 0.9;

/// Maximum number of groups in a load report, so that it fits one datagram.
const REPORTED_GROUPS: usize = 4;

/// Bounds of the time after which a refused caller may return.
const MIN_RETRY: Duration = Duration::from_millis(200);
const MAX_RETRY: Duration = Duration::from_secs(4);

/// Calls that share a service: those of one tier, since a tier must not lose
/// calls to a lower one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct ShareGroup {
    /// Number of the service.
    pub service: u32,
    /// Tier of the calls; 0 is the highest.
    pub tier: u8,
}

/// Rates of the calls of one group, in calls per second.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct GroupRates {
    /// Calls of the heaviest workspaces, by the short hash of their names.
    pub workspaces: BTreeMap<u32, f64>,
    /// Number of all other workspaces with calls.
    pub other_count: u32,
    /// Calls of all other workspaces together.
    pub other_rate: f64,
    /// Calls that were sent to servers.
    pub sent: f64,
    /// Calls that all tried servers have rejected; above zero only for a service
    /// that has rejected calls within the last second.
    pub rejected: f64,
}

impl GroupRates {
    /// Adds the rates of other entries.
    pub fn add(&mut self, other: &Self) {
        for (workspace, rate) in &other.workspaces {
            *self.workspaces.entry(*workspace).or_default() += rate;
        }
        // Most of the other workspaces send to several entries.
        self.other_count = self.other_count.max(other.other_count);
        self.other_rate += other.other_rate;
        self.sent += other.sent;
        self.rejected += other.rejected;
    }

    /// Subtracts the rates of one of the entries in the sum.
    pub fn subtract(&mut self, other: &Self) {
        let minus = |sum: &mut f64, rate: f64| *sum = (*sum - rate).max(0.0);
        for (workspace, rate) in &other.workspaces {
            if let Some(sum) = self.workspaces.get_mut(workspace) {
                minus(sum, *rate);
            }
        }
        minus(&mut self.other_rate, other.other_rate);
        minus(&mut self.sent, other.sent);
        minus(&mut self.rejected, other.rejected);
    }

    /// Keeps the heaviest workspaces separate and sums the rest.
    fn shorten(&mut self) {
        let mut sorted: Vec<(u32, f64)> = std::mem::take(&mut self.workspaces)
            .into_iter()
            .filter(|(_, rate)| *rate > 0.0)
            .collect();
        sorted.sort_by(|(_, a), (_, b)| b.total_cmp(a));
        let rest = sorted.split_off(sorted.len().min(REPORTED_WORKSPACES));
        self.workspaces = sorted.into_iter().collect();
        self.other_count += u32::try_from(rest.len()).unwrap_or(u32::MAX);
        self.other_rate += rest.iter().map(|(_, rate)| rate).sum::<f64>();
    }

    /// The fair rate of a workspace; infinite if there is room for all.
    fn fair_rate(&self) -> f64 {
        let count = self.other_count;
        let other = self.other_rate / f64::from(count.max(1));
        let others = (0..count.min(MAX_WORKSPACES as u32)).map(|_| other);
        let rates = self.workspaces.values().copied().chain(others).collect();
        fair_rate(rates, (self.sent - self.rejected).max(0.0) * USED_PART)
    }
}

/// The groups of a load report: those with the most calls.
pub(crate) fn reported(groups: Vec<(ShareGroup, GroupRates)>) -> Vec<(ShareGroup, GroupRates)> {
    let mut groups = groups;
    groups.sort_by(|(_, a), (_, b)| b.sent.total_cmp(&a.sent));
    groups.truncate(REPORTED_GROUPS);
    groups.iter_mut().for_each(|(_, rates)| rates.shorten());
    groups
}

/// The rate that a workspace with this counted rate has at least. Without it, 140
/// of 2,838 calls of workspaces with one call a second at each of eight entries
/// were refused by chance; with it, one.
fn least_rate(rate: f64) -> f64 {
    let per_count = std::f64::consts::LN_2 / HALF_LIFE.as_secs_f64();
    // The variance of a decayed count is half of its mean.
    let deviation = (rate / per_count / 2.0).sqrt() * per_count;
    rate - DEVIATIONS * deviation
}

/// Whether a call may be sent.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum ShareDecision {
    /// It may be sent.
    Send,
    /// It is refused because its workspace is above its fair rate.
    Refuse {
        /// Rate of the workspace, in calls per second.
        rate: f64,
        /// Fair rate of a workspace, in calls per second.
        fair: f64,
        /// Time after which its share has room again, if it sends no more.
        after: Duration,
    },
}

/// An exponentially decayed number of calls.
#[derive(Debug, Clone, Copy)]
struct DecayedCount {
    count: f64,
    at: Instant,
}

impl DecayedCount {
    fn new(now: Instant) -> Self {
        Self {
            count: 0.0,
            at: now,
        }
    }

    fn add(&mut self, now: Instant) {
        self.count = self.current(now) + 1.0;
        self.at = now;
    }

    fn current(&self, now: Instant) -> f64 {
        let age = now.saturating_duration_since(self.at);
        self.count * 0.5_f64.powf(age.as_secs_f64() / HALF_LIFE.as_secs_f64())
    }

    /// Calls per second.
    fn rate(&self, now: Instant) -> f64 {
        self.current(now) * std::f64::consts::LN_2 / HALF_LIFE.as_secs_f64()
    }
}

#[derive(Debug)]
struct Group {
    workspaces: BTreeMap<u32, DecayedCount>,
    sent: DecayedCount,
    rejected: DecayedCount,
    last_rejection: Option<Instant>,
    /// Last rejection at any entry.
    contended_at: Option<Instant>,
}

impl Group {
    fn new(now: Instant) -> Self {
        Self {
            workspaces: BTreeMap::new(),
            sent: DecayedCount::new(now),
            rejected: DecayedCount::new(now),
            last_rejection: None,
            contended_at: None,
        }
    }

    fn is_rejecting(&self, now: Instant) -> bool {
        self.last_rejection
            .is_some_and(|at| now < at + REJECTING_TIME)
    }

    fn rates(&self, now: Instant) -> GroupRates {
        let workspaces = self.workspaces.iter();
        GroupRates {
            workspaces: workspaces.map(|(w, c)| (*w, c.rate(now))).collect(),
            other_count: 0,
            other_rate: 0.0,
            sent: self.sent.rate(now),
            rejected: match self.is_rejecting(now) {
                // Rejections that other servers have made good count little, but
                // above zero.
                true => self.rejected.rate(now).max(f64::from(f32::MIN_POSITIVE)),
                false => 0.0,
            },
        }
    }

    fn add_call(&mut self, now: Instant, workspace: u32) {
        if !self.workspaces.contains_key(&workspace) && self.workspaces.len() >= MAX_WORKSPACES {
            let rates = self.workspaces.iter().map(|(w, c)| (c.current(now), *w));
            let least = rates.min_by(|a, b| a.0.total_cmp(&b.0));
            if let Some((_, least)) = least {
                self.workspaces.remove(&least);
            }
        }
        let count = self.workspaces.entry(workspace);
        count.or_insert_with(|| DecayedCount::new(now)).add(now);
    }
}

/// Rates of the workspaces' calls to services, as known to one entry.
#[derive(Debug, Default)]
pub struct WorkspaceRates {
    own: BTreeMap<ShareGroup, Group>,
    /// Rates at all other entries, from their load reports.
    remote: BTreeMap<ShareGroup, GroupRates>,
}

impl WorkspaceRates {
    /// Counts a call of a workspace and decides whether it may be sent.
    /// `random` is a uniform random number between 0 and 1.
    pub fn decide(
        &mut self,
        now: Instant,
        group: ShareGroup,
        workspace: u32,
        random: f64,
    ) -> ShareDecision {
        let own = self.own.entry(group);
        let own = own.or_insert_with(|| Group::new(now));
        own.add_call(now, workspace);
        let remote = self.remote.get(&group);
        let remote_rejects = remote.is_some_and(|r| r.rejected > 0.0);
        if !own.is_rejecting(now) && !remote_rejects {
            own.sent.add(now);
            return ShareDecision::Send;
        }
        let mut rates = own.rates(now);
        if let Some(remote) = remote {
            rates.add(remote);
        }
        let rate = rates.workspaces.get(&workspace).copied().unwrap_or(0.0);
        let fair = rates.fair_rate();
        if least_rate(rate) <= fair || random >= 1.0 - fair / rate {
            own.sent.add(now);
            return ShareDecision::Send;
        }
        let excess = (rate / fair.max(f64::MIN_POSITIVE)).log2();
        let after = Duration::try_from_secs_f64(excess * HALF_LIFE.as_secs_f64());
        ShareDecision::Refuse {
            rate,
            fair,
            after: after.unwrap_or(MAX_RETRY).clamp(MIN_RETRY, MAX_RETRY),
        }
    }

    /// Notes that a server has rejected a call of the group.
    pub fn record_rejection(&mut self, now: Instant, group: ShareGroup) {
        let own = self.own.entry(group).or_insert_with(|| Group::new(now));
        own.last_rejection = Some(now);
        own.contended_at = Some(now);
    }

    /// Notes that a call of the group has ended without a server that took it.
    pub fn record_rejected_call(&mut self, now: Instant, group: ShareGroup) {
        let own = self.own.entry(group).or_insert_with(|| Group::new(now));
        own.rejected.add(now);
    }

    /// Sets the rates at all other entries.
    pub fn set_remote(&mut self, now: Instant, remote: BTreeMap<ShareGroup, GroupRates>) {
        for (group, rates) in &remote {
            if rates.rejected > 0.0 {
                let own = self.own.entry(*group).or_insert_with(|| Group::new(now));
                own.contended_at = Some(now);
            }
        }
        self.remote = remote;
    }

    /// This entry's rates for its load report: of the groups that were rejected
    /// calls recently, at any entry. Forgets groups without calls.
    pub fn own_rates(&mut self, now: Instant) -> Vec<(ShareGroup, GroupRates)> {
        let recent = |at: Option<Instant>| at.is_some_and(|at| now < at + REPORT_TIME);
        let used = |g: &Group| recent(g.contended_at) || recent(Some(g.sent.at));
        self.own.retain(|_, group| used(group));
        let contended = self.own.iter().filter(|(_, g)| recent(g.contended_at));
        reported(contended.map(|(g, own)| (*g, own.rates(now))).collect())
    }

    /// Number of workspaces that are counted.
    #[must_use]
    pub fn len(&self) -> usize {
        self.own.values().map(|group| group.workspaces.len()).sum()
    }

    /// Whether no workspace is counted.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}
