//! `bench`: measurements of the router itself.

use std::path::{Path, PathBuf};
use std::process::ExitCode;

use base::logging::{self, Level};
use base::settings;
use bpaf::Bpaf;
use serde::Serialize;

use crate::Outcome;

/// Measure the router itself.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(command, generate(bench))]
pub(crate) struct Bench {
    #[bpaf(external)]
    what: What,
}

#[derive(Debug, Clone, Bpaf)]
enum What {
    /// Added time to the first token, requests and pieces a second, memory
    #[bpaf(command)]
    Overhead {
        /// Where to write the figures as JSON
        #[bpaf(argument("FILE"))]
        report: Option<PathBuf>,
    },
    /// Cost by request, piece, open stream, peer and workspace
    #[bpaf(command)]
    Slopes {
        /// Where to write the lines as JSON
        #[bpaf(argument("FILE"))]
        report: Option<PathBuf>,
    },
    /// The slopes multiplied to the size to design for
    #[bpaf(command)]
    Capacity {
        /// The file that `bench slopes` wrote
        #[bpaf(argument("FILE"))]
        slopes: PathBuf,
    },
}

impl Bench {
    pub(crate) fn run(self) -> Outcome {
        logging::init(Level::Error);
        match self.what {
            What::Overhead { report } => {
                let overhead = bench::overhead::measure()?;
                println!("{overhead}");
                write(report.as_deref(), &overhead)
            }
            What::Slopes { report } => {
                let slopes = bench::slopes::measure()?;
                println!("{slopes}");
                write(report.as_deref(), &slopes)
            }
            What::Capacity { slopes } => {
                let slopes: bench::slopes::Slopes = settings::load(&slopes)?;
                println!("{}", bench::capacity::tables(&slopes)?);
                Ok(ExitCode::SUCCESS)
            }
        }
    }
}

fn write<T: Serialize>(path: Option<&Path>, value: &T) -> Outcome {
    if let Some(path) = path {
        std::fs::write(path, serde_json::to_string_pretty(value)?)?;
    }
    Ok(ExitCode::SUCCESS)
}
