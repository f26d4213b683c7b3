//! `demo`: a whole fleet on loopback in one process, under load.

use std::path::PathBuf;
use std::process::ExitCode;

use base::logging::{self, Level};
use base::settings::Span;
use bpaf::Bpaf;
use demo::Fleet;

use crate::Outcome;

/// Run a whole fleet on loopback in one process, under load.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(command, generate(demo))]
pub(crate) struct Demo {
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
}

impl Demo {
    pub(crate) fn run(self) -> Outcome {
        logging::init(Level::Warn);
        let report = demo::run(self.fleet, self.time.0.as_secs_f64(), self.seed);
        println!("{report}");
        if let Some(path) = &self.report {
            std::fs::write(path, serde_json::to_string_pretty(&report)?)?;
        }
        Ok(if report.sound() {
            ExitCode::SUCCESS
        } else {
            ExitCode::FAILURE
        })
    }
}
