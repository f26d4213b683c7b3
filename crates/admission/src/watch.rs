//! Following the engine's own report.

use std::rc::Rc;
use std::time::Duration;

use base::stop::StopSignal;
use spdlog::{info, warn};

use crate::desk::Desk;
use crate::edge::Engine;

/// Asks the engine for its report while there are calls, until `end`.
pub(crate) async fn follow<E: Engine>(desk: Rc<Desk>, engine: E, every: Duration, end: StopSignal) {
    let mut lost = false;
    while !end.is_triggered() {
        tokio::time::sleep(every).await;
        if desk.idle() {
            continue;
        }
        // Another life may be known by the time of the answer.
        let life = desk.life();
        let told = engine.ask().await;
        if let Some(life) = life.filter(|_| told.leaving) {
            desk.leaves(&life);
        }
        match told.report {
            Ok(report) => {
                if lost {
                    info!("engine regained", kv: { running = report.running_calls });
                }
                lost = false;
                desk.report(report);
            }
            Err(e) => {
                // The first of a row is logged; until the next report the
                // sidecar goes by the calls that it knows.
                if !lost {
                    warn!("engine lost", kv: { cause = e.to_string().as_str() });
                }
                lost = true;
                desk.lost();
            }
        }
    }
}
