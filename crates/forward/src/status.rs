//! What the entry believes, for operators.

use serde::Serialize;

use crate::duties::DutyStatus;
use crate::state::State;

/// What an entry believes.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Status {
    /// The daemon's name.
    pub name: String,
    /// The availability zone that it stands in.
    pub zone: String,
    /// Whether new connections should be sent here.
    pub ready: bool,
    /// The version of the catalog in force.
    #[serde(rename = "catalog")]
    pub catalog_version: Option<u64>,
    /// Other entries that are heard.
    #[serde(rename = "entries")]
    pub peers: usize,
    /// Backend servers that are known.
    pub servers: usize,
    /// Those of them that say in their answers that they leave.
    pub leaving: usize,
    /// Those that have asked for rest.
    #[serde(rename = "resting")]
    pub backing_off: usize,
    /// Those that name how many calls they take.
    pub limited: usize,
    /// Crashes of servers that are held against calls.
    pub crashes: usize,
    /// Calls whose answers have not left whole.
    #[serde(rename = "open")]
    pub open_calls: usize,
    /// The duties of one entry for all, where there are any.
    pub duties: Option<DutyStatus>,
}

impl Status {
    /// What `state` holds.
    #[must_use]
    pub fn of(state: &State) -> Self {
        let said = state.balancer.borrow().feedback_counts(state.clock.now());
        Self {
            name: state.settings.name.clone(),
            zone: state.settings.zone.clone(),
            ready: state.is_ready(),
            catalog_version: state.catalog.borrow().as_ref().map(|c| c.version),
            peers: state.roster.borrow().count().total.saturating_sub(1),
            servers: state.balancer.borrow().ids().len(),
            leaving: said.leaving,
            backing_off: said.backing_off,
            limited: said.limited,
            crashes: state.crashes.count(),
            open_calls: state.open_calls.get(),
            duties: state.duties.borrow().as_ref().map(|d| d.status()),
        }
    }
}
