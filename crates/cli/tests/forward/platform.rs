//! Stand-ins for the platform's store and for backend servers. Everything
//! listens on loopback.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use serde_json::json;

/// How often a condition is looked at, and the pause between.
const TRIES: u32 = 1500;
const PAUSE: Duration = Duration::from_millis(20);

/// The host of the engines and of the sidecar beside them.
pub(crate) const ENGINES: &str = "127.0.0.2";

/// A path that holds this ends each server that begins a call to it.
pub(crate) const FATAL: &str = "fatal";

/// Events of a stream.
pub(crate) const EVENTS: u32 = 6;

/// The store's keyed topics: records by topic, in order.
type Topics = HashMap<String, Vec<(String, String)>>;

/// Waits until a condition holds.
pub(crate) fn until(what: &str, mut done: impl FnMut() -> bool) {
    for _ in 0..TRIES {
        if done() {
            return;
        }
        thread::sleep(PAUSE);
    }
    panic!("never: {what}");
}

/// What a server says of itself in its answers.
#[derive(Debug, Clone, Copy)]
pub(crate) enum Word {
    /// It takes so many requests a second.
    Limit(&'static str),
    /// It leaves.
    Leaving,
    /// It turns requests away, and wants none for so many seconds.
    Rest(&'static str),
}

/// The platform: its store, and what its servers saw.
#[derive(Default)]
pub(crate) struct Platform {
    topics: Mutex<Topics>,
    /// What was written last under each key of each topic, whatever the store
    /// has lost since.
    newest: Mutex<BTreeMap<(String, String), String>>,
    /// Whether the store refuses all calls.
    pub(crate) down: AtomicBool,
    /// How often each call ran, by its identity.
    pub(crate) runs: Mutex<BTreeMap<String, u32>>,
    /// Calls that came to each server.
    pub(crate) arrived: Mutex<BTreeMap<String, u32>>,
    /// What servers say of themselves in their answers.
    words: Mutex<BTreeMap<String, Word>>,
    /// How many servers have ended under a fatal call.
    pub(crate) ended: AtomicU32,
    version: AtomicU32,
    servers: AtomicU32,
    /// How often the store has come back from an old copy.
    era: AtomicU32,
    /// How many of these times what was lost is not written again yet.
    rewinding: AtomicU32,
}

impl Platform {
    /// Starts a store; returns it and its address.
    pub(crate) fn start() -> (Arc<Self>, SocketAddr) {
        let platform = Arc::new(Self::default());
        let listener = TcpListener::bind("127.0.0.1:0").expect("a listener");
        let addr = listener.local_addr().expect("an address");
        let own = Arc::clone(&platform);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let own = Arc::clone(&own);
                thread::spawn(move || own.serve(stream));
            }
        });
        platform.declare();
        (platform, addr)
    }

    /// Writes a new version of the configuration.
    pub(crate) fn declare(&self) {
        let version = self.version.fetch_add(3, Ordering::SeqCst) + 3;
        let route = |name: &str, kind: &str, service: &str, attempts: u32| {
            json!({"name": name, "hostname": "h.example", "path_prefix": format!("/{name}/"),
                "route_type": kind, "timeout_ms": 6000, "service": service,
                "max_attempts": attempts})
        };
        let config = json!({"version": version, "services": [{"name": "app"},
            {"name": "llm", "engine": {"slots": 8, "kv_capacity": 100_000, "stride": 1}}],
            "routes": [route("once", "unsafe", "app", 1), route("safe", "safe", "app", 2),
                route("stream", "streaming", "app", 1),
                route("engine", "streaming", "llm", 1)]});
        self.write("keyed.op", "config", &config.to_string());
    }

    /// Writes a record; an empty value drops the key.
    fn write(&self, topic: &str, key: &str, value: &str) {
        let mut topics = self.topics.lock().expect("not poisoned");
        let records = topics.entry(topic.to_owned()).or_default();
        records.push((key.to_owned(), value.to_owned()));
        let mut newest = self.newest.lock().expect("not poisoned");
        newest.insert((topic.to_owned(), key.to_owned()), value.to_owned());
    }

    /// Has the store come back from a copy that lacks the newest `count` records
    /// of each topic. The operators and the servers write what holds for the keys
    /// that are lost again after `pause`.
    pub(crate) fn rewind(self: &Arc<Self>, count: usize, pause: Duration) {
        let mut lost = BTreeSet::new();
        let mut topics = self.topics.lock().expect("not poisoned");
        for (topic, records) in topics.iter_mut() {
            let tail = records.split_off(records.len().saturating_sub(count));
            if ["keyed.op", "keyed.servers"].contains(&topic.as_str()) {
                lost.extend(tail.into_iter().map(|(key, _)| (topic.clone(), key)));
            }
        }
        self.era.fetch_add(1, Ordering::SeqCst);
        drop(topics);
        self.rewinding.fetch_add(1, Ordering::SeqCst);
        let own = Arc::clone(self);
        thread::spawn(move || {
            thread::sleep(pause);
            for (topic, key) in lost {
                let newest = own.newest.lock().expect("not poisoned");
                let value = newest[&(topic.clone(), key.clone())].clone();
                drop(newest);
                own.write(&topic, &key, &value);
            }
            own.rewinding.fetch_sub(1, Ordering::SeqCst);
        });
    }

    /// Ends what was brought about and lasts: an outage, what servers say, and a store that
    /// lacks what is written again.
    pub(crate) fn recover(&self) {
        self.down.store(false, Ordering::SeqCst);
        self.words.lock().expect("not poisoned").clear();
        until("all is written again", || {
            self.rewinding.load(Ordering::SeqCst) == 0
        });
    }

    /// Starts a plain backend server and lists it.
    pub(crate) fn server(self: &Arc<Self>) -> Server {
        self.start_server("app", "127.0.0.1")
    }

    /// Starts a model engine and lists it.
    pub(crate) fn engine(self: &Arc<Self>) -> Server {
        self.start_server("llm", ENGINES)
    }

    fn start_server(self: &Arc<Self>, service: &'static str, host: &'static str) -> Server {
        let listener = TcpListener::bind((host, 0)).expect("a listener");
        let addr = listener.local_addr().expect("an address");
        let number = self.servers.fetch_add(1, Ordering::SeqCst);
        let server = Server {
            platform: Arc::clone(self),
            service,
            host,
            id: format!("i-{number}"),
            addr,
            gone: Arc::default(),
        };
        server.list("ready");
        let (own, id, gone) = (
            Arc::clone(self),
            server.id.clone(),
            Arc::clone(&server.gone),
        );
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if gone.load(Ordering::SeqCst) {
                    return;
                }
                let (own, id, gone) = (Arc::clone(&own), id.clone(), Arc::clone(&gone));
                thread::spawn(move || own.run(&stream, &id, &gone));
            }
        });
        server
    }

    /// Answers the store's calls on one connection.
    fn serve(&self, mut stream: TcpStream) {
        let mut reader = BufReader::new(stream.try_clone().expect("a clone"));
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
            if line.contains("log-newest") {
                let (era, page) = self.newest(&topic);
                answer(&mut stream, &in_era("200 OK", era), page.as_bytes());
            } else if line.contains("log-read") {
                let from = query("from").and_then(|f| f.parse().ok()).unwrap_or(0);
                let (era, records) = self.after(&topic, from);
                let status = if records.is_some() {
                    "200 OK"
                } else {
                    "410 Gone"
                };
                answer(
                    &mut stream,
                    &in_era(status, era),
                    &records.unwrap_or_default(),
                );
            } else {
                self.append(&topic, &body);
                let era = self.era.load(Ordering::SeqCst);
                answer(
                    &mut stream,
                    &in_era("200 OK", era),
                    b"{\"offset\":0,\"end\":1}",
                );
            }
        }
    }

    /// Takes the records of one call.
    fn append(&self, topic: &str, mut body: &[u8]) {
        while let Some((length, rest)) = body.split_first_chunk::<4>() {
            let (record, rest) = rest.split_at(u32::from_be_bytes(*length) as usize);
            let (key, value) = record[1..].split_at(usize::from(record[0]));
            let text = |b: &[u8]| String::from_utf8_lossy(b).into_owned();
            self.write(topic, &text(key), &text(value));
            body = rest;
        }
    }

    /// The newest records of a topic, and the era that they are of.
    fn newest(&self, topic: &str) -> (u32, String) {
        let topics = self.topics.lock().expect("not poisoned");
        let era = self.era.load(Ordering::SeqCst);
        let records = topics.get(topic).map_or(&[][..], Vec::as_slice);
        let newest: BTreeMap<_, _> = records.iter().map(|(k, v)| (k, v)).collect();
        let live = newest.into_iter().filter(|(_, v)| !v.is_empty());
        let item = |(k, v): (&String, &String)| json!({"key": k, "value": STANDARD.encode(v)});
        let items: Vec<_> = live.map(item).collect();
        let page = json!({"items": items, "more": false, "end": records.len()});
        (era, page.to_string())
    }

    /// The records of a topic from an offset on, if there is such an offset, and
    /// the era that they are of.
    fn after(&self, topic: &str, from: usize) -> (u32, Option<Vec<u8>>) {
        // Stands for the long poll, so that nobody asks in a loop.
        thread::sleep(PAUSE);
        let topics = self.topics.lock().expect("not poisoned");
        let era = self.era.load(Ordering::SeqCst);
        let records = topics.get(topic).map_or(&[][..], Vec::as_slice);
        let Some(records) = records.get(from..) else {
            return (era, None);
        };
        let mut all = vec![0; 16];
        for (key, value) in records {
            let length = u32::try_from(1 + key.len() + value.len()).expect("short");
            all.extend_from_slice(&length.to_be_bytes());
            all.push(u8::try_from(key.len()).expect("short"));
            all.extend_from_slice(key.as_bytes());
            all.extend_from_slice(value.as_bytes());
        }
        (era, Some(all))
    }

    /// Runs the calls that come to a backend server on one connection.
    fn run(&self, stream: &TcpStream, own: &str, gone: &AtomicBool) {
        let mut out = stream.try_clone().expect("a clone");
        let mut reader = BufReader::new(stream);
        while let Some((head, _)) = read(&mut reader) {
            let id = header(&head, "x-request-id").unwrap_or_default();
            if gone.load(Ordering::SeqCst) {
                return;
            }
            if header(&head, "x-expect-instance").as_deref() != Some(own) {
                answer(&mut out, "421 Other", b"");
                continue;
            }
            let mut arrived = self.arrived.lock().expect("not poisoned");
            *arrived.entry(own.to_owned()).or_default() += 1;
            drop(arrived);
            let words = self.words.lock().expect("not poisoned");
            let word = words.get(own).copied();
            drop(words);
            if let Some(Word::Rest(seconds)) = word {
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
                .expect("not poisoned")
                .entry(id.clone())
                .or_default() += 1;
            if head.lines().next().is_some_and(|l| l.contains(FATAL)) {
                self.ended.fetch_add(1, Ordering::SeqCst);
                gone.store(true, Ordering::SeqCst);
                // A process that ends closes its listener no later than its
                // connections. Each connection made here wakes it.
                let addr = stream.local_addr().expect("an address");
                until("the listener is closed", || {
                    TcpStream::connect(addr).is_err()
                });
                return;
            }
            let mut marks = format!("X-Request-Id: {id}\r\nX-Response-Seal: {own}\r\n");
            match word {
                Some(Word::Limit(limit)) => marks += &format!("Server-Limit: {limit}\r\n"),
                Some(Word::Leaving) => marks += "Server-Leaving: 1\r\n",
                Some(Word::Rest(_)) | None => {}
            }
            if !head.starts_with("POST /stream/") && !head.starts_with("POST /engine/") {
                let body = format!("answer to {id}");
                let head = format!(
                    "HTTP/1.1 200 OK\r\n{marks}Content-Length: {}\r\n\r\n",
                    body.len()
                );
                thread::sleep(Duration::from_millis(3));
                let _ = out.write_all((head + &body).as_bytes());
                continue;
            }
            let head = format!("HTTP/1.1 200 OK\r\n{marks}Transfer-Encoding: chunked\r\n\r\n");
            let _ = out.write_all(head.as_bytes());
            for number in 1..=EVENTS {
                thread::sleep(Duration::from_millis(15));
                if gone.load(Ordering::SeqCst) {
                    return;
                }
                let event = format!("id: {number}\ndata: {id}\n\n");
                let chunk = format!("{:x}\r\n{event}\r\n", event.len());
                let _ = out.write_all(chunk.as_bytes());
            }
            let _ = out.write_all(b"0\r\n\r\n");
        }
    }
}

/// One life of a backend server.
pub(crate) struct Server {
    platform: Arc<Platform>,
    service: &'static str,
    host: &'static str,
    id: String,
    addr: SocketAddr,
    gone: Arc<AtomicBool>,
}

impl Server {
    fn list(&self, state: &str) {
        let entry = json!({"service": self.service, "address": self.addr, "zone": "a", "slots": 8,
            "state": state, "seq": 1});
        self.platform
            .write("keyed.servers", &self.id, &entry.to_string());
    }

    /// Announces that it leaves, goes on serving for a while, and ends.
    pub(crate) fn leave(self) {
        self.say(Word::Leaving);
        self.list("draining");
        thread::spawn(move || {
            thread::sleep(Duration::from_millis(2500));
            self.platform.write("keyed.servers", &self.id, "");
            self.crash();
        });
    }

    /// Has it say this in its answers from now on.
    pub(crate) fn say(&self, word: Word) {
        let mut words = self.platform.words.lock().expect("not poisoned");
        words.insert(self.id.clone(), word);
    }

    /// Calls that have come to it.
    pub(crate) fn arrived(&self) -> u32 {
        let arrived = self.platform.arrived.lock().expect("not poisoned");
        arrived.get(&self.id).copied().unwrap_or(0)
    }

    /// Whether it has ended.
    pub(crate) fn ended(&self) -> bool {
        self.gone.load(Ordering::SeqCst)
    }

    /// Starts another server of the same service.
    pub(crate) fn next(&self) -> Self {
        self.platform.start_server(self.service, self.host)
    }

    /// Takes it off the platform's list.
    pub(crate) fn delist(&self) {
        self.platform.write("keyed.servers", &self.id, "");
    }

    /// Ends at once: connections in use are closed, new ones refused.
    pub(crate) fn crash(&self) {
        self.gone.store(true, Ordering::SeqCst);
        let _ = TcpStream::connect(self.addr);
    }

    /// Ends at once; the platform notices seconds later.
    pub(crate) fn die(self) {
        self.crash();
        thread::spawn(move || {
            thread::sleep(Duration::from_secs(2));
            self.platform.write("keyed.servers", &self.id, "");
        });
    }
}

/// Reads one message with its body; none at the end of the connection.
fn read(reader: &mut impl BufRead) -> Option<(String, Vec<u8>)> {
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

fn answer(stream: &mut TcpStream, status: &str, body: &[u8]) {
    let head = format!(
        "HTTP/1.1 {status}\r\nContent-Length: {}\r\n\r\n",
        body.len()
    );
    let _ = stream.write_all(&[head.as_bytes(), body].concat());
}

/// A status with the header that names an era.
fn in_era(status: &str, era: u32) -> String {
    format!("{status}\r\nStore-Era: {era}")
}

/// The value of a header.
pub(crate) fn header(head: &str, name: &str) -> Option<String> {
    let mut lines = head.lines().filter_map(|l| l.split_once(": "));
    let found = lines.find(|(n, _)| n.eq_ignore_ascii_case(name));
    found.map(|(_, v)| v.to_owned())
}
