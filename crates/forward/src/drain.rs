//! Graceful shutdown of an entry. See docs/design/stopping.md.

use std::rc::Rc;

use base::stop::StopSignal;
use spdlog::{info, warn};
use tokio::time::sleep;

use crate::state::State;

/// Waits for `stop`, gives the load balancer time to notice, then triggers
/// `closed` to close the listener. Before the grace period ends, calls are refused
/// and those in progress are ended, so that each caller learns what became of its call.
/// Triggers `ended` when no more answers are written.
///
/// The load balancer sends new connections until two of its readiness checks
/// have failed. Closing the listener at once would reset those connections, so
/// the entry answers them until then.
pub async fn drain(state: Rc<State>, stop: StopSignal, closed: StopSignal, ended: StopSignal) {
    stop.wait().await;
    state.stop();
    let settings = &state.settings;
    let name = settings.name.as_str();
    info!("entry drains", kv: { name, open = state.open_calls.get() });
    let refuse = async {
        sleep(settings.sending_time()).await;
        info!("entry refuses calls", kv: { name, open = state.open_calls.get() });
        state.refusing.set(true);
    };
    let close = async {
        sleep(settings.deregistration_delay()).await;
        info!("entry closes its listener", kv: { name, open = state.open_calls.get() });
        closed.trigger();
    };
    let cut = async {
        sleep(settings.cutoff_time()).await;
        warn!("grace period ends; ending calls", kv: { name, open = state.open_calls.get() });
        state.cutoff.trigger();
        // Counted from here, so that answers are written also if this task ran late.
        sleep(settings.close_time()).await;
        ended.trigger();
    };
    tokio::join!(refuse, close, cut);
}
