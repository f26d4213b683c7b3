//! An entry's status, for operators.

use serde::Serialize;

use crate::duties::DutyStatus;
use crate::state::State;

/// An entry's own state and what it knows of the fleet.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Status {
    /// Name of the daemon.
    pub name: String,
    /// Availability zone of the host.
    pub zone: String,
    /// Whether the load balancer should send new connections here.
    pub ready: bool,
    /// Version of the catalog in force, if any.
    #[serde(rename = "catalog")]
    pub catalog_version: Option<u64>,
    /// Number of other live entries.
    #[serde(rename = "entries")]
    pub peers: usize,
    /// Number of known backend servers.
    pub servers: usize,
    /// Servers that are draining, by their own feedback.
    pub leaving: usize,
    /// Servers in a backoff that they asked for.
    #[serde(rename = "resting")]
    pub backing_off: usize,
    /// Servers that have set a rate limit.
    pub limited: usize,
    /// Server crashes that are attributed to calls.
    pub crashes: usize,
    /// Parts of prompts with which calls are refused, since servers crash under them.
    #[serde(rename = "accused")]
    pub accused_parts: usize,
    /// Calls whose answers have not been sent completely.
    #[serde(rename = "open")]
    pub open_calls: usize,
    /// Open connections of callers.
    pub connections: usize,
    /// Bytes held for callers and servers.
    #[serde(rename = "held")]
    pub held_bytes: usize,
    /// Streams of which the software version that began them is known.
    pub origins: usize,
    /// Software versions that are recorded in the store.
    #[serde(rename = "versions")]
    pub recorded_versions: usize,
    /// Streams of which this entry has written that to the store since its start.
    pub streams_stored: u64,
    /// Moves of streams in progress, if moves are enabled.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub moves: Option<usize>,
    /// Status of the fleet-wide duties, if any are configured.
    pub duties: Option<DutyStatus>,
}

impl Status {
    /// The status of the entry with this `state`.
    #[must_use]
    pub fn of(state: &State) -> Self {
        let feedback = state.balancer.borrow().feedback_counts(state.clock.now());
        Self {
            name: state.settings.name.clone(),
            zone: state.settings.zone.clone(),
            ready: state.is_ready(),
            catalog_version: state.catalog.borrow().as_ref().map(|c| c.version),
            peers: state.roster.borrow().count().total.saturating_sub(1),
            servers: state.balancer.borrow().ids().len(),
            leaving: feedback.leaving,
            backing_off: feedback.backing_off,
            limited: feedback.limited,
            crashes: state.crashes.count(),
            accused_parts: state.crashes.accused_parts(),
            open_calls: state.open_calls.get(),
            connections: state.memory.connections.count(),
            held_bytes: state.memory.held(),
            origins: state.origins.count(),
            recorded_versions: state.versions.count(),
            streams_stored: state.origins.log.stored_count(),
            moves: state.settings.moves.then(|| state.moves.in_progress()),
            duties: state.duties.borrow().as_ref().map(|d| d.status()),
        }
    }
}
