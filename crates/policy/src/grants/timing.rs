//! What a first event takes: a fixed part, and reading.
//!
//! Load pattern: an engine that reads fast has few prompts inside at a time,
//! and most of what passes between two first events is the fixed part. Taken
//! for reading, it makes the engine look slow, so that less is let in and the
//! next measurement looks the same. Both are fitted together from the last
//! first events, and time in which nothing was to be read says nothing of
//! reading.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use crate::estimate::READ_GUESS;

/// The most that the fixed part is believed to take, in seconds: a call that
/// waited for a slot says little about it.
const BASE_MAX: f64 = 0.3;

/// First events that are remembered.
const MAX_SAMPLES: usize = 48;

/// How soon half of them count no more: where few calls come, an engine that
/// has changed would else be believed to be as it was for a minute.
const HALF_LIFE: Duration = Duration::from_millis(1500);

/// The least that a remembered one counts: old ones are better than a guess.
const AGE_WEIGHT_MIN: f64 = 0.02;

/// First events that the guess of no fixed part counts for.
const BASE_PRIOR_WEIGHT: f64 = 0.001;

/// First events that the guess of the pace counts for.
const PACE_PRIOR_WEIGHT: f64 = 0.03;

/// Tokens of those first events.
const PRIOR_TOKENS: f64 = 300.0;

/// Times of what was expected that one first event may count for. An engine
/// that stood still, or a path that lost packets, says nothing about reading.
const OUTLIER_FACTOR: f64 = 6.0;

/// The same in seconds, below which nothing is cut off.
const OUTLIER_MIN: f64 = 0.25;

/// The least time by which first events are weighed, in seconds: steps of the
/// engine and the network add as much to any.
const EXPECTED_MIN: f64 = 0.01;

/// Rounds of a fit: which first events had others read before them follows
/// from the fixed part, and the other way round.
const FIT_ITERATIONS: usize = 3;

/// How much faster than the guess an engine may be believed to read.
const MAX_SPEEDUP: f64 = 100.0;

/// What first events take at one engine.
#[derive(Debug)]
pub(super) struct TtftModel {
    samples: VecDeque<TtftSample>,
    /// When the last first event came.
    last_event: Option<Instant>,
    /// Seconds of the fixed part.
    base: f64,
    /// Seconds for a token.
    pace: f64,
}

/// One first event.
#[derive(Debug, Clone, Copy)]
struct TtftSample {
    at: Instant,
    tokens: f64,
    /// Seconds since its call was let in.
    elapsed: f64,
    /// Seconds since the first event before it; none for the very first.
    since_previous: Option<f64>,
    /// Whether a part of the tokens stands for what was fetched.
    fetched: bool,
}

/// Sums of a least-squares fit.
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
            pace: READ_GUESS,
        }
    }
}

impl TtftModel {
    /// Notes that a call which was let in at `since` to read `tokens` has its
    /// first event; `fetched` says whether a part of them stands for what it
    /// fetched.
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

    /// Seconds for a token.
    pub(super) fn pace(&self) -> f64 {
        self.pace
    }

    /// The fixed part, in seconds.
    pub(super) fn base(&self) -> f64 {
        self.base
    }

    /// Fits both to what was seen.
    fn fit(&mut self, now: Instant) {
        let mut sums = Sums::default();
        let prior = PRIOR_TOKENS * READ_GUESS;
        sums.add(BASE_PRIOR_WEIGHT / prior, 1.0, 0.0, 0.0);
        sums.add(PACE_PRIOR_WEIGHT / prior, 0.0, PRIOR_TOKENS, prior);
        for sample in &self.samples {
            let age = now.saturating_duration_since(sample.at).as_secs_f64();
            let weight = 0.5_f64
                .powf(age / HALF_LIFE.as_secs_f64())
                .max(AGE_WEIGHT_MIN);
            // The engine began with it when it had read the one before, which
            // was the fixed part before that one's first event.
            let busy = sample
                .since_previous
                .filter(|since_previous| since_previous + self.base <= sample.elapsed);
            if busy.is_none() && sample.fetched {
                // What it waited for besides is not the usual fixed part.
                continue;
            }
            let idle = if busy.is_some() { 0.0 } else { 1.0 };
            let expected = idle * self.base + sample.tokens * self.pace;
            let elapsed = busy.unwrap_or(sample.elapsed);
            let elapsed = elapsed.min((expected * OUTLIER_FACTOR).max(OUTLIER_MIN));
            // What takes longer varies more. Weighed so, the pace of an engine
            // with a long queue is all its time by all its tokens.
            let weight = weight / expected.max(EXPECTED_MIN);
            sums.add(weight, idle, sample.tokens, elapsed);
        }
        (self.base, self.pace) = sums.solve();
    }
}

impl Sums {
    /// Adds a first event that took `took` seconds for `tokens`, and for the
    /// fixed part if it stood `alone`.
    fn add(&mut self, weight: f64, idle: f64, tokens: f64, elapsed: f64) {
        self.idle += weight * idle;
        self.idle_tokens += weight * idle * tokens;
        self.idle_time += weight * idle * elapsed;
        self.tokens_squared += weight * tokens * tokens;
        self.tokens_time += weight * tokens * elapsed;
    }

    /// The fixed part and the pace that fit best, within what both can be.
    fn solve(&self) -> (f64, f64) {
        let determinant = self.idle * self.tokens_squared - self.idle_tokens.powi(2);
        let pace = (self.idle * self.tokens_time - self.idle_tokens * self.idle_time)
            / determinant.max(f64::MIN_POSITIVE);
        let base = (self.idle_time - self.idle_tokens * pace) / self.idle;
        let base = base.clamp(0.0, BASE_MAX);
        // With the fixed part held where it can be, the rest is reading.
        let pace = (self.tokens_time - self.idle_tokens * base) / self.tokens_squared;
        (base, pace.max(READ_GUESS / MAX_SPEEDUP))
    }
}
