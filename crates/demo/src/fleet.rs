//! The two users' fleets, in the sizes of the brief.

use std::collections::{BTreeMap, BTreeSet};
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::str::FromStr;

use base::ids::Tier;
use base::settings::Span;
use base::stop::Stop;
use bundle::{Bundle, Class, Pool, Service, Targets, Workspace};
use entry::settings::{Known, Routing};
use load::Mix;
use load::arrivals::Flow;
use serde::{Deserialize, Serialize};
use sidecar::settings::Backend;
use standin::Ledger;

use crate::host::Host;

/// Port on which every daemon listens, each on an address of its own.
const PORT: u16 = 7100;

/// Port of every daemon's operators' address.
const OPERATORS_PORT: u16 = 7101;

/// Requests that an engine runs at once.
const SLOTS: usize = 8;

/// One of the two users' fleets.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Fleet {
    /// School meals in Dakar.
    Teranga,
    /// A marketplace of designers in San José.
    Tallerazul,
}

impl FromStr for Fleet {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text {
            "teranga" => Ok(Self::Teranga),
            "tallerazul" => Ok(Self::Tallerazul),
            _ => Err(format!("no fleet {text:?}; expected teranga or tallerazul")),
        }
    }
}

impl Fleet {
    fn name(self) -> &'static str {
        match self {
            Self::Teranga => "teranga",
            Self::Tallerazul => "tallerazul",
        }
    }

    fn zones(self) -> [&'static str; 3] {
        match self {
            Self::Teranga => ["plateau", "almadies", "rufisque"],
            Self::Tallerazul => ["heredia-a", "escazu-b", "cartago-c"],
        }
    }

    fn engines(self) -> u8 {
        match self {
            Self::Teranga => 18,
            Self::Tallerazul => 12,
        }
    }

    fn step(self) -> Span {
        match self {
            Self::Teranga => Span::ms(3),
            Self::Tallerazul => Span::ms(4),
        }
    }

    fn model(self) -> &'static str {
        match self {
            Self::Teranga => "dossier-8b",
            Self::Tallerazul => "brief-8b",
        }
    }

    fn service(self) -> &'static str {
        match self {
            Self::Teranga => "messaging",
            Self::Tallerazul => "marketplace",
        }
    }

    /// Name, tier, requests a second, prompt, answer and first-token target
    /// of each class.
    fn classes(self) -> [(&'static str, u8, f64, f64, f64, u64); 3] {
        match self {
            Self::Teranga => [
                ("counter", 0, 40.0, 60.0, 60.0, 300),
                ("summary", 1, 20.0, 300.0, 120.0, 1000),
                ("dossier", 2, 20.0, 1500.0, 150.0, 4000),
            ],
            Self::Tallerazul => [
                ("proposal", 0, 20.0, 200.0, 100.0, 400),
                ("brief", 1, 10.0, 2000.0, 150.0, 2000),
                ("feedback", 2, 10.0, 600.0, 80.0, 4000),
            ],
        }
    }
}

/// A fleet laid out on loopback, with its bundle and its load.
pub struct Plan {
    fleet: Fleet,
    /// The first two numbers of all addresses.
    net: [u8; 2],
    /// The bundle in force.
    pub bundle: Bundle,
    /// The load.
    pub mix: Mix,
}

impl Plan {
    /// Lays out a fleet.
    #[must_use]
    pub fn new(fleet: Fleet, seed: u64, seconds: f64) -> Self {
        // Each process has a part of loopback of its own, so that several
        // demos can run side by side.
        let [_, _, a, b] = std::process::id().to_be_bytes();
        Self {
            fleet,
            net: [127, a.wrapping_add(b).max(1)],
            bundle: bundle(fleet),
            mix: mix(fleet, seed, seconds),
        }
    }

    /// Where the entries listen.
    #[must_use]
    pub fn entries(&self) -> Vec<SocketAddr> {
        (0..2).map(|i| self.addr(1, i)).collect()
    }

    /// Starts every daemon and stand-in.
    #[must_use]
    pub fn start(&self, ledger: &Ledger, stop: &Stop) -> Vec<Host> {
        let mut hosts = Vec::new();
        let mut known = Vec::new();
        for i in 0..self.fleet.engines() + 3 {
            known.push(self.known(i));
            hosts.push(self.start_backend(i, ledger.clone(), stop.clone()));
            hosts.push(self.start_sidecar(i, stop.clone()));
        }
        for i in 0..2 {
            hosts.push(self.start_entry(i, known.clone(), stop.clone()));
        }
        hosts
    }

    fn start_backend(&self, i: u8, ledger: Ledger, stop: Stop) -> Host {
        let listen = self.addr(3, i);
        if i >= self.fleet.engines() {
            let settings = standin::plain::Settings {
                listen,
                work: Span::ms(5),
            };
            return Host::start("plain", move || standin::plain::run(settings, ledger, stop));
        }
        let settings = standin::engine::Settings {
            listen,
            slots: SLOTS,
            step: self.fleet.step(),
            extra: Span::from_str("50us").unwrap_or_default(),
            prefill: 1024,
        };
        Host::start("engine", move || {
            standin::engine::run(settings, ledger, stop)
        })
    }

    fn start_sidecar(&self, i: u8, stop: Stop) -> Host {
        let known = self.known(i);
        let addr = self.addr(3, i);
        let backend = match i < self.fleet.engines() {
            true => Backend::Engine { addr, slots: SLOTS },
            false => Backend::Plain {
                addr,
                slots: 16,
                timeout: Span::secs(5),
            },
        };
        let settings = sidecar::Settings {
            name: known.name.clone(),
            zone: known.zone,
            listen: known.addr,
            operators: Some(self.operators(2, i)),
            backend,
            hold: Span::ms(250),
            keep: Span::secs(10),
            drain_limit: Span::secs(600),
            kept_bytes: 16 << 20,
            queue: Default::default(),
            log_level: base::logging::Level::Warn,
        };
        Host::start(&known.name, move || sidecar::run(settings, stop))
    }

    fn start_entry(&self, i: u8, sidecars: Vec<Known>, stop: Stop) -> Host {
        let name = format!("entry-{i}");
        let settings = entry::Settings {
            name: name.clone(),
            zone: self.fleet.zones()[usize::from(i)].to_owned(),
            listen: self.addr(1, i),
            operators: Some(self.operators(1, i)),
            sidecars,
            roster: entry::settings::Roster::default(),
            // No balancer stands before the demo's entries.
            drain: entry::settings::Drain {
                linger: Span::ms(0),
                ..Default::default()
            },
            fan: 2,
            routing: Routing::default(),
            body_limit: 4 << 20,
            seed: Some(self.mix.seed + u64::from(i)),
            log_level: base::logging::Level::Warn,
        };
        let bundle = self.bundle.clone();
        Host::start(&name, move || entry::run(settings, bundle, stop))
    }

    fn known(&self, i: u8) -> Known {
        let engine = i < self.fleet.engines();
        let serves = if engine {
            self.fleet.model()
        } else {
            self.fleet.service()
        };
        Known {
            name: format!("sidecar-{i}"),
            addr: self.addr(2, i),
            zone: self.fleet.zones()[usize::from(i) % 3].to_owned(),
            serves: serves.to_owned(),
        }
    }

    fn addr(&self, role: u8, i: u8) -> SocketAddr {
        let ip = Ipv4Addr::new(self.net[0], self.net[1], role, i + 1);
        SocketAddr::new(IpAddr::V4(ip), PORT)
    }

    /// The operators' address of a daemon.
    fn operators(&self, role: u8, i: u8) -> SocketAddr {
        SocketAddr::new(self.addr(role, i).ip(), OPERATORS_PORT)
    }
}

fn token(class: &str) -> String {
    format!("demo-token-{class}")
}

fn bundle(fleet: Fleet) -> Bundle {
    let mut bundle = Bundle::default();
    for (name, tier, _, _, _, first) in fleet.classes() {
        let targets = targets(first);
        let class = Class {
            tier: Tier(tier),
            targets,
            model: fleet.model().to_owned(),
        };
        bundle.classes.insert(name.to_owned(), class);

        let hash = bundle::token_hash(&token(name));
        let workspace = Workspace {
            tokens: BTreeSet::from([hash]),
            classes: BTreeSet::from([name.to_owned()]),
            weight: 1,
        };
        bundle
            .workspaces
            .insert(format!("workspace-{name}"), workspace);
    }
    bundle
        .models
        .insert(fleet.model().to_owned(), Pool::default());
    let class = fleet.classes()[0].0.to_owned();
    let service = Service {
        class,
        repeatable: false,
    };
    bundle.services.insert(fleet.service().to_owned(), service);
    bundle
}

fn targets(first_ms: u64) -> Targets {
    Targets {
        first_token: Span::ms(first_ms),
        token_gap: Span::ms(43),
        whole: Span::ms(first_ms + 20_000),
    }
}

fn mix(fleet: Fleet, seed: u64, seconds: f64) -> Mix {
    let mut classes = BTreeMap::new();
    for (name, tier, rate, prompt, answer, first) in fleet.classes() {
        let flow = Flow {
            tier,
            rate,
            prompt,
            answer,
            spread: 0.7,
            token: token(name),
            first_ms: first as f64,
            gap_ms: 43.0,
            whole_ms: first as f64 + 20_000.0,
        };
        classes.insert(name.to_owned(), flow);
    }
    Mix {
        fleet: fleet.name().to_owned(),
        seed,
        seconds,
        classes,
    }
}
