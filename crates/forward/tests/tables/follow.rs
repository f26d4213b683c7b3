//! Tests of the table readers during outages of the store.

use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::rc::Rc;
use std::time::Duration;

use base::clock::{Clock, ManualClock, SystemClock};
use forward::follow;
use forward::platform::{Changes, Source, SourceError};
use forward::settings::Settings;
use forward::state::State;
use policy::balance::ServerRecord;
use policy::replica::OFFSET_BITS;
use policy::routes::{CallerLimits, Catalog};
use rstest::rstest;

use crate::common::{NoCallsDialect, wait_until};

/// The answer of a table to one request.
enum Answer<T> {
    Records(Vec<(String, Option<T>)>),
    /// Records with the position after them.
    RecordsAt(u64, Vec<(String, Option<T>)>),
    Unavailable,
    Expired,
    /// The store was restored from an old copy.
    Restored,
    /// The request is lost with its connection: no answer ever arrives.
    Lost,
    /// The request is lost, and the client gives up after the wait and the time for a
    /// response.
    TimedOut,
}

/// How long the store's client waits for a response, in addition to the wait of a long poll.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(700);

/// Time within which a catalog has to be in force.
const CATALOG_BOUND: Duration = Duration::from_secs(2);

/// A table with prepared answers; after the last one it has no more changes.
struct Table<T> {
    answers: RefCell<VecDeque<Answer<T>>>,
    /// Position after the records of the last answer.
    position: Cell<u64>,
    requests: Rc<Cell<usize>>,
}

impl<T> Table<T> {
    fn new(answers: Vec<Answer<T>>) -> Self {
        Self {
            answers: RefCell::new(answers.into()),
            position: Cell::new(1),
            requests: Rc::default(),
        }
    }

    async fn answer(&self, wait: Duration) -> Result<Changes<T>, SourceError> {
        self.requests.set(self.requests.get() + 1);
        let next = self.answers.borrow_mut().pop_front();
        let (step, peer) = ("read", "store".to_owned());
        match next {
            Some(Answer::Records(records)) => Ok(self.changes(records)),
            Some(Answer::RecordsAt(position, records)) => {
                self.position.set(position);
                Ok(self.changes(records))
            }
            Some(Answer::Unavailable) => Err(down()),
            Some(Answer::TimedOut) => {
                tokio::time::sleep(wait + RESPONSE_TIMEOUT).await;
                Err(down())
            }
            Some(Answer::Expired) => Err(SourceError::Expired { step, peer }),
            Some(Answer::Restored) => Err(SourceError::Rewound { step, peer }),
            Some(Answer::Lost) => std::future::pending().await,
            None => {
                tokio::time::sleep(Duration::from_millis(20)).await;
                Ok(self.changes(Vec::new()))
            }
        }
    }

    fn changes(&self, records: Vec<(String, Option<T>)>) -> Changes<T> {
        let next = self.position.get();
        Changes { records, next }
    }
}

impl<T> Source for Table<T> {
    type Item = T;

    async fn snapshot(&self) -> Result<Changes<T>, SourceError> {
        self.answer(Duration::ZERO).await
    }

    async fn changes(&self, _from: u64, wait: Duration) -> Result<Changes<T>, SourceError> {
        self.answer(wait).await
    }
}

fn down() -> SourceError {
    SourceError::Unavailable {
        step: "read",
        peer: "store".to_owned(),
        cause: "down".to_owned(),
    }
}

fn state() -> Rc<State> {
    state_with_clock(Rc::new(SystemClock))
}

fn state_with_clock(clock: Rc<dyn Clock>) -> Rc<State> {
    let any = "127.0.0.1:1";
    let text = serde_json::json!({
        "name": "entry", "zone": "a", "listen": any, "ready": any, "ready_path": "/ready",
        "gossip": any, "store": any, "grace_s": 8.0, "repeat_ratio": 0.2,
        "repeat_window_s": 10.0,
    });
    let settings: Settings = serde_json::from_value(text).expect("settings");
    State::new(settings, Rc::new(NoCallsDialect), clock)
}

fn catalog(version: u64) -> Answer<Catalog> {
    let catalog = Catalog::new(
        version,
        Vec::new(),
        Vec::new(),
        None,
        CallerLimits::default(),
    );
    Answer::Records(vec![("config".to_owned(), Some(catalog))])
}

fn server(id: &str) -> Answer<ServerRecord> {
    Answer::Records(vec![(id.to_owned(), Some(record(id, false)))])
}

fn record(id: &str, leaving: bool) -> ServerRecord {
    ServerRecord {
        id: Rc::from(id),
        service: Rc::from("app"),
        // Each server has its own address.
        addr: format!("127.0.0.1:{}", id.len())
            .parse()
            .expect("an address"),
        zone: Rc::from("a"),
        slots: 1,
        leaving,
        started_ms: None,
        version: Rc::default(),
    }
}

fn version(state: &State) -> u64 {
    state.catalog.borrow().as_ref().map_or(0, |c| c.version)
}

/// Guards against a catalog reader that blocks on a request lost in an outage of the store,
/// while callers are refused by the old catalog. The request for servers fails and is soon
/// answered again; that recovery must make the catalog reader send its request again.
#[actix_rt::test]
async fn lost_request_is_sent_again_after_recovery() {
    let state = state();
    let catalogs = Table::new(vec![catalog(1), Answer::Lost, catalog(2)]);
    let servers = Table::new(vec![server("s1"), Answer::Unavailable, server("s1")]);
    actix_rt::spawn(follow::catalogs(Rc::clone(&state), catalogs));
    actix_rt::spawn(follow::servers(Rc::clone(&state), servers));
    wait_until("the new catalog", || version(&state) == 2).await;
}

/// Guards against a new catalog that is not read for as long as the store refuses reads of the
/// servers alone.
#[actix_rt::test]
async fn refused_servers_hide_new_catalog() {
    let state = state();
    let refused = (0..10_000).map(|_| Answer::Unavailable);
    let servers: Table<ServerRecord> = Table::new(refused.collect());
    actix_rt::spawn(follow::servers(Rc::clone(&state), servers));
    wait_until("the servers are lost", || state.tables.are_servers_lost()).await;
    let catalogs = Table::new(vec![catalog(1), catalog(2)]);
    actix_rt::spawn(follow::catalogs(Rc::clone(&state), catalogs));
    wait_until("the new catalog", || version(&state) == 2).await;
    assert!(!state.tables.is_store_lost());
}

/// Guards against a catalog that is in force too late because a long poll was lost without a
/// reset, while all other reads are answered.
#[actix_rt::test]
async fn lost_poll_delays_new_catalog() {
    tokio::time::pause();
    let state = state();
    let catalogs = Table::new(vec![catalog(1), Answer::TimedOut, catalog(2)]);
    actix_rt::spawn(follow::servers(
        Rc::clone(&state),
        Table::new(vec![server("s1")]),
    ));
    actix_rt::spawn(follow::catalogs(Rc::clone(&state), catalogs));
    wait_until("the first catalog", || version(&state) == 1).await;
    let sent = tokio::time::Instant::now();
    wait_until("the new catalog", || version(&state) == 2).await;
    assert!(sent.elapsed() < CATALOG_BOUND, "{:?}", sent.elapsed());
}

/// The store has lost its history, and its table is older than the data already read. The
/// catalog in force must not revert.
#[actix_rt::test]
async fn catalog_never_reverts() {
    let state = state();
    let catalogs = Table::new(vec![catalog(5), Answer::Expired, catalog(4), catalog(6)]);
    let seen = Rc::new(RefCell::new(Vec::new()));
    actix_rt::spawn(follow::catalogs(Rc::clone(&state), catalogs));
    wait_until("the newest catalog", || {
        seen.borrow_mut().push(version(&state));
        version(&state) == 6
    })
    .await;
    assert!(seen.borrow().is_sorted());
}

/// Guards against calls to a server that is leaving or has left, after the store was
/// restored from a copy in which it is still serving.
#[actix_rt::test]
async fn leaving_server_stays_leaving_after_restore() {
    let state = state();
    let table = |records: &[(&str, Option<bool>)]| {
        let keyed = |(id, leaving): &(&str, Option<bool>)| {
            (id.to_string(), leaving.map(|leaving| record(id, leaving)))
        };
        Answer::Records(records.iter().map(keyed).collect())
    };
    let servers = Table::new(vec![
        table(&[
            ("leaves", Some(false)),
            ("left", Some(false)),
            ("stays", Some(false)),
        ]),
        table(&[("leaves", Some(true)), ("left", None)]),
        Answer::Restored,
        table(&[
            ("leaves", Some(false)),
            ("left", Some(false)),
            ("stays", Some(false)),
        ]),
    ]);
    let requests = Rc::clone(&servers.requests);
    actix_rt::spawn(follow::servers(Rc::clone(&state), servers));
    wait_until("all answers are read", || requests.get() > 5).await;
    let serving = state.balancer.borrow().serving("app");
    let names: Vec<&str> = serving.iter().map(|(s, _)| &*s.id).collect();
    assert_eq!(names, ["stays"]);
}

/// Guards against calls to a server that has left, after the store was restored from a
/// copy while the entry was about to read the whole table because of an outage: the store
/// refuses no position then.
#[actix_rt::test]
async fn left_server_stays_away_after_restore_seen_by_snapshot_only() {
    let state = state();
    let listed = |ids: &[&str]| {
        let keyed = |id: &&str| (id.to_string(), Some(record(id, false)));
        ids.iter().map(keyed).collect::<Vec<_>>()
    };
    let servers = Table::new(vec![
        Answer::RecordsAt(2, listed(&["left", "stays"])),
        Answer::RecordsAt(3, vec![("left".to_owned(), None)]),
        Answer::Unavailable,
        Answer::RecordsAt(3, Vec::new()),
        Answer::RecordsAt(1 << OFFSET_BITS | 2, listed(&["left", "stays"])),
    ]);
    let requests = Rc::clone(&servers.requests);
    actix_rt::spawn(follow::servers(Rc::clone(&state), servers));
    wait_until("all answers are read", || requests.get() > 6).await;
    let serving = state.balancer.borrow().serving("app");
    let names: Vec<&str> = serving.iter().map(|(s, _)| &*s.id).collect();
    assert_eq!(names, ["stays"]);
}

/// Guards against calls refused for the time between two reads of the servers, by an entry
/// that has started while the store, restored from an old copy, lacked them.
#[actix_rt::test]
async fn call_without_server_makes_servers_read_again() {
    tokio::time::pause();
    let state = state();
    let other = ServerRecord {
        service: Rc::from("other"),
        ..record("s0", false)
    };
    let first = Answer::Records(vec![("s0".to_owned(), Some(other))]);
    let servers = Table::new(vec![first, server("s1")]);
    actix_rt::spawn(follow::servers(Rc::clone(&state), servers));
    wait_until("the first read", || state.servers_loaded.get()).await;
    let deadline = state.clock.now() + Duration::from_secs(6);
    state.wait_for_server("app", deadline).await;
    let now = state.clock.now();
    assert!(state.balancer.borrow().knows_server(now, "app"));
}

/// Guards against calls that are held although no server is to be expected: the table is
/// complete, and a server that has gone missing may still be called.
#[rstest]
#[case::complete_table(Duration::from_secs(5), false)]
#[case::missing_server(Duration::ZERO, true)]
#[actix_rt::test]
async fn call_is_not_held(#[case] age: Duration, #[case] missing: bool) {
    tokio::time::pause();
    let clock = Rc::new(ManualClock::new());
    let state = state_with_clock(Rc::clone(&clock) as Rc<dyn Clock>);
    let mut answers = vec![server("s1")];
    if missing {
        answers.push(Answer::Records(vec![("s1".to_owned(), None)]));
    }
    let servers = Table::new(answers);
    let requests = Rc::clone(&servers.requests);
    actix_rt::spawn(follow::servers(Rc::clone(&state), servers));
    wait_until("all answers are read", || requests.get() > 2).await;
    clock.advance(age);
    let service = if missing { "app" } else { "other" };
    let before = tokio::time::Instant::now();
    let deadline = state.clock.now() + Duration::from_secs(6);
    state.wait_for_server(service, deadline).await;
    assert_eq!(before.elapsed(), Duration::ZERO);
}

/// The store is unavailable at the start. The entry retries until it has both tables, and
/// is not ready before.
#[actix_rt::test]
async fn ready_only_with_both_tables() {
    let state = state();
    let catalogs = Table::new(vec![Answer::Unavailable, catalog(1)]);
    let servers = Table::new(vec![Answer::Unavailable, Answer::Unavailable, server("s1")]);
    assert!(!state.is_ready());
    actix_rt::spawn(follow::catalogs(Rc::clone(&state), catalogs));
    wait_until("the catalog", || version(&state) == 1).await;
    assert!(!state.is_ready());
    actix_rt::spawn(follow::servers(Rc::clone(&state), servers));
    wait_until("ready", || state.is_ready()).await;
}

/// After an outage in which the servers' records expired, each server registers again at
/// its own time within two seconds. An entry that has just started refuses every call until
/// it has read them, so it must read several times a second; in normal operation, that would
/// only cost calls.
#[test]
fn servers_read_often_after_an_outage() {
    for entries in [0, 3, 100] {
        assert!(follow::poll_delay(true, entries) * 5 <= Duration::from_secs(1));
        assert!(follow::poll_delay(false, entries) * 2 >= Duration::from_secs(1));
    }
    assert!(follow::poll_delay(false, 100) > follow::poll_delay(false, 3));
}

/// In an outage of a few seconds, the first retries follow quickly, and the later ones at
/// four times the first delay.
#[rstest]
#[case::first(1, 150)]
#[case::second(2, 300)]
#[case::third(3, 600)]
#[case::later(40, 600)]
fn retry_backs_off(#[case] failures: u32, #[case] ms: u64) {
    assert_eq!(follow::retry_delay(failures), Duration::from_millis(ms));
}
