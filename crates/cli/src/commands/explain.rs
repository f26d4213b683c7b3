//! `explain`: the story of one request, from the logs of several daemons.

use std::path::{Path, PathBuf};
use std::process::ExitCode;

use base::timeline::{LogLine, request_timeline};
use bpaf::Bpaf;
use snafu::{ResultExt, Snafu};

use crate::Outcome;

/// Tell what became of a request, from the logs of the daemons that saw it
#[derive(Debug, Clone, Bpaf)]
#[bpaf(command, generate(explain))]
pub(crate) struct Explain {
    /// The request's id, as its caller sent it
    #[bpaf(positional("ID"))]
    id: String,
    /// Log files; a file's name stands for the daemon unless its lines name it
    #[bpaf(positional("LOG"), some("name at least one log file"))]
    logs: Vec<PathBuf>,
}

#[derive(Debug, Snafu)]
enum Error {
    #[snafu(display("step=read_log file={file}: {source} (hint: check the path)"))]
    Read {
        file: String,
        source: std::io::Error,
    },
}

impl Explain {
    pub(crate) fn run(self) -> Outcome {
        let mut lines = Vec::new();
        for log in &self.logs {
            lines.extend(read(log)?);
        }
        let story = request_timeline(&self.id, &lines);
        let Some(first) = story.first().map(|l| l.time) else {
            eprintln!(
                "pimentocart: no line names id={} in {} lines of {} files (hint: the id is the \
                 caller's own; lines may have been left out under load)",
                self.id,
                lines.len(),
                self.logs.len()
            );
            return Ok(ExitCode::FAILURE);
        };
        for line in &story {
            println!(
                "{:>7} ms  {}  {}",
                line.time - first,
                line.daemon,
                line.text
            );
        }
        Ok(ExitCode::SUCCESS)
    }
}

fn read(log: &Path) -> Result<Vec<LogLine>, Error> {
    let file = log.display().to_string();
    let bytes = std::fs::read(log).context(ReadSnafu { file })?;
    let text = String::from_utf8_lossy(&bytes);
    let daemon = log
        .file_stem()
        .map_or_else(String::new, |s| s.to_string_lossy().into_owned());
    Ok(text
        .lines()
        .filter_map(|l| LogLine::parse(&daemon, l))
        .collect())
}
