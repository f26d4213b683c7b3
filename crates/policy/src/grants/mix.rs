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
const HALF_LIFE: Duration = Duration::from_secs(1);

/// The largest part that counts. Beyond, nothing less urgent would be let wait
/// even for a moment.
const SHARE_MAX: f64 = 0.8;

/// Work that was let in lately, by rank.
#[derive(Debug, Default)]
pub(super) struct RankMix {
    work: [f64; RANKS],
    last_update: Option<Instant>,
}

impl RankMix {
    /// Notes that a call of `rank` was let in; `work` is its cost, in any unit.
    pub(super) fn add(&mut self, now: Instant, rank: u8, work: f64) {
        if let Some(last_update) = self.last_update {
            let age = now.saturating_duration_since(last_update).as_secs_f64();
            let left = 0.5_f64.powf(age / HALF_LIFE.as_secs_f64());
            self.work.iter_mut().for_each(|w| *w *= left);
        }
        self.last_update = Some(now);
        self.work[usize::from(rank).min(RANKS - 1)] += work;
    }

    /// The part that was more urgent than `rank`.
    pub(super) fn share_before(&self, rank: u8) -> f64 {
        let total: f64 = self.work.iter().sum();
        let urgent = &self.work[..usize::from(rank).min(RANKS)];
        let urgent: f64 = urgent.iter().sum();
        if total > 0.0 {
            (urgent / total).min(SHARE_MAX)
        } else {
            0.0
        }
    }
}
