//! How long answers are, learned from those that ended. Nobody knows a length
//! in advance; comparing two servers needs only a fair guess.

use std::collections::HashMap;

/// The guess for a class of which no answer has ended yet, in tokens.
const DEFAULT_TOKENS: f64 = 128.0;

/// Weight of one more answer in the mean.
const WEIGHT: f64 = 1.0 / 16.0;

/// The mean length of answers by class, in tokens, newer ones weighing more.
#[derive(Debug, Default)]
pub struct AnswerLengths {
    means: HashMap<String, f64>,
}

impl AnswerLengths {
    /// Notes an answer that ended.
    pub fn record(&mut self, class: &str, tokens: u32) {
        let tokens = f64::from(tokens);
        if let Some(mean) = self.means.get_mut(class) {
            *mean += (tokens - *mean) * WEIGHT;
            return;
        }
        self.means.insert(class.to_owned(), tokens);
    }

    /// The expected length of an answer of at most `limit` tokens.
    #[must_use]
    pub fn expected_tokens(&self, class: &str, limit: u32) -> u32 {
        let mean = self.means.get(class).copied().unwrap_or(DEFAULT_TOKENS);
        (mean.round() as u32).min(limit)
    }
}
