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

use std::io;
use std::rc::Rc;

use actix::Actor;
use base::clock::{Clock, SystemClock};
use base::stop::Stop;
use bundle::Bundle;
use spdlog::info;
use tokio::net::TcpListener;

pub use settings::Settings;
use state::State;

/// Runs an entry until `stop` is asked and everything in progress has ended.
///
/// # Errors
///
/// Returns the error when the entry cannot listen.
pub async fn run(settings: Settings, bundle: Bundle, stop: Stop) -> io::Result<()> {
    let clock: Rc<dyn Clock> = Rc::new(SystemClock);
    let listener = TcpListener::bind(settings.listen).await?;
    info!("entry ready", kv: { name = settings.name.as_str(), listen = settings.listen.to_string().as_str() });

    let state = State::new(settings, bundle, clock);
    roster::Roster::new(Rc::clone(&state)).start();
    base::http::serve(listener, http::app(Rc::clone(&state)), stop).await?;
    state.drain().await;
    Ok(())
}
