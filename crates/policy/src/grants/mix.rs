//! The share of an engine's recent work that was more urgent than a call.
//!
//! A queued call is overtaken by more urgent calls that arrive after it. While
//! these take a share of the engine, work of lower priority takes longer by
//! the inverse of what is left.

use std::time::{Duration, Instant};

/// Number of ranks.
const RANKS: usize = 10;

/// Half-life of recorded work: a burst of one tier begins and ends within a
/// second.
const HALF_LIFE: Duration = Duration::from_secs(1);

/// Largest share that is used; a larger one would refuse all less urgent
/// calls, even for a short wait.
const SHARE_MAX: f64 = 0.8;

/// Recently admitted work by rank.
#[derive(Debug, Default)]
pub(super) struct RankMix {
    work: [f64; RANKS],
    last_update: Option<Instant>,
}

impl RankMix {
    /// Records an admitted call of `rank`; `work` may be in any unit.
    pub(super) fn add(&mut self, now: Instant, rank: u8, work: f64) {
        if let Some(last_update) = self.last_update {
            let age = now.saturating_duration_since(last_update).as_secs_f64();
            let left = 0.5_f64.powf(age / HALF_LIFE.as_secs_f64());
            self.work.iter_mut().for_each(|w| *w *= left);
        }
        self.last_update = Some(now);
        self.work[usize::from(rank).min(RANKS - 1)] += work;
    }

    /// The share of the work that was more urgent than `rank`.
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
