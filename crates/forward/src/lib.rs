//! The entry for routed calls: it forwards each call directly to a backend server and
//! the answer directly back. See docs/DECISIONS/0601-on-the-platform.md.
//!
//! - [`settings`]: the settings of an entry.
//! - [`platform`]: the interfaces that a platform implements for this package.
//! - [`follow`]: reads the platform's tables from the store.
//! - [`neighbours`]: copies the tables from a peer, and serves peers that ask.
//! - [`tables`]: applies changes of the tables.
//! - `tasks`: the background tasks of an entry.
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
mod tasks;
pub mod versions;
mod wait;

use std::io;
use std::rc::Rc;

use base::clock::{Clock, SystemClock};
use base::listen::Binder;
use base::stop::StopSignal;
use gossip::GossipEndpoint;
use grants::SidecarClient;
use platform::{Dialect, Platform};
use spdlog::info;
use tokio::net::{TcpListener, UdpSocket};

pub use settings::Settings;
use state::State;
use tasks::Tasks;

/// Runs an entry for routed calls until `stop` is triggered and all calls in progress
/// have ended.
///
/// # Errors
///
/// Returns the error when an address of the settings can never be bound.
pub async fn run<P: Platform + 'static>(
    settings: Settings,
    dialect: Rc<dyn Dialect>,
    platform: P,
    stop: StopSignal,
) -> io::Result<()> {
    let clock: Rc<dyn Clock> = Rc::new(SystemClock);
    let binder = Binder::new(Rc::clone(&clock), stop.clone());
    let Some(sockets) = Sockets::bind(&settings, &binder).await? else {
        return Ok(());
    };
    let state = State::new(settings, dialect, Rc::clone(&clock));
    let sidecars = sockets.grants.zip(state.settings.grants);
    *state.sidecars.borrow_mut() =
        sidecars.map(|(socket, addr)| SidecarClient::new(socket, addr.port()));

    let end = StopSignal::new();
    let binder = Binder::new(Rc::clone(&clock), end.clone());
    let tasks = Tasks {
        state: Rc::clone(&state),
        platform: Rc::new(platform),
        end: end.clone(),
    };
    tasks.start_duties(clock, &binder);
    tasks.start_tables();
    tasks.start_gossip(GossipEndpoint::new(Rc::clone(&state), sockets.gossip));
    tasks.start_upkeep();
    serve_peers_and_operators(&state, &binder, &end).await?;
    info!("entry started", kv: {
        name = state.settings.name.as_str(),
        zone = state.settings.zone.as_str(),
        listen = state.settings.listen.to_string().as_str()
    });

    let (closed, ended) = (StopSignal::new(), StopSignal::new());
    let drain = drain::drain(Rc::clone(&state), stop, closed.clone(), ended.clone());
    actix_rt::spawn(drain);
    let app = http::app(Rc::clone(&state));
    let grace = state.settings.grace();
    let connections = Rc::clone(&state.memory.connections);
    let serve =
        base::http::serve_limited_and_drain(sockets.callers, app, closed, grace, connections);
    tokio::select! {
        served = serve => served?,
        () = ended.wait() => {}
    }
    info!("entry stopped", kv: { name = state.settings.name.as_str(), open = state.open_calls.get() });
    end.trigger();
    Ok(())
}

/// The sockets without which an entry cannot serve callers.
struct Sockets {
    gossip: UdpSocket,
    grants: Option<UdpSocket>,
    callers: TcpListener,
}

impl Sockets {
    /// Binds the sockets, and waits for those that are in use. Returns `None` when the
    /// entry is stopped before that.
    ///
    /// Callers' connections are accepted by the kernel as soon as their port is bound, so
    /// it comes last. Until then they are refused and can go to another entry.
    async fn bind(settings: &Settings, binder: &Binder) -> io::Result<Option<Self>> {
        let Some(gossip) = binder.udp("gossip", settings.gossip).await? else {
            return Ok(None);
        };
        let mut grants = None;
        if let Some(addr) = settings.grants {
            grants = binder.udp("grants", addr).await?;
        }
        let callers = binder.tcp("listen", settings.listen).await?;
        Ok(callers.map(|callers| Self {
            gossip,
            grants,
            callers,
        }))
    }
}

/// Serves neighbours and operators until `end`, as soon as their ports can be bound.
///
/// Another process may have a port for some time. An entry that waited for it would serve
/// no callers in the meantime. Neighbours skip an entry that does not answer, and the load
/// balancer uses it once the readiness port answers.
async fn serve_peers_and_operators(
    state: &Rc<State>,
    binder: &Binder,
    end: &StopSignal,
) -> io::Result<()> {
    let (own, stop) = (Rc::clone(state), end.clone());
    let answer = move |listener| {
        let answered = neighbours::answer_requests(listener, Rc::clone(&own), stop.clone());
        async move {
            answered.await;
            Ok(())
        }
    };
    let addr = state.settings.gossip;
    binder.serve_in_background("gossip", addr, answer).await?;

    let operators = [
        ("ready", Some(state.settings.ready)),
        ("metrics", state.settings.metrics),
    ];
    for (key, addr) in operators {
        let Some(addr) = addr else { continue };
        let (own, stop) = (Rc::clone(state), end.clone());
        let serve = move |listener| http::serve_operators(listener, Rc::clone(&own), stop.clone());
        binder.serve_in_background(key, addr, serve).await?;
    }
    Ok(())
}
