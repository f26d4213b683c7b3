//! How much of what an engine takes in is more urgent than a call.
//!
//! A call that waits is overtaken by more urgent ones that come after it. While
//! they take a part of the engine, what is left of it for the others takes as
//! much longer.

use std::time::{Duration, Instant};

/// Ranks that engines know.
const RANKS: usize = 10;

/// How soon half of what was let in counts no more: a burst of one tier begins
/// and ends within a second.
const HALF: Duration = Duration::from_secs(1);

/// The largest part that counts. Beyond, nothing less urgent would be let wait
/// even for a moment.
const MOST: f64 = 0.8;

/// Work that was let in lately, by rank.
#[derive(Debug, Default)]
pub(super) struct RankMix {
    work: [f64; RANKS],
    last: Option<Instant>,
}

impl RankMix {
    /// Notes that a call of `rank` was let in; `work` is its cost, in any unit.
    pub(super) fn add(&mut self, now: Instant, rank: u8, work: f64) {
        if let Some(last) = self.last {
            let age = now.saturating_duration_since(last).as_secs_f64();
            let left = 0.5_f64.powf(age / HALF.as_secs_f64());
            self.work.iter_mut().for_each(|w| *w *= left);
        }
        self.last = Some(now);
        self.work[usize::from(rank).min(RANKS - 1)] += work;
    }

    /// The part that was more urgent than `rank`.
    pub(super) fn share_before(&self, rank: u8) -> f64 {
        let all: f64 = self.work.iter().sum();
        let before = &self.work[..usize::from(rank).min(RANKS)];
        let before: f64 = before.iter().sum();
        if all > 0.0 {
            (before / all).min(MOST)
        } else {
            0.0
        }
    }
}
