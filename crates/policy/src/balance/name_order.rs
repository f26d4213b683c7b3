//! The order in which server names were first seen.

use std::collections::HashMap;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// How long the name of a removed server is remembered. Its last record may
/// arrive late, and must not count as newer than the server that has its address
/// by then.
const RETENTION: Duration = Duration::from_secs(60);

/// Server names in the order in which they were first seen.
#[derive(Debug, Default)]
pub(super) struct NameOrder {
    /// For each name its position and when it was last seen.
    positions: HashMap<Rc<str>, (u64, Instant)>,
    /// Positions assigned so far.
    count: u64,
}

impl NameOrder {
    /// The position of a name that is seen now.
    pub(super) fn position(&mut self, now: Instant, name: &Rc<str>) -> u64 {
        self.count += 1;
        let position = self.positions.entry(Rc::clone(name));
        let position = position.or_insert((self.count, now));
        position.1 = now;
        position.0
    }

    /// Removes names that are not `known` and were not seen for the retention
    /// time.
    pub(super) fn expire(&mut self, now: Instant, known: impl Fn(&str) -> bool) {
        self.positions
            .retain(|name, (_, at)| known(name) || now < *at + RETENTION);
    }
}
