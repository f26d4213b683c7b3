//! Entries that tell each other what the store's tables say.

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

use crate::common::{Mute, PATIENCE, until};

/// A table of one record in a store that all entries share.
#[derive(Clone)]
struct Table<T> {
    record: Rc<RefCell<(u64, T)>>,
    /// Whether this entry reaches the store.
    away: Rc<Cell<bool>>,
    /// Questions of this entry.
    asked: Rc<Cell<usize>>,
}

impl<T: Clone> Table<T> {
    fn new(value: T) -> Self {
        Self {
            record: Rc::new(RefCell::new((1, value))),
            away: Rc::default(),
            asked: Rc::default(),
        }
    }

    /// The same table, as another entry reaches it.
    fn elsewhere(&self) -> Self {
        Self {
            record: Rc::clone(&self.record),
            away: Rc::default(),
            asked: Rc::default(),
        }
    }

    fn write(&self, value: T) {
        let mut record = self.record.borrow_mut();
        *record = (record.0 + 1, value);
    }

    async fn answer(&self, from: u64) -> Result<Changes<T>, SourceError> {
        self.asked.set(self.asked.get() + 1);
        tokio::time::sleep(Duration::from_millis(20)).await;
        if self.away.get() {
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

/// A catalog by its version; these tests need no more of it.
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
    }
}

/// An entry, with the store as it reaches it.
struct Entry {
    state: Rc<State>,
    addr: SocketAddr,
    catalog: Table<Version>,
    servers: Table<ServerRecord>,
}

impl Entry {
    /// Starts an entry that asks neighbours; `answers` says whether it answers
    /// them, or takes their connections and says nothing.
    async fn start(catalog: Table<Version>, servers: Table<ServerRecord>, answers: bool) -> Self {
        Self::start_by(Rc::new(SystemClock), catalog, servers, answers).await
    }

    /// The same by a clock of the test's.
    async fn start_by(
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
        let state = State::new(settings, Rc::new(Mute), clock);
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

    /// Has the entry hear `first`, which has a wider link, and enough
    /// silent ones for a zone that shares.
    fn hear(&self, first: &Entry) {
        let until = Instant::now() + PATIENCE;
        let mut readers = self.state.zone_readers.borrow_mut();
        readers.observe(first.addr, Rank::new(0, first.addr, u32::MAX), until);
        for n in 2..=MIN_SHARING_ENTRIES {
            let n = u8::try_from(n).expect("a few");
            let addr = SocketAddr::from(([127, 0, 0, n], 1));
            readers.observe(addr, Rank::new(0, addr, 0), until);
        }
    }

    fn version(&self) -> u64 {
        self.state
            .catalog
            .borrow()
            .as_ref()
            .map_or(0, |c| c.version)
    }

    fn asked(&self) -> usize {
        self.catalog.asked.get() + self.servers.asked.get()
    }

    fn server_open(&self) -> bool {
        self.state.balancer.borrow().accepts_calls("key")
    }
}

fn tables() -> (Table<Version>, Table<ServerRecord>) {
    (Table::new(Version(1)), Table::new(server(false)))
}

/// An entry starts while the store turns it away and serves others. Without a
/// neighbour it would know no route and refuse every caller until the store
/// takes it back.
#[actix_rt::test]
async fn turned_away_entry_learns_from_a_neighbour() {
    let (catalog, servers) = tables();
    let first = Entry::start(catalog.clone(), servers.clone(), true).await;
    let (catalog, servers) = (catalog.elsewhere(), servers.elsewhere());
    catalog.away.set(true);
    servers.away.set(true);
    let other = Entry::start(catalog, servers, true).await;
    other.hear(&first);
    until("ready", || other.state.is_ready()).await;
    assert!(other.server_open());

    // And it stays level: an entry that is cut off from the store is told of
    // each change and of the server that leaves.
    first.catalog.write(Version(2));
    first.servers.write(server(true));
    until("the new catalog", || other.version() == 2).await;
    until("the server leaves", || !other.server_open()).await;
}

/// A neighbour reads both tables. While it does, others have nothing to ask
/// the store: that calls grow with the number of entries is what is to be
/// prevented. The clock stands still, so that no copy grows too old however
/// slowly the machine runs this.
#[actix_rt::test]
async fn store_is_read_by_one() {
    let (catalog, servers) = tables();
    let clock: Rc<dyn Clock> = Rc::new(ManualClock::new());
    let start = |catalog, servers| Entry::start_by(Rc::clone(&clock), catalog, servers, true);
    let first = start(catalog.clone(), servers.clone()).await;
    until("the first is ready", || first.state.is_ready()).await;
    let mut others = Vec::new();
    for _ in 0..3 {
        let other = start(catalog.elsewhere(), servers.elsewhere()).await;
        other.hear(&first);
        others.push(other);
    }
    until("all are ready", || {
        others.iter().all(|o| o.state.is_ready())
    })
    .await;
    // A question that was out when the neighbour was heard still ends.
    let settled = first.asked() + 20;
    until("they settle", || first.asked() >= settled).await;
    let before: Vec<usize> = others.iter().map(Entry::asked).collect();
    let later = first.asked() + 100;
    until("the first reads on", || first.asked() >= later).await;
    let after: Vec<usize> = others.iter().map(Entry::asked).collect();
    assert_eq!(before, after);
}

/// The neighbour's host goes dark: its connections stay open and nothing comes
/// over them. A catalog that the operators publish then has to be in force all
/// the same, so the entry must not wait for that neighbour for long.
#[actix_rt::test]
async fn silent_neighbour_is_not_waited_for() {
    let (catalog, servers) = tables();
    let first = Entry::start(catalog.clone(), servers.clone(), false).await;
    let other = Entry::start(catalog.elsewhere(), servers.elsewhere(), true).await;
    other.hear(&first);
    until("ready", || other.state.is_ready()).await;
    catalog.write(Version(2));
    until("the new catalog", || other.version() == 2).await;
}

/// The neighbour alone loses the store and goes on answering with what it
/// read last. Operators publish a catalog and a server leaves: an entry that
/// believed the neighbour would never hear of either.
#[actix_rt::test]
async fn neighbour_without_store_does_not_hold_others_back() {
    let (catalog, servers) = tables();
    let first = Entry::start(catalog.clone(), servers.clone(), true).await;
    let other = Entry::start(catalog.elsewhere(), servers.elsewhere(), true).await;
    other.hear(&first);
    until("both are ready", || {
        first.state.is_ready() && other.state.is_ready()
    })
    .await;
    first.catalog.away.set(true);
    first.servers.away.set(true);
    catalog.write(Version(2));
    servers.write(server(true));
    until("the new catalog", || other.version() == 2).await;
    until("the server leaves", || !other.server_open()).await;
    // What the neighbour says from now on is old.
    let asked = other.asked();
    until("it reads on", || other.asked() > asked + 4).await;
    assert_eq!(other.version(), 2);
    assert!(!other.server_open());
}
