//! The daemon on an entry host: the HTTP API for callers, admission, placement and
//! retries. Only entries place requests on backend servers.
//!
//! - [`settings`]: the settings of an entry.
//! - [`state`]: the shared state, with the bundle in force and the known sidecars.
//! - [`membership`]: the set of known sidecars, from the host list and replies.
//! - [`request`]: parsing and checking of requests.
//! - [`http`]: the HTTP API for callers.
//! - [`idempotency`]: calls with an idempotency key, which run at most once.
//! - [`dispatch`]: placement and retries of a request.
//! - [`reserve`]: reservation of a slot at several sidecars at once.
//! - [`start`]: start of a request at the sidecar that holds its slot.
//! - [`relay`]: streaming of an answer to the caller.
//! - [`bundle_sync`]: exchange of the bundle with the sidecars.
//! - [`status`]: the status for operators.
//! - [`drain`]: graceful shutdown.
//! - [`completion`]: the format of completion answers.
//! - [`counters`]: metrics of placement.
//! - [`error`]: errors returned to callers.

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
use base::admin;
use base::clock::{Clock, SystemClock};
use base::listen::Binder;
use base::stop::StopSignal;
use bundle::Bundle;
use spdlog::info;

use bundle_sync::BundleSync;
pub use settings::Settings;
use state::State;

/// Error for an entry that is started with neither a log nor a bundle.
const NO_BUNDLE: &str = "step=check_settings key=follow: found nothing \
    (hint: name the platform's log and the trusted operators under follow, or give --bundle)";

/// How long an entry waits for the host list before it accepts requests.
const LIST_TIMEOUT: Duration = Duration::from_secs(5);

/// Runs an entry until `stop` is triggered and the requests in progress have
/// ended. It uses `bundle` if given, or else follows the bundles in the
/// platform's log.
///
/// # Errors
///
/// Returns an error if the settings are invalid or the entry cannot listen.
pub async fn run(settings: Settings, bundle: Option<Bundle>, stop: StopSignal) -> io::Result<()> {
    settings.check().map_err(io::Error::other)?;
    let bundle_sync = match (bundle, settings.follow.clone()) {
        (Some(bundle), _) => BundleSync::fixed(bundle),
        (None, Some(follow)) => BundleSync::follow(follow, Rc::new(SystemClock)),
        (None, None) => return Err(io::Error::other(NO_BUNDLE)),
    };
    let clock: Rc<dyn Clock> = Rc::new(SystemClock);
    let binder = Binder::new(Rc::clone(&clock), stop.clone());
    let Some(listener) = binder.tcp("listen", settings.listen).await? else {
        return Ok(());
    };
    let operators = settings.operators;
    let state = State::new(settings, bundle_sync, Rc::clone(&clock));
    actix_rt::spawn(bundle_sync::fetch_initial_bundle(Rc::clone(&state)));
    membership::MembershipActor::new(Rc::clone(&state)).start();

    // The operators' address is served until the end of the drain, so that the
    // drain can be monitored.
    let admin_stop = StopSignal::new();
    if let Some(addr) = operators {
        let binder = Binder::new(clock, admin_stop.clone());
        let (own, stop) = (Rc::clone(&state), admin_stop.clone());
        let serve = move |listener| admin::serve(listener, Rc::clone(&own), stop.clone());
        binder.serve_in_background("operators", addr, serve).await?;
    }

    info!("entry ready", kv: {
        name = state.settings.name.as_str(),
        listen = state.settings.listen.to_string().as_str()
    });
    // Without known sidecars the first requests would be refused, so the entry
    // waits for the host list before it serves callers. The wait is bounded,
    // because the list may be unreachable.
    let settings = &state.settings;
    if settings.host_list.list_addr.is_some() && settings.sidecars.is_empty() {
        let _ = tokio::time::timeout(LIST_TIMEOUT, state.list_applied.wait()).await;
    }

    let drained = StopSignal::new();
    actix_rt::spawn(drain::drain(Rc::clone(&state), stop, drained.clone()));
    let app = http::app(Rc::clone(&state));
    base::http::serve_and_drain(listener, app, drained, drain::CLOSE_LIMIT).await?;
    admin_stop.trigger();
    Ok(())
}
