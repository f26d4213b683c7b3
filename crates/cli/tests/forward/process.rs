//! The daemons as processes of their own.

use std::io::{Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream, ToSocketAddrs, UdpSocket};
use std::ops::{Deref, DerefMut};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU8, Ordering};

use nix::sys::signal::{self, Signal};
use nix::unistd::Pid;
use serde_json::json;

use crate::caller::PATIENCE;
use crate::platform::{ENGINES, until};

/// The ports of an entry, on its own address.
const LISTEN: u16 = 7101;
const READY: u16 = 7102;
const GOSSIP: u16 = 7103;

/// A daemon as a process.
pub(crate) struct Process {
    child: Option<Child>,
    verb: &'static str,
    settings: PathBuf,
}

impl Process {
    fn start(verb: &'static str, name: &str, settings: &serde_json::Value) -> Self {
        let dir = std::env::temp_dir().join(format!("pimentocart-{}-{name}", std::process::id()));
        std::fs::create_dir_all(&dir).expect("a folder");
        let path = dir.join("settings.json");
        std::fs::write(&path, settings.to_string()).expect("settings");
        let mut process = Self {
            child: None,
            verb,
            settings: path,
        };
        process.restart();
        process
    }

    /// Starts the process again; the one before has ended.
    pub(crate) fn restart(&mut self) {
        let mut command = Command::new(env!("CARGO_BIN_EXE_pimentocart"));
        let command = command.args([self.verb, "--settings"]).arg(&self.settings);
        // What ends a process early is said there and nowhere else.
        let command = command.stdout(Stdio::null()).stderr(Stdio::inherit());
        self.child = Some(command.spawn().expect("the program starts"));
    }

    pub(crate) fn signal(&self, signal: Signal) {
        let child = self.child.as_ref().expect("it runs");
        let id = i32::try_from(child.id()).expect("a process id");
        signal::kill(Pid::from_raw(id), signal).expect("the process is there");
    }

    /// Waits until the process has ended; returns its exit code.
    pub(crate) fn wait(&mut self) -> Option<i32> {
        let mut child = self.child.take().expect("it runs");
        let mut status = None;
        until("the process ends", || {
            status = child.try_wait().expect("the process is ours");
            status.is_some()
        });
        status.and_then(|s| s.code())
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

/// Starts a sidecar beside the engines; returns it and its port, which is the
/// entries' too.
pub(crate) fn sidecar(name: &str) -> (Process, u16) {
    let socket = UdpSocket::bind((ENGINES, 0)).expect("a port");
    let listen = socket.local_addr().expect("an address");
    let settings = json!({"name": name, "listen": listen, "engine": (ENGINES, 1)
        .to_socket_addrs().expect("an address").next(), "report_every": "50ms"});
    drop(socket);
    (Process::start("admission", name, &settings), listen.port())
}

/// The entry as a process.
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
    /// Starts an entry; `grants` is the sidecars' port, if there are any.
    pub(crate) fn start(name: &str, store: SocketAddr, grants: Option<u16>) -> Self {
        Self::start_at(own_ip(), name, store, grants)
    }

    /// Starts an entry while somebody else, for whom the listener stands, has
    /// the port at which its neighbours would ask.
    pub(crate) fn start_without_port(name: &str, store: SocketAddr) -> (Self, TcpListener) {
        let ip = own_ip();
        let tables = TcpListener::bind((ip, GOSSIP)).expect("a port");
        (Self::start_at(ip, name, store, None), tables)
    }

    fn start_at(ip: Ipv4Addr, name: &str, store: SocketAddr, grants: Option<u16>) -> Self {
        let addr = |port| SocketAddr::from((ip, port));
        let (listen, ready) = (addr(LISTEN), addr(READY));
        let settings = json!({"name": name, "zone": "a", "listen": listen, "ready": ready,
            "ready_path": "/ready", "gossip": addr(GOSSIP), "grants": grants.map(addr),
            "store": store, "grace_s": 6.0, "repeat_ratio": 0.2, "repeat_window_s": 10.0,
            "ask_every": "100ms"});
        Self {
            process: Process::start("forward", name, &settings),
            listen,
            ready,
        }
    }

    /// Whether it says that it is ready.
    pub(crate) fn ready(&self) -> bool {
        self.operators("/ready").starts_with("HTTP/1.1 200")
    }

    /// A number of what it believes.
    pub(crate) fn status(&self, name: &str) -> u64 {
        let answer = self.operators("/status");
        let body = answer.split_once("\r\n\r\n").map_or("", |(_, body)| body);
        let status: serde_json::Value = serde_json::from_str(body).unwrap_or_default();
        status[name].as_u64().unwrap_or(0)
    }

    /// What it answers operators; nothing while it does not.
    fn operators(&self, path: &str) -> String {
        let mut answer = String::new();
        if let Ok(mut stream) = TcpStream::connect(self.ready) {
            let _ = stream.set_read_timeout(Some(PATIENCE));
            let head = format!("GET {path} HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
            let _ = stream.write_all(head.as_bytes());
            let _ = stream.read_to_string(&mut answer);
        }
        answer
    }

    pub(crate) fn at(&self) -> SocketAddr {
        self.listen
    }
}

/// A loopback address of one entry's own, where no port is taken. A port that
/// was free a moment ago may belong to another test by the time it is used.
fn own_ip() -> Ipv4Addr {
    static COUNT: AtomicU8 = AtomicU8::new(0);
    let [_, _, a, b] = std::process::id().to_be_bytes();
    let number = COUNT.fetch_add(1, Ordering::SeqCst) % 250 + 1;
    Ipv4Addr::new(127, a.max(1), b, number)
}
