//! Keeping level with the store's tables by asking a neighbour that reads
//! them, and answering neighbours that ask. `policy::readers` says whom.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use base::stop::StopSignal;
use policy::readers::TAKEOVER_AGE;
use policy::replica::{Records, Replica, Update, UpdateKind};
use serde::Serialize;
use serde::de::DeserializeOwned;
use spdlog::{info, warn};
use tarpc::context::Context;
use tokio::net::TcpListener;
use wire::tables::{self, ChangesRequest, Error, NeighbourClient, TableChanges, TableDelta};

use crate::crashes;
use crate::state::State;
use crate::tables::{apply_catalogs, apply_servers, forget_missing};

/// How long a neighbour may hold a question. What it tells is as old as its
/// own last read, so a longer time would cost freshness without a change.
const HOLD: Duration = Duration::from_millis(250);

/// The same for one who has no copy yet: a neighbour that has started in the same
/// moment has its own in a moment, or the next one is asked.
const HOLD_FIRST: Duration = Duration::from_millis(300);

/// The longest time that a question is held, whatever its asker says.
const HOLD_MOST: Duration = Duration::from_secs(1);

/// Time allowed for an answer beyond that. A thin host may not run for some
/// tenths of a second; a neighbour that died silently costs this much.
const MARGIN: Duration = Duration::from_millis(400);

/// Time allowed for connecting to a neighbour.
const DIAL: Duration = Duration::from_millis(300);

/// The pause between two questions, in which several changes come together.
const GATHER: Duration = Duration::from_millis(50);

/// The pause before the port for neighbours is tried again.
const LISTEN_AGAIN: Duration = Duration::from_secs(1);

/// How often is looked whether there is a neighbour to ask.
const LOOK: Duration = Duration::from_millis(200);

/// The same while this entry has no copy.
const LOOK_FIRST: Duration = Duration::from_millis(20);

/// Asks neighbours until `end`.
pub async fn follow(state: Rc<State>, end: StopSignal) {
    let mut link = None;
    let mut before = None;
    while !end.is_triggered() {
        let now = state.clock.now();
        let age = state.tables.age(now);
        let addr = state.readers.borrow_mut().update_source(now, age);
        if before != Some(addr) {
            note_source(addr);
            before = Some(addr);
        }
        let pause = match addr {
            Some(addr) => {
                link = ask(&state, addr, link).await;
                GATHER
            }
            // Without a neighbour the store is read (`follow`).
            None => {
                link = None;
                if age.is_some() { LOOK } else { LOOK_FIRST }
            }
        };
        tokio::time::sleep(pause).await;
    }
}

/// Asks the neighbour at `addr`, over the connection of before if that leads
/// there; returns the connection unless it failed.
async fn ask(
    state: &State,
    addr: SocketAddr,
    link: Option<NeighbourClient>,
) -> Option<NeighbourClient> {
    let asked = exchange(state, addr, link).await;
    let now = state.clock.now();
    forget_missing(state, now);
    match asked {
        Ok((link, age)) => {
            if age.is_some_and(|age| age <= TAKEOVER_AGE) {
                state.lost.set(false);
            }
            state.readers.borrow_mut().record_answer(now, addr, age);
            Some(link)
        }
        Err(e) => {
            metrics::counter!("pimentocart_neighbour_failures_total").increment(1);
            info!("neighbour lost", kv: {
                peer = addr.to_string().as_str(), cause = e.to_string().as_str()
            });
            state.readers.borrow_mut().record_failure(now, addr);
            None
        }
    }
}

/// One question and its answer, put to use; returns how old the neighbour's
/// copies are.
async fn exchange(
    state: &State,
    addr: SocketAddr,
    link: Option<NeighbourClient>,
) -> Result<(NeighbourClient, Option<Duration>), Error> {
    let link = match link.filter(|l| l.addr() == addr) {
        Some(link) => link,
        None => NeighbourClient::dial(addr, DIAL).await?,
    };
    let told = link.fetch_changes(question(state), MARGIN).await?;
    let age = take(state, &link, told)?;
    Ok((link, age))
}

/// Notes who the tables come from: a neighbour, or the store.
fn note_source(neighbour: Option<SocketAddr>) {
    let source = neighbour.map_or_else(|| "store".to_owned(), |addr| addr.to_string());
    info!("tables followed", kv: { source = source.as_str() });
    metrics::gauge!("pimentocart_reads_store").set(if neighbour.is_none() { 1.0 } else { 0.0 });
}

fn question(state: &State) -> ChangesRequest {
    let hold = match state.tables.age(state.clock.now()) {
        Some(_) => HOLD,
        None => HOLD_FIRST,
    };
    ChangesRequest {
        version: tables::FORMAT_VERSION,
        catalog: state.tables.catalog.borrow().position(),
        servers: state.tables.servers.borrow().position(),
        crashes: state.tables.crashes.borrow().position(),
        wait_ms: millis(hold),
    }
}

/// Puts what a neighbour told to use; returns how old its older copy is, or
/// none when it lacks one.
fn take(
    state: &State,
    from: &NeighbourClient,
    told: TableChanges,
) -> Result<Option<Duration>, Error> {
    let now = state.clock.now();
    let settling = Duration::from_millis(u64::from(told.settling_ms));
    state.tables.extend_settling(now, settling);
    let ages = told.catalog.as_ref().zip(told.servers.as_ref());
    let age =
        ages.map(|(c, s)| Duration::from_millis(u64::from(c.staleness_ms.max(s.staleness_ms))));
    if let Some(part) = told.catalog {
        let news = merge(&mut state.tables.catalog.borrow_mut(), now, from, &part)?;
        apply_catalogs(state, news);
    }
    if let Some(part) = told.servers {
        let news = merge(&mut state.tables.servers.borrow_mut(), now, from, &part)?;
        apply_servers(state, now, news);
    }
    if let Some(part) = told.crashes {
        let news = merge(&mut state.tables.crashes.borrow_mut(), now, from, &part)?;
        crashes::apply_changes(state, now, news, part.snapshot);
    }
    Ok(age)
}

fn merge<T>(
    replica: &mut Replica<T>,
    now: Instant,
    from: &NeighbourClient,
    part: &TableDelta,
) -> Result<Records<T>, Error>
where
    T: Clone + PartialEq + DeserializeOwned,
{
    let age = Duration::from_millis(u64::from(part.staleness_ms));
    Ok(replica.apply_peer_update(Update {
        records: tables::decode_records(from.addr(), &part.records)?,
        kind: if part.snapshot {
            UpdateKind::Snapshot
        } else {
            UpdateKind::Delta
        },
        position: part.position,
        as_of: now.checked_sub(age).unwrap_or(now),
    }))
}

/// Answers neighbours.
#[derive(Clone)]
struct Desk(Rc<State>);

/// Answers neighbours on `listener` until `end`.
pub async fn answer_requests(listener: TcpListener, state: Rc<State>, end: StopSignal) {
    tables::serve_tables(listener, Desk(state), end).await;
}

/// Opens the port at which neighbours ask, which is that of their datagrams,
/// and answers them until `end`.
///
/// Another process may have the port. An entry that ended for it would serve
/// no caller for as long; without it, it serves them all, and its neighbours
/// pass it over and ask the next one.
pub(crate) async fn bind_and_answer(state: Rc<State>, end: StopSignal) {
    let mut warned = false;
    while !end.is_triggered() {
        match base::listen("tables", state.settings.gossip).await {
            Ok(listener) => return answer_requests(listener, state, end).await,
            Err(e) if !warned => {
                warn!("neighbours not answered", kv: { cause = e.to_string().as_str() });
                warned = true;
            }
            Err(_) => {}
        }
        tokio::time::sleep(LISTEN_AGAIN).await;
    }
}

impl tables::TableSync for Desk {
    async fn fetch_changes(self, _: Context, ask: ChangesRequest) -> TableChanges {
        let Self(state) = self;
        if ask.version != tables::FORMAT_VERSION {
            warn!("neighbour of another version", kv: { found = ask.version });
            return nothing();
        }
        let hold = Duration::from_millis(u64::from(ask.wait_ms)).min(HOLD_MOST);
        let news = async {
            while !state.tables.has_changes_since(&ask) {
                state.tables.changed.notified().await;
            }
        };
        // Without news the answer still says how old the copies are.
        let _ = tokio::time::timeout(hold, news).await;
        let now = state.clock.now();
        let tables = &state.tables;
        TableChanges {
            catalog: part(&tables.catalog.borrow(), now, ask.catalog),
            servers: part(&tables.servers.borrow(), now, ask.servers),
            crashes: part(&tables.crashes.borrow(), now, ask.crashes),
            settling_ms: millis(tables.settling_left(now)),
        }
    }
}

fn nothing() -> TableChanges {
    TableChanges {
        catalog: None,
        servers: None,
        crashes: None,
        settling_ms: 0,
    }
}

/// What one that is complete up to `from` has to be told of a table.
fn part<T>(replica: &Replica<T>, now: Instant, from: Option<u64>) -> Option<TableDelta>
where
    T: Clone + PartialEq + Serialize,
{
    let (scope, records) = replica.changes_since(from)?;
    Some(TableDelta {
        snapshot: scope == UpdateKind::Snapshot,
        position: replica.position()?,
        staleness_ms: millis(replica.age(now)?),
        records: tables::encode_records(&records),
    })
}

fn millis(span: Duration) -> u32 {
    u32::try_from(span.as_millis()).unwrap_or(u32::MAX)
}
