//! The platform's metadata store: a log with topics, as PROTOCOL.md describes it.

use std::collections::{BTreeMap, HashMap};
use std::io::{self, BufReader};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{self, Message};

/// Prefix of the topics whose records have keys.
const KEYED_PREFIX: &str = "keyed.";

/// Topics that the system may not write to.
const READ_ONLY: [&str; 2] = ["keyed.op", "keyed.servers"];

/// Time that an append takes.
const APPEND_TIME: Duration = Duration::from_millis(4);

/// One partition of a topic.
#[derive(Debug, Default)]
struct Partition {
    /// Offset of the first record that is kept.
    first: u64,
    records: Vec<Vec<u8>>,
}

impl Partition {
    fn end(&self) -> u64 {
        self.first + self.records.len() as u64
    }
}

/// The store.
#[derive(Debug, Default)]
pub struct Store {
    partitions: Mutex<HashMap<(String, u32), Partition>>,
    appended: Condvar,
}

impl Store {
    /// Starts a store; returns it and its address.
    pub fn start(ip: [u8; 4]) -> io::Result<(Arc<Self>, SocketAddr)> {
        let store = Arc::new(Self::default());
        let listener = TcpListener::bind((std::net::Ipv4Addr::from(ip), 0))?;
        let addr = listener.local_addr()?;
        let own = Arc::clone(&store);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let own = Arc::clone(&own);
                thread::spawn(move || own.serve(&stream));
            }
        });
        Ok((store, addr))
    }

    /// Writes a record of a keyed topic; without a value the key is dropped.
    pub fn put(&self, topic: &str, key: &str, value: &str) {
        let mut record = vec![key.len() as u8];
        record.extend_from_slice(key.as_bytes());
        record.extend_from_slice(value.as_bytes());
        // Without an expected offset an append cannot conflict.
        let _ = self.append(topic, 0, vec![record], None);
    }

    /// Appends records unless the partition ends elsewhere than at `at`; returns the offsets
    /// before and after.
    fn append(
        &self,
        topic: &str,
        part: u32,
        records: Vec<Vec<u8>>,
        at: Option<u64>,
    ) -> Result<(u64, u64), u64> {
        let mut partitions = self.partitions.lock().unwrap();
        let partition = partitions.entry((topic.to_owned(), part)).or_default();
        let offset = partition.end();
        if at.is_some_and(|at| at != offset) {
            return Err(offset);
        }
        partition.records.extend(records);
        let end = partition.end();
        self.appended.notify_all();
        Ok((offset, end))
    }

    fn serve(&self, stream: &TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(mut out) = stream.try_clone() else {
            return;
        };
        let mut reader = BufReader::new(stream);
        while let Ok(Some(request)) = http::read_request(&mut reader) {
            let (status, body) = self.answer(&request);
            if http::respond(&mut out, status, "", &body).is_err() {
                return;
            }
        }
    }

    fn answer(&self, request: &Message) -> (&'static str, Vec<u8>) {
        let topic = request.query("topic").unwrap_or("").to_owned();
        let number = |name: &str| request.query(name).and_then(|n| n.parse::<u64>().ok());
        let part = number("part").unwrap_or(0) as u32;
        match (request.method(), request.path()) {
            ("POST", "/api/log-append") => {
                if READ_ONLY.contains(&topic.as_str()) {
                    return ("403 Forbidden", b"{}".to_vec());
                }
                thread::sleep(APPEND_TIME);
                let records = split_records(&request.body);
                match self.append(&topic, part, records, number("at")) {
                    Ok((offset, end)) => {
                        let body = format!("{{\"offset\":{offset},\"end\":{end}}}");
                        ("200 OK", body.into_bytes())
                    }
                    Err(end) => {
                        let body = format!("{{\"end\":{end}}}");
                        ("412 Precondition Failed", body.into_bytes())
                    }
                }
            }
            ("GET", "/api/log-read") => {
                let from = number("from").unwrap_or(0);
                let wait = Duration::from_millis(number("wait_ms").unwrap_or(0));
                self.read(&topic, part, from, wait)
            }
            ("GET", "/api/log-newest") => {
                let after = request.query("after").unwrap_or("");
                ("200 OK", self.newest(&topic, part, after).into_bytes())
            }
            ("POST", "/api/log-trim") => {
                let mut partitions = self.partitions.lock().unwrap();
                let partition = partitions.entry((topic, part)).or_default();
                let before = number("before").unwrap_or(0).min(partition.end());
                let count = before.saturating_sub(partition.first) as usize;
                partition.records.drain(..count);
                partition.first += count as u64;
                ("200 OK", b"{}".to_vec())
            }
            _ => ("404 Not Found", b"{}".to_vec()),
        }
    }

    fn read(&self, topic: &str, part: u32, from: u64, wait: Duration) -> (&'static str, Vec<u8>) {
        let until = Instant::now() + wait;
        let key = (topic.to_owned(), part);
        let mut partitions = self.partitions.lock().unwrap();
        loop {
            let partition = partitions.entry(key.clone()).or_default();
            if from < partition.first {
                let body = format!("{{\"first\":{}}}", partition.first);
                return ("410 Gone", body.into_bytes());
            }
            let now = Instant::now();
            if from < partition.end() || now >= until {
                let mut body = partition.end().to_be_bytes().to_vec();
                body.extend(partition.first.to_be_bytes());
                for record in partition
                    .records
                    .iter()
                    .skip((from - partition.first) as usize)
                {
                    body.extend((record.len() as u32).to_be_bytes());
                    body.extend(record);
                }
                return ("200 OK", body);
            }
            partitions = self
                .appended
                .wait_timeout(partitions, until - now)
                .unwrap()
                .0;
        }
    }

    fn newest(&self, topic: &str, part: u32, after: &str) -> String {
        let mut partitions = self.partitions.lock().unwrap();
        let partition = partitions.entry((topic.to_owned(), part)).or_default();
        let mut newest = BTreeMap::new();
        if topic.starts_with(KEYED_PREFIX) {
            for (at, record) in partition.records.iter().enumerate() {
                let length = usize::from(record[0]);
                let key = String::from_utf8_lossy(&record[1..=length]).into_owned();
                let value = &record[1 + length..];
                match value.is_empty() {
                    true => newest.remove(&key),
                    false => newest.insert(key, (value, partition.first + at as u64)),
                };
            }
        }
        let items = newest.iter().filter(|(key, _)| key.as_str() > after);
        let items = items.map(|(key, (value, offset))| {
            let value = base64(value);
            format!("{{\"key\":\"{key}\",\"value\":\"{value}\",\"offset\":{offset}}}")
        });
        let items: Vec<String> = items.collect();
        let end = partition.end();
        format!(
            "{{\"items\":[{}],\"more\":false,\"end\":{end}}}",
            items.join(",")
        )
    }
}

/// Splits the body of an append into its records.
fn split_records(mut bytes: &[u8]) -> Vec<Vec<u8>> {
    let mut records = Vec::new();
    while let Some((length, rest)) = bytes.split_first_chunk::<4>() {
        let length = (u32::from_be_bytes(*length) as usize).min(rest.len());
        let (record, rest) = rest.split_at(length);
        records.push(record.to_vec());
        bytes = rest;
    }
    records
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for group in bytes.chunks(3) {
        let mut padded = [0; 4];
        padded[1..=group.len()].copy_from_slice(group);
        let bits = u32::from_be_bytes(padded);
        for at in 0..4 {
            let digit = DIGITS[(bits >> (18 - 6 * at)) as usize & 63];
            text.push(if at > group.len() {
                '='
            } else {
                char::from(digit)
            });
        }
    }
    text
}
