//! A runner is taken away a short time after its notice, while it writes streams without a
//! length.

use std::fs::{self, OpenOptions};
use std::io::{self, Write};
use std::net::SocketAddr;
use std::process::{Child, Command, Stdio};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Duration;

use crate::deployment::{self, Deployment, EntryHost};
use crate::http::{self, Connection};
use crate::process;
use crate::record::Record;
use crate::store::{Heartbeats, RunnerEntry};
use crate::unframed::{EVENTS, START_PATH};
use crate::{Outcome, Run};

const CLIENTS: usize = 200;

/// Time from the notice, with which the runner reports `draining`, until it is gone.
const GONE_AFTER: Duration = Duration::from_secs(2);

/// Time before the notice at which some answers begin to have no length.
const UNFRAMED_BEFORE: Duration = Duration::from_secs(3);

/// Half of the runners, whose answers do.
const UNFRAMED_RUNNERS: usize = 2;

/// Time from then until another runner comes.
const REPLACED_AFTER: Duration = Duration::from_secs(4);

/// Time between the starts of two clients.
const CLIENT_OFFSET: Duration = Duration::from_millis(21);

const ENTRIES: [EntryHost; 2] = [
    EntryHost {
        name: "front-heredia-a-1",
        host: "127.0.0.11",
        zone: "heredia-a",
    },
    EntryHost {
        name: "front-escazu-b-1",
        host: "127.0.0.12",
        zone: "escazu-b",
    },
];

const ENGINES: [(&str, &str, &str); 4] = [
    ("i-1", "127.0.0.21", "heredia-a"),
    ("i-2", "127.0.0.22", "escazu-b"),
    ("i-3", "127.0.0.23", "cartago-c"),
    ("i-4", "127.0.0.24", "heredia-a"),
];

/// The runner that comes for the one that is gone.
const REPLACEMENT: (&str, &str, &str) = ("i-5", "127.0.0.25", "heredia-a");

/// A runner's process, killed when this is dropped.
struct Runner(Child);

impl Drop for Runner {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

/// What a client saw of a stream.
struct Seen {
    id: String,
    events: u32,
    /// Whether the response ended as a complete one.
    complete: bool,
}

pub fn run(run: &Run) -> io::Result<Outcome> {
    let record = &run.record;
    let mut deployment = Deployment::start(&run.dir, &ENTRIES)?;
    let mut runners = Vec::new();
    let mut entries = Vec::new();
    for engine in ENGINES {
        let (runner, entry) = start_runner(run, &mut deployment, engine)?;
        runners.push(runner);
        entries.push(entry);
    }
    let addrs: Vec<SocketAddr> = entries.iter().map(|e| e.addr).collect();
    let beats = Heartbeats::start(Arc::clone(&deployment.store), entries);
    deployment.write_config(
        r#"{"name":"bid-stream","hostname":"h.example","path_prefix":"/bid/",
            "route_type":"streaming","timeout_ms":15000,"target_latency_ms":250,"priority":0,
            "service":"modelo-pool","max_attempts":1,"auth_exempt":false,"sticky":true,
            "resumable":false,"target_gap_ms":150}"#,
        r#"{"name":"modelo-pool","health_path":"/health","max_conns":360,"protocol":"h1",
            "tls":false,"engine":{"slots":64,"kv_capacity":593264,"kv_token_bytes":18432,
            "link_mbps":280000.0,"moves":true,"backups":true,"stride":4,"most":12,
            "pin_ms":4000.0,"hold_ms":2000.0,"handle_s":5.0,"models":[{"name":"m"}]}}"#,
    );
    deployment.start_entries()?;
    thread::sleep(Duration::from_secs(2));

    let ended = Arc::new(AtomicBool::new(false));
    let clients: Vec<_> = (0..CLIENTS)
        .map(|n| {
            let addr = deployment.callers[n % 2];
            let (ended, record) = (Arc::clone(&ended), Arc::clone(record));
            thread::spawn(move || {
                thread::sleep(CLIENT_OFFSET * n as u32);
                client(n, addr, &ended, &record)
            })
        })
        .collect();
    thread::sleep(Duration::from_secs(6));
    if run.trouble {
        for addr in addrs.iter().take(UNFRAMED_RUNNERS) {
            Connection::open(*addr)?.call(&format!("POST {START_PATH}"), "Host: r\r\n", b"")?;
        }
        record.line("some answers of runners i-1 and i-2 have no length from now on");
        thread::sleep(UNFRAMED_BEFORE);
        // `ONLY=notice` leaves out the loss of the runner, `ONLY=crash` the notice.
        let only = std::env::var("ONLY").unwrap_or_default();
        if only != "crash" {
            record.line("runner i-1 reports that it drains");
            beats.set_state("i-1", Some("draining"));
        }
        thread::sleep(GONE_AFTER);
        if only != "notice" {
            record.line("runner i-1 is killed");
            beats.silence("i-1");
            drop(runners.remove(0));
        }
        thread::sleep(REPLACED_AFTER);
        beats.set_state("i-1", None);
        let (runner, entry) = start_runner(run, &mut deployment, REPLACEMENT)?;
        runners.push(runner);
        beats.add(entry);
        record.line("runner i-1 is no longer listed; runner i-5 has started");
    }
    thread::sleep(Duration::from_secs(6));
    ended.store(true, Ordering::SeqCst);
    let mut broken = 0;
    let (mut whole, mut cut) = (0, 0);
    for client in clients {
        for seen in client
            .join()
            .map_err(|_| io::Error::other("a client failed"))?
        {
            match (seen.complete, seen.events) {
                (true, EVENTS) => whole += 1,
                (true, events) => {
                    record.line(&format!(
                        "broken: {} ended as complete after event {events} of {EVENTS}",
                        seen.id
                    ));
                    broken += 1;
                }
                (false, _) => cut += 1,
            }
        }
    }
    for (id, ..) in ENGINES {
        let log = fs::read_to_string(run.dir.join(format!("{id}.log")))?;
        log.lines().for_each(|line| record.line(line));
    }
    let running = deployment.all_running();
    record.line(&format!(
        "ORDER: {broken} streams ended as complete before their last event; whole {whole}; \
         visibly cut {cut}; all programs running: {running}"
    ));
    Ok(Outcome::from_breaks(broken + usize::from(!running)))
}

/// Starts a runner's process and the sidecar beside it.
fn start_runner(
    run: &Run,
    deployment: &mut Deployment,
    (id, host, zone): (&'static str, &'static str, &'static str),
) -> io::Result<(Runner, RunnerEntry)> {
    let port = process::free_ports(&[host], 1).ok_or(io::ErrorKind::AddrInUse)?;
    let addr: SocketAddr = format!("{host}:{port}").parse().map_err(io::Error::other)?;
    let log = fs::File::create(run.dir.join(format!("{id}.log")))?;
    let child = Command::new(std::env::current_exe()?)
        .args(["runner", id, &addr.to_string()])
        .stdin(Stdio::null())
        .stdout(log)
        .spawn()?;
    let pids = run.dir.join("pids");
    let mut pids = OpenOptions::new().create(true).append(true).open(pids)?;
    writeln!(pids, "{}", child.id())?;
    deployment.start_sidecar(addr)?;
    let entry = RunnerEntry {
        id: id.to_owned(),
        service: "modelo-pool",
        addr,
        zone,
        slots: 64,
        born_ms: deployment::unix_ms(),
    };
    Ok((Runner(child), entry))
}

/// Asks for streams one after the other until `ended`.
fn client(n: usize, addr: SocketAddr, ended: &AtomicBool, record: &Record) -> Vec<Seen> {
    let mut all = Vec::new();
    for number in 0.. {
        if ended.load(Ordering::SeqCst) {
            break;
        }
        let id = format!("{n:02x}{number:04x}");
        let mut seen = Seen {
            id,
            events: 0,
            complete: false,
        };
        let outcome = read_stream(addr, &mut seen);
        record.line(&format!(
            "client {n} got {} events of {}, complete: {}, {outcome:?}",
            seen.events, seen.id, seen.complete
        ));
        if outcome.is_err() {
            thread::sleep(Duration::from_millis(100));
        }
        all.push(seen);
    }
    all
}

/// Reads a whole stream on a new channel.
fn read_stream(addr: SocketAddr, seen: &mut Seen) -> io::Result<()> {
    let mut conn = Connection::open(addr)?;
    let id = &seen.id;
    let headers = format!(
        "Host: h.example\r\nX-Request-Id: {id}\r\nX-Deadline-Ms: 15000\r\nX-Api-Key: key-1\r\n\
         X-Model-Name: m\r\nX-Token-Count: 543,280\r\nX-Length-Hint: 280\r\n\
         X-Prefix-Hash: 5c1e07a2:103,{id}a:68,{id}b:372\r\n"
    );
    conn.send("POST /bid/1", &headers, b"a proposal")?;
    let head = http::read_head(&mut conn.reader)?;
    let head = head.ok_or(io::ErrorKind::UnexpectedEof)?;
    if head.status() != 200 {
        return Err(io::Error::other(head.line));
    }
    loop {
        let chunk = http::read_chunk(&mut conn.reader)?;
        if chunk.is_empty() {
            seen.complete = true;
            return Ok(());
        }
        let text = String::from_utf8_lossy(&chunk);
        seen.events += text.matches("id: ").count() as u32;
    }
}
