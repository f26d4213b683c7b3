//! Ends runs whose connection has broken, so that no two engines work on one.
//!
//! An engine may go on with a run after the connection of its answer has ended. The run has
//! ended only if the engine says so, or if its process has ended.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use policy::balance::ServerRecord;
use policy::moves::CopyOutcome;
use spdlog::info;
use tokio::sync::oneshot;

use super::OpenStreams;
use crate::liveness;
use crate::platform::{CopyRequest, EngineControl};
use crate::relay::millis;
use crate::state::State;

/// Longest wait for the proof that a run has ended. The caller waits for its next event.
const PROOF_TIMEOUT: Duration = Duration::from_secs(1);

/// Time before an engine is asked again.
const RETRY_DELAY: Duration = Duration::from_millis(50);

/// A run that is to be stopped.
#[derive(Debug)]
pub(super) struct StopRequest {
    /// The engine that may run it.
    engine: ServerRecord,
    /// The request's ID.
    id: String,
    /// The engine that gets the copy of its KV cache.
    to: SocketAddr,
    outcome: oneshot::Sender<CopyOutcome>,
}

impl OpenStreams {
    /// Ends the run of a request whose connection to `engine` has broken. Returns the name of
    /// the copy that `engine` has made at `to`, if it still ran the request.
    ///
    /// # Errors
    ///
    /// Returns the cause if nothing shows that the run has ended.
    pub(crate) async fn end_run(
        &self,
        engine: &ServerRecord,
        id: &str,
        to: SocketAddr,
    ) -> Result<Option<String>, String> {
        match self.stop_run(engine, id, to).await {
            CopyOutcome::Copied { handle, .. } => Ok(Some(handle)),
            CopyOutcome::Refused {
                handle: Some(handle),
            } => {
                self.free(engine, handle);
                Ok(None)
            }
            CopyOutcome::NoRun | CopyOutcome::EngineGone => Ok(None),
            CopyOutcome::Refused { handle: None } => Err("the engine refused to stop".to_owned()),
            CopyOutcome::Busy => Err("another copy call is in progress".to_owned()),
            CopyOutcome::NoAnswer(cause) => Err(cause),
        }
    }

    /// Stops a run with its last copy to `to`, and waits for the outcome.
    pub(super) async fn stop_run(
        &self,
        engine: &ServerRecord,
        id: &str,
        to: SocketAddr,
    ) -> CopyOutcome {
        let (outcome, answer) = oneshot::channel();
        self.stops.borrow_mut().push(StopRequest {
            engine: engine.clone(),
            id: id.to_owned(),
            to,
            outcome,
        });
        self.changed.notify_one();
        let lost = |_| CopyOutcome::NoAnswer("step=stop: the entry ends".to_owned());
        answer.await.unwrap_or_else(lost)
    }
}

/// Stops a requested run. A copy that nobody waits for any more is freed.
pub(super) async fn serve<C: EngineControl>(
    state: Rc<State>,
    control: Rc<C>,
    request: StopRequest,
) {
    let copy = CopyRequest {
        id: &request.id,
        to: request.to,
        last: true,
    };
    let outcome = stop(&state, &*control, &request.engine, &copy).await;
    if let Err(outcome) = request.outcome.send(outcome)
        && let Some(handle) = outcome.handle()
    {
        state.moves.free(&request.engine, handle);
    }
}

/// Asks `engine` to stop a run until the outcome is certain, or until a timeout.
pub(super) async fn stop<C: EngineControl>(
    state: &State,
    control: &C,
    engine: &ServerRecord,
    copy: &CopyRequest<'_>,
) -> CopyOutcome {
    let began = state.clock.now();
    let mut latest = CopyOutcome::NoAnswer("step=stop: no answer in time".to_owned());
    let asked = tokio::time::timeout(PROOF_TIMEOUT, async {
        loop {
            latest = control.copy_run(engine.addr, copy).await;
            if latest.is_certain() {
                break;
            }
            if !liveness::is_reachable(state, engine).await {
                latest = CopyOutcome::EngineGone;
                break;
            }
            tokio::time::sleep(RETRY_DELAY).await;
        }
    });
    // After the timeout the latest answer counts, which is not certain.
    let _ = asked.await;
    let outcome = latest.label();
    metrics::counter!("pimentocart_runs_stopped_total", "outcome" => outcome).increment(1);
    let took = state.clock.now().saturating_duration_since(began);
    info!("run stopped", kv: {
        id = copy.id, engine = &*engine.id, outcome, ms = millis(took)
    });
    latest
}
