//! Graceful shutdown of an entry.

use std::rc::Rc;

use base::stop::StopSignal;
use spdlog::info;

use crate::state::State;

/// Waits for `stop`, gives the load balancer time to notice, then triggers
/// `closed` to close the listener.
///
/// The load balancer sends new connections until two of its readiness checks
/// have failed. Closing the listener at once would reset those connections, so
/// the entry serves them until then.
pub async fn drain(state: Rc<State>, stop: StopSignal, closed: StopSignal) {
    stop.wait().await;
    state.stopping.trigger();
    info!("entry drains", kv: { name = state.settings.name.as_str(), open = state.open_calls.get() });
    tokio::time::sleep(state.settings.deregistration_delay()).await;
    info!("entry closes its listener", kv: { name = state.settings.name.as_str(), open = state.open_calls.get() });
    closed.trigger();
}
