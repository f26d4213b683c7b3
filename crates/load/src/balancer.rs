//! Which entry a caller is sent to, as the platform's balancer would choose.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::time::{Duration, Instant};

/// How long an entry is passed over that refused a connection or said that it
/// takes nothing; about the interval of a balancer's health checks.
const COOLDOWN: Duration = Duration::from_secs(1);

/// Sends callers to entries in turn and passes over those that are down or
/// not ready. The caller that found out keeps its refusal.
#[derive(Debug)]
pub struct Balancer {
    entries: Vec<Target>,
    next: AtomicUsize,
    started: Instant,
}

#[derive(Debug)]
struct Target {
    addr: SocketAddr,
    /// Until when it is passed over, in milliseconds from the start.
    cooldown_until: AtomicU64,
}

impl Balancer {
    /// Makes a balancer over the entries.
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

    /// The entries in the order in which one caller tries them: each once,
    /// those passed over last.
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

    /// Notes that an entry refused a connection or is not ready.
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
