//! What the stand-ins saw. The router is judged by this, not by what it
//! believes itself.

use std::collections::HashMap;
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use serde::{Deserialize, Serialize};

/// What all stand-ins of a run saw; clones share one record.
#[derive(Debug, Clone, Default)]
pub struct Ledger {
    inner: Arc<Mutex<HashMap<String, Arc<Account>>>>,
}

/// The counts of one request, noted without a lock.
#[derive(Debug, Default)]
pub struct Account {
    /// How often the request started to run.
    pub runs: AtomicU32,
    /// Tokens made for it in all runs.
    pub tokens: AtomicU32,
    /// Prompt tokens computed for it in all runs, without cached ones.
    pub prompt: AtomicU32,
    /// Runs that came to their end.
    pub ended: AtomicU32,
}

/// What was seen of one request, by the caller's own mark.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
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

impl Account {
    /// Adds to one of the counts.
    pub fn add(count: &AtomicU32, n: u32) {
        count.fetch_add(n, Ordering::Relaxed);
    }

    fn seen(&self) -> Seen {
        Seen {
            runs: self.runs.load(Ordering::Relaxed),
            tokens: self.tokens.load(Ordering::Relaxed),
            prompt: self.prompt.load(Ordering::Relaxed),
            ended: self.ended.load(Ordering::Relaxed),
        }
    }
}

impl Ledger {
    /// The account of the request with the given mark.
    #[must_use]
    pub fn account(&self, mark: &str) -> Arc<Account> {
        let mut inner = self.lock();
        if let Some(account) = inner.get(mark) {
            return Arc::clone(account);
        }
        Arc::clone(inner.entry(mark.to_owned()).or_default())
    }

    /// What was seen of one request.
    #[must_use]
    pub fn seen(&self, mark: &str) -> Seen {
        self.lock().get(mark).map(|a| a.seen()).unwrap_or_default()
    }

    /// Everything that was seen.
    #[must_use]
    pub fn all(&self) -> HashMap<String, Seen> {
        let inner = self.lock();
        inner.iter().map(|(m, a)| (m.clone(), a.seen())).collect()
    }

    /// Adds what another ledger saw.
    pub fn merge(&self, other: &HashMap<String, Seen>) {
        for (mark, seen) in other {
            let account = self.account(mark);
            Account::add(&account.runs, seen.runs);
            Account::add(&account.tokens, seen.tokens);
            Account::add(&account.prompt, seen.prompt);
            Account::add(&account.ended, seen.ended);
        }
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<String, Arc<Account>>> {
        // A panic elsewhere leaves counts that are still sound.
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
