//! The time of day that the hosts agree on.
//!
//! The clock of a host may step by seconds, forward or back, and step back
//! again. Windows of usage by such a clock would take in the requests of
//! others. Each entry compares its clock with those of all entries that it
//! hears and goes by the middle one, which no step on fewer than half of them
//! moves. A step of most of them is followed only when it lasts: clocks that
//! were set right stay so, and time itself does not jump.

use std::collections::HashMap;
use std::time::{Duration, Instant};

/// What a peer said of its clock is believed for so long.
const BELIEVED: Duration = Duration::from_secs(10);

/// How far the middle clock may move at once; clocks are set by less all the
/// time.
const STEP: i64 = 300;

/// How long a larger step has to last before it is followed.
const LASTING: Duration = Duration::from_secs(30);

/// How long a new process follows every step: it has yet to hear the others.
const LEARNING: Duration = Duration::from_secs(5);

/// The clocks of all hosts, as one of them knows.
#[derive(Debug)]
pub struct FleetTime {
    /// What differences are counted from.
    start: Instant,
    /// How far each peer's time of day is ahead of the time since `start`, in
    /// milliseconds, and when that was heard.
    peers: HashMap<u64, (Instant, i64)>,
    /// What this host goes by, in milliseconds, once it has asked.
    held: Option<i64>,
    /// Since when the middle clock is a step away from that.
    stepped: Option<Instant>,
}

impl FleetTime {
    /// Makes the view of a host that has heard nobody. Instants are of a clock
    /// that counts while the host is suspended.
    #[must_use]
    pub fn new(start: Instant) -> Self {
        Self {
            start,
            peers: HashMap::new(),
            held: None,
            stepped: None,
        }
    }

    /// Notes a peer's time of day, from the Unix epoch.
    pub fn observe(&mut self, now: Instant, peer: u64, wall: Duration) {
        let ahead = self.ahead(now, wall);
        self.peers.insert(peer, (now, ahead));
    }

    /// The time of day that most agree on, from the Unix epoch; `wall` is the
    /// host's own.
    pub fn now(&mut self, now: Instant, wall: Duration) -> Duration {
        self.peers.retain(|_, (heard, _)| now <= *heard + BELIEVED);
        let mut ahead: Vec<i64> = self.peers.values().map(|(_, ahead)| *ahead).collect();
        ahead.push(self.ahead(now, wall));
        ahead.sort_unstable();
        let held = self.follow(now, ahead[ahead.len() / 2]);
        let since = i64::try_from(now.saturating_duration_since(self.start).as_millis());
        let ms = held.saturating_add(since.unwrap_or(i64::MAX));
        Duration::from_millis(u64::try_from(ms).unwrap_or(0))
    }

    /// What to go by when the middle clock says `middle`, which may have just
    /// stepped.
    fn follow(&mut self, now: Instant, middle: i64) -> i64 {
        let learning = now < self.start + LEARNING;
        let held = self.held.unwrap_or(middle);
        if (middle - held).abs() > STEP && !learning {
            let since = *self.stepped.get_or_insert(now);
            if now.saturating_duration_since(since) < LASTING {
                return held;
            }
        }
        self.stepped = None;
        self.held = Some(middle);
        middle
    }

    fn ahead(&self, now: Instant, wall: Duration) -> i64 {
        let since = now.saturating_duration_since(self.start);
        let ms = |d: Duration| i64::try_from(d.as_millis()).unwrap_or(i64::MAX);
        ms(wall) - ms(since)
    }
}
