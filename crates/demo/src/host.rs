//! One daemon on a thread of its own, as it would have a host of its own.

use std::io;
use std::thread::{self, JoinHandle};

use spdlog::error;

/// A daemon that runs.
pub struct Host {
    thread: Option<JoinHandle<()>>,
}

impl Host {
    /// Starts a daemon on a new thread. `body` makes its future there, since
    /// a daemon's state never leaves its thread.
    pub fn start<F, Fut>(name: &str, body: F) -> Self
    where
        F: FnOnce() -> Fut + Send + 'static,
        Fut: Future<Output = io::Result<()>>,
    {
        let shown = name.to_owned();
        let run = move || {
            base::telemetry::with_recorder(|| {
                if let Err(e) = actix_rt::System::new().block_on(body()) {
                    error!("daemon failed", kv: { name = shown.as_str(), error = e.to_string().as_str() });
                }
            });
        };
        let thread = thread::Builder::new().name(name.to_owned()).spawn(run);
        Self {
            thread: thread.ok(),
        }
    }

    /// Whether the daemon has ended.
    #[must_use]
    pub fn ended(&self) -> bool {
        self.thread.as_ref().is_none_or(JoinHandle::is_finished)
    }

    /// Waits until the daemon has ended.
    pub fn join(self) {
        if let Some(thread) = self.thread {
            let _ = thread.join();
        }
    }
}
