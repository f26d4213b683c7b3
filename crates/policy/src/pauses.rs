//! How long reading prompts keeps the streams beside it waiting.
//!
//! An event of a stream holds several tokens, and an engine that reads a long
//! prompt does a whole chunk of it in each step. So every stream beside a long
//! read shows nearly the same pause, which follows from the engine alone: it
//! is 130 ms at some and 370 ms at others. It is seen at the streams that end
//! at engines which read.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// Streams whose longest pauses decide; some seconds of load at one entry.
const MAX_SAMPLES: usize = 128;

/// Streams wanted before their pauses are believed.
const MIN_SAMPLES: usize = 8;

/// Part of the streams that pause less than what is expected. The rest met a
/// preemption or a link that was full.
const QUANTILE: f64 = 0.9;

/// Time in which what was seen counts for half as much. An engine reads as it
/// did also after a minute in which little was read.
const HALF_LIFE: Duration = Duration::from_secs(60);

/// The longest pauses of streams beside reading.
#[derive(Debug, Default)]
pub struct PauseEstimate {
    samples: VecDeque<Duration>,
    /// What was expected last, in seconds, and when.
    estimate: Option<(Instant, f64)>,
}

impl PauseEstimate {
    /// Notes the longest pause of a stream that ended at an engine which reads.
    pub fn record(&mut self, now: Instant, pause: Duration) {
        if self.samples.len() == MAX_SAMPLES {
            self.samples.pop_front();
        }
        self.samples.push_back(pause);
        let seen = self.quantile();
        let expected = seen.map(|s| s.max(self.expected(now).unwrap_or(0.0)));
        self.estimate = expected.map(|e| (now, e)).or(self.estimate);
    }

    /// The pause that a stream beside reading meets, in seconds; none before
    /// enough streams were seen.
    #[must_use]
    pub fn expected(&self, now: Instant) -> Option<f64> {
        let (at, held) = self.estimate?;
        let passed = now.saturating_duration_since(at).as_secs_f64();
        Some(held * 0.5_f64.powf(passed / HALF_LIFE.as_secs_f64()))
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
