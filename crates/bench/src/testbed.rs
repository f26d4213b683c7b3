//! One entry with a few sidecars and engine stand-ins, each on a thread of its
//! own.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::sync::atomic::{AtomicU8, Ordering};
use std::thread;
use std::time::Duration;

use base::ids::Tier;
use base::settings::{self, HumanDuration};
use bundle::{Bundle, Class, EnginePool, Targets, Workspace};
use demo::daemon::Daemon;
use entry::settings::SidecarInfo;
use standin::{FaultControl, Ledger, proxy};

/// Port of every daemon; each listens on a loopback address of its own.
const PORT: u16 = 7200;

/// Time that the daemons get to start listening.
const STARTUP_DELAY: Duration = Duration::from_millis(400);

/// Name of the only class and of the only model.
pub const CLASS: &str = "bench";

/// Bearer token of the first workspace.
pub const TOKEN: &str = "bench-token";

/// A latency target that no request misses.
const LOOSE_TARGET: HumanDuration = HumanDuration::secs(3600);

/// Number of testbeds started by this process, to give each its own addresses.
static TESTBEDS: AtomicU8 = AtomicU8::new(0);

/// Configuration of a testbed.
#[derive(Debug, Clone, Copy)]
pub struct TestbedConfig {
    /// Number of engines, each with a sidecar.
    pub engines: u8,
    /// Requests that an engine runs concurrently.
    pub slots: usize,
    /// Duration of one decoding step of an engine.
    pub step: HumanDuration,
}

/// A running testbed.
pub struct Testbed {
    /// Address of the entry.
    pub entry: SocketAddr,
    /// Address of the byte-counting proxy in front of the first sidecar.
    pub proxy: SocketAddr,
    /// Addresses of the engines.
    pub engines: Vec<SocketAddr>,
    /// Counts the bytes that pass between the entry and the sidecars.
    pub traffic: FaultControl<proxy::Faults>,
    hosts: Vec<Daemon>,
}

impl TestbedConfig {
    /// Starts the testbed and gives its daemons time to listen.
    #[must_use]
    pub fn start(self) -> Testbed {
        let [_, _, a, b] = std::process::id().to_be_bytes();
        let number = TESTBEDS.fetch_add(1, Ordering::Relaxed);
        let subnet = [a.wrapping_mul(7).wrapping_add(b).max(1), number];
        let addr = |role: u8, i: u8| {
            let ip = Ipv4Addr::new(127, subnet[0], subnet[1], role * 64 + i + 1);
            SocketAddr::new(IpAddr::V4(ip), PORT)
        };

        let traffic = FaultControl::new(proxy::Faults::default());
        let mut hosts = Vec::new();
        let mut known = Vec::new();
        for i in 0..self.engines {
            let (engine, sidecar, proxy) = (addr(1, i), addr(2, i), addr(3, i));
            hosts.push(self.start_engine(engine));
            hosts.push(self.start_sidecar(i, sidecar, engine));
            hosts.push(start_proxy(proxy, sidecar, traffic.clone()));
            known.push(SidecarInfo {
                name: format!("sidecar-{i}"),
                addr: proxy,
                zone: "a".to_owned(),
                serves: CLASS.to_owned(),
            });
        }
        hosts.push(start_entry(addr(0, 0), known));
        thread::sleep(STARTUP_DELAY);
        Testbed {
            entry: addr(0, 0),
            proxy: addr(3, 0),
            engines: (0..self.engines).map(|i| addr(1, i)).collect(),
            traffic,
            hosts,
        }
    }

    fn start_engine(self, listen: SocketAddr) -> Daemon {
        let text = format!(
            r#"{{ "listen": "{listen}", "slots": {}, "step": "{}", "extra": "0us" }}"#,
            self.slots, self.step
        );
        let engine: Option<standin::engine::Settings> = settings::parse("engine", &text).ok();
        Daemon::start("engine", move |stop| {
            let settings = engine.clone();
            async move {
                let settings = settings.ok_or_else(|| std::io::Error::other("bad settings"))?;
                standin::engine::run(settings, Ledger::default(), stop).await
            }
        })
    }

    fn start_sidecar(self, i: u8, listen: SocketAddr, engine: SocketAddr) -> Daemon {
        let text = format!(
            r#"{{ "name": "sidecar-{i}", "zone": "a", "listen": "{listen}", "log_level": "error",
                  "backend": {{ "engine": {{ "addr": "{engine}", "slots": {} }} }} }}"#,
            self.slots
        );
        let sidecar: Option<sidecar::Settings> = settings::parse("sidecar", &text).ok();
        Daemon::start("sidecar", move |stop| {
            let settings = sidecar.clone();
            async move {
                let settings = settings.ok_or_else(|| std::io::Error::other("bad settings"))?;
                sidecar::run(settings, stop).await
            }
        })
    }
}

impl Testbed {
    /// Stops all daemons at once, without draining.
    pub fn stop(self) {
        self.hosts.iter().for_each(Daemon::crash);
    }
}

fn start_proxy(
    listen: SocketAddr,
    target: SocketAddr,
    traffic: FaultControl<proxy::Faults>,
) -> Daemon {
    Daemon::start("link", move |stop| {
        proxy::run(listen, target, traffic.clone(), stop)
    })
}

fn start_entry(listen: SocketAddr, known: Vec<SidecarInfo>) -> Daemon {
    let text = format!(
        r#"{{ "name": "entry", "zone": "a", "listen": "{listen}", "log_level": "error", "seed": 1 }}"#
    );
    let parsed: Option<entry::Settings> = settings::parse("entry", &text).ok();
    Daemon::start("entry", move |stop| {
        let (settings, known) = (parsed.clone(), known.clone());
        async move {
            let mut settings = settings.ok_or_else(|| std::io::Error::other("bad settings"))?;
            settings.sidecars = known;
            entry::run(settings, Some(bundle(1)), stop).await
        }
    })
}

/// A bundle with one class and the given number of workspaces.
#[must_use]
pub fn bundle(workspaces: usize) -> Bundle {
    let mut bundle = Bundle::default();
    let class = Class {
        tier: Tier(0),
        targets: Targets {
            first_token: LOOSE_TARGET,
            token_gap: LOOSE_TARGET,
            full_answer: LOOSE_TARGET,
        },
        model: CLASS.to_owned(),
    };
    bundle.classes.insert(CLASS.to_owned(), class);
    bundle
        .models
        .insert(CLASS.to_owned(), EnginePool::default());
    for i in 0..workspaces {
        let token = match i {
            0 => TOKEN.to_owned(),
            i => format!("{TOKEN}-{i}"),
        };
        let workspace = Workspace {
            tokens: [bundle::token_hash(&token)].into(),
            classes: [CLASS.to_owned()].into(),
            weight: 1,
        };
        bundle
            .workspaces
            .insert(format!("workspace-{i:06}"), Arc::new(workspace));
    }
    bundle
}
