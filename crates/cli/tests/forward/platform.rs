//! Simulated platform store and backend servers, listening on loopback.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::io::{BufRead, BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use serde_json::json;

use crate::memory::filler;

/// Limit and interval of polling a condition: 30 s in total.
const MAX_POLLS: u32 = 1500;
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Loopback address of the engines and of the sidecar beside them.
pub(crate) const ENGINE_HOST: &str = "127.0.0.2";

/// A call whose request line contains this text crashes the server.
pub(crate) const FATAL_MARKER: &str = "fatal";

/// A call with this part in its prompt, unless it is the last one, crashes the server when
/// it begins to answer.
pub(crate) const FATAL_PART: &str = "fa7a1";

/// Time for which a server prepares an answer to such a call.
const FATAL_DELAY: Duration = Duration::from_millis(20);

/// Size from which on a response of the store ends, in bytes.
const PAGE_BYTES: usize = 1 << 20;

/// Number of events in a stream.
pub(crate) const STREAM_EVENTS: u32 = 6;

/// Keyed topics of the store: key and value of each record, in append order.
type Topics = HashMap<String, Vec<(String, String)>>;

/// The records of the other topics, by topic and partition.
type Logs = HashMap<(String, usize), Vec<Vec<u8>>>;

/// Prefix of the names of keyed topics.
const KEYED_PREFIX: &str = "keyed.";

/// Waits until a condition holds.
pub(crate) fn wait_until(what: &str, mut done: impl FnMut() -> bool) {
    for _ in 0..MAX_POLLS {
        if done() {
            return;
        }
        thread::sleep(POLL_INTERVAL);
    }
    panic!("timed out waiting: {what}");
}

/// A hint that a server sends in its answers.
#[derive(Debug, Clone, Copy)]
pub(crate) enum ServerHint {
    /// The server accepts this number of requests per second.
    Limit(&'static str),
    /// The server is leaving.
    Leaving,
    /// The server refuses requests, and asks for none for this number of seconds.
    Backoff(&'static str),
}

/// The platform: its store, and records of the calls to its servers.
#[derive(Default)]
pub(crate) struct Platform {
    topics: Mutex<Topics>,
    /// The topics without keys.
    logs: Mutex<Logs>,
    /// Latest value written for each topic and key, including writes that the
    /// store has lost since.
    newest: Mutex<BTreeMap<(String, String), String>>,
    /// Whether the store answers every request with 503.
    pub(crate) down: AtomicBool,
    /// Topics of which the store refuses all requests with 429.
    refused: Mutex<Vec<&'static str>>,
    /// Number of runs of each call, by request id.
    pub(crate) runs: Mutex<BTreeMap<String, u32>>,
    /// Number of calls received by each server.
    pub(crate) received: Mutex<BTreeMap<String, u32>>,
    /// Hint that each server sends in its answers.
    hints: Mutex<BTreeMap<String, ServerHint>>,
    /// Number of servers that a fatal call has crashed.
    pub(crate) crashes: AtomicU32,
    version: AtomicU32,
    servers: AtomicU32,
    /// Number of times that the store was restored from an old backup.
    era: AtomicU32,
    /// Number of restores whose lost records are not rewritten yet.
    pending_restores: AtomicU32,
}

impl Platform {
    /// Starts a store; returns it and its address.
    pub(crate) fn start() -> (Arc<Self>, SocketAddr) {
        let platform = Arc::new(Self::default());
        let listener = TcpListener::bind("127.0.0.1:0").expect("cannot bind a listener");
        let addr = listener.local_addr().expect("socket has no address");
        let own = Arc::clone(&platform);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let own = Arc::clone(&own);
                thread::spawn(move || own.serve(stream));
            }
        });
        platform.publish_config();
        (platform, addr)
    }

    /// Publishes a new version of the configuration.
    pub(crate) fn publish_config(&self) {
        self.publish_changed_config(|_| {});
    }

    /// Publishes a new version of the configuration with a change.
    pub(crate) fn publish_changed_config(&self, change: impl FnOnce(&mut serde_json::Value)) {
        let version = self.version.fetch_add(3, Ordering::SeqCst) + 3;
        let route = |name: &str, kind: &str, service: &str, attempts: u32| {
            json!({"name": name, "hostname": "h.example", "path_prefix": format!("/{name}/"),
                "route_type": kind, "timeout_ms": 6000, "service": service,
                "max_attempts": attempts})
        };
        let mut resumable = route("resume", "streaming", "text", 2);
        resumable["resumable"] = true.into();
        let mut talk = route("talk", "streaming", "llm", 2);
        talk["resumable"] = true.into();
        let mut config = json!({"version": version,
            "services": [{"name": "app", "health_path": "/health"}, {"name": "text"},
                {"name": "llm", "health_path": "/health", "engine": {"slots": 8,
                    "kv_capacity": 100_000, "stride": 1, "kv_token_bytes": 18432,
                    "link_mbps": 280_000.0, "moves": true, "backups": true}}],
            "routes": [route("once", "unsafe", "app", 1), route("safe", "safe", "app", 2),
                route("stream", "streaming", "app", 1),
                route("engine", "streaming", "llm", 1), resumable, talk]});
        change(&mut config);
        self.write("keyed.op", "config", &config.to_string());
    }

    /// Refuses all requests for a topic from now on.
    pub(crate) fn refuse(&self, topic: &'static str) {
        self.refused.lock().expect("mutex poisoned").push(topic);
    }

    /// The version of the newest configuration.
    pub(crate) fn config_version(&self) -> u64 {
        self.version.load(Ordering::SeqCst).into()
    }

    /// Appends a record; an empty value deletes the key.
    pub(crate) fn write(&self, topic: &str, key: &str, value: &str) {
        let mut topics = self.topics.lock().expect("mutex poisoned");
        let records = topics.entry(topic.to_owned()).or_default();
        records.push((key.to_owned(), value.to_owned()));
        let mut newest = self.newest.lock().expect("mutex poisoned");
        newest.insert((topic.to_owned(), key.to_owned()), value.to_owned());
    }

    /// Number of servers that the store lists.
    pub(crate) fn listed_servers(&self) -> usize {
        let newest = self.newest.lock().expect("mutex poisoned");
        let listed = |((topic, _), value): &(&(String, String), &String)| {
            topic == "keyed.servers" && !value.is_empty()
        };
        newest.iter().filter(listed).count()
    }

    /// Restores the store from a backup that lacks the newest `count` records of
    /// each topic. After `pause`, the latest values of the lost keys are written
    /// again, as operators and servers would do.
    pub(crate) fn restore_backup(self: &Arc<Self>, count: usize, pause: Duration) {
        let mut lost = BTreeSet::new();
        let mut topics = self.topics.lock().expect("mutex poisoned");
        for (topic, records) in topics.iter_mut() {
            let tail = records.split_off(records.len().saturating_sub(count));
            if ["keyed.op", "keyed.servers"].contains(&topic.as_str()) {
                lost.extend(tail.into_iter().map(|(key, _)| (topic.clone(), key)));
            }
        }
        let mut logs = self.logs.lock().expect("mutex poisoned");
        for records in logs.values_mut() {
            records.truncate(records.len().saturating_sub(count));
        }
        drop(logs);
        self.era.fetch_add(1, Ordering::SeqCst);
        drop(topics);
        self.pending_restores.fetch_add(1, Ordering::SeqCst);
        let own = Arc::clone(self);
        thread::spawn(move || {
            thread::sleep(pause);
            for (topic, key) in lost {
                let newest = own.newest.lock().expect("mutex poisoned");
                let value = newest[&(topic.clone(), key.clone())].clone();
                drop(newest);
                own.write(&topic, &key, &value);
            }
            own.pending_restores.fetch_sub(1, Ordering::SeqCst);
        });
    }

    /// Ends all lasting faults: ends a store outage, clears the servers' hints,
    /// and waits until lost records are rewritten.
    pub(crate) fn end_faults(&self) {
        self.down.store(false, Ordering::SeqCst);
        self.hints.lock().expect("mutex poisoned").clear();
        wait_until("all lost records are rewritten", || {
            self.pending_restores.load(Ordering::SeqCst) == 0
        });
    }

    /// Starts a plain backend server and registers it.
    pub(crate) fn server(self: &Arc<Self>) -> Server {
        self.start_server("app", "127.0.0.1", "v1")
    }

    /// Starts a model engine and registers it.
    pub(crate) fn engine(self: &Arc<Self>) -> Server {
        self.start_server("llm", ENGINE_HOST, "v1")
    }

    /// Starts a server of resumable streams, with this version of its software, and
    /// registers it. Its events hold the version.
    pub(crate) fn stream_server(self: &Arc<Self>, version: &'static str) -> Server {
        self.start_server("text", "127.0.0.1", version)
    }

    pub(crate) fn start_server(
        self: &Arc<Self>,
        service: &'static str,
        host: &'static str,
        version: &'static str,
    ) -> Server {
        let listener = TcpListener::bind((host, 0)).expect("cannot bind a listener");
        let addr = listener.local_addr().expect("socket has no address");
        let number = self.servers.fetch_add(1, Ordering::SeqCst);
        let server = Server {
            platform: Arc::clone(self),
            service,
            host,
            version,
            id: format!("i-{number}"),
            addr,
            stopped: Arc::default(),
        };
        server.register("ready");
        let (own, id, stopped) = (
            Arc::clone(self),
            server.id.clone(),
            Arc::clone(&server.stopped),
        );
        thread::spawn(move || {
            let mut connections = Vec::new();
            for stream in listener.incoming().flatten() {
                if stopped.load(Ordering::SeqCst) {
                    break;
                }
                connections.extend(stream.try_clone());
                let (own, id, stopped) = (Arc::clone(&own), id.clone(), Arc::clone(&stopped));
                thread::spawn(move || own.run(&stream, &id, version, &stopped));
            }
            // When a process crashes, its listener closes no later than its connections.
            drop(listener);
            for stream in connections {
                let _ = stream.shutdown(Shutdown::Both);
            }
        });
        server
    }

    /// Serves requests to the store on one connection.
    fn serve(&self, mut stream: TcpStream) {
        let mut reader = BufReader::new(stream.try_clone().expect("cannot clone the stream"));
        while let Some((head, body)) = read(&mut reader) {
            if self.down.load(Ordering::SeqCst) {
                answer(&mut stream, "503 Down", b"");
                continue;
            }
            let line = head.lines().next().unwrap_or("").to_owned();
            let query = |key: &str| {
                let (_, after) = line.split_once(&format!("{key}="))?;
                after.split(['&', ' ']).next().map(str::to_owned)
            };
            let topic = query("topic").unwrap_or_default();
            let refused = self.refused.lock().expect("mutex poisoned");
            if refused.contains(&topic.as_str()) {
                drop(refused);
                answer(&mut stream, "429 Too Many Requests", b"");
                continue;
            }
            drop(refused);
            if !topic.starts_with(KEYED_PREFIX) {
                let number = |key: &str| query(key).and_then(|n| n.parse().ok()).unwrap_or(0);
                let era = self.era.load(Ordering::SeqCst);
                let log = (topic, number("part"));
                let (status, found) = self.serve_log(&line, log, number("from"), &body);
                answer(&mut stream, &with_era(status, era), &found);
                continue;
            }
            if line.contains("log-newest") {
                let after = query("after").map(|after| percent_decode(&after));
                let (era, page) = self.newest(&topic, after.as_deref());
                answer(&mut stream, &with_era("200 OK", era), page.as_bytes());
            } else if line.contains("log-read") {
                let from = query("from").and_then(|f| f.parse().ok()).unwrap_or(0);
                let (era, records) = self.records_from(&topic, from);
                let status = if records.is_some() {
                    "200 OK"
                } else {
                    "410 Gone"
                };
                answer(
                    &mut stream,
                    &with_era(status, era),
                    &records.unwrap_or_default(),
                );
            } else {
                let at = query("at").and_then(|at| at.parse().ok());
                let status = match self.append(&topic, at, &body) {
                    true => "200 OK",
                    false => "412 Precondition Failed",
                };
                let era = self.era.load(Ordering::SeqCst);
                answer(
                    &mut stream,
                    &with_era(status, era),
                    b"{\"offset\":0,\"end\":1}",
                );
            }
        }
    }

    /// Serves a request to a partition of a topic without keys.
    fn serve_log(
        &self,
        line: &str,
        log: (String, usize),
        from: usize,
        mut body: &[u8],
    ) -> (&'static str, Vec<u8>) {
        let mut logs = self.logs.lock().expect("mutex poisoned");
        let records = logs.entry(log).or_default();
        if line.contains("log-read") {
            let Some(found) = records.get(from..) else {
                return ("410 Gone", b"{\"first\":0}".to_vec());
            };
            let mut all = (records.len() as u64).to_be_bytes().to_vec();
            all.extend_from_slice(&[0; 8]);
            for record in found {
                let length = u32::try_from(record.len()).expect("record too long");
                all.extend_from_slice(&length.to_be_bytes());
                all.extend_from_slice(record);
            }
            return ("200 OK", all);
        }
        let first = records.len();
        while let Some((length, rest)) = body.split_first_chunk::<4>() {
            let (record, rest) = rest.split_at(u32::from_be_bytes(*length) as usize);
            records.push(record.to_vec());
            body = rest;
        }
        let end = json!({"offset": first, "end": records.len()});
        ("200 OK", end.to_string().into_bytes())
    }

    /// Appends the length-prefixed records in a request body, if the topic ends at the
    /// offset `at` or none is given; returns whether it did.
    fn append(&self, topic: &str, at: Option<usize>, mut body: &[u8]) -> bool {
        let topics = self.topics.lock().expect("mutex poisoned");
        let end = topics.get(topic).map_or(0, Vec::len);
        drop(topics);
        if at.is_some_and(|at| at != end) {
            return false;
        }
        while let Some((length, rest)) = body.split_first_chunk::<4>() {
            let (record, rest) = rest.split_at(u32::from_be_bytes(*length) as usize);
            let (key, value) = record[1..].split_at(usize::from(record[0]));
            let text = |b: &[u8]| String::from_utf8_lossy(b).into_owned();
            self.write(topic, &text(key), &text(value));
            body = rest;
        }
        true
    }

    /// A page with the latest value of the keys of a topic that follow `after`, and the era
    /// of the store.
    fn newest(&self, topic: &str, after: Option<&str>) -> (u32, String) {
        let topics = self.topics.lock().expect("mutex poisoned");
        let era = self.era.load(Ordering::SeqCst);
        let records = topics.get(topic).map_or(&[][..], Vec::as_slice);
        let newest: BTreeMap<_, _> = records.iter().map(|(k, v)| (k, v)).collect();
        let follows = |key: &str| after.is_none_or(|after| key > after);
        let mut live = newest
            .into_iter()
            .filter(|(k, v)| follows(k) && !v.is_empty())
            .peekable();
        let (mut items, mut size) = (Vec::new(), 0);
        while let Some((key, value)) = live.next_if(|_| size < PAGE_BYTES) {
            size += value.len();
            items.push(json!({"key": key, "value": STANDARD.encode(value)}));
        }
        let more = live.peek().is_some();
        let page = json!({"items": items, "more": more, "end": records.len()});
        (era, page.to_string())
    }

    /// The era of the store, and the records of a topic from an offset on;
    /// `None` if the offset is past the end.
    fn records_from(&self, topic: &str, from: usize) -> (u32, Option<Vec<u8>>) {
        // Simulates a long poll, so that clients do not poll in a busy loop.
        thread::sleep(POLL_INTERVAL);
        let topics = self.topics.lock().expect("mutex poisoned");
        let era = self.era.load(Ordering::SeqCst);
        let records = topics.get(topic).map_or(&[][..], Vec::as_slice);
        let Some(records) = records.get(from..) else {
            return (era, None);
        };
        let mut all = vec![0; 16];
        for (key, value) in records {
            if all.len() > PAGE_BYTES {
                break;
            }
            let length = u32::try_from(1 + key.len() + value.len()).expect("record too long");
            all.extend_from_slice(&length.to_be_bytes());
            all.push(u8::try_from(key.len()).expect("record too long"));
            all.extend_from_slice(key.as_bytes());
            all.extend_from_slice(value.as_bytes());
        }
        (era, Some(all))
    }

    /// Crashes a server that runs a call on the connection `stream`.
    fn crash_server(&self, stream: &TcpStream, stopped: &AtomicBool) {
        if stopped.swap(true, Ordering::SeqCst) {
            return;
        }
        self.crashes.fetch_add(1, Ordering::SeqCst);
        // Each connection made here wakes the accept loop.
        let addr = stream.local_addr().expect("socket has no address");
        wait_until("the listener is closed", || {
            TcpStream::connect(addr).is_err()
        });
    }

    /// Serves calls to a backend server on one connection.
    fn run(&self, stream: &TcpStream, own: &str, version: &str, stopped: &AtomicBool) {
        let mut out = stream.try_clone().expect("cannot clone the stream");
        let mut reader = BufReader::new(stream);
        while let Some((head, _)) = read(&mut reader) {
            let id = header(&head, "x-request-id").unwrap_or_default();
            if stopped.load(Ordering::SeqCst) {
                return;
            }
            if header(&head, "x-expect-instance").as_deref() != Some(own) {
                let other = format!("421 Other\r\nX-Instance-Id: {own}");
                answer(&mut out, &other, b"");
                continue;
            }
            let mut received = self.received.lock().expect("mutex poisoned");
            *received.entry(own.to_owned()).or_default() += 1;
            drop(received);
            let hints = self.hints.lock().expect("mutex poisoned");
            let hint = hints.get(own).copied();
            drop(hints);
            if let Some(ServerHint::Backoff(seconds)) = hint {
                let refusal = format!(
                    "503 Busy\r\nX-Request-Id: {id}\r\nX-Not-Executed: 1\r\n\
                     Retry-After: {seconds}"
                );
                answer(&mut out, &refusal, b"");
                continue;
            }
            *self
                .runs
                .lock()
                .expect("mutex poisoned")
                .entry(id.clone())
                .or_default() += 1;
            if head
                .lines()
                .next()
                .is_some_and(|l| l.contains(FATAL_MARKER))
            {
                return self.crash_server(stream, stopped);
            }
            let parts = header(&head, "x-prefix-hash").unwrap_or_default();
            let (shared, _) = parts.rsplit_once(',').unwrap_or_default();
            if shared.split(',').any(|part| part.starts_with(FATAL_PART)) {
                thread::sleep(FATAL_DELAY);
                return self.crash_server(stream, stopped);
            }
            let mut marks = format!("X-Request-Id: {id}\r\nX-Response-Seal: {own}\r\n");
            match hint {
                Some(ServerHint::Limit(limit)) => marks += &format!("Server-Limit: {limit}\r\n"),
                Some(ServerHint::Leaving) => marks += "Server-Leaving: 1\r\n",
                Some(ServerHint::Backoff(_)) | None => {}
            }
            let resumable = head.starts_with("POST /resume/");
            let streams = ["POST /stream/", "POST /engine/", "POST /resume/"];
            if !streams.iter().any(|path| head.starts_with(path)) {
                let body = format!("answer to {id}{}", filler(&head));
                thread::sleep(Duration::from_millis(3));
                let status = format!("200 OK\r\n{}", marks.trim_end());
                answer(&mut out, &status, body.as_bytes());
                continue;
            }
            let received = header(&head, "last-event-id").and_then(|n| n.parse().ok());
            let first: u32 = received.map_or(1, |number: u32| number + 1);
            let data = if resumable { version } else { &id }.to_owned() + &filler(&head);
            let pause = header(&head, "x-event-ms").and_then(|ms| ms.parse().ok());
            let head = format!("HTTP/1.1 200 OK\r\n{marks}Transfer-Encoding: chunked\r\n\r\n");
            let _ = out.write_all(head.as_bytes());
            for number in first..=STREAM_EVENTS {
                thread::sleep(Duration::from_millis(pause.unwrap_or(15)));
                if stopped.load(Ordering::SeqCst) {
                    return;
                }
                let event = format!("id: {number}\ndata: {data}\n\n");
                let chunk = format!("{:x}\r\n{event}\r\n", event.len());
                let _ = out.write_all(chunk.as_bytes());
            }
            let _ = out.write_all(b"0\r\n\r\n");
        }
    }
}

/// One incarnation of a backend server.
pub(crate) struct Server {
    platform: Arc<Platform>,
    service: &'static str,
    host: &'static str,
    version: &'static str,
    id: String,
    addr: SocketAddr,
    stopped: Arc<AtomicBool>,
}

impl Server {
    fn register(&self, state: &str) {
        let entry = json!({"service": self.service, "address": self.addr, "zone": "a", "slots": 8,
            "version": self.version, "state": state, "seq": 1});
        self.platform
            .write("keyed.servers", &self.id, &entry.to_string());
    }

    /// Announces that the server leaves; it serves for another 2.5 s and stops.
    pub(crate) fn leave(self) {
        self.set_hint(ServerHint::Leaving);
        self.register("draining");
        thread::spawn(move || {
            thread::sleep(Duration::from_millis(2500));
            self.platform.write("keyed.servers", &self.id, "");
            self.crash();
        });
    }

    /// Sets the hint that the server sends in its answers from now on.
    pub(crate) fn set_hint(&self, hint: ServerHint) {
        let mut hints = self.platform.hints.lock().expect("mutex poisoned");
        hints.insert(self.id.clone(), hint);
    }

    /// The address that the server listens on.
    pub(crate) fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Number of calls that the server has received.
    pub(crate) fn received(&self) -> u32 {
        let received = self.platform.received.lock().expect("mutex poisoned");
        received.get(&self.id).copied().unwrap_or(0)
    }

    /// Whether the server has stopped.
    pub(crate) fn is_stopped(&self) -> bool {
        self.stopped.load(Ordering::SeqCst)
    }

    /// The version of its software.
    pub(crate) fn version(&self) -> &'static str {
        self.version
    }

    /// Starts another server of the same service on the same host.
    pub(crate) fn replacement(&self) -> Self {
        self.platform
            .start_server(self.service, self.host, self.version)
    }

    /// Deletes the server's record from the store.
    pub(crate) fn deregister(&self) {
        self.platform.write("keyed.servers", &self.id, "");
    }

    /// Stops at once: open connections are closed and new ones refused.
    pub(crate) fn crash(&self) {
        self.stopped.store(true, Ordering::SeqCst);
        let _ = TcpStream::connect(self.addr);
    }

    /// Stops at once; its record is deleted from the store 2 s later.
    pub(crate) fn crash_unannounced(self) {
        self.crash();
        thread::spawn(move || {
            thread::sleep(Duration::from_secs(2));
            self.platform.write("keyed.servers", &self.id, "");
        });
    }
}

/// Reads one message with its body; `None` at the end of the connection.
pub(crate) fn read(reader: &mut impl BufRead) -> Option<(String, Vec<u8>)> {
    let mut head = String::new();
    while !head.ends_with("\r\n\r\n") {
        if reader.read_line(&mut head).ok()? == 0 {
            return None;
        }
    }
    let length = header(&head, "content-length").and_then(|l| l.parse().ok());
    let mut body = vec![0; length.unwrap_or(0)];
    reader.read_exact(&mut body).ok()?;
    Some((head, body))
}

pub(crate) fn answer(stream: &mut impl Write, status: &str, body: &[u8]) {
    let head = format!(
        "HTTP/1.1 {status}\r\nContent-Length: {}\r\n\r\n",
        body.len()
    );
    let _ = stream.write_all(&[head.as_bytes(), body].concat());
}

/// Decodes the percent-encoded value of a query.
fn percent_decode(text: &str) -> String {
    let mut bytes = Vec::new();
    let mut parts = text.split('%');
    bytes.extend_from_slice(parts.next().unwrap_or("").as_bytes());
    for part in parts {
        let (digits, rest) = part.split_at(part.len().min(2));
        bytes.extend(u8::from_str_radix(digits, 16));
        bytes.extend_from_slice(rest.as_bytes());
    }
    String::from_utf8_lossy(&bytes).into_owned()
}

/// Appends the header with the store's era to a status line.
fn with_era(status: &str, era: u32) -> String {
    format!("{status}\r\nStore-Era: {era}")
}

/// The value of a header; its name is matched without regard to case.
pub(crate) fn header(head: &str, name: &str) -> Option<String> {
    let mut lines = head.lines().filter_map(|l| l.split_once(": "));
    let found = lines.find(|(n, _)| n.eq_ignore_ascii_case(name));
    found.map(|(_, v)| v.to_owned())
}
