//! Outlier ejection: servers that fail, do not respond or are far slower than
//! the others get no requests, and are probed at growing intervals. See docs/DECISIONS/0202-retries.md.

use std::time::{Duration, Instant};

/// Consecutive connection failures that eject a server.
const UNREACHABLE_LIMIT: u32 = 2;

/// Consecutive failed runs that eject a server.
const FAILED_RUN_LIMIT: u32 = 3;

/// Consecutive reports of a slow pace that eject a server.
const SLOW_LIMIT: u32 = 20;

/// Faults of one kind within this time count as one: a broken connection fails
/// all of its calls at once, while the server may be healthy.
const MIN_FAULT_GAP: Duration = Duration::from_millis(100);

/// The duration of the first ejection; it doubles with each further one.
const FIRST_EJECTION: Duration = Duration::from_secs(1);

/// The longest ejection.
const MAX_EJECTION: Duration = Duration::from_secs(60);

/// A server that has served this long without a fault starts again with the
/// first ejection duration.
const EJECTION_MEMORY: Duration = Duration::from_secs(120);

/// A sign that a server is unhealthy.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// Its sidecar could not be reached or did not answer.
    Unreachable,
    /// A run failed at the backend server.
    RunFailed,
    /// Its pace is far slower than the pool's median.
    Slow,
}

/// A sign that a server is healthy.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Success {
    /// Its sidecar answered.
    Reachable,
    /// A run completed.
    RunCompleted,
    /// Its pace is close to that of the other servers.
    NormalPace,
}

/// The health of one server as seen by an entry.
#[derive(Debug, Clone, Copy, Default)]
pub struct ServerHealth {
    /// Consecutive faults, by kind.
    faults: [u32; 3],
    /// When the last counted fault occurred, by kind.
    last_fault: [Option<Instant>; 3],
    phase: Phase,
    /// Ejections that count towards the duration of the next one.
    ejections: u32,
    /// What caused the last ejection.
    cause: Option<Fault>,
}

#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
enum Phase {
    /// It gets requests and was never ejected.
    #[default]
    Serving,
    /// It was ejected before and gets requests again since the given time.
    Readmitted(Instant),
    /// It gets no requests until the given time.
    Ejected(Instant),
    /// One request is in flight as a probe; the next probe may be sent at the
    /// given time.
    Probing(Instant),
}

impl ServerHealth {
    /// Whether a request may be sent to the server. After an ejection it gets
    /// one request at a time as a probe, until one succeeds.
    #[must_use]
    pub fn usable(&self, now: Instant) -> bool {
        match self.phase {
            Phase::Serving | Phase::Readmitted(_) => true,
            Phase::Ejected(until) | Phase::Probing(until) => until <= now,
        }
    }

    /// Whether a request may be sent to the server when no other is left, also
    /// while it is ejected. Runs that fail are not repeated there; a server that
    /// is slow or was for a moment is better than a refusal.
    #[must_use]
    pub fn usable_as_last(&self) -> bool {
        !self.ejected() || self.cause != Some(Fault::RunFailed)
    }

    /// Whether the server counts towards the share of servers that may be ejected.
    #[must_use]
    pub fn ejected(&self) -> bool {
        matches!(self.phase, Phase::Ejected(_) | Phase::Probing(_))
    }

    /// Records that a request is sent to the server.
    pub fn request_sent(&mut self, now: Instant) {
        if self.ejected() {
            self.phase = Phase::Probing(now + self.ejection_time());
        }
    }

    /// Records a fault. Ejects the server when the limit of its kind is reached
    /// and `may_eject` says that the pool can spare the server; returns whether
    /// it was ejected.
    pub fn record_fault(&mut self, now: Instant, fault: Fault, may_eject: bool) -> bool {
        let kind = fault as usize;
        // Calls that were in flight when the server was ejected carry no new
        // information.
        if matches!(self.phase, Phase::Ejected(until) if now < until) {
            return false;
        }
        if self.last_fault[kind].is_some_and(|at| now < at + MIN_FAULT_GAP) {
            return false;
        }
        self.last_fault[kind] = Some(now);
        self.faults[kind] = self.faults[kind].saturating_add(1);

        let limit = match fault {
            Fault::Unreachable => UNREACHABLE_LIMIT,
            Fault::RunFailed => FAILED_RUN_LIMIT,
            Fault::Slow => SLOW_LIMIT,
        };
        // One fault of a probe is enough: the server already counts towards the
        // ejected share.
        let probing = self.ejected();
        if !probing && (self.faults[kind] < limit || !may_eject) {
            return false;
        }

        if matches!(self.phase, Phase::Readmitted(since) if now >= since + EJECTION_MEMORY) {
            self.ejections = 0;
        }
        self.phase = Phase::Ejected(now + self.ejection_time());
        self.ejections = self.ejections.saturating_add(1);
        self.cause = Some(fault);
        !probing
    }

    /// Records a success. Only a success of the kind that caused an ejection
    /// ends it: an answer of the sidecar proves nothing about its engine.
    pub fn record_success(&mut self, now: Instant, success: Success) {
        let kind = match success {
            Success::Reachable => Fault::Unreachable,
            Success::RunCompleted => Fault::RunFailed,
            Success::NormalPace => Fault::Slow,
        };
        self.faults[kind as usize] = 0;
        if matches!(self.phase, Phase::Probing(_)) && self.cause == Some(kind) {
            self.phase = Phase::Readmitted(now);
        }
    }

    /// The duration of the next ejection.
    fn ejection_time(&self) -> Duration {
        let doubled = FIRST_EJECTION.saturating_mul(2u32.saturating_pow(self.ejections.min(16)));
        doubled.min(MAX_EJECTION)
    }
}

/// How many of `servers` may be ejected at once when a bundle allows the given
/// `share`. In a pool of three or more, one may always be ejected; otherwise a
/// small pool would never eject any.
#[must_use]
pub fn max_ejected(servers: usize, share: f64) -> usize {
    if share <= 0.0 {
        return 0;
    }
    let whole = (servers as f64 * share).floor();
    (whole as usize).max(usize::from(servers >= 3))
}
