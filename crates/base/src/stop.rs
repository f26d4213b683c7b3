//! A signal to a daemon to shut down gracefully or to reload its settings.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use tokio::sync::Notify;

/// A signal to shut down or to reload the settings. All clones share one state,
/// also across threads.
#[derive(Debug, Clone, Default)]
pub struct StopSignal {
    inner: Arc<Inner>,
}

#[derive(Debug, Default)]
struct Inner {
    triggered: AtomicBool,
    notify: Notify,
    reload: Notify,
}

impl StopSignal {
    /// Creates a signal that is not triggered.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Triggers the shutdown and wakes all waiting tasks.
    pub fn trigger(&self) {
        self.inner.triggered.store(true, Ordering::Release);
        self.inner.notify.notify_waiters();
    }

    /// Whether the shutdown is triggered.
    #[must_use]
    pub fn is_triggered(&self) -> bool {
        self.inner.triggered.load(Ordering::Acquire)
    }

    /// Requests a reload of the settings.
    pub fn request_reload(&self) {
        self.inner.reload.notify_one();
    }

    /// Waits until a reload of the settings is requested.
    pub async fn wait_reload(&self) {
        self.inner.reload.notified().await;
    }

    /// Waits until the shutdown is triggered.
    pub async fn wait(&self) {
        loop {
            // Registered before the flag is read, so that no wake-up is missed.
            let notified = self.inner.notify.notified();
            if self.is_triggered() {
                return;
            }
            notified.await;
        }
    }
}
