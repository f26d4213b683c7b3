//! Stand-ins and cases of the second review. `main CASE RECORD` plays a case and writes what
//! happened to the file RECORD; it ends with 1 if the rule was broken, with 0 if it held and
//! with 2 if the case could not run. With `TROUBLE=0` the disruption is left out.

mod caller;
mod cases;
mod deployment;
mod http;
mod runner;
mod store;

use std::process::ExitCode;

use cases::{Case, Verdict};
use runner::Options;

/// Exit codes of a case.
const BROKEN: u8 = 1;
const NOT_RUN: u8 = 2;

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().skip(1).collect();
    let args: Vec<&str> = args.iter().map(String::as_str).collect();
    match &args[..] {
        ["runner", id, addr, born, slots, copy_ns] => run_runner(id, addr, born, slots, copy_ns),
        [name, record] => play(name, record),
        _ => fail("usage: main CASE RECORD"),
    }
}

fn run_runner(id: &str, addr: &str, born: &str, slots: &str, copy_ns: &str) -> ExitCode {
    let options = Options {
        id: id.to_owned(),
        addr: addr.parse().expect("an address"),
        born: born.parse().expect("a time"),
        slots: slots.parse().expect("a number"),
        capacity: 600_000,
        copy_ns: copy_ns.parse().expect("a number"),
    };
    match runner::run(options) {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => fail(&format!("runner: {e}")),
    }
}

fn play(name: &str, path: &str) -> ExitCode {
    let Some(case) = Case::named(name) else {
        return fail("no such case");
    };
    let trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let (record, verdict) = match cases::play(case, trouble) {
        Ok(played) => played,
        Err(e) => return fail(&format!("the case could not run: {e}")),
    };
    let (code, text) = match &verdict {
        Verdict::Held => (ExitCode::SUCCESS, "held".to_owned()),
        Verdict::Broken(why) => (ExitCode::from(BROKEN), format!("BROKEN: {why}")),
        Verdict::NotShown(why) => (ExitCode::from(NOT_RUN), format!("could not run: {why}")),
    };
    let text = format!("verdict (trouble: {trouble}): {text}");
    record.note(&text);
    println!("{text}");
    if let Err(e) = record.write(path) {
        return fail(&format!("cannot write the record: {e}"));
    }
    code
}

fn fail(why: &str) -> ExitCode {
    eprintln!("{why}");
    ExitCode::from(NOT_RUN)
}
