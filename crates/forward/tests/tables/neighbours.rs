//! Tests of entries that copy the store's tables from each other.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use base::clock::{Clock, ManualClock, SystemClock};
use base::stop::StopSignal;
use forward::platform::{Changes, Source, SourceError};
use forward::settings::Settings;
use forward::state::State;
use forward::{follow, neighbours};
use policy::balance::ServerRecord;
use policy::readers::{MIN_SHARING_ENTRIES, Rank};
use policy::routes::{CallerLimits, Catalog};
use tokio::net::TcpListener;

use crate::common::{NoCallsDialect, TEST_TIMEOUT, wait_until};

/// A table of one record in a store that all entries share.
#[derive(Clone)]
struct Table<T> {
    record: Rc<RefCell<(u64, T)>>,
    /// Whether the store is unavailable to this entry.
    unavailable: Rc<Cell<bool>>,
    /// Number of requests of this entry.
    requests: Rc<Cell<usize>>,
}

impl<T: Clone> Table<T> {
    fn new(value: T) -> Self {
        Self {
            record: Rc::new(RefCell::new((1, value))),
            unavailable: Rc::default(),
            requests: Rc::default(),
        }
    }

    /// The same table with its own availability, for another entry.
    fn for_another_entry(&self) -> Self {
        Self {
            record: Rc::clone(&self.record),
            unavailable: Rc::default(),
            requests: Rc::default(),
        }
    }

    fn write(&self, value: T) {
        let mut record = self.record.borrow_mut();
        *record = (record.0 + 1, value);
    }

    async fn answer(&self, from: u64) -> Result<Changes<T>, SourceError> {
        self.requests.set(self.requests.get() + 1);
        tokio::time::sleep(Duration::from_millis(20)).await;
        if self.unavailable.get() {
            let (step, peer, cause) = ("read", "store".to_owned(), "down".to_owned());
            return Err(SourceError::Unavailable { step, peer, cause });
        }
        let (next, value) = self.record.borrow().clone();
        let records = match from < next {
            true => vec![("key".to_owned(), Some(value))],
            false => Vec::new(),
        };
        Ok(Changes { records, next })
    }
}

impl<T: Clone> Source for Table<T> {
    type Item = T;

    async fn snapshot(&self) -> Result<Changes<T>, SourceError> {
        self.answer(0).await
    }

    async fn changes(&self, from: u64, _wait: Duration) -> Result<Changes<T>, SourceError> {
        self.answer(from).await
    }
}

/// A catalog, represented by its version, which is all that these tests need.
#[derive(Clone)]
struct Version(u64);

struct Catalogs(Table<Version>);

impl Source for Catalogs {
    type Item = Catalog;

    async fn snapshot(&self) -> Result<Changes<Catalog>, SourceError> {
        self.0.snapshot().await.map(catalogs)
    }

    async fn changes(&self, from: u64, wait: Duration) -> Result<Changes<Catalog>, SourceError> {
        self.0.changes(from, wait).await.map(catalogs)
    }
}

fn catalogs(changes: Changes<Version>) -> Changes<Catalog> {
    let catalog =
        |Version(v)| Catalog::new(v, Vec::new(), Vec::new(), None, CallerLimits::default());
    let record = |(key, version): (String, Option<Version>)| (key, version.map(catalog));
    Changes {
        records: changes.records.into_iter().map(record).collect(),
        next: changes.next,
    }
}

fn server(leaving: bool) -> ServerRecord {
    ServerRecord {
        id: Rc::from("key"),
        service: Rc::from("app"),
        addr: "127.0.0.1:1".parse().expect("an address"),
        zone: Rc::from("a"),
        slots: 1,
        leaving,
        started_ms: None,
        version: Rc::default(),
    }
}

/// An entry with its connections to the store.
struct Entry {
    state: Rc<State>,
    addr: SocketAddr,
    catalog: Table<Version>,
    servers: Table<ServerRecord>,
}

impl Entry {
    /// Starts an entry that polls neighbours. With `answers` it also answers them; otherwise
    /// it accepts their connections and sends nothing.
    async fn start(catalog: Table<Version>, servers: Table<ServerRecord>, answers: bool) -> Self {
        Self::start_with_clock(Rc::new(SystemClock), catalog, servers, answers).await
    }

    /// [`Entry::start`] with a given clock.
    async fn start_with_clock(
        clock: Rc<dyn Clock>,
        catalog: Table<Version>,
        servers: Table<ServerRecord>,
        answers: bool,
    ) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let addr = listener.local_addr().expect("an address");
        let any = "127.0.0.1:1";
        let text = serde_json::json!({
            "name": "entry", "zone": "a", "listen": any, "ready": any, "ready_path": "/ready",
            "gossip": addr, "store": any, "grace_s": 8.0, "repeat_ratio": 0.2,
            "repeat_window_s": 10.0, "link_mbps": 10.0,
        });
        let settings: Settings = serde_json::from_value(text).expect("settings");
        let state = State::new(settings, Rc::new(NoCallsDialect), clock);
        actix_rt::spawn(follow::catalogs(
            Rc::clone(&state),
            Catalogs(catalog.clone()),
        ));
        actix_rt::spawn(follow::servers(Rc::clone(&state), servers.clone()));
        match answers {
            true => {
                let answer =
                    neighbours::answer_requests(listener, Rc::clone(&state), StopSignal::new());
                actix_rt::spawn(answer);
            }
            false => drop(actix_rt::spawn(async move {
                let mut taken = Vec::new();
                while let Ok((stream, _)) = listener.accept().await {
                    taken.push(stream);
                }
            })),
        }
        actix_rt::spawn(neighbours::follow(Rc::clone(&state), StopSignal::new()));
        Self {
            state,
            addr,
            catalog,
            servers,
        }
    }

    /// Makes `first`, which has a wider link, known to the entry, and enough silent entries
    /// that the zone shares reads.
    fn observe_entries(&self, first: &Entry) {
        let expires_at = Instant::now() + TEST_TIMEOUT;
        let mut readers = self.state.zone_readers.borrow_mut();
        readers.observe(first.addr, Rank::new(0, first.addr, u32::MAX), expires_at);
        for n in 2..=MIN_SHARING_ENTRIES {
            let n = u8::try_from(n).expect("a few");
            let addr = SocketAddr::from(([127, 0, 0, n], 1));
            readers.observe(addr, Rank::new(0, addr, 0), expires_at);
        }
    }

    fn version(&self) -> u64 {
        self.state
            .catalog
            .borrow()
            .as_ref()
            .map_or(0, |c| c.version)
    }

    fn requests(&self) -> usize {
        self.catalog.requests.get() + self.servers.requests.get()
    }

    fn server_open(&self) -> bool {
        self.state.balancer.borrow().accepts_calls("key")
    }
}

fn tables() -> (Table<Version>, Table<ServerRecord>) {
    (Table::new(Version(1)), Table::new(server(false)))
}

/// An entry starts while the store is unavailable to it but not to others. Without a
/// neighbour it would know no route and refuse every caller until it reaches the store.
#[actix_rt::test]
async fn entry_without_store_copies_from_neighbour() {
    let (catalog, servers) = tables();
    let first = Entry::start(catalog.clone(), servers.clone(), true).await;
    let (catalog, servers) = (catalog.for_another_entry(), servers.for_another_entry());
    catalog.unavailable.set(true);
    servers.unavailable.set(true);
    let other = Entry::start(catalog, servers, true).await;
    other.observe_entries(&first);
    wait_until("ready", || other.state.is_ready()).await;
    assert!(other.server_open());

    // The copies stay current: the entry gets later changes too, such as a server that
    // starts to leave.
    first.catalog.write(Version(2));
    first.servers.write(server(true));
    wait_until("the new catalog", || other.version() == 2).await;
    wait_until("the server leaves", || !other.server_open()).await;
}

/// Guards against calls to the store that grow with the number of entries: while a neighbour
/// reads both tables, the others send the store no requests. The clock is stopped, so that
/// no copy becomes too old on a slow machine.
#[actix_rt::test]
async fn only_one_entry_reads_the_store() {
    let (catalog, servers) = tables();
    let clock: Rc<dyn Clock> = Rc::new(ManualClock::new());
    let start =
        |catalog, servers| Entry::start_with_clock(Rc::clone(&clock), catalog, servers, true);
    let first = start(catalog.clone(), servers.clone()).await;
    wait_until("the first is ready", || first.state.is_ready()).await;
    let mut others = Vec::new();
    for _ in 0..3 {
        let other = start(catalog.for_another_entry(), servers.for_another_entry()).await;
        other.observe_entries(&first);
        others.push(other);
    }
    wait_until("all are ready", || {
        others.iter().all(|o| o.state.is_ready())
    })
    .await;
    // Requests that were in flight when the neighbour became known still finish.
    let target = first.requests() + 20;
    wait_until("in-flight requests end", || first.requests() >= target).await;
    let before: Vec<usize> = others.iter().map(Entry::requests).collect();
    let later = first.requests() + 100;
    wait_until("first keeps reading", || first.requests() >= later).await;
    let after: Vec<usize> = others.iter().map(Entry::requests).collect();
    assert_eq!(before, after);
}

/// The neighbour's host fails silently: its connections stay open but carry no data. A newly
/// published catalog still has to come into force, so the entry must time out and read it
/// from another source.
#[actix_rt::test]
async fn silent_neighbour_times_out() {
    let (catalog, servers) = tables();
    let first = Entry::start(catalog.clone(), servers.clone(), false).await;
    let other = Entry::start(
        catalog.for_another_entry(),
        servers.for_another_entry(),
        true,
    )
    .await;
    other.observe_entries(&first);
    wait_until("ready", || other.state.is_ready()).await;
    catalog.write(Version(2));
    wait_until("the new catalog", || other.version() == 2).await;
}

/// Only the neighbour loses the store, and it continues to answer with its last copies. An
/// entry that relied on it would miss a newly published catalog and a leaving server.
#[actix_rt::test]
async fn neighbour_without_store_is_not_relied_on() {
    let (catalog, servers) = tables();
    let first = Entry::start(catalog.clone(), servers.clone(), true).await;
    let other = Entry::start(
        catalog.for_another_entry(),
        servers.for_another_entry(),
        true,
    )
    .await;
    other.observe_entries(&first);
    wait_until("both are ready", || {
        first.state.is_ready() && other.state.is_ready()
    })
    .await;
    first.catalog.unavailable.set(true);
    first.servers.unavailable.set(true);
    catalog.write(Version(2));
    servers.write(server(true));
    wait_until("the new catalog", || other.version() == 2).await;
    wait_until("the server leaves", || !other.server_open()).await;
    // From here on, the neighbour's answers are outdated and must not replace the copies.
    let requests = other.requests();
    wait_until("it continues to read", || other.requests() > requests + 4).await;
    assert_eq!(other.version(), 2);
    assert!(!other.server_open());
}
