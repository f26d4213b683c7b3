//! A model of the time to first token (TTFT): a fixed part plus prefill time.
//!
//! Load pattern: a fast engine has few prompts at a time, so that most of the
//! time between two first events is the fixed part. Attributed to prefill, it
//! makes the engine look slow; then fewer calls are admitted, and the next
//! measurement confirms the error. Both parts are therefore fitted together to
//! the recent first events, and time in which the engine was idle is not
//! counted as prefill.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use crate::estimate::DEFAULT_PREFILL_SECS;

/// Upper bound of the fixed part in seconds: calls that waited for a slot say
/// little about it.
const BASE_MAX: f64 = 0.3;

/// Number of first events kept.
const MAX_SAMPLES: usize = 48;

/// Half-life of their weight: where few calls arrive, an engine that has
/// changed would otherwise be misjudged for a minute.
const HALF_LIFE: Duration = Duration::from_millis(1500);

/// Minimum weight of an old sample, which is still better than the prior.
const AGE_WEIGHT_MIN: f64 = 0.02;

/// Weight of the prior that the fixed part is zero, in samples.
const BASE_PRIOR_WEIGHT: f64 = 0.001;

/// Weight of the prior of the pace, in samples.
const PACE_PRIOR_WEIGHT: f64 = 0.03;

/// Prompt tokens of the prior's samples.
const PRIOR_TOKENS: f64 = 300.0;

/// Samples are clipped to this multiple of the expected time. An engine that
/// stalled, or a network that lost packets, says nothing about prefill.
const OUTLIER_FACTOR: f64 = 6.0;

/// Times below this, in seconds, are never clipped.
const OUTLIER_MIN: f64 = 0.25;

/// Minimum expected time in a sample's weight, in seconds: engine steps and
/// the network add about this much noise to each sample.
const EXPECTED_MIN: f64 = 0.01;

/// Iterations of the fit: whether a sample had others before it depends on the
/// fixed part, and the fixed part on those samples.
const FIT_ITERATIONS: usize = 3;

/// An engine is estimated to be at most this much faster than the prior.
const MAX_SPEEDUP: f64 = 100.0;

/// TTFT at one engine.
#[derive(Debug)]
pub(super) struct TtftModel {
    samples: VecDeque<TtftSample>,
    /// Time of the last first event.
    last_event: Option<Instant>,
    /// The fixed part in seconds.
    base: f64,
    /// Prefill seconds per token.
    pace: f64,
}

/// One measured first event.
#[derive(Debug, Clone, Copy)]
struct TtftSample {
    at: Instant,
    tokens: f64,
    /// Seconds since its call was admitted.
    elapsed: f64,
    /// Seconds since the previous first event; none for the first one.
    since_previous: Option<f64>,
    /// Whether some of the tokens stand for fetch time.
    fetched: bool,
}

/// Weighted sums of the least-squares fit.
#[derive(Debug, Default)]
struct Sums {
    idle: f64,
    idle_tokens: f64,
    idle_time: f64,
    tokens_squared: f64,
    tokens_time: f64,
}

impl Default for TtftModel {
    fn default() -> Self {
        Self {
            samples: VecDeque::new(),
            last_event: None,
            base: 0.0,
            pace: DEFAULT_PREFILL_SECS,
        }
    }
}

impl TtftModel {
    /// Records the first event of a call admitted at `since` with `tokens` to
    /// read; `fetched` says whether some of them stand for fetch time.
    pub(super) fn record_first_event(
        &mut self,
        now: Instant,
        since: Instant,
        tokens: u32,
        fetched: bool,
    ) {
        let seconds = |then: Instant| now.saturating_duration_since(then).as_secs_f64();
        let last_event = self.last_event.replace(now);
        if self.samples.len() == MAX_SAMPLES {
            self.samples.pop_front();
        }
        self.samples.push_back(TtftSample {
            at: now,
            tokens: f64::from(tokens),
            elapsed: seconds(since),
            since_previous: last_event.map(seconds),
            fetched,
        });
        for _ in 0..FIT_ITERATIONS {
            self.fit(now);
        }
    }

    /// Prefill seconds per token.
    pub(super) fn pace(&self) -> f64 {
        self.pace
    }

    /// The fixed part in seconds.
    pub(super) fn base(&self) -> f64 {
        self.base
    }

    /// Fits the fixed part and the pace to the samples.
    fn fit(&mut self, now: Instant) {
        let mut sums = Sums::default();
        let prior = PRIOR_TOKENS * DEFAULT_PREFILL_SECS;
        sums.add(BASE_PRIOR_WEIGHT / prior, 1.0, 0.0, 0.0);
        sums.add(PACE_PRIOR_WEIGHT / prior, 0.0, PRIOR_TOKENS, prior);
        for sample in &self.samples {
            let age = now.saturating_duration_since(sample.at).as_secs_f64();
            let weight = 0.5_f64
                .powf(age / HALF_LIFE.as_secs_f64())
                .max(AGE_WEIGHT_MIN);
            // If the engine was busy, it started this prompt when it had read
            // the previous one, a fixed part before that one's first event.
            let busy = sample
                .since_previous
                .filter(|since_previous| since_previous + self.base <= sample.elapsed);
            if busy.is_none() && sample.fetched {
                // A fetch adds a delay that is not the usual fixed part.
                continue;
            }
            let idle = if busy.is_some() { 0.0 } else { 1.0 };
            let expected = idle * self.base + sample.tokens * self.pace;
            let elapsed = busy.unwrap_or(sample.elapsed);
            let elapsed = elapsed.min((expected * OUTLIER_FACTOR).max(OUTLIER_MIN));
            // Variance grows with the expected time. With this weight, the
            // pace of an engine with a long queue is its total time divided by
            // its total tokens.
            let weight = weight / expected.max(EXPECTED_MIN);
            sums.add(weight, idle, sample.tokens, elapsed);
        }
        (self.base, self.pace) = sums.solve();
    }
}

impl Sums {
    /// Adds a sample of `tokens` that took `elapsed` seconds; `idle` is 1 if
    /// the engine was idle before, so that the fixed part is included.
    fn add(&mut self, weight: f64, idle: f64, tokens: f64, elapsed: f64) {
        self.idle += weight * idle;
        self.idle_tokens += weight * idle * tokens;
        self.idle_time += weight * idle * elapsed;
        self.tokens_squared += weight * tokens * tokens;
        self.tokens_time += weight * tokens * elapsed;
    }

    /// The fixed part and the pace of the best fit, within their bounds.
    fn solve(&self) -> (f64, f64) {
        let determinant = self.idle * self.tokens_squared - self.idle_tokens.powi(2);
        let pace = (self.idle * self.tokens_time - self.idle_tokens * self.idle_time)
            / determinant.max(f64::MIN_POSITIVE);
        let base = (self.idle_time - self.idle_tokens * pace) / self.idle;
        let base = base.clamp(0.0, BASE_MAX);
        // Solves for the pace again with the clamped fixed part.
        let pace = (self.tokens_time - self.idle_tokens * base) / self.tokens_squared;
        (base, pace.max(DEFAULT_PREFILL_SECS / MAX_SPEEDUP))
    }
}
