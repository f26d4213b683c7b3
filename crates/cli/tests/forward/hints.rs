//! Servers whose answers announce that they leave, or ask for backoff.

use std::sync::Arc;
use std::sync::atomic::Ordering;

use rstest::rstest;

use crate::caller::{Outcome, call};
use crate::platform::{Platform, Server, ServerHint, wait_until};
use crate::process::{Entry, Process, sidecar};

/// Calls to send after the entry has received a hint.
const CALLS: usize = 30;

/// A backoff longer than any test, in seconds.
const LONG_BACKOFF: &str = "1000";

/// An entry with two servers, one of which sends hints in its answers.
struct ServerPair {
    platform: Arc<Platform>,
    entry: Entry,
    hinting: Server,
    _other: Server,
    _sidecar: Option<Process>,
    path: &'static str,
    calls: usize,
}

impl ServerPair {
    /// Starts them; `path` selects engines or plain servers, and whether a
    /// sidecar controls admission.
    fn start(name: &str, path: &'static str) -> Self {
        let (platform, store) = Platform::start();
        let start = || match path.starts_with("/engine/") {
            true => platform.engine(),
            false => platform.server(),
        };
        let (hinting, other) = (start(), start());
        let name = format!("{name}{}", path.replace('/', "-"));
        let (admission, port) = match path.ends_with("/asked") {
            true => {
                let (process, port) = sidecar(&format!("{name}-sidecar"));
                (Some(process), Some(port))
            }
            false => (None, None),
        };
        let entry = Entry::start(&name, store, port);
        wait_until("ready", || entry.ready() && entry.status("servers") == 2);
        Self {
            platform,
            entry,
            hinting,
            _other: other,
            _sidecar: admission,
            path,
            calls: 0,
        }
    }

    fn call(&mut self) -> Outcome {
        self.calls += 1;
        let id = self.calls.to_string();
        call(self.entry.addr(), self.path, &id)
    }

    /// Has the server add a hint to its answers, and sends calls until the entry
    /// has received it.
    fn send_hint(&mut self, hint: ServerHint) {
        self.hinting.set_hint(hint);
        let before = self.hinting.received();
        for _ in 0..1000 {
            self.call();
            if self.hinting.received() > before {
                return;
            }
        }
        panic!("the entry never received the hint");
    }

    /// Sends calls, which must all succeed; returns how many of them reached the
    /// server that sends hints.
    fn count_hinting(&mut self) -> u32 {
        let before = self.hinting.received();
        for _ in 0..CALLS {
            let outcome = self.call();
            assert!(matches!(outcome, Outcome::Complete(200, _)), "{outcome:?}");
        }
        self.hinting.received() - before
    }
}

/// Guards against calls to a server whose answers say that it leaves, while the
/// store does not list it as leaving yet.
#[rstest]
#[case::safe("/safe/x")]
#[case::once("/once/x")]
#[case::stream("/stream/x")]
#[case::engine("/engine/x")]
#[case::asked("/engine/asked")]
fn leaving_hint_stops_calls(#[case] path: &'static str) {
    let mut pair = ServerPair::start("leaving", path);
    pair.platform.down.store(true, Ordering::SeqCst);
    pair.send_hint(ServerHint::Leaving);
    let reached = pair.count_hinting();
    assert_eq!(reached, 0, "of {CALLS} calls");
}

/// Guards against calls to a server during the backoff that it has asked for.
#[rstest]
#[case::safe("/safe/x")]
#[case::once("/once/x")]
#[case::stream("/stream/x")]
#[case::engine("/engine/x")]
#[case::asked("/engine/asked")]
fn backoff_is_respected(#[case] path: &'static str) {
    let mut pair = ServerPair::start("rest", path);
    pair.send_hint(ServerHint::Backoff(LONG_BACKOFF));
    let reached = pair.count_hinting();
    assert_eq!(reached, 0, "of {CALLS} calls");
}
