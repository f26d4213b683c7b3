//! The operators' declarations for routed calls: which host and path maps to
//! which service, how often a call may run, its time limits and its callers.

use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use base::ids::Tier;
use serde::{Deserialize, Serialize};

use crate::scaling;

/// One version of the declarations, indexed for lookup.
#[derive(Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Catalog {
    /// Version number; increases, but may skip values.
    pub version: u64,
    /// Routes by lower-case host, the longest path prefix first.
    hosts: HashMap<String, Vec<Rc<Route>>>,
    services: HashMap<Rc<str>, Rc<Service>>,
    /// Workspaces by API key; none if no workspace is declared, and then no
    /// key is required.
    keys: Option<HashMap<String, Rc<Workspace>>>,
    /// Limits for callers.
    pub limits: CallerLimits,
}

/// A route and the settings that decide how its calls are served.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Route {
    /// Name for logs.
    pub name: String,
    /// Host name in the callers' requests.
    pub host: String,
    /// Path prefix; begins and ends with a slash.
    #[serde(rename = "prefix")]
    pub path_prefix: String,
    /// How often a call may run.
    pub kind: CallKind,
    /// Longest time that a caller waits.
    #[serde(rename = "timeout")]
    pub call_timeout: Duration,
    /// Target latency of the whole answer, or of the first event of a stream.
    #[serde(rename = "target")]
    pub latency_target: Duration,
    /// Target for the longest gap between two events of a stream.
    #[serde(rename = "gap")]
    pub max_gap: Option<Duration>,
    /// Time without an event after which callers leave a stream, also before its
    /// first one; none if they do not.
    pub event_timeout: Option<Duration>,
    /// Priority among the routes; a workspace's own tier takes precedence.
    pub tier: Tier,
    /// Services with their traffic weights; at least one.
    pub split: Vec<(Rc<str>, u32)>,
    /// Maximum number of backend servers to which a call is sent.
    #[serde(rename = "attempts")]
    pub max_attempts: u32,
    /// Whether callers need no API key.
    #[serde(rename = "open")]
    pub anonymous: bool,
}

/// How often a call may run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum CallKind {
    /// Any number of times.
    Idempotent,
    /// At most once.
    Once,
    /// At most once; the answer is a stream of numbered events.
    Stream,
    /// A stream that another backend server can resume after any event.
    Resumable,
}

impl CallKind {
    /// Whether a call that may have run may be sent to another server.
    #[must_use]
    pub fn repeatable(self) -> bool {
        matches!(self, Self::Idempotent | Self::Resumable)
    }

    /// Whether answers are streams of events.
    #[must_use]
    pub fn streams(self) -> bool {
        matches!(self, Self::Stream | Self::Resumable)
    }
}

/// A group of interchangeable backend servers.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Service {
    /// Name by which routes refer to it.
    pub name: Rc<str>,
    /// Maximum number of connections to one server from all callers.
    #[serde(rename = "connections")]
    pub max_connections: u32,
    /// The path at which its servers answer with the ID of their incarnation.
    #[serde(default)]
    pub health_path: Option<Rc<str>>,
    /// Set for model engines.
    pub engine: Option<Engine>,
    /// Set if the number of its servers can be scaled.
    pub scaling: Option<scaling::ScalingLimits>,
}

/// Declared properties of a service's model engines.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Engine {
    /// Requests that one engine runs concurrently.
    pub slots: u32,
    /// KV cache size of one engine in tokens.
    #[serde(rename = "memory")]
    pub memory_tokens: u64,
    /// Tokens per event of a stream.
    #[serde(rename = "stride")]
    pub event_tokens: u32,
    /// Time to copy the KV cache of one token between engines, if declared.
    #[serde(rename = "copy")]
    pub copy_time: Option<Duration>,
    /// Whether a running call can be moved to another engine.
    #[serde(default)]
    pub moves: bool,
    /// Whether an engine can send a running call's KV cache to another one as it
    /// grows.
    #[serde(default)]
    pub backups: bool,
}

/// Settings of a workspace that affect its calls.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Workspace {
    /// Name, which is passed to backend servers.
    pub name: String,
    /// Priority, which takes precedence over the route's.
    pub tier: Option<Tier>,
}

/// Limits for callers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallerLimits {
    /// Maximum request body size in bytes.
    #[serde(rename = "body")]
    pub max_body: usize,
    /// How long an idle connection is kept open.
    #[serde(rename = "idle")]
    pub idle_timeout: Duration,
}

impl Default for CallerLimits {
    fn default() -> Self {
        Self {
            max_body: 4 << 20,
            idle_timeout: Duration::from_secs(15),
        }
    }
}

/// Whether a caller may use a route.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Access {
    /// Allowed without a workspace.
    Open,
    /// Allowed as this workspace.
    Workspace(Rc<Workspace>),
    /// The key is missing or unknown.
    Denied,
}

impl Catalog {
    /// Builds a catalog version. `keys` is none if no workspace is declared,
    /// and then no key is required.
    #[must_use]
    pub fn new(
        version: u64,
        routes: Vec<Route>,
        services: Vec<Service>,
        keys: Option<HashMap<String, Rc<Workspace>>>,
        limits: CallerLimits,
    ) -> Self {
        let mut hosts: HashMap<String, Vec<Rc<Route>>> = HashMap::new();
        for route in routes {
            let host = route.host.to_ascii_lowercase();
            hosts.entry(host).or_default().push(Rc::new(route));
        }
        for routes in hosts.values_mut() {
            routes.sort_by_key(|r| std::cmp::Reverse(r.path_prefix.len()));
        }
        let named = |s: Service| (Rc::clone(&s.name), Rc::new(s));
        Self {
            version,
            hosts,
            services: services.into_iter().map(named).collect(),
            keys,
            limits,
        }
    }

    /// The route of a call: the longest matching path prefix of its host.
    #[must_use]
    pub fn route(&self, host: &str, path: &str) -> Option<&Rc<Route>> {
        let name = host.rsplit_once(':').map_or(host, |(name, port)| {
            match port.bytes().all(|b| b.is_ascii_digit()) {
                true => name,
                false => host,
            }
        });
        let routes = self.hosts.get(&name.to_ascii_lowercase())?;
        routes.iter().find(|r| path.starts_with(&r.path_prefix))
    }

    /// Whether a caller with `key` may use `route`.
    #[must_use]
    pub fn access(&self, route: &Route, key: Option<&str>) -> Access {
        let Some(keys) = &self.keys else {
            return Access::Open;
        };
        match key.and_then(|k| keys.get(k)) {
            Some(workspace) => Access::Workspace(Rc::clone(workspace)),
            None if route.anonymous => Access::Open,
            None => Access::Denied,
        }
    }

    /// The declaration of a service.
    #[must_use]
    pub fn service(&self, name: &str) -> Option<&Rc<Service>> {
        self.services.get(name)
    }

    /// All declared services.
    pub fn services(&self) -> impl Iterator<Item = &Rc<Service>> {
        self.services.values()
    }

    /// Number of declared routes.
    #[must_use]
    pub fn route_count(&self) -> usize {
        self.hosts.values().map(Vec::len).sum()
    }
}

impl Route {
    /// Picks the service of one call; `sample` is uniformly random in 0..1.
    #[must_use]
    pub fn pick_service(&self, sample: f64) -> Option<&Rc<str>> {
        let total: u64 = self.split.iter().map(|(_, w)| u64::from(*w)).sum();
        let mut remaining = (sample * total as f64) as u64;
        for (service, weight) in &self.split {
            let weight = u64::from(*weight);
            if remaining < weight {
                return Some(service);
            }
            remaining -= weight;
        }
        self.split.iter().rfind(|(_, w)| *w > 0).map(|(s, _)| s)
    }
}
