//! A small deployment: the platform's store and the entries that a case needs.

use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use crate::process::{self, Daemon};
use crate::store::Store;

/// A host with an entry.
#[derive(Debug, Clone, Copy)]
pub struct EntryHost {
    pub name: &'static str,
    pub host: &'static str,
    pub zone: &'static str,
}

pub struct Deployment {
    dir: PathBuf,
    pub store: Arc<Store>,
    store_addr: SocketAddr,
    hosts: Vec<EntryHost>,
    /// The first of the ports that all hosts use.
    ports: u16,
    pub entries: Vec<Daemon>,
    pub sidecars: Vec<Daemon>,
    /// Where the entries take requests.
    pub callers: Vec<SocketAddr>,
    /// Settings of the entries' duties, if there are any.
    pub duties: Option<String>,
    version: u64,
}

/// Offsets from the first port.
const GOSSIP: u16 = 0;
const GRANTS: u16 = 3;
const CALLERS: u16 = 4;
const READY: u16 = 5;

impl Deployment {
    pub fn start(dir: &Path, hosts: &[EntryHost]) -> io::Result<Self> {
        let (store, store_addr) = Store::start("127.0.0.1")?;
        let all: Vec<String> = (11..40).map(|n| format!("127.0.0.{n}")).collect();
        let all: Vec<&str> = all.iter().map(String::as_str).collect();
        let ports = process::free_ports(&all, 6);
        let ports = ports.ok_or_else(|| io::Error::other("no free ports"))?;
        Ok(Self {
            dir: dir.to_owned(),
            store,
            store_addr,
            hosts: hosts.to_vec(),
            ports,
            entries: Vec::new(),
            sidecars: Vec::new(),
            callers: Vec::new(),
            duties: None,
            version: 0,
        })
    }

    /// Writes a new version of the config with a tenant whose key is `key-1`.
    pub fn write_config(&mut self, routes: &str, services: &str) {
        self.version += 3;
        let version = self.version;
        let config = format!(
            "{{\"version\":{version},\"routes\":[{routes}],\"services\":[{services}],\
             \"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\
             \"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}},\
             \"tenants\":[{{\"name\":\"tenant-1\",\"api_keys\":[\"key-1\"],\"priority\":1}}]}}"
        );
        self.store.write("keyed.op", "config", &config);
    }

    /// Starts the entries and waits until they are ready.
    pub fn start_entries(&mut self) -> io::Result<()> {
        let seeds: Vec<String> = self
            .hosts
            .iter()
            .map(|h| self.quoted(h.host, GOSSIP))
            .collect();
        for EntryHost { name, host, zone } in self.hosts.clone() {
            let duties = self.duties.as_ref();
            let duties = duties.map_or(String::new(), |d| format!(",\"duties\":{d}"));
            let settings = format!(
                "{{\"name\":\"{name}\",\"zone\":\"{zone}\",\"listen\":{},\"ready\":{},\
                 \"ready_path\":\"/api/readiness\",\"gossip\":{},\"seeds\":[{}],\
                 \"first_start\":true,\"grants\":{},\"store\":\"{}\",\"backups\":true,\
                 \"moves\":true,\"link_mbps\":1000.0,\"grace_s\":8,\"repeat_ratio\":0.2,\
                 \"repeat_window_s\":10,\"repeat_slack\":52{duties}}}",
                self.quoted(host, CALLERS),
                self.quoted(host, READY),
                self.quoted(host, GOSSIP),
                seeds.join(","),
                self.quoted(host, GRANTS),
                self.store_addr,
            );
            self.entries
                .push(Daemon::start(&self.dir, "forward", name, &settings)?);
            self.callers.push(self.addr(host, CALLERS)?);
        }
        for host in self.hosts.clone() {
            let ready = self.addr(host.host, READY)?;
            if !process::wait_ready(ready, Duration::from_secs(10)) {
                return Err(io::Error::other(format!("{} is not ready", host.name)));
            }
        }
        Ok(())
    }

    /// Starts the sidecar of the engine at `engine`, on its host.
    pub fn start_sidecar(&mut self, engine: SocketAddr) -> io::Result<()> {
        let name = format!("side-{}", engine.ip());
        let listen = format!("\"{}:{}\"", engine.ip(), self.ports + GRANTS);
        let settings = format!(
            "{{\"name\":\"{name}\",\"listen\":{listen},\"engine\":\"{engine}\",\
             \"paced_streams\":true,\"fair_shares\":true}}"
        );
        self.sidecars
            .push(Daemon::start(&self.dir, "admission", &name, &settings)?);
        Ok(())
    }

    /// Whether no program has ended by itself.
    pub fn all_running(&mut self) -> bool {
        let mut all = self.entries.iter_mut().chain(&mut self.sidecars);
        all.all(Daemon::is_running)
    }

    fn addr(&self, host: &str, offset: u16) -> io::Result<SocketAddr> {
        let addr = format!("{host}:{}", self.ports + offset);
        addr.parse().map_err(io::Error::other)
    }

    fn quoted(&self, host: &str, offset: u16) -> String {
        format!("\"{host}:{}\"", self.ports + offset)
    }
}

/// The time of day in milliseconds.
pub fn unix_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |d| d.as_millis() as u64)
}
