//! The data model of the configuration that operators write, sign and publish.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use base::ids::Tier;
use base::settings::HumanDuration;
use serde::{Deserialize, Serialize};

/// The operators' configuration as one versioned unit. All maps are ordered,
/// so that equal bundles have equal bytes and signatures. A missing section is
/// empty: content is hashed by entry, and an empty section has no entries.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Bundle {
    /// Request classes by name.
    pub classes: BTreeMap<String, Class>,
    /// Workspaces by name; reference-counted, so that a new version of a
    /// bundle with many workspaces does not copy them.
    pub workspaces: BTreeMap<String, Arc<Workspace>>,
    /// Engine pools by model name.
    pub models: BTreeMap<String, EnginePool>,
    /// Services other than model engines by name, reached under `/v1/services/{name}/`.
    pub services: BTreeMap<String, Service>,
    /// Base64 public keys by name of the operators who may sign the next
    /// version.
    pub operators: BTreeMap<String, String>,
    /// Shares and limits of the scheduling policy.
    pub shares: Shares,
}

/// A request class with its priority and latency targets.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Class {
    /// The priority tier; 0 is the highest.
    pub tier: Tier,
    /// Latency targets of each accepted request.
    pub targets: Targets,
    /// Model or service for calls of the class that name none.
    pub model: String,
}

/// Latency targets. Both deadlines start when the entry receives the request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Targets {
    /// Maximum time to the first token.
    pub first_token: HumanDuration,
    /// Maximum time between tokens, as a mean over the answer.
    pub token_gap: HumanDuration,
    /// Maximum time to the last token.
    #[serde(rename = "whole")]
    pub full_answer: HumanDuration,
}

/// A tenant with its credentials and permitted classes.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Workspace {
    /// Hex SHA-256 of each of the workspace's bearer tokens.
    pub tokens: BTreeSet<String>,
    /// Names of the classes that the workspace may use.
    pub classes: BTreeSet<String>,
    /// Weight in the fair queueing within a tier.
    #[serde(default = "one")]
    pub weight: u32,
}

/// A pool of model engines that serve one model.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EnginePool {
    /// Model version that the pool's engines should load.
    #[serde(default)]
    pub version: String,
    /// Adapters that the pool's engines should load.
    #[serde(default)]
    pub adapters: BTreeSet<String>,
}

/// A service other than a model engine.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// Class of calls that name none.
    pub class: String,
    /// Whether a call may be retried when its outcome is unknown.
    #[serde(default, rename = "repeatable")]
    pub idempotent: bool,
}

/// Shares and limits of the scheduling policy.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Shares {
    /// Share of starts reserved for the longest waiting lower-tier requests,
    /// between 0 and 0.5.
    #[serde(rename = "guaranteed")]
    pub guaranteed_share: f64,
    /// Retries allowed per grant of a class, between 0 and 1.
    #[serde(rename = "retries")]
    pub retry_ratio: f64,
    /// Maximum share of a pool's servers that may be ejected at once, between
    /// 0 and 0.5.
    #[serde(rename = "ejected")]
    pub max_ejected: f64,
}

impl Default for Shares {
    fn default() -> Self {
        Self {
            guaranteed_share: 0.05,
            retry_ratio: 0.1,
            max_ejected: 0.3,
        }
    }
}

fn one() -> u32 {
    1
}
