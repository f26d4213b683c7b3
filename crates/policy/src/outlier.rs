//! Ejecting servers that fail, fall silent or are far slower than the others,
//! and probing them at growing intervals. See docs/DECISIONS/0202-retries.md.

use std::time::{Duration, Instant};

/// Connection failures in a row that eject a server.
const LINK_LIMIT: u32 = 2;

/// Failed runs in a row that eject a server.
const RUN_LIMIT: u32 = 3;

/// Slow reports in a row that eject a server.
const SLOW_LIMIT: u32 = 20;

/// Failures closer together than this are one: a connection that dies fails
/// all of its calls at once, while the server may be well.
const APART: Duration = Duration::from_millis(100);

/// The first ejection's length; it doubles with each further one.
const FIRST: Duration = Duration::from_secs(1);

/// The longest ejection.
const LONGEST: Duration = Duration::from_secs(60);

/// Serving so long without fault forgets earlier ejections.
const FORGET: Duration = Duration::from_secs(120);

/// A sign that a server is not well.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// Its sidecar could not be reached or did not answer.
    Unreachable,
    /// A run failed at the backend server.
    RunFailed,
    /// Its pace is far off the pool's median.
    Slow,
}

/// A sign that a server is well.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Success {
    /// Its sidecar answered.
    Reachable,
    /// A run came to its end.
    RunCompleted,
    /// Its pace is like the others'.
    NormalPace,
}

/// What is known about the health of one server.
#[derive(Debug, Clone, Copy, Default)]
pub struct ServerHealth {
    /// Faults in a row, by kind.
    faults: [u32; 3],
    /// When the last fault that counted came, by kind.
    last: [Option<Instant>; 3],
    /// Where the server stands.
    phase: Phase,
    /// Ejections so far that were not forgotten.
    times: u32,
    /// What ejected it last.
    cause: Option<Fault>,
}

#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
enum Phase {
    /// It gets requests and was never ejected.
    #[default]
    Serving,
    /// It gets requests again, since the given time.
    Back(Instant),
    /// It gets none until the given time.
    Ejected(Instant),
    /// One request is out to see whether it is well; the next one may go out
    /// at the given time.
    Probing(Instant),
}

impl ServerHealth {
    /// Whether a request may go to the server. A server whose ejection is over
    /// gets one request at a time until it answered well.
    #[must_use]
    pub fn usable(&self, now: Instant) -> bool {
        match self.phase {
            Phase::Serving | Phase::Back(_) => true,
            Phase::Ejected(until) | Phase::Probing(until) => until <= now,
        }
    }

    /// Whether the server counts towards the share that may be ejected.
    #[must_use]
    pub fn ejected(&self) -> bool {
        matches!(self.phase, Phase::Ejected(_) | Phase::Probing(_))
    }

    /// Notes that a request goes to the server.
    pub fn request_sent(&mut self, now: Instant) {
        if self.ejected() {
            self.phase = Phase::Probing(now + self.interval());
        }
    }

    /// Notes a fault. Ejects the server when it is one too many and `room`
    /// says that the pool can spare it; returns whether it was ejected.
    pub fn record_fault(&mut self, now: Instant, record_fault: Fault, room: bool) -> bool {
        let kind = record_fault as usize;
        // Calls that were in flight when the server was ejected say nothing
        // new.
        if matches!(self.phase, Phase::Ejected(until) if now < until) {
            return false;
        }
        if self.last[kind].is_some_and(|at| now < at + APART) {
            return false;
        }
        self.last[kind] = Some(now);
        self.faults[kind] = self.faults[kind].saturating_add(1);

        let limit = match record_fault {
            Fault::Unreachable => LINK_LIMIT,
            Fault::RunFailed => RUN_LIMIT,
            Fault::Slow => SLOW_LIMIT,
        };
        // A failed probe needs no second fault; it already takes its place in
        // the ejected share.
        let probing = self.ejected();
        if !probing && (self.faults[kind] < limit || !room) {
            return false;
        }

        if matches!(self.phase, Phase::Back(since) if now >= since + FORGET) {
            self.times = 0;
        }
        self.phase = Phase::Ejected(now + self.interval());
        self.times = self.times.saturating_add(1);
        self.cause = Some(record_fault);
        !probing
    }

    /// Notes a good sign. What ended the ejection must be of the kind that
    /// caused it: a sidecar that answers says nothing about its engine.
    pub fn record_success(&mut self, now: Instant, record_success: Success) {
        let kind = match record_success {
            Success::Reachable => Fault::Unreachable,
            Success::RunCompleted => Fault::RunFailed,
            Success::NormalPace => Fault::Slow,
        };
        self.faults[kind as usize] = 0;
        if matches!(self.phase, Phase::Probing(_)) && self.cause == Some(kind) {
            self.phase = Phase::Back(now);
        }
    }

    /// How long the next ejection lasts.
    fn interval(&self) -> Duration {
        let doubled = FIRST.saturating_mul(2u32.saturating_pow(self.times.min(16)));
        doubled.min(LONGEST)
    }
}

/// How many of `servers` may be ejected at once by a bundle's `share`. A pool
/// of three or more can always spare one, or a small pool would never eject.
#[must_use]
pub fn max_ejected(servers: usize, share: f64) -> usize {
    if share <= 0.0 {
        return 0;
    }
    let whole = (servers as f64 * share).floor();
    (whole as usize).max(usize::from(servers >= 3))
}
