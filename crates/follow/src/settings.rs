//! What the operators set for following the log.

use std::net::SocketAddr;

use base::settings::HumanDuration;
use bundle::Operators;
use serde::{Deserialize, Serialize};

/// Settings of a follower, a part of each daemon's settings.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Where the platform's log listens.
    pub log: SocketAddr,
    /// Operators who may sign the first bundle: name to public key in
    /// base64. Later ones are named by the bundle itself.
    pub trust: Operators,
    /// How long one read is held while there is nothing new.
    #[serde(default = "default_wait", rename = "wait")]
    pub poll_timeout: HumanDuration,
    /// Longest pause between two tries while the log is down.
    #[serde(default = "default_backoff", rename = "backoff")]
    pub max_backoff: HumanDuration,
    /// Longest random delay before a checkpoint is appended, so that not all
    /// daemons append one at once.
    #[serde(default = "default_delay", rename = "delay")]
    pub checkpoint_delay: HumanDuration,
}

impl Settings {
    /// Settings with every default.
    #[must_use]
    pub fn new(log: SocketAddr, trust: Operators) -> Self {
        Self {
            log,
            trust,
            poll_timeout: default_wait(),
            max_backoff: default_backoff(),
            checkpoint_delay: default_delay(),
        }
    }
}

fn default_wait() -> HumanDuration {
    HumanDuration::secs(5)
}

fn default_backoff() -> HumanDuration {
    HumanDuration::secs(2)
}

fn default_delay() -> HumanDuration {
    HumanDuration::secs(5)
}
