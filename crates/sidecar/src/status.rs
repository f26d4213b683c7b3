//! The status report of a sidecar.

use base::admin::DaemonStatus;
use base::ids::{BundleSequence, Incarnation};
use serde::Serialize;
use wire::ServerLoad;

use crate::state::State;

/// The status that a sidecar reports to operators.
#[derive(Debug, Clone, Serialize)]
pub struct Status {
    /// Always `sidecar`.
    pub role: &'static str,
    /// The sidecar's name.
    pub name: String,
    /// The availability zone of the host.
    pub zone: String,
    /// Whether the sidecar accepts new requests.
    pub ready: bool,
    /// The sequence number of the bundle in force.
    pub sequence: BundleSequence,
    /// Identifies this process; a restart gets another one.
    pub incarnation: Incarnation,
    /// The current load of the backend server.
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
