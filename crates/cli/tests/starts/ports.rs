//! Ports that a starting process does not get, or not yet.

use nix::sys::signal::Signal;
use rstest::rstest;

use crate::process::{Daemon, Port, Process, unique_ip};

/// The event of a process that waits for an address.
const WAITING: &str = "event=\"address not bound; retrying\"";

/// The event of a process that has waited for an address.
const BOUND: &str = "event=\"address bound after a wait\"";

/// Guards against a process that ends because another program uses one of its ports for a
/// moment. It must say so, wait for the port and then serve.
#[rstest]
#[case::forward_listen(Daemon::Forward, Port::Listen)]
#[case::forward_gossip(Daemon::Forward, Port::GossipUdp)]
#[case::forward_grants(Daemon::Forward, Port::Grants)]
#[case::admission_listen(Daemon::Admission, Port::ListenUdp)]
#[case::entry_listen(Daemon::Entry, Port::Listen)]
#[case::sidecar_listen(Daemon::Sidecar, Port::Listen)]
fn port_in_use(#[case] daemon: Daemon, #[case] port: Port) {
    let ip = unique_ip();
    let held = port.hold(ip);
    let mut process = Process::start(daemon, ip);
    process.wait_for_line(&[WAITING, &port.log_fields(ip), "hint="]);
    assert!(!process.answers(Port::Listen), "{}", process.output());

    drop(held);
    process.wait_for_line(&[BOUND, &port.log_fields(ip)]);
    process.wait_until_serving();
    process.signal(Signal::SIGTERM);
    assert_eq!(process.wait(), Some(0), "{}", process.output());
}

/// Guards against a process that ends, or does not serve, because another program uses a
/// port that callers do not need. It must serve at once, and use the port once it is free.
#[rstest]
#[case::forward_ready(Daemon::Forward, Port::Ready)]
#[case::forward_metrics(Daemon::Forward, Port::Metrics)]
#[case::forward_tables(Daemon::Forward, Port::GossipTcp)]
#[case::forward_duties(Daemon::Forward, Port::Duties)]
#[case::admission_metrics(Daemon::Admission, Port::Metrics)]
#[case::entry_operators(Daemon::Entry, Port::Operators)]
#[case::sidecar_operators(Daemon::Sidecar, Port::Operators)]
fn optional_port_in_use(#[case] daemon: Daemon, #[case] port: Port) {
    let ip = unique_ip();
    let held = port.hold(ip);
    let mut process = Process::start(daemon, ip);
    process.wait_until_serving();
    process.wait_for_line(&[WAITING, &port.log_fields(ip)]);

    drop(held);
    process.wait_for_line(&[BOUND, &port.log_fields(ip)]);
    process.signal(Signal::SIGTERM);
    assert_eq!(process.wait(), Some(0), "{}", process.output());
}

/// Guards against a restart that fails while the predecessor still finishes its work.
#[rstest]
#[case::forward(Daemon::Forward, Port::GossipUdp)]
#[case::admission(Daemon::Admission, Port::ListenUdp)]
#[case::entry(Daemon::Entry, Port::Listen)]
#[case::sidecar(Daemon::Sidecar, Port::Listen)]
fn predecessor_still_runs(#[case] daemon: Daemon, #[case] first_port: Port) {
    let ip = unique_ip();
    let mut old = Process::start(daemon, ip);
    old.wait_until_serving();
    let mut new = Process::start(daemon, ip);
    new.wait_for_line(&[WAITING, &first_port.log_fields(ip)]);

    old.signal(Signal::SIGTERM);
    assert_eq!(old.wait(), Some(0), "{}", old.output());
    new.wait_for_line(&[BOUND, &first_port.log_fields(ip)]);
    new.wait_until_serving();
}

/// Guards against a process that cannot be stopped while it waits for a port.
#[rstest]
#[case::forward(Daemon::Forward, Port::Listen)]
#[case::admission(Daemon::Admission, Port::ListenUdp)]
#[case::entry(Daemon::Entry, Port::Listen)]
#[case::sidecar(Daemon::Sidecar, Port::Listen)]
fn stop_while_port_in_use(#[case] daemon: Daemon, #[case] port: Port) {
    let ip = unique_ip();
    let _held = port.hold(ip);
    let mut process = Process::start(daemon, ip);
    process.wait_for_line(&[WAITING, &port.log_fields(ip)]);
    process.signal(Signal::SIGHUP);
    process.wait_for_line(&["event=\"signal received\"", "signal=SIGHUP"]);
    process.signal(Signal::SIGTERM);
    assert_eq!(process.wait(), Some(0), "{}", process.output());
}

/// Guards against a process that waits for an address that it can never use. A link-local
/// address without an interface is one on every host.
#[rstest]
#[case::forward_listen(Daemon::Forward, "listen")]
#[case::forward_ready(Daemon::Forward, "ready")]
#[case::forward_metrics(Daemon::Forward, "metrics")]
#[case::forward_gossip(Daemon::Forward, "gossip")]
#[case::forward_grants(Daemon::Forward, "grants")]
#[case::admission_listen(Daemon::Admission, "listen")]
#[case::admission_metrics(Daemon::Admission, "metrics")]
#[case::entry_listen(Daemon::Entry, "listen")]
#[case::entry_operators(Daemon::Entry, "operators")]
#[case::sidecar_listen(Daemon::Sidecar, "listen")]
#[case::sidecar_operators(Daemon::Sidecar, "operators")]
fn unusable_address(#[case] daemon: Daemon, #[case] key: &str) {
    let ip = unique_ip();
    let mut settings = daemon.settings(ip);
    settings[key] = "[fe80::1]:7101".into();
    let mut process = Process::start_with(daemon, ip, &settings);
    assert_eq!(process.wait(), Some(2), "{}", process.output());
    let expected = format!("pimentocart: step=listen key={key}: found [fe80::1]:7101: ");
    let output = process.output();
    let line = output.lines().find(|l| l.starts_with(&expected));
    assert!(line.is_some_and(|l| l.contains("(hint: ")), "{output}");
}
