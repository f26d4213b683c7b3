//! The admission sidecar: runs beside a model engine and decides which routed
//! calls entries may send to it, and when. The calls themselves and their
//! responses travel directly between entry and engine; without the sidecar,
//! entries decide on their own. See docs/DECISIONS/0603-grants.md.
//!
//! - [`settings`]: the settings of a sidecar.
//! - [`engine`]: the interface to the engine.
//! - [`responder`]: answers the admission requests of entries.
//! - `poller`: polls the engine's status.

pub mod engine;
mod poller;
pub mod responder;
pub mod settings;

use std::io;
use std::rc::Rc;
use std::time::Duration;

use base::admin;
use base::clock::{Clock, SystemClock};
use base::listen::Binder;
use base::stop::StopSignal;
use base::task::supervise;
use spdlog::info;

use engine::Engine;
use responder::GrantResponder;
pub use settings::Settings;

/// Runs a sidecar until `stop` is triggered.
///
/// # Errors
///
/// Returns an error when a listening address can never be bound.
pub async fn run<E: Engine + 'static>(
    settings: Settings,
    engine: E,
    stop: StopSignal,
) -> io::Result<()> {
    let clock: Rc<dyn Clock> = Rc::new(SystemClock);
    let binder = Binder::new(Rc::clone(&clock), stop.clone());
    let Some(socket) = binder.udp("listen", settings.listen).await? else {
        return Ok(());
    };
    let end = StopSignal::new();
    if let Some(addr) = settings.metrics {
        let (binder, end) = (Binder::new(Rc::clone(&clock), end.clone()), end.clone());
        let serve = move |listener| admin::serve_metrics(listener, end.clone());
        binder.serve_in_background("metrics", addr, serve).await?;
    }
    info!("sidecar started", kv: {
        name = settings.name.as_str(),
        listen = settings.listen.to_string().as_str()
    });

    let responder = GrantResponder::with_grants(socket, clock, settings.controller());
    if settings.paced_streams {
        responder.enable_paces();
    }
    start_tasks(&responder, engine, settings.report_every.0, &end);
    stop.wait().await;
    let waiting = responder.grant_all().await;
    info!("sidecar stopped", kv: { name = settings.name.as_str(), waiting });
    end.trigger();
    Ok(())
}

/// Starts the tasks that decide on calls, until `end`.
fn start_tasks<E: Engine + 'static>(
    responder: &Rc<GrantResponder>,
    engine: E,
    interval: Duration,
    end: &StopSignal,
) {
    let engine = Rc::new(engine);
    let (own, stop) = (Rc::clone(responder), end.clone());
    supervise("poll engine", end.clone(), move || {
        poller::poll_engine(Rc::clone(&own), Rc::clone(&engine), interval, stop.clone())
    });
    let (own, stop) = (Rc::clone(responder), end.clone());
    supervise("poll waiting calls", end.clone(), move || {
        Rc::clone(&own).poll_waiting(stop.clone())
    });
    let own = Rc::clone(responder);
    supervise("answer entries", end.clone(), move || {
        Rc::clone(&own).listen()
    });
}
