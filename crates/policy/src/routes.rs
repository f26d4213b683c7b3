//! What operators declare about routed calls: which host and path goes to
//! which service, how often it may run, how long it may take and who may ask.

use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use base::ids::Tier;
use serde::{Deserialize, Serialize};

use crate::scaling;

/// One version of what the operators declared, ready for lookups.
#[derive(Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Catalog {
    /// Grows with each version, in uneven steps.
    pub version: u64,
    /// Routes by host in lower case, the longest prefix first.
    hosts: HashMap<String, Vec<Rc<Route>>>,
    /// Services by name.
    services: HashMap<Rc<str>, Rc<Service>>,
    /// Who owns each key; without any workspace no key is asked for.
    keys: Option<HashMap<String, Rc<Workspace>>>,
    /// What a caller may send.
    pub limits: CallerLimits,
}

/// A route and all that decides how its calls are served.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Route {
    /// Its name, for logs.
    pub name: String,
    /// The host that callers name.
    pub host: String,
    /// The start of the path; begins and ends with a slash.
    #[serde(rename = "prefix")]
    pub path_prefix: String,
    /// How often a call may run.
    pub kind: CallKind,
    /// How long a caller is kept waiting at most.
    #[serde(rename = "timeout")]
    pub call_timeout: Duration,
    /// Time to the whole answer, or to the first event of a stream, that
    /// callers want.
    #[serde(rename = "target")]
    pub latency_target: Duration,
    /// Longest pause between two events of a stream that callers want.
    #[serde(rename = "gap")]
    pub max_gap: Option<Duration>,
    /// Rank among the routes; a workspace's own rank goes before it.
    pub tier: Tier,
    /// Services with their weights; one at least.
    pub split: Vec<(Rc<str>, u32)>,
    /// Backend servers to which one call may be sent.
    #[serde(rename = "attempts")]
    pub max_attempts: u32,
    /// Whether callers need no key.
    #[serde(rename = "open")]
    pub anonymous: bool,
}

/// How often a call may run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum CallKind {
    /// As often as need be.
    Idempotent,
    /// Once at most.
    Once,
    /// Once at most; the answer is a stream of numbered events.
    Stream,
    /// A stream that another backend server can go on with after any event.
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

/// A set of equal backend servers.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Service {
    /// Its name.
    pub name: Rc<str>,
    /// Connections that one server takes from all callers together.
    #[serde(rename = "connections")]
    pub max_connections: u32,
    /// Set for model engines.
    pub engine: Option<Engine>,
    /// Set where the number of its servers may be ordered.
    pub scaling: Option<scaling::ScalingLimits>,
}

/// What is declared about the model engines of a service.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Engine {
    /// Requests that one engine runs at once.
    pub slots: u32,
    /// Tokens that one engine's memory holds.
    #[serde(rename = "memory")]
    pub memory_tokens: u64,
    /// Tokens in one event of a stream.
    #[serde(rename = "stride")]
    pub event_tokens: u32,
    /// Time to copy a token of memory from one engine to another; none where
    /// nothing is declared.
    #[serde(rename = "copy")]
    pub copy_time: Option<Duration>,
}

/// A workspace, as far as it decides how its calls are served.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Workspace {
    /// Its name, which backend servers are told.
    pub name: String,
    /// Its rank, which goes before the route's.
    pub tier: Option<Tier>,
}

/// What a caller may send.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallerLimits {
    /// Largest body, in bytes.
    #[serde(rename = "body")]
    pub max_body: usize,
    /// How long an idle connection is kept.
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
    /// It may; no workspace is known.
    Open,
    /// It may, as this workspace.
    Workspace(Rc<Workspace>),
    /// Its key is missing or belongs to nobody.
    Denied,
}

impl Catalog {
    /// Puts a version together. `keys` is none when no workspace is declared
    /// at all, and then no key is asked for.
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

    /// The route of a call: of those of its host, the one with the longest
    /// prefix that its path begins with.
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

    /// What is declared about a service.
    #[must_use]
    pub fn service(&self, name: &str) -> Option<&Rc<Service>> {
        self.services.get(name)
    }

    /// All services.
    pub fn services(&self) -> impl Iterator<Item = &Rc<Service>> {
        self.services.values()
    }

    /// How many routes are declared.
    #[must_use]
    pub fn route_count(&self) -> usize {
        self.hosts.values().map(Vec::len).sum()
    }
}

impl Route {
    /// The service of one call, by a number drawn evenly from 0 to 1.
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
