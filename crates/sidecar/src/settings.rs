//! What the operators set for a sidecar.

use std::net::SocketAddr;

use base::logging::Level;
use base::settings::{Error, HumanDuration, check};
use policy::queue::QueueSettings;
use serde::{Deserialize, Serialize};

/// Shortest hold: a start must be able to arrive within it.
const MIN_HOLD_TIMEOUT: HumanDuration = HumanDuration::ms(10);

/// Shortest lease: an entry must be able to replace a silent connection.
const MIN_LEASE: HumanDuration = HumanDuration::secs(1);

/// Fewest bytes kept: some hundred tokens for each of many slots.
const MIN_RETENTION_BYTES: usize = 64 << 10;

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
    /// The platform's log and who may sign the first bundle. Without it the
    /// sidecar goes by no bundle.
    #[serde(default)]
    pub follow: Option<follow::Settings>,
    /// The backend server that the sidecar stands beside.
    pub backend: Backend,
    /// How long a slot is held for a ticket that is ready.
    #[serde(rename = "hold", default = "default_hold_timeout")]
    pub hold_timeout: HumanDuration,
    /// How long an ended answer is kept for entries that still pull it.
    #[serde(rename = "keep", default = "default_retention")]
    pub retention: HumanDuration,
    /// How long requests in progress may take when the sidecar stops; what is
    /// left then is ended.
    #[serde(rename = "drain_limit", default = "default_drain_timeout")]
    pub drain_timeout: HumanDuration,
    /// An entry that asked nothing about a ticket for so long is gone: its
    /// request is not started, and its run is stopped.
    #[serde(default = "default_lease")]
    pub lease: HumanDuration,
    /// How the engine is ordered to load what the bundle wants, if at all.
    #[serde(default)]
    pub orders: Option<crate::orders::Settings>,
    /// When an engine's stream is resumed, and when it is given up.
    #[serde(default)]
    pub streams: StreamSettings,
    /// Bytes of answers that are kept for entries that still pull them.
    #[serde(rename = "kept_bytes", default = "default_retention_bytes")]
    pub retention_bytes: usize,
    /// How the queue decides.
    #[serde(default)]
    pub queue: QueueSettings,
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
        let (slots, hold) = (self.backend.slots(), self.hold_timeout);
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
            hold >= MIN_HOLD_TIMEOUT,
            "hold a slot for at least 10ms",
        )?;
        check(
            "lease",
            self.lease,
            self.lease >= MIN_LEASE,
            "leave entries at least 1s to dial anew",
        )?;
        check(
            "kept_bytes",
            self.retention_bytes,
            self.retention_bytes >= MIN_RETENTION_BYTES,
            "keep at least 65536 bytes of answers",
        )?;
        self.check_queue()?;
        check(
            "operators",
            self.listen,
            self.operators != Some(self.listen),
            "operators need an address apart from the entries'",
        )
    }
}

impl Settings {
    fn check_queue(&self) -> Result<(), Error> {
        let rules = &self.queue;
        check(
            "queue.limit",
            rules.limit,
            rules.limit > 0,
            "let at least one request wait",
        )?;
        check(
            "queue.guaranteed",
            rules.guaranteed,
            (0.0..=0.5).contains(&rules.guaranteed),
            "give a share between 0 and 0.5",
        )?;
        check(
            "queue.confidence",
            rules.confidence,
            rules.confidence > 0.0 && rules.confidence < 1.0,
            "give a probability between 0 and 1, as in 0.8",
        )?;
        check(
            "queue.headroom",
            rules.headroom,
            (0.0..=1.0).contains(&rules.headroom),
            "give a share of the slots between 0 and 1",
        )
    }
}

/// When an engine's stream is resumed, and when it is given up.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct StreamSettings {
    /// A stream that brings nothing for so long is resumed over a new
    /// connection.
    #[serde(rename = "silence")]
    pub idle_timeout: HumanDuration,
    /// Attempts to resume after a broken connection until one brings a token.
    #[serde(rename = "attempts")]
    pub max_attempts: u32,
    /// A stream that brings no token for so long is given up.
    #[serde(rename = "patience")]
    pub stall_timeout: HumanDuration,
}

impl Default for StreamSettings {
    fn default() -> Self {
        Self {
            idle_timeout: HumanDuration::secs(1),
            max_attempts: 5,
            stall_timeout: HumanDuration::secs(30),
        }
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
        timeout: HumanDuration,
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

fn default_hold_timeout() -> HumanDuration {
    HumanDuration::ms(250)
}

fn default_retention() -> HumanDuration {
    HumanDuration::secs(10)
}

fn default_drain_timeout() -> HumanDuration {
    HumanDuration::secs(600)
}

fn default_lease() -> HumanDuration {
    HumanDuration::secs(5)
}

fn default_retention_bytes() -> usize {
    16 << 20
}
