//! Which of the offered slots to take, and whether to wait for a better one.
//! See docs/DECISIONS/0002-late-binding.md.

use std::time::Duration;

use crate::load::TokenLatency;

/// A slot is left waiting only for one that would end the answer in less than
/// this part of the time; smaller differences are noise of the estimates.
const MIN_GAIN_RATIO: f64 = 0.7;

/// Time for the answer of a sidecar with a free slot to arrive.
const REPLY_ALLOWANCE: Duration = Duration::from_millis(5);

/// What one sidecar offers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Offer {
    /// Time until its slot is free; zero when it is held already.
    pub wait: Duration,
    /// The backend server's pace.
    pub latency: TokenLatency,
    /// Tokens of the prompt that it has in its cache.
    pub cached_tokens: u32,
}

/// What the offers are compared for.
#[derive(Debug, Clone, Copy)]
pub struct RequestSize {
    /// Tokens of the prompt.
    pub prompt_tokens: u32,
    /// Expected tokens of the answer.
    pub answer_tokens: u32,
}

impl Offer {
    /// Expected time until the answer ends. Falls back to the pool's `usual`
    /// pace for a server whose own is not known.
    #[must_use]
    pub fn completion_time(&self, size: RequestSize, usual: TokenLatency) -> Duration {
        let pace = if self.latency.is_measured() {
            self.latency
        } else {
            usual
        };
        // The time to the first token is the prompt's, so a cached part of
        // the prompt saves its share of it.
        let left = size.prompt_tokens.saturating_sub(self.cached_tokens);
        let share = f64::from(left) / f64::from(size.prompt_tokens.max(1));
        self.wait
            + pace.first_token.mul_f64(share)
            + pace.per_token.saturating_mul(size.answer_tokens)
    }
}

/// How long to leave the best slot held while a better one may come: until
/// the better one is expected, but never for longer than taking it would gain
/// and never beyond `limit`. Zero when no `other` is clearly better.
#[must_use]
pub fn grace_period(
    held: Offer,
    others: impl Iterator<Item = Offer>,
    size: RequestSize,
    usual: TokenLatency,
    limit: Duration,
) -> Duration {
    let taken = held.completion_time(size, usual);
    let better = others.filter(|o| o.completion_time(size, usual) < taken.mul_f64(MIN_GAIN_RATIO));
    let wait = better.map(|o| {
        (o.wait + o.wait / 2 + REPLY_ALLOWANCE).min(taken - o.completion_time(size, usual))
    });
    wait.max().unwrap_or_default().min(limit)
}
