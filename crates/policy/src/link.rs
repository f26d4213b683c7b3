//! Whether an entry should accept new connections, by the load on the network
//! link of its host.
//!
//! Load pattern: hosts with links of different rates are behind one load
//! balancer, which gives each about the same number of callers. In a burst of
//! long prompts, a host with a slow link queues them for seconds before they are
//! even read, short calls behind long ones, while the links of other hosts are
//! idle. Such a host turns callers away while its link is congested, so that the
//! load balancer sends them to other hosts.

use std::time::{Duration, Instant};

/// The fraction of the link's capacity above which callers are turned away.
/// Calls arrive in bursts of three to four times the mean rate, which must still
/// pass.
const CONGESTED_ABOVE: f64 = 0.35;

/// The fraction of the link's capacity below which callers are accepted again.
const CLEAR_BELOW: f64 = 0.2;

/// Time constant of the moving average.
const AVERAGING_TIME: Duration = Duration::from_secs(1);

/// The load on a host's network link in one direction.
#[derive(Debug, Clone, Copy)]
pub struct LinkLoad {
    /// Capacity of the link in bytes per second.
    capacity: f64,
    /// Exponential moving average of the throughput in bytes per second.
    throughput: f64,
    updated_at: Option<Instant>,
    congested: bool,
}

impl LinkLoad {
    /// A link with a capacity of `mbps` megabits per second.
    #[must_use]
    pub fn new(mbps: f64) -> Self {
        Self {
            capacity: mbps * 1e6 / 8.0,
            throughput: 0.0,
            updated_at: None,
            congested: false,
        }
    }

    /// Records that `bytes` were transferred.
    pub fn record_bytes(&mut self, now: Instant, bytes: usize) {
        self.decay(now);
        self.throughput += bytes as f64 / AVERAGING_TIME.as_secs_f64();
    }

    /// Whether the link is congested and callers should go to other hosts.
    pub fn congested(&mut self, now: Instant) -> bool {
        self.decay(now);
        let threshold = if self.congested {
            CLEAR_BELOW
        } else {
            CONGESTED_ABOVE
        };
        self.congested = self.throughput > self.capacity * threshold;
        self.congested
    }

    fn decay(&mut self, now: Instant) {
        let elapsed = self.updated_at.map(|at| now.saturating_duration_since(at));
        let elapsed = elapsed.unwrap_or_default().as_secs_f64();
        self.throughput *= (-elapsed / AVERAGING_TIME.as_secs_f64()).exp();
        self.updated_at = Some(now);
    }
}
