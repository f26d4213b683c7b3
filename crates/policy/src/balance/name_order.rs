//! In which order the names of servers were first told.

use std::collections::HashMap;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// How long the name of a server that is gone is remembered. What it wrote
/// last may be told late, and it must not count as newer than the one that has
/// its address by then.
const KEPT: Duration = Duration::from_secs(60);

/// Names of servers.
#[derive(Debug, Default)]
pub(super) struct Names {
    /// Names with their places, and when they were told last.
    places: HashMap<Rc<str>, (u64, Instant)>,
    /// Names told so far.
    count: u64,
}

impl Names {
    /// The place of a name that is told now.
    pub(super) fn place(&mut self, now: Instant, name: &Rc<str>) -> u64 {
        self.count += 1;
        let place = self.places.entry(Rc::clone(name));
        let place = place.or_insert((self.count, now));
        place.1 = now;
        place.0
    }

    /// Forgets names that were not told for long and that nobody has `known`.
    pub(super) fn forget(&mut self, now: Instant, known: impl Fn(&str) -> bool) {
        self.places
            .retain(|name, (_, at)| known(name) || now < *at + KEPT);
    }
}
