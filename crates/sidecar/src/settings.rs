//! What the operators set for a sidecar.

use std::net::SocketAddr;

use base::logging::Level;
use base::settings::{Error, Span, check};
use serde::{Deserialize, Serialize};

/// Shortest hold: a start must be able to arrive within it.
const HOLD_LEAST: Span = Span::ms(10);

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
    /// Where operators reach health, status and metrics, if at all.
    #[serde(default)]
    pub operators: Option<SocketAddr>,
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

impl Settings {
    /// Checks what no single value shows.
    ///
    /// # Errors
    ///
    /// Returns the first impossible value with its key and a hint.
    pub fn check(&self) -> Result<(), Error> {
        let (slots, hold) = (self.backend.slots(), self.hold);
        check(
            "name",
            &self.name,
            !self.name.is_empty(),
            "give the sidecar a name",
        )?;
        check(
            "backend.slots",
            slots,
            slots > 0,
            "allow at least one request at once",
        )?;
        check(
            "hold",
            hold,
            hold >= HOLD_LEAST,
            "hold a slot for at least 10ms",
        )?;
        check(
            "operators",
            self.listen,
            self.operators != Some(self.listen),
            "operators need an address apart from the entries'",
        )
    }
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
