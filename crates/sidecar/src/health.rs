//! Whether the backend server answers. See docs/DECISIONS/0404-silence.md.

use std::rc::Rc;
use std::time::Duration;

use base::stop::StopSignal;
use clients::engine::Error;
use spdlog::{info, warn};

use crate::metrics;
use crate::state::{BackendClient, State};

/// The first pause between two probes of a failed backend server.
const MIN_PROBE_DELAY: Duration = Duration::from_millis(50);

/// The longest pause; the new life of a backend server stays unused for so
/// long at the most.
const MAX_PROBE_DELAY: Duration = Duration::from_secs(2);

/// Time allowed for an answer to a probe.
const PROBE_TIMEOUT: Duration = Duration::from_secs(1);

/// Notes that a call of the backend server failed.
///
/// Only a server that cannot be reached counts as failed: it answers refusals
/// faster than any other server answers work, so that its empty queue would
/// draw requests from all entries, each in vain.
pub(crate) fn record_error(state: &State, error: &Error) {
    if matches!(error, Error::Connect { .. }) {
        state.mark_failed();
    }
}

/// Probes the backend server whenever it failed, until `end`.
pub(crate) async fn watch(state: Rc<State>, end: StopSignal) {
    loop {
        tokio::select! {
            () = state.backend_failure.notified() => {}
            () = end.wait() => return,
        }
        warn!("backend failed", kv: { name = state.settings.name.as_str() });
        metrics::backend_failure();

        let mut pause = MIN_PROBE_DELAY;
        while !probe_succeeds(&state).await {
            if end.is_triggered() {
                return;
            }
            tokio::time::sleep(pause.mul_f64(rand::random_range(0.5..1.0))).await;
            pause = (pause * 2).min(MAX_PROBE_DELAY);
        }
        state.mark_recovered();
        info!("backend back", kv: { name = state.settings.name.as_str() });
    }
}

async fn probe_succeeds(state: &State) -> bool {
    let probe = async {
        match &state.backend {
            BackendClient::Engine(engine) => engine.probe().await,
            BackendClient::Plain(plain) => plain.probe().await,
        }
    };
    matches!(tokio::time::timeout(PROBE_TIMEOUT, probe).await, Ok(Ok(())))
}
