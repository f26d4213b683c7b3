//! A faulty runner sends additional bytes after some of its answers. They arrive late, at
//! the point where the answer to the next request on that channel is expected.

use std::collections::BTreeMap;
use std::io::{self, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex, OnceLock};
use std::thread;
use std::time::{Duration, Instant};

use crate::deployment::{self, Deployment, EntryHost};
use crate::http::{self, Connection, Message};
use crate::record::Record;
use crate::store::{Heartbeats, RunnerEntry};
use crate::{Outcome, Run};

/// Requests that each of the clients sends.
const REQUESTS: u32 = 200;

/// Largest share of its answers after which the faulty runner sends additional bytes.
const SPOILT_SHARE: f64 = 0.03;

/// A refusal as `fleetbench wire` prints it ("a server sheds").
const EXTRA: &[u8] =
    b"HTTP/1.1 503 Service Unavailable\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n";

/// How long it does so, from its first answer.
const SPOILT_TIME: Duration = Duration::from_secs(5);

const WORK: Duration = Duration::from_millis(30);

const RUNNERS: [(&str, &str, &str); 3] = [
    ("i-1", "127.0.0.21", "heredia-a"),
    ("i-2", "127.0.0.22", "escazu-b"),
    ("i-3", "127.0.0.23", "cartago-c"),
];

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

/// What the runners have run: the requests with the number of their runs, and the posts.
#[derive(Default)]
struct Ledger {
    runs: Mutex<BTreeMap<String, u32>>,
    posts: Mutex<BTreeMap<String, u32>>,
    /// Answers of the faulty runner, and those with additional bytes.
    spoilt: Mutex<(u32, u32)>,
    /// When the faulty runner began to spoil answers.
    began: OnceLock<Instant>,
}

pub fn run(run: &Run) -> io::Result<Outcome> {
    let record = &run.record;
    let mut deployment = Deployment::start(&run.dir, &ENTRIES)?;
    let ledger = Arc::new(Ledger::default());
    let mut entries = Vec::new();
    for (n, (id, host, zone)) in RUNNERS.into_iter().enumerate() {
        let listener = TcpListener::bind((host, 0))?;
        let addr = listener.local_addr()?;
        let (own, record) = (Arc::clone(&ledger), Arc::clone(record));
        let faulty = run.trouble && n == 0;
        http::listen(listener, move |stream| {
            let _ = serve(stream, id, faulty, &own, &record);
        });
        entries.push(RunnerEntry {
            id: id.to_owned(),
            service: "mercado-app",
            addr,
            zone,
            slots: 6,
            born_ms: deployment::unix_ms(),
        });
    }
    let _beats = Heartbeats::start(Arc::clone(&deployment.store), entries);
    deployment.write_config(
        r#"{"name":"job-post","hostname":"h.example","path_prefix":"/post/","route_type":"unsafe",
            "timeout_ms":1200,"target_latency_ms":150,"priority":2,"service":"mercado-app",
            "max_attempts":1,"auth_exempt":false}"#,
        r#"{"name":"mercado-app","health_path":"/health","max_conns":96,"protocol":"h1",
            "tls":false}"#,
    );
    deployment.start_entries()?;
    thread::sleep(Duration::from_secs(1));

    let clients: Vec<_> = (0..4)
        .map(|n| {
            let addr = deployment.callers[n % 2];
            let (ledger, record) = (Arc::clone(&ledger), Arc::clone(record));
            thread::spawn(move || client(n, addr, &ledger, &record))
        })
        .collect();
    let mut broken = 0;
    for client in clients {
        broken += client
            .join()
            .map_err(|_| io::Error::other("a client failed"))??;
    }

    let twice = ledger
        .runs
        .lock()
        .expect("poisoned")
        .values()
        .filter(|n| **n > 1)
        .count();
    let posted = ledger
        .posts
        .lock()
        .expect("poisoned")
        .values()
        .filter(|n| **n > 1)
        .count();
    let (answers, spoilt) = *ledger.spoilt.lock().expect("poisoned");
    if !deployment.all_running() {
        record.line("an entry has ended by itself");
        broken += 1;
    }
    record.line(&format!(
        "faulty runner: {answers} answers, additional bytes after {spoilt}"
    ));
    record.line(&format!(
        "REFUSED: {broken} refused requests have run; requests that ran twice: {twice}; \
         posts that were applied twice: {posted}"
    ));
    Ok(Outcome::from_breaks(broken as usize + twice))
}

/// Sends unsafe requests one after the other on a kept channel; returns how many were
/// refused although they have run.
fn client(n: usize, addr: SocketAddr, ledger: &Ledger, record: &Record) -> io::Result<u32> {
    let mut conn = Connection::open(addr)?;
    let mut refused = Vec::new();
    for number in 0..REQUESTS {
        let post = format!("post-{n}-{number}");
        // A refusal promises that the request has not run, so the client may send the post
        // again, in a new attempt on a new channel.
        for attempt in 0..2 {
            let id = format!("{n:x}{number:04x}{attempt:x}");
            record.line(&format!("client {n} sends {id} ({post})"));
            let headers = format!(
                "Host: h.example\r\nX-Request-Id: {id}\r\nX-Deadline-Ms: 2500\r\n\
                 X-Api-Key: key-1\r\n"
            );
            let answer = conn.call("POST /post/1", &headers, post.as_bytes());
            let status = answer.as_ref().map_or(0, Message::status);
            record.line(&format!("client {n} gets {status} to {id}"));
            let closes = answer.map_or(true, |a| a.header("connection") == Some("close"));
            let promise = [408, 421, 429, 503].contains(&status);
            if closes || promise {
                conn = Connection::open(addr)?;
            }
            if !promise {
                break;
            }
            refused.push(id);
            thread::sleep(Duration::from_millis(150));
        }
    }
    // A refused request may not run later either.
    thread::sleep(Duration::from_secs(1));
    let runs = ledger.runs.lock().expect("poisoned");
    let ran: Vec<&String> = refused.iter().filter(|id| runs.contains_key(*id)).collect();
    for id in &ran {
        record.line(&format!("broken: {id} was refused and has run"));
    }
    Ok(ran.len() as u32)
}

/// Serves one channel to a runner.
fn serve(
    mut stream: TcpStream,
    own: &str,
    faulty: bool,
    ledger: &Ledger,
    record: &Record,
) -> io::Result<()> {
    let mut reader = BufReader::new(stream.try_clone()?);
    let mut answered = false;
    while let Some(request) = http::read(&mut reader)? {
        if request.header("x-expect-instance") != Some(own) {
            let headers = format!("X-Instance-Id: {own}\r\n");
            http::respond(&mut stream, "421 Misdirected Request", &headers, b"")?;
            continue;
        }
        let id = request.header("x-request-id").unwrap_or("-").to_owned();
        if faulty && answered && take_spoilt(ledger) {
            record.line(&format!(
                "runner {own} sends additional bytes after its last answer"
            ));
            stream.write_all(EXTRA)?;
        }
        record.line(&format!("runner {own} runs {id}"));
        *ledger
            .runs
            .lock()
            .expect("poisoned")
            .entry(id.clone())
            .or_default() += 1;
        let post = String::from_utf8_lossy(&request.body).into_owned();
        *ledger
            .posts
            .lock()
            .expect("poisoned")
            .entry(post)
            .or_default() += 1;
        thread::sleep(WORK);
        let headers = format!("X-Request-Id: {id}\r\nX-Response-Seal: {own}.{id}\r\n");
        http::respond(&mut stream, "200 OK", &headers, b"done")?;
        answered = true;
        let began = ledger.began.get_or_init(Instant::now);
        if faulty && began.elapsed() < SPOILT_TIME {
            ledger.spoilt.lock().expect("poisoned").0 += 1;
        }
    }
    Ok(())
}

/// Whether the faulty runner sends additional bytes now, within its share.
fn take_spoilt(ledger: &Ledger) -> bool {
    if ledger.began.get_or_init(Instant::now).elapsed() >= SPOILT_TIME {
        return false;
    }
    let mut spoilt = ledger.spoilt.lock().expect("poisoned");
    let (answers, count) = *spoilt;
    let within = f64::from(count + 1) <= f64::from(answers) * SPOILT_SHARE;
    spoilt.1 += u32::from(within);
    within
}
