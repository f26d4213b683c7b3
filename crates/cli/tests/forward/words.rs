//! Servers whose answers say that they leave or want rest.

use std::sync::Arc;
use std::sync::atomic::Ordering;

use rstest::rstest;

use crate::caller::{Seen, call};
use crate::platform::{Platform, Server, Word, until};
use crate::process::{Entry, Process, sidecar};

/// Calls after a server has said something.
const CALLS: usize = 30;

/// Longer than any test takes, in seconds.
const LONG: &str = "1000";

/// An entry before two servers, one of which speaks of itself.
struct Pair {
    platform: Arc<Platform>,
    entry: Entry,
    speaker: Server,
    _other: Server,
    _sidecar: Option<Process>,
    path: &'static str,
    calls: usize,
}

impl Pair {
    /// Starts them; `path` says what the servers are, and whether a sidecar
    /// decides.
    fn start(name: &str, path: &'static str) -> Self {
        let (platform, store) = Platform::start();
        let start = || match path.starts_with("/engine/") {
            true => platform.engine(),
            false => platform.server(),
        };
        let (speaker, other) = (start(), start());
        let name = format!("{name}{}", path.replace('/', "-"));
        let (beside, port) = match path.ends_with("/asked") {
            true => {
                let (process, port) = sidecar(&format!("{name}-sidecar"));
                (Some(process), Some(port))
            }
            false => (None, None),
        };
        let entry = Entry::start(&name, store, port);
        until("ready", || entry.ready() && entry.status("servers") == 2);
        Self {
            platform,
            entry,
            speaker,
            _other: other,
            _sidecar: beside,
            path,
            calls: 0,
        }
    }

    fn call(&mut self) -> Seen {
        self.calls += 1;
        let id = self.calls.to_string();
        call(self.entry.at(), self.path, &id)
    }

    /// Has the speaker say something, and waits until the entry was told.
    fn tell(&mut self, word: Word) {
        self.speaker.say(word);
        let before = self.speaker.arrived();
        for _ in 0..1000 {
            self.call();
            if self.speaker.arrived() > before {
                return;
            }
        }
        panic!("never told");
    }

    /// Makes calls, all of which are served; returns how many of them have
    /// reached the speaker.
    fn reached(&mut self) -> u32 {
        let before = self.speaker.arrived();
        for _ in 0..CALLS {
            let seen = self.call();
            assert!(matches!(seen, Seen::Whole(200, _)), "{seen:?}");
        }
        self.speaker.arrived() - before
    }
}

/// Guards against calls being sent to a server whose answers say that it leaves
/// until the store says so too.
#[rstest]
#[case::safe("/safe/x")]
#[case::once("/once/x")]
#[case::stream("/stream/x")]
#[case::engine("/engine/x")]
#[case::asked("/engine/asked")]
fn leaving_answer_ends_calls(#[case] path: &'static str) {
    let mut pair = Pair::start("leaving", path);
    pair.platform.down.store(true, Ordering::SeqCst);
    pair.tell(Word::Leaving);
    let reached = pair.reached();
    assert_eq!(reached, 0, "of {CALLS} calls");
}

/// Guards against a server being sent calls in the time for which it has asked
/// for rest.
#[rstest]
#[case::safe("/safe/x")]
#[case::once("/once/x")]
#[case::stream("/stream/x")]
#[case::engine("/engine/x")]
#[case::asked("/engine/asked")]
fn asked_rest_is_kept(#[case] path: &'static str) {
    let mut pair = Pair::start("rest", path);
    pair.tell(Word::Rest(LONG));
    let reached = pair.reached();
    assert_eq!(reached, 0, "of {CALLS} calls");
}
