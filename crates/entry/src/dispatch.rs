//! Getting a slot for a request and starting it there.

use std::collections::HashSet;
use std::rc::Rc;
use std::time::Duration;

use base::ids::Incarnation;
use base::reason::{Ran, Refusal};
use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use policy::placement::ServerIndex;
use spdlog::debug;
use wire::{Reserved, Start, Started};

use crate::refuse::Refused;
use crate::request::Request;
use crate::servers::Server;
use crate::state::State;

/// How long one reserve call may be held.
const RESERVE_HOLD: Duration = Duration::from_millis(1000);

/// A request that runs at a sidecar.
pub struct Granted {
    /// Where it runs.
    pub server: Rc<Server>,
    /// The sidecar's life in which it runs.
    pub incarnation: Incarnation,
}

/// Gets a slot and starts the request there.
///
/// # Errors
///
/// Returns the refusal to answer with when the request could not be started.
pub async fn grant(state: &Rc<State>, request: &Request) -> Result<Granted, Refused> {
    let candidates = state.servers.candidates(&request.target);
    let mut tried: HashSet<ServerIndex> = HashSet::new();

    loop {
        let left: Vec<_> = candidates
            .iter()
            .copied()
            .filter(|c| !tried.contains(c))
            .collect();
        let chosen = state
            .placement
            .borrow_mut()
            .choose(&left, state.settings.fan);
        if chosen.is_empty() {
            return Err(
                Refused::not_run(Refusal::NoServer, "no backend server can take it")
                    .after(Duration::from_secs(1)),
            );
        }
        tried.extend(&chosen);

        let Some((server, incarnation)) = first_ready(state, request, &chosen).await? else {
            continue;
        };
        if let Some(granted) = start(state, request, server, incarnation).await? {
            return Ok(granted);
        }
    }
}

/// Asks several sidecars at once; the first that is ready wins, and the
/// others are told to forget the request.
async fn first_ready(
    state: &Rc<State>,
    request: &Request,
    chosen: &[ServerIndex],
) -> Result<Option<(Rc<Server>, Incarnation)>, Refused> {
    let servers: Vec<_> = chosen
        .iter()
        .filter_map(|i| state.servers.get(*i))
        .collect();
    let asks = servers
        .iter()
        .map(|server| reserve(state, request, Rc::clone(server)));
    let mut asks: FuturesUnordered<_> = asks.collect();

    let mut refused = None;
    while let Some((server, outcome)) = asks.next().await {
        match outcome {
            Ok(incarnation) => {
                drop(asks);
                cancel_others(state, request, &servers, &server);
                return Ok(Some((server, incarnation)));
            }
            Err(reason) => refused = reason.or(refused),
        }
    }

    // A request whose time is up is not asked for elsewhere.
    if refused == Some(Refusal::Expired) {
        return Err(
            Refused::not_run(Refusal::Expired, "no slot in time").after(Duration::from_secs(1))
        );
    }
    Ok(None)
}

/// Asks one sidecar until a slot is held or refused there.
async fn reserve(
    state: &Rc<State>,
    request: &Request,
    server: Rc<Server>,
) -> (Rc<Server>, Result<Incarnation, Option<Refusal>>) {
    loop {
        let ask = request.ask(state.clock.now(), RESERVE_HOLD);
        let reply = match server.peer.reserve(state.stamp(), ask).await {
            Ok(reply) => reply,
            Err(e) => {
                debug!("reserve failed", kv: { error = e.to_string().as_str() });
                return (server, Err(None));
            }
        };
        server.note(state.clock.now(), &reply);
        match reply.body {
            Reserved::Ready { .. } | Reserved::AlreadyStarted => {
                return (server, Ok(reply.incarnation));
            }
            Reserved::Waiting { .. } => {}
            Reserved::Refused { reason, .. } => return (server, Err(Some(reason))),
        }
    }
}

fn cancel_others(state: &Rc<State>, request: &Request, servers: &[Rc<Server>], won: &Rc<Server>) {
    for server in servers.iter().filter(|s| !Rc::ptr_eq(s, won)) {
        let (state, server, ticket) = (Rc::clone(state), Rc::clone(server), request.ticket);
        actix_rt::spawn(async move {
            // A slot held in vain lapses by itself.
            let _ = server.peer.cancel(state.stamp(), ticket).await;
        });
    }
}

/// Starts the request where a slot is held. `None` when it did not run there.
async fn start(
    state: &Rc<State>,
    request: &Request,
    server: Rc<Server>,
    incarnation: Incarnation,
) -> Result<Option<Granted>, Refused> {
    let order = Start {
        ticket: request.ticket,
        incarnation,
        work: request.work.clone(),
    };
    let unknown = || Refused {
        reason: Refusal::OutcomeUnknown,
        ran: Ran::Unknown,
        after: None,
        hint: "the backend server's host became unreachable".to_owned(),
    };

    let reply = match server.peer.start(state.stamp(), order.clone()).await {
        Ok(reply) => reply,
        // The same start once more settles whether it ran.
        Err(_) => {
            let again = server.peer.start(state.stamp(), order).await;
            again.map_err(|_| unknown())?
        }
    };
    server.note(state.clock.now(), &reply);
    match reply.body {
        Started::Running => Ok(Some(Granted {
            server,
            incarnation,
        })),
        Started::Lapsed | Started::Cancelled | Started::Refused(_) => Ok(None),
        Started::OtherIncarnation => Err(unknown()),
    }
}
