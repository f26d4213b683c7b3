//! Following the store's tables through its outages.

use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::rc::Rc;
use std::time::Duration;

use base::clock::SystemClock;
use forward::follow;
use forward::platform::{Changes, Source, SourceError};
use forward::settings::Settings;
use forward::state::State;
use policy::balance::ServerRecord;
use policy::routes::{CallerLimits, Catalog};
use rstest::rstest;

use crate::common::{Mute, until};

/// What a table answers to one question.
enum Answer<T> {
    Records(Vec<(String, Option<T>)>),
    Away,
    Expired,
    /// The store came back from an old copy.
    Rewound,
    /// The question is lost with its connection: no answer ever comes.
    Lost,
}

/// A table with prepared answers; after the last one it has no more news.
struct Table<T> {
    answers: RefCell<VecDeque<Answer<T>>>,
    asked: Rc<Cell<usize>>,
}

impl<T> Table<T> {
    fn new(answers: Vec<Answer<T>>) -> Self {
        Self {
            answers: RefCell::new(answers.into()),
            asked: Rc::default(),
        }
    }

    async fn answer(&self) -> Result<Changes<T>, SourceError> {
        self.asked.set(self.asked.get() + 1);
        let next = self.answers.borrow_mut().pop_front();
        let (step, peer) = ("read", "store".to_owned());
        match next {
            Some(Answer::Records(records)) => Ok(Changes { records, next: 1 }),
            Some(Answer::Away) => Err(SourceError::Unavailable {
                step,
                peer,
                cause: "down".to_owned(),
            }),
            Some(Answer::Expired) => Err(SourceError::Expired { step, peer }),
            Some(Answer::Rewound) => Err(SourceError::Rewound { step, peer }),
            Some(Answer::Lost) => std::future::pending().await,
            None => {
                tokio::time::sleep(Duration::from_millis(20)).await;
                Ok(Changes {
                    records: Vec::new(),
                    next: 1,
                })
            }
        }
    }
}

impl<T> Source for Table<T> {
    type Item = T;

    async fn snapshot(&self) -> Result<Changes<T>, SourceError> {
        self.answer().await
    }

    async fn changes(&self, _from: u64, _wait: Duration) -> Result<Changes<T>, SourceError> {
        self.answer().await
    }
}

fn state() -> Rc<State> {
    let any = "127.0.0.1:1";
    let text = serde_json::json!({
        "name": "entry", "zone": "a", "listen": any, "ready": any, "ready_path": "/ready",
        "gossip": any, "store": any, "grace_s": 8.0, "repeat_ratio": 0.2,
        "repeat_window_s": 10.0,
    });
    let settings: Settings = serde_json::from_value(text).expect("settings");
    State::new(settings, Rc::new(Mute), Rc::new(SystemClock))
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
    Answer::Records(vec![(id.to_owned(), Some(listed(id, false)))])
}

fn listed(id: &str, leaving: bool) -> ServerRecord {
    ServerRecord {
        id: Rc::from(id),
        service: Rc::from("app"),
        // No two servers stand at one address.
        addr: format!("127.0.0.1:{}", id.len())
            .parse()
            .expect("an address"),
        zone: Rc::from("a"),
        slots: 1,
        leaving,
        started_ms: None,
    }
}

fn version(state: &State) -> u64 {
    state.catalog.borrow().as_ref().map_or(0, |c| c.version)
}

/// The store goes down while it holds a question for the catalog, and comes
/// back. The servers' question fails and is soon answered again; the
/// catalog's was lost and would be waited for on and on, while callers are
/// refused by the old catalog. The store's return for one table must have the
/// other asked anew.
#[actix_rt::test]
async fn lost_question_asked_anew_when_the_store_is_back() {
    let state = state();
    let catalogs = Table::new(vec![catalog(1), Answer::Lost, catalog(2)]);
    let servers = Table::new(vec![server("s1"), Answer::Away, server("s1")]);
    actix_rt::spawn(follow::catalogs(Rc::clone(&state), catalogs));
    actix_rt::spawn(follow::servers(Rc::clone(&state), servers));
    until("the new catalog", || version(&state) == 2).await;
}

/// The store's history is gone and its table is older than what was read. A
/// catalog that was in force must not go back.
#[actix_rt::test]
async fn catalog_never_goes_back() {
    let state = state();
    let catalogs = Table::new(vec![catalog(5), Answer::Expired, catalog(4), catalog(6)]);
    let seen = Rc::new(RefCell::new(Vec::new()));
    actix_rt::spawn(follow::catalogs(Rc::clone(&state), catalogs));
    until("the newest catalog", || {
        seen.borrow_mut().push(version(&state));
        version(&state) == 6
    })
    .await;
    assert!(seen.borrow().is_sorted());
}

/// Guards against calls to a server that leaves, or has left, because the store
/// came back from a copy in which it stays.
#[actix_rt::test]
async fn leaving_server_leaves_after_a_rewind() {
    let state = state();
    let table = |records: &[(&str, Option<bool>)]| {
        let record = |(id, leaving): &(&str, Option<bool>)| {
            (id.to_string(), leaving.map(|leaving| listed(id, leaving)))
        };
        Answer::Records(records.iter().map(record).collect())
    };
    let servers = Table::new(vec![
        table(&[
            ("leaves", Some(false)),
            ("left", Some(false)),
            ("stays", Some(false)),
        ]),
        table(&[("leaves", Some(true)), ("left", None)]),
        Answer::Rewound,
        table(&[
            ("leaves", Some(false)),
            ("left", Some(false)),
            ("stays", Some(false)),
        ]),
    ]);
    let asked = Rc::clone(&servers.asked);
    actix_rt::spawn(follow::servers(Rc::clone(&state), servers));
    until("all is read", || asked.get() > 5).await;
    let serving = state.balancer.borrow().serving("app");
    let names: Vec<&str> = serving.iter().map(|(s, _)| &*s.id).collect();
    assert_eq!(names, ["stays"]);
}

/// The store is away from the start. The entry is not ready, and asks on
/// until it has both tables.
#[actix_rt::test]
async fn ready_only_with_both_tables() {
    let state = state();
    let catalogs = Table::new(vec![Answer::Away, catalog(1)]);
    let servers = Table::new(vec![Answer::Away, Answer::Away, server("s1")]);
    assert!(!state.is_ready());
    actix_rt::spawn(follow::catalogs(Rc::clone(&state), catalogs));
    until("the catalog", || version(&state) == 1).await;
    assert!(!state.is_ready());
    actix_rt::spawn(follow::servers(Rc::clone(&state), servers));
    until("ready", || state.is_ready()).await;
}

/// The store is back, but the servers' entries lapsed while it was away, and
/// each is written anew at another moment within two seconds. A fresh entry
/// refuses every call until it has read them, so it must ask several times in
/// each of these seconds; on a calm day that would only cost calls.
#[test]
fn servers_read_often_after_an_outage() {
    for entries in [0, 3, 100] {
        assert!(follow::poll_delay(true, entries) * 5 <= Duration::from_secs(1));
        assert!(follow::poll_delay(false, entries) * 2 >= Duration::from_secs(1));
    }
    assert!(follow::poll_delay(false, 100) > follow::poll_delay(false, 3));
}

/// The store is away for seconds. The first questions follow each other soon,
/// the later ones four times as slowly.
#[rstest]
#[case::first(1, 150)]
#[case::second(2, 300)]
#[case::third(3, 600)]
#[case::later(40, 600)]
fn retry_backs_off(#[case] failures: u32, #[case] ms: u64) {
    assert_eq!(follow::retry_delay(failures), Duration::from_millis(ms));
}
