//! Slots reserved for streams, which are never queued.
//!
//! A fixed reserve of one slot in eight would stay unused at engines that get
//! no streams, while calls are refused. The reserve therefore covers the
//! streams expected to arrive before a slot becomes free.

use std::time::{Duration, Instant};

/// Half-life of recorded streams.
const HALF_LIFE: Duration = Duration::from_secs(2);

/// Rate at which streams arrive at an engine.
#[derive(Debug, Default)]
pub(super) struct StreamReserve {
    /// Exponentially decayed number of streams at `last`.
    decayed_count: f64,
    last: Option<Instant>,
}

impl StreamReserve {
    /// Notes that a stream asks for a slot.
    pub(super) fn record_stream(&mut self, now: Instant) {
        self.decayed_count = self.current_count(now) + 1.0;
        self.last = Some(now);
    }

    /// Number of slots to reserve if one of `slots` becomes free every
    /// `hold_time / slots` seconds.
    pub(super) fn slots(&self, now: Instant, hold_time: f64, slots: u32) -> u32 {
        let rate = self.current_count(now) * std::f64::consts::LN_2 / HALF_LIFE.as_secs_f64();
        let arrivals = rate * hold_time / f64::from(slots.max(1));
        arrivals.round().min(f64::from(slots)) as u32
    }

    fn current_count(&self, now: Instant) -> f64 {
        let Some(last) = self.last else { return 0.0 };
        let age = now.saturating_duration_since(last).as_secs_f64();
        self.decayed_count * 0.5_f64.powf(age / HALF_LIFE.as_secs_f64())
    }
}
