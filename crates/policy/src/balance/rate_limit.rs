//! When an entry may send calls to a rate-limited server.
//!
//! Load pattern: an overloaded server announces how many requests per second it
//! takes from all entries together. Entries do not coordinate before a call.
//! They take turns on a shared time axis instead: the rate limit defines
//! equidistant moments, and with n entries every n-th moment is the turn of one
//! entry. A turn expires soon when it is not used, so that the unused turns of
//! many entries do not add up to a burst.

use std::time::{Duration, Instant};

use super::Balancer;

/// Seconds for which a turn may be used. When the turns of several entries
/// coincide, the calls in excess are at most those that the rate limit allows
/// in one second.
const TURN_VALID_SECS: f64 = 1.0;

/// The least time between two calls, as a fraction of the time between two
/// turns of the entry. Turns move when the rate limit changes or entries come
/// and go.
const MIN_GAP_RATIO: f64 = 0.75;

/// The turns of this entry among all entries that share each rate limit.
#[derive(Debug, Clone, Copy)]
pub struct TurnSchedule {
    /// Number of entries, including this one.
    pub entries: u32,
    /// Position of this entry in their order, from 0.
    pub turn_index: u32,
    /// A moment at which both clocks were read.
    pub instant: Instant,
    /// The time since the Unix epoch at `instant`.
    pub unix_time: Duration,
}

impl TurnSchedule {
    /// Seconds on the time axis that all entries share.
    fn shared_time(&self, now: Instant) -> f64 {
        let since = now.saturating_duration_since(self.instant);
        (self.unix_time + since).as_secs_f64()
    }

    /// The entry's latest turn for a limit of `rate` calls per second, on the
    /// shared time axis, and the seconds between two of its turns.
    fn latest_turn(&self, now: Instant, rate: f64) -> (f64, f64) {
        let interval = f64::from(self.entries.max(1)) / rate;
        let offset = f64::from(self.turn_index) / rate;
        let count = ((self.shared_time(now) - offset) / interval).floor();
        (offset + count * interval, interval)
    }
}

/// The rate limit that a server has announced.
#[derive(Debug, Clone, Copy)]
pub(super) struct RateLimit {
    /// Calls per second from all entries together.
    rate: f64,
    /// When the server last announced it.
    announced_at: Instant,
    /// The turn that was used last, in seconds on the shared time axis.
    used_turn: Option<f64>,
    /// When the last call was sent.
    last_sent: Option<Instant>,
}

impl RateLimit {
    pub(super) fn new(now: Instant, rate: f64) -> Self {
        Self {
            rate,
            announced_at: now,
            used_turn: None,
            last_sent: None,
        }
    }

    /// Sets the rate that the server announced again.
    pub(super) fn update(&mut self, now: Instant, rate: f64) {
        self.rate = rate;
        self.announced_at = now;
    }

    /// Whether the server has lifted the limit, given that it answered a call
    /// sent at `sent_at` without announcing one. Only calls sent after the last
    /// announcement count; answers to earlier calls may predate it.
    pub(super) fn is_lifted(&self, sent_at: Instant) -> bool {
        sent_at > self.announced_at
    }

    /// Whether the entry has an unused turn for a call now.
    pub(super) fn has_turn(&self, now: Instant, turns: &TurnSchedule) -> bool {
        if self.rate <= 0.0 {
            return false;
        }
        let (turn, interval) = turns.latest_turn(now, self.rate);
        let valid = turns.shared_time(now) - turn < TURN_VALID_SECS.min(interval);
        let unused = self.used_turn.is_none_or(|used| turn > used);
        let gap = |sent: Instant| now.saturating_duration_since(sent).as_secs_f64();
        let spaced = self
            .last_sent
            .is_none_or(|sent| gap(sent) >= MIN_GAP_RATIO * interval);
        valid && unused && spaced
    }

    /// Uses the turn for a call that is sent now.
    pub(super) fn use_turn(&mut self, now: Instant, turns: &TurnSchedule) {
        let (turn, _) = turns.latest_turn(now, self.rate);
        self.used_turn = Some(turn);
        self.last_sent = Some(now);
    }

    /// The longest time until the next turn, if the server takes calls at all.
    pub(super) fn wait(&self, now: Instant, turns: &TurnSchedule) -> Option<Duration> {
        if self.rate <= 0.0 {
            return None;
        }
        let (turn, interval) = turns.latest_turn(now, self.rate);
        Duration::try_from_secs_f64((turn + interval - turns.shared_time(now)).max(0.0)).ok()
    }
}

impl Balancer {
    /// Sets the entry's turns among all that share the servers' rate limits.
    pub fn set_turns(&mut self, turns: TurnSchedule) {
        self.turns = Some(turns);
    }
}
