//! A fleet's daemons and stand-ins, each on a thread and an address of its
//! own on loopback.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::time::Duration;

use base::ids::Offset;
use base::settings::HumanDuration;
use bundle::Bundle;
use clients::hosts::{Host as Listed, Role as Kind, Standing};
use entry::settings::{Drain, Keys, Known, Roster, Routing};
use policy::queue::QueueSettings;
use sidecar::settings::Backend;
use standin::hosts::{self, Registry};
use standin::{Control, Ledger, engine, plain, silence};

use crate::arm::Arm;
use crate::changes::{self, Change};
use crate::daemon::Daemon;
use crate::fleet::{
    ENGINE_SLOTS, ENTRY_COUNT, Fleet, PLAIN_SERVERS, PREFILL_TOKENS, STEP_PER_REQUEST,
};
use crate::rollout::Rollout;

/// Port on which every daemon listens, each on an address of its own.
const PORT: u16 = 7100;

/// Port of every daemon's operators' address.
const OPERATORS_PORT: u16 = 7101;

/// Calls that a plain service takes at once.
const PLAIN_SLOTS: usize = 16;

/// How a fleet is laid out.
#[derive(Debug, Clone)]
pub struct Layout {
    /// Whose fleet.
    pub fleet: Fleet,
    /// The bundle in force.
    pub bundle: Bundle,
    /// Seed of the daemons' random choices.
    pub seed: u64,
    /// The router's policy.
    pub arm: Arm,
    /// Whether entries and sidecars are reached through forwarders whose
    /// connections can go silent.
    pub needs_forwarders: bool,
    /// The platform's log, through which the bundle is published.
    pub rollout: Rollout,
    /// The first two numbers of all addresses.
    subnet: [u8; 2],
}

/// A fleet that runs.
pub struct Cluster {
    layout: Layout,
    /// The forwarder before the log, which counts bytes.
    log_link: (Daemon, Control<silence::Faults>),
    /// The entries.
    pub entries: Vec<Daemon>,
    /// The backend servers, model engines first.
    pub servers: Vec<Server>,
    /// The platform's list of hosts, and what really is there.
    pub hosts: (Daemon, Registry),
    /// The platform's log.
    pub log: Daemon,
    /// What the stand-ins saw.
    pub ledger: Ledger,
}

/// A backend server's host: the backend server and the sidecar beside it.
pub struct Server {
    /// The backend server.
    pub backend: Daemon,
    /// Its faults.
    pub faults: Faults,
    /// The sidecar.
    pub sidecar: Daemon,
    /// The forwarder before the sidecar, if there is one, and its faults.
    pub sidecar_link: Option<(Daemon, Control<silence::Faults>)>,
    /// The forwarder before the backend server, if there is one.
    pub backend_link: Option<(Daemon, Control<silence::Faults>)>,
}

/// The faults of a backend server.
pub enum Faults {
    /// Of a model engine.
    Engine(Control<engine::Faults>),
    /// Of a plain service.
    Plain(Control<plain::Faults>),
}

/// The part of the addresses that a kind of daemon has.
#[derive(Debug, Clone, Copy)]
enum Role {
    Entry = 1,
    Sidecar = 2,
    Backend = 3,
    SidecarLink = 4,
    BackendLink = 5,
    Log = 6,
    LogLink = 7,
    Hosts = 8,
}

impl Layout {
    /// Lays out a fleet.
    #[must_use]
    pub fn new(fleet: Fleet, bundle: Bundle, seed: u64) -> Self {
        // Each process has a part of loopback of its own, so that several
        // demos can run side by side.
        let [_, _, a, b] = std::process::id().to_be_bytes();
        let net = [127, a.wrapping_add(b).max(1)];
        Self {
            fleet,
            bundle,
            seed,
            arm: Arm::default(),
            needs_forwarders: false,
            rollout: Rollout::new(addr(net, Role::Log, 0)),
            subnet: net,
        }
    }

    /// Where the entries listen.
    #[must_use]
    pub fn entries(&self) -> Vec<SocketAddr> {
        (0..ENTRY_COUNT)
            .map(|i| self.addr(Role::Entry, i))
            .collect()
    }

    /// Starts every daemon and stand-in.
    #[must_use]
    pub fn start(self) -> Cluster {
        let ledger = Ledger::default();
        let log = self.rollout.start();
        let log_link = start_forwarder(self.addr(Role::LogLink, 0), self.rollout.log);
        let count = self.fleet.engine_count() + PLAIN_SERVERS;
        let hosts = self.start_hosts();
        let servers = (0..count).map(|i| self.start_server(i, &ledger)).collect();
        let entries = (0..ENTRY_COUNT).map(|i| self.start_entry(i)).collect();
        self.rollout
            .publish_initial(&self.bundle, &self.operators_addrs());
        Cluster {
            layout: self,
            log,
            log_link,
            entries,
            servers,
            hosts,
            ledger,
        }
    }

    fn start_hosts(&self) -> (Daemon, Registry) {
        let count = self.fleet.engine_count() + PLAIN_SERVERS;
        let sidecars = (0..count)
            .map(|i| self.sidecar_record(i))
            .map(|known| Listed {
                name: known.name,
                addr: known.addr,
                zone: known.zone,
                region: self.fleet.name().to_owned(),
                role: Kind::Sidecar,
                serves: known.serves,
                standing: Standing::Live,
            });
        let registry = Registry::new(sidecars.collect());
        let settings = hosts::Settings {
            listen: self.addr(Role::Hosts, 0),
            hosts: Vec::new(),
            faults: hosts::Faults::default(),
        };
        let served = registry.clone();
        let host = Daemon::start("hosts", move |stop| {
            hosts::run(settings.clone(), served.clone(), stop)
        });
        (host, registry)
    }

    fn start_server(&self, i: u8, ledger: &Ledger) -> Server {
        let (backend, faults) = match i < self.fleet.engine_count() {
            true => self.start_engine(i, ledger.clone()),
            false => self.start_plain(i, ledger.clone()),
        };
        let forward = |from, to| {
            self.needs_forwarders
                .then(|| start_forwarder(self.addr(from, i), self.addr(to, i)))
        };
        Server {
            backend,
            faults,
            sidecar: self.start_sidecar(i),
            sidecar_link: forward(Role::SidecarLink, Role::Sidecar),
            backend_link: forward(Role::BackendLink, Role::Backend),
        }
    }

    fn start_engine(&self, i: u8, ledger: Ledger) -> (Daemon, Faults) {
        let settings = engine::Settings {
            listen: self.addr(Role::Backend, i),
            slots: ENGINE_SLOTS,
            step: self.fleet.step_time(),
            extra: STEP_PER_REQUEST,
            prefill: PREFILL_TOKENS,
            cache: 200_000,
            keep: HumanDuration::secs(5),
            faults: engine::Faults::default(),
        };
        let faults = Control::new(settings.faults.clone());
        let control = faults.clone();
        let host = Daemon::start(&format!("engine-{i}"), move |stop| {
            engine::run_with(settings.clone(), control.clone(), ledger.clone(), stop)
        });
        (host, Faults::Engine(faults))
    }

    fn start_plain(&self, i: u8, ledger: Ledger) -> (Daemon, Faults) {
        let settings = plain::Settings {
            listen: self.addr(Role::Backend, i),
            work: HumanDuration::ms(5),
            faults: plain::Faults::default(),
        };
        let faults = Control::new(settings.faults.clone());
        let control = faults.clone();
        let host = Daemon::start(&format!("plain-{i}"), move |stop| {
            plain::run_with(settings.clone(), control.clone(), ledger.clone(), stop)
        });
        (host, Faults::Plain(faults))
    }

    fn start_sidecar(&self, i: u8) -> Daemon {
        let role = if self.needs_forwarders {
            Role::BackendLink
        } else {
            Role::Backend
        };
        let addr = self.addr(role, i);
        let backend = match i < self.fleet.engine_count() {
            true => Backend::Engine {
                addr,
                slots: ENGINE_SLOTS,
            },
            false => Backend::Plain {
                addr,
                slots: PLAIN_SLOTS,
                timeout: HumanDuration::secs(5),
            },
        };
        let known = self.sidecar_record(i);
        let mut settings = sidecar::Settings {
            name: known.name.clone(),
            zone: known.zone,
            listen: self.addr(Role::Sidecar, i),
            operators: Some(self.operators_addr(Role::Sidecar, i)),
            follow: Some(self.follow()),
            backend,
            hold: HumanDuration::ms(250),
            keep: HumanDuration::secs(10),
            drain_limit: HumanDuration::secs(600),
            streams: sidecar::settings::Streams::default(),
            orders: None,
            lease: HumanDuration::secs(5),
            kept_bytes: 16 << 20,
            queue: QueueSettings::default(),
            log_level: base::logging::Level::Warn,
        };
        self.arm.configure_sidecar(&mut settings);
        Daemon::start(&known.name, move |stop| {
            sidecar::run(settings.clone(), stop)
        })
    }

    fn start_entry(&self, i: u8) -> Daemon {
        let name = format!("entry-{i}");
        let mut settings = entry::Settings {
            name: name.clone(),
            zone: self.fleet.zones()[usize::from(i)].to_owned(),
            listen: self.addr(Role::Entry, i),
            operators: Some(self.operators_addr(Role::Entry, i)),
            follow: Some(self.follow()),
            sidecars: Vec::new(),
            roster: Roster {
                hosts: Some(self.addr(Role::Hosts, 0)),
                region: self.fleet.name().to_owned(),
                ..Roster::default()
            },
            drain: Drain {
                // The demo's callers go on to the next entry at once.
                linger: HumanDuration::ms(100),
                ..Drain::default()
            },
            fan: 2,
            routing: Routing::default(),
            keys: Keys::default(),
            comment: HumanDuration::secs(5),
            body_limit: 4 << 20,
            seed: Some(self.seed + u64::from(i)),
            log_level: base::logging::Level::Warn,
        };
        self.arm.configure_entry(&mut settings);
        Daemon::start(&name, move |stop| entry::run(settings.clone(), None, stop))
    }

    /// What daemons need to follow the log. They reach it through a forwarder
    /// that counts their bytes.
    fn follow(&self) -> follow::Settings {
        let mut settings = self.rollout.follow_settings();
        settings.log = self.addr(Role::LogLink, 0);
        settings
    }

    /// A backend server's sidecar as entries know it.
    fn sidecar_record(&self, i: u8) -> Known {
        let serves = match i < self.fleet.engine_count() {
            true => self.fleet.model(),
            false => self.fleet.service(),
        };
        let role = if self.needs_forwarders {
            Role::SidecarLink
        } else {
            Role::Sidecar
        };
        Known {
            name: format!("sidecar-{i}"),
            addr: self.addr(role, i),
            zone: self.fleet.zones()[usize::from(i) % 3].to_owned(),
            serves: serves.to_owned(),
        }
    }

    fn addr(&self, role: Role, i: u8) -> SocketAddr {
        addr(self.subnet, role, i)
    }

    /// The operators' addresses of all daemons.
    fn operators_addrs(&self) -> Vec<SocketAddr> {
        let count = self.fleet.engine_count() + PLAIN_SERVERS;
        let entries = (0..ENTRY_COUNT).map(|i| self.operators_addr(Role::Entry, i));
        let sidecars = (0..count).map(|i| self.operators_addr(Role::Sidecar, i));
        entries.chain(sidecars).collect()
    }

    /// The operators' address of a daemon.
    fn operators_addr(&self, role: Role, i: u8) -> SocketAddr {
        SocketAddr::new(self.addr(role, i).ip(), OPERATORS_PORT)
    }
}

impl Cluster {
    /// Changes the bundle; says what became of that.
    #[must_use]
    pub fn apply_change(&self, apply_change: Change) -> String {
        let layout = &self.layout;
        changes::apply_change(
            apply_change,
            &layout.rollout,
            &layout.bundle,
            &layout.operators_addrs(),
        )
    }

    /// Ends an entry gracefully and starts a fresh one in its place; says how
    /// soon that has the bundle in force.
    #[must_use]
    pub fn replace_entry(&self, i: u8) -> Option<String> {
        let host = self.entries.get(usize::from(i))?;
        host.stop();
        host.restart();
        let fresh = self.layout.operators_addr(Role::Entry, i);
        Some(changes::wait_for_catch_up(
            fresh,
            &self.layout.operators_addrs(),
        ))
    }

    /// What goes wrong with the log.
    #[must_use]
    pub fn log_faults(&self) -> &Control<standin::log::Faults> {
        &self.layout.rollout.faults
    }

    /// What the daemons and the log cost each other in `seconds`, on one line.
    #[must_use]
    pub fn control_traffic(&self, seconds: f64) -> String {
        let bytes = self.log_link.1.get().bytes.total() as f64;
        let daemons = self.layout.operators_addrs().len() as f64;
        let appends = actix_rt::System::new().block_on(self.count_appends());
        format!(
            "log appends={appends} appends_per_second={:.2} bytes_per_second_per_daemon={:.0}",
            appends as f64 / seconds,
            bytes / seconds / daemons
        )
    }

    /// Records in the log's streams.
    async fn count_appends(&self) -> u64 {
        let log = clients::log::Log::new(self.layout.rollout.log);
        let mut all = 0;
        for stream in [follow::STREAM, claims::STREAM] {
            let page = log.read(stream, Offset(0), 1, Duration::ZERO).await;
            all += page.map_or(0, |page| page.end.0);
        }
        all
    }

    /// Whose fleet it is.
    #[must_use]
    pub fn fleet(&self) -> Fleet {
        self.layout.fleet
    }

    /// Ends every daemon gracefully, callers' side first.
    pub fn stop(self) {
        let stages: [Vec<&Daemon>; 3] = [
            self.entries.iter().collect(),
            self.servers.iter().map(|s| &s.sidecar).collect(),
            self.servers
                .iter()
                .flat_map(Server::backend_side)
                .chain([&self.hosts.0])
                .collect(),
        ];
        for stage in stages {
            stage.iter().for_each(|host| host.request_stop());
            stage.iter().for_each(|host| host.stop());
        }
        self.log_link.0.stop();
        self.log.stop();
    }
}

impl Server {
    /// The stand-ins of the platform.
    fn backend_side(&self) -> Vec<&Daemon> {
        let forwarders = self.sidecar_link.iter().chain(&self.backend_link);
        forwarders
            .map(|(host, _)| host)
            .chain([&self.backend])
            .collect()
    }
}

fn addr(net: [u8; 2], role: Role, i: u8) -> SocketAddr {
    let ip = Ipv4Addr::new(net[0], net[1], role as u8, i + 1);
    SocketAddr::new(IpAddr::V4(ip), PORT)
}

fn start_forwarder(listen: SocketAddr, target: SocketAddr) -> (Daemon, Control<silence::Faults>) {
    let faults = Control::new(silence::Faults::default());
    let control = faults.clone();
    let host = Daemon::start("forwarder", move |stop| {
        silence::run(listen, target, control.clone(), stop)
    });
    (host, faults)
}
