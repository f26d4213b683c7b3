//! The entry for routed calls: it forwards each call directly to a backend server and
//! the answer directly back. See docs/DECISIONS/0601-on-the-platform.md.
//!
//! - [`settings`]: the settings of an entry.
//! - [`platform`]: the interfaces that a platform implements for this package.
//! - [`follow`]: reads the platform's tables from the store.
//! - [`neighbours`]: copies the tables from a peer, and serves peers that ask.
//! - [`tables`]: applies changes of the tables.
//! - [`state`]: the catalog in force, the known servers and the calls in progress.
//! - [`grants`]: asks the sidecars next to engines for admission.
//! - [`discovery`]: discovers the other entries.
//! - [`gossip`]: exchanges load reports with the other entries.
//! - [`http`]: the HTTP interface for callers and operators.
//! - [`call`]: the processing of one call.
//! - [`crashes`]: server crashes, and the calls that may have caused them.
//! - [`memory`]: the bytes held for callers and servers, and their limit.
//! - [`pool`]: connections to backend servers.
//! - [`exchange`]: one attempt to send a call, and what is known when it fails.
//! - `liveness`: whether the server that ended an answer is still alive.
//! - [`relay`]: passes a stream on, and resumes it at another server.
//! - [`origins`]: which software version began a stream that a caller takes up.
//! - [`versions`]: records in the store which software versions each service has.
//! - [`origin_log`]: writes these versions to the store, and reads them at the start.
//! - [`moves`]: moves streams away from engines that leave.
//! - [`events`]: splits a stream into its numbered events.
//! - [`reply`]: answers to callers.
//! - [`reload`]: reads the settings again at run time.
//! - [`duties`]: duties that one entry performs for the whole fleet.
//! - `shares`: refuses calls of workspaces above their share of a full service.
//! - [`status`]: the entry's status, for operators.
//! - [`drain`]: stops the entry without interrupting calls.

pub mod call;
pub mod crashes;
pub mod discovery;
pub mod drain;
pub mod duties;
pub mod events;
pub mod exchange;
pub mod follow;
pub mod gossip;
pub mod grants;
pub mod http;
mod liveness;
pub mod memory;
pub mod moves;
pub mod neighbours;
pub mod origin_log;
pub mod origins;
pub mod platform;
pub mod pool;
pub mod relay;
pub mod reload;
pub mod reply;
pub mod settings;
mod shares;
pub mod state;
pub mod status;
pub mod tables;
pub mod versions;

use std::io;
use std::rc::Rc;

use base::clock::{Clock, SystemClock};
use base::listen;
use base::stop::StopSignal;
use duties::Duties;
use gossip::GossipEndpoint;
use platform::{Dialect, Platform};
use spdlog::{info, warn};
use tokio::net::UdpSocket;

pub use settings::Settings;
use state::State;

/// Runs an entry for routed calls until `stop` is triggered and all calls in progress
/// have ended.
///
/// # Errors
///
/// Returns the error when the entry cannot listen.
pub async fn run<P: Platform>(
    settings: Settings,
    dialect: Rc<dyn Dialect>,
    platform: P,
    stop: StopSignal,
) -> io::Result<()> {
    let clock: Rc<dyn Clock> = Rc::new(SystemClock);
    let listener = listen("listen", settings.listen).await?;
    let ready = listen("ready", settings.ready).await?;
    let metrics = match settings.metrics {
        Some(addr) => Some(listen("metrics", addr).await?),
        None => None,
    };
    let socket = UdpSocket::bind(settings.gossip).await?;
    let duties = match Duties::bind(&settings, Rc::clone(&clock)).await {
        Ok(duties) => duties,
        // Other entries can perform the duties; this one can still serve callers.
        Err(e) => {
            let addr = settings.duty_addr().to_string();
            warn!("duty port not bound; duties left to other entries", kv: {
                step = "bind", addr = addr.as_str(), cause = e.to_string().as_str()
            });
            None
        }
    };
    let state = State::new(settings, dialect, clock);
    if let Some(addr) = state.settings.grants {
        let sidecars = grants::SidecarClient::bind(addr).await?;
        *state.sidecars.borrow_mut() = Some(sidecars);
    }

    let end = StopSignal::new();
    if let Some(duties) = duties {
        start_duties(&state, duties, &platform, &end);
    }
    actix_rt::spawn(neighbours::bind_and_answer(Rc::clone(&state), end.clone()));
    actix_rt::spawn(neighbours::follow(Rc::clone(&state), end.clone()));
    actix_rt::spawn(follow::catalogs(Rc::clone(&state), platform.catalogs()));
    actix_rt::spawn(follow::servers(Rc::clone(&state), platform.servers()));
    actix_rt::spawn(follow::crashes(Rc::clone(&state), platform.crashes()));
    actix_rt::spawn(crashes::write_to_store(
        Rc::clone(&state),
        platform.crashes(),
        end.clone(),
    ));
    actix_rt::spawn(follow::versions(Rc::clone(&state), platform.versions()));
    actix_rt::spawn(versions::read_for_calls(
        Rc::clone(&state),
        platform.versions(),
        end.clone(),
    ));
    actix_rt::spawn(versions::write_to_store(
        Rc::clone(&state),
        platform.versions(),
        end.clone(),
    ));
    actix_rt::spawn(origin_log::load(
        Rc::clone(&state),
        platform.origins(),
        end.clone(),
    ));
    actix_rt::spawn(origin_log::write(
        Rc::clone(&state),
        platform.origins(),
        end.clone(),
    ));
    let endpoint = GossipEndpoint::new(Rc::clone(&state), socket);
    actix_rt::spawn(Rc::clone(&endpoint).run(end.clone()));
    actix_rt::spawn(discovery::run(
        Rc::clone(&state),
        endpoint,
        platform.directory(),
        end.clone(),
    ));
    if state.settings.moves {
        let control = platform.engine_control();
        actix_rt::spawn(moves::run(Rc::clone(&state), control, end.clone()));
    }
    actix_rt::spawn(state::sweep(Rc::clone(&state), end.clone()));
    for listener in [Some(ready), metrics].into_iter().flatten() {
        actix_rt::spawn(http::serve_operators(
            listener,
            Rc::clone(&state),
            end.clone(),
        ));
    }
    info!("entry started", kv: {
        name = state.settings.name.as_str(),
        zone = state.settings.zone.as_str(),
        listen = state.settings.listen.to_string().as_str()
    });

    let closed = StopSignal::new();
    actix_rt::spawn(drain::drain(Rc::clone(&state), stop, closed.clone()));
    let app = http::app(Rc::clone(&state));
    let drain_timeout = state.settings.drain_timeout();
    let connections = Rc::clone(&state.memory.connections);
    base::http::serve_limited_and_drain(listener, app, closed, drain_timeout, connections).await?;
    info!("entry stopped", kv: { name = state.settings.name.as_str(), open = state.open_calls.get() });
    end.trigger();
    Ok(())
}

/// Starts the tasks that elect the holder of the duties and perform them, until `end`.
fn start_duties<P: Platform>(
    state: &Rc<State>,
    duties: Rc<Duties>,
    platform: &P,
    end: &StopSignal,
) {
    *state.duties.borrow_mut() = Some(Rc::clone(&duties));
    let (records, duty_api) = (
        platform.duty_store(),
        platform.duty_api(duties.platform_addr()),
    );
    actix_rt::spawn(duties::scale::run(
        Rc::clone(state),
        Rc::clone(&duties),
        platform.duty_api(duties.platform_addr()),
        end.clone(),
    ));
    actix_rt::spawn(duties::messages::receive(Rc::clone(&duties)));
    actix_rt::spawn(duties::messages::send_counts(
        Rc::clone(&duties),
        end.clone(),
    ));
    actix_rt::spawn(duties::report::run(
        Rc::clone(&duties),
        duty_api,
        end.clone(),
    ));
    actix_rt::spawn(duties::election::run(
        Rc::clone(state),
        duties,
        records,
        end.clone(),
    ));
}
