//! What the operators set for a sidecar.

use std::net::SocketAddr;

use base::logging::Level;
use base::settings::Span;
use serde::{Deserialize, Serialize};

/// Settings of one sidecar.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// The sidecar's name, unique in the deployment.
    pub name: String,
    /// The availability zone that the host stands in.
    pub zone: String,
    /// Where entries reach the sidecar.
    pub listen: SocketAddr,
    /// The backend server that the sidecar stands beside.
    pub backend: Backend,
    /// How long a slot is held for a ticket that is ready.
    #[serde(default = "default_hold")]
    pub hold: Span,
    /// How long an ended answer is kept for entries that still pull it.
    #[serde(default = "default_keep")]
    pub keep: Span,
    /// How much is logged.
    #[serde(default)]
    pub log_level: Level,
}

/// The kind of a backend server, and where it listens.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "snake_case")]
pub enum Backend {
    /// A model engine.
    Engine {
        /// Where the engine listens.
        addr: SocketAddr,
        /// Requests that the engine runs at once.
        slots: usize,
    },
    /// A plain service.
    Plain {
        /// Where the service listens.
        addr: SocketAddr,
        /// Calls that the service takes at once.
        slots: usize,
        /// Longest time for one call.
        timeout: Span,
    },
}

impl Backend {
    /// Requests that the backend server runs at once.
    #[must_use]
    pub fn slots(&self) -> usize {
        match self {
            Self::Engine { slots, .. } | Self::Plain { slots, .. } => *slots,
        }
    }
}

fn default_hold() -> Span {
    Span::ms(250)
}

fn default_keep() -> Span {
    Span::secs(10)
}
