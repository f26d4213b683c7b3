//! Running one daemon in the foreground.

use std::io;
use std::process::ExitCode;

use base::stop::StopSignal;
use tokio::signal::unix::{SignalKind, signal};

use crate::Outcome;

/// Runs one daemon until it is told to stop by SIGTERM or SIGINT.
pub(crate) fn run<F, Fut>(body: F) -> Outcome
where
    F: FnOnce(StopSignal) -> Fut,
    Fut: Future<Output = io::Result<()>>,
{
    let ended = base::telemetry::with_recorder(|| {
        actix_rt::System::new().block_on(async {
            let stop = StopSignal::new();
            actix_rt::spawn(signals(stop.clone()));
            body(stop).await
        })
    });
    base::logging::flush();
    ended?;
    Ok(ExitCode::SUCCESS)
}

async fn signals(stop: StopSignal) {
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
            // Without a handler the signal would end the process and cut off
            // every call in progress.
            _ = hup.recv() => stop.request_reload(),
        }
    }
    stop.trigger();
}
