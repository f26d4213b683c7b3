//! The entry is told to read its settings again, to stop, is killed.

use std::thread;

use nix::sys::signal::Signal;

use crate::caller::{Seen, call};
use crate::platform::{EVENTS, Platform, until};
use crate::process::Entry;

fn events(seen: &Seen) -> usize {
    match seen {
        Seen::Whole(200, body) => body.matches("data: ").count(),
        _ => 0,
    }
}

/// The settings may have changed. The entry reads them and goes on; without a
/// handler the signal would end it and cut off every call.
#[test]
fn hangup_cuts_nothing() {
    let (platform, store) = Platform::start();
    let _server = platform.server();
    let mut entry = Entry::start("hangup", store, None);
    until("ready", || entry.ready());
    let at = entry.at();
    let caller = thread::spawn(move || call(at, "/stream/x", "1"));
    until("it runs", || {
        platform.runs.lock().expect("not poisoned").len() == 1
    });
    for _ in 0..3 {
        entry.signal(Signal::SIGHUP);
    }
    assert_eq!(events(&caller.join().expect("a caller")), EVENTS as usize);
    assert!(entry.running());
    assert!(entry.ready());
}

/// The entry is told to stop while a stream runs. It says at once that it is
/// not ready, takes calls until the balancer has noticed, ends the stream
/// whole, and ends by itself with 0.
#[test]
fn term_ends_streams_whole() {
    let (platform, store) = Platform::start();
    let _server = platform.server();
    let mut entry = Entry::start("term", store, None);
    until("ready", || entry.ready());
    let at = entry.at();
    let caller = thread::spawn(move || call(at, "/stream/x", "1"));
    until("it runs", || {
        platform.runs.lock().expect("not poisoned").len() == 1
    });
    entry.signal(Signal::SIGTERM);
    until("not ready", || !entry.ready());
    assert_eq!(events(&caller.join().expect("a caller")), EVENTS as usize);
    assert_eq!(entry.wait(), Some(0));
}

/// The store is down when the entry starts. It is not ready and refuses for
/// now; once the store is back it serves.
#[test]
fn start_without_store() {
    let (platform, store) = Platform::start();
    let _server = platform.server();
    platform
        .down
        .store(true, std::sync::atomic::Ordering::SeqCst);
    let entry = Entry::start("no-store", store, None);
    until("it listens", || {
        call(entry.at(), "/safe/x", "1") != Seen::Nothing
    });
    assert!(matches!(
        call(entry.at(), "/safe/x", "2"),
        Seen::Whole(503, _)
    ));
    assert!(!entry.ready());
    platform
        .down
        .store(false, std::sync::atomic::Ordering::SeqCst);
    until("ready", || entry.ready());
    assert!(matches!(
        call(entry.at(), "/safe/x", "3"),
        Seen::Whole(200, _)
    ));
}

/// Another process has the port at which an entry's neighbours would ask it,
/// as after a restart on a crowded host. Callers do not need that port: the
/// entry serves them all the same, and its neighbours ask the next one.
#[test]
fn port_for_neighbours_is_taken() {
    let (platform, store) = Platform::start();
    let _server = platform.server();
    let (mut entry, _other) = Entry::start_without_port("taken", store);
    until("ready", || entry.ready());
    assert_eq!(events(&call(entry.at(), "/stream/x", "1")), EVENTS as usize);
    assert!(entry.running());
}
