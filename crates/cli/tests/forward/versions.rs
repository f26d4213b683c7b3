//! Servers of two software versions that serve side by side, and streams that callers take
//! up at another entry. What two versions write must not be joined.

use std::sync::Arc;
use std::sync::atomic::Ordering;
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
        Self::start_at_versions(name, ["v1", "v1.1", "v1", "v1.1"])
    }

    pub(crate) fn start_at_versions(name: &str, versions: [&'static str; 4]) -> Self {
        let (platform, store) = Platform::start();
        let servers = versions.map(|v| platform.stream_server(v));
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

    /// Starts further servers of a version.
    pub(crate) fn add_servers(&mut self, version: &'static str, count: usize) {
        let new = (0..count).map(|_| self.platform.stream_server(version));
        self.servers.extend(new);
    }

    /// Begins streams at the first entry, whose callers get two events each.
    pub(crate) fn begin(&self) -> Vec<StreamRead> {
        let streams = self.begin_at_any_version();
        let v1 = |s: &&StreamRead| s.events[0].1 == "v1";
        assert!((1..STREAMS).contains(&streams.iter().filter(v1).count()));
        streams
    }

    fn begin_at_any_version(&self) -> Vec<StreamRead> {
        let begin = |n: usize| {
            let mut stream = StreamRead::default();
            let id = format!("first-{n}");
            stream.read(self.entries[0].addr(), &id, &id, 2);
            assert_eq!(stream.events.len(), 2, "{stream:?}");
            stream
        };
        (0..STREAMS).map(begin).collect()
    }

    /// Kills all entries and waits until they have ended.
    fn kill_entries(&mut self) {
        for entry in &mut self.entries {
            entry.signal(Signal::SIGKILL);
        }
        for entry in &mut self.entries {
            entry.wait();
        }
    }

    /// Starts all entries again and waits until they know the servers.
    fn restart_entries(&mut self) {
        self.entries.iter_mut().for_each(|entry| entry.restart());
        let servers = self.servers.len() as u64;
        wait_until("all know each other and the servers again", || {
            let known = |e: &Entry| e.status("entries") == 2 && e.status("servers") == servers;
            self.entries.iter().all(|e| e.ready() && known(e))
        });
    }

    /// Removes the servers of a version, which leave.
    fn remove_version(&mut self, version: &str) {
        let (leaving, left) = std::mem::take(&mut self.servers)
            .into_iter()
            .partition(|server| server.version() == version);
        self.servers = left;
        let leaving: Vec<Server> = leaving;
        leaving.into_iter().for_each(Server::leave);
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

/// What happens to the servers between the loss of all entries and their next start.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Change {
    None,
    /// The servers of the older version leave, those of the newer one stay.
    OldVersionLeaves,
    /// The servers of the only version are replaced by others of a new version.
    OnlyVersionReplaced,
}

/// Guards against streams of a version that left while no entry ran being joined with the
/// events of another version by the entries that start, which know of that one only.
#[rstest]
#[case::both_stay(Change::None)]
#[case::old_version_leaves(Change::OldVersionLeaves)]
#[case::only_version_replaced(Change::OnlyVersionReplaced)]
fn stream_joined_after_all_entries_were_lost(#[case] change: Change) {
    let name = format!("lost-{change:?}");
    let (mut fleet, mut streams) = match change {
        Change::None | Change::OldVersionLeaves => {
            let fleet = Versions::start(&name);
            let streams = fleet.begin();
            (fleet, streams)
        }
        Change::OnlyVersionReplaced => {
            let fleet = Versions::start_at_versions(&name, ["v1"; 4]);
            let streams = fleet.begin_at_any_version();
            (fleet, streams)
        }
    };
    fleet.kill_entries();
    match change {
        Change::None => {}
        Change::OldVersionLeaves => fleet.remove_version("v1"),
        Change::OnlyVersionReplaced => {
            let new = [0; 2].map(|_| fleet.platform.stream_server("v1.1"));
            fleet.servers.extend(new);
            fleet.remove_version("v1");
        }
    }
    // Servers that leave are deleted from the table first.
    wait_until("the servers have left", || {
        fleet.platform.listed_servers() == fleet.servers.len()
    });
    fleet.restart_entries();
    fleet.take_up(1, &mut streams);
}

/// Guards against a version being inferred by entries that cannot read which versions there
/// were: the store is away when they start, or shortly after.
#[test]
fn stream_joined_while_store_is_away() {
    let mut fleet = Versions::start("store-away");
    let mut streams = fleet.begin();
    fleet.kill_entries();
    fleet.remove_version("v1");
    wait_until("the servers have left", || {
        fleet.platform.listed_servers() == fleet.servers.len()
    });
    fleet.platform.down.store(true, Ordering::SeqCst);
    fleet.entries.iter_mut().for_each(|entry| entry.restart());
    thread::sleep(Duration::from_millis(500));
    fleet.take_up(1, &mut streams);
    fleet.platform.down.store(false, Ordering::SeqCst);
    // The first entry that knows servers is asked, whatever else it knows.
    wait_until("an entry knows the servers", || {
        fleet.entries[1].ready() && fleet.entries[1].status("servers") > 0
    });
    fleet.platform.down.store(true, Ordering::SeqCst);
    fleet.take_up(1, &mut streams);
}

/// Guards against refusing streams after all entries were lost although their service has
/// had one version only.
#[test]
fn stream_of_only_version_refused_after_all_entries_were_lost() {
    let mut fleet = Versions::start_at_versions("only-version", ["v1"; 4]);
    let mut streams = fleet.begin_at_any_version();
    fleet.kill_entries();
    fleet.restart_entries();
    assert_eq!(fleet.take_up(1, &mut streams), STREAMS);
}
