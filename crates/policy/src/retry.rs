//! Whether a failed request may be retried, and the retry budget of each
//! request class. See docs/DECISIONS/0202-retries.md.

use std::collections::HashMap;
use std::time::Duration;

use base::reason::{Executed, RetryReason};

/// The capacity of a class's token bucket, in retries. It is enough for the
/// requests that one server loses when it crashes, and too little to aggravate an
/// overload.
const BUCKET_CAPACITY: f64 = 10.0;

/// Tolerance for the rounding error of sums of small shares.
const ROUNDING_TOLERANCE: f64 = 1e-6;

/// A token bucket of retries for each class, which only granted requests
/// refill. When every server fails, no request is granted, and retries stop when
/// the bucket is empty.
#[derive(Debug, Default)]
pub struct RetryBudget {
    /// Retries left, by class.
    left: HashMap<String, f64>,
    /// Whether retries are unlimited, as a baseline for measurements.
    unlimited: bool,
}

impl RetryBudget {
    /// Creates a budget in which the bucket of every class is full.
    #[must_use]
    pub fn new(unlimited: bool) -> Self {
        Self {
            left: HashMap::new(),
            unlimited,
        }
    }

    /// Adds `share` of a retry to the bucket of a class for a granted request.
    pub fn earn(&mut self, class: &str, share: f64) {
        if let Some(left) = self.left.get_mut(class) {
            *left = (*left + share).min(BUCKET_CAPACITY);
        }
    }

    /// Takes one retry from the bucket; returns whether one was left.
    pub fn take(&mut self, class: &str) -> bool {
        if self.unlimited {
            return true;
        }
        // Buckets are created on the first retry, so that classes without
        // retries use no memory.
        if !self.left.contains_key(class) {
            self.left.insert(class.to_owned(), BUCKET_CAPACITY);
        }
        // Due to rounding, ten shares of 0.1 add up to slightly less than 1.
        let left = self
            .left
            .get_mut(class)
            .filter(|left| **left + ROUNDING_TOLERANCE >= 1.0);
        left.map(|left| *left -= 1.0).is_some()
    }

    /// The retries that are left to a class.
    #[must_use]
    pub fn retries_left(&self, class: &str) -> f64 {
        self.left.get(class).copied().unwrap_or(BUCKET_CAPACITY)
    }
}

/// An attempt to run a request that failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FailedAttempt {
    /// The reason for a retry.
    pub cause: RetryReason,
    /// Whether the request may have run.
    pub ran: Executed,
    /// Whether a part of the answer was delivered to the caller.
    pub delivered: bool,
}

/// Whether a failed request may be retried at another server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RetryDecision {
    /// It may be retried, if the budget has a retry left.
    Again,
    /// It must not be retried, because it could run twice.
    NotRepeatable,
    /// It must not be retried, because the caller already has a part of the
    /// first answer.
    Delivered,
    /// A retry would miss the deadline.
    TooLate,
}

impl FailedAttempt {
    /// Decides whether to retry. `left` is the time until the deadline and `need`
    /// the least time that another attempt takes.
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
