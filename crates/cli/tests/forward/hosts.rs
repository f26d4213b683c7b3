//! Hosts whose processes are restarted after each end, as the platform does.

use std::fs;
use std::net::{SocketAddr, UdpSocket};
use std::ops::{Deref, DerefMut};
use std::os::unix::process::ExitStatusExt;
use std::process::{Child, ExitStatus};
use std::thread;
use std::time::{Duration, Instant};

use nix::sys::signal::Signal;
use socket2::{Domain, Socket, Type};

use crate::process::{Process, memory_peak};

/// Interval of the checks whether processes have ended.
const WATCH_INTERVAL: Duration = Duration::from_millis(4);

/// Bit of SIGHUP in the masks of signals of a process.
const HANGUP_BIT: u64 = 1 << (Signal::SIGHUP as u64 - 1);

/// First line of the status file of a process that runs the program. Just before, a new
/// process still shows the memory and the descriptors of the test.
const NAME_LINE: &str = "Name:\tpimentocart\n";

/// Something that happened to a process of a host.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Event {
    pub(crate) at: Instant,
    /// Number of the start of the process.
    pub(crate) start: u32,
    pub(crate) kind: EventKind,
}

/// What happened to a process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum EventKind {
    Signal(Signal),
    /// Its end was noticed, due to a signal that asks for it or else as a fault.
    End {
        fault: bool,
    },
}

/// A process whose successor has started.
struct Predecessor {
    child: Child,
    start: u32,
    kill_at: Option<Instant>,
}

/// A host with one process, and a predecessor of it that has not ended yet.
pub(crate) struct Host<P> {
    process: P,
    name: String,
    /// The TCP and the UDP ports that the process needs.
    ports: [Vec<SocketAddr>; 2],
    grace: Duration,
    predecessors: Vec<Predecessor>,
    /// When it is killed, after SIGTERM.
    kill_at: Option<Instant>,
    /// When its successor starts.
    start_at: Option<Instant>,
    /// When it goes on, after SIGSTOP.
    wake_at: Option<Instant>,
    /// Signal that the next process gets as soon as it holds back or handles SIGHUP.
    first_signal: Option<Signal>,
    pub(crate) events: Vec<Event>,
    pub(crate) errors: Vec<String>,
    pub(crate) starts: u32,
    /// Processes that were killed at the end of the grace period.
    pub(crate) overdue: u32,
    /// Peaks of memory in bytes and of descriptors.
    pub(crate) memory: usize,
    pub(crate) files: usize,
}

impl<P: DerefMut + Deref<Target = Process>> Host<P> {
    pub(crate) fn new(
        name: String,
        (process, ports): (P, [Vec<SocketAddr>; 2]),
        grace: Duration,
    ) -> Self {
        Self {
            process,
            name,
            ports,
            grace,
            predecessors: Vec::new(),
            kill_at: None,
            start_at: None,
            wake_at: None,
            first_signal: None,
            events: Vec::new(),
            errors: Vec::new(),
            starts: 1,
            overdue: 0,
            memory: 0,
            files: 0,
        }
    }

    pub(crate) fn process(&self) -> &P {
        &self.process
    }

    /// Whether the process runs and was not told to stop.
    pub(crate) fn serves(&self) -> bool {
        self.process.id().is_some() && self.kill_at.is_none() && self.start_at.is_none()
    }

    /// Notices an end, starts the next process and sends signals that are due. A process
    /// that has ended is started again after `delay`.
    pub(crate) fn watch(&mut self, delay: Duration) {
        let now = Instant::now();
        self.sample();
        if let Some(status) = self.process.ended() {
            self.check_end(self.starts, status);
            (self.kill_at, self.wake_at) = (None, None);
            self.start_at.get_or_insert(now + delay);
        }
        let overdue = |at: &mut Instant| *at <= now;
        if self.wake_at.take_if(overdue).is_some() {
            self.send(Signal::SIGCONT);
        }
        if self.first_signal.is_some() && self.serves() && self.handles_hangup() {
            let signal = self.first_signal.take();
            signal.into_iter().for_each(|signal| self.send(signal));
        }
        if self.kill_at.take_if(overdue).is_some() {
            self.overdue += 1;
            self.send(Signal::SIGKILL);
        }
        self.end_predecessors(now);
        if self.start_at.take_if(overdue).is_some() {
            self.wake();
            let (start, kill_at) = (self.starts, self.kill_at.take());
            let old = self.process.detach().map(|child| Predecessor {
                child,
                start,
                kill_at,
            });
            self.predecessors.extend(old);
            self.process.restart();
            self.starts += 1;
        }
    }

    /// Lets a process that stands still go on.
    pub(crate) fn wake(&mut self) {
        if self.wake_at.take().is_some() {
            self.send(Signal::SIGCONT);
        }
    }

    /// Sends a signal, if the process runs. SIGHUP is sent only to a process that holds it
    /// back or handles it.
    pub(crate) fn send(&mut self, signal: Signal) {
        if self.process.id().is_none() || signal == Signal::SIGHUP && !self.handles_hangup() {
            return;
        }
        self.record(self.starts, EventKind::Signal(signal));
        self.process.signal(signal);
        if signal == Signal::SIGTERM {
            self.kill_at.get_or_insert(Instant::now() + self.grace);
        }
    }

    /// Stops the process for this time.
    pub(crate) fn freeze(&mut self, time: Duration) {
        self.send(Signal::SIGSTOP);
        self.wake_at = Some(Instant::now() + time);
    }

    /// Starts the successor after `delay`, whether or not the process has ended by then.
    pub(crate) fn replace(&mut self, delay: Duration) {
        self.send(Signal::SIGTERM);
        self.start_at = Some(Instant::now() + delay);
    }

    /// Kills the process, and sends `signal` to the next one while it starts.
    pub(crate) fn restart_with(&mut self, signal: Signal) {
        self.send(Signal::SIGKILL);
        self.first_signal = Some(signal);
    }

    /// Kills the process, and has a connection or datagram socket of another program hold
    /// one of its ports for this time.
    pub(crate) fn take_port(&mut self, number: usize, time: Duration) {
        self.send(Signal::SIGKILL);
        let ports = self.ports.clone();
        thread::spawn(move || {
            let index = number % (ports[0].len() + ports[1].len());
            let held = match ports[0].get(index) {
                Some(addr) => hold(*addr).map(Box::new).map(|s| s as Box<dyn Send>),
                None => UdpSocket::bind(ports[1][index - ports[0].len()])
                    .ok()
                    .map(|socket| Box::new(socket) as Box<dyn Send>),
            };
            thread::sleep(time);
            drop(held);
        });
    }

    fn handles_hangup(&self) -> bool {
        let status = self.status();
        let masks = ["SigCgt:", "SigBlk:", "SigIgn:"];
        let lines = status.lines().filter_map(|line| {
            let value = masks.iter().find_map(|mask| line.strip_prefix(mask))?;
            u64::from_str_radix(value.trim(), 16).ok()
        });
        lines.fold(0, |all, mask| all | mask) & HANGUP_BIT != 0
    }

    /// The status file of the process; empty before it runs the program.
    fn status(&self) -> String {
        let path = self.process.id().map(|id| format!("/proc/{id}/status"));
        let status = path.and_then(|path| fs::read_to_string(path).ok());
        status
            .filter(|s| s.starts_with(NAME_LINE))
            .unwrap_or_default()
    }

    /// Records the peaks of memory and descriptors.
    fn sample(&mut self) {
        let status = self.status();
        self.memory = self.memory.max(memory_peak(&status).unwrap_or(0));
        let id = self.process.id().filter(|_| !status.is_empty());
        let files = id.and_then(|id| fs::read_dir(format!("/proc/{id}/fd")).ok());
        self.files = self.files.max(files.map_or(0, Iterator::count));
    }

    fn end_predecessors(&mut self, now: Instant) {
        let (mut killed, mut ended) = (Vec::new(), Vec::new());
        self.predecessors.retain_mut(|old| {
            if old.kill_at.take_if(|at| *at <= now).is_some() {
                killed.push(old.start);
                let _ = old.child.kill();
            }
            let status = old.child.try_wait().expect("cannot wait for the process");
            ended.extend(status.map(|status| (old.start, status)));
            status.is_none()
        });
        for start in killed {
            self.overdue += 1;
            self.record(start, EventKind::Signal(Signal::SIGKILL));
        }
        for (start, status) in ended {
            self.check_end(start, status);
        }
    }

    fn record(&mut self, start: u32, kind: EventKind) {
        let at = Instant::now();
        self.events.push(Event { at, start, kind });
    }

    /// Checks that a process ended due to a signal that asks for it.
    fn check_end(&mut self, start: u32, status: ExitStatus) {
        let sent = |signal| {
            let mut own = self.events.iter().filter(|e| e.start == start);
            own.any(|e| e.kind == EventKind::Signal(signal))
        };
        let expected = match (status.code(), status.signal()) {
            (Some(0), _) => sent(Signal::SIGTERM),
            (None, Some(number)) => [Signal::SIGKILL, Signal::SIGTERM]
                .into_iter()
                .any(|signal| signal as i32 == number && sent(signal)),
            _ => false,
        };
        self.record(start, EventKind::End { fault: !expected });
        if !expected {
            let name = &self.name;
            let error = format!("{name}: start {start} ended by itself: {status}");
            self.errors.push(error);
        }
    }
}

impl<P> Drop for Host<P> {
    fn drop(&mut self) {
        for old in &mut self.predecessors {
            let _ = old.child.kill();
            let _ = old.child.wait();
        }
    }
}

/// Watches hosts for `time`, and starts processes that have ended again after `delay`.
pub(crate) fn watch_all<P, Q>(
    entries: &mut [Host<P>],
    sidecars: &mut [Host<Q>],
    time: Duration,
    delay: Duration,
) where
    P: DerefMut + Deref<Target = Process>,
    Q: DerefMut + Deref<Target = Process>,
{
    let end = Instant::now() + time;
    loop {
        entries.iter_mut().for_each(|host| host.watch(delay));
        sidecars.iter_mut().for_each(|host| host.watch(delay));
        if Instant::now() >= end {
            return;
        }
        thread::sleep(WATCH_INTERVAL);
    }
}

/// A socket that holds a TCP port as the local end of an outgoing connection does.
fn hold(addr: SocketAddr) -> Option<Socket> {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).ok()?;
    socket.bind(&addr.into()).ok()?;
    Some(socket)
}
