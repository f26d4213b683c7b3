//! Runs an entry and sidecars as processes, with simulated backends in the test
//! process.

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

/// Number of fleets started by this process, to give each its own addresses.
static FLEETS: AtomicU8 = AtomicU8::new(1);

/// Limit and interval of polling a condition: 30 s in total.
const MAX_POLLS: u32 = 1500;
const POLL_INTERVAL: Duration = Duration::from_millis(20);

const PORT: u16 = 7100;

/// A fleet of engines and plain services with a sidecar process each, and one
/// entry process.
pub(crate) struct Fleet {
    subnet: [u8; 2],
    dir: PathBuf,
    pub(crate) ledger: Ledger,
    hosts: Vec<Daemon>,
    pub(crate) entry: Process,
    pub(crate) sidecars: Vec<Process>,
}

/// A daemon that runs as a child process.
pub(crate) struct Process(Child);

impl Process {
    /// Starts a daemon of this build.
    pub(crate) fn start(args: &[&str]) -> Self {
        let mut command = Command::new(env!("CARGO_BIN_EXE_pimentocart"));
        let command = command
            .args(args)
            .stdout(Stdio::null())
            .stderr(Stdio::null());
        Self(command.spawn().expect("cannot start the program"))
    }

    /// Sends a signal.
    pub(crate) fn signal(&self, signal: Signal) {
        let id = i32::try_from(self.0.id()).expect("process id out of range");
        signal::kill(Pid::from_raw(id), signal).expect("cannot signal the process");
    }

    /// Waits until the process has ended.
    pub(crate) fn wait(&mut self) -> ExitStatus {
        let mut status = None;
        wait_until("the process ends", || {
            status = self.0.try_wait().expect("cannot wait for the process");
            status.is_some()
        });
        status.expect("process has no exit status")
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        // The process may have ended already, so errors are ignored.
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

impl Fleet {
    /// Starts `count` engines and plain services with their sidecars, and the
    /// entry, and waits until all of them listen.
    pub(crate) fn start(name: &str, count: u8) -> Self {
        let [_, _, a, b] = std::process::id().to_be_bytes();
        let subnet = [
            a.wrapping_mul(37).wrapping_add(b).max(1),
            FLEETS.fetch_add(1, Ordering::Relaxed),
        ];
        let dir = PathBuf::from(env!("CARGO_TARGET_TMPDIR"))
            .join(format!("{name}-{}", std::process::id()));
        std::fs::create_dir_all(&dir).expect("cannot create the directory");

        let ledger = Ledger::default();
        let hosts = (0..count)
            .flat_map(|i| backends(subnet, i, &ledger))
            .collect();
        let sidecars = (0..count).flat_map(|i| sidecars(subnet, &dir, i)).collect();
        let entry = entry(subnet, &dir, count);
        let fleet = Self {
            subnet,
            dir,
            ledger,
            hosts,
            entry,
            sidecars,
        };
        for i in 0..count {
            for role in [2, 3, 4, 5] {
                wait_until_listening(addr(subnet, role, i));
            }
        }
        wait_until_listening(fleet.entry_addr());
        fleet
    }

    /// Address of the entry for callers.
    pub(crate) fn entry_addr(&self) -> SocketAddr {
        addr(self.subnet, 1, 0)
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        self.hosts.iter().for_each(Daemon::request_stop);
        self.hosts.drain(..).for_each(|host| host.stop());
        // Remaining files do no harm, so errors are ignored.
        let _ = std::fs::remove_dir_all(&self.dir);
    }
}

fn addr(subnet: [u8; 2], role: u8, i: u8) -> SocketAddr {
    let ip = Ipv4Addr::new(127, subnet[0], subnet[1], role * 16 + i);
    SocketAddr::new(IpAddr::V4(ip), PORT)
}

fn parse<T: serde::de::DeserializeOwned>(value: Value) -> T {
    serde_json::from_value(value).expect("invalid settings")
}

/// Starts the simulated backends of one host: an engine and a plain service.
fn backends(subnet: [u8; 2], i: u8, ledger: &Ledger) -> [Daemon; 2] {
    let settings: standin::engine::Settings =
        parse(json!({ "listen": addr(subnet, 4, i), "step": "5ms" }));
    let seen = ledger.clone();
    let engine = Daemon::start("engine", move |stop| {
        standin::engine::run(settings.clone(), seen.clone(), stop)
    });
    let settings: standin::plain::Settings =
        parse(json!({ "listen": addr(subnet, 5, i), "work": "300ms" }));
    let seen = ledger.clone();
    let plain = Daemon::start("plain", move |stop| {
        standin::plain::run(settings.clone(), seen.clone(), stop)
    });
    [engine, plain]
}

/// Starts the sidecars of one host: for its engine and for its plain service.
fn sidecars(subnet: [u8; 2], dir: &std::path::Path, i: u8) -> [Process; 2] {
    let backend = |role: u8| match role {
        2 => json!({ "engine": { "addr": addr(subnet, 4, i), "slots": 4 } }),
        _ => json!({ "plain": { "addr": addr(subnet, 5, i), "slots": 4, "timeout": "5s" } }),
    };
    [2, 3].map(|role| {
        let settings = json!({
            "name": format!("s{role}-{i}"), "zone": "z", "listen": addr(subnet, role, i),
            "backend": backend(role),
        });
        let path = write(dir, &format!("sidecar-{role}-{i}.json"), &settings);
        Process::start(&["sidecar", "--settings", &path])
    })
}

fn entry(subnet: [u8; 2], dir: &std::path::Path, count: u8) -> Process {
    let listed = |role: u8, i: u8, serves: &str| json!({ "name": format!("s{role}-{i}"), "addr": addr(subnet, role, i), "zone": "z", "serves": serves });
    let sidecars: Vec<_> = (0..count)
        .flat_map(|i| [listed(2, i, "small"), listed(3, i, "letters")])
        .collect();
    let settings = json!({
        "name": "e", "zone": "z", "listen": addr(subnet, 1, 0), "seed": 1, "sidecars": sidecars,
    });
    let settings = write(dir, "entry.json", &settings);
    let bundle = include_str!("bundle.json")
        .parse::<Value>()
        .expect("the bundle is not JSON");
    let bundle = write(dir, "bundle.json", &bundle);
    Process::start(&["entry", "--settings", &settings, "--bundle", &bundle])
}

fn write(dir: &std::path::Path, name: &str, value: &Value) -> String {
    let path = dir.join(name);
    std::fs::write(&path, value.to_string()).expect("cannot write the file");
    path.to_str().expect("the path is not UTF-8").to_owned()
}

fn wait_until_listening(addr: SocketAddr) {
    wait_until("the daemon listens", || TcpStream::connect(addr).is_ok());
}

/// Polls a condition until it is met; the limit allows for a slow machine.
pub(crate) fn wait_until(what: &str, mut condition: impl FnMut() -> bool) {
    for _ in 0..MAX_POLLS {
        if condition() {
            return;
        }
        thread::sleep(POLL_INTERVAL);
    }
    panic!("timed out waiting until {what}");
}
