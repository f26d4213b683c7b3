//! A fleet's daemons and stand-ins, each on its own thread and loopback
//! address.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::time::Duration;

use base::ids::Offset;
use base::settings::HumanDuration;
use bundle::Bundle;
use clients::hosts::{Host as ListedHost, HostStatus, Role as HostRole};
use entry::settings::{Drain, HostList, IdempotencyKeys, Routing, SidecarInfo};
use policy::queue::QueueSettings;
use sidecar::settings::Backend;
use standin::hosts::{self, Registry};
use standin::{FaultControl, Ledger, engine, plain, proxy};

use crate::arm::Arm;
use crate::changes::{self, Change};
use crate::daemon::Daemon;
use crate::fleet::{
    ENGINE_SLOTS, ENTRY_COUNT, Fleet, PLAIN_SERVERS, PREFILL_TOKENS, STEP_PER_REQUEST,
};
use crate::rollout::Rollout;

/// Port on which every daemon listens; their addresses differ.
const PORT: u16 = 7100;

/// Port of every daemon's operators' endpoints.
const OPERATORS_PORT: u16 = 7101;

/// Number of concurrent calls of a plain service.
const PLAIN_SLOTS: usize = 16;

/// The configuration of a fleet.
#[derive(Debug, Clone)]
pub struct Layout {
    /// The user's fleet.
    pub fleet: Fleet,
    /// The bundle published at the start.
    pub bundle: Bundle,
    /// Seed of the daemons' random choices.
    pub seed: u64,
    /// The routing policy.
    pub arm: Arm,
    /// Whether sidecars and backend servers are reached through forwarders
    /// that can silence their connections.
    pub needs_forwarders: bool,
    /// The platform's log, through which the bundle is published.
    pub rollout: Rollout,
    /// The first two octets of all addresses.
    subnet: [u8; 2],
}

/// A running fleet.
pub struct Cluster {
    layout: Layout,
    /// The forwarder in front of the log, which counts bytes.
    log_link: (Daemon, FaultControl<proxy::Faults>),
    /// The entries.
    pub entries: Vec<Daemon>,
    /// The backend servers, model engines first.
    pub servers: Vec<Server>,
    /// The platform's list of hosts, and the registry that it serves.
    pub hosts: (Daemon, Registry),
    /// The platform's log.
    pub log: Daemon,
    /// The requests that the stand-ins ran.
    pub ledger: Ledger,
}

/// A backend server's host: the backend server and its sidecar.
pub struct Server {
    /// The backend server.
    pub backend: Daemon,
    /// The control of its faults.
    pub faults: Faults,
    /// The sidecar.
    pub sidecar: Daemon,
    /// The forwarder in front of the sidecar, if there is one, and its faults.
    pub sidecar_link: Option<(Daemon, FaultControl<proxy::Faults>)>,
    /// The forwarder in front of the backend server, if there is one, and its
    /// faults.
    pub backend_link: Option<(Daemon, FaultControl<proxy::Faults>)>,
}

/// The control of a backend server's faults.
pub enum Faults {
    /// Faults of a model engine.
    Engine(FaultControl<engine::Faults>),
    /// Faults of a plain service.
    Plain(FaultControl<plain::Faults>),
}

/// The kinds of daemons; the number is the third octet of their addresses.
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
    /// Configures a fleet with the shipped policy.
    #[must_use]
    pub fn new(fleet: Fleet, bundle: Bundle, seed: u64) -> Self {
        // Each process uses its own subnet of loopback, so that several demos
        // can run at the same time.
        let [_, _, a, b] = std::process::id().to_be_bytes();
        let subnet = [127, a.wrapping_add(b).max(1)];
        Self {
            fleet,
            bundle,
            seed,
            arm: Arm::default(),
            needs_forwarders: false,
            rollout: Rollout::new(addr(subnet, Role::Log, 0)),
            subnet,
        }
    }

    /// Addresses at which the entries listen.
    #[must_use]
    pub fn entries(&self) -> Vec<SocketAddr> {
        (0..ENTRY_COUNT)
            .map(|i| self.addr(Role::Entry, i))
            .collect()
    }

    /// Starts all daemons and stand-ins, publishes the bundle and waits until
    /// the daemons are ready.
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
            .map(|record| ListedHost {
                name: record.name,
                addr: record.addr,
                zone: record.zone,
                region: self.fleet.name().to_owned(),
                role: HostRole::Sidecar,
                serves: record.serves,
                status: HostStatus::Live,
            });
        let registry = Registry::new(sidecars.collect());
        let settings = hosts::Settings {
            listen: self.addr(Role::Hosts, 0),
            hosts: Vec::new(),
            faults: hosts::Faults::default(),
        };
        let served = registry.clone();
        let daemon = Daemon::start("hosts", move |stop| {
            hosts::run(settings.clone(), served.clone(), stop)
        });
        (daemon, registry)
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
            step_time: self.fleet.step_time(),
            request_overhead: STEP_PER_REQUEST,
            prefill_tokens: PREFILL_TOKENS,
            cache_tokens: 200_000,
            resume_window: HumanDuration::secs(5),
            faults: engine::Faults::default(),
        };
        let faults = FaultControl::new(settings.faults.clone());
        let control = faults.clone();
        let daemon = Daemon::start(&format!("engine-{i}"), move |stop| {
            engine::run_with(settings.clone(), control.clone(), ledger.clone(), stop)
        });
        (daemon, Faults::Engine(faults))
    }

    fn start_plain(&self, i: u8, ledger: Ledger) -> (Daemon, Faults) {
        let settings = plain::Settings {
            listen: self.addr(Role::Backend, i),
            call_duration: HumanDuration::ms(5),
            faults: plain::Faults::default(),
        };
        let faults = FaultControl::new(settings.faults.clone());
        let control = faults.clone();
        let daemon = Daemon::start(&format!("plain-{i}"), move |stop| {
            plain::run_with(settings.clone(), control.clone(), ledger.clone(), stop)
        });
        (daemon, Faults::Plain(faults))
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
        let record = self.sidecar_record(i);
        let mut settings = sidecar::Settings {
            name: record.name.clone(),
            zone: record.zone,
            listen: self.addr(Role::Sidecar, i),
            operators: Some(self.operators_addr(Role::Sidecar, i)),
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
        self.arm.configure_sidecar(&mut settings);
        Daemon::start(&record.name, move |stop| {
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
            host_list: HostList {
                list_addr: Some(self.addr(Role::Hosts, 0)),
                region: self.fleet.name().to_owned(),
                ..HostList::default()
            },
            drain: Drain {
                // The load generator tries the next entry at once, so the
                // entry need not linger for a slow load balancer.
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
        self.arm.configure_entry(&mut settings);
        Daemon::start(&name, move |stop| entry::run(settings.clone(), None, stop))
    }

    /// The daemons' settings for following the log, which they reach through
    /// a forwarder that counts their bytes.
    fn follow(&self) -> follow::Settings {
        let mut settings = self.rollout.follow_settings();
        settings.log = self.addr(Role::LogLink, 0);
        settings
    }

    /// A backend server's sidecar as listed for the entries.
    fn sidecar_record(&self, i: u8) -> SidecarInfo {
        let serves = match i < self.fleet.engine_count() {
            true => self.fleet.model(),
            false => self.fleet.service(),
        };
        let role = if self.needs_forwarders {
            Role::SidecarLink
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
        addr(self.subnet, role, i)
    }

    /// The operators' addresses of all entries and sidecars.
    fn operators_addrs(&self) -> Vec<SocketAddr> {
        let count = self.fleet.engine_count() + PLAIN_SERVERS;
        let entries = (0..ENTRY_COUNT).map(|i| self.operators_addr(Role::Entry, i));
        let sidecars = (0..count).map(|i| self.operators_addr(Role::Sidecar, i));
        entries.chain(sidecars).collect()
    }

    /// The operators' address of one daemon.
    fn operators_addr(&self, role: Role, i: u8) -> SocketAddr {
        SocketAddr::new(self.addr(role, i).ip(), OPERATORS_PORT)
    }
}

impl Cluster {
    /// Changes the bundle and returns one line about the result.
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

    /// Stops an entry gracefully and starts a new one in its place. Returns one
    /// line with the time until that applies the newest bundle.
    #[must_use]
    pub fn replace_entry(&self, i: u8) -> Option<String> {
        let daemon = self.entries.get(usize::from(i))?;
        daemon.stop();
        daemon.restart();
        let operators = self.layout.operators_addr(Role::Entry, i);
        Some(changes::wait_for_catch_up(
            operators,
            &self.layout.operators_addrs(),
        ))
    }

    /// The control of the log's faults.
    #[must_use]
    pub fn log_faults(&self) -> &FaultControl<standin::log::Faults> {
        &self.layout.rollout.faults
    }

    /// The traffic between daemons and log over `seconds`, on one line.
    #[must_use]
    pub fn control_traffic(&self, seconds: f64) -> String {
        let bytes = self.log_link.1.get().forwarded_bytes.total() as f64;
        let daemons = self.layout.operators_addrs().len() as f64;
        let appends = actix_rt::System::new().block_on(self.count_appends());
        format!(
            "log appends={appends} appends_per_second={:.2} bytes_per_second_per_daemon={:.0}",
            appends as f64 / seconds,
            bytes / seconds / daemons
        )
    }

    /// The number of records in the log's streams.
    async fn count_appends(&self) -> u64 {
        let log = clients::log::LogClient::new(self.layout.rollout.log);
        let mut all = 0;
        for stream in [follow::STREAM, claims::STREAM] {
            let page = log.read(stream, Offset(0), 1, Duration::ZERO).await;
            all += page.map_or(0, |page| page.end_offset.0);
        }
        all
    }

    /// The user's fleet that runs.
    #[must_use]
    pub fn fleet(&self) -> Fleet {
        self.layout.fleet
    }

    /// Stops all daemons gracefully: entries first, then sidecars, then the
    /// stand-ins, so that requests in progress can complete.
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
            stage.iter().for_each(|daemon| daemon.request_stop());
            stage.iter().for_each(|daemon| daemon.stop());
        }
        self.log_link.0.stop();
        self.log.stop();
    }
}

impl Server {
    /// The backend server and the forwarders.
    fn backend_side(&self) -> Vec<&Daemon> {
        let forwarders = self.sidecar_link.iter().chain(&self.backend_link);
        forwarders
            .map(|(daemon, _)| daemon)
            .chain([&self.backend])
            .collect()
    }
}

fn addr(subnet: [u8; 2], role: Role, i: u8) -> SocketAddr {
    let ip = Ipv4Addr::new(subnet[0], subnet[1], role as u8, i + 1);
    SocketAddr::new(IpAddr::V4(ip), PORT)
}

fn start_forwarder(
    listen: SocketAddr,
    target: SocketAddr,
) -> (Daemon, FaultControl<proxy::Faults>) {
    let faults = FaultControl::new(proxy::Faults::default());
    let control = faults.clone();
    let daemon = Daemon::start("forwarder", move |stop| {
        proxy::run(listen, target, control.clone(), stop)
    });
    (daemon, faults)
}
