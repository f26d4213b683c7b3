//! Fair shares of contended servers between workspaces.
//!
//! Load pattern: two dozen workspaces share an engine, and one of them sends 12
//! times its usual rate. In the order of due times, each workspace is served in
//! proportion to what it sends, and the calls of all others are refused along
//! with those of the flood.
//!
//! An engine's sidecar measures the service that each workspace has received in
//! [`ShareAccount`], by start-time fair queueing. A workspace's finish tag grows
//! by the cost of its admitted calls; its next call starts at that tag or at the
//! virtual time, whichever is later, so that a workspace which was idle has no
//! credit. The virtual time follows the smallest tag that is served or waits.
//!
//! - [`rates`]: the shares of services without engines.
//!
//! See docs/design/fair-shares.md.

pub mod rates;

use std::collections::BTreeMap;

/// Cost of a token to prefill, at a weight of 1, in units of the account.
const TOKEN_UNITS: u64 = 1_000;

/// Cost of an output token, in prefill tokens. A stream takes one of 128 slots
/// for 7 ms per token, which is 55 us of the engine; a prefill token takes 14
/// us.
const OUTPUT_TOKEN_COST: u64 = 4;

/// Cost of a slot, in prefill tokens: a call whose prompt is fully cached still
/// takes a slot.
const SLOT_COST: u64 = 1_000;

/// Upper bound of the tokens in the cost of one call. The lengths come from
/// callers; a larger claim would exclude the workspace for minutes.
const CALL_TOKENS_MAX: u64 = 1_000_000;

/// Service by which a workspace may be ahead of the virtual time without any
/// effect, in prefill tokens, and the width of the steps beyond it. It is three
/// long prompts, so that workspaces with a few calls are not reordered.
const STEP_TOKENS: u64 = 8_000;

const STEP_UNITS: u64 = STEP_TOKENS * TOKEN_UNITS;

/// Maximum number of workspaces in the account.
pub const MAX_WORKSPACES: usize = 1_024;

/// The cost of a call with `unread` prompt tokens to prefill and `output`
/// expected output tokens, in prefill tokens.
#[must_use]
pub fn call_cost(unread: u32, output: u32) -> u64 {
    let tokens = u64::from(unread) + OUTPUT_TOKEN_COST * u64::from(output);
    tokens.min(CALL_TOKENS_MAX) + SLOT_COST
}

/// The largest part that one may get if `total` is divided by max-min fairness
/// among those who request `requested`; infinite if there is enough for all.
#[must_use]
pub fn fair_rate(mut requested: Vec<f64>, total: f64) -> f64 {
    requested.sort_by(f64::total_cmp);
    let mut left = total;
    for (n, rate) in requested.iter().enumerate() {
        let part = left / (requested.len() - n) as f64;
        if *rate > part {
            return part.max(0.0);
        }
        left -= rate;
    }
    f64::INFINITY
}

/// The service that workspaces have received at one engine.
#[derive(Debug, Clone, Default)]
pub struct ShareAccount {
    /// Finish tags; one at or before the virtual time means the same as none.
    finish: BTreeMap<u64, u64>,
    virtual_time: u64,
    /// Weights other than 1, in thousandths.
    weights: BTreeMap<u64, u32>,
}

impl ShareAccount {
    /// An account in which the workspaces of `weights`, by the hash of their
    /// names, have weights other than 1, in thousandths. A weight of 0 counts as
    /// one thousandth.
    #[must_use]
    pub fn weighted(weights: BTreeMap<u64, u32>) -> Self {
        Self {
            weights,
            ..Self::default()
        }
    }

    /// Charges an admitted call. `waiting` are the workspaces with waiting
    /// calls; the virtual time does not pass the smallest of their tags.
    pub fn charge(&mut self, workspace: u64, cost: u64, waiting: impl Iterator<Item = u64>) {
        let start = self.start(workspace);
        let least = waiting.map(|w| self.start(w)).min();
        let finish = start.saturating_add(self.units(workspace, cost));
        self.virtual_time = least.map_or(start, |least| least.min(start));
        self.finish.insert(workspace, finish);
        if self.finish.len() > MAX_WORKSPACES {
            self.shrink();
        }
    }

    /// Takes a workspace's excess over its share of the whole service, in prefill
    /// tokens: it is at least as far ahead here.
    pub fn observe_excess(&mut self, workspace: u64, excess: u64) {
        let ahead = self.virtual_time + self.units(workspace, excess.min(CALL_TOKENS_MAX));
        if ahead > self.start(workspace) {
            self.finish.insert(workspace, ahead);
        }
        if self.finish.len() > MAX_WORKSPACES {
            self.shrink();
        }
    }

    /// Ends a period in which calls waited or were read: with nothing to share,
    /// nobody has received more than its share.
    pub fn reset(&mut self) {
        let last = self.finish.values().copied().max().unwrap_or(0);
        self.virtual_time = self.virtual_time.max(last);
        self.finish.clear();
    }

    /// By how much the workspace's next call is ahead of the virtual time, in
    /// prefill tokens at its weight.
    #[must_use]
    pub fn lead(&self, workspace: u64) -> u64 {
        (self.start(workspace) - self.virtual_time) / TOKEN_UNITS
    }

    /// The level of a call that starts behind `queued` (cost in prefill tokens)
    /// of its workspace: 0 within the tolerance, then one more for each step.
    #[must_use]
    pub fn level(&self, workspace: u64, queued: u64) -> u64 {
        let ahead = self.start(workspace) - self.virtual_time;
        ahead.saturating_add(self.units(workspace, queued)) / STEP_UNITS
    }

    /// The cost, in prefill tokens, that the workspace may still receive before
    /// its next call is at `level`, and before it is above that level.
    #[must_use]
    pub(crate) fn room(&self, workspace: u64, level: u64) -> (u64, u64) {
        let ahead = self.start(workspace) - self.virtual_time;
        let weight = u64::from(self.weight(workspace));
        let room = |level: u64| {
            let room = level.saturating_mul(STEP_UNITS).saturating_sub(ahead);
            room.saturating_mul(weight) / 1_000 / TOKEN_UNITS
        };
        (room(level), room(level.saturating_add(1)))
    }

    /// Service in prefill tokens that each waiting workspace of weight 1 must
    /// receive until a call behind `queued` of `workspace` is within the
    /// tolerance.
    #[must_use]
    pub(crate) fn excess(&self, workspace: u64, queued: u64) -> u64 {
        let ahead = self.start(workspace) - self.virtual_time;
        let ahead = ahead.saturating_add(self.units(workspace, queued));
        ahead.saturating_sub(STEP_UNITS) / TOKEN_UNITS
    }

    /// Number of workspaces in the account.
    #[must_use]
    pub fn len(&self) -> usize {
        self.finish.len()
    }

    /// Whether no workspace is ahead of the others.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.finish.is_empty()
    }

    /// The start tag of the workspace's next call.
    fn start(&self, workspace: u64) -> u64 {
        let finish = self.finish.get(&workspace).copied().unwrap_or(0);
        finish.max(self.virtual_time)
    }

    fn weight(&self, workspace: u64) -> u32 {
        let weight = self.weights.get(&workspace).copied().unwrap_or(1_000);
        weight.max(1)
    }

    fn units(&self, workspace: u64, cost: u64) -> u64 {
        let units = cost.saturating_mul(TOKEN_UNITS);
        if self.weights.is_empty() {
            return units;
        }
        units.saturating_mul(1_000) / u64::from(self.weight(workspace))
    }

    /// Drops the tags that the virtual time has reached and, if there are still
    /// too many, the lowest one.
    fn shrink(&mut self) {
        let now = self.virtual_time;
        self.finish.retain(|_, finish| *finish > now);
        if self.finish.len() > MAX_WORKSPACES {
            let lowest = self.finish.iter().min_by_key(|(_, finish)| **finish);
            if let Some(workspace) = lowest.map(|(workspace, _)| *workspace) {
                self.finish.remove(&workspace);
            }
        }
    }
}
