//! Stopping without cutting anything off.

use std::rc::Rc;

use base::stop::StopSignal;
use spdlog::info;

use crate::state::State;

/// Waits for `stop`, lets the balancer notice, then has the listener closed.
///
/// The balancer goes on sending connections until it has asked twice. An
/// entry that closed its listener at once would reset callers that have done
/// nothing wrong; serving them until the balancer knows is enough.
pub async fn drain(state: Rc<State>, stop: StopSignal, closed: StopSignal) {
    stop.wait().await;
    state.stopping.trigger();
    info!("entry drains", kv: { name = state.settings.name.as_str(), open = state.open_calls.get() });
    tokio::time::sleep(state.settings.deregistration_delay()).await;
    info!("entry closes", kv: { name = state.settings.name.as_str(), open = state.open_calls.get() });
    closed.trigger();
}
