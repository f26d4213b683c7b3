//! Runs one daemon in the foreground and handles its signals.

use std::io;
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::process::ExitCode;

use base::logging;
use base::stop::StopSignal;
use base::task::panic_message;
use nix::sys::signal::{SigSet, Signal};
use spdlog::{error, info};
use tokio::signal::unix::{self, SignalKind};

use crate::CommandResult;

/// Exit code for a panic outside of the background tasks, which are restarted.
const INTERNAL_ERROR: u8 = 3;

/// Holds back the signals that a daemon handles until its handlers are installed. The
/// default action of a signal that arrives earlier, also of SIGHUP, ends the process.
pub(crate) fn hold_signals() {
    // It fails for invalid arguments only.
    let _ = handled_signals().thread_block();
}

/// Delivers the signals that [`hold_signals`] has held back.
pub(crate) fn release_signals() {
    let _ = handled_signals().thread_unblock();
}

fn handled_signals() -> SigSet {
    [Signal::SIGTERM, Signal::SIGINT, Signal::SIGHUP]
        .into_iter()
        .collect()
}

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
                let signals = Signals::install()?;
                release_signals();
                actix_rt::spawn(signals.handle(stop.clone()));
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

/// The signals that a daemon handles.
struct Signals {
    term: unix::Signal,
    int: unix::Signal,
    hup: unix::Signal,
}

impl Signals {
    fn install() -> io::Result<Self> {
        Ok(Self {
            term: unix::signal(SignalKind::terminate())?,
            int: unix::signal(SignalKind::interrupt())?,
            hup: unix::signal(SignalKind::hangup())?,
        })
    }

    /// Handles signals until the process ends.
    async fn handle(mut self, stop: StopSignal) {
        loop {
            let signal = tokio::select! {
                _ = self.term.recv() => Signal::SIGTERM,
                _ = self.int.recv() => Signal::SIGINT,
                _ = self.hup.recv() => Signal::SIGHUP,
            };
            info!("signal received", kv: {
                signal = signal.as_str(), stopping = stop.is_triggered()
            });
            match signal {
                Signal::SIGHUP => stop.request_reload(),
                _ => stop.trigger(),
            }
        }
    }
}
