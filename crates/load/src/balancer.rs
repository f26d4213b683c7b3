//! Selection of the entry for a request, as the platform's load balancer does
//! it.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::time::{Duration, Instant};

/// Time for which an entry is tried last after it refused a connection or
/// reported that it is not ready; about the interval of a load balancer's
/// health checks.
const COOLDOWN: Duration = Duration::from_secs(1);

/// Distributes requests over the entries round-robin and puts entries that are
/// down or not ready last. A refusal by an entry that is not ready is still
/// the outcome of the request that met it.
#[derive(Debug)]
pub struct Balancer {
    entries: Vec<Target>,
    next: AtomicUsize,
    started: Instant,
}

#[derive(Debug)]
struct Target {
    addr: SocketAddr,
    /// End of the cooldown, in milliseconds from the balancer's start.
    cooldown_until: AtomicU64,
}

impl Balancer {
    /// Creates a balancer over the entries.
    #[must_use]
    pub fn new(entries: &[SocketAddr]) -> Self {
        let target = |addr: &SocketAddr| Target {
            addr: *addr,
            cooldown_until: AtomicU64::new(0),
        };
        Self {
            entries: entries.iter().map(target).collect(),
            next: AtomicUsize::new(0),
            started: Instant::now(),
        }
    }

    /// The entries in the order in which one request tries them: each once,
    /// those in their cooldown last.
    #[must_use]
    pub fn candidates(&self) -> Vec<SocketAddr> {
        let now = self.now();
        let turn = self.next.fetch_add(1, Ordering::Relaxed);
        let count = self.entries.len();
        let turned = (0..count).map(|i| &self.entries[(turn + i) % count]);
        let (up, down): (Vec<_>, Vec<_>) =
            turned.partition(|t| t.cooldown_until.load(Ordering::Relaxed) <= now);
        up.into_iter().chain(down).map(|t| t.addr).collect()
    }

    /// Starts the cooldown of an entry that refused a connection or is not
    /// ready.
    pub fn mark_failed(&self, entry: SocketAddr) {
        let until = self.now() + u64::try_from(COOLDOWN.as_millis()).unwrap_or(0);
        for target in self.entries.iter().filter(|t| t.addr == entry) {
            target.cooldown_until.store(until, Ordering::Relaxed);
        }
    }

    fn now(&self) -> u64 {
        u64::try_from(self.started.elapsed().as_millis()).unwrap_or(u64::MAX)
    }
}
