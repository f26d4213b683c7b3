//! Settings of a queue.

use serde::{Deserialize, Serialize};

/// Scheduling policy of a queue.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum QueuePolicy {
    /// Tiers, deadlines, fair shares, admission, headroom and preemption.
    #[default]
    Full,
    /// Like `Full` but without admission control: requests that cannot meet
    /// their target wait until their deadline has passed.
    NoAdmission,
    /// First in, first out; tiers, workspaces and targets are ignored.
    Fifo,
}

/// Limits and shares of one queue.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct QueueSettings {
    /// Scheduling policy.
    pub policy: QueuePolicy,
    /// Maximum number of waiting requests.
    pub limit: usize,
    /// Share of starts guaranteed to lower-tier requests while higher-tier
    /// requests wait, between 0 and 0.5; a share in the bundle overrides it.
    pub guaranteed: f64,
    /// Probability with which an admitted request should meet its target,
    /// between 0 and 1.
    pub confidence: f64,
    /// Maximum share of the slots that is reserved for the top tier, between 0
    /// and 1.
    pub headroom: f64,
    /// Whether lower-tier runs may be preempted for the top tier.
    pub preempt: bool,
}

impl Default for QueueSettings {
    fn default() -> Self {
        Self {
            policy: QueuePolicy::default(),
            limit: 1024,
            guaranteed: 0.05,
            confidence: 0.8,
            headroom: 0.5,
            preempt: true,
        }
    }
}
