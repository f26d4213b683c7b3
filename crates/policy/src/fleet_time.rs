//! The time of day agreed on by the hosts of the fleet.
//!
//! The clock of a host may step by seconds, forward or back, and then back again. Usage
//! windows based on such a clock would count requests of neighbouring windows. Each
//! entry therefore compares its clock with those of all entries that it hears from and
//! uses the median, which a step on fewer than half of the hosts does not move. A step
//! on most hosts is followed only if it lasts: corrected clocks stay corrected, and the
//! agreed time does not jump for a short disturbance.

use std::collections::HashMap;
use std::time::{Duration, Instant};

/// Time for which a peer's clock reading stays valid.
const PEER_TTL: Duration = Duration::from_secs(10);

/// Largest change of the median, in ms, that is followed at once; ordinary clock
/// adjustments are smaller.
const MAX_STEP_MS: i64 = 300;

/// Time for which a larger step has to last before it is followed.
const STEP_CONFIRMATION: Duration = Duration::from_secs(30);

/// Time after start during which every step is followed, since readings of the peers
/// are still arriving.
const STARTUP: Duration = Duration::from_secs(5);

/// The clocks of all hosts, as known to one of them.
#[derive(Debug)]
pub struct FleetTime {
    /// Reference point of the offsets.
    start: Instant,
    /// Offset of each peer's time of day from the time since `start`, in milliseconds,
    /// and when it was received.
    peers: HashMap<u64, (Instant, i64)>,
    /// The offset in use, in milliseconds, once the time has been requested.
    accepted: Option<i64>,
    /// When the median first differed from the offset in use by more than the step
    /// limit.
    step_since: Option<Instant>,
}

impl FleetTime {
    /// Creates the view of a host that knows no peers. Instants come from a clock that
    /// also advances while the host is suspended.
    #[must_use]
    pub fn new(start: Instant) -> Self {
        Self {
            start,
            peers: HashMap::new(),
            accepted: None,
            step_since: None,
        }
    }

    /// Records a peer's time of day, since the Unix epoch.
    pub fn observe(&mut self, now: Instant, peer: u64, wall: Duration) {
        let offset = self.offset(now, wall);
        self.peers.insert(peer, (now, offset));
    }

    /// The agreed time of day, since the Unix epoch; `wall` is the host's own clock.
    pub fn now(&mut self, now: Instant, wall: Duration) -> Duration {
        self.peers.retain(|_, (heard, _)| now <= *heard + PEER_TTL);
        let mut offsets: Vec<i64> = self.peers.values().map(|(_, offset)| *offset).collect();
        offsets.push(self.offset(now, wall));
        offsets.sort_unstable();
        let accepted = self.filter_step(now, offsets[offsets.len() / 2]);
        let since = i64::try_from(now.saturating_duration_since(self.start).as_millis());
        let ms = accepted.saturating_add(since.unwrap_or(i64::MAX));
        Duration::from_millis(u64::try_from(ms).unwrap_or(0))
    }

    /// The offset to use when the current median is `median`. A step is held back until
    /// it has lasted long enough.
    fn filter_step(&mut self, now: Instant, median: i64) -> i64 {
        let starting = now < self.start + STARTUP;
        let accepted = self.accepted.unwrap_or(median);
        if (median - accepted).abs() > MAX_STEP_MS && !starting {
            let since = *self.step_since.get_or_insert(now);
            if now.saturating_duration_since(since) < STEP_CONFIRMATION {
                return accepted;
            }
        }
        self.step_since = None;
        self.accepted = Some(median);
        median
    }

    fn offset(&self, now: Instant, wall: Duration) -> i64 {
        let since = now.saturating_duration_since(self.start);
        let ms = |d: Duration| i64::try_from(d.as_millis()).unwrap_or(i64::MAX);
        ms(wall) - ms(since)
    }
}
