//! Background tasks that a daemon needs for as long as it runs.

use std::any::Any;
use std::time::Duration;

use metrics::counter;
use spdlog::error;
use tokio::time::Instant;

use crate::stop::StopSignal;

/// Pause before a failed task is started again; it doubles with each failure in a row.
const MIN_RESTART_PAUSE: Duration = Duration::from_millis(100);

/// Longest pause before a failed task is started again.
const MAX_RESTART_PAUSE: Duration = Duration::from_secs(10);

/// Runs the background task `name` until `end` is triggered, and starts it again if it
/// panics or returns earlier. `start` creates the future of one run.
///
/// A restart of the process would interrupt all calls. If the panic was caused by a
/// record that all daemons read, restarts would interrupt the calls of all of them, again
/// and again; with a restart of the task, each keeps serving with what it knows.
pub fn supervise<F, Fut>(name: &'static str, end: StopSignal, start: F)
where
    F: Fn() -> Fut + 'static,
    Fut: Future<Output = ()> + 'static,
{
    actix_rt::spawn(async move {
        let mut pause = MIN_RESTART_PAUSE;
        while !end.is_triggered() {
            let started = Instant::now();
            let outcome = actix_rt::spawn(start()).await;
            let cause = match outcome {
                Ok(()) if end.is_triggered() => return,
                Ok(()) => "returned early".to_owned(),
                Err(e) if e.is_panic() => panic_message(&*e.into_panic()),
                // The runtime is shutting down.
                Err(_) => return,
            };
            if started.elapsed() > MAX_RESTART_PAUSE {
                pause = MIN_RESTART_PAUSE;
            }
            counter!("pimentocart_task_failures_total", "task" => name).increment(1);
            error!("background task failed; restarting", kv: {
                task = name, cause = cause.as_str(), pause_ms = pause.as_millis()
            });
            // The signal ends the loop, a timeout starts the next run.
            let _ = tokio::time::timeout(pause, end.wait()).await;
            pause = (pause * 2).min(MAX_RESTART_PAUSE);
        }
    });
}

/// The message of a panic.
#[must_use]
pub fn panic_message(payload: &(dyn Any + Send)) -> String {
    let text = payload.downcast_ref::<&str>().copied();
    let text = text.or_else(|| payload.downcast_ref::<String>().map(String::as_str));
    text.unwrap_or("panic without a message").to_owned()
}
