//! A stand-in for the platform's metadata store: keyed topics in one partition.

use std::collections::BTreeMap;
use std::io::{self, BufReader};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{self, Message};

/// Interval of the runners' liveness reports.
const HEARTBEAT: Duration = Duration::from_millis(1200);

struct Entry {
    key: String,
    value: Vec<u8>,
    at: Instant,
}

#[derive(Default)]
struct State {
    topics: BTreeMap<String, Vec<Entry>>,
    /// How often the store was restored from a copy.
    era: u64,
    away: bool,
}

#[derive(Default)]
pub struct Store {
    state: Mutex<State>,
    changed: Condvar,
}

impl Store {
    /// Starts a store on `host`; returns it and its address.
    pub fn start(host: &str) -> io::Result<(Arc<Self>, SocketAddr)> {
        let listener = TcpListener::bind((host, 0))?;
        let addr = listener.local_addr()?;
        let store = Arc::new(Self::default());
        let own = Arc::clone(&store);
        http::listen(listener, move |stream| {
            // An error only ends this connection.
            let _ = own.serve(stream);
        });
        Ok((store, addr))
    }

    /// Appends a record; one without a value deletes its key.
    pub fn write(&self, topic: &str, key: &str, value: &str) {
        let mut state = self.state.lock().expect("the store is poisoned");
        state.append(topic, key.to_owned(), value.as_bytes().to_vec());
        drop(state);
        self.changed.notify_all();
    }

    /// Answers all calls with 503 from now on, or no longer.
    pub fn set_away(&self, away: bool) {
        self.state.lock().expect("the store is poisoned").away = away;
        self.changed.notify_all();
    }

    fn is_away(&self) -> bool {
        self.state.lock().expect("the store is poisoned").away
    }

    /// Replaces the store by a copy made at `copied_at`. Records of operators and runners
    /// that the copy lacks are written again; those of the system are gone.
    pub fn restore(&self, copied_at: Instant) {
        let mut state = self.state.lock().expect("the store is poisoned");
        state.era += 1;
        let mut again = Vec::new();
        for (topic, records) in &mut state.topics {
            let kept = records.iter().take_while(|r| r.at <= copied_at).count();
            let lost = records.split_off(kept);
            if ["keyed.op", "keyed.servers"].contains(&topic.as_str()) {
                again.extend(lost.into_iter().map(|r| (topic.clone(), r)));
            }
        }
        for (topic, record) in again {
            state.append(&topic, record.key, record.value);
        }
        drop(state);
        self.changed.notify_all();
    }

    fn serve(&self, mut stream: TcpStream) -> io::Result<()> {
        let mut reader = BufReader::new(stream.try_clone()?);
        while let Some(request) = http::read(&mut reader)? {
            let (status, era, body) = self.answer(&request);
            let headers = format!("Store-Era: {era}\r\n");
            http::respond(&mut stream, status, &headers, &body)?;
        }
        Ok(())
    }

    fn answer(&self, request: &Message) -> (&'static str, u64, Vec<u8>) {
        let topic = request.query("topic").unwrap_or("").to_owned();
        let number = |name: &str| request.query(name).and_then(|n| n.parse::<u64>().ok());
        let mut state = self.state.lock().expect("the store is poisoned");
        if state.away {
            return ("503 Away", state.era, Vec::new());
        }
        match request.path() {
            "/api/log-newest" => ("200 OK", state.era, state.newest_page(&topic).into_bytes()),
            "/api/log-append" => {
                let end = state.end(&topic);
                if number("at").is_some_and(|at| at != end as u64) {
                    let body = format!("{{\"end\":{end}}}");
                    return ("412 Not there", state.era, body.into_bytes());
                }
                for (key, value) in split_records(&request.body) {
                    state.append(&topic, key, value);
                }
                let body = format!("{{\"offset\":{end},\"end\":{}}}", state.end(&topic));
                let era = state.era;
                drop(state);
                self.changed.notify_all();
                ("200 OK", era, body.into_bytes())
            }
            "/api/log-read" => {
                let from = number("from").unwrap_or(0) as usize;
                let wait = Duration::from_millis(number("wait_ms").unwrap_or(0));
                let (era, until) = (state.era, Instant::now() + wait);
                loop {
                    let left = until.saturating_duration_since(Instant::now());
                    let end = state.end(&topic);
                    if state.away {
                        return ("503 Away", state.era, Vec::new());
                    }
                    if state.era != era || from > end {
                        return ("410 Gone", state.era, b"{\"first\":0}".to_vec());
                    }
                    if from < end || left.is_zero() {
                        return ("200 OK", state.era, state.records_from(&topic, from));
                    }
                    let waited = self.changed.wait_timeout(state, left);
                    state = waited.expect("the store is poisoned").0;
                }
            }
            _ => ("404 Not Found", state.era, Vec::new()),
        }
    }
}

impl State {
    fn end(&self, topic: &str) -> usize {
        self.topics.get(topic).map_or(0, Vec::len)
    }

    fn append(&mut self, topic: &str, key: String, value: Vec<u8>) {
        let records = self.topics.entry(topic.to_owned()).or_default();
        let at = Instant::now();
        records.push(Entry { key, value, at });
    }

    fn newest_page(&self, topic: &str) -> String {
        let records = self.topics.get(topic).map_or(&[][..], Vec::as_slice);
        let numbered = records.iter().enumerate();
        let newest: BTreeMap<&str, (usize, &Entry)> =
            numbered.map(|(n, r)| (r.key.as_str(), (n, r))).collect();
        let live = newest.values().filter(|(_, r)| !r.value.is_empty());
        let item = |(n, r): &(usize, &Entry)| {
            let (key, value) = (&r.key, base64(&r.value));
            format!("{{\"key\":\"{key}\",\"value\":\"{value}\",\"offset\":{n}}}")
        };
        let items: Vec<String> = live.map(item).collect();
        let (items, end) = (items.join(","), records.len());
        format!("{{\"items\":[{items}],\"more\":false,\"end\":{end}}}")
    }

    fn records_from(&self, topic: &str, from: usize) -> Vec<u8> {
        let records = self.topics.get(topic).map_or(&[][..], Vec::as_slice);
        let mut bytes = (records.len() as u64).to_be_bytes().to_vec();
        bytes.extend(0u64.to_be_bytes());
        for Entry { key, value, .. } in &records[from.min(records.len())..] {
            let length = (1 + key.len() + value.len()) as u32;
            bytes.extend(length.to_be_bytes());
            bytes.push(key.len() as u8);
            bytes.extend(key.as_bytes());
            bytes.extend(value);
        }
        bytes
    }
}

/// Splits the body of an append to a keyed topic.
fn split_records(mut body: &[u8]) -> Vec<(String, Vec<u8>)> {
    let mut records = Vec::new();
    while let Some((length, rest)) = body.split_first_chunk::<4>() {
        let length = u32::from_be_bytes(*length) as usize;
        if length == 0 || length > rest.len() {
            break;
        }
        let (record, rest) = rest.split_at(length);
        let (key, value) = record[1..].split_at(usize::from(record[0]).min(length - 1));
        let key = String::from_utf8_lossy(key).into_owned();
        records.push((key, value.to_vec()));
        body = rest;
    }
    records
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let byte = |n: usize| u32::from(*chunk.get(n).unwrap_or(&0));
        let bits = byte(0) << 16 | byte(1) << 8 | byte(2);
        for n in 0..4 {
            let digit = DIGITS[(bits >> (18 - 6 * n)) as usize & 63];
            text.push(if n <= chunk.len() {
                char::from(digit)
            } else {
                '='
            });
        }
    }
    text
}

/// A runner's entry in the store.
#[derive(Debug, Clone)]
pub struct RunnerEntry {
    pub id: String,
    pub service: &'static str,
    pub addr: SocketAddr,
    pub zone: &'static str,
    pub slots: u32,
    pub born_ms: u64,
}

impl RunnerEntry {
    fn value(&self, state: &str, seq: u64) -> String {
        let Self {
            service,
            addr,
            zone,
            slots,
            born_ms,
            ..
        } = self;
        format!(
            "{{\"service\":\"{service}\",\"address\":\"{addr}\",\"zone\":\"{zone}\",\
             \"version\":\"v1\",\"slots\":{slots},\"state\":\"{state}\",\
             \"cold_remaining_ms\":0,\"born\":{born_ms},\"seq\":{seq}}}"
        )
    }
}

/// Writes the liveness reports of runners, with the state that each has now.
pub struct Heartbeats {
    store: Arc<Store>,
    /// Each with its state, or none once it has left.
    runners: Mutex<Vec<(RunnerEntry, Option<&'static str>, u64)>>,
}

impl Heartbeats {
    pub fn start(store: Arc<Store>, runners: Vec<RunnerEntry>) -> Arc<Self> {
        let runners = runners.into_iter().map(|r| (r, Some("ready"), 0));
        let beats = Arc::new(Self {
            store,
            runners: Mutex::new(runners.collect()),
        });
        let own = Arc::clone(&beats);
        thread::spawn(move || {
            loop {
                own.write_all();
                thread::sleep(HEARTBEAT);
            }
        });
        beats
    }

    /// Ends the reports of a runner; its entry stays for now.
    pub fn silence(&self, id: &str) {
        let mut runners = self.runners.lock().expect("the runners are poisoned");
        for (_, state, _) in runners.iter_mut().filter(|(r, ..)| r.id == id) {
            *state = None;
        }
    }

    fn write_all(&self) {
        if self.store.is_away() {
            return;
        }
        let mut runners = self.runners.lock().expect("the runners are poisoned");
        for (runner, state, seq) in runners.iter_mut() {
            if let Some(state) = state {
                *seq += 1;
                let value = runner.value(state, *seq);
                self.store.write("keyed.servers", &runner.id, &value);
            }
        }
    }

    /// Adds a runner that has started; it reports itself within an interval.
    pub fn add(&self, runner: RunnerEntry) {
        let mut runners = self.runners.lock().expect("the runners are poisoned");
        runners.push((runner, Some("ready"), 0));
    }

    /// Reports another state of a runner at once; without one its entry is removed.
    pub fn set_state(&self, id: &str, new: Option<&'static str>) {
        let mut runners = self.runners.lock().expect("the runners are poisoned");
        for (runner, state, seq) in runners.iter_mut().filter(|(r, ..)| r.id == id) {
            *state = new;
            *seq += 1;
            let value = new.map(|new| runner.value(new, *seq));
            let value = value.unwrap_or_default();
            self.store.write("keyed.servers", id, &value);
        }
    }
}
