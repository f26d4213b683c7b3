//! `explain`: the timeline of one request, from the logs of several daemons.

use std::path::{Path, PathBuf};
use std::process::ExitCode;

use base::timeline::{LogLine, request_timeline};
use bpaf::Bpaf;
use snafu::{ResultExt, Snafu};

use crate::CommandResult;

/// Print the timeline of a request, from the logs of the daemons that handled it
#[derive(Debug, Clone, Bpaf)]
#[bpaf(command, generate(explain))]
pub(crate) struct Explain {
    /// Id of the request, as its caller sent it
    #[bpaf(positional("ID"))]
    id: String,
    /// Log files; the file name is the daemon's name if the lines have none
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
    pub(crate) fn run(self) -> CommandResult {
        let mut lines = Vec::new();
        for log in &self.logs {
            lines.extend(read_log(log)?);
        }
        let timeline = request_timeline(&self.id, &lines);
        let Some(first) = timeline.first().map(|l| l.time) else {
            eprintln!(
                "pimentocart: id={} not found in {} lines of {} log files (hint: use the id that \
                 the caller sent; daemons drop log lines under load)",
                self.id,
                lines.len(),
                self.logs.len()
            );
            return Ok(ExitCode::FAILURE);
        };
        for line in &timeline {
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

fn read_log(log: &Path) -> Result<Vec<LogLine>, Error> {
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
