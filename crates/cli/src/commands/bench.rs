//! `bench`: benchmarks of the router itself.

use std::path::{Path, PathBuf};
use std::process::ExitCode;

use base::logging::{self, Level};
use base::settings;
use bpaf::Bpaf;
use serde::Serialize;

use crate::CommandResult;

/// Measure the overhead and capacity of the router.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(command, generate(bench))]
pub(crate) struct Bench {
    #[bpaf(external)]
    benchmark: Benchmark,
}

#[derive(Debug, Clone, Bpaf)]
enum Benchmark {
    /// Added time to the first token, requests and chunks per second, idle memory
    #[bpaf(command)]
    Overhead {
        /// Where to write the results as JSON
        #[bpaf(argument("FILE"))]
        report: Option<PathBuf>,
    },
    /// Cost per request, chunk, open stream, peer and workspace
    #[bpaf(command)]
    Slopes {
        /// Where to write the fitted lines as JSON
        #[bpaf(argument("FILE"))]
        report: Option<PathBuf>,
    },
    /// Extrapolate the slopes to the target deployment size
    #[bpaf(command)]
    Capacity {
        /// Report written by `bench slopes`
        #[bpaf(argument("FILE"))]
        slopes: PathBuf,
    },
}

impl Bench {
    pub(crate) fn run(self) -> CommandResult {
        logging::init(Level::Error);
        match self.benchmark {
            Benchmark::Overhead { report } => {
                let overhead = bench::overhead::measure()?;
                println!("{overhead}");
                write_report(report.as_deref(), &overhead)
            }
            Benchmark::Slopes { report } => {
                let slopes = bench::slopes::measure()?;
                println!("{slopes}");
                write_report(report.as_deref(), &slopes)
            }
            Benchmark::Capacity { slopes } => {
                let slopes: bench::slopes::Slopes = settings::load(&slopes)?;
                println!("{}", bench::capacity::tables(&slopes)?);
                Ok(ExitCode::SUCCESS)
            }
        }
    }
}

fn write_report<T: Serialize>(path: Option<&Path>, value: &T) -> CommandResult {
    if let Some(path) = path {
        std::fs::write(path, serde_json::to_string_pretty(value)?)?;
    }
    Ok(ExitCode::SUCCESS)
}
