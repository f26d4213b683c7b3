//! What an entry shows its operators.

use std::net::SocketAddr;

use base::admin::DaemonStatus;
use base::ids::BundleSequence;
use serde::Serialize;

use crate::state::{Server, State};

/// An entry's own view.
#[derive(Debug, Clone, Serialize)]
pub struct Status {
    /// Always `entry`.
    pub role: &'static str,
    /// The entry's name.
    pub name: String,
    /// The availability zone that the host stands in.
    pub zone: String,
    /// Whether new requests are taken.
    pub ready: bool,
    /// The bundle in force.
    pub sequence: BundleSequence,
    /// Requests in progress.
    #[serde(rename = "open")]
    pub open_requests: usize,
    /// The known sidecars.
    pub sidecars: Vec<SidecarStatus>,
}

/// An entry's view of one sidecar.
#[derive(Debug, Clone, Serialize)]
pub struct SidecarStatus {
    /// The sidecar's name.
    pub name: String,
    /// Where it listens.
    pub addr: SocketAddr,
    /// The availability zone that its host stands in.
    pub zone: String,
    /// The model or the plain service that its backend server offers.
    pub serves: String,
    /// Requests that run there, as last heard.
    pub running: u32,
    /// Requests that wait there, as last heard.
    pub waiting: u32,
    /// Time since the sidecar was last heard, in milliseconds.
    pub heard_ms: Option<u64>,
    /// Whether it gets no requests because it failed or is far too slow.
    pub ejected: bool,
    /// Whether it said that it takes nothing new.
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
