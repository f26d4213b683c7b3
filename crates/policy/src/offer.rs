//! Which of the offered slots to take, and whether to wait for a better one.
//! See docs/DECISIONS/0002-late-binding.md.

use std::time::Duration;

use crate::pace::Pace;

/// A slot is left waiting only for one that would end the answer in less than
/// this part of the time; smaller differences are noise of the estimates.
const CLEARLY: f64 = 0.7;

/// Time for the answer of a sidecar with a free slot to arrive.
const ARRIVAL: Duration = Duration::from_millis(5);

/// What one sidecar offers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Offer {
    /// Time until its slot is free; zero when it is held already.
    pub wait: Duration,
    /// The backend server's pace.
    pub pace: Pace,
    /// Tokens of the prompt that it has in its cache.
    pub cached: u32,
}

/// What the offers are compared for.
#[derive(Debug, Clone, Copy)]
pub struct Size {
    /// Tokens of the prompt.
    pub prompt: u32,
    /// Expected tokens of the answer.
    pub answer: u32,
}

impl Offer {
    /// Expected time until the answer ends. Falls back to the pool's `usual`
    /// pace for a server whose own is not known.
    #[must_use]
    pub fn finish(&self, size: Size, usual: Pace) -> Duration {
        let pace = if self.pace.known() { self.pace } else { usual };
        // The time to the first token is the prompt's, so a cached part of
        // the prompt saves its share of it.
        let left = size.prompt.saturating_sub(self.cached);
        let share = f64::from(left) / f64::from(size.prompt.max(1));
        self.wait + pace.first.mul_f64(share) + pace.token.saturating_mul(size.answer)
    }
}

/// How long to leave the best slot held while a better one may come: until
/// the better one is expected, but never for longer than taking it would gain
/// and never beyond `limit`. Zero when no `other` is clearly better.
#[must_use]
pub fn grace(
    held: Offer,
    others: impl Iterator<Item = Offer>,
    size: Size,
    usual: Pace,
    limit: Duration,
) -> Duration {
    let taken = held.finish(size, usual);
    let better = others.filter(|o| o.finish(size, usual) < taken.mul_f64(CLEARLY));
    let wait = better.map(|o| (o.wait + o.wait / 2 + ARRIVAL).min(taken - o.finish(size, usual)));
    wait.max().unwrap_or_default().min(limit)
}
