//! The project's programs as child processes.

use std::fs::{self, File, OpenOptions};
use std::io::{self, Write};
use std::net::{SocketAddr, TcpListener, UdpSocket};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::Connection;

const PROGRAM: &str = "target/release/pimentocart";

/// A daemon that is killed when this is dropped.
pub struct Daemon {
    name: String,
    role: &'static str,
    dir: PathBuf,
    child: Child,
}

impl Daemon {
    /// Starts `role` with its settings, as the deploy file does.
    pub fn start(dir: &Path, role: &'static str, name: &str, settings: &str) -> io::Result<Self> {
        fs::write(dir.join(format!("{name}.json")), settings)?;
        let child = spawn(dir, role, name)?;
        Ok(Self {
            name: name.to_owned(),
            role,
            dir: dir.to_owned(),
            child,
        })
    }

    /// Kills the process at once.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Starts the process again with the same settings.
    pub fn restart(&mut self) -> io::Result<()> {
        self.child = spawn(&self.dir, self.role, &self.name)?;
        Ok(())
    }

    /// Whether the process has not ended by itself.
    pub fn is_running(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        self.kill();
    }
}

fn spawn(dir: &Path, role: &str, name: &str) -> io::Result<Child> {
    let log = dir.join(format!("{name}.log"));
    let log = OpenOptions::new().create(true).append(true).open(log)?;
    let child = Command::new(PROGRAM)
        .arg(role)
        .arg("--settings")
        .arg(dir.join(format!("{name}.json")))
        .stdin(Stdio::null())
        .stdout(log.try_clone()?)
        .stderr(log)
        .spawn()?;
    // The script ends the processes listed here if this program is killed.
    let pids = dir.join("pids");
    let mut pids: File = OpenOptions::new().create(true).append(true).open(pids)?;
    writeln!(pids, "{}", child.id())?;
    Ok(child)
}

/// Waits until the entry whose readiness address is `addr` is ready.
pub fn wait_ready(addr: SocketAddr, limit: Duration) -> bool {
    let start = Instant::now();
    while start.elapsed() < limit {
        let answer = Connection::open(addr)
            .and_then(|mut c| c.call("GET /api/readiness", "Host: ready\r\n", b""));
        if answer.is_ok_and(|a| a.status() == 200) {
            return true;
        }
        thread::sleep(Duration::from_millis(50));
    }
    false
}

/// A run of `count` ports that are free on all `hosts`, for TCP and UDP.
pub fn free_ports(hosts: &[&str], count: u16) -> Option<u16> {
    let seed = std::process::id() as u16;
    (0..400u16).find_map(|n| {
        let first = 20_000 + (seed.wrapping_mul(37).wrapping_add(n * 29)) % 12_000;
        let free = |port: u16| {
            let mut hosts = hosts.iter();
            hosts.all(|h| {
                TcpListener::bind((*h, port)).is_ok() && UdpSocket::bind((*h, port)).is_ok()
            })
        };
        (first..first + count).all(free).then_some(first)
    })
}
