//! What the operators set.

use std::net::SocketAddr;
use std::time::Duration;

use base::logging::Level;
use base::settings::HumanDuration;
use policy::repeat_budget;
use serde::{Deserialize, Serialize};

/// Part of the grace time that is left for closing connections once calls in
/// progress were waited for.
const CLOSE_SHARE: f64 = 0.06;

/// Settings of an entry for routed calls.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// The daemon's name, for logs.
    pub name: String,
    /// The availability zone that it stands in.
    pub zone: String,
    /// Where callers connect.
    pub listen: SocketAddr,
    /// Where the balancer asks whether to send new connections.
    pub ready: SocketAddr,
    /// The path that the balancer asks for.
    pub ready_path: String,
    /// Where metrics are scraped, if anywhere.
    #[serde(default)]
    pub metrics: Option<SocketAddr>,
    /// Where other entries tell this one what they have in progress. Where
    /// there are duties, the port after it is used for these.
    pub gossip: SocketAddr,
    /// Hosts where other entries may run, which an entry that starts asks who
    /// there is, on its own port for other entries. Without any, entries find
    /// each other in the store alone.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    /// Whether all hosts start for the first time.
    #[serde(default)]
    pub first_start: bool,
    /// Where the sidecars beside engines answer, and on whose port they
    /// listen; without it the entry decides by itself.
    #[serde(default)]
    pub grants: Option<SocketAddr>,
    /// The platform's store.
    pub store: SocketAddr,
    /// What the host's link carries, in million bits a second; without it
    /// the link is taken to be wide enough.
    #[serde(default)]
    pub link_mbps: Option<f64>,
    /// How long a stop may take before the process is killed, in seconds.
    pub grace_s: f64,
    /// Repeats to other servers for each call, over all entries together.
    pub repeat_ratio: f64,
    /// The span over which repeats are counted, in seconds.
    pub repeat_window_s: f64,
    /// Repeats that all entries together may make beyond that for a service in
    /// such a span.
    #[serde(default)]
    pub repeat_slack: f64,
    /// How often the balancer asks; two answers in a row decide.
    #[serde(rename = "ask_every", default = "ask_every")]
    pub probe_interval: HumanDuration,
    /// Duties that one entry performs for all, where the platform has any.
    #[serde(default)]
    pub duties: Option<DutySettings>,
    /// How much is logged.
    #[serde(default)]
    pub log_level: Level,
}

/// Settings of the duties that one entry performs for all.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DutySettings {
    /// The platform's interface for duties.
    pub platform: SocketAddr,
    /// Which duties there are.
    pub kinds: Vec<DutyKind>,
    /// Calls a second that the interface takes from all daemons.
    #[serde(default = "call_rate")]
    pub rate: f64,
    /// How long a window of usage is, in seconds.
    #[serde(default = "report_window")]
    pub window_s: f64,
    /// How long after its window's end a report is due, in seconds.
    #[serde(default = "report_due")]
    pub due_s: f64,
    /// How long a host stays away from a duty that went to another one, in
    /// milliseconds.
    #[serde(default = "lease")]
    pub lease_ms: u64,
}

/// A duty.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum DutyKind {
    /// Reporting what each workspace has used.
    UsageReport,
    /// Ordering the number of backend servers.
    Autoscale,
}

impl DutySettings {
    /// Whether usage is to be reported.
    #[must_use]
    pub fn reports_usage(&self) -> bool {
        self.kinds.contains(&DutyKind::UsageReport)
    }

    /// Whether the number of backend servers is to be ordered.
    #[must_use]
    pub fn autoscales(&self) -> bool {
        self.kinds.contains(&DutyKind::Autoscale)
    }

    fn check(&self) -> Result<(), base::settings::Error> {
        use base::settings::check;
        let above = |n: f64| n.is_finite() && n > 0.0;
        let hint = "seconds above zero";
        let window = self.window_s;
        check("duties.window_s", window, above(window), hint)?;
        check("duties.due_s", self.due_s, above(self.due_s), hint)?;
        let hint = "calls a second above zero";
        check("duties.rate", self.rate, above(self.rate), hint)
    }
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

fn ask_every() -> HumanDuration {
    HumanDuration::secs(1)
}

impl Settings {
    /// Checks what parsing cannot.
    ///
    /// # Errors
    ///
    /// Returns the key, what was found and a hint.
    pub fn check(&self) -> Result<(), base::settings::Error> {
        use base::settings::check;
        let seconds = |s: f64| s.is_finite() && s > 0.0;
        let hint = "seconds above zero";
        check("grace_s", self.grace_s, seconds(self.grace_s), hint)?;
        let window = self.repeat_window_s;
        check("repeat_window_s", window, seconds(window), hint)?;
        if let Some(link) = self.link_mbps {
            check(
                "link_mbps",
                link,
                link.is_finite() && link > 0.0,
                "a rate above zero",
            )?;
        }
        self.duties.as_ref().map_or(Ok(()), DutySettings::check)?;
        let ratio = self.repeat_ratio;
        let fine = (0.0..=1.0).contains(&ratio);
        check("repeat_ratio", ratio, fine, "a share from 0 to 1")?;
        let slack = self.repeat_slack;
        let fine = slack.is_finite() && slack >= 0.0;
        check("repeat_slack", slack, fine, "a number from 0")?;
        let fine = self.ready_path.starts_with('/');
        check("ready_path", &self.ready_path, fine, "a path from its /")
    }

    /// Where other entries tell this one what its duties need.
    #[must_use]
    pub fn duty_addr(&self) -> SocketAddr {
        let gossip = self.gossip;
        SocketAddr::new(gossip.ip(), gossip.port().wrapping_add(1))
    }

    /// Where the entries on the hosts of [`Settings::seeds`] hear others; all
    /// entries use the same port for it.
    #[must_use]
    pub fn seed_addrs(&self) -> Vec<SocketAddr> {
        let port = self.gossip.port();
        let seeds = self.seeds.iter().map(|s| SocketAddr::new(s.ip(), port));
        seeds.filter(|addr| *addr != self.gossip).collect()
    }

    /// The share of calls that may be repeated.
    #[must_use]
    pub fn repeat_limit(&self) -> repeat_budget::RepeatLimit {
        repeat_budget::RepeatLimit {
            ratio: self.repeat_ratio,
            window: Duration::from_secs_f64(self.repeat_window_s),
            slack: self.repeat_slack,
        }
    }

    /// How long the balancer may take to notice that the entry stops: two
    /// questions in a row, and half of one for connections on their way.
    #[must_use]
    pub fn deregistration_delay(&self) -> Duration {
        self.probe_interval.0 * 5 / 2
    }

    /// How long calls in progress are waited for once no new ones are taken.
    #[must_use]
    pub fn drain_timeout(&self) -> Duration {
        let grace = Duration::from_secs_f64(self.grace_s * (1.0 - CLOSE_SHARE));
        grace.saturating_sub(self.deregistration_delay())
    }
}
