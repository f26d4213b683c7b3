//! The daemon that reports the usage is killed while the store comes back from a copy that
//! is some seconds old.

use std::collections::BTreeMap;
use std::io::{self, BufReader};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::deployment::{self, Deployment, EntryHost};
use crate::http::{self, Connection, Message};
use crate::record::Record;
use crate::runner;
use crate::store::{Heartbeats, RunnerEntry};
use crate::{Outcome, Run};

/// Age of the copy from which the store comes back.
const COPY_AGE: Duration = Duration::from_secs(3);

/// How long the store is away.
const AWAY: Duration = Duration::from_millis(500);

/// Time until a killed process is started again.
const RESTART_DELAY: Duration = Duration::from_secs(1);

/// Accepted windows before the disruption.
const CALM_WINDOWS: usize = 3;

/// Time after the disruption for which the reports are watched.
const WATCH: Duration = Duration::from_secs(16);

const ENTRIES: [EntryHost; 2] = [
    EntryHost {
        name: "front-plateau-1",
        host: "127.0.0.11",
        zone: "plateau",
    },
    EntryHost {
        name: "front-almadies-1",
        host: "127.0.0.12",
        zone: "almadies",
    },
];

/// A usage report that the platform has accepted.
#[derive(Debug, Clone)]
struct Report {
    holder: String,
    window: u64,
    counts: String,
}

#[derive(Default)]
struct Reports {
    accepted: Mutex<Vec<Report>>,
    highest_token: Mutex<u64>,
}

pub fn run(run: &Run) -> io::Result<Outcome> {
    let record = &run.record;
    let mut deployment = Deployment::start(&run.dir, &ENTRIES)?;
    let reports = Arc::new(Reports::default());
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let platform = listener.local_addr()?;
    let (own, own_record) = (Arc::clone(&reports), Arc::clone(record));
    http::listen(listener, move |stream| {
        let _ = own.serve(stream, &own_record);
    });
    deployment.duties = Some(format!(
        "{{\"platform\":\"{platform}\",\"kinds\":[\"usage_report\",\"autoscale\"],\
         \"rate\":50.0,\"window_s\":5,\"due_s\":10,\"lease_ms\":3000}}"
    ));

    let runs = runner::Runs::default();
    let mut runners = Vec::new();
    for (id, host, zone) in [
        ("i-1", "127.0.0.21", "plateau"),
        ("i-2", "127.0.0.22", "almadies"),
    ] {
        let addr = runner::start_plain(id, host, Arc::clone(&runs), Arc::clone(record))?;
        runners.push(RunnerEntry {
            id: id.to_owned(),
            service: "repas-app",
            addr,
            zone,
            slots: 6,
            born_ms: deployment::unix_ms(),
        });
    }
    let _beats = Heartbeats::start(Arc::clone(&deployment.store), runners);
    deployment.write_config(
        r#"{"name":"agent-ack","hostname":"h.example","path_prefix":"/ack/","route_type":"safe",
            "timeout_ms":4000,"target_latency_ms":300,"priority":2,"service":"repas-app",
            "max_attempts":2,"auth_exempt":false}"#,
        r#"{"name":"repas-app","health_path":"/health","max_conns":180,"protocol":"h1",
            "tls":false}"#,
    );
    deployment.start_entries()?;

    let ended = Arc::new(AtomicBool::new(false));
    for (n, addr) in deployment.callers.iter().copied().enumerate() {
        let (ended, record) = (Arc::clone(&ended), Arc::clone(record));
        thread::spawn(move || client(n, addr, &ended, &record));
    }

    let start = Instant::now();
    while reports.count() < CALM_WINDOWS {
        if start.elapsed() > Duration::from_secs(50) {
            return Ok(Outcome::NotRun("no usage was reported".to_owned()));
        }
        thread::sleep(Duration::from_millis(20));
    }
    let holder = reports.last_holder();
    let held = ENTRIES.iter().position(|e| e.name == holder);
    let held = held.ok_or_else(|| io::Error::other("the holder is unknown"))?;
    if run.trouble {
        let copied_at = Instant::now() - COPY_AGE;
        // Each of the two disruptions can be played alone.
        let only = std::env::var("ONLY").unwrap_or_default();
        let (drill, kill) = (only != "kill", only != "drill");
        record.line(&format!(
            "store goes away: {drill}; {holder} is killed: {kill}"
        ));
        if drill {
            deployment.store.set_away(true);
        }
        if kill {
            deployment.entries[held].kill();
        }
        thread::sleep(AWAY);
        if drill {
            deployment.store.restore(copied_at);
            deployment.store.set_away(false);
            record.line(&format!(
                "store is back from a copy that is {COPY_AGE:?} old"
            ));
        }
        thread::sleep(RESTART_DELAY.saturating_sub(AWAY));
        if kill {
            deployment.entries[held].restart()?;
            record.line(&format!("{holder} is started again"));
        }
    }
    thread::sleep(WATCH);
    ended.store(true, Ordering::SeqCst);

    let breaks = reports.repeated_windows(record);
    let running = deployment.all_running();
    record.line(&format!(
        "ONE: {breaks} windows were accepted with different counts; all programs running: {running}"
    ));
    Ok(Outcome::from_breaks(breaks + usize::from(!running)))
}

impl Reports {
    fn count(&self) -> usize {
        self.accepted.lock().expect("poisoned").len()
    }

    fn last_holder(&self) -> String {
        let accepted = self.accepted.lock().expect("poisoned");
        accepted
            .last()
            .map(|r| r.holder.clone())
            .unwrap_or_default()
    }

    /// Serves the platform's API for singleton duties.
    fn serve(&self, mut stream: TcpStream, record: &Record) -> io::Result<()> {
        let mut reader = BufReader::new(stream.try_clone()?);
        while let Some(request) = http::read(&mut reader)? {
            let status = self.answer(&request, record);
            http::respond(&mut stream, status, "", b"")?;
        }
        Ok(())
    }

    fn answer(&self, request: &Message, record: &Record) -> &'static str {
        let holder = request.header("x-duty-holder").unwrap_or("-").to_owned();
        let token = request
            .header("x-fencing-token")
            .and_then(|t| t.parse().ok());
        let token: u64 = token.unwrap_or(0);
        let body = String::from_utf8_lossy(&request.body).into_owned();
        let path = request.path();
        let mut highest = self.highest_token.lock().expect("poisoned");
        let status = if token < *highest {
            "409 Conflict"
        } else {
            "200 OK"
        };
        *highest = token.max(*highest);
        drop(highest);
        record.line(&format!(
            "platform: {path} of {holder}, number {token}: {body} -> {status}"
        ));
        if path == "/usage" && status == "200 OK" {
            // {"window_id":W,"counts":{...}}
            let window = body
                .split([':', ','])
                .nth(1)
                .and_then(|w| w.trim().parse().ok());
            let counts = body
                .split_once("\"counts\":")
                .map_or("", |(_, c)| c)
                .to_owned();
            let window = window.unwrap_or(0);
            let report = Report {
                holder,
                window,
                counts,
            };
            self.accepted.lock().expect("poisoned").push(report);
        }
        status
    }

    /// The windows of which reports with different counts were accepted.
    fn repeated_windows(&self, record: &Record) -> usize {
        let accepted = self.accepted.lock().expect("poisoned").clone();
        let mut by_window: BTreeMap<u64, Vec<&Report>> = BTreeMap::new();
        for report in &accepted {
            by_window.entry(report.window).or_default().push(report);
        }
        let differs =
            |reports: &&Vec<&Report>| reports.iter().any(|r| r.counts != reports[0].counts);
        let broken = by_window.values().filter(differs);
        let broken = broken.inspect(|reports| record.line(&format!("broken: {reports:?}")));
        broken.count()
    }
}

/// Sends safe requests until `ended`, and opens another channel after a failure.
fn client(n: usize, addr: SocketAddr, ended: &AtomicBool, record: &Record) {
    let mut conn = None;
    for number in 0.. {
        if ended.load(Ordering::SeqCst) {
            return;
        }
        let id = format!("c{n}{number:06x}");
        let headers = format!(
            "Host: h.example\r\nX-Request-Id: {id}\r\nX-Deadline-Ms: 4000\r\nX-Api-Key: key-1\r\n"
        );
        let mut open = match conn.take().map_or_else(|| Connection::open(addr), Ok) {
            Ok(open) => open,
            Err(_) => {
                thread::sleep(Duration::from_millis(200));
                continue;
            }
        };
        let answer = open.call("GET /ack/1", &headers, b"");
        let status = answer.as_ref().map_or(0, Message::status);
        record.line(&format!("client {n} gets {status} to {id}"));
        if answer.is_ok_and(|a| a.header("connection") != Some("close")) {
            conn = Some(open);
        }
        thread::sleep(Duration::from_millis(20));
    }
}
