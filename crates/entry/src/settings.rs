//! Settings of an entry.

use std::net::SocketAddr;

use base::logging::Level;
use base::settings::{Error, HumanDuration, check};
use policy::placement::PlacementMode;
use serde::{Deserialize, Serialize};

/// Upper bound of `body_limit`, in bytes. A start must fit into one frame of the
/// RPC protocol.
const MAX_BODY_LIMIT: usize = 16 << 20;

/// Settings of one entry.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// The entry's name, unique in the deployment.
    pub name: String,
    /// The availability zone of the host.
    pub zone: String,
    /// The address that the entry listens on for callers.
    pub listen: SocketAddr,
    /// The address for health, status and metrics; not served if absent.
    #[serde(default)]
    pub operators: Option<SocketAddr>,
    /// The platform's log and the operators who may sign the first bundle;
    /// required unless the bundle comes from a file.
    #[serde(default)]
    pub follow: Option<follow::Settings>,
    /// Sidecars that are known at startup.
    #[serde(default)]
    pub sidecars: Vec<SidecarInfo>,
    /// Discovery of the hosts.
    #[serde(rename = "roster", default)]
    pub host_list: HostList,
    /// Graceful shutdown.
    #[serde(default)]
    pub drain: Drain,
    /// Number of sidecars at which a slot is reserved at once.
    #[serde(rename = "fan", default = "default_fan_out")]
    pub fan_out: usize,
    /// Placement of requests and timeouts of calls to sidecars.
    #[serde(default)]
    pub routing: Routing,
    /// Claims of idempotency keys; must be the same at every entry.
    #[serde(default)]
    pub keys: IdempotencyKeys,
    /// Idle time of a stream after which a comment is sent to the caller, to
    /// detect a caller that has disappeared.
    #[serde(rename = "comment", default = "default_comment_interval")]
    pub comment_interval: HumanDuration,
    /// Largest request body, in bytes.
    #[serde(default = "default_body_limit")]
    pub body_limit: usize,
    /// Seed of the entry's random choices; random if absent.
    #[serde(default)]
    pub seed: Option<u64>,
    /// Log level.
    #[serde(default)]
    pub log_level: Level,
}

/// Placement of requests and timeouts of calls to sidecars.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Routing {
    /// How servers are chosen. All modes except late binding are baselines for
    /// comparison.
    pub mode: PlacementMode,
    /// Age of the load reports that the baselines use.
    #[serde(rename = "lag")]
    pub report_lag: HumanDuration,
    /// Whether the retry budget limits the retries of each class.
    #[serde(rename = "budget")]
    pub retry_budget: bool,
    /// Longest time that a held slot waits for a better one.
    #[serde(rename = "grace")]
    pub grace_period: HumanDuration,
    /// How long a sidecar may hold a long poll.
    #[serde(rename = "poll")]
    pub poll_hold: HumanDuration,
    /// Time allowed for the reply to a call, in addition to the hold.
    #[serde(rename = "margin")]
    pub reply_margin: HumanDuration,
    /// Timeout of connecting to a sidecar.
    #[serde(rename = "dial")]
    pub connect_timeout: HumanDuration,
    /// Idle time after which a connection is replaced before it is used again.
    #[serde(rename = "idle")]
    pub idle_limit: HumanDuration,
    /// How long the entry keeps pulling an answer from an unreachable sidecar.
    #[serde(rename = "patience")]
    pub unreachable_timeout: HumanDuration,
}

/// Claims of idempotency keys.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct IdempotencyKeys {
    /// How long a key refers to its first call. At most half of the log's
    /// retention.
    pub window: HumanDuration,
    /// Minimum time between two appends to the log. Claims that arrive in
    /// between are batched into one append.
    #[serde(rename = "gap")]
    pub append_interval: HumanDuration,
}

impl Default for IdempotencyKeys {
    fn default() -> Self {
        Self {
            window: HumanDuration::secs(600),
            append_interval: HumanDuration::ms(10),
        }
    }
}

impl Default for Routing {
    fn default() -> Self {
        Self {
            mode: PlacementMode::default(),
            report_lag: HumanDuration::ms(500),
            retry_budget: true,
            grace_period: HumanDuration::ms(100),
            poll_hold: HumanDuration::ms(250),
            reply_margin: HumanDuration::ms(500),
            connect_timeout: HumanDuration::ms(500),
            idle_limit: HumanDuration::secs(15),
            unreachable_timeout: HumanDuration::secs(3),
        }
    }
}

/// Discovery of the hosts.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct HostList {
    /// Address of the platform's host list. If absent, only the sidecars in the
    /// settings are known.
    #[serde(rename = "hosts")]
    pub list_addr: Option<SocketAddr>,
    /// The region whose hosts are listed.
    pub region: String,
    /// Average interval between two reads of the list.
    #[serde(rename = "poll")]
    pub poll_interval: HumanDuration,
    /// Average number of known sidecars per service.
    #[serde(rename = "subset")]
    pub subset_size: usize,
    /// Minimum number of these in other availability zones.
    #[serde(rename = "far")]
    pub other_zones: usize,
    /// How long a host stays known that is neither listed nor answers.
    #[serde(rename = "forget")]
    pub forget_after: HumanDuration,
}

impl Default for HostList {
    fn default() -> Self {
        Self {
            list_addr: None,
            region: String::new(),
            poll_interval: HumanDuration::secs(2),
            subset_size: 128,
            other_zones: 16,
            forget_after: HumanDuration::secs(30),
        }
    }
}

/// Graceful shutdown; see docs/operators/drain.md.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Drain {
    /// How long new requests are still accepted after readiness went off, so that
    /// the load balancer has time to notice.
    pub linger: HumanDuration,
    /// Time limit for requests in progress; those left are aborted.
    #[serde(rename = "limit")]
    pub time_limit: HumanDuration,
}

impl Default for Drain {
    fn default() -> Self {
        Self {
            linger: HumanDuration::secs(5),
            time_limit: HumanDuration::secs(600),
        }
    }
}

/// A sidecar from the settings or the host list.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SidecarInfo {
    /// The sidecar's name.
    pub name: String,
    /// The address that it listens on.
    pub addr: SocketAddr,
    /// The availability zone of its host.
    pub zone: String,
    /// The model or the plain service that its backend server offers.
    pub serves: String,
}

impl Settings {
    /// Checks the ranges of the values and the dependencies between them.
    ///
    /// # Errors
    ///
    /// Returns the first invalid value with its key and a hint.
    pub fn check(&self) -> Result<(), Error> {
        check(
            "name",
            &self.name,
            !self.name.is_empty(),
            "give the entry a name",
        )?;
        check(
            "fan",
            self.fan_out,
            (1..=8).contains(&self.fan_out),
            "reserve at 1 to 8 sidecars at once",
        )?;
        check(
            "body_limit",
            self.body_limit,
            (1024..=MAX_BODY_LIMIT).contains(&self.body_limit),
            "allow 1024 to 16777216 bytes",
        )?;
        check(
            "roster.subset",
            self.host_list.subset_size,
            self.host_list.subset_size > self.host_list.other_zones,
            "must be larger than the number in other zones (roster.far)",
        )?;
        check(
            "comment",
            self.comment_interval,
            !self.comment_interval.0.is_zero(),
            "send a comment every few seconds, as in \"5s\"",
        )?;
        check(
            "roster.poll",
            self.host_list.poll_interval,
            !self.host_list.poll_interval.0.is_zero(),
            "read the list every few seconds, as in \"2s\"",
        )?;
        check(
            "operators",
            self.listen,
            self.operators != Some(self.listen),
            "must differ from the listen address for callers",
        )
    }
}

fn default_fan_out() -> usize {
    2
}

fn default_comment_interval() -> HumanDuration {
    HumanDuration::secs(5)
}

fn default_body_limit() -> usize {
    4 << 20
}
