//! Servers that fail, and how long an entry leaves them alone of its own accord.

use std::time::{Duration, Instant};

use super::Balancer;

/// How long a server that failed once is left alone; it doubles with each
/// further failure. Long enough for a restart to be seen, short enough that
/// one lost connection costs little.
const REST_FIRST: Duration = Duration::from_millis(300);

/// The longest time for which a failing server is left alone. Servers that
/// are gone for good leave the list within seconds.
const REST_LIMIT: Duration = Duration::from_secs(3);

/// Failed runs in a row after which a server is left alone: single failures
/// belong to the calls.
const RUN_LIMIT: u32 = 3;

impl Balancer {
    /// Notes that a server answered a call as it should.
    pub fn call_succeeded(&mut self, id: &str) {
        if let Some(server) = self.servers.get_mut(id) {
            server.refused = 0;
            server.failed = 0;
            server.rest = None;
            server.said.good();
        }
    }

    /// Notes that no connection could be made to a server; it is left alone
    /// for a while that grows.
    pub fn connect_failed(&mut self, now: Instant, id: &str) {
        if let Some(server) = self.servers.get_mut(id) {
            server.refused = server.refused.saturating_add(1);
            server.rest = Some(now + rest(server.refused));
        }
    }

    /// Notes that a server has turned a call away. One that does so time and again
    /// is left alone like one that fails; single refusals are those of a full
    /// server, which has room in a moment.
    pub fn call_rejected(&mut self, now: Instant, id: &str) {
        self.call_failed(now, id);
    }

    /// How long it is until some server of `service` is tried again of its own
    /// accord, if all that are there are left alone after failures.
    #[must_use]
    pub fn cooldown_left(&self, now: Instant, service: &str) -> Option<Duration> {
        let serving = self.servers.values().filter(|s| s.serves(service));
        let left = serving.map(|s| {
            s.rest
                .map_or(Duration::ZERO, |until| until.saturating_duration_since(now))
        });
        left.min().filter(|left| !left.is_zero())
    }

    /// Notes that a call failed at a server after it was sent.
    pub fn call_failed(&mut self, now: Instant, id: &str) {
        if let Some(server) = self.servers.get_mut(id) {
            server.failed = server.failed.saturating_add(1);
            if server.failed >= RUN_LIMIT {
                server.rest = Some(now + rest(server.failed - RUN_LIMIT + 1));
            }
        }
    }
}

/// How long a server is left alone after so many failures.
fn rest(failures: u32) -> Duration {
    let doubled = REST_FIRST.saturating_mul(2u32.saturating_pow(failures.saturating_sub(1).min(8)));
    doubled.min(REST_LIMIT)
}
