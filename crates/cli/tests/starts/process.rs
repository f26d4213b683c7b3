//! Starts the daemons as child processes, and holds the ports that they need.

use std::fs::File;
use std::io::{PipeWriter, Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU8, Ordering};
use std::thread;
use std::time::Duration;

use nix::sys::signal::{self, Signal};
use nix::unistd::Pid;
use serde_json::{Value, json};
use socket2::{Domain, SockAddr, Socket, Type};

/// Limit and interval of polling a condition: 30 s in total.
const MAX_POLLS: u32 = 1500;
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Limit for an answer on a connection.
const READ_TIMEOUT: Duration = Duration::from_secs(10);

/// Ports of the daemons; each process has its own loopback address.
const LISTEN: u16 = 7101;
const READY: u16 = 7102;
const GOSSIP: u16 = 7103;
const DUTIES: u16 = GOSSIP + 1;
const METRICS: u16 = 7105;
const GRANTS: u16 = 7106;
const OPERATORS: u16 = 7107;

/// A port of loopback addresses on which nobody listens.
const CLOSED: u16 = 1;

/// Polls a condition until it is met; the limit allows for a slow machine.
pub(crate) fn wait_until(what: &str, mut done: impl FnMut() -> bool) {
    for _ in 0..MAX_POLLS {
        if done() {
            return;
        }
        thread::sleep(POLL_INTERVAL);
    }
    panic!("timed out waiting: {what}");
}

/// The daemons.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Daemon {
    Forward,
    Admission,
    Entry,
    Sidecar,
}

impl Daemon {
    pub(crate) fn command(self) -> &'static str {
        match self {
            Self::Forward => "forward",
            Self::Admission => "admission",
            Self::Entry => "entry",
            Self::Sidecar => "sidecar",
        }
    }

    /// Settings for the address `ip`, with all optional ports.
    pub(crate) fn settings(self, ip: Ipv4Addr) -> Value {
        let addr = |port| SocketAddr::from((ip, port));
        match self {
            Self::Forward => json!({"name": "e", "zone": "a", "listen": addr(LISTEN),
                "ready": addr(READY), "ready_path": "/ready", "gossip": addr(GOSSIP),
                "metrics": addr(METRICS), "grants": addr(GRANTS), "store": addr(CLOSED),
                "grace_s": 3.0, "repeat_ratio": 0.2, "repeat_window_s": 10.0,
                "duties": {"platform": addr(CLOSED), "kinds": ["usage_report"]}}),
            Self::Admission => json!({"name": "s", "listen": addr(LISTEN),
                "metrics": addr(METRICS), "engine": addr(CLOSED)}),
            Self::Entry => json!({"name": "e", "zone": "z", "listen": addr(LISTEN),
                "operators": addr(OPERATORS), "sidecars": [
                    {"name": "s", "addr": addr(CLOSED), "zone": "z", "serves": "small"}]}),
            Self::Sidecar => json!({"name": "s", "zone": "z", "listen": addr(LISTEN),
                "operators": addr(OPERATORS),
                "backend": {"engine": {"addr": addr(CLOSED), "slots": 1}}}),
        }
    }
}

/// A port of a daemon.
#[derive(Debug, Clone, Copy)]
pub(crate) enum Port {
    Listen,
    ListenUdp,
    Ready,
    GossipUdp,
    GossipTcp,
    Duties,
    Metrics,
    Grants,
    Operators,
}

impl Port {
    fn number(self) -> u16 {
        match self {
            Self::Listen | Self::ListenUdp => LISTEN,
            Self::Ready => READY,
            Self::GossipUdp | Self::GossipTcp => GOSSIP,
            Self::Duties => DUTIES,
            Self::Metrics => METRICS,
            Self::Grants => GRANTS,
            Self::Operators => OPERATORS,
        }
    }

    fn is_udp(self) -> bool {
        matches!(
            self,
            Self::ListenUdp | Self::GossipUdp | Self::Duties | Self::Grants
        )
    }

    /// The key of the port in settings and log lines.
    fn key(self) -> &'static str {
        match self {
            Self::Listen | Self::ListenUdp => "listen",
            Self::Ready => "ready",
            Self::GossipUdp | Self::GossipTcp => "gossip",
            Self::Duties => "duties",
            Self::Metrics => "metrics",
            Self::Grants => "grants",
            Self::Operators => "operators",
        }
    }

    /// What the log lines about the port contain.
    pub(crate) fn log_fields(self, ip: Ipv4Addr) -> String {
        let transport = if self.is_udp() { "udp" } else { "tcp" };
        let (key, number) = (self.key(), self.number());
        format!("key={key} addr={ip}:{number} transport={transport}")
    }

    /// Holds the port as another program would: as the local port of an outgoing
    /// connection, or with a datagram socket.
    pub(crate) fn hold(self, ip: Ipv4Addr) -> HeldPort {
        let addr = SocketAddr::from((ip, self.number()));
        if self.is_udp() {
            let socket = UdpSocket::bind(addr).expect("cannot bind a port");
            return HeldPort::Datagrams(socket);
        }
        let peer = TcpListener::bind((ip, 0)).expect("cannot bind a listener");
        let to = peer.local_addr().expect("listener has no address");
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("cannot open a socket");
        socket
            .bind(&SockAddr::from(addr))
            .expect("cannot bind a port");
        socket.connect(&SockAddr::from(to)).expect("cannot connect");
        let (accepted, _) = peer.accept().expect("cannot accept");
        HeldPort::Connection(socket, accepted)
    }
}

/// A port in use by another program; dropping it frees the port.
pub(crate) enum HeldPort {
    Datagrams(#[expect(dead_code, reason = "held until it is dropped")] UdpSocket),
    Connection(
        Socket,
        #[expect(dead_code, reason = "held until it is dropped")] TcpStream,
    ),
}

impl Drop for HeldPort {
    fn drop(&mut self) {
        if let Self::Connection(socket, _) = self {
            // Closes with a reset, so that the port is not held by TIME_WAIT.
            socket
                .set_linger(Some(Duration::ZERO))
                .expect("cannot set the linger time");
        }
    }
}

/// Who reads the output of a process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Output {
    /// It goes to a file beside the settings, which stays after the test.
    Log,
    /// The readers have closed their ends.
    Closed,
}

/// A daemon that runs as a child process.
pub(crate) struct Process {
    child: Child,
    settings: PathBuf,
    pub(crate) daemon: Daemon,
    pub(crate) ip: Ipv4Addr,
}

impl Process {
    /// Starts a daemon with its usual settings.
    pub(crate) fn start(daemon: Daemon, ip: Ipv4Addr) -> Self {
        Self::start_with(daemon, ip, &daemon.settings(ip))
    }

    /// Starts a daemon with settings of a test.
    pub(crate) fn start_with(daemon: Daemon, ip: Ipv4Addr, settings: &Value) -> Self {
        let path = new_dir(daemon).join("settings.json");
        std::fs::write(&path, settings.to_string()).expect("cannot write the settings");
        Self::spawn(daemon, ip, path.clone(), &path, Output::Log)
    }

    /// Starts a daemon whose standard output and error nobody reads.
    pub(crate) fn start_unread(daemon: Daemon, ip: Ipv4Addr, settings: &Value) -> Self {
        let path = new_dir(daemon).join("settings.json");
        std::fs::write(&path, settings.to_string()).expect("cannot write the settings");
        Self::spawn(daemon, ip, path.clone(), &path, Output::Closed)
    }

    /// Starts a daemon that reads its settings from standard input.
    pub(crate) fn start_reading(daemon: Daemon, ip: Ipv4Addr) -> Self {
        let path = new_dir(daemon).join("settings.json");
        Self::spawn(daemon, ip, path, Path::new("/dev/stdin"), Output::Log)
    }

    fn spawn(
        daemon: Daemon,
        ip: Ipv4Addr,
        settings: PathBuf,
        argument: &Path,
        output: Output,
    ) -> Self {
        let mut command = Command::new(env!("CARGO_BIN_EXE_pimentocart"));
        command
            .arg(daemon.command())
            .arg("--settings")
            .arg(argument)
            .stdin(Stdio::piped());
        if daemon == Daemon::Entry {
            let bundle = settings.with_file_name("bundle.json");
            std::fs::write(&bundle, include_str!("../processes/bundle.json"))
                .expect("cannot write the bundle");
            command.arg("--bundle").arg(bundle);
        }
        match output {
            Output::Log => {
                let log = File::create(settings.with_file_name("log"));
                let log = log.expect("cannot open the log");
                let errors = log.try_clone().expect("cannot clone the log");
                command.stdout(log).stderr(errors);
            }
            Output::Closed => {
                command.stdout(closed_pipe()).stderr(closed_pipe());
            }
        }
        Self {
            child: command.spawn().expect("cannot start the program"),
            settings,
            daemon,
            ip,
        }
    }

    /// Replaces the settings file.
    pub(crate) fn write_settings(&self, text: &str) {
        std::fs::write(&self.settings, text).expect("cannot write the settings");
    }

    /// Writes to the standard input of the process.
    pub(crate) fn write(&mut self, text: &str) {
        let input = self.child.stdin.as_mut().expect("no standard input");
        input.write_all(text.as_bytes()).expect("cannot write");
    }

    /// Closes the standard input of the process.
    pub(crate) fn close_input(&mut self) {
        self.child.stdin.take();
    }

    pub(crate) fn signal(&self, signal: Signal) {
        let id = i32::try_from(self.child.id()).expect("process id out of range");
        signal::kill(Pid::from_raw(id), signal).expect("cannot signal the process");
    }

    pub(crate) fn running(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }

    /// Waits until the process has ended; returns its exit code, or `None` after a signal.
    pub(crate) fn wait(&mut self) -> Option<i32> {
        let mut status = None;
        wait_until("the process ends", || {
            status = self.child.try_wait().expect("cannot wait for the process");
            status.is_some()
        });
        status.and_then(|s| s.code())
    }

    /// The output of the process.
    pub(crate) fn output(&self) -> String {
        std::fs::read_to_string(self.settings.with_file_name("log")).expect("cannot read the log")
    }

    /// Waits until the process has written a line that contains all of `texts`.
    pub(crate) fn wait_for_line(&mut self, texts: &[&str]) {
        wait_until(&format!("a line with {texts:?}"), || {
            assert!(self.running(), "the process has ended: {}", self.output());
            let output = self.output();
            output.lines().any(|l| texts.iter().all(|t| l.contains(t)))
        });
    }

    /// Waits until the process does its work, as far as that shows without backend servers:
    /// daemons that speak HTTP answer a request, the others accept connections or report
    /// that they have started.
    pub(crate) fn wait_until_serving(&mut self) {
        match self.daemon {
            Daemon::Forward | Daemon::Entry => {
                wait_until("a request is answered", || self.answers(Port::Listen));
            }
            Daemon::Sidecar => wait_until("a connection is accepted", || {
                TcpStream::connect((self.ip, LISTEN)).is_ok()
            }),
            Daemon::Admission => self.wait_for_line(&["event=\"sidecar started\""]),
        }
    }

    /// Whether a port answers an HTTP request.
    pub(crate) fn answers(&self, port: Port) -> bool {
        let Ok(mut stream) = TcpStream::connect((self.ip, port.number())) else {
            return false;
        };
        let _ = stream.set_read_timeout(Some(READ_TIMEOUT));
        let _ = stream.write_all(b"GET /metrics HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
        let mut answer = String::new();
        let _ = stream.read_to_string(&mut answer);
        answer.starts_with("HTTP/1.1 ")
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// The writing end of a pipe whose reading end is closed.
fn closed_pipe() -> PipeWriter {
    let (reader, writer) = std::io::pipe().expect("cannot open a pipe");
    drop(reader);
    writer
}

/// A loopback address that no other process uses, so that all its ports are free.
pub(crate) fn unique_ip() -> Ipv4Addr {
    static COUNT: AtomicU8 = AtomicU8::new(1);
    let [_, _, a, b] = std::process::id().to_be_bytes();
    Ipv4Addr::new(127, a.max(1), b, COUNT.fetch_add(1, Ordering::SeqCst))
}

/// A new directory for the files of one process.
fn new_dir(daemon: Daemon) -> PathBuf {
    static COUNT: AtomicU8 = AtomicU8::new(0);
    let number = COUNT.fetch_add(1, Ordering::SeqCst);
    let name = format!(
        "pimentocart-start-{}-{}-{number}",
        std::process::id(),
        daemon.command()
    );
    let dir = std::env::temp_dir().join(name);
    std::fs::create_dir_all(&dir).expect("cannot create the directory");
    dir
}
