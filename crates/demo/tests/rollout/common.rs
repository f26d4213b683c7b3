//! A fleet of two entries, a sidecar with a plain service, and a log.

use std::cell::Cell;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::sync::atomic::{AtomicU8, AtomicU32, Ordering};
use std::thread;
use std::time::Duration;

use base::logging::{self, Level};
use base::settings;
use bundle::Bundle;
use demo::daemon::Daemon;
use demo::rollout::Rollout;
use follow::PublishOutcome;
use serde_json::{Value, json};
use standin::Ledger;

/// Number of the next fleet in this process; gives each its own addresses.
static FLEETS: AtomicU8 = AtomicU8::new(1);

/// Maximum number of checks of a condition, and the interval between them.
const TRIES: u32 = 1000;
const PAUSE: Duration = Duration::from_millis(20);

const PORT: u16 = 7100;
const OPERATORS_PORT: u16 = 7101;

/// The initial bundle of every fleet. The token of workspace `alpha` is
/// `alpha`.
const BUNDLE: &str = include_str!("../whole/bundle.json");

/// The daemons of a fleet; the number determines the last octet of the address.
#[derive(Debug, Clone, Copy)]
pub(crate) enum Role {
    One = 1,
    Two = 2,
    Sidecar = 3,
    Plain = 4,
    Log = 5,
    /// An address at which no daemon listens.
    Unreachable = 6,
}

/// A running fleet.
pub(crate) struct Fleet {
    net: [u8; 2],
    pub(crate) ledger: Ledger,
    pub(crate) rollout: Rollout,
    pub(crate) sidecar: Daemon,
    pub(crate) one: Daemon,
    pub(crate) two: Daemon,
    others: [Daemon; 2],
    /// Number of published versions, used to make each one different.
    versions: AtomicU32,
}

/// A caller's answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Answer {
    pub(crate) status: u16,
    pub(crate) body: String,
}

impl Fleet {
    /// Starts a fleet. The daemons in `cut` cannot reach the log.
    pub(crate) fn start(cut: &[Role]) -> Self {
        logging::init(Level::Off);
        let [_, _, a, b] = std::process::id().to_be_bytes();
        let number = FLEETS.fetch_add(1, Ordering::Relaxed);
        let net = [a.wrapping_mul(17).wrapping_add(b).max(1), number];
        let rollout = Rollout::new(addr(net, Role::Log));
        let follow = |role: Role| {
            let mut follow = rollout.follow_settings();
            if cut.iter().any(|c| *c as u8 == role as u8) {
                follow.log = addr(net, Role::Unreachable);
            }
            serde_json::to_value(follow).expect("settings are JSON")
        };

        let ledger = Ledger::default();
        let fleet = Self {
            others: [rollout.start(), plain(net, &ledger)],
            sidecar: sidecar(net, &follow(Role::Sidecar)),
            one: entry(net, Role::One, &follow(Role::One)),
            two: entry(net, Role::Two, &follow(Role::Two)),
            net,
            ledger,
            rollout,
            versions: AtomicU32::new(0),
        };
        fleet.publish();
        for role in [Role::Sidecar, Role::One, Role::Two] {
            // A sidecar that cannot reach the log gets the bundle with the
            // first call.
            fleet.until_answers(role);
            if !matches!(role, Role::Sidecar) || cut.is_empty() {
                fleet.until_ready(role);
            }
        }
        fleet
    }

    /// Publishes a new version and returns its sequence number.
    pub(crate) fn publish(&self) -> u64 {
        let mut bundle: Bundle =
            settings::parse("bundle.json", BUNDLE).expect("settings are valid");
        let version = self.versions.fetch_add(1, Ordering::Relaxed) + 1;
        let workspace = bundle.workspaces.entry("alpha".to_owned()).or_default();
        Arc::make_mut(workspace).weight = version;
        let published = Cell::new(0);
        until("the log accepts the bundle", || {
            let outcome = actix_rt::System::new().block_on(self.rollout.publish(&bundle));
            if let PublishOutcome::Accepted(sequence) = outcome {
                published.set(sequence.0);
            }
            published.get() > 0
        });
        published.get()
    }

    pub(crate) fn set_log_down(&self, down: bool) {
        self.rollout.faults.change(|f| f.down = down);
    }

    pub(crate) fn until_ready(&self, role: Role) {
        until("it is ready", || self.status(role)["ready"] == json!(true));
    }

    /// Waits until a daemon listens. While a sidecar does not, an entry refuses
    /// calls with "no server", which is correct and must not fail a test.
    pub(crate) fn until_answers(&self, role: Role) {
        until("the daemon answers", || !self.status(role).is_null());
    }

    pub(crate) fn sequence(&self, role: Role) -> u64 {
        self.status(role)["sequence"].as_u64().unwrap_or(0)
    }

    /// The status of a daemon; null while it does not answer.
    fn status(&self, role: Role) -> Value {
        let operators = SocketAddr::new(addr(self.net, role).ip(), OPERATORS_PORT);
        let answer = actix_rt::System::new().block_on(async {
            let url = format!("http://{operators}/status");
            let mut response = awc::Client::new().get(url).send().await.ok()?;
            response.body().await.ok()
        });
        answer.map_or(Value::Null, |b| {
            serde_json::from_slice(&b).unwrap_or_default()
        })
    }

    /// Calls the service without an idempotency key.
    pub(crate) fn call_without_key(&self, role: Role) -> Answer {
        self.call(role, None, "plain")
    }

    /// Calls the service without an idempotency key and asserts success.
    pub(crate) fn call_successfully(&self, role: Role) {
        let answer = self.call_without_key(role);
        assert_eq!(answer.status, 200, "{}", answer.body);
    }

    /// Calls the service, which sends a letter, with an idempotency key.
    pub(crate) fn letter(&self, role: Role, key: &str, mark: &str) -> Answer {
        self.call(role, Some(key), mark)
    }

    fn call(&self, role: Role, key: Option<&str>, mark: &str) -> Answer {
        let url = format!("http://{}/v1/services/letters/send", addr(self.net, role));
        actix_rt::System::new().block_on(async {
            let sent = awc::Client::builder().timeout(TIMEOUT).finish();
            let mut sent = sent
                .post(url)
                .insert_header(("authorization", "Bearer alpha"));
            if let Some(key) = key {
                sent = sent.insert_header(("idempotency-key", key));
            }
            let sent = sent.send_json(&json!({ "mark": mark }));
            let mut response = sent.await.expect("the entry answers");
            let body = response.body().await.expect("the answer is complete");
            Answer {
                status: response.status().as_u16(),
                body: String::from_utf8_lossy(&body).into_owned(),
            }
        })
    }

    /// Number of times that the service sent a letter.
    pub(crate) fn sent(&self, mark: &str) -> u32 {
        self.ledger.counts(mark).runs
    }

    pub(crate) fn stop(&self) {
        for host in [&self.one, &self.two, &self.sidecar] {
            host.stop();
        }
        self.others.iter().for_each(Daemon::stop);
    }
}

/// Timeout of a caller. Every call must be answered within it, also during
/// failures.
const TIMEOUT: Duration = Duration::from_secs(30);

fn plain(net: [u8; 2], ledger: &Ledger) -> Daemon {
    let text = json!({ "listen": addr(net, Role::Plain), "work": "50ms" }).to_string();
    let settings: standin::plain::Settings =
        settings::parse("plain", &text).expect("settings are valid");
    let ledger = ledger.clone();
    Daemon::start("plain", move |stop| {
        standin::plain::run(settings.clone(), ledger.clone(), stop)
    })
}

fn sidecar(net: [u8; 2], follow: &Value) -> Daemon {
    let plain = json!({ "addr": addr(net, Role::Plain), "slots": 8, "timeout": "5s" });
    let text = json!({
        "name": "s", "zone": "z", "log_level": "off",
        "listen": addr(net, Role::Sidecar),
        "operators": SocketAddr::new(addr(net, Role::Sidecar).ip(), OPERATORS_PORT),
        "backend": { "plain": plain },
        "follow": follow,
    });
    let text = text.to_string();
    let settings: sidecar::Settings =
        settings::parse("sidecar", &text).expect("settings are valid");
    Daemon::start("sidecar", move |stop| sidecar::run(settings.clone(), stop))
}

fn entry(net: [u8; 2], role: Role, follow: &Value) -> Daemon {
    let sidecar = json!({
        "name": "s", "zone": "z", "serves": "letters",
        "addr": addr(net, Role::Sidecar),
    });
    let text = json!({
        "name": format!("e{}", role as u8), "zone": "z", "log_level": "off", "seed": 1,
        "listen": addr(net, role),
        "operators": SocketAddr::new(addr(net, role).ip(), OPERATORS_PORT),
        "sidecars": [sidecar],
        "follow": follow,
    });
    let text = text.to_string();
    let settings: entry::Settings = settings::parse("entry", &text).expect("settings are valid");
    Daemon::start("entry", move |stop| {
        entry::run(settings.clone(), None, stop)
    })
}

fn addr(net: [u8; 2], role: Role) -> SocketAddr {
    let ip = Ipv4Addr::new(127, net[0], net[1], 100 + role as u8);
    SocketAddr::new(IpAddr::V4(ip), PORT)
}

/// Waits for a condition, with a timeout that suits slow machines.
pub(crate) fn until(what: &str, mut met: impl FnMut() -> bool) {
    for _ in 0..TRIES {
        if met() {
            return;
        }
        thread::sleep(PAUSE);
    }
    panic!("timed out waiting until {what}");
}
