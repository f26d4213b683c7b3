//! Estimate of the time to copy prompt tokens from another engine.
//!
//! On fast links, copying a token takes a sixth to an eighth of the time to
//! prefill it; on links that are slow, or slow to start, copying takes longer
//! than prefill. The operators declare a rate, but only measured first events
//! show the real one.

use std::collections::VecDeque;
use std::time::Duration;

/// Shorter prompt sections are read instead of fetched: setting up a copy
/// takes about as long as reading a few hundred tokens.
pub const MIN_FETCH_TOKENS: u32 = 500;

/// Seconds per token if no rate is declared; low enough that fetching is
/// tried.
const TOKEN_TIME_PRIOR: f64 = 2.5e-6;

/// Number of recent fetches kept.
const MAX_SAMPLES: usize = 32;

/// Fetches needed before measurements replace the declared rate.
const MIN_SAMPLES: usize = 8;

/// Quantile of the measured times that is used: slower fetches were also
/// waiting for something else.
const QUANTILE: f64 = 0.25;

/// Fetching pays if it takes less than this part of the prefill time.
const PAYS_RATIO: f64 = 0.8;

/// One call in this many fetches even if that does not seem to pay, to notice
/// when it pays again.
const PROBE_INTERVAL: u32 = 16;

/// Fetch times at one engine.
#[derive(Debug, Default)]
pub(super) struct FetchEstimate {
    /// Declared seconds per token.
    declared: Option<f64>,
    /// Measured seconds per token.
    samples: VecDeque<f64>,
    /// Calls since the last fetch that could have fetched.
    skipped: u32,
}

impl FetchEstimate {
    /// Sets the time per token that the operators declare.
    pub(super) fn declare(&mut self, token: Option<Duration>) {
        self.declared = token.map(|t| t.as_secs_f64());
    }

    /// Records that fetching `tokens` took `seconds`.
    pub(super) fn record(&mut self, tokens: u32, seconds: f64) {
        if self.samples.len() == MAX_SAMPLES {
            self.samples.pop_front();
        }
        let token_time = seconds.max(0.0) / f64::from(tokens.max(1));
        self.samples.push_back(token_time);
    }

    /// Notes that a call was admitted that could fetch, and whether it does.
    pub(super) fn record_chance(&mut self, fetches: bool) {
        self.skipped = if fetches { 0 } else { self.skipped + 1 };
    }

    /// Estimated seconds per token.
    pub(super) fn token_time(&self) -> f64 {
        if self.samples.len() < MIN_SAMPLES {
            return self.declared.unwrap_or(TOKEN_TIME_PRIOR);
        }
        let mut sorted: Vec<f64> = self.samples.iter().copied().collect();
        let rank = (sorted.len() as f64 * QUANTILE) as usize;
        let (_, token_time, _) = sorted.select_nth_unstable_by(rank, f64::total_cmp);
        *token_time
    }

    /// Whether the next call should fetch if prefill takes `pace` seconds per
    /// token.
    pub(super) fn pays(&self, pace: f64) -> bool {
        self.token_time() < pace * PAYS_RATIO || self.skipped >= PROBE_INTERVAL
    }
}
