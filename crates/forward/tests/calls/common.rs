//! An entry with scripted backend servers, and a caller.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeSet, HashMap};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use base::clock::{Clock, SystemClock};
use base::ids::Tier;
use base::stop::StopSignal;
use forward::platform::{
    AddedHeaders, CallHeaders, CopyRequest, Dialect, EngineControl, EngineError, PromptPart,
    ResponseHeaders,
};
use forward::settings::Settings;
use forward::state::State;
use http::{HeaderMap, HeaderValue};
use policy::balance::{ServerFeedback, ServerRecord};
use policy::moves::CopyOutcome;
use policy::routes::{CallKind, CallerLimits, Catalog, Engine, Route, Service, Workspace};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;

use crate::records;

/// The host of the engines and their sidecar.
pub(crate) const ENGINES: &str = "127.0.0.2";

/// A path under the prefix of the tests' route.
pub(crate) const PATH: &str = "/r/x?q=1";

/// The header of the request ID in these tests.
const ID: &str = "call-id";

/// A dialect with plain header names.
pub(crate) struct TestDialect;

impl Dialect for TestDialect {
    fn parse_call(&self, headers: &HeaderMap) -> CallHeaders {
        CallHeaders {
            request_id: text(headers, ID),
            api_key: text(headers, "key"),
            caller_timeout: text(headers, "patience-ms")
                .and_then(|t| t.parse().ok())
                .map(Duration::from_millis),
            prompt_tokens: number(headers, "prompt"),
            max_tokens: number(headers, "output"),
            prompt_parts: parts(headers),
            last_event: text(headers, "last-event").and_then(|n| n.parse().ok()),
            resumes: text(headers, "resumes"),
            ..CallHeaders::default()
        }
    }

    fn forwarded_headers(&self, headers: &HeaderMap, added: &AddedHeaders<'_>) -> HeaderMap {
        let mut out = headers.clone();
        for name in ["connection", "content-length", "transfer-encoding", "key"] {
            out.remove(name);
        }
        let mut set = |name: &'static str, value: String| {
            out.insert(name, HeaderValue::from_str(&value).expect("a value"));
        };
        set("left-ms", added.time_left.as_millis().to_string());
        set("server", added.server.to_owned());
        if let Some(workspace) = added.workspace {
            set("workspace", workspace.to_owned());
        }
        if let Some(holder) = added.fetch_from {
            set("fetch", holder.to_string());
        }
        if let Some(backup) = added.backup {
            set("backup", backup.to_string());
        }
        if let Some(copy) = added.kv_copy {
            set("kv-from", format!("{}/{}", copy.addr, copy.handle));
        }
        if let Some(last) = added.last_event {
            set("last-event", last.to_string());
        }
        if let Some(backup) = added.backup {
            set("backup", backup.to_string());
        }
        if let Some(copy) = added.kv_copy {
            set("kv-from", format!("{}/{}", copy.addr, copy.handle));
        }
        out
    }

    fn parse_start(&self, body: &[u8]) -> Option<u64> {
        std::str::from_utf8(body).ok()?.parse().ok()
    }

    fn parse_response(&self, _status: u16, headers: &HeaderMap) -> ResponseHeaders {
        ResponseHeaders {
            request_id: text(headers, ID),
            server: text(headers, "instance"),
            sealed: headers.contains_key("seal"),
            not_run: headers.contains_key("not-run"),
            wrong_server: headers.contains_key("elsewhere"),
            encoded: headers.contains_key("content-encoding"),
            idle_timeout: text(headers, "keep-ms")
                .and_then(|t| t.parse().ok())
                .map(Duration::from_millis),
            close: text(headers, "connection").is_some_and(|c| c == "close"),
            feedback: ServerFeedback {
                leaving: headers.contains_key("leaving"),
                backoff: text(headers, "rest-ms")
                    .and_then(|t| t.parse().ok())
                    .map(Duration::from_millis),
                rate_limit: text(headers, "limit").and_then(|l| l.parse().ok()),
            },
        }
    }
}

fn text(headers: &HeaderMap, name: &str) -> Option<String> {
    headers.get(name)?.to_str().ok().map(str::to_owned)
}

/// Parses prompt parts, such as `1:800,2:410`.
fn parts(headers: &HeaderMap) -> Vec<PromptPart> {
    let text = text(headers, "parts").unwrap_or_default();
    let part = |part: &str| {
        let (id, tokens) = part.split_once(':')?;
        Some(PromptPart {
            id: id.parse().ok()?,
            tokens: tokens.parse().ok()?,
        })
    };
    text.split(',').map_while(part).collect()
}

fn number(headers: &HeaderMap, name: &str) -> u32 {
    let text = text(headers, name);
    text.and_then(|t| t.parse().ok()).unwrap_or_default()
}

/// What a server does with one request.
#[derive(Debug, Clone)]
pub(crate) enum Action {
    /// Sends these bytes, with `{id}` replaced by the request's ID, and keeps
    /// the connection open.
    Send(&'static str),
    /// Sends these bytes and closes the connection.
    SendClose(&'static str),
    /// Sends these bytes and resets the connection.
    SendReset(&'static str),
    /// Sends these bytes after a while and keeps the connection open.
    Delayed(&'static str),
    /// Sends nothing until the other side closes the connection.
    Silent,
    /// Sends these bytes once the request's head has arrived, then reads the
    /// body.
    Early(&'static str),
}

/// What a server does when it is asked for its incarnation.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(crate) enum Health {
    /// It is the listed one.
    #[default]
    Same,
    /// It is the listed one, which leaves.
    Leaving,
    /// It has the listed name and says that it started at this time.
    Started(&'static str),
    /// It is another one.
    Other,
    /// It rejects the call as one meant for another server.
    Rejected,
    /// It answers without an ID.
    Unnamed,
    /// It sends nothing.
    Silent,
    /// It closes the connection without an answer.
    Closed,
    /// It resets the connection in the middle of the head.
    Reset,
}

impl Health {
    /// What the server `id` does.
    fn action(self, id: &str) -> (String, bool) {
        let answer = |status: &str, id: &str| {
            format!("HTTP/1.1 {status}\r\ninstance: {id}\r\nContent-Length: 0\r\n\r\n")
        };
        match self {
            Self::Same => (answer("200 OK", id), true),
            Self::Leaving => (answer("503 Leaving", id), true),
            Self::Started(start) => {
                let length = start.len();
                let length = format!("Content-Length: {length}\r\n\r\n{start}");
                let empty = "Content-Length: 0\r\n\r\n";
                (answer("200 OK", id).replace(empty, &length), true)
            }
            Self::Other => (answer("200 OK", "another"), true),
            Self::Rejected => (WRONG_SERVER.to_owned(), true),
            Self::Unnamed => (OK.to_owned(), true),
            Self::Silent => (String::new(), true),
            Self::Closed => (String::new(), false),
            Self::Reset => (answer("200 OK", id)[..30].to_owned(), false),
        }
    }
}

/// A sealed success response.
pub(crate) const OK: &str =
    "HTTP/1.1 200 OK\r\ncall-id: {id}\r\nseal: s\r\nContent-Length: 5\r\n\r\nhello";

/// A refusal which states that the call did not run.
pub(crate) const NOT_RUN: &str =
    "HTTP/1.1 503 Full\r\ncall-id: {id}\r\nnot-run: 1\r\nContent-Length: 0\r\n\r\n";

/// A rejection by another server than the intended one.
pub(crate) const WRONG_SERVER: &str = "HTTP/1.1 421 Other\r\ncall-id: {id}\r\nnot-run: 1\r\n\
    elsewhere: 1\r\nContent-Length: 0\r\n\r\n";

/// A sealed failure response.
pub(crate) const FAILED: &str =
    "HTTP/1.1 500 Failed\r\ncall-id: {id}\r\nseal: s\r\nContent-Length: 3\r\n\r\nbad";

/// Servers that share one list of actions. Each request takes the next one,
/// whichever server it reaches.
#[derive(Clone, Default)]
pub(crate) struct Servers {
    inner: Rc<Inner>,
}

#[derive(Default)]
struct Inner {
    actions: RefCell<Vec<Action>>,
    /// The requests in the order of their arrival.
    requests: RefCell<Vec<String>>,
    /// Connections that were accepted.
    accepted: Cell<usize>,
    /// Connections that the other side has closed.
    closed: Cell<usize>,
    /// Servers that listen.
    listening: Cell<usize>,
    /// What they do when they are asked for their incarnation.
    health: Cell<Health>,
    /// Number of times that they were asked.
    probes: Cell<usize>,
    /// Their answer when they are told to stop a run; they run none by default.
    stop_answer: RefCell<Option<CopyOutcome>>,
    /// The servers that were told to stop a run, and the number of requests before.
    stops: RefCell<Vec<(SocketAddr, usize)>>,
    /// Tells the servers to reset their connections.
    reset: Notify,
}

impl Servers {
    pub(crate) fn requests(&self) -> Vec<String> {
        self.inner.requests.borrow().clone()
    }

    pub(crate) fn accepted(&self) -> usize {
        self.inner.accepted.get()
    }

    /// Sets what the servers do when they are asked for their incarnation.
    pub(crate) fn set_health(&self, health: Health) {
        self.inner.health.set(health);
    }

    /// Number of times that the servers were asked for their incarnation.
    pub(crate) fn probes(&self) -> usize {
        self.inner.probes.get()
    }

    /// Sets what the servers answer when they are told to stop a run.
    pub(crate) fn set_stop_answer(&self, answer: CopyOutcome) {
        *self.inner.stop_answer.borrow_mut() = Some(answer);
    }

    /// The servers that were told to stop a run, and the number of requests before.
    pub(crate) fn stops(&self) -> Vec<(SocketAddr, usize)> {
        self.inner.stops.borrow().clone()
    }

    /// Resets the connections on which the servers wait for a request.
    pub(crate) fn reset_connections(&self) {
        self.inner.reset.notify_waiters();
    }

    /// Waits until the other side has closed a connection.
    pub(crate) async fn wait_closed(&self) {
        while self.inner.closed.get() == 0 {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    }

    pub(crate) async fn listen(&self, host: &str) -> SocketAddr {
        let listener = TcpListener::bind((host, 0)).await.expect("a listener");
        let addr = listener.local_addr().expect("an address");
        let servers = self.clone();
        let number = self.inner.listening.get() + 1;
        self.inner.listening.set(number);
        actix_rt::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                servers.inner.accepted.set(servers.inner.accepted.get() + 1);
                let id = format!("s{number}");
                actix_rt::spawn(servers.clone().serve(id, stream));
            }
        });
        addr
    }

    async fn serve(self, server: String, mut stream: TcpStream) {
        let mut all = Vec::new();
        loop {
            let early = match self.inner.actions.borrow().first() {
                Some(Action::Early(bytes)) => Some(*bytes),
                _ => None,
            };
            let request = tokio::select! {
                request = read_request(&mut stream, &mut all, early) => request,
                () = self.inner.reset.notified() => {
                    let linger = Some(Duration::ZERO);
                    let _ = socket2::SockRef::from(&stream).set_linger(linger);
                    return;
                }
            };
            let Some(request) = request else {
                break;
            };
            if request.starts_with("GET /health ") {
                self.inner.probes.set(self.inner.probes.get() + 1);
                let health = self.inner.health.get();
                let (bytes, open) = health.action(&server);
                let _ = stream.write_all(bytes.as_bytes()).await;
                if open {
                    continue;
                }
                if health == Health::Reset {
                    let linger = Some(Duration::ZERO);
                    let _ = socket2::SockRef::from(&stream).set_linger(linger);
                }
                return;
            }
            let id = header(&request, ID).unwrap_or_default();
            self.inner.requests.borrow_mut().push(request);
            let action = {
                let mut actions = self.inner.actions.borrow_mut();
                if actions.is_empty() {
                    Action::Send(OK)
                } else {
                    actions.remove(0)
                }
            };
            let (bytes, end) = match action {
                Action::Send(bytes) => (bytes, None),
                Action::Delayed(bytes) => {
                    tokio::time::sleep(Duration::from_millis(30)).await;
                    (bytes, None)
                }
                Action::SendClose(bytes) => (bytes, Some(false)),
                Action::SendReset(bytes) => (bytes, Some(true)),
                Action::Silent | Action::Early(_) => ("", None),
            };
            let bytes = bytes.replace("{id}", &id);
            let _ = stream.write_all(bytes.as_bytes()).await;
            match end {
                None => {}
                Some(false) => return,
                Some(true) => {
                    // Lets the bytes arrive before the reset discards them.
                    tokio::time::sleep(Duration::from_millis(20)).await;
                    let linger = Some(Duration::ZERO);
                    let _ = socket2::SockRef::from(&stream).set_linger(linger);
                    return;
                }
            }
        }
        self.inner.closed.set(self.inner.closed.get() + 1);
    }
}

impl EngineControl for Servers {
    async fn copy_run(&self, engine: SocketAddr, request: &CopyRequest<'_>) -> CopyOutcome {
        assert!(request.last, "only calls that stop a run are expected");
        let requests = self.inner.requests.borrow().len();
        self.inner.stops.borrow_mut().push((engine, requests));
        let answer = self.inner.stop_answer.borrow().clone();
        answer.unwrap_or(CopyOutcome::NoRun)
    }

    async fn drop_copy(&self, _engine: SocketAddr, _handle: &str) -> Result<(), EngineError> {
        Ok(())
    }
}

/// Reads one request with its body, or returns `None` when the other side has
/// closed the connection. Sends `early` as soon as the head has arrived. Bytes
/// of the next request stay in `all`.
async fn read_request(
    stream: &mut TcpStream,
    all: &mut Vec<u8>,
    early: Option<&str>,
) -> Option<String> {
    let head = loop {
        if let Some(end) = all.windows(4).position(|w| w == b"\r\n\r\n") {
            break end + 4;
        }
        read_more(stream, all).await?;
    };
    let text = String::from_utf8_lossy(&all[..head]).into_owned();
    if let Some(early) = early {
        let id = header(&text, ID).unwrap_or_default();
        let _ = stream
            .write_all(early.replace("{id}", &id).as_bytes())
            .await;
    }
    let length: usize = header(&text, "content-length").map_or(0, |l| l.parse().expect("a length"));
    while all.len() < head + length {
        read_more(stream, all).await?;
    }
    let request: Vec<u8> = all.drain(..head + length).collect();
    Some(String::from_utf8_lossy(&request).into_owned())
}

async fn read_more(stream: &mut TcpStream, all: &mut Vec<u8>) -> Option<()> {
    let mut part = [0; 1 << 14];
    let length = stream.read(&mut part).await.ok().filter(|l| *l > 0)?;
    all.extend_from_slice(&part[..length]);
    Some(())
}

/// The value of a header.
pub(crate) fn header(head: &str, name: &str) -> Option<String> {
    let lines = head.lines().filter_map(|l| l.split_once(": "));
    let mut found = lines.filter(|(n, _)| n.eq_ignore_ascii_case(name));
    found.next().map(|(_, v)| v.to_owned())
}

/// An entry with servers that perform the planned actions in order.
pub(crate) struct Entry {
    pub(crate) state: Rc<State>,
    pub(crate) servers: Servers,
    pub(crate) stop: StopSignal,
    addr: SocketAddr,
}

/// The configuration of a test.
pub(crate) struct Plan {
    pub(crate) kind: CallKind,
    pub(crate) attempts: u32,
    pub(crate) timeout: Duration,
    pub(crate) target: Duration,
    /// When callers leave a stream without an event.
    pub(crate) event_timeout: Option<Duration>,
    pub(crate) keys: bool,
    /// Whether full services are shared fairly between workspaces.
    pub(crate) fair_shares: bool,
    /// The route's tier.
    pub(crate) tier: u8,
    /// Whether the servers are engines, on a host of their own.
    pub(crate) engine: bool,
    /// Whether the entry's setting for backups is on.
    pub(crate) backups: bool,
    /// Whether the engines declare backups.
    pub(crate) declared: bool,
    /// Hosts on which other entries may run.
    pub(crate) seeds: Vec<SocketAddr>,
    /// The entry's clock.
    pub(crate) clock: Rc<dyn Clock>,
    /// Whether the engines declare moves.
    pub(crate) moves: bool,
    /// Whether the entry's setting `moves` is on.
    pub(crate) moves_enabled: bool,
    /// The software version of each server.
    pub(crate) versions: &'static [&'static str],
    /// Whether the store answers reads of the recorded versions.
    pub(crate) store_answers: bool,
    /// The service of each server; calls are split equally between services.
    pub(crate) services: &'static [&'static str],
    pub(crate) actions: Vec<Action>,
}

impl Plan {
    pub(crate) fn new(kind: CallKind, attempts: u32, actions: &[Action]) -> Self {
        Self {
            kind,
            attempts,
            timeout: Duration::from_secs(5),
            target: Duration::from_millis(100),
            event_timeout: None,
            keys: false,
            fair_shares: false,
            tier: 1,
            engine: false,
            backups: false,
            declared: false,
            seeds: Vec::new(),
            clock: Rc::new(SystemClock),
            moves: false,
            moves_enabled: false,
            versions: &["", ""],
            store_answers: true,
            services: &["app"; 4],
            actions: actions.to_vec(),
        }
    }
}

impl Entry {
    pub(crate) async fn start(plan: Plan) -> Self {
        let servers = Servers::default();
        let mut records = Vec::new();
        for (n, version) in plan.versions.iter().enumerate() {
            let host = if plan.engine { ENGINES } else { "127.0.0.1" };
            let record = listed(&format!("s{}", n + 1), servers.listen(host).await);
            records.push(ServerRecord {
                service: Rc::from(plan.services[n]),
                version: Rc::from(*version),
                ..record
            });
        }
        let (backups, control) = (plan.backups, servers.clone());
        let entry = Self::start_with(plan, servers, records).await;
        if backups {
            let state = Rc::clone(&entry.state);
            actix_rt::spawn(forward::moves::run(state, control, StopSignal::new()));
        }
        entry
    }

    /// Starts an entry that knows the servers of `records`.
    pub(crate) async fn start_with(
        plan: Plan,
        servers: Servers,
        records: Vec<ServerRecord>,
    ) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a listener");
        let addr = listener.local_addr().expect("an address");
        let settings = Settings {
            backups: plan.backups,
            fair_shares: plan.fair_shares,
            moves: plan.moves_enabled,
            seeds: plan.seeds.clone(),
            ..settings(addr)
        };
        let state = State::new(settings, Rc::new(TestDialect), Rc::clone(&plan.clock));
        state.copies.borrow_mut().set_entries(1);
        records::record_versions(&state, &records, plan.store_answers);
        for record in records {
            let mut balancer = state.balancer.borrow_mut();
            balancer.upsert(Instant::now(), record);
        }
        // Earlier calls, whose credit allows 20 retries.
        let service = Rc::from("app");
        for _ in 0..150 {
            state
                .repeat_budget
                .borrow_mut()
                .record_call(state.clock.now(), &service);
        }
        *state.catalog.borrow_mut() = Some(Rc::new(catalog(&plan)));
        *servers.inner.actions.borrow_mut() = plan.actions;

        let stop = StopSignal::new();
        let app = forward::http::app(Rc::clone(&state));
        actix_rt::spawn(base::http::serve(listener, app, stop.clone()));
        Self {
            state,
            servers,
            stop,
            addr,
        }
    }

    /// Moves one of the servers to an address where nothing listens. It is a
    /// fixed port, since a port that was free a moment ago may belong to
    /// another test's server.
    pub(crate) fn make_unreachable(&self) {
        let addr = "127.0.0.1:1".parse().expect("an address");
        self.state
            .balancer
            .borrow_mut()
            .upsert(Instant::now(), listed("s2", addr));
    }

    /// Lists a server as leaving.
    pub(crate) fn mark_leaving(&self, id: &str) {
        let addr = "127.0.0.1:1".parse().expect("an address");
        let leaving = ServerRecord {
            leaving: true,
            started_ms: None,
            ..listed(id, addr)
        };
        self.state
            .balancer
            .borrow_mut()
            .upsert(Instant::now(), leaving);
    }

    /// Puts the route into the lowest tier.
    pub(crate) fn use_lowest_tier(&self) {
        let mut plan = Plan::new(CallKind::Once, 1, &[]);
        plan.engine = true;
        plan.tier = 2;
        *self.state.catalog.borrow_mut() = Some(Rc::new(catalog(&plan)));
    }

    /// Takes all retries that are left and returns their number.
    pub(crate) fn take_all_retries(&self) -> usize {
        let (now, service) = (self.state.clock.now(), Rc::from("app"));
        let mut budget = self.state.repeat_budget.borrow_mut();
        (0..1000)
            .take_while(|_| budget.take_repeat(now, &service))
            .count()
    }

    pub(crate) async fn connect(&self) -> TcpStream {
        TcpStream::connect(self.addr).await.expect("a connection")
    }

    /// Sends one call on a connection of its own. Returns everything received
    /// until the entry closes the connection.
    pub(crate) async fn call(&self, headers: &str) -> String {
        let mut stream = self.connect().await;
        let request = request(headers, "Connection: close\r\n");
        stream.write_all(request.as_bytes()).await.expect("sent");
        let mut all = Vec::new();
        // A reset is reported as an error after the bytes before it.
        let _ = stream.read_to_end(&mut all).await;
        String::from_utf8_lossy(&all).into_owned()
    }
}

/// A request with a body of four bytes.
pub(crate) fn request(headers: &str, more: &str) -> String {
    format!(
        "POST {PATH} HTTP/1.1\r\nHost: h.example\r\n{headers}{more}Content-Length: 4\r\n\r\nbody"
    )
}

fn settings(addr: SocketAddr) -> Settings {
    let text = serde_json::json!({
        "name": "entry", "zone": "a", "listen": addr, "ready": addr, "ready_path": "/ready",
        "gossip": addr, "store": addr, "grace_s": 8.0, "repeat_ratio": 0.2,
        "repeat_window_s": 10.0,
    });
    serde_json::from_value(text).expect("settings")
}

pub(crate) fn listed(id: &str, addr: SocketAddr) -> ServerRecord {
    ServerRecord {
        id: Rc::from(id),
        service: Rc::from("app"),
        addr,
        zone: Rc::from("a"),
        slots: 4,
        leaving: false,
        started_ms: None,
        version: Rc::default(),
    }
}

pub(crate) fn catalog(plan: &Plan) -> Catalog {
    let services: BTreeSet<&str> = plan.services.iter().copied().collect();
    let route = Route {
        name: "r".to_owned(),
        host: "h.example".to_owned(),
        path_prefix: "/r/".to_owned(),
        kind: plan.kind,
        call_timeout: plan.timeout,
        latency_target: plan.target,
        max_gap: None,
        event_timeout: plan.event_timeout,
        tier: Tier(plan.tier),
        split: services.iter().map(|name| (Rc::from(*name), 1)).collect(),
        max_attempts: plan.attempts,
        anonymous: false,
    };
    let service = |name: &str| Service {
        name: Rc::from(name),
        max_connections: 10,
        health_path: Some(Rc::from("/health")),
        engine: plan.engine.then_some(Engine {
            slots: 4,
            memory_tokens: 100_000,
            event_tokens: 8,
            copy_time: None,
            moves: plan.moves,
            backups: plan.declared,
        }),
        scaling: None,
    };
    let workspace = |name: &str| {
        Rc::new(Workspace {
            name: name.to_owned(),
            tier: None,
        })
    };
    let keys = [("k", "w"), ("other", "calm")];
    let keys = keys.map(|(key, name)| (key.to_owned(), workspace(name)));
    let keys = HashMap::from(keys);
    let keys = plan.keys.then_some(keys);
    let services = services.into_iter().map(service).collect();
    Catalog::new(1, vec![route], services, keys, CallerLimits::default())
}

/// The status of a response.
pub(crate) fn status(answer: &str) -> &str {
    answer.split(' ').nth(1).unwrap_or("")
}
