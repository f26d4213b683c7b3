//! What the stand-ins saw. The router is judged by this, not by what it
//! believes itself.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard};

use serde::{Deserialize, Serialize};

/// What all stand-ins of a run saw; clones share one record.
#[derive(Debug, Clone, Default)]
pub struct Ledger {
    inner: Arc<Mutex<HashMap<String, Seen>>>,
}

/// What was seen of one request, by the caller's own mark.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Seen {
    /// How often the request started to run.
    pub runs: u32,
    /// Tokens made for it in all runs.
    pub tokens: u32,
    /// Prompt tokens computed for it in all runs, without cached ones.
    pub prompt: u32,
    /// Runs that came to their end.
    pub ended: u32,
}

impl Ledger {
    /// Notes something about the request with the given mark.
    pub fn note(&self, mark: &str, change: impl FnOnce(&mut Seen)) {
        let mut inner = self.lock();
        if let Some(seen) = inner.get_mut(mark) {
            return change(seen);
        }
        change(inner.entry(mark.to_owned()).or_default());
    }

    /// What was seen of one request.
    #[must_use]
    pub fn seen(&self, mark: &str) -> Seen {
        self.lock().get(mark).copied().unwrap_or_default()
    }

    /// Everything that was seen.
    #[must_use]
    pub fn all(&self) -> HashMap<String, Seen> {
        self.lock().clone()
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<String, Seen>> {
        // A panic elsewhere leaves counts that are still sound.
        self.inner
            .lock()
            .unwrap_or_else(std::sync::PoisonError::into_inner)
    }
}
