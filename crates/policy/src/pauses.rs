//! Estimate of the pauses that prefill causes in concurrent streams.
//!
//! An event of a stream holds several tokens, and an engine that reads a long
//! prompt prefills a whole chunk of it in each step. Every stream beside a
//! long prefill therefore sees nearly the same pause, which depends on the
//! engine only: 130 ms on some and 370 ms on others. It is measured on streams
//! that end on engines that also prefill.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// Number of recent streams used; some seconds of load at one entry.
const MAX_SAMPLES: usize = 128;

/// Streams needed before their pauses are used.
const MIN_SAMPLES: usize = 8;

/// Quantile of the streams' longest pauses that is expected. Longer ones met a
/// preemption or a saturated link.
const QUANTILE: f64 = 0.9;

/// Half-life of the estimate. An engine's behavior does not change in a minute
/// in which little was read.
const HALF_LIFE: Duration = Duration::from_secs(60);

/// The longest pauses of recent streams beside prefill.
#[derive(Debug, Default)]
pub struct PauseEstimate {
    samples: VecDeque<Duration>,
    /// Last estimate in seconds, and when it was made.
    estimate: Option<(Instant, f64)>,
}

impl PauseEstimate {
    /// Records the longest pause of a stream that ended on an engine that also
    /// prefills.
    pub fn record(&mut self, now: Instant, pause: Duration) {
        if self.samples.len() == MAX_SAMPLES {
            self.samples.pop_front();
        }
        self.samples.push_back(pause);
        let measured = self.quantile();
        let expected = measured.map(|s| s.max(self.expected(now).unwrap_or(0.0)));
        self.estimate = expected.map(|e| (now, e)).or(self.estimate);
    }

    /// Expected pause of a stream beside prefill, in seconds; none until
    /// enough streams were measured.
    #[must_use]
    pub fn expected(&self, now: Instant) -> Option<f64> {
        let (at, last) = self.estimate?;
        let elapsed = now.saturating_duration_since(at).as_secs_f64();
        Some(last * 0.5_f64.powf(elapsed / HALF_LIFE.as_secs_f64()))
    }

    fn quantile(&self) -> Option<f64> {
        if self.samples.len() < MIN_SAMPLES {
            return None;
        }
        let mut sorted: Vec<Duration> = self.samples.iter().copied().collect();
        let rank = (sorted.len() as f64 * QUANTILE) as usize;
        let (_, pause, _) = sorted.select_nth_unstable(rank);
        Some(pause.as_secs_f64())
    }
}
