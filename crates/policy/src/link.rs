//! Whether an entry should get new connections, by what its host's link
//! carries.
//!
//! Load pattern: hosts of unlike size stand behind one balancer, which gives
//! each about as many callers. In a burst of long prompts a host with a small
//! link queues them for seconds before they are even read, short calls behind
//! long ones, while its neighbours' links are idle. Such a host sends callers
//! away while its link is well used, and the balancer gives them to others.

use std::time::{Duration, Instant};

/// Part of the link's rate from which callers are sent away. Calls come in
/// clumps of three to four times their mean, which must still pass.
const FULL: f64 = 0.35;

/// Part of the link's rate below which callers are taken again.
const FREE: f64 = 0.2;

/// How fast the measure follows the load.
const SMOOTH: Duration = Duration::from_secs(1);

/// What a host's link carries in one direction.
#[derive(Debug, Clone, Copy)]
pub struct LinkLoad {
    /// Bytes a second that it can carry.
    rate: f64,
    /// Bytes a second that it carries, on average.
    used: f64,
    at: Option<Instant>,
    full: bool,
}

impl LinkLoad {
    /// A link of `mbps` million bits a second.
    #[must_use]
    pub fn new(mbps: f64) -> Self {
        Self {
            rate: mbps * 1e6 / 8.0,
            used: 0.0,
            at: None,
            full: false,
        }
    }

    /// Notes that `bytes` have passed.
    pub fn record_bytes(&mut self, now: Instant, bytes: usize) {
        self.age(now);
        self.used += bytes as f64 / SMOOTH.as_secs_f64();
    }

    /// Whether so much passes that callers should go elsewhere.
    pub fn congested(&mut self, now: Instant) -> bool {
        self.age(now);
        let limit = if self.full { FREE } else { FULL };
        self.full = self.used > self.rate * limit;
        self.full
    }

    fn age(&mut self, now: Instant) {
        let passed = self.at.map(|at| now.saturating_duration_since(at));
        let passed = passed.unwrap_or_default().as_secs_f64();
        self.used *= (-passed / SMOOTH.as_secs_f64()).exp();
        self.at = Some(now);
    }
}
