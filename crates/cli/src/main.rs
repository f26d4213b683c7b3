//! The `pimentocart` command line.
//!
//! Each command reads its settings, calls another package for the work and
//! turns the result into an exit code; see [`commands`].

mod commands;
mod daemon;

use std::io::{self, Write};
use std::process::ExitCode;

use bpaf::{Bpaf, ParseFailure};

/// Exit code for invalid arguments, settings or input files.
const BAD_INPUT: u8 = 2;

/// Column at which help text is wrapped.
const TERMINAL_WIDTH: usize = 100;

/// Exit code of a command, or the error that `main` prints.
type CommandResult = Result<ExitCode, Box<dyn std::error::Error>>;

/// A router for language-model traffic with service levels and priorities.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options, version)]
enum Command {
    Entry(#[bpaf(external(commands::daemons::entry))] commands::daemons::Entry),
    Sidecar(#[bpaf(external(commands::daemons::sidecar))] commands::daemons::Sidecar),
    Forward(#[bpaf(external(commands::daemons::forward))] commands::daemons::Forward),
    Admission(#[bpaf(external(commands::daemons::admission))] commands::daemons::Admission),
    Bench(#[bpaf(external(commands::bench::bench))] commands::bench::Bench),
    Bundle(#[bpaf(external(commands::bundle::bundle))] commands::bundle::BundleCommand),
    Keys(#[bpaf(external(commands::keys::keys))] commands::keys::Keys),
    Compare(#[bpaf(external(commands::compare::compare))] commands::compare::Compare),
    Load(#[bpaf(external(commands::load::load))] commands::load::Load),
    Demo(#[bpaf(external(commands::demo::demo))] commands::demo::Demo),
    Explain(#[bpaf(external(commands::explain::explain))] commands::explain::Explain),
    Status(#[bpaf(external(commands::status::status))] commands::status::Status),
    Standin(#[bpaf(external(commands::standin::standin))] commands::standin::Standin),
}

impl Command {
    /// Whether the command runs a daemon, which handles signals.
    fn is_daemon(&self) -> bool {
        matches!(
            self,
            Self::Entry(_) | Self::Sidecar(_) | Self::Forward(_) | Self::Admission(_)
        )
    }
}

fn main() -> ExitCode {
    daemon::hold_signals();
    let command = match command().run_inner(bpaf::Args::current_args()) {
        Ok(command) => command,
        Err(failure) => return report_parse_failure(&failure),
    };
    if !command.is_daemon() {
        daemon::release_signals();
    }
    let result = match command {
        Command::Entry(c) => c.run(),
        Command::Sidecar(c) => c.run(),
        Command::Forward(c) => c.run(),
        Command::Admission(c) => c.run(),
        Command::Bench(c) => c.run(),
        Command::Bundle(c) => c.run(),
        Command::Keys(c) => c.run(),
        Command::Compare(c) => c.run(),
        Command::Load(c) => c.run(),
        Command::Demo(c) => c.run(),
        Command::Standin(c) => c.run(),
        Command::Explain(c) => c.run(),
        Command::Status(c) => c.run(),
    };
    result.unwrap_or_else(|e| {
        // `eprintln` would panic if the reader of standard error is gone.
        let _ = writeln!(io::stderr(), "pimentocart: {e}");
        ExitCode::from(BAD_INPUT)
    })
}

/// Prints the requested help, or the error in the arguments.
fn report_parse_failure(failure: &ParseFailure) -> ExitCode {
    failure.print_message(TERMINAL_WIDTH);
    match failure {
        ParseFailure::Stderr(_) => ExitCode::from(BAD_INPUT),
        ParseFailure::Stdout(..) | ParseFailure::Completion(_) => ExitCode::SUCCESS,
    }
}
