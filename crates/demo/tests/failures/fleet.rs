//! A small fleet on loopback, each daemon on its own thread, for tests that
//! start and stop daemons individually.

use std::collections::HashMap;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::sync::atomic::{AtomicU16, Ordering};
use std::time::{Duration, Instant};

use awc::error::{ConnectError, SendRequestError};
use base::stop::StopSignal;
use bundle::Bundle;
use clients::hosts::{Host as Listed, HostStatus, Role};
use demo::daemon::Daemon;
use serde_json::{Value, json};
use standin::hosts::{Faults, Registry};
use standin::{FaultControl, Ledger, engine};

/// Number of ports reserved for one fleet.
const PORTS: u16 = 64;

/// Offset of an entry's operators' port from its callers' port.
const OPERATORS: u16 = 10;

/// Timeout for any condition that a test waits for.
pub(crate) const TEST_TIMEOUT: Duration = Duration::from_secs(20);

const TOKEN: &str = "token";

pub(crate) struct Fleet {
    /// The platform's list of hosts.
    pub(crate) registry: Registry,
    /// The requests that the engines ran.
    pub(crate) ledger: Ledger,
    /// The control of each engine's faults.
    pub(crate) engines: HashMap<u16, FaultControl<engine::Faults>>,
    /// The first port.
    port: u16,
    daemons: HashMap<String, Daemon>,
}

/// A caller's answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Answer {
    pub(crate) status: u16,
    pub(crate) body: Value,
}

impl Fleet {
    /// A fleet with only the list of hosts.
    pub(crate) fn new() -> Self {
        base::logging::init(base::logging::Level::Off);
        static FLEETS: AtomicU16 = AtomicU16::new(0);
        let number = FLEETS.fetch_add(1, Ordering::Relaxed);
        let mut fleet = Self {
            registry: Registry::new(Vec::new()),
            ledger: Ledger::default(),
            engines: HashMap::new(),
            port: 7200 + number * PORTS,
            daemons: HashMap::new(),
        };
        let settings = standin::hosts::Settings {
            listen: fleet.addr(0),
            hosts: Vec::new(),
            faults: Faults::default(),
        };
        let registry = fleet.registry.clone();
        fleet.start("hosts", move |stop| {
            standin::hosts::run(settings.clone(), registry.clone(), stop)
        });
        fleet
    }

    /// A fleet with `servers` servers and one entry. Waits until the entry can
    /// use all of them, since an entry marks a server as failed that does not
    /// listen yet.
    pub(crate) async fn with(servers: u16) -> Self {
        let mut fleet = Self::new();
        (0..servers).for_each(|i| fleet.server(i));
        fleet.entry(0);
        fleet.ready(0).await;
        fleet.all_usable(0).await;
        fleet
    }

    /// Starts a daemon of any kind.
    pub(crate) fn start<F, Fut>(&mut self, name: &str, run: F)
    where
        F: Fn(StopSignal) -> Fut + Send + Sync + 'static,
        Fut: Future<Output = std::io::Result<()>> + 'static,
    {
        self.daemons
            .insert(name.to_owned(), Daemon::start(name, run));
    }

    /// Starts an engine.
    pub(crate) fn engine(&mut self, i: u16) {
        let settings = json!({ "listen": self.addr(20 + i), "slots": 8, "step": "2ms" });
        let settings: engine::Settings = serde_json::from_value(settings).unwrap();
        let faults = FaultControl::new(settings.faults.clone());
        self.engines.insert(i, faults.clone());
        let ledger = self.ledger.clone();
        self.start(&format!("engine-{i}"), move |stop| {
            engine::run_with(settings.clone(), faults.clone(), ledger.clone(), stop)
        });
    }

    /// Multiplies the step time of all engines by `pace`.
    pub(crate) fn pace(&self, pace: f64) {
        for faults in self.engines.values() {
            faults.change(|f| f.slowdown = pace);
        }
    }

    /// Starts an engine's sidecar without adding it to the list of hosts.
    pub(crate) fn sidecar(&mut self, i: u16) {
        let settings = json!({
            "name": format!("sidecar-{i}"),
            "zone": "plateau",
            "listen": self.addr(40 + i),
            "backend": { "engine": { "addr": self.addr(20 + i), "slots": 8 } },
            "streams": { "silence": "300ms", "patience": "5s" },
        });
        let settings: sidecar::Settings = serde_json::from_value(settings).unwrap();
        self.start(&format!("sidecar-{i}"), move |stop| {
            sidecar::run(settings.clone(), stop)
        });
    }

    /// Adds a sidecar to the list of hosts.
    pub(crate) fn list(&self, i: u16) {
        self.registry.put(Listed {
            name: format!("sidecar-{i}"),
            addr: self.addr(40 + i),
            zone: "plateau".to_owned(),
            region: "dakar".to_owned(),
            role: Role::Sidecar,
            serves: "dossier-8b".to_owned(),
            status: HostStatus::Live,
        });
    }

    /// Starts an engine and its sidecar and adds it to the list of hosts.
    pub(crate) fn server(&mut self, i: u16) {
        self.engine(i);
        self.sidecar(i);
        self.list(i);
    }

    /// Starts an entry.
    pub(crate) fn entry(&mut self, i: u16) {
        self.entry_with(i, &json!({ "linger": "100ms" }));
    }

    /// Starts an entry with the given drain settings.
    pub(crate) fn entry_with(&mut self, i: u16, drain: &Value) {
        let settings = json!({
            "name": format!("entry-{i}"),
            "zone": "plateau",
            "listen": self.addr(1 + i),
            "operators": self.addr(1 + OPERATORS + i),
            "seed": 1 + i,
            "roster": { "hosts": self.addr(0), "region": "dakar", "poll": "100ms", "forget": "2s" },
            "drain": drain,
            "comment": "50ms",
        });
        let settings: entry::Settings = serde_json::from_value(settings).unwrap();
        self.start(&format!("entry-{i}"), move |stop| {
            entry::run(settings.clone(), Some(bundle()), stop)
        });
    }

    /// Requests a graceful stop, as SIGTERM does, and waits for it.
    pub(crate) async fn stop(&mut self, name: &str) {
        self.ask(name);
        self.ended(name).await;
    }

    /// Requests a graceful stop, as SIGTERM does.
    pub(crate) fn ask(&self, name: &str) {
        self.daemons[name].request_stop();
    }

    /// Waits until a daemon has stopped.
    pub(crate) async fn ended(&mut self, name: &str) {
        let host = self.daemons.remove(name).unwrap();
        until("the daemon has stopped", || host.has_stopped()).await;
    }

    /// Sends a request and reads its complete answer.
    pub(crate) async fn call(&self, entry: u16, mark: &str, length: u32) -> Answer {
        call(self.addr(1 + entry), mark, length).await
    }

    /// Waits until an entry sends requests to every sidecar that it knows, as
    /// operators do before they restart the next one.
    pub(crate) async fn all_usable(&self, entry: u16) {
        let url = format!("http://{}/status", self.addr(1 + OPERATORS + entry));
        let http = awc::Client::builder().timeout(TEST_TIMEOUT).finish();
        let started = Instant::now();
        loop {
            let mut answer = http.get(&url).send().await.unwrap();
            let status: Value = answer.json().await.unwrap();
            let sidecars = status["sidecars"].as_array().unwrap();
            let usable = |s: &Value| s["draining"] == false && s["ejected"] == false;
            if sidecars.iter().all(usable) {
                return;
            }
            assert!(
                started.elapsed() < TEST_TIMEOUT,
                "timed out waiting for all sidecars to be usable: {status}"
            );
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }

    /// Address at which an entry listens.
    pub(crate) fn entry_addr(&self, entry: u16) -> SocketAddr {
        self.addr(1 + entry)
    }

    /// Sends requests until one succeeds.
    pub(crate) async fn ready(&self, entry: u16) {
        let started = Instant::now();
        while self.call(entry, "ready", 1).await.status != 200 {
            assert!(
                started.elapsed() < TEST_TIMEOUT,
                "timed out waiting for the fleet to be ready"
            );
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }

    fn addr(&self, i: u16) -> SocketAddr {
        // Each process uses its own subnet of loopback, so that several test
        // binaries can run at the same time.
        let [_, _, a, b] = std::process::id().to_be_bytes();
        let ip = Ipv4Addr::new(127, a.max(1), b, 1);
        SocketAddr::new(IpAddr::V4(ip), self.port + i)
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        // All stop at the same time, since entries need their sidecars while
        // they drain.
        self.daemons.values().for_each(Daemon::request_stop);
        self.daemons.values().for_each(Daemon::stop);
    }
}

/// Whether an entry passes a load balancer's readiness check.
pub(crate) async fn ready(entry: SocketAddr) -> bool {
    let operators = SocketAddr::new(entry.ip(), entry.port() + OPERATORS);
    let url = format!("http://{operators}/health/ready");
    let sent = awc::Client::default().get(url).send().await;
    sent.is_ok_and(|answer| answer.status().is_success())
}

/// Sends a request and reads its complete answer. The status is 0 if no
/// connection was made, and 1 if the connection closed before the end of the
/// answer.
pub(crate) async fn call(entry: SocketAddr, mark: &str, length: u32) -> Answer {
    let body = body(mark, length);
    let url = format!("http://{entry}/v1/chat/completions");
    let http = awc::Client::builder().timeout(TEST_TIMEOUT).finish();
    let sent = http.post(url).bearer_auth(TOKEN).send_json(&body).await;
    let broken = |status, why: &dyn ToString| Answer {
        status,
        body: Value::String(why.to_string()),
    };
    let mut response = match sent {
        Ok(response) => response,
        // Also reported when the connection closed without an answer.
        Err(SendRequestError::Connect(ConnectError::Disconnected)) => {
            return broken(1, &"closed without an answer");
        }
        Err(SendRequestError::Connect(e)) => return broken(0, &e),
        Err(e) => return broken(1, &e),
    };
    let body = match response.body().await {
        Ok(body) => body,
        Err(e) => return broken(1, &e),
    };
    Answer {
        status: response.status().as_u16(),
        body: serde_json::from_slice(&body).unwrap_or_default(),
    }
}

/// Sends a request for a streamed answer and returns the complete stream.
pub(crate) async fn stream(entry: SocketAddr, mark: &str, length: u32) -> String {
    let mut body = body(mark, length);
    body["stream"] = Value::Bool(true);
    let url = format!("http://{entry}/v1/chat/completions");
    let http = awc::Client::builder().timeout(TEST_TIMEOUT).finish();
    let sent = http.post(url).bearer_auth(TOKEN).send_json(&body).await;
    let body = sent.unwrap().body().await.unwrap();
    String::from_utf8(body.to_vec()).unwrap()
}

fn body(mark: &str, length: u32) -> Value {
    json!({
        "model": "counter", "mark": mark, "length": length,
        "messages": [{ "role": "user", "content": "Is the dossier complete?" }],
    })
}

/// Waits until a condition holds.
pub(crate) async fn until(what: &str, mut holds: impl FnMut() -> bool) {
    let started = Instant::now();
    while !holds() {
        assert!(
            started.elapsed() < TEST_TIMEOUT,
            "timed out waiting until {what}"
        );
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}

/// The text of a complete answer; empty for errors.
pub(crate) fn text(answer: &Answer) -> &str {
    answer.body["choices"][0]["message"]["content"]
        .as_str()
        .unwrap_or_default()
}

/// The text that the stand-in generates for a request.
pub(crate) fn expected(mark: &str, length: u32) -> String {
    (0..length).map(|i| format!("{mark}:{i} ")).collect()
}

fn bundle() -> Bundle {
    let hash = bundle::token_hash(TOKEN);
    let bundle = json!({
        "classes": { "counter": {
            "tier": 0, "model": "dossier-8b",
            "targets": { "first_token": "10s", "token_gap": "1s", "whole": "60s" },
        } },
        "workspaces": { "cantine": { "tokens": [hash], "classes": ["counter"] } },
        "models": { "dossier-8b": {} },
        "operators": {},
    });
    serde_json::from_value(bundle).unwrap()
}
