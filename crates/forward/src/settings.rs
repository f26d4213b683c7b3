//! Settings of an entry for routed calls.

use std::net::SocketAddr;
use std::time::Duration;

use base::logging::Level;
use base::settings::HumanDuration;
use policy::repeat_budget;
use serde::{Deserialize, Serialize};

/// Fraction of the grace period that is reserved for closing connections after the
/// entry has waited for the calls in progress.
const CLOSE_FRACTION: f64 = 0.06;

/// Least time that is reserved for this, if it is at most a sixth of the grace period. A busy
/// host runs the process late, and its platform kills it at the end of the grace period.
const MIN_CLOSE_RESERVE: Duration = Duration::from_millis(200);

/// Descriptors that an entry needs at least: its sockets, the store, and a few callers with
/// a backend server each.
const MIN_FDS: usize = 64;

/// Fraction of the grace period in which a stopping entry still sends calls to servers. The
/// rest is left for these calls, so that a later one is refused before it has run.
const SEND_FRACTION: f64 = 0.5;

/// Fraction of the grace period in which a stopping entry sends calls by how long they usually
/// take. Later ones must end by their deadlines.
const ESTIMATE_FRACTION: f64 = 0.375;

/// Longest period of the settings, in seconds.
const MAX_PERIOD: f64 = 1e8;

/// Which periods are valid.
const PERIOD_HINT: &str = "seconds above zero, up to 100000000";

/// Settings of an entry for routed calls.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Name of the daemon in logs.
    pub name: String,
    /// Availability zone of the host.
    pub zone: String,
    /// Address for callers.
    pub listen: SocketAddr,
    /// Address for the load balancer's readiness probes.
    pub ready: SocketAddr,
    /// Path of the readiness probes.
    pub ready_path: String,
    /// Address at which metrics are scraped, if any.
    #[serde(default)]
    pub metrics: Option<SocketAddr>,
    /// UDP address for load reports from other entries. If duties are configured, the
    /// next higher port is used for their messages.
    pub gossip: SocketAddr,
    /// Hosts on which other entries may run. A starting entry asks them for the known
    /// entries, on the port of `gossip`. Without seeds, entries find each other through
    /// the store only.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    /// Whether this is the first start of the whole fleet.
    #[serde(default)]
    pub first_start: bool,
    /// UDP address for answers of the sidecars next to engines; the sidecars listen on
    /// the same port. Without it the entry decides about admission on its own.
    #[serde(default)]
    pub grants: Option<SocketAddr>,
    /// Address of the platform's store.
    pub store: SocketAddr,
    /// Writes per second that the store takes from all daemons together.
    #[serde(default = "store_writes_per_s")]
    pub store_writes_per_s: f64,
    /// Number of partitions of a topic in the store.
    #[serde(default = "store_parts")]
    pub store_parts: u32,
    /// Capacity of the host's network link in Mbit/s. Without it the link counts as
    /// never congested.
    #[serde(default)]
    pub link_mbps: Option<f64>,
    /// Memory that the process may use, in MB (10^6 bytes). Without it the bytes held for
    /// callers are not limited.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub memory_mb: Option<f64>,
    /// File descriptors that the process may use. Without it the soft limit of the process
    /// applies.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub max_fds: Option<usize>,
    /// Time from the request to stop until the process is killed, in seconds.
    pub grace_s: f64,
    /// Allowed repeats to other servers per call, over all entries together.
    pub repeat_ratio: f64,
    /// Time window over which calls and repeats are counted, in seconds.
    pub repeat_window_s: f64,
    /// Additional repeats per service and window that all entries together may make.
    #[serde(default)]
    pub repeat_slack: f64,
    /// Interval of the load balancer's readiness probes; it acts on two equal results in
    /// a row.
    #[serde(rename = "ask_every", default = "ask_every")]
    pub probe_interval: HumanDuration,
    /// Duties that one entry performs for the whole fleet, if the platform has any.
    #[serde(default)]
    pub duties: Option<DutySettings>,
    /// Whether contended backend servers are shared fairly between workspaces.
    #[serde(default)]
    pub fair_shares: bool,
    /// Whether streams on engines that leave are moved to other engines.
    #[serde(default)]
    pub moves: bool,
    /// Whether the KV cache of streams is copied to a second engine, from which
    /// they continue when the first one crashes.
    #[serde(default)]
    pub backups: bool,
    /// Whether streams are placed by the measured pace of engines.
    #[serde(default)]
    pub paced_streams: bool,
    /// Minimum level of logged events.
    #[serde(default)]
    pub log_level: Level,
}

/// Settings of the duties that one entry performs for the whole fleet.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DutySettings {
    /// Address of the platform API that duties call.
    pub platform: SocketAddr,
    /// The duties to perform.
    pub kinds: Vec<DutyKind>,
    /// Calls per second that the API accepts from all daemons together.
    #[serde(default = "call_rate")]
    pub rate: f64,
    /// Length of a usage window, in seconds.
    #[serde(default = "report_window")]
    pub window_s: f64,
    /// Time after the end of a window by which its report is due, in seconds.
    #[serde(default = "report_due")]
    pub due_s: f64,
    /// Time for which a host that lost a duty to another host does not take it back, in
    /// milliseconds.
    #[serde(default = "lease")]
    pub lease_ms: u64,
}

/// A duty.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum DutyKind {
    /// Reports the requests of each workspace.
    UsageReport,
    /// Orders the number of backend servers.
    Autoscale,
}

impl DutySettings {
    /// Whether usage reporting is among the duties.
    #[must_use]
    pub fn reports_usage(&self) -> bool {
        self.kinds.contains(&DutyKind::UsageReport)
    }

    /// Whether autoscaling of backend servers is among the duties.
    #[must_use]
    pub fn autoscales(&self) -> bool {
        self.kinds.contains(&DutyKind::Autoscale)
    }

    fn check(&self) -> Result<(), base::settings::Error> {
        use base::settings::check;
        let positive = |n: f64| n.is_finite() && n > 0.0;
        let window = self.window_s;
        check("duties.window_s", window, is_period(window), PERIOD_HINT)?;
        check(
            "duties.due_s",
            self.due_s,
            is_period(self.due_s),
            PERIOD_HINT,
        )?;
        let hint = "calls per second above zero";
        let valid = positive(self.rate) && is_period(1.0 / self.rate);
        check("duties.rate", self.rate, valid, hint)
    }
}

/// Whether a number of seconds can be used as a period. Far longer ones cannot be
/// represented, or added to the time.
fn is_period(seconds: f64) -> bool {
    seconds > 0.0 && seconds <= MAX_PERIOD
}

fn call_rate() -> f64 {
    1.0
}

fn report_window() -> f64 {
    5.0
}

fn report_due() -> f64 {
    10.0
}

fn lease() -> u64 {
    3000
}

fn store_writes_per_s() -> f64 {
    400.0
}

fn store_parts() -> u32 {
    1
}

fn ask_every() -> HumanDuration {
    HumanDuration::secs(1)
}

impl Settings {
    /// Checks the values that parsing accepts but that are out of range.
    ///
    /// # Errors
    ///
    /// Returns the first invalid key with its value and a hint.
    pub fn check(&self) -> Result<(), base::settings::Error> {
        use base::settings::check;
        let positive = |s: f64| s.is_finite() && s > 0.0;
        check(
            "grace_s",
            self.grace_s,
            is_period(self.grace_s),
            PERIOD_HINT,
        )?;
        let window = self.repeat_window_s;
        check("repeat_window_s", window, is_period(window), PERIOD_HINT)?;
        let writes = self.store_writes_per_s;
        let hint = "writes per second above zero";
        check("store_writes_per_s", writes, positive(writes), hint)?;
        let parts = self.store_parts;
        check("store_parts", parts, parts > 0, "a number above zero")?;
        if let Some(link) = self.link_mbps {
            check(
                "link_mbps",
                link,
                link.is_finite() && link > 0.0,
                "a rate above zero",
            )?;
        }
        if let Some(memory) = self.memory_mb {
            let hint = "megabytes above zero";
            check("memory_mb", memory, positive(memory), hint)?;
        }
        if let Some(fds) = self.max_fds {
            let hint = "at least 64 descriptors";
            check("max_fds", fds, fds >= MIN_FDS, hint)?;
        }
        self.duties.as_ref().map_or(Ok(()), DutySettings::check)?;
        let ratio = self.repeat_ratio;
        let valid = (0.0..=1.0).contains(&ratio);
        check("repeat_ratio", ratio, valid, "a ratio from 0 to 1")?;
        let slack = self.repeat_slack;
        let valid = slack.is_finite() && slack >= 0.0;
        check("repeat_slack", slack, valid, "a number not below zero")?;
        let valid = self.ready_path.starts_with('/');
        check(
            "ready_path",
            &self.ready_path,
            valid,
            "a path that starts with /",
        )
    }

    /// UDP address for the duties' messages from other entries.
    #[must_use]
    pub fn duty_addr(&self) -> SocketAddr {
        let gossip = self.gossip;
        SocketAddr::new(gossip.ip(), gossip.port().wrapping_add(1))
    }

    /// Gossip addresses of the entries on the hosts of [`Settings::seeds`]; all entries
    /// use the same port.
    #[must_use]
    pub fn seed_addrs(&self) -> Vec<SocketAddr> {
        let port = self.gossip.port();
        let seeds = self.seeds.iter().map(|s| SocketAddr::new(s.ip(), port));
        seeds.filter(|addr| *addr != self.gossip).collect()
    }

    /// The limit on repeated calls.
    #[must_use]
    pub fn repeat_limit(&self) -> repeat_budget::RepeatLimit {
        repeat_budget::RepeatLimit {
            ratio: self.repeat_ratio,
            window: Duration::from_secs_f64(self.repeat_window_s),
            slack: self.repeat_slack,
        }
    }

    /// Time for which a stopping entry accepts new connections. The load balancer sends none
    /// after two probe intervals, plus half of one for connections that are being opened.
    #[must_use]
    pub fn deregistration_delay(&self) -> Duration {
        let delay = self.probe_interval.0 * 5 / 2;
        delay.min(self.cutoff_time())
    }

    /// Time for which a stopping entry sends calls to servers.
    #[must_use]
    pub fn sending_time(&self) -> Duration {
        self.grace().mul_f64(SEND_FRACTION)
    }

    /// Time for which a stopping entry sends calls that usually end before it does.
    #[must_use]
    pub fn estimating_time(&self) -> Duration {
        self.grace().mul_f64(ESTIMATE_FRACTION)
    }

    /// Time after which a stopping entry ends the calls in progress.
    #[must_use]
    pub fn cutoff_time(&self) -> Duration {
        self.grace() - self.close_reserve()
    }

    /// Time for which the answers of ended calls are written. Half of the time that is reserved
    /// for closing is left for the end of the process.
    #[must_use]
    pub fn close_time(&self) -> Duration {
        self.close_reserve() / 2
    }

    fn close_reserve(&self) -> Duration {
        let least = MIN_CLOSE_RESERVE.min(self.grace() / 6);
        self.grace().mul_f64(CLOSE_FRACTION).max(least)
    }

    /// Time from the request to stop until the process is killed.
    #[must_use]
    pub fn grace(&self) -> Duration {
        Duration::from_secs_f64(self.grace_s)
    }
}
