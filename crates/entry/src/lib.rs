//! The daemon on an entry host: callers' HTTP, admission, placement and
//! retries. It is the only one that may grant a request.
//!
//! - [`settings`]: what the operators set.
//! - [`state`]: the bundle in force and the known sidecars.
//! - [`roster`]: following the host list.
//! - [`request`]: reading a caller's request.
//! - [`http`]: the callers' side.
//! - [`idempotency`]: running a call with a key at most once.
//! - [`dispatch`]: getting a request to run, again if need be.
//! - [`reserve`]: asking several sidecars for a slot.
//! - [`start`]: starting a request where a slot is held.
//! - [`relay`]: passing the answer's pieces on.
//! - [`spread`]: keeping the bundle level with the sidecars'.
//! - [`status`]: what operators are shown.
//! - [`drain`]: stopping without cutting anything off.
//! - [`shape`]: how answers are written.
//! - [`counters`]: what placement counts.
//! - [`refuse`]: the answer to a request that is refused.

pub mod bundle_sync;
pub mod completion;
pub mod counters;
pub mod dispatch;
pub mod drain;
pub mod error;
pub mod http;
pub mod idempotency;
pub mod membership;
pub mod relay;
pub mod request;
pub mod reserve;
pub mod settings;
pub mod start;
pub mod state;
pub mod status;

use std::io;
use std::rc::Rc;
use std::time::Duration;

use actix::Actor;
use base::clock::{Clock, SystemClock};
use base::stop::StopSignal;
use base::{admin, listen};
use bundle::Bundle;
use spdlog::info;

use bundle_sync::BundleSync;
pub use settings::Settings;
use state::State;

/// What an operator is told who gave neither a log nor a bundle.
const NO_BUNDLE: &str = "step=check_settings key=follow: found nothing \
    (hint: name the platform's log and the trusted operators under follow, or give --bundle)";

/// How long an entry waits for the list of hosts before it takes requests.
const LIST_WAIT: Duration = Duration::from_secs(5);

/// Runs an entry until `stop` is asked and everything in progress has ended.
/// It goes by `bundle` if there is one, else by that of the platform's log.
///
/// # Errors
///
/// Returns the error when the settings are impossible or the entry cannot
/// listen.
pub async fn run(settings: Settings, bundle: Option<Bundle>, stop: StopSignal) -> io::Result<()> {
    settings.check().map_err(io::Error::other)?;
    let bundle_sync = match (bundle, settings.follow.clone()) {
        (Some(bundle), _) => BundleSync::fixed(bundle),
        (None, Some(follow)) => BundleSync::follow(follow, Rc::new(SystemClock)),
        (None, None) => return Err(io::Error::other(NO_BUNDLE)),
    };
    let clock: Rc<dyn Clock> = Rc::new(SystemClock);
    let listener = listen("listen", settings.listen).await?;
    let operators = settings.operators;
    let state = State::new(settings, bundle_sync, clock);
    actix_rt::spawn(bundle_sync::fetch_initial_bundle(Rc::clone(&state)));
    membership::MembershipActor::new(Rc::clone(&state)).start();

    // The operators' address goes on until the process ends, so that a drain
    // can be watched.
    let end = StopSignal::new();
    if let Some(addr) = operators {
        let listener = listen("operators", addr).await?;
        actix_rt::spawn(admin::serve(listener, Rc::clone(&state), end.clone()));
    }

    info!("entry ready", kv: {
        name = state.settings.name.as_str(),
        listen = state.settings.listen.to_string().as_str()
    });
    // An entry that just started would refuse its first requests for want of
    // sidecars that the list names. They wait for it, but not for ever: the
    // list may be out of reach.
    let settings = &state.settings;
    if settings.host_list.list_addr.is_some() && settings.sidecars.is_empty() {
        let _ = tokio::time::timeout(LIST_WAIT, state.list_applied.wait()).await;
    }

    let drained = StopSignal::new();
    actix_rt::spawn(drain::drain(Rc::clone(&state), stop, drained.clone()));
    let app = http::app(Rc::clone(&state));
    base::http::serve_and_drain(listener, app, drained, drain::CLOSE_LIMIT).await?;
    end.trigger();
    Ok(())
}
