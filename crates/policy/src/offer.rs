//! Compares the slots that sidecars offer, and decides whether to wait for a
//! better one. See docs/DECISIONS/0002-late-binding.md.

use std::time::Duration;

use crate::load::TokenLatency;

/// The best slot is left unused only for one that would complete the answer
/// within this fraction of its time; smaller differences are within the noise
/// of the estimates.
const BETTER_RATIO: f64 = 0.7;

/// Allowance for the reply of a sidecar with a free slot to arrive.
const REPLY_ALLOWANCE: Duration = Duration::from_millis(5);

/// A slot offered by one sidecar.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Offer {
    /// Time until the slot is free; zero when it is already held for the
    /// request.
    pub wait: Duration,
    /// The backend server's token latencies.
    pub latency: TokenLatency,
    /// Number of the prompt's tokens in the server's prefix cache.
    pub cached_tokens: u32,
}

/// The size of the request that the offers are compared for.
#[derive(Debug, Clone, Copy)]
pub struct RequestSize {
    /// Length of the prompt, in tokens.
    pub prompt_tokens: u32,
    /// Expected length of the answer, in tokens.
    pub answer_tokens: u32,
}

impl Offer {
    /// Expected time until the answer is complete. `usual`, the pool's typical
    /// latency, stands in for a server without measurements.
    #[must_use]
    pub fn completion_time(&self, size: RequestSize, usual: TokenLatency) -> Duration {
        let latency = if self.latency.is_measured() {
            self.latency
        } else {
            usual
        };
        // The time to the first token is spent on the prompt, so cached tokens
        // save their share of it.
        let uncached = size.prompt_tokens.saturating_sub(self.cached_tokens);
        let share = f64::from(uncached) / f64::from(size.prompt_tokens.max(1));
        self.wait
            + latency.first_token.mul_f64(share)
            + latency.per_token.saturating_mul(size.answer_tokens)
    }
}

/// How long to leave the best slot held while a better one may become free:
/// until it is expected, but never longer than waiting would gain, and at most
/// `limit`. Zero when none of `others` is clearly better.
#[must_use]
pub fn grace_period(
    held: Offer,
    others: impl Iterator<Item = Offer>,
    size: RequestSize,
    usual: TokenLatency,
    limit: Duration,
) -> Duration {
    let held_completion = held.completion_time(size, usual);
    let better =
        others.filter(|o| o.completion_time(size, usual) < held_completion.mul_f64(BETTER_RATIO));
    let wait = better.map(|o| {
        (o.wait + o.wait / 2 + REPLY_ALLOWANCE)
            .min(held_completion - o.completion_time(size, usual))
    });
    wait.max().unwrap_or_default().min(limit)
}
