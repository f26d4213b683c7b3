//! A small fleet for tests: one engine, one plain service, their sidecars and
//! an entry, each on its own thread and loopback address.

use std::error::Error;
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpStream};
use std::sync::atomic::{AtomicU8, Ordering};
use std::thread;
use std::time::Duration;

use base::logging::{self, Level};
use base::settings::{self, HumanDuration};
use bundle::Bundle;
use demo::daemon::Daemon;
use entry::settings::SidecarInfo;
use serde_json::Value;
use sidecar::settings::Backend;
use standin::Ledger;

/// Number of the next fleet in this process; gives each its own addresses.
static FLEETS: AtomicU8 = AtomicU8::new(1);

/// Maximum number of checks of a condition, and the interval between them.
const TRIES: u32 = 1000;
const PAUSE: Duration = Duration::from_millis(20);

/// Port on which every daemon listens; their addresses differ.
const PORT: u16 = 7100;
const OPERATORS_PORT: u16 = 7101;

/// The bundle of all fleets. The token of each workspace is its name: `alpha`
/// and `beta`.
const BUNDLE: &str = include_str!("bundle.json");

/// The daemons of a fleet; the number is the last octet of the address.
const ENTRY: u8 = 1;
const ENGINE_SIDECAR: u8 = 2;
const PLAIN_SIDECAR: u8 = 3;
const ENGINE: u8 = 4;
const PLAIN: u8 = 5;

/// A running small fleet.
pub(crate) struct SmallFleet {
    net: [u8; 2],
    /// The requests that the stand-ins ran.
    pub(crate) ledger: Ledger,
    hosts: Vec<Daemon>,
}

impl SmallFleet {
    /// Starts all daemons and waits until they listen. The engine has `slots`
    /// slots and takes `step_ms` milliseconds for a step.
    pub(crate) fn start(slots: usize, step_ms: u64) -> Self {
        logging::init(Level::Off);
        let [_, _, a, b] = std::process::id().to_be_bytes();
        let number = FLEETS.fetch_add(1, Ordering::Relaxed);
        let mut fleet = Self {
            net: [a.wrapping_mul(31).wrapping_add(b).max(1), number],
            ledger: Ledger::default(),
            hosts: Vec::new(),
        };
        fleet.start_backends(slots, step_ms);
        fleet.start_daemons(slots);
        for addr in (ENTRY..=PLAIN)
            .map(|r| fleet.addr(r))
            .chain([fleet.operators(ENTRY)])
        {
            until("the daemon listens", || TcpStream::connect(addr).is_ok());
        }
        fleet
    }

    /// Stops all daemons and waits until they have stopped.
    pub(crate) fn stop(&mut self) {
        self.hosts.iter().for_each(Daemon::request_stop);
        self.hosts.drain(..).for_each(|host| host.stop());
    }

    /// The entry's address for callers.
    pub(crate) fn entry(&self) -> SocketAddr {
        self.addr(ENTRY)
    }

    /// Fetches a path from the entry's operators' address.
    pub(crate) fn ask_entry(&self, path: &str) -> Result<String, Box<dyn Error>> {
        ask(self.operators(ENTRY), path)
    }

    /// The status of the engine's sidecar.
    pub(crate) fn sidecar_status(&self) -> Value {
        let text = ask(self.operators(ENGINE_SIDECAR), "/status").expect("the sidecar answers");
        serde_json::from_str(&text).expect("a status is JSON")
    }

    fn addr(&self, role: u8) -> SocketAddr {
        let ip = Ipv4Addr::new(127, self.net[0], self.net[1], role);
        SocketAddr::new(IpAddr::V4(ip), PORT)
    }

    fn operators(&self, role: u8) -> SocketAddr {
        SocketAddr::new(self.addr(role).ip(), OPERATORS_PORT)
    }

    fn start_backends(&mut self, slots: usize, step_ms: u64) {
        let text = format!(
            r#"{{ "listen": "{}", "slots": {slots}, "step": "{step_ms}ms" }}"#,
            self.addr(ENGINE)
        );
        let settings: standin::engine::Settings =
            settings::parse("engine", &text).expect("the settings are valid");
        let ledger = self.ledger.clone();
        let engine = Daemon::start("engine", move |stop| {
            standin::engine::run(settings.clone(), ledger.clone(), stop)
        });

        let text = format!(r#"{{ "listen": "{}" }}"#, self.addr(PLAIN));
        let settings: standin::plain::Settings =
            settings::parse("plain", &text).expect("the settings are valid");
        let ledger = self.ledger.clone();
        let plain = Daemon::start("plain", move |stop| {
            standin::plain::run(settings.clone(), ledger.clone(), stop)
        });
        self.hosts.extend([engine, plain]);
    }

    fn start_daemons(&mut self, slots: usize) {
        for role in [ENGINE_SIDECAR, PLAIN_SIDECAR] {
            let settings = self.sidecar(role, slots);
            self.hosts.push(Daemon::start("sidecar", move |stop| {
                sidecar::run(settings.clone(), stop)
            }));
        }
        let bundle: Bundle = settings::parse("bundle.json", BUNDLE).expect("the bundle is valid");
        let settings = self.entry_settings();
        self.hosts.push(Daemon::start("entry", move |stop| {
            entry::run(settings.clone(), Some(bundle.clone()), stop)
        }));
    }

    fn sidecar(&self, role: u8, slots: usize) -> sidecar::Settings {
        let backend = match role {
            ENGINE_SIDECAR => Backend::Engine {
                addr: self.addr(ENGINE),
                slots,
            },
            _ => Backend::Plain {
                addr: self.addr(PLAIN),
                slots: 8,
                timeout: HumanDuration::secs(5),
            },
        };
        let backend = serde_json::to_value(backend).expect("a backend is JSON");
        let text = format!(
            r#"{{ "name": "s{role}", "zone": "z", "listen": "{}", "operators": "{}",
                "log_level": "off", "backend": {backend} }}"#,
            self.addr(role),
            self.operators(role)
        );
        settings::parse("sidecar", &text).expect("the settings are valid")
    }

    fn entry_settings(&self) -> entry::Settings {
        let known = |role, serves: &str| SidecarInfo {
            name: format!("s{role}"),
            addr: self.addr(role),
            zone: "z".to_owned(),
            serves: serves.to_owned(),
        };
        let sidecars = [
            known(ENGINE_SIDECAR, "small"),
            known(PLAIN_SIDECAR, "letters"),
        ];
        let sidecars = serde_json::to_value(sidecars).expect("sidecars are JSON");
        let text = format!(
            r#"{{ "name": "e", "zone": "z", "listen": "{}", "operators": "{}", "seed": 1,
                "body_limit": 4096, "log_level": "off", "drain": {{ "linger": "0ms" }},
                "sidecars": {sidecars} }}"#,
            self.addr(ENTRY),
            self.operators(ENTRY)
        );
        settings::parse("entry", &text).expect("the settings are valid")
    }
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

fn ask(addr: SocketAddr, path: &str) -> Result<String, Box<dyn Error>> {
    let url = format!("http://{addr}{path}");
    actix_rt::System::new().block_on(async {
        let mut response = awc::Client::new()
            .get(url)
            .send()
            .await
            .map_err(|e| e.to_string())?;
        Ok(String::from_utf8(response.body().await?.to_vec())?)
    })
}
