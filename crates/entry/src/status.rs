//! What an entry shows its operators.

use std::net::SocketAddr;

use base::ids::Sequence;
use base::operators::Shown;
use serde::Serialize;

use crate::state::State;

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
    pub sequence: Sequence,
    /// Requests in progress.
    pub open: usize,
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
    /// Whether it takes new work, by its own word and by the host list.
    pub takes: bool,
}

impl Shown for State {
    type Status = Status;

    fn status(&self) -> Status {
        let servers = self.servers.all();
        let sidecars = servers.iter().map(|server| SidecarStatus {
            name: server.known.name.clone(),
            addr: server.known.addr,
            zone: server.known.zone.clone(),
            serves: server.known.serves.clone(),
            takes: server.takes(),
        });
        Status {
            role: "entry",
            name: self.settings.name.clone(),
            zone: self.settings.zone.clone(),
            ready: self.ready(),
            sequence: self.stamp().sequence,
            open: self.in_progress(),
            sidecars: sidecars.collect(),
        }
    }

    fn ready(&self) -> bool {
        !self.draining.get()
    }
}
