//! When a request may be tried again, and how often a class may do so. See
//! docs/DECISIONS/0202-retries.md.

use std::collections::HashMap;
use std::time::Duration;

use base::reason::{Executed, RetryReason};

/// Retries that a class may save up. Enough for the requests that one server
/// loses when it crashes, too few to add to an overload.
const SAVED: f64 = 10.0;

/// Rounding that sums of small shares may have lost.
const SLACK: f64 = 1e-6;

/// The retries that are left to each class: a token bucket that only grants
/// fill. When every server fails nothing is granted, so nothing fills it, and
/// the retries end after those saved up.
#[derive(Debug, Default)]
pub struct RetryBudget {
    /// Retries left, by class.
    left: HashMap<String, f64>,
    /// Whether retries are unlimited, as a baseline to measure against.
    unlimited: bool,
}

impl RetryBudget {
    /// Makes a budget in which every class has its retries saved up.
    #[must_use]
    pub fn new(unlimited: bool) -> Self {
        Self {
            left: HashMap::new(),
            unlimited,
        }
    }

    /// Notes a grant, which earns `share` of a retry.
    pub fn earn(&mut self, class: &str, share: f64) {
        if let Some(left) = self.left.get_mut(class) {
            *left = (*left + share).min(SAVED);
        }
    }

    /// Takes one retry, if one is left.
    pub fn take(&mut self, class: &str) -> bool {
        if self.unlimited {
            return true;
        }
        // Only classes that retry take up memory.
        if !self.left.contains_key(class) {
            self.left.insert(class.to_owned(), SAVED);
        }
        // Ten tenths add up to a little less than one.
        let left = self
            .left
            .get_mut(class)
            .filter(|left| **left + SLACK >= 1.0);
        left.map(|left| *left -= 1.0).is_some()
    }

    /// The retries that are left to a class.
    #[must_use]
    pub fn retries_left(&self, class: &str) -> f64 {
        self.left.get(class).copied().unwrap_or(SAVED)
    }
}

/// A try that came to nothing.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FailedAttempt {
    /// Why it would be tried again.
    pub cause: RetryReason,
    /// Whether the request may have run.
    pub ran: Executed,
    /// Whether a part of the answer reached the caller.
    pub delivered: bool,
}

/// Whether a failed request may be tried again at another server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RetryDecision {
    /// It may, if the budget has a retry left.
    Again,
    /// It must not, because it could run twice.
    NotRepeatable,
    /// It must not, because the caller has a part of another answer.
    Delivered,
    /// It would come too late.
    TooLate,
}

impl FailedAttempt {
    /// Judges whether to try again. `left` is the time until the answer is
    /// due and `need` what another try takes at least.
    #[must_use]
    pub fn decide(&self, repeatable: bool, left: Duration, need: Duration) -> RetryDecision {
        if self.delivered {
            return RetryDecision::Delivered;
        }
        if self.ran != Executed::No && !repeatable {
            return RetryDecision::NotRepeatable;
        }
        if left <= need {
            return RetryDecision::TooLate;
        }
        RetryDecision::Again
    }
}
