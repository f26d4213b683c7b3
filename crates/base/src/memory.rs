//! An account of the bytes that a process holds for others, so that it can refuse work
//! instead of being killed for its memory. See docs/design/host-resources.md.

use std::cell::Cell;
use std::rc::Rc;

use tokio::sync::Notify;

/// Counts the bytes held. Clones share the count.
#[derive(Debug, Clone)]
pub struct Account(Rc<Inner>);

#[derive(Debug)]
struct Inner {
    /// Most bytes that may be held.
    limit: usize,
    held: Cell<usize>,
    /// Signalled when bytes are released.
    released: Notify,
}

impl Account {
    /// Creates an account of at most `limit` bytes.
    #[must_use]
    pub fn new(limit: usize) -> Self {
        Self(Rc::new(Inner {
            limit,
            held: Cell::new(0),
            released: Notify::new(),
        }))
    }

    /// Bytes held now.
    #[must_use]
    pub fn held(&self) -> usize {
        self.0.held.get()
    }

    /// Most bytes that may be held.
    #[must_use]
    pub fn limit(&self) -> usize {
        self.0.limit
    }

    /// Begins to hold bytes, with none at first.
    #[must_use]
    pub fn hold(&self) -> Held {
        Held {
            account: self.clone(),
            bytes: 0,
        }
    }

    /// Completes when bytes are released after this call.
    pub fn released(&self) -> impl Future<Output = ()> {
        self.0.released.notified()
    }

    fn add(&self, bytes: usize) {
        let held = self.0.held.get().saturating_add(bytes);
        self.0.held.set(held);
    }
}

/// Bytes that are held until this is dropped.
#[derive(Debug)]
pub struct Held {
    account: Account,
    bytes: usize,
}

impl Held {
    /// Bytes held.
    #[must_use]
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Holds `bytes` in all if `reserve` bytes remain free; returns whether it does. Fewer
    /// bytes than now are not refused.
    pub fn try_set(&mut self, bytes: usize, reserve: usize) -> bool {
        let free = self.account.limit().saturating_sub(self.account.held());
        let more = bytes.saturating_sub(self.bytes);
        if more > 0 && more.saturating_add(reserve) > free {
            return false;
        }
        self.set(bytes);
        true
    }

    /// Holds `bytes` in all, even above the limit.
    pub fn set(&mut self, bytes: usize) {
        if bytes >= self.bytes {
            self.account.add(bytes - self.bytes);
        } else {
            let held = self.account.held();
            let less = self.bytes - bytes;
            self.account.0.held.set(held.saturating_sub(less));
            self.account.0.released.notify_waiters();
        }
        self.bytes = bytes;
    }
}

impl Drop for Held {
    fn drop(&mut self) {
        self.set(0);
    }
}
