//! Stand-in for the platform's host list, which can be stale, frozen, empty or
//! unavailable.

use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Instant;

use actix_web::http::header::{ETAG, IF_NONE_MATCH};
use actix_web::{App, HttpRequest, HttpResponse, web};
use base::settings::HumanDuration;
use base::stop::StopSignal;
use clients::hosts::{Host, HostList, HostStatus};
use serde::{Deserialize, Serialize};
use tokio::net::TcpListener;

use crate::control::FaultControl;

/// Settings of a host list stand-in.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Address to listen on.
    pub listen: SocketAddr,
    /// Hosts that are initially in the list.
    #[serde(default)]
    pub hosts: Vec<Host>,
    /// Initial faults; can be replaced with `PUT /faults`.
    #[serde(default)]
    pub faults: Faults,
}

/// Faults of the list.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Faults {
    /// Delay after which a change becomes visible.
    pub lag: HumanDuration,
    /// Whether the list stays at the version that was last served.
    pub frozen: bool,
    /// Whether the list is served without hosts.
    pub empty: bool,
    /// Whether every request for the list fails.
    pub outage: bool,
}

/// Actual hosts, independent of the faults, and their history. Clones share the
/// same state.
#[derive(Debug, Clone)]
pub struct Registry {
    inner: Arc<Mutex<History>>,
    /// Faults; can be changed while the list is served.
    pub control: FaultControl<Faults>,
}

/// All versions of the list, so that an old version can be served.
#[derive(Debug)]
struct History {
    versions: Vec<(Instant, Arc<Vec<Host>>)>,
    /// Index of the version that was served last.
    served: usize,
}

impl Registry {
    /// Creates a registry with the given hosts.
    #[must_use]
    pub fn new(hosts: Vec<Host>) -> Self {
        let history = History {
            versions: vec![(Instant::now(), Arc::new(hosts))],
            served: 0,
        };
        Self {
            inner: Arc::new(Mutex::new(history)),
            control: FaultControl::default(),
        }
    }

    /// Adds a host, or replaces the host with the same name.
    pub fn put(&self, host: Host) {
        self.change(|hosts| {
            hosts.retain(|h| h.name != host.name);
            hosts.push(host);
        });
    }

    /// Marks a host as about to be removed.
    pub fn mark_leaving(&self, name: &str) {
        self.change(|hosts| {
            let host = hosts.iter_mut().find(|h| h.name == name);
            if let Some(host) = host {
                host.status = HostStatus::Leaving;
            }
        });
    }

    /// Removes a host.
    pub fn remove(&self, name: &str) {
        self.change(|hosts| hosts.retain(|h| h.name != name));
    }

    /// Appends a version of the list with a change.
    fn change(&self, change: impl FnOnce(&mut Vec<Host>)) {
        let mut history = self.lock();
        let last = history.versions.last().map(|(_, hosts)| hosts.as_ref());
        let mut hosts = last.cloned().unwrap_or_default();
        change(&mut hosts);
        history.versions.push((Instant::now(), Arc::new(hosts)));
    }

    /// Returns the index of the version to serve now, and its hosts.
    fn visible_version(&self, now: Instant) -> (usize, Arc<Vec<Host>>) {
        let faults = self.control.get();
        let mut history = self.lock();
        if !faults.frozen {
            let visible = |(at, _): &&(Instant, _)| now.duration_since(*at) >= faults.lag.0;
            let count = history.versions.iter().take_while(visible).count();
            // The first version is visible regardless of its age.
            history.served = count.saturating_sub(1);
        }
        let served = history.served;
        (served, Arc::clone(&history.versions[served].1))
    }

    fn lock(&self) -> MutexGuard<'_, History> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Serves the list until `stop` is triggered.
///
/// # Errors
///
/// Returns an error when the address cannot be bound or serving fails.
pub async fn run(settings: Settings, registry: Registry, stop: StopSignal) -> io::Result<()> {
    let listener = TcpListener::bind(settings.listen).await?;
    registry.control.change(|faults| *faults = settings.faults);
    let app = App::new()
        .app_data(registry)
        .route("/hosts", web::get().to(list))
        .route("/hosts/{name}", web::put().to(put))
        .route("/hosts/{name}", web::delete().to(remove))
        .route("/faults", web::put().to(set_faults));
    base::http::serve(listener, app, stop).await
}

/// Query of a request for the list.
#[derive(Debug, Deserialize)]
struct Query {
    #[serde(default)]
    region: String,
}

async fn list(http: HttpRequest, query: web::Query<Query>) -> HttpResponse {
    let Some(registry) = http.app_data::<Registry>() else {
        return HttpResponse::InternalServerError().finish();
    };
    let faults = registry.control.get();
    if faults.outage {
        return HttpResponse::ServiceUnavailable().finish();
    }
    if faults.empty {
        return HttpResponse::Ok().json(HostList::default());
    }

    let (version, hosts) = registry.visible_version(Instant::now());
    let tag = format!("\"{version}\"");
    let known = http.headers().get(IF_NONE_MATCH);
    if known.is_some_and(|v| v.as_bytes() == tag.as_bytes()) {
        return HttpResponse::NotModified().finish();
    }
    let in_region = |h: &&Host| query.region.is_empty() || h.region == query.region;
    let hosts = hosts.iter().filter(in_region).cloned().collect();
    HttpResponse::Ok()
        .insert_header((ETAG, tag))
        .json(HostList { hosts })
}

async fn put(http: HttpRequest, name: web::Path<String>, host: web::Json<Host>) -> HttpResponse {
    let Some(registry) = http.app_data::<Registry>() else {
        return HttpResponse::InternalServerError().finish();
    };
    if *name != host.name {
        return HttpResponse::BadRequest().finish();
    }
    registry.put(host.into_inner());
    HttpResponse::NoContent().finish()
}

async fn remove(http: HttpRequest, name: web::Path<String>) -> HttpResponse {
    let Some(registry) = http.app_data::<Registry>() else {
        return HttpResponse::InternalServerError().finish();
    };
    registry.remove(&name);
    HttpResponse::NoContent().finish()
}

async fn set_faults(http: HttpRequest, faults: web::Json<Faults>) -> HttpResponse {
    let Some(registry) = http.app_data::<Registry>() else {
        return HttpResponse::InternalServerError().finish();
    };
    registry.control.change(|f| *f = faults.into_inner());
    HttpResponse::NoContent().finish()
}
