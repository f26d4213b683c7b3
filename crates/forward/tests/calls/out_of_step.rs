//! Streams that callers take up at an entry whose tables are out of date: it was cut off from
//! the others or from the store, or stood still.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use base::clock::{Clock, ManualClock};
use base::stop::StopSignal;
use forward::gossip::GossipEndpoint;
use forward::platform::{Changes, Source, SourceError};
use forward::state::State;
use forward::{follow, neighbours, versions};
use policy::balance::ServerRecord;
use policy::origins::stream_key;
use policy::readers::{MIN_SHARING_ENTRIES, Rank};
use policy::rendezvous::hash_name;
use policy::replica::{OFFSET_BITS, Update, UpdateKind};
use policy::routes::CallKind;
use policy::versions::records::{VersionKey, VersionRecord, VersionState};
use policy::versions::version_number;
use rstest::rstest;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream, UdpSocket};
use tokio::sync::Notify;
use wire::gossip::{self, Message, Origin, OriginMessage, StreamOrigin};

use crate::common::{Action, Entry, Plan, status};

/// The rest of a stream after its first event.
const REMAINDER: &str = "HTTP/1.1 200 OK\r\ncall-id: {id}\r\nseal: s\r\n\
    Transfer-Encoding: chunked\r\n\r\n10\r\nid: 2\ndata: b\n\n\n\r\n0\r\n\r\n";

/// A call that takes up a stream of which no entry knows.
const TAKES_UP: &str = "call-id: 2\r\nresumes: 1\r\nlast-event: 1\r\n";

/// Time that passes between two events of a test.
const STEP: Duration = Duration::from_millis(100);

/// The records of versions in the store, each as one step of its log.
#[derive(Clone, Default)]
struct Table(Rc<Inner>);

#[derive(Default)]
struct Inner {
    log: RefCell<Vec<String>>,
    unavailable: Cell<bool>,
    /// Number of restores from an old copy.
    era: Cell<u64>,
    /// Requests that have arrived.
    requests: Cell<u32>,
}

impl Table {
    fn new(versions: &[&str]) -> Self {
        let table = Self::default();
        versions.iter().for_each(|version| table.add(version));
        table
    }

    fn add(&self, version: &str) {
        let key = VersionKey::new("app", version).to_string();
        self.0.log.borrow_mut().push(key);
    }

    /// Waits until a request has arrived.
    async fn wait_for_request(&self) {
        while self.0.requests.get() == 0 {
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
    }

    fn read(&self, from: u64) -> Result<Changes<VersionRecord>, SourceError> {
        self.0.requests.set(self.0.requests.get() + 1);
        if self.0.unavailable.get() {
            let (step, peer, cause) = ("read", "store".to_owned(), "down".to_owned());
            return Err(SourceError::Unavailable { step, peer, cause });
        }
        let log = self.0.log.borrow();
        let record = VersionRecord::unnamed(VersionState::Active);
        let offset = from & ((1 << OFFSET_BITS) - 1);
        let new = log.iter().skip(usize::try_from(offset).expect("short"));
        Ok(Changes {
            records: new.map(|key| (key.clone(), Some(record.clone()))).collect(),
            next: self.0.era.get() << OFFSET_BITS | log.len() as u64,
        })
    }
}

impl Source for Table {
    type Item = VersionRecord;

    async fn snapshot(&self) -> Result<Changes<VersionRecord>, SourceError> {
        self.read(0)
    }

    async fn changes(&self, from: u64, _: Duration) -> Result<Changes<VersionRecord>, SourceError> {
        self.read(from)
    }
}

/// An entry that has read the record of `v1`, its only version, some time ago.
async fn start(table: &Table) -> Entry {
    start_with(plan(), table).await
}

fn plan() -> Plan {
    Plan {
        versions: &["v1"],
        store_answers: false,
        ..Plan::new(CallKind::Resumable, 1, &[Action::Send(REMAINDER)])
    }
}

/// A plan for an entry with this clock.
fn plan_with(clock: &ManualClock) -> Plan {
    Plan {
        clock: Rc::new(clock.clone()),
        ..plan()
    }
}

async fn start_with(plan: Plan, table: &Table) -> Entry {
    let entry = Entry::start(plan).await;
    actix_rt::spawn(versions::read_for_calls(
        Rc::clone(&entry.state),
        table.clone(),
        StopSignal::new(),
    ));
    entry
}

/// Guards against an entry that has dropped all others, since it heard nothing of them, and
/// takes the answers of none for a proof that there is no other version.
#[rstest]
#[case::another_version(&["v1", "v2"], false, "503")]
#[case::only_version(&["v1"], false, "200")]
#[case::store_away(&["v1"], true, "503")]
#[actix_rt::test]
async fn nobody_asked_taken_for_proof(
    #[case] recorded: &[&str],
    #[case] unavailable: bool,
    #[case] expected: &str,
) {
    let table = Table::new(recorded);
    table.0.unavailable.set(unavailable);
    let entry = start(&table).await;
    assert_eq!(status(&entry.call(TAKES_UP).await), expected);
    let ran = usize::from(expected == "200");
    assert_eq!(entry.servers.requests().len(), ran);
}

/// Guards against a copy that a neighbour wrote before the call arrived, and that was delayed
/// on its way, counting as read after it.
#[actix_rt::test]
async fn delayed_copy_taken_for_fresh() {
    let (clock, table) = (ManualClock::new(), Table::new(&["v1"]));
    table.0.unavailable.set(true);
    let entry = start_with(plan_with(&clock), &table).await;
    let state = &entry.state;
    let copies = DelayedCopies::start(state).await;
    actix_rt::spawn(neighbours::follow(Rc::clone(state), StopSignal::new()));
    copies.written.notified().await;
    clock.advance(STEP);
    let call = entry.call(TAKES_UP);
    tokio::pin!(call);
    let released = async {
        table.wait_for_request().await;
        clock.advance(STEP);
        copies.release.notify_one();
        copies.sent.notified().await;
        end_waits(&clock, state).await;
    };
    tokio::select! {
        answer = &mut call => assert_eq!(status(&answer), "503"),
        () = released => {}
    }
}

/// Lets time pass until the waits of calls have ended.
async fn end_waits(clock: &ManualClock, state: &State) {
    loop {
        clock.advance(STEP);
        let nothing = Vec::new();
        versions::apply_changes(state, state.clock.now(), nothing, UpdateKind::Delta);
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}

/// A neighbour whose first answer is delayed.
struct DelayedCopies {
    /// Notified when the answer has been written.
    written: Rc<Notify>,
    /// Lets it through.
    release: Rc<Notify>,
    /// Notified when it has been passed on.
    sent: Rc<Notify>,
}

impl DelayedCopies {
    /// Starts a neighbour that has read the record of `v1`, and that `entry` prefers to the
    /// store. No time passes for it.
    async fn start(entry: &State) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a listener");
        let addr = listener.local_addr().expect("an address");
        let server = Entry::start(plan_with(&ManualClock::new())).await;
        let inner = TcpListener::bind("127.0.0.1:0").await.expect("a listener");
        let inner_addr = inner.local_addr().expect("an address");
        let answers =
            neighbours::answer_requests(inner, Rc::clone(&server.state), StopSignal::new());
        actix_rt::spawn(answers);
        let expires_at = entry.clock.now() + Duration::from_secs(60);
        let mut readers = entry.zone_readers.borrow_mut();
        readers.observe(addr, Rank::new(0, addr, u32::MAX), expires_at);
        readers.set_copy_age(entry.clock.now(), addr, Duration::ZERO);
        for n in 2..=MIN_SHARING_ENTRIES {
            let n = u8::try_from(n).expect("a few");
            let silent = SocketAddr::from(([127, 0, 0, n], 1));
            readers.observe(silent, Rank::new(0, silent, 0), expires_at);
        }
        let copies = Self {
            written: Rc::default(),
            release: Rc::default(),
            sent: Rc::default(),
        };
        let (written, release) = (Rc::clone(&copies.written), Rc::clone(&copies.release));
        let sent = Rc::clone(&copies.sent);
        actix_rt::spawn(async move {
            let (caller, _) = listener.accept().await.expect("a connection");
            let server = TcpStream::connect(inner_addr).await.expect("a connection");
            let (mut requests, mut answered) = caller.into_split();
            let (mut answers, mut asked) = server.into_split();
            let forwarded = async move { tokio::io::copy(&mut requests, &mut asked).await };
            actix_rt::spawn(forwarded);
            let mut first = vec![0; 1 << 16];
            let length = answers.read(&mut first).await.expect("an answer");
            written.notify_one();
            release.notified().await;
            answered.write_all(&first[..length]).await.expect("sent");
            sent.notify_one();
            let _ = tokio::io::copy(&mut answers, &mut answered).await;
        });
        copies
    }
}

/// Guards against a response that the store wrote before the call arrived counting as held
/// until after it, since it was read late.
#[actix_rt::test]
async fn delayed_response_taken_for_fresh() {
    let (clock, table) = (ManualClock::new(), Table::new(&["v1"]));
    table.0.unavailable.set(true);
    let entry = start_with(plan_with(&clock), &table).await;
    let state = &entry.state;
    let held = Held::default();
    actix_rt::spawn(follow::versions(Rc::clone(state), held.clone()));
    held.0.arrived.notified().await;
    clock.advance(POLL_WAIT);
    let call = entry.call(TAKES_UP);
    tokio::pin!(call);
    let released = async {
        table.wait_for_request().await;
        held.0.release.notify_one();
        held.0.arrived.notified().await;
        end_waits(&clock, state).await;
    };
    tokio::select! {
        answer = &mut call => assert_eq!(status(&answer), "503"),
        () = released => {}
    }
}

/// Guards against an entry that has started when the store was restored, and takes a read of
/// the restored table for a proof: versions that the copy lacks are recorded again later.
#[actix_rt::test]
async fn restored_table_taken_for_proof() {
    let (clock, table) = (ManualClock::new(), Table::new(&["v1"]));
    let entry = start_with(plan_with(&clock), &table).await;
    let state = &entry.state;
    table.0.era.set(1);
    let key = VersionKey::new("app", "v1").to_string();
    let record = VersionRecord::unnamed(VersionState::Active);
    let kind = UpdateKind::RestoredSnapshot;
    let update = Update {
        records: vec![(Rc::from(key), Some(record))],
        kind,
        position: 1 << OFFSET_BITS | 1,
        as_of: clock.now(),
    };
    let changes = {
        let mut replica = state.tables.versions.borrow_mut();
        replica.apply_store_update(update, Some(1))
    };
    versions::apply_changes(state, clock.now(), changes, kind);
    assert_eq!(status(&entry.call(TAKES_UP).await), "503");
    assert!(table.0.requests.get() > 0);
    clock.advance(SETTLING_TIME);
    let again = "call-id: 3\r\nresumes: 1\r\nlast-event: 1\r\n";
    assert_eq!(status(&entry.call(again).await), "200");
}

/// Time within which versions that a restored store has lost are recorded again.
const SETTLING_TIME: Duration = Duration::from_secs(3);

/// Guards against refusing a stream whose version came while the entry stood still: it knows
/// the version from the entry at which the stream began, and has no server of it listed yet.
#[actix_rt::test]
async fn version_refused_before_servers_are_read() {
    let entry = start(&Table::new(&["v1", "v2"])).await;
    let state = &entry.state;
    let socket = UdpSocket::bind("127.0.0.1:0").await.expect("a socket");
    let gossip = socket.local_addr().expect("an address");
    let endpoint = GossipEndpoint::new(Rc::clone(state), socket);
    actix_rt::spawn(endpoint.run(StopSignal::new()));
    // The servers were read before the call.
    let update = Update {
        records: Vec::new(),
        kind: UpdateKind::Snapshot,
        position: 1,
        as_of: state.clock.now(),
    };
    let servers = &state.tables.servers;
    servers.borrow_mut().apply_store_update(update, None);
    let home = UdpSocket::bind("127.0.0.1:0").await.expect("a socket");
    let began = StreamOrigin {
        stream: stream_key("1"),
        origin: Origin {
            service_number: hash_name("app") as u32,
            version: version_number("v2"),
        },
        ttl_ms: 20_000,
    };
    let message = Message::Origins(OriginMessage::Records(vec![began]));
    let sent = home.send_to(&gossip::encode(message), gossip).await;
    sent.expect("a datagram");
    while state.origins.count() == 0 {
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
    let call = entry.call(TAKES_UP);
    let read = async {
        state.servers_wanted.notified().await;
        let serving = state.balancer.borrow().serving("app");
        let (older, _) = serving.into_iter().next().expect("a server");
        let newer = ServerRecord {
            id: Rc::from("newer"),
            version: Rc::from("v2"),
            ..older
        };
        let now = state.clock.now();
        state.balancer.borrow_mut().upsert(now, newer);
        state.tables.changed.notify_waiters();
        std::future::pending::<()>().await;
    };
    tokio::select! {
        answer = call => assert_eq!(status(&answer), "200"),
        () = read => {}
    }
}

/// Longest time for which the store holds a request for versions.
const POLL_WAIT: Duration = Duration::from_secs(20);

/// A store that has written its response, which arrives late.
#[derive(Clone, Default)]
struct Held(Rc<Response>);

#[derive(Default)]
struct Response {
    arrived: Notify,
    release: Notify,
}

impl Source for Held {
    type Item = VersionRecord;

    async fn snapshot(&self) -> Result<Changes<VersionRecord>, SourceError> {
        self.changes(0, Duration::ZERO).await
    }

    async fn changes(&self, from: u64, _: Duration) -> Result<Changes<VersionRecord>, SourceError> {
        self.0.arrived.notify_one();
        self.0.release.notified().await;
        Ok(Changes {
            records: Vec::new(),
            next: from,
        })
    }
}
