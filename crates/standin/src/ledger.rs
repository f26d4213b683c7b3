//! Counts of what the stand-ins executed for each request. The router is checked
//! against these counts instead of its own reports.

use std::collections::HashMap;
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use serde::{Deserialize, Serialize};

/// Counts of all requests that the stand-ins of a run executed. Clones share the
/// same counts.
#[derive(Debug, Clone, Default)]
pub struct Ledger {
    inner: Arc<Mutex<HashMap<String, Arc<RequestCounters>>>>,
}

/// Counters of one request, updated without a lock.
#[derive(Debug, Default)]
pub struct RequestCounters {
    /// How many times execution was started.
    pub runs: AtomicU32,
    /// Tokens generated in all runs.
    pub output_tokens: AtomicU32,
    /// Prompt tokens computed in all runs, not counting cached ones.
    pub prompt_tokens: AtomicU32,
    /// Runs that completed.
    pub completed_runs: AtomicU32,
}

/// Counts of one request, which is identified by the mark in its body.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RequestCounts {
    /// How many times execution was started.
    pub runs: u32,
    /// Tokens generated in all runs.
    #[serde(rename = "tokens")]
    pub output_tokens: u32,
    /// Prompt tokens computed in all runs, not counting cached ones.
    #[serde(rename = "prompt")]
    pub prompt_tokens: u32,
    /// Runs that completed.
    #[serde(rename = "ended")]
    pub completed_runs: u32,
}

impl RequestCounters {
    /// Adds `n` to one of the counters.
    pub fn add(counter: &AtomicU32, n: u32) {
        counter.fetch_add(n, Ordering::Relaxed);
    }

    fn counts(&self) -> RequestCounts {
        RequestCounts {
            runs: self.runs.load(Ordering::Relaxed),
            output_tokens: self.output_tokens.load(Ordering::Relaxed),
            prompt_tokens: self.prompt_tokens.load(Ordering::Relaxed),
            completed_runs: self.completed_runs.load(Ordering::Relaxed),
        }
    }
}

impl Ledger {
    /// Returns the counters of the request with the given mark, creating them if
    /// necessary.
    #[must_use]
    pub fn counters(&self, mark: &str) -> Arc<RequestCounters> {
        let mut inner = self.lock();
        if let Some(counters) = inner.get(mark) {
            return Arc::clone(counters);
        }
        Arc::clone(inner.entry(mark.to_owned()).or_default())
    }

    /// Returns the counts of one request; all zero when it was never executed.
    #[must_use]
    pub fn counts(&self, mark: &str) -> RequestCounts {
        self.lock()
            .get(mark)
            .map(|a| a.counts())
            .unwrap_or_default()
    }

    /// Returns the counts of all requests by mark.
    #[must_use]
    pub fn all_counts(&self) -> HashMap<String, RequestCounts> {
        let inner = self.lock();
        inner.iter().map(|(m, a)| (m.clone(), a.counts())).collect()
    }

    /// Adds the counts of another ledger.
    pub fn merge(&self, other_counts: &HashMap<String, RequestCounts>) {
        for (mark, counts) in other_counts {
            let counters = self.counters(mark);
            RequestCounters::add(&counters.runs, counts.runs);
            RequestCounters::add(&counters.output_tokens, counts.output_tokens);
            RequestCounters::add(&counters.prompt_tokens, counts.prompt_tokens);
            RequestCounters::add(&counters.completed_runs, counts.completed_runs);
        }
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<String, Arc<RequestCounters>>> {
        // The counts remain valid after a panic in another thread.
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
