//! Standard output and error that nobody reads any more.

use nix::sys::signal::Signal;
use rstest::rstest;

use crate::process::{Daemon, Port, Process, unique_ip, wait_until};

/// Guards against a process that ends at its first log line because the reader of its
/// output has ended.
#[rstest]
#[case::forward(Daemon::Forward, Port::Listen)]
#[case::admission(Daemon::Admission, Port::Metrics)]
#[case::entry(Daemon::Entry, Port::Listen)]
#[case::sidecar(Daemon::Sidecar, Port::Operators)]
fn closed_standard_output(#[case] daemon: Daemon, #[case] port: Port) {
    let ip = unique_ip();
    let mut process = Process::start_unread(daemon, ip, &daemon.settings(ip));
    wait_until("a request is answered", || {
        assert!(process.running(), "the process has ended");
        process.answers(port)
    });
    process.signal(Signal::SIGTERM);
    assert_eq!(process.wait(), Some(0));
}

/// Guards against a panic, and its exit code, in place of the error that nobody reads.
#[rstest]
#[case::forward(Daemon::Forward)]
#[case::admission(Daemon::Admission)]
#[case::entry(Daemon::Entry)]
#[case::sidecar(Daemon::Sidecar)]
fn closed_standard_error(#[case] daemon: Daemon) {
    let ip = unique_ip();
    let mut settings = daemon.settings(ip);
    settings["listen"] = "[fe80::1]:7101".into();
    let mut process = Process::start_unread(daemon, ip, &settings);
    assert_eq!(process.wait(), Some(2));
}
