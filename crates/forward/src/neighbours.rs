//! Copies the store's tables from a neighbour that reads them, and serves the neighbours
//! that copy from this entry. `policy::readers` selects the neighbour.

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
use crate::tables::{
    CATALOG_TABLE, CRASHES_TABLE, SERVERS_TABLE, VERSIONS_TABLE, apply_catalogs, apply_servers,
    forget_missing,
};
use crate::versions;

/// How long a neighbour may hold a long-poll request. Its answer also refreshes the age of
/// the copies, so a longer wait without changes would make them older.
const POLL_WAIT: Duration = Duration::from_millis(250);

/// [`POLL_WAIT`] for an entry without a copy: a neighbour that has started at the same time
/// will soon have its own copy; otherwise the next neighbour is asked.
const INITIAL_POLL_WAIT: Duration = Duration::from_millis(300);

/// Maximum time for which a request is held, regardless of its own limit.
const MAX_POLL_WAIT: Duration = Duration::from_secs(1);

/// Time allowed for an answer in addition to the requested wait. A process on a small host
/// may not be scheduled for some tenths of a second, but a neighbour that failed silently
/// costs this whole time.
const ANSWER_MARGIN: Duration = Duration::from_millis(400);

/// Time allowed for connecting to a neighbour.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

/// Delay between two requests, which batches several changes.
const POLL_DELAY: Duration = Duration::from_millis(50);

/// Interval of checks for a neighbour to ask.
const CHECK_INTERVAL: Duration = Duration::from_millis(200);

/// [`CHECK_INTERVAL`] while this entry has no copy.
const INITIAL_CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// Polls the preferred neighbour for changes until `end`.
pub async fn follow(state: Rc<State>, end: StopSignal) {
    let mut client = None;
    let mut previous = None;
    while !end.is_triggered() {
        let now = state.clock.now();
        let age = state.tables.age(now);
        let addr = state.zone_readers.borrow_mut().update_source(now, age);
        if previous != Some(addr) {
            record_source(addr);
            previous = Some(addr);
        }
        let pause = match addr {
            Some(addr) => {
                client = poll(&state, addr, client).await;
                POLL_DELAY
            }
            // Without a neighbour, `crate::follow` reads from the store.
            None => {
                client = None;
                if age.is_some() {
                    CHECK_INTERVAL
                } else {
                    INITIAL_CHECK_INTERVAL
                }
            }
        };
        tokio::time::sleep(pause).await;
    }
}

/// Polls the neighbour at `addr` and records the outcome. Reuses the connection `client`
/// if it leads to `addr`; returns the connection unless it failed.
async fn poll(
    state: &Rc<State>,
    addr: SocketAddr,
    client: Option<NeighbourClient>,
) -> Option<NeighbourClient> {
    let exchanged = exchange(state, addr, client).await;
    let now = state.clock.now();
    forget_missing(state, now);
    match exchanged {
        Ok((client, age)) => {
            if age.is_some_and(|age| age <= TAKEOVER_AGE) {
                state.tables.tables_copied();
            }
            state
                .zone_readers
                .borrow_mut()
                .record_answer(now, addr, age);
            Some(client)
        }
        Err(e) => {
            metrics::counter!("pimentocart_neighbour_failures_total").increment(1);
            info!("polling a neighbour failed", kv: {
                peer = addr.to_string().as_str(), cause = e.to_string().as_str()
            });
            state.zone_readers.borrow_mut().record_failure(now, addr);
            None
        }
    }
}

/// Sends one request and applies the answer; returns the age of the neighbour's copies,
/// or `None` if it lacks one.
async fn exchange(
    state: &Rc<State>,
    addr: SocketAddr,
    client: Option<NeighbourClient>,
) -> Result<(NeighbourClient, Option<Duration>), Error> {
    let client = match client.filter(|l| l.addr() == addr) {
        Some(client) => client,
        None => NeighbourClient::connect(addr, CONNECT_TIMEOUT).await?,
    };
    let sent = state.clock.now();
    let answer = client
        .fetch_changes(changes_request(state), ANSWER_MARGIN)
        .await?;
    let age = apply_answer(state, &client, answer, sent)?;
    Ok((client, age))
}

/// Logs and counts the source of the tables: a neighbour, or the store.
fn record_source(neighbour: Option<SocketAddr>) {
    let source = neighbour.map_or_else(|| "store".to_owned(), |addr| addr.to_string());
    info!("source of the tables changed", kv: { source = source.as_str() });
    metrics::gauge!("pimentocart_reads_store").set(if neighbour.is_none() { 1.0 } else { 0.0 });
}

fn changes_request(state: &State) -> ChangesRequest {
    let wait = match state.tables.age(state.clock.now()) {
        Some(_) => POLL_WAIT,
        None => INITIAL_POLL_WAIT,
    };
    ChangesRequest {
        version: tables::FORMAT_VERSION,
        catalog: state.tables.catalog.borrow().position(),
        servers: state.tables.servers.borrow().position(),
        crashes: state.tables.crashes.borrow().position(),
        versions: state.tables.versions.borrow().position(),
        wait_ms: millis(wait),
    }
}

/// Applies a neighbour's answer to a request that was `sent` at this time; returns the age of
/// its older copy, or `None` if it lacks one.
fn apply_answer(
    state: &Rc<State>,
    client: &NeighbourClient,
    answer: TableChanges,
    sent: Instant,
) -> Result<Option<Duration>, Error> {
    let now = state.clock.now();
    let settling = Duration::from_millis(u64::from(answer.settling_ms));
    state.tables.extend_settling(now, settling);
    let ages = answer.catalog.as_ref().zip(answer.servers.as_ref());
    let age =
        ages.map(|(c, s)| Duration::from_millis(u64::from(c.staleness_ms.max(s.staleness_ms))));
    if let Some(delta) = answer.catalog {
        let changes = merge(
            CATALOG_TABLE,
            &mut state.tables.catalog.borrow_mut(),
            now,
            client,
            &delta,
        )?;
        apply_catalogs(state, changes);
    }
    if let Some(delta) = answer.servers {
        let changes = merge(
            SERVERS_TABLE,
            &mut state.tables.servers.borrow_mut(),
            now,
            client,
            &delta,
        )?;
        apply_servers(state, now, changes);
    }
    if let Some(delta) = answer.crashes {
        let changes = merge(
            CRASHES_TABLE,
            &mut state.tables.crashes.borrow_mut(),
            now,
            client,
            &delta,
        )?;
        crashes::apply_changes(state, now, changes, delta.snapshot);
    }
    if let Some(delta) = answer.versions {
        let kind = update_kind(&state.tables.versions.borrow(), &delta);
        let changes = merge(
            VERSIONS_TABLE,
            &mut state.tables.versions.borrow_mut(),
            // A late answer may have been written at any time since its request, and streams
            // are bound to versions by what this table proves.
            sent,
            client,
            &delta,
        )?;
        versions::apply_changes(state, now, changes, kind);
    }
    Ok(age)
}

/// Applies a neighbour's changes of a table to the replica; returns the records that
/// changed. The answer counts as written at `written`.
fn merge<T>(
    table: &'static str,
    replica: &mut Replica<T>,
    written: Instant,
    client: &NeighbourClient,
    delta: &TableDelta,
) -> Result<Records<T>, Error>
where
    T: Clone + PartialEq + DeserializeOwned,
{
    let age = Duration::from_millis(u64::from(delta.staleness_ms));
    let records: Records<T> = tables::decode_records(client.addr(), &delta.records)?;
    let deleted = records.iter().filter(|(_, value)| value.is_none()).count();
    if delta.snapshot || deleted > 0 {
        info!("table received from a neighbour", kv: {
            table,
            peer = client.addr().to_string().as_str(),
            snapshot = delta.snapshot,
            position = delta.position,
            records = records.len(),
            deleted
        });
    }
    Ok(replica.apply_peer_update(Update {
        records,
        kind: update_kind(replica, delta),
        position: delta.position,
        as_of: written.checked_sub(age).unwrap_or(written),
    }))
}

/// The kind of a neighbour's update of `replica`.
fn update_kind<T: Clone + PartialEq>(replica: &Replica<T>, delta: &TableDelta) -> UpdateKind {
    match delta.snapshot {
        true => UpdateKind::of_snapshot(replica.position(), delta.position),
        false => UpdateKind::Delta,
    }
}

/// Serves the tables to neighbours.
#[derive(Clone)]
struct TableServer(Rc<State>);

/// Answers the requests of neighbours on `listener` until `end`. Its port has the same
/// number as the gossip port.
pub async fn answer_requests(listener: TcpListener, state: Rc<State>, end: StopSignal) {
    tables::serve_tables(listener, TableServer(state), end).await;
}

impl tables::TableSync for TableServer {
    async fn fetch_changes(self, _: Context, request: ChangesRequest) -> TableChanges {
        let Self(state) = self;
        if request.version != tables::FORMAT_VERSION {
            warn!("neighbour uses another format version", kv: { found = request.version });
            return empty_changes();
        }
        let wait = Duration::from_millis(u64::from(request.wait_ms)).min(MAX_POLL_WAIT);
        let changes = async {
            while !state.tables.has_changes_since(&request) {
                state.tables.changed.notified().await;
            }
        };
        // An answer without changes still reports the age of the copies.
        let _ = tokio::time::timeout(wait, changes).await;
        let now = state.clock.now();
        let tables = &state.tables;
        TableChanges {
            catalog: table_delta(&tables.catalog.borrow(), now, request.catalog),
            servers: table_delta(&tables.servers.borrow(), now, request.servers),
            crashes: table_delta(&tables.crashes.borrow(), now, request.crashes),
            versions: table_delta(&tables.versions.borrow(), now, request.versions),
            settling_ms: millis(tables.settling_left(now)),
        }
    }
}

fn empty_changes() -> TableChanges {
    TableChanges {
        catalog: None,
        servers: None,
        crashes: None,
        versions: None,
        settling_ms: 0,
    }
}

/// The update of a table for a neighbour whose copy is complete up to `from`.
fn table_delta<T>(replica: &Replica<T>, now: Instant, from: Option<u64>) -> Option<TableDelta>
where
    T: Clone + PartialEq + Serialize,
{
    let (kind, records) = replica.changes_since(from)?;
    Some(TableDelta {
        snapshot: kind == UpdateKind::Snapshot,
        position: replica.position()?,
        staleness_ms: millis(replica.age(now)?),
        records: tables::encode_records(&records),
    })
}

fn millis(span: Duration) -> u32 {
    u32::try_from(span.as_millis()).unwrap_or(u32::MAX)
}
