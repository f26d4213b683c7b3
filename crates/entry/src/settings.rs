//! What the operators set for an entry.

use std::net::SocketAddr;

use base::logging::Level;
use serde::{Deserialize, Serialize};

/// Settings of one entry.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// The entry's name, unique in the deployment.
    pub name: String,
    /// The availability zone that the host stands in.
    pub zone: String,
    /// Where callers reach the entry.
    pub listen: SocketAddr,
    /// Sidecars known from the start.
    #[serde(default)]
    pub sidecars: Vec<Known>,
    /// How many sidecars are asked for a slot at once.
    #[serde(default = "default_fan")]
    pub fan: usize,
    /// Largest request body, in bytes.
    #[serde(default = "default_body")]
    pub body_limit: usize,
    /// Seed of the entry's random choices; drawn at random when absent.
    #[serde(default)]
    pub seed: Option<u64>,
    /// How much is logged.
    #[serde(default)]
    pub log_level: Level,
}

/// A sidecar as the settings or the host list name it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Known {
    /// The sidecar's name.
    pub name: String,
    /// Where it listens.
    pub addr: SocketAddr,
    /// The availability zone that its host stands in.
    pub zone: String,
    /// The model or the plain service that its backend server offers.
    pub serves: String,
}

fn default_fan() -> usize {
    2
}

fn default_body() -> usize {
    4 << 20
}
