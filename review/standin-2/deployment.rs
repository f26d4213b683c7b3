//! A small deployment on loopback addresses: the store, runners and the project's programs,
//! the runners and the programs as processes of their own.

use std::fs::File;
use std::io::{self, BufRead, BufReader, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http;
use crate::runner::unix_ms;
use crate::store::Store;

/// The project's program, relative to the repository.
const PROGRAM: &str = "target/release/pimentocart";

/// Interval at which runners write to the store (`heartbeat_ms`).
const BEAT: Duration = Duration::from_millis(1200);

/// Longest wait for a deployment to be ready.
const READY_TIMEOUT: Duration = Duration::from_secs(20);

/// What happened, in order of time.
#[derive(Debug, Clone, Default)]
pub struct Record(Arc<Mutex<Vec<(u64, String)>>>);

impl Record {
    /// Records that something happened now.
    pub fn note(&self, text: &str) {
        self.note_at(unix_ms(), text);
    }

    pub fn note_at(&self, at: u64, text: &str) {
        self.0.lock().unwrap().push((at, text.to_owned()));
    }

    /// All lines, each with its time.
    pub fn lines(&self) -> Vec<(u64, String)> {
        let mut lines = self.0.lock().unwrap().clone();
        lines.sort();
        lines
    }

    /// Writes the record to a file; times are in milliseconds since its first line.
    pub fn write(&self, path: &str) -> io::Result<()> {
        let lines = self.lines();
        let start = lines.first().map_or(0, |(at, _)| *at);
        let mut file = File::create(path)?;
        for (at, text) in lines {
            writeln!(file, "{:>7} {text}", at - start)?;
        }
        Ok(())
    }
}

/// A child process, which is killed when it is dropped.
#[derive(Debug)]
pub struct Process(Child);

impl Process {
    /// Sends a signal by its name, as in `STOP`.
    pub fn signal(&self, signal: &str) {
        let status = Command::new("kill")
            .args([&format!("-{signal}"), &self.0.id().to_string()])
            .status();
        assert!(status.is_ok_and(|s| s.success()), "cannot signal a process");
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

/// A runner and the sidecar on its machine.
#[derive(Debug)]
pub struct Runner {
    pub id: String,
    pub service: &'static str,
    pub addr: SocketAddr,
    /// Its process, unless it is down.
    pub process: Option<Process>,
    pub sidecar: Option<Process>,
    slots: usize,
    copy_ns: u64,
    /// Its state in the store; `None` once its entry is removed.
    state: Arc<Mutex<Option<Beat>>>,
}

/// What a runner writes to the store.
#[derive(Debug, Clone, Copy)]
struct Beat {
    state: &'static str,
    born: u64,
    seq: u64,
}

/// An entry.
#[derive(Debug)]
pub struct Entry {
    pub process: Process,
    pub listen: SocketAddr,
    pub ready: SocketAddr,
}

/// A deployment. Dropping it ends its processes.
#[derive(Debug)]
pub struct Deployment {
    pub record: Record,
    pub store: Arc<Store>,
    store_addr: SocketAddr,
    dir: PathBuf,
    port: u16,
    hosts: u8,
}

/// Options of a new runner.
#[derive(Debug, Clone, Copy)]
pub struct RunnerKind {
    pub service: &'static str,
    pub slots: usize,
    pub copy_ns: u64,
}

impl Deployment {
    /// Starts the store with this configuration.
    pub fn start(config: &str) -> io::Result<Self> {
        let (store, store_addr) = Store::start(ip(250).octets())?;
        store.put("keyed.op", "config", config);
        // Entries and sidecars have to use the same port.
        let port = TcpListener::bind((ip(249), 0))?.local_addr()?.port();
        let dir = std::env::temp_dir().join(format!("pimentocart-review-{}", std::process::id()));
        std::fs::create_dir_all(&dir)?;
        let record = Record::default();
        record.note(&format!("operator config acknowledged: {config}"));
        Ok(Self {
            record,
            store,
            store_addr,
            dir,
            port,
            hosts: 0,
        })
    }

    fn next_ip(&mut self) -> Ipv4Addr {
        self.hosts += 1;
        ip(self.hosts)
    }

    /// Starts one of the project's programs with these settings.
    fn program(&self, command: &str, name: &str, settings: &str) -> io::Result<Process> {
        let path = self.dir.join(format!("{name}.json"));
        std::fs::write(&path, settings)?;
        let log = File::create(self.dir.join(format!("{name}.log")))?;
        let child = Command::new(PROGRAM)
            .args([command, "--settings"])
            .arg(&path)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        self.record
            .note(&format!("process started: {command} {name}"));
        Ok(Process(child))
    }

    /// Starts an entry with the settings of `deploy/entry.json`.
    pub fn entry(&mut self, name: &str, zone: &str) -> io::Result<Entry> {
        let ip = self.next_ip();
        let [listen, ready, gossip, metrics] =
            free_ports(ip, self.port)?.map(|port| SocketAddr::from((ip, port)));
        let grants = SocketAddr::from((ip, self.port));
        let seed = SocketAddr::from((ip, self.port));
        let settings = format!(
            "{{\"name\":\"{name}\",\"zone\":\"{zone}\",\"listen\":\"{listen}\",\"ready\":\"{ready}\",\
             \"ready_path\":\"/api/readiness\",\"metrics\":\"{metrics}\",\"gossip\":\"{gossip}\",\
             \"seeds\":[\"{seed}\"],\"first_start\":true,\"grants\":\"{grants}\",\"store\":\"{}\",\
             \"store_writes_per_s\":400,\"store_parts\":8,\"backups\":true,\"moves\":true,\
             \"link_mbps\":1000.0,\"memory_mb\":260,\"max_fds\":4100,\"grace_s\":8,\
             \"repeat_ratio\":0.2,\"repeat_window_s\":10,\"repeat_slack\":52}}",
            self.store_addr
        );
        let process = self.program("forward", name, &settings)?;
        let entry = Entry {
            process,
            listen,
            ready,
        };
        let until = Instant::now() + READY_TIMEOUT;
        while !entry.is_ready() {
            if Instant::now() >= until {
                return Err(io::Error::other("the entry does not get ready"));
            }
            thread::sleep(Duration::from_millis(50));
        }
        self.record.note(&format!("entry {name} is ready"));
        Ok(entry)
    }

    /// Starts a runner, and a sidecar beside it with the settings of `deploy/sidecar.json`.
    pub fn runner(&mut self, id: &str, kind: RunnerKind) -> io::Result<Runner> {
        let ip = self.next_ip();
        let [port, metrics, ..] = free_ports(ip, self.port)?;
        let addr = SocketAddr::from((ip, port));
        let mut runner = Runner {
            id: id.to_owned(),
            service: kind.service,
            addr,
            process: None,
            sidecar: None,
            slots: kind.slots,
            copy_ns: kind.copy_ns,
            state: Arc::default(),
        };
        self.start_runner(&mut runner)?;
        let settings = format!(
            "{{\"name\":\"side-{id}\",\"listen\":\"{ip}:{}\",\"engine\":\"{addr}\",\
             \"paced_streams\":true,\"fair_shares\":true,\"metrics\":\"{ip}:{metrics}\"}}",
            self.port
        );
        runner.sidecar = Some(self.program("admission", &format!("side-{id}"), &settings)?);
        Ok(runner)
    }

    /// Starts a runner's process under its id, in a new lifetime, and registers it.
    pub fn start_runner(&self, runner: &mut Runner) -> io::Result<()> {
        self.start_runner_ahead(runner, 0)
    }

    /// Like [`start_runner`](Self::start_runner), on a machine whose time of day is `ahead_ms`
    /// ahead.
    pub fn start_runner_ahead(&self, runner: &mut Runner, ahead_ms: u64) -> io::Result<()> {
        let born = unix_ms() + ahead_ms;
        let mut child = Command::new(std::env::current_exe()?)
            .args([
                "runner",
                &runner.id,
                &runner.addr.to_string(),
                &born.to_string(),
            ])
            .args([runner.slots.to_string(), runner.copy_ns.to_string()])
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .spawn()?;
        let lines = BufReader::new(child.stdout.take().ok_or(io::ErrorKind::Other)?).lines();
        let record = self.record.clone();
        let (up, is_up) = std::sync::mpsc::channel();
        thread::spawn(move || {
            for line in lines.map_while(Result::ok) {
                let (at, text) = line.split_once(' ').unwrap_or(("0", &line));
                record.note_at(at.parse().unwrap_or(0), &format!("runner {text}"));
                let _ = up.send(());
            }
        });
        runner.process = Some(Process(child));
        if is_up.recv_timeout(READY_TIMEOUT).is_err() {
            return Err(io::Error::other("the runner does not start"));
        }
        let beat = Beat {
            state: "ready",
            born,
            seq: 0,
        };
        let first = runner.state.lock().unwrap().replace(beat).is_none();
        self.beat(runner);
        if first {
            self.keep_beating(runner);
        }
        Ok(())
    }

    /// Writes a runner's entry now.
    fn beat(&self, runner: &Runner) {
        if let Some(beat) = &mut *runner.state.lock().unwrap() {
            beat.seq += 1;
            self.store.put(
                "keyed.servers",
                &runner.id,
                &entry_json(&runner.addr, runner.service, runner.slots, beat),
            );
        }
    }

    /// Writes a runner's entry at the interval of its beats, until the entry is removed.
    fn keep_beating(&self, runner: &Runner) {
        let (store, state) = (Arc::clone(&self.store), Arc::clone(&runner.state));
        let (id, addr, service, slots) =
            (runner.id.clone(), runner.addr, runner.service, runner.slots);
        thread::spawn(move || {
            loop {
                thread::sleep(BEAT);
                let mut state = state.lock().unwrap();
                let Some(beat) = &mut *state else { return };
                beat.seq += 1;
                store.put(
                    "keyed.servers",
                    &id,
                    &entry_json(&addr, service, slots, beat),
                );
            }
        });
    }

    /// Reports in the store that a runner is draining; returns when that was acknowledged.
    pub fn drain(&self, runner: &Runner) -> u64 {
        if let Some(beat) = &mut *runner.state.lock().unwrap() {
            beat.state = "draining";
        }
        self.beat(runner);
        self.record
            .note(&format!("store acknowledged: {} is draining", runner.id));
        unix_ms()
    }

    /// Ends a runner that leaves.
    pub fn exit(&self, runner: &mut Runner) {
        *runner.state.lock().unwrap() = None;
        runner.process = None;
        self.store.put("keyed.servers", &runner.id, "");
        self.record
            .note(&format!("runner {} has exited", runner.id));
    }

    /// Removes a runner's entry from the store; returns when that was acknowledged.
    pub fn remove_entry(&self, runner: &Runner) -> u64 {
        *runner.state.lock().unwrap() = None;
        self.store.put("keyed.servers", &runner.id, "");
        self.record.note(&format!(
            "store acknowledged: entry of {} is removed",
            runner.id
        ));
        unix_ms()
    }
}

impl Drop for Deployment {
    fn drop(&mut self) {
        if std::env::var_os("KEEP_LOGS").is_none() {
            let _ = std::fs::remove_dir_all(&self.dir);
        }
    }
}

impl Entry {
    /// Whether the platform's readiness probe succeeds.
    pub fn is_ready(&self) -> bool {
        let answer = http::call(self.ready, "GET /api/readiness", b"");
        answer.is_ok_and(|answer| answer.status() == 200)
    }
}

fn entry_json(addr: &SocketAddr, service: &str, slots: usize, beat: &Beat) -> String {
    format!(
        "{{\"service\":\"{service}\",\"address\":\"{addr}\",\"zone\":\"a\",\"version\":\"v1\",\
         \"slots\":{slots},\"state\":\"{}\",\"cold_remaining_ms\":0,\"stage\":\"both\",\
         \"models\":[{{\"name\":\"m\",\"version\":1,\"adapters\":[]}}],\"born\":{},\"seq\":{}}}",
        beat.state, beat.born, beat.seq
    )
}

/// A loopback address of this process.
fn ip(host: u8) -> Ipv4Addr {
    let [_, _, a, b] = std::process::id().to_be_bytes();
    Ipv4Addr::new(127, a.max(1), b, host)
}

/// Ports that are free at an address, and not `other`.
fn free_ports(ip: Ipv4Addr, other: u16) -> io::Result<[u16; 4]> {
    let _other = TcpListener::bind((ip, other))?;
    let listeners = [(); 4].map(|()| TcpListener::bind((ip, 0)));
    let mut ports = [0; 4];
    for (port, listener) in ports.iter_mut().zip(listeners) {
        *port = listener?.local_addr()?.port();
    }
    Ok(ports)
}

/// Opens a client's channel to an entry.
pub fn connect(addr: SocketAddr) -> io::Result<TcpStream> {
    let stream = TcpStream::connect_timeout(&addr, Duration::from_secs(1))?;
    stream.set_nodelay(true)?;
    Ok(stream)
}
