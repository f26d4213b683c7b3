//! Streams that callers take up after all entries have ended at once, while servers of two
//! software versions go on serving.

use nix::sys::signal::Signal;

use crate::platform::wait_until;
use crate::versions::{STREAMS, Versions};

/// Fewest streams that go on: nine in ten.
const MIN_CONTINUED: usize = STREAMS - STREAMS / 10;

/// Guards against refusing streams after all entries ended, since none of them remembers
/// which version began them, and against joining them with events of another version.
#[test]
fn stream_taken_up_after_all_entries_ended() {
    let mut fleet = Versions::start("all-ended");
    let mut streams = fleet.begin();
    wait_until("all streams are stored", || {
        let stored = fleet.entries.iter().map(|e| e.status("streams_stored"));
        stored.sum::<u64>() >= STREAMS as u64
    });
    for round in 0..2 {
        fleet.restart_all();
        if round == 0 {
            // Their connections break once more before the streams end.
            fleet.take_up_to(2, &mut streams, 3);
        }
    }
    let whole = fleet.take_up(1, &mut streams);
    assert!(whole >= MIN_CONTINUED, "{whole} of {STREAMS}");
}

impl Versions {
    /// Kills all entries at the same time and starts them again.
    fn restart_all(&mut self) {
        for entry in &self.entries {
            entry.signal(Signal::SIGKILL);
        }
        for entry in &mut self.entries {
            entry.wait();
            entry.restart();
        }
        wait_until("all are ready again", || {
            let known = |e: &crate::process::Entry| {
                e.status("entries") == 2 && e.status("servers") == self.servers.len() as u64
            };
            self.entries.iter().all(|e| e.ready() && known(e))
        });
    }
}
