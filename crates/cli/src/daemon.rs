//! Runs one daemon in the foreground and handles its signals.

use std::io;
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::process::ExitCode;

use base::logging;
use base::stop::StopSignal;
use base::task::panic_message;
use spdlog::{error, info};
use tokio::signal::unix::{SignalKind, signal};

use crate::CommandResult;

/// Exit code for a panic outside of the background tasks, which are restarted.
const INTERNAL_ERROR: u8 = 3;

/// Runs one daemon until SIGTERM or SIGINT stops it. SIGHUP requests a reload
/// of its settings.
pub(crate) fn run<F, Fut>(serve: F) -> CommandResult
where
    F: FnOnce(StopSignal) -> Fut,
    Fut: Future<Output = io::Result<()>>,
{
    logging::log_panics();
    let served = catch_unwind(AssertUnwindSafe(|| {
        base::telemetry::with_recorder(|| {
            actix_rt::System::new().block_on(async {
                let stop = StopSignal::new();
                actix_rt::spawn(handle_signals(stop.clone()));
                serve(stop).await
            })
        })
    }));
    let result = match served {
        Ok(Ok(())) => {
            info!("process ends", kv: { cause = "stopped by a signal", code = 0 });
            Ok(ExitCode::SUCCESS)
        }
        Ok(Err(e)) => {
            error!("process ends", kv: { cause = e.to_string().as_str(), code = crate::BAD_INPUT });
            Err(e.into())
        }
        Err(panic) => {
            let cause = panic_message(&*panic);
            error!("process ends", kv: { cause = cause.as_str(), code = INTERNAL_ERROR });
            Ok(ExitCode::from(INTERNAL_ERROR))
        }
    };
    logging::flush();
    result
}

async fn handle_signals(stop: StopSignal) {
    let term = signal(SignalKind::terminate());
    let int = signal(SignalKind::interrupt());
    let hup = signal(SignalKind::hangup());
    let (Ok(mut term), Ok(mut int), Ok(mut hup)) = (term, int, hup) else {
        return;
    };
    loop {
        tokio::select! {
            _ = term.recv() => break,
            _ = int.recv() => break,
            // By default SIGHUP terminates the process, which would cut off
            // every call in progress.
            _ = hup.recv() => stop.request_reload(),
        }
    }
    stop.trigger();
}
