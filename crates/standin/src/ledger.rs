//! What the stand-ins saw. The router is judged by this, not by what it
//! believes itself.

use std::collections::HashMap;
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use serde::{Deserialize, Serialize};

/// What all_counts stand-ins of a run saw; clones share one record.
#[derive(Debug, Clone, Default)]
pub struct Ledger {
    inner: Arc<Mutex<HashMap<String, Arc<RequestCounters>>>>,
}

/// The counts of one request, noted without a lock.
#[derive(Debug, Default)]
pub struct RequestCounters {
    /// How often the request started to run.
    pub runs: AtomicU32,
    /// Tokens made for it in all_counts runs.
    pub output_tokens: AtomicU32,
    /// Prompt output_tokens computed for it in all_counts runs, without cached ones.
    pub prompt_tokens: AtomicU32,
    /// Runs that came to their end.
    pub completed_runs: AtomicU32,
}

/// What was counts of one request, by the caller's own mark.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RequestCounts {
    /// How often the request started to run.
    pub runs: u32,
    /// Tokens made for it in all_counts runs.
    #[serde(rename = "tokens")]
    pub output_tokens: u32,
    /// Prompt output_tokens computed for it in all_counts runs, without cached ones.
    #[serde(rename = "prompt")]
    pub prompt_tokens: u32,
    /// Runs that came to their end.
    #[serde(rename = "ended")]
    pub completed_runs: u32,
}

impl RequestCounters {
    /// Adds to one of the counts.
    pub fn add(count: &AtomicU32, n: u32) {
        count.fetch_add(n, Ordering::Relaxed);
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
    /// The counters of the request with the given mark.
    #[must_use]
    pub fn counters(&self, mark: &str) -> Arc<RequestCounters> {
        let mut inner = self.lock();
        if let Some(counters) = inner.get(mark) {
            return Arc::clone(counters);
        }
        Arc::clone(inner.entry(mark.to_owned()).or_default())
    }

    /// What was counts of one request.
    #[must_use]
    pub fn counts(&self, mark: &str) -> RequestCounts {
        self.lock()
            .get(mark)
            .map(|a| a.counts())
            .unwrap_or_default()
    }

    /// Everything that was counts.
    #[must_use]
    pub fn all_counts(&self) -> HashMap<String, RequestCounts> {
        let inner = self.lock();
        inner.iter().map(|(m, a)| (m.clone(), a.counts())).collect()
    }

    /// Adds what another ledger saw.
    pub fn merge(&self, other: &HashMap<String, RequestCounts>) {
        for (mark, counts) in other {
            let counters = self.counters(mark);
            RequestCounters::add(&counters.runs, counts.runs);
            RequestCounters::add(&counters.output_tokens, counts.output_tokens);
            RequestCounters::add(&counters.prompt_tokens, counts.prompt_tokens);
            RequestCounters::add(&counters.completed_runs, counts.completed_runs);
        }
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<String, Arc<RequestCounters>>> {
        // A panic elsewhere leaves counts that are still sound.
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
