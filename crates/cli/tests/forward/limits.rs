//! A server that names how many requests a second it takes.

use rstest::rstest;

use crate::caller::{Seen, call};
use crate::platform::{Platform, Word, until};
use crate::process::Entry;

/// A limit that allows each of two entries one request in half an hour.
const HARDLY_ANY: &str = "0.001";

/// Calls of each entry.
const CALLS: usize = 30;

/// Guards against a server in need being sent what it has said that it does not
/// take, while others of its service have room.
#[rstest]
#[case::safe("/safe/x")]
#[case::once("/once/x")]
#[case::stream("/stream/x")]
#[case::engine("/engine/x")]
fn named_limit_is_kept(#[case] path: &str) {
    let (platform, store) = Platform::start();
    let start = || match path.contains("engine") {
        true => platform.engine(),
        false => platform.server(),
    };
    let (limited, _other) = (start(), start());
    let name = path.replace('/', "-");
    let entries = [0, 1].map(|n| Entry::start(&format!("limit{name}{n}"), store, None));
    until("ready", || entries.iter().all(Entry::ready));

    limited.say(Word::Limit(HARDLY_ANY));
    let mut tries = 0;
    let mut served = |entry: &Entry| {
        tries += 1;
        let seen = call(entry.at(), path, &format!("{tries}"));
        assert!(matches!(seen, Seen::Whole(200, _)), "{seen:?}");
    };
    for entry in &entries {
        let before = limited.arrived();
        until("it is told", || {
            served(entry);
            limited.arrived() > before
        });
    }
    let told = limited.arrived();
    for _ in 0..CALLS {
        entries.iter().for_each(&mut served);
    }
    let more = limited.arrived() - told;
    assert!(more <= 2, "{more} requests of {} reached it", 2 * CALLS);
}
