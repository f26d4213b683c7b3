//! Slots that are kept for streams, which are never kept waiting.
//!
//! Kept at engines where no stream comes, one slot of eight stands idle while
//! calls are turned away. What has to be kept is what comes before a slot
//! falls free by itself.

use std::time::{Duration, Instant};

/// How soon half of the streams seen count no more.
const HALF_LIFE: Duration = Duration::from_secs(2);

/// Streams that come to an engine.
#[derive(Debug, Default)]
pub(super) struct StreamReserve {
    /// Streams, older ones with less weight.
    decayed_count: f64,
    last: Option<Instant>,
}

impl StreamReserve {
    /// Notes that a stream asks for a slot.
    pub(super) fn record_stream(&mut self, now: Instant) {
        self.decayed_count = self.current_count(now) + 1.0;
        self.last = Some(now);
    }

    /// Slots to keep where one of `slots` falls free each `hold / slots`
    /// seconds.
    pub(super) fn slots(&self, now: Instant, hold: f64, slots: u32) -> u32 {
        let rate = self.current_count(now) * std::f64::consts::LN_2 / HALF_LIFE.as_secs_f64();
        let arrivals = rate * hold / f64::from(slots.max(1));
        arrivals.round().min(f64::from(slots)) as u32
    }

    fn current_count(&self, now: Instant) -> f64 {
        let Some(last) = self.last else {
            return 0.0;
        };
        let age = now.saturating_duration_since(last).as_secs_f64();
        self.decayed_count * 0.5_f64.powf(age / HALF_LIFE.as_secs_f64())
    }
}
