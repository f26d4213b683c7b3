//! The entry for routed calls: each goes straight to a backend server and its
//! answer straight back. See docs/DECISIONS/0601-on-the-platform.md.
//!
//! - [`settings`]: what the operators set.
//! - [`platform`]: what a platform has to translate for this package.
//! - [`follow`]: reading the platform's tables from the store.
//! - [`neighbours`]: asking a neighbour for them, and answering neighbours.
//! - [`tables`]: what they say, put to use.
//! - [`state`]: the catalog in force, the known servers, what is open.
//! - [`grants`]: asking the sidecars beside engines.
//! - [`discovery`]: finding the other entries.
//! - [`gossip`]: what entries tell each other.
//! - [`http`]: the callers' side.
//! - [`call`]: one call, and getting it to run.
//! - [`crashes`]: servers that crash, and the calls under which they do.
//! - [`pool`]: connections to backend servers.
//! - [`exchange`]: sending a call once, and what is known when it fails.
//! - [`relay`]: passing a stream on, and going on with it elsewhere.
//! - [`events`]: where the events of a stream end, and their numbers.
//! - [`reply`]: answers to callers.
//! - [`reload`]: reading the settings again.
//! - [`duties`]: what one entry does for all.
//! - [`status`]: what the entry believes, for operators.
//! - [`drain`]: stopping without cutting anything off.

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
pub mod neighbours;
pub mod platform;
pub mod pool;
pub mod relay;
pub mod reload;
pub mod reply;
pub mod settings;
pub mod state;
pub mod status;
pub mod tables;

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

/// Runs an entry for routed calls until `stop` is asked and everything in
/// progress has ended.
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
        // Others perform the duties; callers are served all the same.
        Err(e) => {
            let addr = settings.duty_addr().to_string();
            warn!("duties left to others", kv: {
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
    let endpoint = GossipEndpoint::new(Rc::clone(&state), socket);
    actix_rt::spawn(Rc::clone(&endpoint).run(end.clone()));
    actix_rt::spawn(discovery::run(
        Rc::clone(&state),
        endpoint,
        platform.directory(),
        end.clone(),
    ));
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
    let limit = state.settings.drain_timeout();
    base::http::serve_and_drain(listener, app, closed, limit).await?;
    info!("entry stopped", kv: { name = state.settings.name.as_str(), open = state.open_calls.get() });
    end.trigger();
    Ok(())
}

/// Starts what counts, holds and performs the duties, until `end`.
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
