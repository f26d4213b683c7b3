//! The number of servers under simulated loads.

use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::{Duration, Instant};

use policy::scaling::{Scaler, ScalingLimits, ServerOrder, ZoneLoad};
use proptest::prelude::*;

const LIMITS: ScalingLimits = ScalingLimits {
    min_servers: 2,
    max_servers: 12,
    boot_time: Duration::from_secs(2),
};

/// Cooldown in seconds with these limits.
const COOLDOWN_S: u64 = 60;

/// A service on a platform that executes orders at once.
struct Service {
    now: Instant,
    scaler: Scaler,
    zones: BTreeMap<Rc<str>, ZoneLoad>,
    /// Running servers in each zone that are not listed.
    unlisted: u32,
}

impl Service {
    fn new(serving: &[u32]) -> Self {
        let names = ["a", "b", "c", "d"].into_iter().map(Rc::from);
        let zone = |serving: &u32| ZoneLoad {
            serving: *serving,
            busy_servers: 0.0,
        };
        Self {
            now: Instant::now(),
            scaler: Scaler::default(),
            zones: names.zip(serving.iter().map(zone)).collect(),
            unlisted: 0,
        }
    }

    /// Removes `count` servers of each zone from the list.
    fn unlist(&mut self, count: u32) {
        self.unlisted = count;
        self.zones.values_mut().for_each(|z| z.serving -= count);
    }

    /// Adds them to the list again.
    fn relist(&mut self) {
        let unlisted = std::mem::take(&mut self.unlisted);
        self.zones.values_mut().for_each(|z| z.serving += unlisted);
    }

    /// A service that was observed for long enough, without any load.
    fn observed(serving: &[u32]) -> Self {
        let mut service = Self::new(serving);
        service.run(5, 0.0);
        service
    }

    /// Simulates a second with `busy_servers` in each zone; returns the
    /// orders.
    fn step(&mut self, busy_servers: f64) -> Vec<ServerOrder> {
        self.now += Duration::from_secs(1);
        for zone in self.zones.values_mut() {
            zone.busy_servers = busy_servers;
        }
        self.scaler.observe(self.now, &LIMITS, &self.zones);
        let orders = self.scaler.due_orders(self.now);
        for order in &orders {
            self.scaler.mark_accepted(self.now, order);
            let zone = self.zones.get_mut(&order.zone).expect("a zone");
            zone.serving = order.count - self.unlisted.min(order.count);
        }
        orders
    }

    fn run(&mut self, count: u64, busy_servers: f64) {
        (0..count).for_each(|_| drop(self.step(busy_servers)));
    }

    fn serving(&self) -> Vec<u32> {
        self.zones.values().map(|z| z.serving).collect()
    }

    fn total(&self) -> u32 {
        self.serving().iter().sum()
    }
}

#[test]
fn burst_scales_up() {
    // The load rises from one to four busy servers per zone within a second,
    // so that all servers are busy. More servers are ordered at once, before
    // queues delay callers until the next observation.
    let mut service = Service::new(&[4, 4, 4]);
    service.run(5, 1.0);
    assert_eq!(service.serving(), [4, 4, 4]);
    service.step(4.0);
    assert_eq!(service.serving(), [8, 8, 8]);
}

#[test]
fn idle_start_unchanged() {
    // All daemons have just started, and there are no callers yet. An idle
    // fleet must not be scaled down, or the first burst would find it too
    // small.
    let mut service = Service::new(&[8, 8, 8]);
    service.run(60, 0.0);
    assert_eq!(service.serving(), [8, 8, 8]);
}

#[test]
fn low_load_scales_down() {
    // The load drops permanently. Servers are kept for the cooldown, then a
    // quarter at a time is removed, down to what the load needs.
    let mut service = Service::new(&[8, 8, 8]);
    service.step(4.0);
    service.run(COOLDOWN_S - 1, 1.5);
    assert_eq!(service.serving(), [8, 8, 8]);
    service.run(1, 1.5);
    assert_eq!(service.serving(), [6, 6, 6]);
    service.run(COOLDOWN_S - 1, 1.5);
    assert_eq!(service.serving(), [6, 6, 6]);
    service.run(5 * COOLDOWN_S, 1.5);
    assert_eq!(service.serving(), [3, 3, 3]);
}

#[test]
fn waves_keep_servers() {
    // The load rises and falls every few seconds. Servers removed in a trough
    // would be missing in the next peak for a boot time.
    let mut service = Service::new(&[8, 8, 8]);
    for _ in 0..10 {
        service.run(4, 4.0);
        service.run(4, 0.5);
    }
    assert_eq!(service.serving(), [8, 8, 8]);
}

#[test]
fn uneven_zones_unchanged() {
    // One zone has one server less than the others. No server is ordered only
    // to make them equal.
    let mut service = Service::new(&[8, 8, 7]);
    service.run(2 * COOLDOWN_S, 3.8);
    assert_eq!(service.serving(), [8, 8, 7]);
}

#[test]
fn uneven_zones_cover_loss() {
    // Most servers are in one zone, and all are half busy. The loss of that
    // zone would leave too few, so the other zone gets more, although the
    // total is sufficient.
    let mut service = Service::observed(&[10, 3]);
    service.step(2.9);
    assert_eq!(service.serving(), [10, 7]);
}

#[test]
fn zone_below_minimum() {
    // A zone has fewer servers than the minimum, with almost no load.
    let mut service = Service::observed(&[1, 4, 4]);
    service.step(0.1);
    assert_eq!(service.serving(), [2, 4, 4]);
}

#[test]
fn unlisted_servers_kept() {
    // After a store outage, the list loses 11 of a zone's 12 servers for some
    // seconds, although they keep running. Orders based on the list would
    // remove them, whether the load rises, has long been low, or is unchanged
    // while fewer servers are listed than the minimum.
    for (before, busy_servers) in [(4.0, 6.0), (0.5, 0.5), (0.1, 0.01)] {
        let mut service = Service::new(&[12, 12, 12]);
        service.run(COOLDOWN_S / 2, before);
        service.unlist(11);
        let orders: Vec<ServerOrder> = (0..40).flat_map(|_| service.step(busy_servers)).collect();
        let least = 12.0 * 0.75;
        assert!(
            orders.iter().all(|o| f64::from(o.count) >= least),
            "{orders:?}"
        );
    }
}

#[test]
fn successor_observes_first() {
    // Another entry takes over scaling just after a store outage, with 2 of 12
    // servers on its list. It must wait until the others are listed again.
    let mut service = Service::new(&[12, 12, 12]);
    service.unlist(10);
    let first: Vec<ServerOrder> = (0..3).flat_map(|_| service.step(2.0)).collect();
    assert_eq!(first, []);
    service.relist();
    let then: Vec<ServerOrder> = (0..5).flat_map(|_| service.step(7.0)).collect();
    assert!(then.iter().all(|o| o.count >= 12), "{then:?}");
}

#[test]
fn order_repeated() {
    // An order that seemed lost may be executed late, after a newer one.
    // Orders are therefore repeated after some time, so that the older one
    // does not stay in force.
    let mut service = Service::observed(&[4, 4, 4]);
    assert_eq!(service.step(4.0).len(), 3);
    assert!(service.step(4.0).is_empty());
    let again: usize = (0..10).map(|_| service.step(4.0).len()).sum();
    assert_eq!(again, 3);
}

#[test]
fn lost_order_is_due() {
    // An order without a reply is due again at the next observation.
    let mut service = Service::observed(&[4, 4, 4]);
    for zone in service.zones.values_mut() {
        zone.busy_servers = 4.0;
    }
    let now = service.now + Duration::from_secs(1);
    service.scaler.observe(now, &LIMITS, &service.zones);
    assert_eq!(service.scaler.due_orders(now).len(), 3);
    let now = now + Duration::from_secs(1);
    service.scaler.observe(now, &LIMITS, &service.zones);
    assert_eq!(service.scaler.due_orders(now).len(), 3);
}

proptest! {
    #[test]
    fn any_load(
        serving in proptest::collection::vec(LIMITS.min_servers..=LIMITS.max_servers, 2..4),
        loads in proptest::collection::vec(0.01_f64..6.0, 1..150),
    ) {
        // Invariants for any load: orders stay within the limits, and no step
        // down removes more than a quarter. Under a constant load, the servers
        // left after the loss of any zone carry it, if the limits allow.
        let mut service = Service::new(&serving);
        for load in &loads {
            let before = f64::from(service.total());
            for order in service.step(*load) {
                prop_assert!((LIMITS.min_servers..=LIMITS.max_servers).contains(&order.count));
            }
            prop_assert!(f64::from(service.total()) >= before * 0.75);
        }
        let last = loads[loads.len() - 1];
        service.run(8 * COOLDOWN_S, last);
        let left = |zone: &u32| service.total() - zone;
        let left = service.serving().iter().map(left).min().unwrap_or(0);
        let full = service.serving().iter().all(|s| *s == LIMITS.max_servers);
        prop_assert!(full || f64::from(left) >= last * serving.len() as f64);
    }
}
