//! An entry and sidecars as processes, before stand-ins inside the test.

use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::atomic::{AtomicU8, Ordering};
use std::thread;
use std::time::Duration;

use demo::daemon::Daemon;
use nix::sys::signal::{self, Signal};
use nix::unistd::Pid;
use serde_json::{Value, json};
use standin::Ledger;

/// Numbers the fleets of this process, for addresses of their own.
static FLEETS: AtomicU8 = AtomicU8::new(1);

/// How often a condition is looked at, and the pause between.
const TRIES: u32 = 1500;
const PAUSE: Duration = Duration::from_millis(20);

const PORT: u16 = 7100;

/// A fleet of `count` engines with a sidecar process each, and one entry
/// process.
pub(crate) struct Fleet {
    net: [u8; 2],
    dir: PathBuf,
    pub(crate) ledger: Ledger,
    hosts: Vec<Daemon>,
    pub(crate) entry: Process,
    pub(crate) sidecars: Vec<Process>,
}

/// One daemon that runs as a process of its own.
pub(crate) struct Process(Child);

impl Process {
    /// Starts a daemon of this build.
    pub(crate) fn start(args: &[&str]) -> Self {
        let mut command = Command::new(env!("CARGO_BIN_EXE_pimentocart"));
        let command = command
            .args(args)
            .stdout(Stdio::null())
            .stderr(Stdio::null());
        Self(command.spawn().expect("the program starts"))
    }

    /// Sends a signal.
    pub(crate) fn signal(&self, signal: Signal) {
        let id = i32::try_from(self.0.id()).expect("a process id");
        signal::kill(Pid::from_raw(id), signal).expect("the process is there");
    }

    /// Waits until the process has ended.
    pub(crate) fn wait(&mut self) -> ExitStatus {
        let mut status = None;
        until("the process ends", || {
            status = self.0.try_wait().expect("the process is ours");
            status.is_some()
        });
        status.expect("the process ended")
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        // It may have ended by itself.
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

impl Fleet {
    /// Starts everything and waits until it listens.
    pub(crate) fn start(name: &str, count: u8) -> Self {
        let [_, _, a, b] = std::process::id().to_be_bytes();
        let net = [
            a.wrapping_mul(37).wrapping_add(b).max(1),
            FLEETS.fetch_add(1, Ordering::Relaxed),
        ];
        let dir = PathBuf::from(env!("CARGO_TARGET_TMPDIR"))
            .join(format!("{name}-{}", std::process::id()));
        std::fs::create_dir_all(&dir).expect("the folder can be made");

        let ledger = Ledger::default();
        let hosts = (0..count).flat_map(|i| backends(net, i, &ledger)).collect();
        let sidecars = (0..count).flat_map(|i| sidecars(net, &dir, i)).collect();
        let entry = entry(net, &dir, count);
        let fleet = Self {
            net,
            dir,
            ledger,
            hosts,
            entry,
            sidecars,
        };
        for i in 0..count {
            for role in [2, 3, 4, 5] {
                until_listening(addr(net, role, i));
            }
        }
        until_listening(fleet.at_entry());
        fleet
    }

    /// Where callers reach the entry.
    pub(crate) fn at_entry(&self) -> SocketAddr {
        addr(self.net, 1, 0)
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        self.hosts.iter().for_each(Daemon::request_stop);
        self.hosts.drain(..).for_each(|host| host.stop());
        // Left over files do no harm.
        let _ = std::fs::remove_dir_all(&self.dir);
    }
}

fn addr(net: [u8; 2], role: u8, i: u8) -> SocketAddr {
    let ip = Ipv4Addr::new(127, net[0], net[1], role * 16 + i);
    SocketAddr::new(IpAddr::V4(ip), PORT)
}

fn parse<T: serde::de::DeserializeOwned>(value: Value) -> T {
    serde_json::from_value(value).expect("the settings are sound")
}

/// The stand-ins of one host: an engine and a plain service.
fn backends(net: [u8; 2], i: u8, ledger: &Ledger) -> [Daemon; 2] {
    let settings: standin::engine::Settings =
        parse(json!({ "listen": addr(net, 4, i), "step": "5ms" }));
    let seen = ledger.clone();
    let engine = Daemon::start("engine", move |stop| {
        standin::engine::run(settings.clone(), seen.clone(), stop)
    });
    let settings: standin::plain::Settings =
        parse(json!({ "listen": addr(net, 5, i), "work": "300ms" }));
    let seen = ledger.clone();
    let plain = Daemon::start("plain", move |stop| {
        standin::plain::run(settings.clone(), seen.clone(), stop)
    });
    [engine, plain]
}

/// The sidecars of one host: of its engine and of its plain service.
fn sidecars(net: [u8; 2], dir: &std::path::Path, i: u8) -> [Process; 2] {
    let backend = |role: u8| match role {
        2 => json!({ "engine": { "addr": addr(net, 4, i), "slots": 4 } }),
        _ => json!({ "plain": { "addr": addr(net, 5, i), "slots": 4, "timeout": "5s" } }),
    };
    [2, 3].map(|role| {
        let settings = json!({
            "name": format!("s{role}-{i}"), "zone": "z", "listen": addr(net, role, i),
            "backend": backend(role),
        });
        let path = write(dir, &format!("sidecar-{role}-{i}.json"), &settings);
        Process::start(&["sidecar", "--settings", &path])
    })
}

fn entry(net: [u8; 2], dir: &std::path::Path, count: u8) -> Process {
    let known = |role: u8, i: u8, serves: &str| json!({ "name": format!("s{role}-{i}"), "addr": addr(net, role, i), "zone": "z", "serves": serves });
    let sidecars: Vec<_> = (0..count)
        .flat_map(|i| [known(2, i, "small"), known(3, i, "letters")])
        .collect();
    let settings = json!({
        "name": "e", "zone": "z", "listen": addr(net, 1, 0), "seed": 1, "sidecars": sidecars,
    });
    let settings = write(dir, "entry.json", &settings);
    let bundle = include_str!("bundle.json")
        .parse::<Value>()
        .expect("the bundle is JSON");
    let bundle = write(dir, "bundle.json", &bundle);
    Process::start(&["entry", "--settings", &settings, "--bundle", &bundle])
}

fn write(dir: &std::path::Path, name: &str, value: &Value) -> String {
    let path = dir.join(name);
    std::fs::write(&path, value.to_string()).expect("the file can be written");
    path.to_str().expect("the path is text").to_owned()
}

fn until_listening(addr: SocketAddr) {
    until("it listens", || TcpStream::connect(addr).is_ok());
}

/// Waits for a condition, for as long as a slow machine may need.
pub(crate) fn until(what: &str, mut met: impl FnMut() -> bool) {
    for _ in 0..TRIES {
        if met() {
            return;
        }
        thread::sleep(PAUSE);
    }
    panic!("waited in vain until {what}");
}
