//! A server that sets its own rate limit.

use rstest::rstest;

use crate::caller::{Outcome, call};
use crate::platform::{Platform, ServerHint, wait_until};
use crate::process::Entry;

/// A limit in requests per second that allows each of two entries one request
/// per half hour.
const TINY_LIMIT: &str = "0.001";

/// Calls of each entry.
const CALLS: usize = 30;

/// Guards against exceeding the rate limit of an overloaded server while other
/// servers of its service have capacity.
#[rstest]
#[case::safe("/safe/x")]
#[case::once("/once/x")]
#[case::stream("/stream/x")]
#[case::engine("/engine/x")]
fn server_limit_is_respected(#[case] path: &str) {
    let (platform, store) = Platform::start();
    let start = || match path.contains("engine") {
        true => platform.engine(),
        false => platform.server(),
    };
    let (limited, _other) = (start(), start());
    let name = path.replace('/', "-");
    let entries = [0, 1].map(|n| Entry::start(&format!("limit{name}{n}"), store, None));
    wait_until("the entry is ready", || entries.iter().all(Entry::ready));

    limited.set_hint(ServerHint::Limit(TINY_LIMIT));
    let mut calls = 0;
    let mut served = |entry: &Entry| {
        calls += 1;
        let outcome = call(entry.addr(), path, &format!("{calls}"));
        assert!(matches!(outcome, Outcome::Complete(200, _)), "{outcome:?}");
    };
    for entry in &entries {
        let before = limited.received();
        wait_until("the entry receives the limit", || {
            served(entry);
            limited.received() > before
        });
    }
    let baseline = limited.received();
    for _ in 0..CALLS {
        entries.iter().for_each(&mut served);
    }
    let more = limited.received() - baseline;
    assert!(more <= 2, "{more} requests of {} reached it", 2 * CALLS);
}
