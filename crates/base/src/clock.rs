//! An abstract clock, so that tests can control time.

use std::cell::Cell;
use std::rc::Rc;
use std::sync::OnceLock;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// A source of time. Decision logic never reads the clock itself; its caller
/// reads the time once and passes it in.
pub trait Clock {
    /// Monotonic time, for timeouts, leases and estimates. It does not advance
    /// while the host is suspended.
    fn now(&self) -> Instant;

    /// Monotonic time that also advances while the host is suspended, for
    /// leases that other processes observe. Measured with [`Clock::now`], a
    /// lease that expired during a suspension would still seem valid. Not
    /// comparable with [`Clock::now`].
    fn now_boottime(&self) -> Instant;

    /// Wall-clock time, for records that other processes read.
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
        static REFERENCE: OnceLock<(Instant, Duration)> = OnceLock::new();
        let Some(uptime) = time_since_boot() else {
            return Instant::now();
        };
        let (instant, reference_uptime) = *REFERENCE.get_or_init(|| (Instant::now(), uptime));
        instant + uptime.saturating_sub(reference_uptime)
    }

    fn wall(&self) -> SystemTime {
        SystemTime::now()
    }
}

/// Time since boot, including suspensions. `None` on systems without such a
/// clock.
fn time_since_boot() -> Option<Duration> {
    use nix::time::{ClockId, clock_gettime};
    let time = clock_gettime(ClockId::CLOCK_BOOTTIME).ok()?;
    Some(Duration::from(time))
}

/// A clock that advances only on request, for tests and scenarios.
#[derive(Debug, Clone)]
pub struct ManualClock {
    /// The reading at creation; all readings are relative to it.
    start: Instant,
    /// Time since the start without suspensions, shared by all clones.
    elapsed: Rc<Cell<Duration>>,
    /// Total time of simulated suspensions, not included in `elapsed`.
    suspended: Rc<Cell<Duration>>,
}

impl ManualClock {
    /// Creates a clock with no time elapsed.
    #[must_use]
    pub fn new() -> Self {
        Self {
            start: Instant::now(),
            elapsed: Rc::default(),
            suspended: Rc::default(),
        }
    }

    /// Simulates a suspension of the host for `duration`.
    pub fn suspend(&self, duration: Duration) {
        self.suspended.set(self.suspended.get() + duration);
    }

    /// Advances the clock by `step`.
    pub fn advance(&self, step: Duration) {
        self.elapsed.set(self.elapsed.get() + step);
    }

    /// Time since the start, without suspensions.
    #[must_use]
    pub fn elapsed(&self) -> Duration {
        self.elapsed.get()
    }
}

impl Default for ManualClock {
    fn default() -> Self {
        Self::new()
    }
}

impl Clock for ManualClock {
    fn now(&self) -> Instant {
        self.start + self.elapsed.get()
    }

    fn now_boottime(&self) -> Instant {
        self.now() + self.suspended.get()
    }

    fn wall(&self) -> SystemTime {
        UNIX_EPOCH + self.elapsed.get() + self.suspended.get()
    }
}
