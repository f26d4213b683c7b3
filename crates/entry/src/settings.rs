//! What the operators set for an entry.

use std::net::SocketAddr;

use base::logging::Level;
use base::settings::{Error, HumanDuration, check};
use policy::placement::PlacementMode;
use serde::{Deserialize, Serialize};

/// Largest body limit: a start must fit into one frame of the inner protocol.
const MAX_BODY_LIMIT: usize = 16 << 20;

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
    /// Where operators reach health, status and metrics, if at all.
    #[serde(default)]
    pub operators: Option<SocketAddr>,
    /// The platform's log and who may sign the first bundle; needed unless
    /// the bundle comes from a file.
    #[serde(default)]
    pub follow: Option<follow::Settings>,
    /// Sidecars known from the start.
    #[serde(default)]
    pub sidecars: Vec<SidecarInfo>,
    /// How the entry learns which hosts there are.
    #[serde(rename = "roster", default)]
    pub host_list: HostList,
    /// How the entry stops.
    #[serde(default)]
    pub drain: Drain,
    /// How many sidecars are asked for a slot at once.
    #[serde(rename = "fan", default = "default_fan_out")]
    pub fan_out: usize,
    /// How requests are placed, and how long sidecars are waited for.
    #[serde(default)]
    pub routing: Routing,
    /// How idempotency keys are claimed; the same at every entry.
    #[serde(default)]
    pub keys: IdempotencyKeys,
    /// How long a stream to a caller may bring nothing until a comment is
    /// written, by which a caller that vanished is found.
    #[serde(rename = "comment", default = "default_comment_interval")]
    pub comment_interval: HumanDuration,
    /// Largest request body, in bytes.
    #[serde(default = "default_body_limit")]
    pub body_limit: usize,
    /// Seed of the entry's random choices; drawn at random when absent.
    #[serde(default)]
    pub seed: Option<u64>,
    /// How much is logged.
    #[serde(default)]
    pub log_level: Level,
}

/// How requests are placed, and how long sidecars are waited for.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Routing {
    /// How servers are chosen; all but late binding are baselines.
    pub mode: PlacementMode,
    /// Age of the load reports that the baselines go by.
    #[serde(rename = "lag")]
    pub report_lag: HumanDuration,
    /// Whether a class's retries are limited by its budget.
    #[serde(rename = "budget")]
    pub retry_budget: bool,
    /// Longest time that a held slot is left waiting for a better one.
    #[serde(rename = "grace")]
    pub grace_period: HumanDuration,
    /// How long one call may be held at a sidecar.
    #[serde(rename = "poll")]
    pub poll_hold: HumanDuration,
    /// Time allowed for an answer beyond that.
    #[serde(rename = "margin")]
    pub reply_margin: HumanDuration,
    /// Time allowed for dialling.
    #[serde(rename = "dial")]
    pub connect_timeout: HumanDuration,
    /// A connection idle for so long is replaced before it is used again.
    #[serde(rename = "idle")]
    pub idle_limit: HumanDuration,
    /// How long an answer in delivery is tried for when its sidecar cannot be
    /// reached.
    #[serde(rename = "patience")]
    pub unreachable_timeout: HumanDuration,
}

/// How idempotency keys are claimed.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct IdempotencyKeys {
    /// How long a key names its first call. Half of the log's retention at
    /// the most.
    pub window: HumanDuration,
    /// Least time between two appends of one entry; claims that come
    /// meanwhile share one.
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

/// How an entry learns which hosts there are.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct HostList {
    /// Where the platform serves the list of hosts; without it, only the
    /// sidecars named in the settings are known.
    #[serde(rename = "hosts")]
    pub list_addr: Option<SocketAddr>,
    /// The region whose hosts are known.
    pub region: String,
    /// How often the list is read, on average.
    #[serde(rename = "poll")]
    pub poll_interval: HumanDuration,
    /// Sidecars of one service that are known, on average.
    #[serde(rename = "subset")]
    pub subset_size: usize,
    /// How many of these stand in other availability zones, at the least.
    #[serde(rename = "far")]
    pub other_zones: usize,
    /// How long a host stays that is not listed and does not answer.
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

/// How an entry stops; see docs/operators/drain.md.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Drain {
    /// How long new requests are still taken after readiness went off, until
    /// the balancer has seen it.
    pub linger: HumanDuration,
    /// How long requests in progress may take; what is left then is ended.
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

/// A sidecar as the settings or the host list name it.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SidecarInfo {
    /// The sidecar's name.
    pub name: String,
    /// Where it listens.
    pub addr: SocketAddr,
    /// The availability zone that its host stands in.
    pub zone: String,
    /// The model or the plain service that its backend server offers.
    pub serves: String,
}

impl Settings {
    /// Checks what no single value shows.
    ///
    /// # Errors
    ///
    /// Returns the first impossible value with its key and a hint.
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
            "ask 1 to 8 sidecars at once",
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
            "know more sidecars in all than in other zones (roster.far)",
        )?;
        check(
            "comment",
            self.comment_interval,
            !self.comment_interval.0.is_zero(),
            "write a comment every few seconds, as in \"5s\"",
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
            "operators need an address apart from the callers'",
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
