//! Starts the daemons as child processes.

use std::fs::File;
use std::io::{Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream, ToSocketAddrs, UdpSocket};
use std::ops::{Deref, DerefMut};
use std::path::PathBuf;
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};

use nix::sys::signal::{self, Signal};
use nix::unistd::Pid;
use serde_json::json;

use crate::caller::READ_TIMEOUT;
use crate::platform::{ENGINE_HOST, wait_until};

/// Ports of an entry; each entry has its own loopback address.
const LISTEN: u16 = 7101;
const READY: u16 = 7102;
const GOSSIP: u16 = 7103;
const GRANTS: u16 = 7108;
const METRICS: u16 = 7109;

/// Memory of the hosts of deployed entries, in megabytes.
pub(crate) const ENTRY_MEMORY_MB: usize = 110;

/// Number of addresses that entries use in turn.
const ENTRY_HOSTS: u32 = 250;

/// A daemon that runs as a child process. It writes its log to a file beside its
/// settings, which stays after the test.
pub(crate) struct Process {
    child: Option<Child>,
    subcommand: &'static str,
    settings: PathBuf,
    /// Soft limit on its descriptors, if it is not that of the test.
    soft_fds: Option<u32>,
}

impl Process {
    fn start(subcommand: &'static str, name: &str, settings: &serde_json::Value) -> Self {
        Self::start_with_fds(subcommand, name, settings, None)
    }

    fn start_with_fds(
        subcommand: &'static str,
        name: &str,
        settings: &serde_json::Value,
        soft_fds: Option<u32>,
    ) -> Self {
        let dir = std::env::temp_dir().join(format!("pimentocart-{}-{name}", std::process::id()));
        std::fs::create_dir_all(&dir).expect("cannot create the directory");
        let path = dir.join("settings.json");
        std::fs::write(&path, settings.to_string()).expect("cannot write the settings");
        let mut process = Self {
            child: None,
            subcommand,
            settings: path,
            soft_fds,
        };
        process.restart();
        process
    }

    /// Starts the process again after the previous one has ended.
    pub(crate) fn restart(&mut self) {
        let program = env!("CARGO_BIN_EXE_pimentocart");
        let mut command = match self.soft_fds {
            Some(fds) => {
                let mut shell = Command::new("sh");
                let limit = format!("ulimit -S -n {fds}; exec \"$0\" \"$@\"");
                shell.args(["-c", limit.as_str(), program]);
                shell
            }
            None => Command::new(program),
        };
        let command = command
            .args([self.subcommand, "--settings"])
            .arg(&self.settings);
        let log = self.settings.with_file_name("log");
        let log = File::options().create(true).append(true).open(log);
        // A startup error is printed to stderr only.
        let command = command
            .stdout(log.expect("cannot open the log"))
            .stderr(Stdio::inherit());
        self.child = Some(command.spawn().expect("cannot start the program"));
    }

    pub(crate) fn signal(&self, signal: Signal) {
        let child = self.child.as_ref().expect("process is not running");
        let id = i32::try_from(child.id()).expect("process id out of range");
        signal::kill(Pid::from_raw(id), signal).expect("cannot signal the process");
    }

    /// Waits until the process has ended; returns its exit code.
    pub(crate) fn wait(&mut self) -> Option<i32> {
        let mut child = self.child.take().expect("process is not running");
        let mut status = None;
        wait_until("the process ends", || {
            status = child.try_wait().expect("cannot wait for the process");
            status.is_some()
        });
        status.and_then(|s| s.code())
    }

    /// Its process ID; `None` once its end was noticed.
    pub(crate) fn id(&self) -> Option<u32> {
        self.child.as_ref().map(Child::id)
    }

    /// How it has ended; `None` while it runs and once its end was noticed.
    pub(crate) fn ended(&mut self) -> Option<ExitStatus> {
        let child = self.child.as_mut()?;
        let status = child.try_wait().expect("cannot wait for the process");
        self.child.take_if(|_| status.is_some());
        status
    }

    /// Gives up the running process, so that its successor can start beside it.
    pub(crate) fn detach(&mut self) -> Option<Child> {
        self.child.take()
    }

    /// Number of lines of its log, over all starts, that contain `text`.
    pub(crate) fn log_lines(&self, text: &str) -> usize {
        let log = std::fs::read_to_string(self.settings.with_file_name("log"));
        let log = log.expect("cannot read the log");
        log.lines().filter(|line| line.contains(text)).count()
    }

    /// The most memory that the process has had resident since its start, in bytes.
    pub(crate) fn peak_memory(&self) -> usize {
        let child = self.child.as_ref().expect("process is not running");
        let status = std::fs::read_to_string(format!("/proc/{}/status", child.id()));
        let status = status.expect("cannot read the process status");
        memory_peak(&status).expect("process status has no peak")
    }

    pub(crate) fn running(&mut self) -> bool {
        let child = self.child.as_mut();
        child.is_some_and(|c| matches!(c.try_wait(), Ok(None)))
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        if let Some(child) = &mut self.child {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

/// The peak of resident memory in bytes in the status file of a process.
pub(crate) fn memory_peak(status: &str) -> Option<usize> {
    let peak = status.lines().find_map(|l| l.strip_prefix("VmHWM:"))?;
    let kilobytes: usize = peak.trim().strip_suffix(" kB")?.parse().ok()?;
    Some(kilobytes << 10)
}

/// Starts a sidecar beside the engines; returns it and its port, which the
/// entries must use on their own addresses too.
pub(crate) fn sidecar(name: &str) -> (Process, u16) {
    let socket = UdpSocket::bind((ENGINE_HOST, 0)).expect("cannot bind a port");
    let listen = socket.local_addr().expect("socket has no address");
    let settings = json!({"name": name, "listen": listen, "engine": (ENGINE_HOST, 1)
        .to_socket_addrs().expect("socket has no address").next(), "report_every": "50ms"});
    drop(socket);
    (Process::start("admission", name, &settings), listen.port())
}

/// Waits until all entries are ready. The platform restarts every process that has ended,
/// including one that exits only now due to an earlier SIGTERM.
pub(crate) fn wait_all_ready(entries: &mut [Entry]) {
    wait_until("all entries are ready again", || {
        for entry in &mut *entries {
            if !entry.running() {
                entry.wait();
                entry.restart();
            }
        }
        entries.iter().all(Entry::ready)
    });
}

/// An entry that runs as a child process.
pub(crate) struct Entry {
    process: Process,
    listen: SocketAddr,
    ready: SocketAddr,
}

impl Deref for Entry {
    type Target = Process;

    fn deref(&self) -> &Process {
        &self.process
    }
}

impl DerefMut for Entry {
    fn deref_mut(&mut self) -> &mut Process {
        &mut self.process
    }
}

impl Entry {
    /// Starts an entry; `grants` is the port of the sidecars, if there are any.
    pub(crate) fn start(name: &str, store: SocketAddr, grants: Option<u16>) -> Self {
        Self::start_at(unique_ip(), name, store, grants)
    }

    /// Starts an entry with this grace period and interval of the readiness probes.
    pub(crate) fn start_with_grace(
        name: &str,
        store: SocketAddr,
        grace_s: f64,
        probe_interval: &str,
    ) -> Self {
        let ip = unique_ip();
        let mut settings = settings(ip, name, store, None);
        settings["grace_s"] = grace_s.into();
        settings["ask_every"] = probe_interval.into();
        Self::start_with(ip, name, &settings)
    }

    /// Starts an entry that moves streams and has engines copy them.
    pub(crate) fn start_with_copies(name: &str, store: SocketAddr) -> Self {
        let ip = unique_ip();
        let mut settings = settings(ip, name, store, None);
        settings["moves"] = true.into();
        settings["backups"] = true.into();
        Self::start_with(ip, name, &settings)
    }

    /// Starts an entry that may use this much memory, in megabytes, and this number of
    /// descriptors.
    pub(crate) fn start_limited(name: &str, store: SocketAddr, memory: u32, fds: u32) -> Self {
        let ip = unique_ip();
        let mut settings = settings(ip, name, store, None);
        settings["memory_mb"] = memory.into();
        settings["max_fds"] = fds.into();
        Self::start_with(ip, name, &settings)
    }

    /// Starts an entry with this soft limit on its descriptors.
    pub(crate) fn start_with_fds(name: &str, store: SocketAddr, fds: u32) -> Self {
        let ip = unique_ip();
        let settings = settings(ip, name, store, None);
        let process = Process::start_with_fds("forward", name, &settings, Some(fds));
        Self::at(ip, process)
    }

    /// Starts an entry whose settings name this number of descriptors, with another soft
    /// limit.
    pub(crate) fn start_with_promised_fds(
        name: &str,
        store: SocketAddr,
        promised: u32,
        fds: u32,
    ) -> Self {
        let ip = unique_ip();
        let mut settings = settings(ip, name, store, None);
        settings["max_fds"] = promised.into();
        let process = Process::start_with_fds("forward", name, &settings, Some(fds));
        Self::at(ip, process)
    }

    /// Starts an entry while the returned listener holds the port on which the
    /// entry would serve its peers.
    pub(crate) fn start_with_peer_port_taken(name: &str, store: SocketAddr) -> (Self, TcpListener) {
        let ip = unique_ip();
        let listener = TcpListener::bind((ip, GOSSIP)).expect("cannot bind a port");
        (Self::start_at(ip, name, store, None), listener)
    }

    fn start_at(ip: Ipv4Addr, name: &str, store: SocketAddr, grants: Option<u16>) -> Self {
        Self::start_with(ip, name, &settings(ip, name, store, grants))
    }

    fn start_with(ip: Ipv4Addr, name: &str, settings: &serde_json::Value) -> Self {
        Self::at(ip, Process::start("forward", name, settings))
    }

    fn at(ip: Ipv4Addr, process: Process) -> Self {
        Self {
            process,
            listen: SocketAddr::from((ip, LISTEN)),
            ready: SocketAddr::from((ip, READY)),
        }
    }

    /// Whether the readiness check succeeds.
    pub(crate) fn ready(&self) -> bool {
        self.get_status_page("/ready").starts_with("HTTP/1.1 200")
    }

    /// A number from the entry's status report; 0 if it is not available.
    pub(crate) fn status(&self, name: &str) -> u64 {
        let answer = self.get_status_page("/status");
        let body = answer.split_once("\r\n\r\n").map_or("", |(_, body)| body);
        let status: serde_json::Value = serde_json::from_str(body).unwrap_or_default();
        status[name].as_u64().unwrap_or(0)
    }

    /// Sends a GET request to the operators' address; returns the response, or
    /// an empty string if there is none.
    fn get_status_page(&self, path: &str) -> String {
        let mut answer = String::new();
        if let Ok(mut stream) = TcpStream::connect(self.ready) {
            let _ = stream.set_read_timeout(Some(READ_TIMEOUT));
            let head = format!("GET {path} HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
            let _ = stream.write_all(head.as_bytes());
            let _ = stream.read_to_string(&mut answer);
        }
        answer
    }

    pub(crate) fn addr(&self) -> SocketAddr {
        self.listen
    }

    /// The address of the readiness page and the status.
    pub(crate) fn operators(&self) -> SocketAddr {
        self.ready
    }

    /// The address on which the entry receives datagrams of other entries.
    pub(crate) fn gossip(&self) -> SocketAddr {
        SocketAddr::new(self.listen.ip(), GOSSIP)
    }
}

/// Starts an entry with the settings of a deployment; returns it with the TCP ports and the
/// UDP ports that it needs.
pub(crate) fn deployed_entry(
    name: &str,
    store: SocketAddr,
    grace_s: f64,
) -> (Entry, [Vec<SocketAddr>; 2]) {
    let ip = unique_ip();
    let mut settings = settings(ip, name, store, Some(GRANTS));
    let addr = |port| SocketAddr::from((ip, port));
    let deployed = json!({"metrics": addr(METRICS), "moves": true, "backups": true,
        "link_mbps": 1000.0, "store_writes_per_s": 400.0, "repeat_slack": 54.0,
        "grace_s": grace_s, "ask_every": "1s", "memory_mb": ENTRY_MEMORY_MB, "max_fds": 4100});
    for (key, value) in deployed.as_object().expect("an object") {
        settings[key] = value.clone();
    }
    let ports = [
        [LISTEN, READY, METRICS].map(addr).into(),
        [GOSSIP, GRANTS].map(addr).into(),
    ];
    (Entry::start_with(ip, name, &settings), ports)
}

/// Starts a sidecar with the settings of a deployment beside the engine at `engine`;
/// returns it with the TCP ports and the UDP ports that it needs.
pub(crate) fn deployed_sidecar(
    name: &str,
    engine: SocketAddr,
) -> (Box<Process>, [Vec<SocketAddr>; 2]) {
    let [listen, metrics] = [GRANTS, METRICS].map(|port| SocketAddr::new(engine.ip(), port));
    let settings = json!({"name": name, "listen": listen, "engine": engine,
        "paced_streams": true, "fair_shares": true, "metrics": metrics});
    let process = Process::start("admission", name, &settings);
    (Box::new(process), [vec![metrics], vec![listen]])
}

/// The settings of an entry.
fn settings(ip: Ipv4Addr, name: &str, store: SocketAddr, grants: Option<u16>) -> serde_json::Value {
    let addr = |port| SocketAddr::from((ip, port));
    json!({"name": name, "zone": "a", "listen": addr(LISTEN), "ready": addr(READY),
        "ready_path": "/ready", "gossip": addr(GOSSIP), "grants": grants.map(addr),
        "store": store, "grace_s": 6.0, "repeat_ratio": 0.2, "repeat_window_s": 10.0,
        "ask_every": "100ms"})
}

/// A loopback address that no other entry uses, so that all its ports are free.
/// On a shared address, another test could take a free port before it is used.
pub(crate) fn unique_ip() -> Ipv4Addr {
    static COUNT: AtomicU32 = AtomicU32::new(0);
    let number = COUNT.fetch_add(1, Ordering::SeqCst) % ENTRY_HOSTS + 1;
    own_ip(u8::try_from(number).expect("number out of range"))
}

/// A loopback address of this process.
pub(crate) fn own_ip(number: u8) -> Ipv4Addr {
    let [_, _, a, b] = std::process::id().to_be_bytes();
    Ipv4Addr::new(127, a.max(1), b, number)
}
