//! The clock as an interface, so that tests decide what time it is.

use std::cell::Cell;
use std::rc::Rc;
use std::sync::OnceLock;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// A source of time. Decisions never read the time themselves; the caller
/// reads it here once and hands it in.
pub trait Clock {
    /// Monotonic time, for every timeout, lease and estimate.
    fn now(&self) -> Instant;

    /// Monotonic time that goes on while the host is suspended. A lease that
    /// was counted by [`Clock::now`] would seem to hold after a suspension in
    /// which it has lapsed. Not to be compared with [`Clock::now`].
    fn now_boottime(&self) -> Instant;

    /// Wall-clock time, for records that leave the process.
    fn wall(&self) -> SystemTime;

    /// Wall-clock time in milliseconds since the Unix epoch.
    fn wall_ms(&self) -> u64 {
        let since = self.wall().duration_since(UNIX_EPOCH);
        since.map_or(0, |d| u64::try_from(d.as_millis()).unwrap_or(u64::MAX))
    }
}

/// The clock of the operating system.
#[derive(Debug, Clone, Copy, Default)]
pub struct SystemClock;

impl Clock for SystemClock {
    fn now(&self) -> Instant {
        Instant::now()
    }

    fn now_boottime(&self) -> Instant {
        static START: OnceLock<(Instant, Duration)> = OnceLock::new();
        let Some(booted) = since_boot() else {
            return Instant::now();
        };
        let (instant, then) = *START.get_or_init(|| (Instant::now(), booted));
        instant + booted.saturating_sub(then)
    }

    fn wall(&self) -> SystemTime {
        SystemTime::now()
    }
}

/// Time since the host was started, suspensions included; none on systems
/// without such a clock.
fn since_boot() -> Option<Duration> {
    use nix::time::{ClockId, clock_gettime};
    let time = clock_gettime(ClockId::CLOCK_BOOTTIME).ok()?;
    Some(Duration::from(time))
}

/// A clock that moves only when told to, for tests and scenarios.
#[derive(Debug, Clone)]
pub struct ManualClock {
    /// Where this clock started; all readings are relative to it.
    start: Instant,
    /// Time passed since the start, shared by all clones.
    passed: Rc<Cell<Duration>>,
    /// Time for which the host was suspended, which is not in `passed`.
    suspended: Rc<Cell<Duration>>,
}

impl ManualClock {
    /// Makes a clock that stands at its start.
    #[must_use]
    pub fn new() -> Self {
        Self {
            start: Instant::now(),
            passed: Rc::default(),
            suspended: Rc::default(),
        }
    }

    /// Suspends the host for `span`.
    pub fn suspend(&self, span: Duration) {
        self.suspended.set(self.suspended.get() + span);
    }

    /// Moves the clock forward by `step`.
    pub fn advance(&self, step: Duration) {
        self.passed.set(self.passed.get() + step);
    }

    /// Time passed since the start.
    #[must_use]
    pub fn elapsed(&self) -> Duration {
        self.passed.get()
    }
}

impl Default for ManualClock {
    fn default() -> Self {
        Self::new()
    }
}

impl Clock for ManualClock {
    fn now(&self) -> Instant {
        self.start + self.passed.get()
    }

    fn now_boottime(&self) -> Instant {
        self.now() + self.suspended.get()
    }

    fn wall(&self) -> SystemTime {
        UNIX_EPOCH + self.passed.get() + self.suspended.get()
    }
}
