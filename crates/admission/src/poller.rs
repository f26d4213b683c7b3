//! Polls the engine's status and passes it to the responder.

use std::rc::Rc;
use std::time::Duration;

use base::stop::StopSignal;
use spdlog::{info, warn};

use crate::engine::Engine;
use crate::responder::GrantResponder;

/// Polls the engine at `interval` while there are calls, until `end`.
pub(crate) async fn poll_engine<E: Engine>(
    responder: Rc<GrantResponder>,
    engine: Rc<E>,
    interval: Duration,
    end: StopSignal,
) {
    let mut failing = false;
    while !end.is_triggered() {
        tokio::time::sleep(interval).await;
        if responder.is_idle() {
            continue;
        }
        // The incarnation may change before the response arrives; the response
        // belongs to the one that was current when it was requested.
        let incarnation = responder.incarnation();
        let status = engine.fetch_status().await;
        if let Some(incarnation) = incarnation.filter(|_| status.leaving) {
            responder.mark_leaving(&incarnation);
        }
        match status.report {
            Ok(report) => {
                if failing {
                    info!("engine report available again", kv: { running = report.running_calls });
                }
                failing = false;
                responder.update_report(report);
            }
            Err(e) => {
                // Only the first of several consecutive failures is logged.
                // Until the next report, decisions rely on the calls that the
                // sidecar has granted.
                if !failing {
                    warn!("engine report failed", kv: { cause = e.to_string().as_str() });
                }
                failing = true;
                responder.mark_unreachable();
            }
        }
    }
}
