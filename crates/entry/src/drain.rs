//! Graceful shutdown: readiness goes off, new requests are refused, and requests
//! in progress complete. See docs/operators/drain.md.

use std::rc::Rc;
use std::time::Duration;

use base::reason::{Executed, Refusal};
use base::stop::StopSignal;
use metrics::counter;
use spdlog::{info, warn};

use crate::error::RequestError;
use crate::state::State;

/// Maximum time for connections to close once no request is in progress. A
/// caller that does not read its answer must not block the shutdown forever.
pub const CLOSE_LIMIT: Duration = Duration::from_secs(10);

/// Maximum time for requests to end after they were aborted.
const ABORT_LIMIT: Duration = Duration::from_secs(2);

/// How often the number of requests in progress is checked.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Waits for `stop`, drains the entry, and triggers `drained` at the end.
///
/// The load balancer sends requests until it notices that the entry is not
/// ready. Refusing these would cause errors on every planned shutdown, so
/// requests are accepted for the `linger` time of the settings.
pub async fn drain(state: Rc<State>, stop: StopSignal, drained: StopSignal) {
    stop.wait().await;
    let settings = state.settings.drain;
    state.draining.set(true);
    info!("entry drains", kv: { name = state.settings.name.as_str(), open = state.in_progress() });

    tokio::time::sleep(settings.linger.0).await;
    state.refusing.set(true);

    let outcome = match tokio::time::timeout(settings.time_limit.0, wait_idle(&state)).await {
        Ok(()) => "whole",
        Err(_) => {
            warn!("drain time limit reached; aborting requests", kv: { name = state.settings.name.as_str(), open = state.in_progress() });
            state.cutoff.trigger();
            let _ = tokio::time::timeout(ABORT_LIMIT, wait_idle(&state)).await;
            "cut_off"
        }
    };
    counter!("pimentocart_drains_total", "outcome" => outcome).increment(1);
    info!("entry drained", kv: { name = state.settings.name.as_str(), outcome = outcome });
    drained.trigger();
}

/// The error for a request that arrives while the entry refuses new ones.
#[must_use]
pub fn draining_error() -> RequestError {
    RequestError::not_run(Refusal::Draining, "this entry stops; ask another one")
        .with_retry_after(Duration::from_secs(1))
}

/// The error of a request that is aborted at the drain's time limit. It may have
/// run; with `begun`, a part of its answer was received.
#[must_use]
pub fn cutoff_error(begun: bool) -> RequestError {
    let ran = if begun {
        Executed::Partial
    } else {
        Executed::Unknown
    };
    RequestError {
        ran,
        ..draining_error()
    }
}

/// Waits until no request is in progress.
async fn wait_idle(state: &State) {
    while state.in_progress() > 0 {
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}
