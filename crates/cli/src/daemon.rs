//! Runs one daemon in the foreground and handles its signals.

use std::io;
use std::process::ExitCode;

use base::stop::StopSignal;
use tokio::signal::unix::{SignalKind, signal};

use crate::CommandResult;

/// Runs one daemon until SIGTERM or SIGINT stops it. SIGHUP requests a reload
/// of its settings.
pub(crate) fn run<F, Fut>(serve: F) -> CommandResult
where
    F: FnOnce(StopSignal) -> Fut,
    Fut: Future<Output = io::Result<()>>,
{
    let result = base::telemetry::with_recorder(|| {
        actix_rt::System::new().block_on(async {
            let stop = StopSignal::new();
            actix_rt::spawn(handle_signals(stop.clone()));
            serve(stop).await
        })
    });
    base::logging::flush();
    result?;
    Ok(ExitCode::SUCCESS)
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
