//! Reload, shutdown and startup of the entry.

use std::thread;

use nix::sys::signal::Signal;

use crate::caller::{Outcome, call};
use crate::platform::{Platform, STREAM_EVENTS, wait_until};
use crate::process::Entry;

fn events(outcome: &Outcome) -> usize {
    match outcome {
        Outcome::Complete(200, body) => body.matches("data: ").count(),
        _ => 0,
    }
}

/// Guards against SIGHUP cutting off calls. The signal reloads the settings;
/// without a handler it would terminate the process.
#[test]
fn sighup_keeps_streams() {
    let (platform, store) = Platform::start();
    let _server = platform.server();
    let mut entry = Entry::start("hangup", store, None);
    wait_until("the entry is ready", || entry.ready());
    let at = entry.addr();
    let caller = thread::spawn(move || call(at, "/stream/x", "1"));
    wait_until("the call runs", || {
        platform.runs.lock().expect("mutex poisoned").len() == 1
    });
    for _ in 0..3 {
        entry.signal(Signal::SIGHUP);
    }
    assert_eq!(
        events(&caller.join().expect("caller thread panicked")),
        STREAM_EVENTS as usize
    );
    assert!(entry.running());
    assert!(entry.ready());
}

/// Guards against SIGTERM cutting off streams. The entry must report that it is
/// not ready at once, accept calls until the load balancer has noticed, complete
/// the stream and exit with code 0.
#[test]
fn sigterm_completes_streams() {
    let (platform, store) = Platform::start();
    let _server = platform.server();
    let mut entry = Entry::start("term", store, None);
    wait_until("the entry is ready", || entry.ready());
    let at = entry.addr();
    let caller = thread::spawn(move || call(at, "/stream/x", "1"));
    wait_until("the call runs", || {
        platform.runs.lock().expect("mutex poisoned").len() == 1
    });
    entry.signal(Signal::SIGTERM);
    wait_until("the entry is not ready", || !entry.ready());
    assert_eq!(
        events(&caller.join().expect("caller thread panicked")),
        STREAM_EVENTS as usize
    );
    assert_eq!(entry.wait(), Some(0));
}

/// Guards against an entry that fails for good when the store is down at its
/// start. It must answer 503 and not be ready, and serve once the store is back.
#[test]
fn start_without_store() {
    let (platform, store) = Platform::start();
    let _server = platform.server();
    platform
        .down
        .store(true, std::sync::atomic::Ordering::SeqCst);
    let entry = Entry::start("no-store", store, None);
    wait_until("the entry listens", || {
        call(entry.addr(), "/safe/x", "1") != Outcome::NoAnswer
    });
    assert!(matches!(
        call(entry.addr(), "/safe/x", "2"),
        Outcome::Complete(503, _)
    ));
    assert!(!entry.ready());
    platform
        .down
        .store(false, std::sync::atomic::Ordering::SeqCst);
    wait_until("the entry is ready", || entry.ready());
    assert!(matches!(
        call(entry.addr(), "/safe/x", "3"),
        Outcome::Complete(200, _)
    ));
}

/// Guards against a failed start when another process holds the port on which
/// the entry serves its peers, as after a restart on a crowded host. Callers do
/// not need that port, and peers can ask another entry.
#[test]
fn peer_port_is_taken() {
    let (platform, store) = Platform::start();
    let _server = platform.server();
    let (mut entry, _other) = Entry::start_with_peer_port_taken("taken", store);
    wait_until("the entry is ready", || entry.ready());
    assert_eq!(
        events(&call(entry.addr(), "/stream/x", "1")),
        STREAM_EVENTS as usize
    );
    assert!(entry.running());
}
