//! How many calls an entry may send to a server that names a limit.
//!
//! Load pattern: a server in need says how many requests a second it takes from
//! all entries together. Entries do not ask each other before a call. Each takes
//! turns on an axis of time that all share: of the moments at which the limit
//! allows a call, every n-th is its own, n being the entries that there are. A
//! turn that is not used soon is lost, so that the turns of many entries do not
//! add up to a burst.

use std::time::{Duration, Instant};

use super::Balancer;

/// How long a turn may be used. Entries whose turns fall together send no more
/// than the limit allows in one second beside what it allows meanwhile.
const VALID: f64 = 1.0;

/// The least pause between two calls, in parts of the time between an entry's
/// turns: turns move when the limit changes or entries come and go.
const PAUSE: f64 = 0.75;

/// Where an entry stands among those that share each limit.
#[derive(Debug, Clone, Copy)]
pub struct TurnSchedule {
    /// All entries.
    pub entries: u32,
    /// How many of them stand before this one.
    pub turn_index: u32,
    /// A moment.
    pub instant: Instant,
    /// The time of day then, since the Unix epoch.
    pub unix_time: Duration,
}

impl TurnSchedule {
    /// Seconds on the axis that all entries share.
    fn time(&self, now: Instant) -> f64 {
        let since = now.saturating_duration_since(self.instant);
        (self.unix_time + since).as_secs_f64()
    }

    /// The entry's newest turn for a limit of `rate` calls a second, on the
    /// shared axis, and the time between two of them.
    fn newest(&self, now: Instant, rate: f64) -> (f64, f64) {
        let every = f64::from(self.entries.max(1)) / rate;
        let first = f64::from(self.turn_index) / rate;
        let count = ((self.time(now) - first) / every).floor();
        (first + count * every, every)
    }
}

/// The limit that a server has named.
#[derive(Debug, Clone, Copy)]
pub(super) struct Limit {
    /// Calls a second from all entries together.
    rate: f64,
    /// When it was named last.
    named: Instant,
    /// The turn that was used last, on the shared axis.
    used: Option<f64>,
    /// When a call was sent last.
    sent: Option<Instant>,
}

impl Limit {
    pub(super) fn new(now: Instant, rate: f64) -> Self {
        Self {
            rate,
            named: now,
            used: None,
            sent: None,
        }
    }

    /// Notes that it was named again.
    pub(super) fn name(&mut self, now: Instant, rate: f64) {
        self.rate = rate;
        self.named = now;
    }

    /// Whether a call that was sent at `sent` was answered without the limit
    /// after it had been named. One that was out already says nothing of what
    /// holds now.
    pub(super) fn lifted(&self, sent: Instant) -> bool {
        sent > self.named
    }

    /// Whether a call may be sent now.
    pub(super) fn open(&self, now: Instant, turns: &TurnSchedule) -> bool {
        if self.rate <= 0.0 {
            return false;
        }
        let (turn, every) = turns.newest(now, self.rate);
        let fresh = turns.time(now) - turn < VALID.min(every);
        let unused = self.used.is_none_or(|used| turn > used);
        let pause = |sent: Instant| now.saturating_duration_since(sent).as_secs_f64();
        let rested = self.sent.is_none_or(|sent| pause(sent) >= PAUSE * every);
        fresh && unused && rested
    }

    /// Takes the turn for a call that is sent now.
    pub(super) fn take(&mut self, now: Instant, turns: &TurnSchedule) {
        let (turn, _) = turns.newest(now, self.rate);
        self.used = Some(turn);
        self.sent = Some(now);
    }

    /// How long it is until the next turn at the most.
    pub(super) fn wait(&self, now: Instant, turns: &TurnSchedule) -> Option<Duration> {
        if self.rate <= 0.0 {
            return None;
        }
        let (turn, every) = turns.newest(now, self.rate);
        Duration::try_from_secs_f64((turn + every - turns.time(now)).max(0.0)).ok()
    }
}

impl Balancer {
    /// Notes where the entry stands among those that share the limits which
    /// servers name.
    pub fn set_turns(&mut self, turns: TurnSchedule) {
        self.turns = Some(turns);
    }
}
