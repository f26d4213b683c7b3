//! One daemon on its own thread, which stands for its own host.

use std::io;
use std::pin::Pin;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread::{self, JoinHandle};
use std::time::Duration;

use base::stop::StopSignal;
use spdlog::error;

/// Interval at which a daemon's thread checks for a requested pause.
const PAUSE_POLL: Duration = Duration::from_millis(5);

type RunFn = dyn Fn(StopSignal) -> Pin<Box<dyn Future<Output = io::Result<()>>>> + Send + Sync;

/// A daemon that can be stopped, started again, crashed and paused.
pub struct Daemon {
    name: String,
    run: Arc<RunFn>,
    instance: Mutex<Option<Instance>>,
}

/// A running instance of a daemon.
struct Instance {
    /// Requests a graceful stop, after the requests in progress.
    stop: StopSignal,
    /// Stops it at once.
    kill: StopSignal,
    /// Requested pause of its thread, in milliseconds; 0 for none.
    pause: Arc<AtomicU64>,
    thread: JoinHandle<()>,
}

impl Daemon {
    /// Starts a daemon on a new thread. `run` creates the daemon's future on
    /// that thread, since the future cannot move between threads.
    pub fn start<F, Fut>(name: &str, run: F) -> Self
    where
        F: Fn(StopSignal) -> Fut + Send + Sync + 'static,
        Fut: Future<Output = io::Result<()>> + 'static,
    {
        let daemon = Self {
            name: name.to_owned(),
            run: Arc::new(move |stop| Box::pin(run(stop))),
            instance: Mutex::new(None),
        };
        daemon.restart();
        daemon
    }

    /// The daemon's name.
    #[must_use]
    pub fn name(&self) -> &str {
        &self.name
    }

    /// Starts a new instance, unless one exists.
    pub fn restart(&self) {
        let mut instance = self.instance.lock().unwrap_or_else(PoisonError::into_inner);
        if instance.is_none() {
            *instance = spawn(&self.name, Arc::clone(&self.run));
        }
    }

    /// Whether the daemon has stopped.
    #[must_use]
    pub fn has_stopped(&self) -> bool {
        let instance = self.instance.lock().unwrap_or_else(PoisonError::into_inner);
        instance
            .as_ref()
            .is_none_or(|instance| instance.thread.is_finished())
    }

    /// Requests a graceful stop without waiting for it.
    pub fn request_stop(&self) {
        let instance = self.instance.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(instance) = instance.as_ref() {
            instance.stop.trigger();
        }
    }

    /// Stops the daemon gracefully and waits until it has stopped.
    pub fn stop(&self) {
        self.request_stop();
        self.join();
    }

    /// Stops the daemon at once, dropping its state, tasks and connections.
    pub fn crash(&self) {
        let instance = self.instance.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(instance) = instance.as_ref() {
            instance.kill.trigger();
        }
        drop(instance);
        self.join();
    }

    /// Blocks the daemon's thread for `time`, starting within a few
    /// milliseconds.
    pub fn pause(&self, time: Duration) {
        let instance = self.instance.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(instance) = instance.as_ref() {
            let ms = u64::try_from(time.as_millis()).unwrap_or(u64::MAX);
            instance.pause.store(ms, Ordering::Relaxed);
        }
    }

    fn join(&self) {
        let instance = self
            .instance
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .take();
        if let Some(instance) = instance {
            // The thread itself has printed any panic.
            let _ = instance.thread.join();
        }
    }
}

fn spawn(name: &str, run: Arc<RunFn>) -> Option<Instance> {
    let (stop, kill) = (StopSignal::new(), StopSignal::new());
    let pause = Arc::new(AtomicU64::new(0));
    let (thread_stop, thread_kill) = (stop.clone(), kill.clone());
    let (thread_pause, daemon_name) = (Arc::clone(&pause), name.to_owned());

    let thread_main = move || {
        base::telemetry::with_recorder(|| {
            let system = actix_rt::System::new();
            let result = system.block_on(async {
                tokio::select! {
                    result = run(thread_stop) => result,
                    () = thread_kill.wait() => Ok(()),
                    () = block_when_paused(&thread_pause) => Ok(()),
                }
            });
            if let Err(e) = result {
                error!("daemon failed", kv: { name = daemon_name.as_str(), error = e.to_string().as_str() });
            }
        });
    };
    let thread = thread::Builder::new()
        .name(name.to_owned())
        .spawn(thread_main);
    let thread = thread.ok()?;
    Some(Instance {
        stop,
        kill,
        pause,
        thread,
    })
}

/// Blocks the daemon's thread whenever a pause is requested; never returns.
async fn block_when_paused(pause: &AtomicU64) {
    loop {
        let ms = pause.swap(0, Ordering::Relaxed);
        if ms > 0 {
            thread::sleep(Duration::from_millis(ms));
        }
        tokio::time::sleep(PAUSE_POLL).await;
    }
}
