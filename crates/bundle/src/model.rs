//! The declaration that operators write, sign and roll out.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use base::ids::Tier;
use base::settings::HumanDuration;
use serde::{Deserialize, Serialize};

/// Everything that operators declare, as one versioned unit. All maps are
/// ordered, so that equal bundles have equal bytes and signatures. A section
/// that is left out is empty: content is signed entry by entry, and an empty
/// section has none.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Bundle {
    /// Request classes by name.
    pub classes: BTreeMap<String, Class>,
    /// Workspaces by name; shared, so that the next version of a bundle with
    /// many of them is made without copying them.
    pub workspaces: BTreeMap<String, Arc<Workspace>>,
    /// Pools of model engines by the model's name.
    pub models: BTreeMap<String, EnginePool>,
    /// Plain services by name, reached under `/v1/services/{name}/`.
    pub services: BTreeMap<String, Service>,
    /// Operators who may sign the bundle after this one: name to public key
    /// in base64.
    pub operators: BTreeMap<String, String>,
    /// The policy's shares and limits.
    pub shares: Shares,
}

/// One request class: how urgent it is and what it is promised.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Class {
    /// The priority tier; 0 is the highest.
    pub tier: Tier,
    /// What is promised to each accepted request.
    pub targets: Targets,
    /// The model or service that serves the class when a call names none.
    pub model: String,
}

/// Latency targets, each counted from the request's arrival at the entry.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Targets {
    /// Until the first piece of the answer.
    pub first_token: HumanDuration,
    /// Between two pieces of the answer, as a mean over the answer.
    pub token_gap: HumanDuration,
    /// Until the last piece of the answer.
    #[serde(rename = "whole")]
    pub full_answer: HumanDuration,
}

/// One customer and what it may use.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Workspace {
    /// Hex SHA-256 of each bearer token that stands for the workspace.
    pub tokens: BTreeSet<String>,
    /// Names of the classes that the workspace may use.
    pub classes: BTreeSet<String>,
    /// The workspace's weight in the fair share within a tier.
    #[serde(default = "one")]
    pub weight: u32,
}

/// A pool of model engines that serve one model.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EnginePool {
    /// The version that the pool's engines should have loaded.
    #[serde(default)]
    pub version: String,
    /// Adapters that the pool's engines should have loaded.
    #[serde(default)]
    pub adapters: BTreeSet<String>,
}

/// A plain service that stands beside the model engines.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// The class that its calls belong to when the caller names none.
    pub class: String,
    /// Whether a call may run again when its outcome is unknown.
    #[serde(default, rename = "repeatable")]
    pub idempotent: bool,
}

/// The policy's shares and limits.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Shares {
    /// Share of starts that goes to the longest waiting lower-tier work,
    /// between 0 and 0.5.
    #[serde(rename = "guaranteed")]
    pub guaranteed_share: f64,
    /// Retries allowed per grant of a class, between 0 and 1.
    #[serde(rename = "retries")]
    pub retry_ratio: f64,
    /// Share of a pool's servers that may be set aside at once, between 0
    /// and 0.5.
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
