//! How fast an engine reads.

use std::time::Instant;

use crate::estimate::READ_GUESS;

/// Seconds for which the guess counts in the measured mean.
const GUESS_WEIGHT: f64 = 0.2;

/// What is left of the measured time and tokens after each call, so that the
/// last fifty or so decide.
const PACE_DECAY: f64 = 0.98;

/// Part of what the measured pace is too slow by that one faster call takes
/// back; the engine may have held more of its prompt than was believed.
const PACE_CORRECTED: f64 = 0.05;

/// How fast an engine reads, measured while it has enough to read.
#[derive(Debug, Default)]
pub(super) struct Pace {
    /// Seconds and tokens, older ones with less weight.
    time: f64,
    tokens: f64,
    /// When a call was last read while others waited.
    last: Option<Instant>,
}

impl Pace {
    /// Notes that the engine has read `tokens`; `busy` says whether it has
    /// more to read, without which it may pause.
    pub(super) fn read(&mut self, now: Instant, tokens: u32, busy: bool) {
        if let Some(last) = self.last {
            let took = now.saturating_duration_since(last).as_secs_f64();
            self.time = self.time * PACE_DECAY + took;
            self.tokens = self.tokens * PACE_DECAY + f64::from(tokens);
        }
        self.last = busy.then_some(now);
    }

    /// Notes that a token took no more than `seconds`. A pace measured while
    /// the engine was slow would otherwise stand for as long as too little is
    /// let in to measure it anew.
    pub(super) fn at_most(&mut self, seconds: f64) {
        let off = self.get() - seconds;
        if off > 0.0 {
            let tokens = self.tokens + GUESS_WEIGHT / READ_GUESS;
            self.time = (self.time - off * tokens * PACE_CORRECTED).max(0.0);
        }
    }

    /// Seconds for a token.
    pub(super) fn get(&self) -> f64 {
        let guess = GUESS_WEIGHT / READ_GUESS;
        (self.time + GUESS_WEIGHT) / (self.tokens + guess)
    }
}
