//! The daemon beside one backend server: the one place that orders work for
//! it, starts it, counts it and drains it.
//!
//! - [`settings`]: what the operators set.
//! - [`state`]: the tickets and their states.
//! - [`service`]: the inner protocol's calls.
//! - [`run`]: running one ticket at the backend server.

pub mod run;
pub mod service;
pub mod settings;
pub mod state;

use std::io;
use std::rc::Rc;
use std::time::Duration;

use base::clock::{Clock, SystemClock};
use base::stop::Stop;
use spdlog::info;
use tokio::net::TcpListener;

pub use settings::Settings;
use state::State;

/// How often held slots and waiting requests are checked for their time.
const SWEEP: Duration = Duration::from_millis(10);

/// Runs a sidecar until `stop` is asked and everything in progress has ended.
///
/// # Errors
///
/// Returns the error when the sidecar cannot listen.
pub async fn run(settings: Settings, stop: Stop) -> io::Result<()> {
    let clock: Rc<dyn Clock> = Rc::new(SystemClock);
    let listener = TcpListener::bind(settings.listen).await?;
    info!("sidecar ready", kv: { name = settings.name.as_str(), listen = settings.listen.to_string().as_str() });

    let state = State::new(settings, clock);
    actix_rt::spawn(sweep(Rc::clone(&state), stop.clone()));
    let served = wire::serve::serve(
        listener,
        service::Service::new(Rc::clone(&state)),
        stop.clone(),
    );
    served.await;

    // Everything in progress ends whole before the process does.
    state.drain().await;
    Ok(())
}

async fn sweep(state: Rc<State>, stop: Stop) {
    while !(stop.asked() && state.idle()) {
        state.sweep();
        tokio::time::sleep(SWEEP).await;
    }
}
