//! What copying a prompt's tokens from another engine takes.
//!
//! Where links are fast a token is copied in a sixth to an eighth of the time
//! that reading it takes; where they are slow, or slow to start, it takes
//! longer. The operators declare a rate, but only first events tell.

use std::collections::VecDeque;
use std::time::Duration;

/// Fewer tokens are read rather than fetched: setting a copy up takes about as
/// long as reading a few hundred tokens.
pub const MIN_FETCH_TOKENS: u32 = 500;

/// Seconds for a token where nothing is declared, so that it is tried.
const TOKEN_TIME_PRIOR: f64 = 2.5e-6;

/// Fetches that are remembered.
const MAX_SAMPLES: usize = 32;

/// Fetches wanted before they count for more than what is declared.
const MIN_SAMPLES: usize = 8;

/// The part of the fetches that took less than what is believed: the others
/// waited for something else too.
const QUANTILE: f64 = 0.25;

/// Part of the time of reading a token within which fetching it pays.
const PAYS_RATIO: f64 = 0.8;

/// One call in so many fetches though it does not seem to pay, to notice when
/// it does again.
const PROBE_INTERVAL: u32 = 16;

/// What fetching takes at one engine.
#[derive(Debug, Default)]
pub(super) struct FetchEstimate {
    /// Seconds for a token, by what the operators declare.
    declared: Option<f64>,
    /// The same by first events.
    samples: VecDeque<f64>,
    /// Calls since the last fetch that could have fetched.
    skipped: u32,
}

impl FetchEstimate {
    /// Takes over the time of a token that the operators declare.
    pub(super) fn declare(&mut self, token: Option<Duration>) {
        self.declared = token.map(|t| t.as_secs_f64());
    }

    /// Notes that fetching `tokens` took so many seconds.
    pub(super) fn record(&mut self, tokens: u32, seconds: f64) {
        if self.samples.len() == MAX_SAMPLES {
            self.samples.pop_front();
        }
        let token_time = seconds.max(0.0) / f64::from(tokens.max(1));
        self.samples.push_back(token_time);
    }

    /// Notes that a call which could fetch was let in.
    pub(super) fn record_chance(&mut self, fetches: bool) {
        self.skipped = if fetches { 0 } else { self.skipped + 1 };
    }

    /// Seconds for a token.
    pub(super) fn token_time(&self) -> f64 {
        if self.samples.len() < MIN_SAMPLES {
            return self.declared.unwrap_or(TOKEN_TIME_PRIOR);
        }
        let mut sorted: Vec<f64> = self.samples.iter().copied().collect();
        let rank = (sorted.len() as f64 * QUANTILE) as usize;
        let (_, token_time, _) = sorted.select_nth_unstable_by(rank, f64::total_cmp);
        *token_time
    }

    /// Whether the next call should fetch where reading a token takes `pace`
    /// seconds.
    pub(super) fn pays(&self, pace: f64) -> bool {
        self.token_time() < pace * PAYS_RATIO || self.skipped >= PROBE_INTERVAL
    }
}
