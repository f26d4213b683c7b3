//! A fleet's daemons and stand-ins, each on a thread and an address of its
//! own on loopback.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::time::Duration;

use base::ids::Offset;
use base::settings::HumanDuration;
use bundle::Bundle;
use clients::hosts::{Host as Listed, HostStatus, Role as Kind};
use entry::settings::{Drain, HostList, IdempotencyKeys, Routing, SidecarInfo};
use policy::queue::QueueSettings;
use sidecar::settings::Backend;
use standin::hosts::{self, Registry};
use standin::{FaultControl, Ledger, engine, plain, proxy};

use crate::arm::Arm;
use crate::changes::{self, Change};
use crate::fleet::{ENTRIES, EXTRA, Fleet, PLAINS, PREFILL, SLOTS};
use crate::host::Host;
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
    pub forwarded: bool,
    /// The platform's log, through which the bundle is published.
    pub rollout: Rollout,
    /// The first two numbers of all addresses.
    net: [u8; 2],
}

/// A fleet that runs.
pub struct Cluster {
    layout: Layout,
    /// The forwarder before the log, which counts bytes.
    log_link: (Host, FaultControl<proxy::Faults>),
    /// The entries.
    pub entries: Vec<Host>,
    /// The backend servers, model engines first.
    pub servers: Vec<Server>,
    /// The platform's list of hosts, and what really is there.
    pub hosts: (Host, Registry),
    /// The platform's log.
    pub log: Host,
    /// What the stand-ins saw.
    pub ledger: Ledger,
}

/// A backend server's host: the backend server and the sidecar beside it.
pub struct Server {
    /// The backend server.
    pub backend: Host,
    /// Its faults.
    pub faults: Faults,
    /// The sidecar.
    pub sidecar: Host,
    /// The forwarder before the sidecar, if there is one, and its faults.
    pub link: Option<(Host, FaultControl<proxy::Faults>)>,
    /// The forwarder before the backend server, if there is one.
    pub inner: Option<(Host, FaultControl<proxy::Faults>)>,
}

/// The faults of a backend server.
pub enum Faults {
    /// Of a model engine.
    Engine(FaultControl<engine::Faults>),
    /// Of a plain service.
    Plain(FaultControl<plain::Faults>),
}

/// The part of the addresses that a kind of daemon has.
#[derive(Debug, Clone, Copy)]
enum Role {
    Entry = 1,
    Sidecar = 2,
    Backend = 3,
    Link = 4,
    Inner = 5,
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
            forwarded: false,
            rollout: Rollout::new(addr(net, Role::Log, 0)),
            net,
        }
    }

    /// Where the entries listen.
    #[must_use]
    pub fn entries(&self) -> Vec<SocketAddr> {
        (0..ENTRIES).map(|i| self.addr(Role::Entry, i)).collect()
    }

    /// Starts every daemon and stand-in.
    #[must_use]
    pub fn start(self) -> Cluster {
        let ledger = Ledger::default();
        let log = self.rollout.start();
        let log_link = start_forwarder(self.addr(Role::LogLink, 0), self.rollout.log);
        let count = self.fleet.engines() + PLAINS;
        let hosts = self.start_hosts();
        let servers = (0..count).map(|i| self.start_server(i, &ledger)).collect();
        let entries = (0..ENTRIES).map(|i| self.start_entry(i)).collect();
        self.rollout.begin(&self.bundle, &self.daemons());
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

    fn start_hosts(&self) -> (Host, Registry) {
        let count = self.fleet.engines() + PLAINS;
        let sidecars = (0..count).map(|i| self.known(i)).map(|known| Listed {
            name: known.name,
            addr: known.addr,
            zone: known.zone,
            region: self.fleet.name().to_owned(),
            role: Kind::Sidecar,
            serves: known.serves,
            status: HostStatus::Live,
        });
        let registry = Registry::new(sidecars.collect());
        let settings = hosts::Settings {
            listen: self.addr(Role::Hosts, 0),
            hosts: Vec::new(),
            faults: hosts::Faults::default(),
        };
        let served = registry.clone();
        let host = Host::start("hosts", move |stop| {
            hosts::run(settings.clone(), served.clone(), stop)
        });
        (host, registry)
    }

    fn start_server(&self, i: u8, ledger: &Ledger) -> Server {
        let (backend, faults) = match i < self.fleet.engines() {
            true => self.start_engine(i, ledger.clone()),
            false => self.start_plain(i, ledger.clone()),
        };
        let forward = |from, to| {
            self.forwarded
                .then(|| start_forwarder(self.addr(from, i), self.addr(to, i)))
        };
        Server {
            backend,
            faults,
            sidecar: self.start_sidecar(i),
            link: forward(Role::Link, Role::Sidecar),
            inner: forward(Role::Inner, Role::Backend),
        }
    }

    fn start_engine(&self, i: u8, ledger: Ledger) -> (Host, Faults) {
        let settings = engine::Settings {
            listen: self.addr(Role::Backend, i),
            slots: SLOTS,
            step_time: self.fleet.step(),
            request_overhead: EXTRA,
            prefill_tokens: PREFILL,
            cache_tokens: 200_000,
            resume_window: HumanDuration::secs(5),
            faults: engine::Faults::default(),
        };
        let faults = FaultControl::new(settings.faults.clone());
        let control = faults.clone();
        let host = Host::start(&format!("engine-{i}"), move |stop| {
            engine::run_with(settings.clone(), control.clone(), ledger.clone(), stop)
        });
        (host, Faults::Engine(faults))
    }

    fn start_plain(&self, i: u8, ledger: Ledger) -> (Host, Faults) {
        let settings = plain::Settings {
            listen: self.addr(Role::Backend, i),
            call_duration: HumanDuration::ms(5),
            faults: plain::Faults::default(),
        };
        let faults = FaultControl::new(settings.faults.clone());
        let control = faults.clone();
        let host = Host::start(&format!("plain-{i}"), move |stop| {
            plain::run_with(settings.clone(), control.clone(), ledger.clone(), stop)
        });
        (host, Faults::Plain(faults))
    }

    fn start_sidecar(&self, i: u8) -> Host {
        let role = if self.forwarded {
            Role::Inner
        } else {
            Role::Backend
        };
        let addr = self.addr(role, i);
        let backend = match i < self.fleet.engines() {
            true => Backend::Engine { addr, slots: SLOTS },
            false => Backend::Plain {
                addr,
                slots: PLAIN_SLOTS,
                timeout: HumanDuration::secs(5),
            },
        };
        let known = self.known(i);
        let mut settings = sidecar::Settings {
            name: known.name.clone(),
            zone: known.zone,
            listen: self.addr(Role::Sidecar, i),
            operators: Some(self.operators(Role::Sidecar, i)),
            follow: Some(self.follow()),
            backend,
            hold_timeout: HumanDuration::ms(250),
            retention: HumanDuration::secs(10),
            drain_timeout: HumanDuration::secs(600),
            streams: sidecar::settings::StreamSettings::default(),
            orders: None,
            lease: HumanDuration::secs(5),
            retention_bytes: 16 << 20,
            queue: QueueSettings::default(),
            log_level: base::logging::Level::Warn,
        };
        self.arm.sidecar(&mut settings);
        Host::start(&known.name, move |stop| {
            sidecar::run(settings.clone(), stop)
        })
    }

    fn start_entry(&self, i: u8) -> Host {
        let name = format!("entry-{i}");
        let mut settings = entry::Settings {
            name: name.clone(),
            zone: self.fleet.zones()[usize::from(i)].to_owned(),
            listen: self.addr(Role::Entry, i),
            operators: Some(self.operators(Role::Entry, i)),
            follow: Some(self.follow()),
            sidecars: Vec::new(),
            host_list: HostList {
                list_addr: Some(self.addr(Role::Hosts, 0)),
                region: self.fleet.name().to_owned(),
                ..HostList::default()
            },
            drain: Drain {
                // The demo's callers go on to the next entry at once.
                linger: HumanDuration::ms(100),
                ..Drain::default()
            },
            fan_out: 2,
            routing: Routing::default(),
            keys: IdempotencyKeys::default(),
            comment_interval: HumanDuration::secs(5),
            body_limit: 4 << 20,
            seed: Some(self.seed + u64::from(i)),
            log_level: base::logging::Level::Warn,
        };
        self.arm.entry(&mut settings);
        Host::start(&name, move |stop| entry::run(settings.clone(), None, stop))
    }

    /// What daemons need to follow the log. They reach it through a forwarder
    /// that counts their bytes.
    fn follow(&self) -> follow::Settings {
        let mut settings = self.rollout.follow();
        settings.log = self.addr(Role::LogLink, 0);
        settings
    }

    /// A backend server's sidecar as entries know it.
    fn known(&self, i: u8) -> SidecarInfo {
        let serves = match i < self.fleet.engines() {
            true => self.fleet.model(),
            false => self.fleet.service(),
        };
        let role = if self.forwarded {
            Role::Link
        } else {
            Role::Sidecar
        };
        SidecarInfo {
            name: format!("sidecar-{i}"),
            addr: self.addr(role, i),
            zone: self.fleet.zones()[usize::from(i) % 3].to_owned(),
            serves: serves.to_owned(),
        }
    }

    fn addr(&self, role: Role, i: u8) -> SocketAddr {
        addr(self.net, role, i)
    }

    /// The operators' addresses of all daemons.
    fn daemons(&self) -> Vec<SocketAddr> {
        let count = self.fleet.engines() + PLAINS;
        let entries = (0..ENTRIES).map(|i| self.operators(Role::Entry, i));
        let sidecars = (0..count).map(|i| self.operators(Role::Sidecar, i));
        entries.chain(sidecars).collect()
    }

    /// The operators' address of a daemon.
    fn operators(&self, role: Role, i: u8) -> SocketAddr {
        SocketAddr::new(self.addr(role, i).ip(), OPERATORS_PORT)
    }
}

impl Cluster {
    /// Changes the bundle; says what became of that.
    #[must_use]
    pub fn change(&self, change: Change) -> String {
        let layout = &self.layout;
        changes::make(change, &layout.rollout, &layout.bundle, &layout.daemons())
    }

    /// Ends an entry gracefully and starts a fresh one in its place; says how
    /// soon that has the bundle in force.
    #[must_use]
    pub fn replace_entry(&self, i: u8) -> Option<String> {
        let host = self.entries.get(usize::from(i))?;
        host.end();
        host.begin();
        let fresh = self.layout.operators(Role::Entry, i);
        Some(changes::caught_up(fresh, &self.layout.daemons()))
    }

    /// What goes wrong with the log.
    #[must_use]
    pub fn log_faults(&self) -> &FaultControl<standin::log::Faults> {
        &self.layout.rollout.faults
    }

    /// What the daemons and the log cost each other in `seconds`, on one line.
    #[must_use]
    pub fn control(&self, seconds: f64) -> String {
        let bytes = self.log_link.1.get().forwarded_bytes.total() as f64;
        let daemons = self.layout.daemons().len() as f64;
        let appends = actix_rt::System::new().block_on(self.appends());
        format!(
            "log appends={appends} appends_per_second={:.2} bytes_per_second_per_daemon={:.0}",
            appends as f64 / seconds,
            bytes / seconds / daemons
        )
    }

    /// Records in the log's streams.
    async fn appends(&self) -> u64 {
        let log = clients::log::LogClient::new(self.layout.rollout.log);
        let mut all = 0;
        for stream in [follow::STREAM, claims::STREAM] {
            let page = log.read(stream, Offset(0), 1, Duration::ZERO).await;
            all += page.map_or(0, |page| page.end_offset.0);
        }
        all
    }

    /// Whose fleet it is.
    #[must_use]
    pub fn fleet(&self) -> Fleet {
        self.layout.fleet
    }

    /// Ends every daemon gracefully, callers' side first.
    pub fn end(self) {
        let stages: [Vec<&Host>; 3] = [
            self.entries.iter().collect(),
            self.servers.iter().map(|s| &s.sidecar).collect(),
            self.servers
                .iter()
                .flat_map(Server::outer)
                .chain([&self.hosts.0])
                .collect(),
        ];
        for stage in stages {
            stage.iter().for_each(|host| host.ask());
            stage.iter().for_each(|host| host.end());
        }
        self.log_link.0.end();
        self.log.end();
    }
}

impl Server {
    /// The stand-ins of the platform.
    fn outer(&self) -> Vec<&Host> {
        let forwarders = self.link.iter().chain(&self.inner);
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

fn start_forwarder(listen: SocketAddr, target: SocketAddr) -> (Host, FaultControl<proxy::Faults>) {
    let faults = FaultControl::new(proxy::Faults::default());
    let control = faults.clone();
    let host = Host::start("forwarder", move |stop| {
        proxy::run(listen, target, control.clone(), stop)
    });
    (host, faults)
}
