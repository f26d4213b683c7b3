//! The daemon that runs beside one backend server. All requests to the server
//! pass through it: it queues them, starts them, counts them and drains them.
//!
//! - [`settings`]: the settings of a sidecar.
//! - [`state`]: the requests, by ticket, and their phases.
//! - [`service`]: the RPC interface for entries.
//! - [`bundle_sync`]: keeps the bundle up to date.
//! - [`status`]: the status report for operators.
//! - `health`: monitors whether the backend server is reachable.
//! - `metrics`: the sidecar's metrics.
//! - [`orders`]: orders the engine to load the bundle's model and adapters.
//! - [`cache_events`]: follows the engine's cache events.
//! - [`mod@run`]: runs one request at the backend server.

pub mod bundle_sync;
pub mod cache_events;
mod health;
mod metrics;
pub mod orders;
pub mod run;
pub mod service;
pub mod settings;
pub mod state;
pub mod status;

use std::io;
use std::rc::Rc;
use std::time::Duration;

use actix::Actor;
use base::admin;
use base::clock::{Clock, SystemClock};
use base::listen::Binder;
use base::stop::StopSignal;
use base::task::supervise;
use spdlog::info;

pub use settings::Settings;
use state::State;

/// How often expired holds and leases and waiting requests are checked.
const SWEEP_INTERVAL: Duration = Duration::from_millis(10);

/// Runs a sidecar until `stop` is triggered and the drain has ended.
///
/// # Errors
///
/// Returns an error if the settings are invalid or the sidecar cannot listen.
pub async fn run(settings: Settings, stop: StopSignal) -> io::Result<()> {
    settings.check().map_err(io::Error::other)?;
    let clock: Rc<dyn Clock> = Rc::new(SystemClock);
    let binder = Binder::new(Rc::clone(&clock), stop.clone());
    let Some(listener) = binder.tcp("listen", settings.listen).await? else {
        return Ok(());
    };
    let operators = settings.operators;
    info!("sidecar ready", kv: { name = settings.name.as_str(), listen = settings.listen.to_string().as_str() });

    let state = State::new(settings, Rc::clone(&clock));
    // The operators' address is served until the process ends, so that a drain
    // can be observed.
    let end = StopSignal::new();
    if let Some(addr) = operators {
        let (binder, end) = (Binder::new(clock, end.clone()), end.clone());
        let own = Rc::clone(&state);
        let serve = move |listener| admin::serve(listener, Rc::clone(&own), end.clone());
        binder.serve_in_background("operators", addr, serve).await?;
    }
    let (own, stop_tasks) = (Rc::clone(&state), end.clone());
    supervise("sweep", end.clone(), move || {
        sweep(Rc::clone(&own), stop_tasks.clone())
    });
    if let Some(orders) = state.settings.orders.clone() {
        orders::ReconcileLoop::new(Rc::clone(&state), orders).start();
    }
    let (own, stop_tasks) = (Rc::clone(&state), end.clone());
    supervise("monitor backend", end.clone(), move || {
        health::monitor(Rc::clone(&own), stop_tasks.clone())
    });
    let (own, stop_tasks) = (Rc::clone(&state), end.clone());
    supervise("follow cache events", end.clone(), move || {
        cache_events::follow(Rc::clone(&own), stop_tasks.clone())
    });
    // Entries may have to reconnect during a drain to get their responses, so
    // connections are accepted until the process ends.
    let service = service::Service::new(Rc::clone(&state));
    actix_rt::spawn(wire::serve::serve(listener, service, end.clone()));

    stop.wait().await;
    info!("sidecar draining", kv: { name = state.settings.name.as_str() });
    let outcome = state.drain(state.settings.drain_timeout.0).await;
    metrics::drained(outcome);
    info!("sidecar drained", kv: { name = state.settings.name.as_str() });
    end.trigger();
    Ok(())
}

async fn sweep(state: Rc<State>, end: StopSignal) {
    while !end.is_triggered() {
        state.periodic_sweep();
        tokio::time::sleep(SWEEP_INTERVAL).await;
    }
}
