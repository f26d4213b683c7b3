//! Settings of the follower.

use std::net::SocketAddr;

use base::settings::HumanDuration;
use bundle::Operators;
use serde::{Deserialize, Serialize};

/// Settings of a follower, part of each daemon's settings.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Address of the platform's log.
    pub log: SocketAddr,
    /// Base64 public keys by name of the operators who may sign the first
    /// bundle. The operators for later versions are part of the bundle.
    pub trust: Operators,
    /// Long-poll timeout of a read.
    #[serde(default = "default_wait", rename = "wait")]
    pub poll_timeout: HumanDuration,
    /// Maximum backoff between retries while the log is down.
    #[serde(default = "default_backoff", rename = "backoff")]
    pub max_backoff: HumanDuration,
    /// Maximum random delay before a checkpoint is appended, so that the
    /// daemons do not all append one at once.
    #[serde(default = "default_delay", rename = "delay")]
    pub checkpoint_delay: HumanDuration,
}

impl Settings {
    /// Creates settings with default values.
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
