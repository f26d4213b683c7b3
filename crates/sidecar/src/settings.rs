//! The settings of a sidecar.

use std::net::SocketAddr;

use base::logging::Level;
use base::settings::{Error, HumanDuration, check};
use policy::queue::QueueSettings;
use serde::{Deserialize, Serialize};

/// Minimum hold timeout: the `start` call must be able to arrive within it.
const MIN_HOLD_TIMEOUT: HumanDuration = HumanDuration::ms(10);

/// Minimum lease: an entry must be able to replace an unresponsive connection
/// within it.
const MIN_LEASE: HumanDuration = HumanDuration::secs(1);

/// Minimum limit on buffered responses: a few hundred tokens for each of many
/// slots.
const MIN_RETENTION_BYTES: usize = 64 << 10;

/// Settings of one sidecar.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// The sidecar's name, unique in the deployment.
    pub name: String,
    /// The availability zone of the host.
    pub zone: String,
    /// The listen address for entries.
    pub listen: SocketAddr,
    /// The listen address for health checks, status and metrics, if any.
    #[serde(default)]
    pub operators: Option<SocketAddr>,
    /// The platform's log and the operators who may sign the first bundle. If it
    /// is missing, the sidecar uses no bundle.
    #[serde(default)]
    pub follow: Option<follow::Settings>,
    /// The sidecar's backend server.
    pub backend: Backend,
    /// How long a granted slot is held for a request until it starts.
    #[serde(rename = "hold", default = "default_hold_timeout")]
    pub hold_timeout: HumanDuration,
    /// How long an ended response is kept for entries that still pull it.
    #[serde(rename = "keep", default = "default_retention")]
    pub retention: HumanDuration,
    /// How long requests in progress may take when the sidecar shuts down; after
    /// that the remaining runs are stopped.
    #[serde(rename = "drain_limit", default = "default_drain_timeout")]
    pub drain_timeout: HumanDuration,
    /// An entry that makes no call about a request for this long is presumed
    /// gone: the request is not started, or its run is stopped.
    #[serde(default = "default_lease")]
    pub lease: HumanDuration,
    /// How the engine is ordered to load the model and adapters that the bundle
    /// specifies, if at all.
    #[serde(default)]
    pub orders: Option<crate::orders::Settings>,
    /// Timeouts and retries for the engine's streams.
    #[serde(default)]
    pub streams: StreamSettings,
    /// Upper bound on the buffered responses, in bytes.
    #[serde(rename = "kept_bytes", default = "default_retention_bytes")]
    pub retention_bytes: usize,
    /// The settings of the queue.
    #[serde(default)]
    pub queue: QueueSettings,
    /// The minimum level of logged events.
    #[serde(default)]
    pub log_level: Level,
}

impl Settings {
    /// Checks the ranges and the consistency of the values.
    ///
    /// # Errors
    ///
    /// Returns the first invalid value with its key and a hint.
    pub fn check(&self) -> Result<(), Error> {
        let (slots, hold) = (self.backend.slots(), self.hold_timeout);
        check(
            "name",
            &self.name,
            !self.name.is_empty(),
            "set a non-empty name",
        )?;
        check(
            "backend.slots",
            slots,
            slots > 0,
            "allow at least one concurrent request",
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
            "leave entries at least 1s to reconnect",
        )?;
        check(
            "kept_bytes",
            self.retention_bytes,
            self.retention_bytes >= MIN_RETENTION_BYTES,
            "allow at least 65536 bytes of buffered responses",
        )?;
        self.check_queue()?;
        check(
            "operators",
            self.listen,
            self.operators != Some(self.listen),
            "operators need a different address than entries",
        )
    }
}

impl Settings {
    fn check_queue(&self) -> Result<(), Error> {
        let queue = &self.queue;
        check(
            "queue.limit",
            queue.limit,
            queue.limit > 0,
            "allow at least one waiting request",
        )?;
        check(
            "queue.guaranteed",
            queue.guaranteed,
            (0.0..=0.5).contains(&queue.guaranteed),
            "use a share between 0 and 0.5",
        )?;
        check(
            "queue.confidence",
            queue.confidence,
            queue.confidence > 0.0 && queue.confidence < 1.0,
            "use a probability between 0 and 1, such as 0.8",
        )?;
        check(
            "queue.headroom",
            queue.headroom,
            (0.0..=1.0).contains(&queue.headroom),
            "use a share of the slots between 0 and 1",
        )
    }
}

/// Timeouts and retries for the engine's streams.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct StreamSettings {
    /// A stream that receives no data for this long is resumed over a new
    /// connection.
    #[serde(rename = "silence")]
    pub idle_timeout: HumanDuration,
    /// Maximum number of consecutive attempts to resume a broken stream without
    /// receiving a token.
    #[serde(rename = "attempts")]
    pub max_attempts: u32,
    /// A stream that receives no token for this long is abandoned.
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

/// The kind and address of a backend server.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "snake_case")]
pub enum Backend {
    /// A model engine.
    Engine {
        /// The address of the engine.
        addr: SocketAddr,
        /// The number of requests that the engine runs concurrently.
        slots: usize,
    },
    /// A plain service.
    Plain {
        /// The address of the service.
        addr: SocketAddr,
        /// The number of calls that the service accepts concurrently.
        slots: usize,
        /// The timeout of one call.
        timeout: HumanDuration,
    },
}

impl Backend {
    /// The number of requests that the backend server runs concurrently.
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
