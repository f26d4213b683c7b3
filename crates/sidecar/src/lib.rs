//! The daemon beside one backend server: the one place that orders work for
//! it, starts it, counts it and drains it.
//!
//! - [`settings`]: what the operators set.
//! - [`state`]: the tickets and their states.
//! - [`service`]: the inner protocol's calls.
//! - [`bundle_sync`]: the bundle that the sidecar goes by.
//! - [`status`]: what operators are shown.
//! - `health`: whether the backend server answers.
//! - `metrics`: what is counted.
//! - [`orders`]: ordering the engine to load what the bundle wants.
//! - [`cache_events`]: following the engine's cache events.
//! - [`run`]: running one ticket at the backend server.

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
use base::clock::{Clock, SystemClock};
use base::stop::StopSignal;
use base::{admin, listen};
use spdlog::info;

pub use settings::Settings;
use state::State;

/// How often held slots and waiting requests are checked for their time.
const SWEEP_INTERVAL: Duration = Duration::from_millis(10);

/// Runs a sidecar until `stop` is asked and everything in progress has ended.
///
/// # Errors
///
/// Returns the error when the settings are impossible or the sidecar cannot
/// listen.
pub async fn run(settings: Settings, stop: StopSignal) -> io::Result<()> {
    settings.check().map_err(io::Error::other)?;
    let clock: Rc<dyn Clock> = Rc::new(SystemClock);
    let listener = listen("listen", settings.listen).await?;
    let operators = settings.operators;
    info!("sidecar ready", kv: { name = settings.name.as_str(), listen = settings.listen.to_string().as_str() });

    let state = State::new(settings, clock);
    // The operators' address goes on until the process ends, so that a drain
    // can be watched.
    let end = StopSignal::new();
    if let Some(addr) = operators {
        let listener = listen("operators", addr).await?;
        actix_rt::spawn(admin::serve(listener, Rc::clone(&state), end.clone()));
    }
    actix_rt::spawn(sweep(Rc::clone(&state), end.clone()));
    if let Some(orders) = state.settings.orders.clone() {
        orders::ReconcileLoop::new(Rc::clone(&state), orders).start();
    }
    actix_rt::spawn(health::watch(Rc::clone(&state), end.clone()));
    actix_rt::spawn(cache_events::follow(Rc::clone(&state), end.clone()));
    // Entries may have to dial anew during a drain to get their answers, so
    // connections are taken until the very end.
    let service = service::Service::new(Rc::clone(&state));
    actix_rt::spawn(wire::serve::serve(listener, service, end.clone()));

    stop.wait().await;
    info!("sidecar drains", kv: { name = state.settings.name.as_str() });
    let drained = state.drain(state.settings.drain_timeout.0).await;
    metrics::drained(drained);
    info!("sidecar drained", kv: { name = state.settings.name.as_str() });
    end.trigger();
    Ok(())
}

async fn sweep(state: Rc<State>, end: StopSignal) {
    while !end.is_triggered() {
        state.sweep();
        tokio::time::sleep(SWEEP_INTERVAL).await;
    }
}
