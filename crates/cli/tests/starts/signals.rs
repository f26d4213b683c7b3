//! Signals that arrive while a process starts.

use nix::sys::signal::Signal;
use rstest::rstest;

use crate::process::{Daemon, Process, unique_ip};

/// More than a pipe holds, in bytes.
const PIPE_BYTES: usize = 1 << 20;

/// Starts a daemon, which begins to read its settings and waits for their end.
fn start_until_settings(daemon: Daemon) -> Process {
    let ip = unique_ip();
    let mut process = Process::start_reading(daemon, ip);
    // JSON may start with spaces. They do not fit into the pipe, so the write ends only
    // after the process has begun to read.
    process.write(&" ".repeat(PIPE_BYTES));
    process
}

fn write_settings(process: &mut Process) {
    let settings = process.daemon.settings(process.ip).to_string();
    process.write(&settings);
    process.close_input();
}

/// Guards against SIGHUP ending a process that has not installed its handlers yet.
#[rstest]
#[case::forward(Daemon::Forward)]
#[case::admission(Daemon::Admission)]
#[case::entry(Daemon::Entry)]
#[case::sidecar(Daemon::Sidecar)]
fn sighup_before_settings(#[case] daemon: Daemon) {
    let mut process = start_until_settings(daemon);
    process.signal(Signal::SIGHUP);
    write_settings(&mut process);
    process.wait_until_serving();
    process.wait_for_line(&["event=\"signal received\"", "signal=SIGHUP"]);
    process.signal(Signal::SIGTERM);
    assert_eq!(process.wait(), Some(0), "{}", process.output());
}

/// Guards against SIGTERM or SIGINT before the handlers are installed being reported as an
/// abnormal end.
#[rstest]
#[case::forward(Daemon::Forward, Signal::SIGTERM)]
#[case::forward_interrupt(Daemon::Forward, Signal::SIGINT)]
#[case::admission(Daemon::Admission, Signal::SIGTERM)]
#[case::entry(Daemon::Entry, Signal::SIGTERM)]
#[case::sidecar(Daemon::Sidecar, Signal::SIGTERM)]
fn stop_before_settings(#[case] daemon: Daemon, #[case] signal: Signal) {
    let mut process = start_until_settings(daemon);
    process.signal(signal);
    write_settings(&mut process);
    assert_eq!(process.wait(), Some(0), "{}", process.output());
    let output = process.output();
    assert!(output.contains("event=\"process ends\""), "{output}");
}

/// Guards against a second SIGTERM or a SIGHUP ending a process that is stopping.
#[rstest]
#[case::forward(Daemon::Forward)]
#[case::admission(Daemon::Admission)]
#[case::entry(Daemon::Entry)]
#[case::sidecar(Daemon::Sidecar)]
fn signals_while_stopping(#[case] daemon: Daemon) {
    let mut process = Process::start(daemon, unique_ip());
    process.wait_until_serving();
    for signal in [Signal::SIGTERM, Signal::SIGTERM, Signal::SIGHUP] {
        // The process may have ended after the first signal; it is not reaped yet.
        process.signal(signal);
    }
    assert_eq!(process.wait(), Some(0), "{}", process.output());
}

/// Guards against a process that starts with settings that are missing or partially
/// written: its operator must learn of it at once.
#[rstest]
#[case::forward(Daemon::Forward)]
#[case::admission(Daemon::Admission)]
#[case::entry(Daemon::Entry)]
#[case::sidecar(Daemon::Sidecar)]
fn partial_settings(#[case] daemon: Daemon) {
    let mut process = start_until_settings(daemon);
    let settings = daemon.settings(process.ip).to_string();
    process.write(&settings[..settings.len() / 2]);
    process.close_input();
    assert_eq!(process.wait(), Some(2), "{}", process.output());
    let output = process.output();
    assert!(output.contains("step=parse_settings"), "{output}");
}

/// Guards against a reload that applies a partially written file, or ends the process.
#[test]
fn reload_of_partial_settings() {
    let mut process = Process::start(Daemon::Forward, unique_ip());
    process.wait_until_serving();
    let settings = process.daemon.settings(process.ip).to_string();
    process.write_settings(&settings[..settings.len() / 2]);
    process.signal(Signal::SIGHUP);
    process.wait_for_line(&["event=\"settings reload failed\""]);

    process.write_settings(&settings);
    process.signal(Signal::SIGHUP);
    process.wait_for_line(&["event=\"settings read\" same=true"]);
    process.wait_until_serving();
}
