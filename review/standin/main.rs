//! Runs one case of the review: the project's programs beside stand-ins for the platform,
//! the runners and the clients.
//!
//! Usage: `standin CASE FOLDER TEMPORARY`. With `TROUBLE=0` the disruption is left out.
//! Exits with 0 if the rule held, 1 if it was broken, and 2 if the case could not run.

mod cut_stream;
mod deployment;
mod http;
mod late_refusal;
mod process;
mod record;
mod runner;
mod store;
mod unframed;
mod usage_twice;

use std::env;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::sync::Arc;

use record::Record;

/// What a case gets.
pub struct Run {
    /// Folder for settings and logs of the programs.
    dir: PathBuf,
    record: Arc<Record>,
    /// Whether the disruption takes place.
    trouble: bool,
}

pub enum Outcome {
    Held,
    Broken,
    /// The disruption did not come about, for this reason.
    NotRun(String),
}

impl Outcome {
    pub fn from_breaks(breaks: usize) -> Self {
        match breaks {
            0 => Self::Held,
            _ => Self::Broken,
        }
    }
}

fn main() -> ExitCode {
    let args: Vec<String> = env::args().collect();
    if let [_, role, id, addr] = &args[..]
        && role == "runner"
    {
        let ended = unframed::run(id, addr);
        eprintln!("the runner has ended: {ended:?}");
        return ExitCode::FAILURE;
    }
    let [_, case, folder, dir] = &args[..] else {
        eprintln!("usage: standin CASE FOLDER TEMPORARY");
        return ExitCode::from(2);
    };
    let record = match Record::create(&Path::new(folder).join("record.txt")) {
        Ok(record) => Arc::new(record),
        Err(e) => {
            eprintln!("cannot write the record: {e}");
            return ExitCode::from(2);
        }
    };
    let run = Run {
        dir: dir.into(),
        record,
        trouble: env::var("TROUBLE").as_deref() != Ok("0"),
    };
    run.record
        .line(&format!("case {case}, trouble {}", run.trouble));
    let outcome = match case.as_str() {
        "cut-stream" => cut_stream::run(&run),
        "late-refusal" => late_refusal::run(&run),
        "usage-twice" => usage_twice::run(&run),
        _ => Ok(Outcome::NotRun("no such case".to_owned())),
    };
    // All processes have been ended by now.
    let _ = std::fs::remove_file(run.dir.join("pids"));
    let (text, code) = match outcome {
        Ok(Outcome::Held) => ("the rule held".to_owned(), 0),
        Ok(Outcome::Broken) => ("the rule was broken".to_owned(), 1),
        Ok(Outcome::NotRun(why)) => (format!("not run: {why}"), 2),
        Err(e) => (format!("not run: {e}"), 2),
    };
    run.record.line(&text);
    println!("{case}: {text}");
    ExitCode::from(code)
}
