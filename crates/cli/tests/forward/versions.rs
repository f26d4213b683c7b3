//! Servers of two software versions that serve side by side, and streams that callers take
//! up at another entry. What two versions write must not be joined.

use std::sync::Arc;
use std::thread;
use std::time::Duration;

use nix::sys::signal::Signal;
use rstest::rstest;

use crate::caller::StreamRead;
use crate::platform::{Platform, STREAM_EVENTS, Server, wait_until};
use crate::process::Entry;

/// Streams of each test.
pub(crate) const STREAMS: usize = 24;

/// Entries, and servers of two versions.
pub(crate) struct Versions {
    platform: Arc<Platform>,
    pub(crate) entries: Vec<Entry>,
    pub(crate) servers: Vec<Server>,
}

impl Versions {
    pub(crate) fn start(name: &str) -> Self {
        let (platform, store) = Platform::start();
        let servers = ["v1", "v1.1", "v1", "v1.1"].map(|v| platform.stream_server(v));
        let entries: Vec<Entry> = (0..3)
            .map(|n| Entry::start(&format!("versions-{name}-{n}"), store, None))
            .collect();
        wait_until("all know each other and the servers", || {
            let known = |e: &Entry| e.status("entries") == 2 && e.status("servers") == 4;
            entries.iter().all(|e| e.ready() && known(e))
        });
        Self {
            platform,
            entries,
            servers: servers.into(),
        }
    }

    /// Begins streams at the first entry, whose callers get two events each.
    pub(crate) fn begin(&self) -> Vec<StreamRead> {
        let begin = |n: usize| {
            let mut stream = StreamRead::default();
            let id = format!("first-{n}");
            stream.read(self.entries[0].addr(), &id, &id, 2);
            assert_eq!(stream.events.len(), 2, "{stream:?}");
            stream
        };
        let streams: Vec<StreamRead> = (0..STREAMS).map(begin).collect();
        let v1 = |s: &&StreamRead| s.events[0].1 == "v1";
        assert!((1..STREAMS).contains(&streams.iter().filter(v1).count()));
        streams
    }

    /// Takes the streams up at another entry; returns how many went on to their end. A
    /// caller that is refused comes back once.
    pub(crate) fn take_up(&self, entry: usize, streams: &mut [StreamRead]) -> usize {
        self.take_up_to(entry, streams, usize::MAX);
        let whole = |s: &&StreamRead| s.complete && s.events.len() == STREAM_EVENTS as usize;
        streams.iter().filter(whole).count()
    }

    /// Takes the streams up at another entry until each caller has `events` events in all.
    pub(crate) fn take_up_to(&self, entry: usize, streams: &mut [StreamRead], events: usize) {
        // In another order, so that entries with like choices do not choose alike.
        for (n, stream) in streams.iter_mut().enumerate().rev() {
            for attempt in 0..2 {
                let id = format!("again-{n}-{attempt}-{entry}");
                let first = format!("first-{n}");
                stream.read(self.entries[entry].addr(), &id, &first, events);
                if stream.status != 503 {
                    break;
                }
                thread::sleep(Duration::from_millis(100));
            }
        }
        let mixed: Vec<_> = streams.iter().filter(|s| !s.is_consistent()).collect();
        assert!(mixed.is_empty(), "{} streams: {mixed:?}", mixed.len());
    }
}

/// What happens between the break of a stream and its next call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Fault {
    None,
    /// The entry that began the streams is killed.
    FirstEntryKilled,
    /// The entry that takes the streams up has just restarted.
    NextEntryRestarted,
    /// All entries but one restart in turn, and the first is killed.
    EntriesRestarted,
    /// The servers of one version leave, and others of a third one come.
    Release,
}

/// Guards against a stream that a caller takes up at another entry going on at a server of
/// another version than the one that began it, and against refusing such streams.
#[rstest]
#[case::calm(Fault::None)]
#[case::first_entry_killed(Fault::FirstEntryKilled)]
#[case::next_entry_restarted(Fault::NextEntryRestarted)]
#[case::entries_restarted(Fault::EntriesRestarted)]
#[case::release(Fault::Release)]
fn stream_taken_up_at_another_version(#[case] fault: Fault) {
    let mut fleet = Versions::start(&format!("{fault:?}"));
    let mut streams = fleet.begin();
    let restart = |entry: &mut Entry| {
        entry.signal(Signal::SIGKILL);
        entry.wait();
        entry.restart();
        wait_until("ready again", || {
            entry.ready() && entry.status("entries") > 0 && entry.status("servers") >= 4
        });
    };
    let mut expected = STREAMS;
    match fault {
        Fault::None => {}
        Fault::FirstEntryKilled => fleet.entries[0].signal(Signal::SIGKILL),
        Fault::NextEntryRestarted => restart(&mut fleet.entries[1]),
        Fault::EntriesRestarted => {
            fleet.entries[0].signal(Signal::SIGKILL);
            restart(&mut fleet.entries[1]);
            restart(&mut fleet.entries[2]);
        }
        Fault::Release => {
            fleet.servers.push(fleet.platform.stream_server("v1.2"));
            fleet.servers.remove(0).leave();
            fleet.servers.remove(1).leave();
            let known = |e: &Entry| e.status("servers") == 5 && e.status("leaving") == 0;
            wait_until("the release is known", || fleet.entries.iter().all(known));
            // No server of v1 takes calls any more.
            let v1 = |s: &&StreamRead| s.events[0].1 == "v1";
            expected -= streams.iter().filter(v1).count();
        }
    }
    let whole = fleet.take_up(1, &mut streams);
    assert_eq!(whole, expected);
}
