//! What the operators set for a queue.

use serde::{Deserialize, Serialize};

/// How a queue decides.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum QueuePolicy {
    /// Tiers, deadlines, fair shares, admission, headroom and preemption.
    #[default]
    Full,
    /// The full policy, but requests that cannot meet their target wait until
    /// it has passed.
    NoAdmission,
    /// First come, first served; tiers, workspaces and targets are ignored.
    Fifo,
}

/// Limits and shares of one queue.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct QueueSettings {
    /// How the queue decides.
    pub policy: QueuePolicy,
    /// Requests that may wait.
    pub limit: usize,
    /// Share of starts that goes to lower-tier work while higher-tier work
    /// waits, between 0 and 0.5; a bundle's share goes before it.
    pub guaranteed: f64,
    /// Probability with which an admitted request should meet its target,
    /// between 0 and 1.
    pub confidence: f64,
    /// Largest share of the slots that is kept for the top tier, between 0
    /// and 1.
    pub headroom: f64,
    /// Whether lower-tier runs may be stopped for the top tier.
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
