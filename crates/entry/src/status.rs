//! Status of an entry, as shown to operators.

use std::net::SocketAddr;

use base::admin::DaemonStatus;
use base::ids::BundleSequence;
use serde::Serialize;

use crate::state::{Server, State};

/// Status of an entry.
#[derive(Debug, Clone, Serialize)]
pub struct Status {
    /// Always `entry`.
    pub role: &'static str,
    /// The entry's name.
    pub name: String,
    /// The availability zone of the host.
    pub zone: String,
    /// Whether the entry is ready for new requests.
    pub ready: bool,
    /// Sequence of the bundle in force.
    pub sequence: BundleSequence,
    /// Number of requests in progress.
    #[serde(rename = "open")]
    pub open_requests: usize,
    /// The known sidecars.
    pub sidecars: Vec<SidecarStatus>,
}

/// Status of one sidecar, as seen by the entry.
#[derive(Debug, Clone, Serialize)]
pub struct SidecarStatus {
    /// The sidecar's name.
    pub name: String,
    /// The address that it listens on.
    pub addr: SocketAddr,
    /// The availability zone of its host.
    pub zone: String,
    /// The model or the plain service that its backend server offers.
    pub serves: String,
    /// Running requests according to its last load report.
    pub running: u32,
    /// Queued requests according to its last load report.
    pub waiting: u32,
    /// Age of its last load report, in milliseconds.
    pub heard_ms: Option<u64>,
    /// Whether it is ejected as an outlier, because of failures or high latency.
    pub ejected: bool,
    /// Whether it reported that it is draining.
    pub draining: bool,
}

impl DaemonStatus for State {
    type Status = Status;

    fn status(&self) -> Status {
        let servers = self.servers();
        let sidecars = servers.iter().map(|server| self.sidecar(server));
        Status {
            role: "entry",
            name: self.settings.name.clone(),
            zone: self.settings.zone.clone(),
            ready: self.ready(),
            sequence: self.call_header().sequence,
            open_requests: self.in_progress(),
            sidecars: sidecars.collect(),
        }
    }

    fn ready(&self) -> bool {
        let known = !self.servers().is_empty();
        known && !self.draining.get() && self.bundle_sync.held.active_version().is_some()
    }
}

impl State {
    fn sidecar(&self, server: &Server) -> SidecarStatus {
        let placement = self.placement.borrow();
        let load = placement.load(server.index);
        let age = placement.load_age(self.clock.now(), server.index);
        SidecarStatus {
            name: server.info.name.clone(),
            addr: server.info.addr,
            zone: server.info.zone.clone(),
            serves: server.info.serves.clone(),
            running: load.running,
            waiting: load.waiting,
            heard_ms: age.map(|a| u64::try_from(a.as_millis()).unwrap_or(u64::MAX)),
            ejected: placement.is_ejected(server.index),
            draining: load.draining,
        }
    }
}
