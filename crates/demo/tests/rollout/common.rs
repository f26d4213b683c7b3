//! Two entries, a sidecar with a plain service, and a log.

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

/// Numbers the fleets of this process, for addresses of their own.
static FLEETS: AtomicU8 = AtomicU8::new(1);

/// How often a condition is looked at, and the pause between.
const TRIES: u32 = 1000;
const PAUSE: Duration = Duration::from_millis(20);

const PORT: u16 = 7100;
const OPERATORS_PORT: u16 = 7101;

/// The bundle that every fleet starts with. The token of workspace `alpha` is
/// `alpha`.
const BUNDLE: &str = include_str!("../whole/bundle.json");

/// The roles, which are the last numbers of the addresses.
#[derive(Debug, Clone, Copy)]
pub(crate) enum Role {
    One = 1,
    Two = 2,
    Sidecar = 3,
    Plain = 4,
    Log = 5,
    /// An address at which nobody listens.
    Nobody = 6,
}

/// A fleet that runs.
pub(crate) struct Fleet {
    net: [u8; 2],
    pub(crate) ledger: Ledger,
    pub(crate) rollout: Rollout,
    pub(crate) sidecar: Daemon,
    pub(crate) one: Daemon,
    pub(crate) two: Daemon,
    others: [Daemon; 2],
    /// Published versions, so that each differs.
    versions: AtomicU32,
}

/// What a caller got.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Answer {
    pub(crate) status: u16,
    pub(crate) body: String,
}

impl Fleet {
    /// Starts a fleet. Who is in `cut` has no way to the log.
    pub(crate) fn start(cut: &[Role]) -> Self {
        logging::init(Level::Off);
        let [_, _, a, b] = std::process::id().to_be_bytes();
        let number = FLEETS.fetch_add(1, Ordering::Relaxed);
        let net = [a.wrapping_mul(17).wrapping_add(b).max(1), number];
        let rollout = Rollout::new(addr(net, Role::Log));
        let follow = |role: Role| {
            let mut follow = rollout.follow_settings();
            if cut.iter().any(|c| *c as u8 == role as u8) {
                follow.log = addr(net, Role::Nobody);
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
            // A sidecar without a log gets the bundle with the first call.
            fleet.until_answers(role);
            if !matches!(role, Role::Sidecar) || cut.is_empty() {
                fleet.until_ready(role);
            }
        }
        fleet
    }

    /// Publishes one more version and returns its number.
    pub(crate) fn publish(&self) -> u64 {
        let mut bundle: Bundle = settings::parse("bundle.json", BUNDLE).expect("sound");
        let version = self.versions.fetch_add(1, Ordering::Relaxed) + 1;
        let workspace = bundle.workspaces.entry("alpha".to_owned()).or_default();
        Arc::make_mut(workspace).weight = version;
        let published = Cell::new(0);
        until("the log takes the bundle", || {
            let told = actix_rt::System::new().block_on(self.rollout.publish(&bundle));
            if let PublishOutcome::Accepted(sequence) = told {
                published.set(sequence.0);
            }
            published.get() > 0
        });
        published.get()
    }

    pub(crate) fn down(&self, down: bool) {
        self.rollout.faults.change(|f| f.down = down);
    }

    pub(crate) fn until_ready(&self, role: Role) {
        until("it is ready", || self.status(role)["ready"] == json!(true));
    }

    /// Waits until a daemon listens; while it does not, an entry refuses calls
    /// as "no server", and rightly so.
    pub(crate) fn until_answers(&self, role: Role) {
        until("it answers", || !self.status(role).is_null());
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

    /// Makes a call without an idempotency key.
    pub(crate) fn plain_call(&self, role: Role) -> Answer {
        self.call(role, None, "plain")
    }

    /// Makes a call without an idempotency key, which must succeed.
    pub(crate) fn must_answer(&self, role: Role) {
        let answer = self.plain_call(role);
        assert_eq!(answer.status, 200, "{}", answer.body);
    }

    /// Sends a letter with an idempotency key.
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
            let body = response.body().await.expect("the answer is whole");
            Answer {
                status: response.status().as_u16(),
                body: String::from_utf8_lossy(&body).into_owned(),
            }
        })
    }

    /// How often a letter was sent.
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

/// Time in which a caller gets an answer, whatever happens.
const TIMEOUT: Duration = Duration::from_secs(30);

fn plain(net: [u8; 2], ledger: &Ledger) -> Daemon {
    let text = json!({ "listen": addr(net, Role::Plain), "work": "50ms" }).to_string();
    let settings: standin::plain::Settings = settings::parse("plain", &text).expect("sound");
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
    let settings: sidecar::Settings = settings::parse("sidecar", &text).expect("sound");
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
    let settings: entry::Settings = settings::parse("entry", &text).expect("sound");
    Daemon::start("entry", move |stop| {
        entry::run(settings.clone(), None, stop)
    })
}

fn addr(net: [u8; 2], role: Role) -> SocketAddr {
    let ip = Ipv4Addr::new(127, net[0], net[1], 100 + role as u8);
    SocketAddr::new(IpAddr::V4(ip), PORT)
}

/// Waits for a condition, for as long as a slow machine may need.
pub(crate) fn until(what: &str, mut met: impl FnMut() -> bool) {
    for _ in 0..TRIES {
        if met() {
            return;
        }
        thread::sleep(PAUSE);
    }
    panic!("waited in vain until {what}");
}
