//! The daemon on an entry host: callers' HTTP, admission, placement and
//! retries. It is the only one that may grant a request.
//!
//! - [`settings`]: what the operators set.
//! - [`state`]: the bundle in force and the requests in progress.
//! - [`servers`]: the known sidecars.
//! - [`roster`]: following the host list.
//! - [`request`]: reading a caller's request.
//! - [`http`]: the callers' side.
//! - [`dispatch`]: getting a slot for a request and starting it there.
//! - [`relay`]: passing the answer's pieces on.
//! - [`status`]: what operators are shown.
//! - [`shape`]: how answers are written.
//! - [`refuse`]: the answer to a request that is refused.

pub mod dispatch;
pub mod http;
pub mod refuse;
pub mod relay;
pub mod request;
pub mod roster;
pub mod servers;
pub mod settings;
pub mod shape;
pub mod state;
pub mod status;

use std::io;
use std::rc::Rc;

use actix::Actor;
use base::clock::{Clock, SystemClock};
use base::stop::Stop;
use base::{listen, operators};
use bundle::Bundle;
use spdlog::info;

pub use settings::Settings;
use state::State;

/// Runs an entry until `stop` is asked and everything in progress has ended.
///
/// # Errors
///
/// Returns the error when the settings are impossible or the entry cannot
/// listen.
pub async fn run(settings: Settings, bundle: Bundle, stop: Stop) -> io::Result<()> {
    settings.check().map_err(io::Error::other)?;
    let clock: Rc<dyn Clock> = Rc::new(SystemClock);
    let listener = listen("listen", settings.listen).await?;
    let operators = settings.operators;
    let state = State::new(settings, bundle, clock);
    roster::Roster::new(Rc::clone(&state)).start();

    // The operators' address goes on until the process ends, so that a drain
    // can be watched.
    let end = Stop::new();
    if let Some(addr) = operators {
        let listener = listen("operators", addr).await?;
        actix_rt::spawn(operators::serve(listener, Rc::clone(&state), end.clone()));
    }

    info!("entry ready", kv: {
        name = state.settings.name.as_str(),
        listen = state.settings.listen.to_string().as_str()
    });
    base::http::serve(listener, http::app(Rc::clone(&state)), stop).await?;

    state.draining.set(true);
    state.drain().await;
    end.ask();
    Ok(())
}
