//! Estimates the length of answers from those that completed. A length is
//! unknown in advance, but a rough estimate is enough to compare two servers.

use std::collections::HashMap;

/// Assumed length of answers of a class without completed ones, in tokens.
const DEFAULT_TOKENS: f64 = 128.0;

/// Weight of a new answer in the mean.
const WEIGHT: f64 = 1.0 / 16.0;

/// Moving average of the answer length by class, in tokens.
#[derive(Debug, Default)]
pub struct AnswerLengths {
    means: HashMap<String, f64>,
}

impl AnswerLengths {
    /// Records a completed answer.
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
