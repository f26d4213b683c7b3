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

use crate::estimate::DEFAULT_PREFILL_SECS;

/// The most that the fixed part is believed to take, in seconds: a call that
/// waited for a slot says little about it.
const BASE_MOST: f64 = 0.3;

/// First events that are remembered.
const RECENT: usize = 48;

/// How soon half of them count no more: where few calls come, an engine that
/// has changed would else be believed to be as it was for a minute.
const HALF: Duration = Duration::from_millis(1500);

/// The least that a remembered one counts: old ones are better than a guess.
const OLD_LEAST: f64 = 0.02;

/// First events that the guess of no fixed part counts for.
const BASE_WEIGHT: f64 = 0.001;

/// First events that the guess of the pace counts for.
const GUESS_WEIGHT: f64 = 0.03;

/// Tokens of those first events.
const GUESS_TOKENS: f64 = 300.0;

/// Times of what was expected that one first event may count for. An engine
/// that stood still, or a path that lost packets, says nothing about reading.
const OUTLIER: f64 = 6.0;

/// The same in seconds, below which nothing is cut off.
const OUTLIER_LEAST: f64 = 0.25;

/// The least time by which first events are weighed, in seconds: steps of the
/// engine and the network add as much to any.
const VARIES_LEAST: f64 = 0.01;

/// Rounds of a fit: which first events had others read before them follows
/// from the fixed part, and the other way round.
const ROUNDS: usize = 3;

/// How much faster than the guess an engine may be believed to read.
const PACE_RANGE: f64 = 100.0;

/// What first events take at one engine.
#[derive(Debug)]
pub(super) struct TtftModel {
    seen: VecDeque<TtftSample>,
    /// When the last first event came.
    last: Option<Instant>,
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
    took: f64,
    /// Seconds since the first event before it; none for the very first.
    after: Option<f64>,
    /// Whether a part of the tokens stands for what was fetched.
    fetched: bool,
}

/// Sums of a least-squares fit.
#[derive(Debug, Default)]
struct Sums {
    alone: f64,
    alone_tokens: f64,
    alone_time: f64,
    squares: f64,
    products: f64,
}

impl Default for TtftModel {
    fn default() -> Self {
        Self {
            seen: VecDeque::new(),
            last: None,
            base: 0.0,
            pace: DEFAULT_PREFILL_SECS,
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
        let last = self.last.replace(now);
        if self.seen.len() == RECENT {
            self.seen.pop_front();
        }
        self.seen.push_back(TtftSample {
            at: now,
            tokens: f64::from(tokens),
            took: seconds(since),
            after: last.map(seconds),
            fetched,
        });
        for _ in 0..ROUNDS {
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
        let guess = GUESS_TOKENS * DEFAULT_PREFILL_SECS;
        sums.add(BASE_WEIGHT / guess, 1.0, 0.0, 0.0);
        sums.add(GUESS_WEIGHT / guess, 0.0, GUESS_TOKENS, guess);
        for seen in &self.seen {
            let age = now.saturating_duration_since(seen.at).as_secs_f64();
            let weight = 0.5_f64.powf(age / HALF.as_secs_f64()).max(OLD_LEAST);
            // The engine began with it when it had read the one before, which
            // was the fixed part before that one's first event.
            let busy = seen.after.filter(|after| after + self.base <= seen.took);
            if busy.is_none() && seen.fetched {
                // What it waited for besides is not the usual fixed part.
                continue;
            }
            let alone = if busy.is_some() { 0.0 } else { 1.0 };
            let expected = alone * self.base + seen.tokens * self.pace;
            let took = busy.unwrap_or(seen.took);
            let took = took.min((expected * OUTLIER).max(OUTLIER_LEAST));
            // What takes longer varies more. Weighed so, the pace of an engine
            // with a long queue is all its time by all its tokens.
            let weight = weight / expected.max(VARIES_LEAST);
            sums.add(weight, alone, seen.tokens, took);
        }
        (self.base, self.pace) = sums.solve();
    }
}

impl Sums {
    /// Adds a first event that took `took` seconds for `tokens`, and for the
    /// fixed part if it stood `alone`.
    fn add(&mut self, weight: f64, alone: f64, tokens: f64, took: f64) {
        self.alone += weight * alone;
        self.alone_tokens += weight * alone * tokens;
        self.alone_time += weight * alone * took;
        self.squares += weight * tokens * tokens;
        self.products += weight * tokens * took;
    }

    /// The fixed part and the pace that fit best, within what both can be.
    fn solve(&self) -> (f64, f64) {
        let determinant = self.alone * self.squares - self.alone_tokens.powi(2);
        let pace = (self.alone * self.products - self.alone_tokens * self.alone_time)
            / determinant.max(f64::MIN_POSITIVE);
        let base = (self.alone_time - self.alone_tokens * pace) / self.alone;
        let base = base.clamp(0.0, BASE_MOST);
        // With the fixed part held where it can be, the rest is reading.
        let pace = (self.products - self.alone_tokens * base) / self.squares;
        (base, pace.max(DEFAULT_PREFILL_SECS / PACE_RANGE))
    }
}
