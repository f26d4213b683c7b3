//! Monitors whether the backend server is reachable. See
//! docs/DECISIONS/0404-silence.md.

use std::rc::Rc;
use std::time::Duration;

use base::stop::StopSignal;
use clients::engine::Error;
use spdlog::{info, warn};

use crate::metrics;
use crate::state::{BackendClient, State};

/// Initial delay between two probes of an unreachable backend server.
const MIN_PROBE_DELAY: Duration = Duration::from_millis(50);

/// Maximum delay between probes. A restarted backend server stays unused for at
/// most this long.
const MAX_PROBE_DELAY: Duration = Duration::from_secs(2);

/// Timeout of one probe.
const PROBE_TIMEOUT: Duration = Duration::from_secs(1);

/// Records that a call to the backend server failed.
///
/// Only an unreachable backend server counts as failed. Its calls fail faster
/// than other servers process requests, so its empty queue would attract
/// requests from all entries, and each of them would fail.
pub(crate) fn record_error(state: &State, error: &Error) {
    if matches!(error, Error::Connect { .. }) {
        state.mark_failed();
    }
}

/// Probes the backend server after each failure until it is reachable again;
/// returns when `end` is triggered.
pub(crate) async fn monitor(state: Rc<State>, end: StopSignal) {
    loop {
        tokio::select! {
            () = state.backend_failure.notified() => {}
            () = end.wait() => return,
        }
        warn!("backend server unreachable", kv: { name = state.settings.name.as_str() });
        metrics::backend_failure();

        let mut delay = MIN_PROBE_DELAY;
        while !probe_succeeds(&state).await {
            if end.is_triggered() {
                return;
            }
            tokio::time::sleep(delay.mul_f64(rand::random_range(0.5..1.0))).await;
            delay = (delay * 2).min(MAX_PROBE_DELAY);
        }
        state.mark_recovered();
        info!("backend server reachable again", kv: { name = state.settings.name.as_str() });
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
