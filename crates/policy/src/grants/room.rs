//! Whether an engine has slots, memory and time for a call.

use std::time::{Duration, Instant};

use super::call::Report;
use super::{Grants, HOLD_GUESS, LATELY, Load, sum};

/// Part of the engine's memory that may be taken by running calls. Beyond,
/// the engine preempts some of them in the middle of their streams.
const MEMORY_SHARE: f64 = 0.9;

/// A report of the engine is believed for so long.
const REPORT_LIMIT: Duration = Duration::from_millis(500);

impl Grants {
    /// The shortest pause that a running stream bears.
    pub(super) fn gap(&self) -> Option<Duration> {
        let runs = self.running.values().filter_map(|r| r.gap);
        let flights = self.flights.values().filter_map(|f| f.ask.gap);
        runs.chain(flights).min()
    }

    /// Whether a prompt is too long to be read beside the running streams:
    /// read in one go, it stretches a pause of each of them.
    pub(super) fn too_long(&self, tokens: u32) -> bool {
        let time = f64::from(tokens) * self.timing.pace();
        self.gap()
            .is_some_and(|gap| time > gap.as_secs_f64() * self.gap_share)
    }

    /// Whether a call of that load may be let in now.
    pub(super) fn open(&self, now: Instant, load: Load) -> bool {
        if f64::from(self.unread()) >= self.window || self.taken(now) >= self.reading_slots(now) {
            return false;
        }
        let Some(gap) = self.gap() else {
            return self.memory(now, load);
        };
        let most = gap.as_secs_f64() * self.gap_share;
        let lately = self.lately.iter().filter(|(at, _)| now < *at + gap);
        let lately: f64 = lately.map(|(_, s)| s).sum();
        let own = f64::from(load.tokens) * self.timing.pace();
        (lately <= 0.0 || lately + own <= most) && self.memory(now, load)
    }

    /// Whether a stream finds a slot and memory.
    pub(super) fn room(&self, now: Instant, load: Load) -> bool {
        self.taken(now) < self.slots && self.memory(now, load)
    }

    /// Whether the engine's memory holds what a call misses.
    pub(super) fn memory(&self, now: Instant, load: Load) -> bool {
        let Some(report) = self.fresh(now) else {
            return true;
        };
        let coming = sum(self.flights.values().map(|f| f.load.missing));
        let used = report.used + u64::from(coming) + u64::from(load.missing);
        report.total == 0 || used as f64 <= report.total as f64 * MEMORY_SHARE
    }

    /// Whether the engine could not hold a call even if it were empty. It
    /// refuses such a call itself; kept waiting here, the call would hold up
    /// all that are due after it until its caller gives up.
    pub(super) fn never_fits(&self, load: Load) -> bool {
        let total = self.report.map_or(0, |(_, report)| report.total);
        total > 0 && f64::from(load.missing) > total as f64 * MEMORY_SHARE
    }

    /// Slots that calls which only read may take.
    pub(super) fn reading_slots(&self, now: Instant) -> u32 {
        let hold = self.hold.get().unwrap_or(HOLD_GUESS);
        let kept = self.reserve.slots(now, hold, self.slots);
        self.slots.saturating_sub(kept).max(1)
    }

    /// Slots that are taken.
    pub(super) fn taken(&self, now: Instant) -> u32 {
        let own = self.running.len() + self.flights.len();
        let own = u32::try_from(own).unwrap_or(u32::MAX);
        let told = self.fresh(now).map_or(0, |r| r.running);
        own.max(told)
    }

    /// Part of the engine's time, slots or memory that calls take, whichever
    /// is most; what waits for reading counts as well.
    #[must_use]
    pub fn busy(&self, now: Instant) -> f64 {
        let lately = self.lately.iter().filter(|(at, _)| now < *at + LATELY);
        let read: f64 = lately.map(|(_, s)| s).sum();
        let waiting = self.waiting.tokens() as f64 * self.timing.pace();
        let reading = (read + waiting) / LATELY.as_secs_f64();
        let slots = f64::from(self.taken(now)) / f64::from(self.slots.max(1));
        let memory = match self.fresh(now) {
            Some(report) if report.total > 0 => report.used as f64 / report.total as f64,
            _ => 0.0,
        };
        reading.max(slots).max(memory)
    }

    pub(super) fn fresh(&self, now: Instant) -> Option<Report> {
        let fresh = self.report.filter(|(at, _)| now < *at + REPORT_LIMIT);
        fresh.map(|(_, report)| report)
    }
}
