//! Finds out which software version began a stream that a caller takes up here, and tells
//! other entries of the streams that begin here. `policy::origins` decides whom to tell and
//! to ask and what follows from the answers.

use std::cell::RefCell;
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use policy::origins::{
    self, KnownVersions, Members, Origin, OriginAnswer, OriginRecord, OriginTable, QueryScope,
};
use policy::versions::version_number;
use rand::RngExt;
use tokio::net::UdpSocket;
use tokio::sync::Notify;
use wire::gossip::{self, KnownOrigin, MAX_ORIGINS, Message, OriginMessage, StreamOrigin};

use crate::gossip::service_number;
use crate::origin_log::{self, LogState};
use crate::state::State;
use crate::versions;
use crate::wait::Wait;

/// Longest wait for answers. A caller that is refused may ask another entry.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(150);

/// Longest wait for a read of the servers, for a stream whose version has none that is known.
const SERVERS_TIMEOUT: Duration = Duration::from_millis(600);

/// Time beyond the caller's timeout for which its streams are remembered.
const TTL_MARGIN: Duration = Duration::from_secs(2);

/// The versions that began streams, as this entry knows them.
#[derive(Debug, Default)]
pub struct Origins {
    table: RefCell<OriginTable>,
    /// The socket of the gossip, once it is bound.
    socket: RefCell<Option<Rc<UdpSocket>>>,
    /// Queries that wait for answers, by number.
    queries: RefCell<HashMap<u32, Rc<Query>>>,
    /// The log in the store.
    pub log: LogState,
}

/// A query for one stream.
#[derive(Debug)]
struct Query {
    /// The entries that are asked, each with its answer.
    answers: RefCell<BTreeMap<SocketAddr, Option<OriginAnswer>>>,
    answered: Notify,
}

/// Guard that keeps a query until its caller has the answers or has left.
struct OpenQuery<'a> {
    origins: &'a Origins,
    number: u32,
    query: Rc<Query>,
}

impl Drop for OpenQuery<'_> {
    fn drop(&mut self) {
        self.origins.queries.borrow_mut().remove(&self.number);
    }
}

impl Origins {
    /// Uses `socket` for messages to other entries.
    pub(crate) fn set_socket(&self, socket: Rc<UdpSocket>) {
        *self.socket.borrow_mut() = Some(socket);
    }

    /// Number of streams whose version is known.
    #[must_use]
    pub fn count(&self) -> usize {
        self.table.borrow().len()
    }

    /// Number of queries that wait for answers.
    #[must_use]
    pub fn open_queries(&self) -> usize {
        self.queries.borrow().len()
    }

    /// Records streams of which nothing is known here; returns their number.
    pub(crate) fn insert_missing(
        &self,
        now: Instant,
        records: impl Iterator<Item = OriginRecord>,
    ) -> usize {
        self.table.borrow_mut().insert_missing(now, records)
    }

    /// Opens a query to `peers`.
    fn open_query(&self, peers: &[SocketAddr]) -> OpenQuery<'_> {
        // A late reply to a query of the entry's previous start must not match.
        let number = rand::rng().random();
        let query = Rc::new(Query {
            answers: RefCell::new(peers.iter().map(|peer| (*peer, None)).collect()),
            answered: Notify::new(),
        });
        self.queries.borrow_mut().insert(number, Rc::clone(&query));
        OpenQuery {
            origins: self,
            number,
            query,
        }
    }

    fn send(&self, to: SocketAddr, message: OriginMessage) {
        if let Some(socket) = &*self.socket.borrow() {
            // A datagram that cannot be sent is treated as lost.
            let _ = socket.try_send_to(&gossip::encode(Message::Origins(message)), to);
        }
    }

    fn send_records(&self, to: SocketAddr, records: &[OriginRecord]) {
        for part in records.chunks(MAX_ORIGINS) {
            let origins = part.iter().map(record_to_wire).collect();
            self.send(to, OriginMessage::Records(origins));
        }
    }
}

/// Records that a stream has begun at a server of `version`, and tells its homes. This is
/// done before the caller gets its first event, so that the entry's end loses no stream.
pub(crate) fn stream_began(state: &State, stream: &NewStream<'_>) {
    let now = state.clock.now();
    let record = OriginRecord {
        stream: origins::stream_key(stream.request_id),
        origin: Origin {
            service: service_number(stream.service),
            version: version_number(stream.version),
        },
        ttl: stream.caller_timeout + TTL_MARGIN,
    };
    let mut table = state.origins.table.borrow_mut();
    table.began(now, stream.service, record);
    drop(table);
    tell_homes(state, now);
}

/// A stream that begins at this entry.
#[derive(Debug, Clone, Copy)]
pub(crate) struct NewStream<'a> {
    /// ID of the attempt that brings its first event.
    pub(crate) request_id: &'a str,
    /// The service that it comes from.
    pub(crate) service: &'a Rc<str>,
    /// Software version of its server.
    pub(crate) version: &'a str,
    /// How long its caller waits for the whole of it.
    pub(crate) caller_timeout: Duration,
}

/// Tells the homes of own streams that they were not told of, where several versions serve.
pub(crate) fn tell_homes(state: &State, now: Instant) {
    let several = |service: &str| known_versions(state, now, service) == KnownVersions::Several;
    let untold = state.origins.table.borrow_mut().take_untold(now, several);
    if untold.is_empty() {
        return;
    }
    store(state, &untold);
    let members = members(state);
    let mut by_home: BTreeMap<SocketAddr, Vec<OriginRecord>> = BTreeMap::new();
    for record in untold {
        for home in members.homes(record.stream) {
            by_home.entry(home).or_default().push(record);
        }
    }
    by_home.remove(&state.settings.gossip);
    for (home, records) in by_home {
        state.origins.send_records(home, &records);
    }
}

/// Passes own streams to the entry that writes them to the store.
fn store(state: &State, streams: &[OriginRecord]) {
    let own = &state.origins;
    let writer = origin_log::role(state).writer;
    if writer == state.settings.gossip {
        own.log.push(state.clock.wall_ms(), streams);
        return;
    }
    for part in streams.chunks(MAX_ORIGINS) {
        let streams = part.iter().map(record_to_wire).collect();
        own.send(writer, OriginMessage::Unstored(streams));
    }
}

/// Asks an entry that was just found for the records that this one may have lost.
pub(crate) fn ask_for_missing(state: &State, peer: SocketAddr) {
    if state.roster.borrow().common_members().contains(&peer) {
        state.origins.send(peer, OriginMessage::Missing);
    }
}

/// Where a stream that a caller takes up may go on.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum Continuation {
    /// At servers of this software version.
    AtVersion(Rc<str>),
    /// At any server: it began at another service, which its route has been taken from.
    Anywhere,
    /// Not here: it is not known which version began it, or no server has it any more.
    Nowhere,
}

/// Where the stream of the attempt `resumes` may go on, at servers of `service`. Asks other
/// entries until `deadline` at most.
pub(crate) async fn find_continuation(
    state: &State,
    service: &Rc<str>,
    resumes: Option<&str>,
    deadline: Instant,
) -> Continuation {
    let called_at = state.clock.now();
    let stream = resumes.map(origins::stream_key);
    let recorded = |now| stream.and_then(|s| state.origins.table.borrow().origin(now, s));
    if let Some(origin) = recorded(called_at) {
        return continue_at(state, called_at, service, origin, deadline).await;
    }
    if stream.is_some() && state.origins.log.is_loading() {
        state
            .origins
            .log
            .wait_until_loaded(called_at, deadline)
            .await;
        let now = state.clock.now();
        if let Some(origin) = recorded(now) {
            return continue_at(state, called_at, service, origin, deadline).await;
        }
    }
    let mut peers = members(state).asked(stream.unwrap_or_default());
    // The writer has read the log.
    let writer = origin_log::role(state).writer;
    if !peers.contains(&writer) {
        peers.push(writer);
    }
    peers.retain(|peer| *peer != state.settings.gossip);
    let answers = match stream {
        Some(stream) => ask(state, service, stream, &peers, deadline).await,
        None => Vec::new(),
    };
    let began = answers.iter().find_map(|answer| match answer {
        OriginAnswer::Began(origin) => Some(*origin),
        OriginAnswer::SeveralVersions | OriginAnswer::Unknown | OriginAnswer::Unsettled => None,
    });
    if let Some(origin) = began {
        return continue_at(state, called_at, service, origin, deadline).await;
    }
    let scope = QueryScope {
        asked: peers.len(),
        entries_known: state.discovery.borrow().entries_known(state.clock.now()),
        settled: versions::is_settled(state),
    };
    match infer_version(state, service, &answers, scope, called_at, deadline).await {
        Some(version) => {
            remember_inferred(state, service, stream, &version, deadline);
            Continuation::AtVersion(version)
        }
        None => Continuation::Nowhere,
    }
}

/// Where a stream of known `origin` may go on. Its version may have come while this entry was
/// cut off or stood still: then the server table is read first.
async fn continue_at(
    state: &State,
    called_at: Instant,
    service: &Rc<str>,
    origin: Origin,
    deadline: Instant,
) -> Continuation {
    let mut wait = Wait::new(SERVERS_TIMEOUT, deadline);
    loop {
        let changed = state.tables.changed.notified();
        let now = state.clock.now();
        let found = Continuation::from_origin(state, now, service, origin);
        let read_at = state.tables.servers.borrow().fresh_at();
        let is_read = read_at.is_none_or(|at| at >= called_at);
        let given_up = is_read || state.tables.are_servers_lost() || wait.is_over(now);
        if found != Continuation::Nowhere || given_up {
            return found;
        }
        state.servers_wanted.notify_one();
        wait.step(&*state.clock, changed).await;
    }
}

/// The version of a stream that no entry knows, if it is clear. Reads the recorded versions
/// if the answers are not conclusive: the stream began before `called_at`, and its version
/// was recorded before that.
async fn infer_version(
    state: &State,
    service: &Rc<str>,
    answers: &[OriginAnswer],
    scope: QueryScope,
    called_at: Instant,
    deadline: Instant,
) -> Option<Rc<str>> {
    let infer = |proven| {
        let known = known_versions(state, state.clock.now(), service);
        origins::infer_version(&known, answers, proven)
    };
    if scope.is_conclusive(answers) {
        return infer(true);
    }
    // The records are not read if they could not help.
    infer(true)?;
    infer(versions::read_since(state, called_at, deadline).await)
}

/// Records a version that was inferred, as for a stream that begins here: the stream may
/// break again once there is a second version.
fn remember_inferred(
    state: &State,
    service: &Rc<str>,
    stream: Option<u64>,
    version: &str,
    deadline: Instant,
) {
    let Some(stream) = stream else {
        return;
    };
    let now = state.clock.now();
    let record = OriginRecord {
        stream,
        origin: Origin {
            service: service_number(service),
            version: version_number(version),
        },
        ttl: deadline.saturating_duration_since(now) + TTL_MARGIN,
    };
    state.origins.table.borrow_mut().began(now, service, record);
}

impl Continuation {
    fn from_origin(state: &State, now: Instant, service: &str, origin: Origin) -> Self {
        if origin.service != service_number(service) {
            return Self::Anywhere;
        }
        let versions = state.balancer.borrow().recent_versions(now, service);
        let mut versions = versions.into_iter();
        match versions.find(|v| version_number(v) == origin.version) {
            Some(version) => Self::AtVersion(version),
            None => Self::Nowhere,
        }
    }
}

/// Asks entries for a stream until one knows it or all have answered.
async fn ask(
    state: &State,
    service: &Rc<str>,
    stream: u64,
    peers: &[SocketAddr],
    deadline: Instant,
) -> Vec<OriginAnswer> {
    let open = state.origins.open_query(peers);
    let query = &open.query;
    let message = OriginMessage::Query {
        query: open.number,
        stream,
        service_number: service_number(service),
    };
    let mut wait = Wait::new(ANSWER_TIMEOUT, deadline);
    while !query.is_settled() && !wait.is_over(state.clock.now()) {
        for peer in query.missing() {
            state.origins.send(peer, message.clone());
        }
        let settled = async {
            while !query.is_settled() {
                query.answered.notified().await;
            }
        };
        // Those that have not answered are asked again.
        wait.step(&*state.clock, settled).await;
    }
    let answers = query.answers.borrow();
    answers.values().copied().flatten().collect()
}

impl Query {
    /// Whether an entry knows the stream or all have answered.
    fn is_settled(&self) -> bool {
        let answers = self.answers.borrow();
        let began = |answer: &Option<OriginAnswer>| matches!(answer, Some(OriginAnswer::Began(_)));
        answers.values().any(began) || answers.values().all(Option::is_some)
    }

    /// The entries that have not answered.
    fn missing(&self) -> Vec<SocketAddr> {
        let answers = self.answers.borrow();
        let missing = answers.iter().filter(|(_, answer)| answer.is_none());
        missing.map(|(peer, _)| *peer).collect()
    }
}

/// Handles a message of another entry.
pub(crate) fn handle(state: &State, from: SocketAddr, message: OriginMessage) {
    let now = state.clock.now();
    let own = &state.origins;
    match message {
        OriginMessage::Records(origins) => {
            let mut table = own.table.borrow_mut();
            for origin in origins {
                table.insert(now, record_from_wire(&origin));
            }
        }
        OriginMessage::Unstored(origins) => {
            let records: Vec<OriginRecord> = origins.iter().map(record_from_wire).collect();
            own.log.push(state.clock.wall_ms(), &records);
        }
        OriginMessage::Missing => {
            let records = own.table.borrow().records_for(now, from, &members(state));
            own.send_records(from, &records);
        }
        OriginMessage::Query {
            query,
            stream,
            service_number,
        } => {
            let origin = known_origin(state, now, stream, service_number);
            // The sender asks again, and the log may name the version then.
            if own.log.is_loading() && !matches!(origin, KnownOrigin::Began(_)) {
                return;
            }
            own.send(from, OriginMessage::Reply { query, origin });
        }
        OriginMessage::Reply { query, origin } => {
            let answer = match origin {
                KnownOrigin::Began(origin) => OriginAnswer::Began(from_wire(origin)),
                KnownOrigin::SeveralVersions => OriginAnswer::SeveralVersions,
                KnownOrigin::Unknown => OriginAnswer::Unknown,
                KnownOrigin::Unsettled => OriginAnswer::Unsettled,
            };
            let query = own.queries.borrow().get(&query).cloned();
            if let Some(query) = query
                && let Some(asked) = query.answers.borrow_mut().get_mut(&from)
            {
                *asked = Some(answer);
                query.answered.notify_one();
            }
        }
    }
}

/// What this entry tells one that asks for a stream.
fn known_origin(state: &State, now: Instant, stream: u64, service: u32) -> KnownOrigin {
    if let Some(origin) = state.origins.table.borrow().origin(now, stream) {
        return KnownOrigin::Began(to_wire(origin));
    }
    let balancer = state.balancer.borrow();
    let mut services = balancer.known_services();
    let service = services.find(|name| service_number(name) == service);
    let service = service.map(Rc::clone);
    let known = service.map(|s| {
        KnownVersions::of(
            &balancer.recent_versions(now, &s),
            &state.versions.of_service(&s),
        )
    });
    match known {
        Some(KnownVersions::Several) => KnownOrigin::SeveralVersions,
        _ if versions::is_complete(state) => KnownOrigin::Unknown,
        _ => {
            state.versions.request_read();
            KnownOrigin::Unsettled
        }
    }
}

fn members(state: &State) -> Members {
    Members::new(&state.roster.borrow().common_members())
}

fn known_versions(state: &State, now: Instant, service: &str) -> KnownVersions {
    let seen = state.balancer.borrow().recent_versions(now, service);
    KnownVersions::of(&seen, &state.versions.of_service(service))
}

fn to_wire(origin: Origin) -> gossip::Origin {
    gossip::Origin {
        service_number: origin.service,
        version: origin.version,
    }
}

fn from_wire(origin: gossip::Origin) -> Origin {
    Origin {
        service: origin.service_number,
        version: origin.version,
    }
}

fn record_to_wire(record: &OriginRecord) -> StreamOrigin {
    StreamOrigin {
        stream: record.stream,
        origin: to_wire(record.origin),
        ttl_ms: u32::try_from(record.ttl.as_millis()).unwrap_or(u32::MAX),
    }
}

fn record_from_wire(record: &StreamOrigin) -> OriginRecord {
    OriginRecord {
        stream: record.stream,
        origin: from_wire(record.origin),
        ttl: Duration::from_millis(u64::from(record.ttl_ms)),
    }
}
