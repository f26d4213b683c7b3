//! One daemon on a thread of its own, as it would have a host of its own.

use std::io;
use std::pin::Pin;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread::{self, JoinHandle};
use std::time::Duration;

use base::stop::StopSignal;
use spdlog::error;

/// How often a host looks whether it should pause.
const PAUSE_POLL: Duration = Duration::from_millis(5);

type RunFn = dyn Fn(StopSignal) -> Pin<Box<dyn Future<Output = io::Result<()>>>> + Send + Sync;

/// A daemon that can be stopped, started again, crashed and paused.
pub struct Daemon {
    name: String,
    run: Arc<RunFn>,
    instance: Mutex<Option<Instance>>,
}

/// One life of a daemon.
struct Instance {
    /// Asks it to end when everything in progress has.
    stop: StopSignal,
    /// Ends it at once.
    kill: StopSignal,
    /// Time for which its thread should stand still, in milliseconds.
    pause: Arc<AtomicU64>,
    thread: JoinHandle<()>,
}

impl Daemon {
    /// Starts a daemon on a new thread. `body` makes its future there, since
    /// a daemon's state never leaves its thread.
    pub fn start<F, Fut>(name: &str, body: F) -> Self
    where
        F: Fn(StopSignal) -> Fut + Send + Sync + 'static,
        Fut: Future<Output = io::Result<()>> + 'static,
    {
        let host = Self {
            name: name.to_owned(),
            run: Arc::new(move |stop| Box::pin(body(stop))),
            instance: Mutex::new(None),
        };
        host.restart();
        host
    }

    /// The daemon's name.
    #[must_use]
    pub fn name(&self) -> &str {
        &self.name
    }

    /// Starts a new life, if none runs.
    pub fn restart(&self) {
        let mut life = self.instance.lock().unwrap_or_else(PoisonError::into_inner);
        if life.is_none() {
            *life = spawn(&self.name, Arc::clone(&self.run));
        }
    }

    /// Whether the daemon has ended.
    #[must_use]
    pub fn has_stopped(&self) -> bool {
        let life = self.instance.lock().unwrap_or_else(PoisonError::into_inner);
        life.as_ref().is_none_or(|life| life.thread.is_finished())
    }

    /// Asks the daemon to end, without waiting for it.
    pub fn request_stop(&self) {
        let life = self.instance.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(life) = life.as_ref() {
            life.stop.trigger();
        }
    }

    /// Ends the daemon gracefully and waits until it has.
    pub fn stop(&self) {
        self.request_stop();
        self.join();
    }

    /// Drops everything that the daemon has at once: its state, its tasks and
    /// its connections.
    pub fn crash(&self) {
        let life = self.instance.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(life) = life.as_ref() {
            life.kill.trigger();
        }
        drop(life);
        self.join();
    }

    /// Makes the daemon's thread stand still for `time`, beginning soon.
    pub fn pause(&self, time: Duration) {
        let life = self.instance.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(life) = life.as_ref() {
            let ms = u64::try_from(time.as_millis()).unwrap_or(u64::MAX);
            life.pause.store(ms, Ordering::Relaxed);
        }
    }

    fn join(&self) {
        let life = self
            .instance
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .take();
        if let Some(life) = life {
            // A panic was printed by the thread itself.
            let _ = life.thread.join();
        }
    }
}

fn spawn(name: &str, body: Arc<RunFn>) -> Option<Instance> {
    let (stop, kill) = (StopSignal::new(), StopSignal::new());
    let pause = Arc::new(AtomicU64::new(0));
    let (thread_stop, thread_kill) = (stop.clone(), kill.clone());
    let (thread_pause, shown) = (Arc::clone(&pause), name.to_owned());

    let run = move || {
        base::telemetry::with_recorder(|| {
            let system = actix_rt::System::new();
            let ended = system.block_on(async {
                tokio::select! {
                    ended = body(thread_stop) => ended,
                    () = thread_kill.wait() => Ok(()),
                    () = block_when_paused(&thread_pause) => Ok(()),
                }
            });
            if let Err(e) = ended {
                error!("daemon failed", kv: { name = shown.as_str(), error = e.to_string().as_str() });
            }
        });
    };
    let thread = thread::Builder::new().name(name.to_owned()).spawn(run);
    let thread = thread.ok()?;
    Some(Instance {
        stop,
        kill,
        pause,
        thread,
    })
}

/// Blocks the daemon's thread whenever it is asked to; never ends.
async fn block_when_paused(pause: &AtomicU64) {
    loop {
        let ms = pause.swap(0, Ordering::Relaxed);
        if ms > 0 {
            thread::sleep(Duration::from_millis(ms));
        }
        tokio::time::sleep(PAUSE_POLL).await;
    }
}
