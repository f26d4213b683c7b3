//! What a daemon is told from outside: to stop gracefully, or to read its
//! settings again.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use tokio::sync::Notify;

/// Says that a daemon should stop; all clones share one state, on whatever
/// thread they live.
#[derive(Debug, Clone, Default)]
pub struct StopSignal {
    inner: Arc<Inner>,
}

#[derive(Debug, Default)]
struct Inner {
    asked: AtomicBool,
    notify: Notify,
    reload: Notify,
}

impl StopSignal {
    /// Makes a flag that is not set.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Sets the flag and wakes all who wait for it.
    pub fn trigger(&self) {
        self.inner.asked.store(true, Ordering::Release);
        self.inner.notify.notify_waiters();
    }

    /// Whether the flag is set.
    #[must_use]
    pub fn is_triggered(&self) -> bool {
        self.inner.asked.load(Ordering::Acquire)
    }

    /// Says that the settings may have changed.
    pub fn request_reload(&self) {
        self.inner.reload.notify_one();
    }

    /// Waits until the settings may have changed.
    pub async fn wait_reload(&self) {
        self.inner.reload.notified().await;
    }

    /// Waits until the flag is set.
    pub async fn wait(&self) {
        loop {
            // Enrolled before the flag is read, so that no wake-up is missed.
            let woken = self.inner.notify.notified();
            if self.is_triggered() {
                return;
            }
            woken.await;
        }
    }
}
