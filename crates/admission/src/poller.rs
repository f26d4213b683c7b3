//! Following the engine's own report.

use std::rc::Rc;
use std::time::Duration;

use base::stop::StopSignal;
use spdlog::{info, warn};

use crate::engine::Engine;
use crate::responder::GrantResponder;

/// Asks the engine for its report while there are calls, until `end`.
pub(crate) async fn poll_engine<E: Engine>(
    responder: Rc<GrantResponder>,
    engine: E,
    every: Duration,
    end: StopSignal,
) {
    let mut lost = false;
    while !end.is_triggered() {
        tokio::time::sleep(every).await;
        if responder.is_idle() {
            continue;
        }
        // Another life may be known by the time of the answer.
        let life = responder.incarnation();
        let told = engine.fetch_status().await;
        if let Some(life) = life.filter(|_| told.leaving) {
            responder.mark_leaving(&life);
        }
        match told.report {
            Ok(report) => {
                if lost {
                    info!("engine regained", kv: { running = report.running_calls });
                }
                lost = false;
                responder.update_report(report);
            }
            Err(e) => {
                // The first of a row is logged; until the next report the
                // sidecar goes by the calls that it knows.
                if !lost {
                    warn!("engine lost", kv: { cause = e.to_string().as_str() });
                }
                lost = true;
                responder.mark_unreachable();
            }
        }
    }
}
