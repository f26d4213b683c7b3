//! What a sidecar shows its operators.

use base::admin::DaemonStatus;
use base::ids::{BundleSequence, Incarnation};
use serde::Serialize;
use wire::ServerLoad;

use crate::state::State;

/// A sidecar's own view.
#[derive(Debug, Clone, Serialize)]
pub struct Status {
    /// Always `sidecar`.
    pub role: &'static str,
    /// The sidecar's name.
    pub name: String,
    /// The availability zone that the host stands in.
    pub zone: String,
    /// Whether new requests are taken.
    pub ready: bool,
    /// The bundle in force.
    pub sequence: BundleSequence,
    /// This life of the sidecar.
    pub incarnation: Incarnation,
    /// How busy the backend server is.
    pub load: ServerLoad,
}

impl DaemonStatus for State {
    type Status = Status;

    fn status(&self) -> Status {
        let reply = self.reply(());
        Status {
            role: "sidecar",
            name: self.settings.name.clone(),
            zone: self.settings.zone.clone(),
            ready: self.ready(),
            sequence: reply.sequence,
            incarnation: reply.incarnation,
            load: reply.load,
        }
    }

    fn ready(&self) -> bool {
        !self.load().draining && self.bundle_sync.ready()
    }
}
