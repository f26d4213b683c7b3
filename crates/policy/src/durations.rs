//! How long the calls of each route take. An entry that stops begins only calls that are
//! expected to end before it does; see docs/design/stopping.md.

use std::collections::HashMap;
use std::time::Duration;

use crate::rendezvous::hash_name;
use crate::routes::Route;

/// Calls of a route of which the durations are kept.
const KEPT_CALLS: usize = 32;

/// The part of a route's calls that end within [`CallDurations::usual`].
const USUAL_SHARE: f64 = 0.9;

/// Routes of which durations are kept. With more, all are measured again.
const MAX_ROUTES: usize = 16_384;

/// The durations of recent calls, from being sent to their end.
#[derive(Debug, Default)]
pub struct CallDurations {
    /// By the hash of the route's host and path prefix.
    routes: HashMap<u64, Recent>,
}

#[derive(Debug, Default)]
struct Recent {
    durations: Vec<Duration>,
    /// The position of the oldest one, which the next one replaces.
    oldest: usize,
}

impl CallDurations {
    /// Records that a call of `route` has ended as a whole.
    pub fn record(&mut self, route: &Route, duration: Duration) {
        if self.routes.len() >= MAX_ROUTES {
            self.routes.clear();
        }
        let recent = self.routes.entry(key(route)).or_default();
        match recent.durations.get_mut(recent.oldest) {
            Some(oldest) => *oldest = duration,
            None => recent.durations.push(duration),
        }
        recent.oldest = (recent.oldest + 1) % KEPT_CALLS;
    }

    /// The time within which nine of ten recent calls of `route` have ended; `None` if none is
    /// known.
    #[must_use]
    pub fn usual(&self, route: &Route) -> Option<Duration> {
        let mut durations = self.routes.get(&key(route))?.durations.clone();
        let rank = (durations.len() as f64 * USUAL_SHARE) as usize;
        let (_, usual, _) = durations.select_nth_unstable(rank);
        Some(*usual)
    }
}

fn key(route: &Route) -> u64 {
    hash_name(&route.host).rotate_left(1) ^ hash_name(&route.path_prefix)
}
