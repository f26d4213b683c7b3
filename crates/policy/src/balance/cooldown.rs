//! Cooldown of servers after failures that the entry itself observes.

use std::time::{Duration, Instant};

use super::Balancer;

/// The cooldown after one failure; it doubles with each further one. It is long
/// enough for a restart to become visible, and short enough that a single lost
/// connection costs little.
const FIRST_COOLDOWN: Duration = Duration::from_millis(300);

/// The longest cooldown. Servers that are gone for good leave the list within
/// seconds.
const MAX_COOLDOWN: Duration = Duration::from_secs(3);

/// Consecutive failed calls that start a cooldown. Fewer failures are more
/// likely caused by the calls than by the server.
const FAILED_CALL_LIMIT: u32 = 3;

impl Balancer {
    /// Records that a server answered a call successfully.
    pub fn call_succeeded(&mut self, id: &str) {
        if let Some(server) = self.servers.get_mut(id) {
            server.connect_failures = 0;
            server.failed_calls = 0;
            server.cooldown_until = None;
            server.feedback.call_succeeded();
        }
    }

    /// Records that no connection to a server could be made, and starts a
    /// cooldown that grows with each failure.
    pub fn connect_failed(&mut self, now: Instant, id: &str) {
        if let Some(server) = self.servers.get_mut(id) {
            server.connect_failures = server.connect_failures.saturating_add(1);
            server.cooldown_until = Some(now + failure_cooldown(server.connect_failures));
        }
    }

    /// Records that a server rejected a call. Repeated rejections start a
    /// cooldown like failures do; single ones come from a full server, which has
    /// room again in a moment.
    pub fn call_rejected(&mut self, now: Instant, id: &str) {
        self.call_failed(now, id);
    }

    /// Starts a cooldown of this length, as the sidecar of a server that takes no
    /// calls has stated it.
    pub fn close_server(&mut self, now: Instant, id: &str, span: Duration) {
        if let Some(server) = self.servers.get_mut(id) {
            server.cooldown_until = server.cooldown_until.max(Some(now + span));
        }
    }

    /// How long it is until the first cooldown of a server of `service` ends,
    /// if all available servers are in one.
    #[must_use]
    pub fn cooldown_left(&self, now: Instant, service: &str) -> Option<Duration> {
        let serving = self.servers.values().filter(|s| s.serves(service));
        let left = serving.map(|s| {
            s.cooldown_until
                .map_or(Duration::ZERO, |until| until.saturating_duration_since(now))
        });
        left.min().filter(|left| !left.is_zero())
    }

    /// Records that a call failed at a server after it was sent.
    pub fn call_failed(&mut self, now: Instant, id: &str) {
        if let Some(server) = self.servers.get_mut(id) {
            server.failed_calls = server.failed_calls.saturating_add(1);
            if server.failed_calls >= FAILED_CALL_LIMIT {
                server.cooldown_until =
                    Some(now + failure_cooldown(server.failed_calls - FAILED_CALL_LIMIT + 1));
            }
        }
    }
}

/// The cooldown after this number of failures.
#[must_use]
pub fn failure_cooldown(failures: u32) -> Duration {
    let doubled =
        FIRST_COOLDOWN.saturating_mul(2u32.saturating_pow(failures.saturating_sub(1).min(8)));
    doubled.min(MAX_COOLDOWN)
}
