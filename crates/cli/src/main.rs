//! The `pimentocart` command line.

use std::path::PathBuf;
use std::process::ExitCode;

use base::logging::{self, Level};
use base::settings::{self, Span};
use base::stop::Stop;
use bpaf::Bpaf;
use bundle::Bundle;
use demo::Fleet;
use standin::Ledger;

/// Exit code for bad input.
const BAD_INPUT: u8 = 2;

/// A router for language-model traffic with service levels and priorities.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options, version)]
enum Command {
    /// Run the daemon on an entry host.
    #[bpaf(command)]
    Entry {
        /// JSON settings
        #[bpaf(argument("FILE"))]
        settings: PathBuf,
        /// The bundle in force
        #[bpaf(argument("FILE"))]
        bundle: PathBuf,
    },
    /// Run the daemon beside one backend server.
    #[bpaf(command)]
    Sidecar {
        /// JSON settings
        #[bpaf(argument("FILE"))]
        settings: PathBuf,
    },
    /// Run a whole fleet on loopback in one process, under load.
    #[bpaf(command)]
    Demo {
        /// Whose fleet: teranga or tallerazul
        #[bpaf(argument("FLEET"))]
        fleet: Fleet,
        /// How long requests arrive, as in 10s
        #[bpaf(
            long("for"),
            argument("TIME"),
            fallback(Span::secs(10)),
            display_fallback
        )]
        time: Span,
        /// Seed of all random numbers
        #[bpaf(argument("N"), fallback(1), display_fallback)]
        seed: u64,
        /// Where to write the report as JSON
        #[bpaf(argument("FILE"))]
        report: Option<PathBuf>,
    },
    /// Run a stand-in for a part of the platform.
    #[bpaf(command)]
    Standin {
        #[bpaf(external)]
        standin: Standin,
    },
}

#[derive(Debug, Clone, Bpaf)]
enum Standin {
    /// Run a stand-in for a model engine.
    #[bpaf(command)]
    Engine {
        /// JSON settings
        #[bpaf(argument("FILE"))]
        settings: PathBuf,
    },
    /// Run a stand-in for a plain service.
    #[bpaf(command)]
    Plain {
        /// JSON settings
        #[bpaf(argument("FILE"))]
        settings: PathBuf,
    },
}

fn main() -> ExitCode {
    let command = command().run();
    match run(command) {
        Ok(code) => code,
        Err(e) => {
            eprintln!("pimentocart: {e}");
            ExitCode::from(BAD_INPUT)
        }
    }
}

fn run(command: Command) -> Result<ExitCode, Box<dyn std::error::Error>> {
    match command {
        Command::Entry { settings, bundle } => {
            let settings: entry::Settings = settings::load(&settings)?;
            let bundle: Bundle = settings::load(&bundle)?;
            logging::init(settings.log_level);
            daemon(|stop| entry::run(settings, bundle, stop))
        }
        Command::Sidecar { settings } => {
            let settings: sidecar::Settings = settings::load(&settings)?;
            logging::init(settings.log_level);
            daemon(|stop| sidecar::run(settings, stop))
        }
        Command::Demo {
            fleet,
            time,
            seed,
            report,
        } => {
            logging::init(Level::Warn);
            let result = demo::run(fleet, time.0.as_secs_f64(), seed);
            println!("{result}");
            if let Some(path) = report {
                std::fs::write(path, serde_json::to_string_pretty(&result)?)?;
            }
            Ok(if result.sound() {
                ExitCode::SUCCESS
            } else {
                ExitCode::FAILURE
            })
        }
        Command::Standin {
            standin: Standin::Engine { settings },
        } => {
            let settings = settings::load(&settings)?;
            daemon(|stop| standin::engine::run(settings, Ledger::default(), stop))
        }
        Command::Standin {
            standin: Standin::Plain { settings },
        } => {
            let settings = settings::load(&settings)?;
            daemon(|stop| standin::plain::run(settings, Ledger::default(), stop))
        }
    }
}

/// Runs one daemon until it is told to stop by SIGTERM or SIGINT.
fn daemon<F, Fut>(body: F) -> Result<ExitCode, Box<dyn std::error::Error>>
where
    F: FnOnce(Stop) -> Fut,
    Fut: Future<Output = std::io::Result<()>>,
{
    base::telemetry::with_recorder(|_| {
        actix_rt::System::new().block_on(async {
            let stop = Stop::new();
            actix_rt::spawn(signals(stop.clone()));
            body(stop).await
        })
    })?;
    Ok(ExitCode::SUCCESS)
}

async fn signals(stop: Stop) {
    use tokio::signal::unix::{SignalKind, signal};
    let (Ok(mut term), Ok(mut int)) = (
        signal(SignalKind::terminate()),
        signal(SignalKind::interrupt()),
    ) else {
        return;
    };
    tokio::select! {
        _ = term.recv() => {}
        _ = int.recv() => {}
    }
    stop.ask();
}
