//! Stopping without cutting anything off. See docs/operators/drain.md.

use std::rc::Rc;
use std::time::Duration;

use base::reason::{Executed, Refusal};
use base::stop::StopSignal;
use metrics::counter;
use spdlog::{info, warn};

use crate::error::RequestError;
use crate::state::State;

/// How long connections may take to close once nothing is in progress. A
/// caller that does not read its answer must not hold up the end for ever.
pub const CLOSE_LIMIT: Duration = Duration::from_secs(10);

/// How long requests may take to end after the cut-off.
const CUTOFF_LIMIT: Duration = Duration::from_secs(2);

/// How often the end of the last request is looked for.
const POLL: Duration = Duration::from_millis(10);

/// Waits for `stop`, drains the entry, and asks `drained` at the end.
///
/// A balancer notices some time after readiness went off, and sends requests
/// until then. Refusing these at once would fail callers on every planned
/// stop, so they are taken for the time that the settings call `linger`.
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
            warn!("entry cuts off", kv: { name = state.settings.name.as_str(), open = state.in_progress() });
            state.cutoff.trigger();
            let _ = tokio::time::timeout(CUTOFF_LIMIT, wait_idle(&state)).await;
            "cut_off"
        }
    };
    counter!("pimentocart_drains_total", "outcome" => outcome).increment(1);
    info!("entry drained", kv: { name = state.settings.name.as_str(), outcome = outcome });
    drained.trigger();
}

/// The refusal of a request that comes too late.
#[must_use]
pub fn draining_error() -> RequestError {
    RequestError::not_run(Refusal::Draining, "this entry stops; ask another one")
        .with_retry_after(Duration::from_secs(1))
}

/// How a request ends that the cut-off meets; it may have run.
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
        tokio::time::sleep(POLL).await;
    }
}
