//! Callers that take streams up without naming the call that began them.

use std::thread;
use std::time::Duration;

use nix::sys::signal::Signal;

use crate::caller::StreamRead;
use crate::platform::{Platform, wait_until};
use crate::process::Entry;

/// Number of streams.
const STREAMS: usize = 24;

/// Guards against an entry that starts after the last server of a version has left joining
/// the streams of that version with those of the only one that it knows. Nothing but the
/// other entries and the store tells it that there was another one.
#[test]
fn stream_joined_by_restarted_entry() {
    let (platform, store) = Platform::start();
    let mut servers = ["v1", "v1.1", "v1", "v1.1"].map(|v| platform.stream_server(v));
    let mut entries = [0, 1].map(|n| Entry::start(&format!("unnamed-{n}"), store, None));
    wait_until("all know each other and the servers", || {
        let known = |e: &Entry| e.status("entries") == 1 && e.status("servers") == 4;
        entries.iter().all(|e| e.ready() && known(e))
    });
    let mut streams: Vec<StreamRead> = (0..STREAMS)
        .map(|n| {
            let mut stream = StreamRead::default();
            let id = format!("first-{n}");
            stream.read(entries[0].addr(), &id, &id, 2);
            stream
        })
        .collect();
    entries[1].signal(Signal::SIGKILL);
    entries[1].wait();
    servers.swap(1, 2);
    let [first, second, ..] = servers;
    first.leave();
    second.leave();
    wait_until("the servers of v1 have left", || {
        entries[0].status("servers") == 2
    });
    entries[1].restart();
    wait_until("ready again", || {
        entries[1].ready() && entries[1].status("servers") == 2
    });
    for (n, stream) in streams.iter_mut().enumerate() {
        stream.read(entries[1].addr(), &format!("again-{n}"), "", usize::MAX);
        thread::sleep(Duration::from_millis(5));
    }
    let joined = streams.iter().filter(|s| !s.is_consistent()).count();
    assert_eq!(joined, 0, "of {STREAMS} streams");
}
