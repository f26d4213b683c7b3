//! Odd records and datagrams of other writers, beside good ones and under calls.

use std::net::{SocketAddr, UdpSocket};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle};
use std::time::Duration;

use serde_json::{Value, json};

use crate::caller::{Outcome, call};
use crate::fleet::served;
use crate::platform::{ENGINE_HOST, Platform, wait_until};
use crate::process::{Entry, sidecar};

/// Time between two odd records, so that they arrive in several reads.
const PAUSE: Duration = Duration::from_millis(60);

/// Time in which every entry reads a record and has calls for its server.
const READ_TIME: Duration = Duration::from_millis(1500);

/// Length of a long value in bytes.
const LONG_BYTES: usize = 64 << 10;

/// Most lines that an entry may log about all odd records.
const MAX_LINES: usize = 200;

/// Callers that call all kinds of services until they are stopped.
struct Callers {
    stop: Arc<AtomicBool>,
    threads: Vec<JoinHandle<usize>>,
    failed: Arc<Mutex<Vec<String>>>,
}

impl Callers {
    fn start(entries: &[SocketAddr]) -> Self {
        let (stop, failed) = (Arc::<AtomicBool>::default(), Arc::default());
        let start = |(n, path): (usize, &'static str)| {
            let (stop, failed) = (Arc::clone(&stop), Arc::clone(&failed));
            let entry = entries[n % entries.len()];
            thread::spawn(move || keep_calling(entry, path, &stop, &failed))
        };
        let paths = ["/safe/x", "/once/x", "/stream/x", "/engine/x", "/resume/x"];
        let callers = paths.iter().flat_map(|path| [*path; 2]).enumerate();
        Self {
            threads: callers.map(start).collect(),
            stop,
            failed,
        }
    }

    /// Stops the callers; returns the number of calls and those that failed.
    fn stop(self) -> (usize, Vec<String>) {
        self.stop.store(true, Ordering::SeqCst);
        let counts = self.threads.into_iter().map(|t| t.join().expect("callers"));
        let count = counts.sum();
        let failed = self.failed.lock().expect("mutex poisoned").clone();
        (count, failed)
    }
}

fn keep_calling(
    entry: SocketAddr,
    path: &str,
    stop: &AtomicBool,
    failed: &Mutex<Vec<String>>,
) -> usize {
    let mut count = 0;
    while !stop.load(Ordering::SeqCst) {
        count += 1;
        let id = format!("{}-{}-{count}", entry.ip(), path.replace('/', ""));
        let outcome = call(entry, path, &id);
        if !served(&outcome) {
            let failure = format!("{path} {id}: {outcome:?}");
            failed.lock().expect("mutex poisoned").push(failure);
        }
        thread::sleep(Duration::from_millis(10));
    }
    count
}

fn nested(depth: usize) -> String {
    "[".repeat(depth) + &"]".repeat(depth)
}

/// Values with which a record is no server's, for the fields of one.
fn invalid_fields() -> Vec<(&'static str, String)> {
    let long = |text: &str| format!("\"{}\"", text.repeat(LONG_BYTES / text.len()));
    let mut fields = vec![
        ("address", "\"127.0.0.1:70000\"".to_owned()),
        ("address", "\"127.0.0.1:0\"".to_owned()),
        ("address", "\"0.0.0.0:80\"".to_owned()),
        ("address", "\"[::]:0\"".to_owned()),
        ("zone", long("z")),
        ("version", long("\\u0001")),
        ("service", nested(20_000)),
        ("state", "\"asleep\"".to_owned()),
        ("x", "[".repeat(20_000)),
    ];
    let numbers = [
        "-1",
        "0.5",
        "1e400",
        "18446744073709551615",
        "99999999999999999999",
        "\"7\"",
    ];
    for number in numbers {
        fields.push(("slots", number.to_owned()));
        fields.push(("born", number.to_owned()));
    }
    fields.push(("born", nested(2000)));
    fields
}

/// Values that a server might have, for the fields of its record; `address` is the address
/// of another server.
fn false_fields(address: &str) -> [(&'static str, String); 9] {
    [
        ("slots", "0".to_owned()),
        ("slots", "4294967295".to_owned()),
        ("born", "0".to_owned()),
        ("born", "253402300799999".to_owned()),
        ("zone", "\"\\u0000\\n\"".to_owned()),
        ("service", "\"nowhere\"".to_owned()),
        ("x", nested(20_000)),
        ("address", address.to_owned()),
        ("address", "\"[::1]:1\"".to_owned()),
    ]
}

/// A server's record with one field replaced. Nothing listens on its address.
fn odd_server(service: &str, field: &str, value: &str) -> String {
    let mut server = json!({"service": service, "address": "127.0.0.1:1", "zone": "a",
        "slots": 8, "version": "v1", "state": "ready", "seq": 1});
    server[field] = Value::from("ODD");
    server.to_string().replace("\"ODD\"", value)
}

/// Keys that are no name of a server.
fn odd_keys() -> Vec<String> {
    let keys = [
        "",
        " ",
        "a&after=i-9",
        "a#b",
        "a%41",
        "a+b",
        "\u{e4}\u{10ffff}",
        "a\nb",
        "a\u{0}b",
        "\"",
        "i-0 ",
        "../op/config",
    ];
    let mut keys: Vec<String> = keys.iter().map(|key| (*key).to_owned()).collect();
    keys.push("\u{1}".repeat(255));
    keys
}

/// Guards against entries and sidecars that end, that stop following a table or that fail
/// calls, because another writer left odd records in the store.
#[test]
fn odd_records_harm_nothing_else() {
    let (platform, store) = Platform::start();
    let _servers = [
        platform.server(),
        platform.server(),
        platform.stream_server("v1"),
        platform.stream_server("v1"),
    ];
    let engine = platform.engine();
    let (mut admission, port) = sidecar("odd-records-sidecar");
    let start = |name: &str| Entry::start(name, store, Some(port));
    let mut entries = vec![start("odd-records-1"), start("odd-records-2")];
    for entry in &entries {
        wait_until("ready", || entry.ready() && entry.status("servers") == 5);
    }
    let callers = Callers::start(&[entries[0].addr(), entries[1].addr()]);

    thread::sleep(READ_TIME);
    let services = ["app", "llm", "text"];
    for (n, (field, value)) in invalid_fields().iter().enumerate() {
        for service in services {
            let server = odd_server(service, field, value);
            platform.write("keyed.servers", &format!("odd-{service}-{n}"), &server);
        }
        thread::sleep(PAUSE);
    }
    let address = format!("\"{}\"", engine.addr());
    for (field, value) in &false_fields(&address) {
        let write = |service: &str, value: &str| {
            platform.write("keyed.servers", &format!("false-{service}"), value);
        };
        for service in services {
            write(service, &odd_server(service, field, value));
        }
        thread::sleep(READ_TIME);
        for service in services {
            write(service, "");
        }
    }
    let nested_value = format!("{{\"version\":{}}}", nested(20_000));
    for (n, key) in odd_keys().iter().enumerate() {
        platform.write("keyed.servers", key, "{\"service\":1e400}");
        for topic in ["keyed.entries", "keyed.crashes", "keyed.op"] {
            platform.write(topic, key, &nested_value);
            platform.write(topic, &format!("odd-{n}"), &"1".repeat(LONG_BYTES / 8));
        }
        thread::sleep(PAUSE);
    }
    platform.write("keyed.crashes", "sound-ffff", "18446744073709551615 0 ,");
    platform.write("keyed.entries", "odd-addr", "0.0.0.0:0");
    for config in ["{", "[]", &nested_value, "{\"version\":1e400}"] {
        platform.write("keyed.op", "config", config);
        thread::sleep(PAUSE);
    }

    // Later records are followed, by entries that run and by one that starts now.
    platform.publish_config();
    let version = platform.config_version();
    entries.push(start("odd-records-3"));
    for entry in &entries {
        wait_until("the new configuration is in force", || {
            entry.status("catalog") == version
        });
    }
    let added = platform.server();
    let last = entries.last().expect("an entry").addr();
    wait_until("a new server is called", || {
        call(last, "/safe/x", "new");
        added.received() > 0
    });
    let (count, failed) = callers.stop();
    assert!(
        failed.is_empty(),
        "{} of {count}: {failed:#?}",
        failed.len()
    );
    assert!(count > 100, "{count} calls");
    for entry in &mut entries {
        assert!(entry.running() && entry.ready());
        let lines = entry.log_lines("invalid record");
        assert!((1..MAX_LINES).contains(&lines), "{lines} lines");
    }
    assert!(admission.running());
}

/// Guards against daemons that end or log without bound because of datagrams that no peer
/// sends.
#[test]
fn odd_datagrams_harm_nothing_else() {
    let (platform, store) = Platform::start();
    let _servers = [platform.server(), platform.engine()];
    let (mut admission, port) = sidecar("odd-datagrams-sidecar");
    let mut entry = Entry::start("odd-datagrams", store, Some(port));
    wait_until("ready", || entry.ready() && entry.status("servers") == 2);
    let socket = UdpSocket::bind("127.0.0.1:0").expect("cannot bind a port");
    let mut number: u32 = 1;
    let mut random = || {
        number = number.wrapping_mul(1_664_525).wrapping_add(1_013_904_223);
        (number >> 24) as u8
    };
    for n in 0..4000_usize {
        let mut bytes: Vec<u8> = (0..n % 700).map(|_| random()).collect();
        // The versions of the formats.
        let version = [8, 4, 9, 0][n % 4];
        bytes.insert(0, version);
        let sidecar = ENGINE_HOST.parse().expect("an address");
        let hosts = [(entry.addr().ip(), port), (sidecar, port)];
        for target in hosts
            .map(SocketAddr::from)
            .into_iter()
            .chain([entry.gossip()])
        {
            let _ = socket.send_to(&bytes, target);
        }
    }
    for path in ["/safe/x", "/engine/x"] {
        let outcome = call(entry.addr(), path, "after");
        assert!(matches!(outcome, Outcome::Complete(200, _)), "{outcome:?}");
    }
    assert!(entry.running() && entry.ready() && admission.running());
    for (process, name) in [(&*entry, "entry"), (&admission, "sidecar")] {
        let lines = process.log_lines("level=warn");
        assert!(lines < MAX_LINES, "{name}: {lines} lines");
    }
}
