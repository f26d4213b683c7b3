//! The number of servers against loads as a service sees them.

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

/// How long the load must have been lower with these limits.
const CALM: u64 = 60;

/// A platform that carries orders out at once, and the service there.
struct Service {
    now: Instant,
    scaler: Scaler,
    zones: BTreeMap<Rc<str>, ZoneLoad>,
    /// Servers of each zone that run and are not listed.
    hidden: u32,
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
            hidden: 0,
        }
    }

    /// Has the list lose so many servers of each zone.
    fn hide(&mut self, count: u32) {
        self.hidden = count;
        self.zones.values_mut().for_each(|z| z.serving -= count);
    }

    /// Has the list show them again.
    fn show(&mut self) {
        let hidden = std::mem::take(&mut self.hidden);
        self.zones.values_mut().for_each(|z| z.serving += hidden);
    }

    /// The same once it has been watched for long enough, without any load.
    fn watched(serving: &[u32]) -> Self {
        let mut service = Self::new(serving);
        service.seconds(5, 0.0);
        service
    }

    /// Lets a second pass with so many servers' worth of calls in each zone;
    /// returns what was ordered.
    fn second(&mut self, busy: f64) -> Vec<ServerOrder> {
        self.now += Duration::from_secs(1);
        for zone in self.zones.values_mut() {
            zone.busy_servers = busy;
        }
        self.scaler.observe(self.now, &LIMITS, &self.zones);
        let orders = self.scaler.due_orders(self.now);
        for order in &orders {
            self.scaler.mark_accepted(self.now, order);
            let zone = self.zones.get_mut(&order.zone).expect("a zone");
            zone.serving = order.count - self.hidden.min(order.count);
        }
        orders
    }

    fn seconds(&mut self, count: u64, busy: f64) {
        (0..count).for_each(|_| drop(self.second(busy)));
    }

    fn serving(&self) -> Vec<u32> {
        self.zones.values().map(|z| z.serving).collect()
    }

    fn total(&self) -> u32 {
        self.serving().iter().sum()
    }
}

#[test]
fn burst_answered() {
    // Calls come three times as fast from one second to the next, and the
    // servers that are there are all busy. More are ordered at once, before
    // the queues have made callers wait for another look.
    let mut service = Service::new(&[4, 4, 4]);
    service.seconds(5, 1.0);
    assert_eq!(service.serving(), [4, 4, 4]);
    service.second(4.0);
    assert_eq!(service.serving(), [8, 8, 8]);
}

#[test]
fn start_untouched() {
    // All daemons have just started and no caller is there yet. An idle fleet
    // is no sign that it is too large: the first burst would find it shrunk.
    let mut service = Service::new(&[8, 8, 8]);
    service.seconds(60, 0.0);
    assert_eq!(service.serving(), [8, 8, 8]);
}

#[test]
fn calm_falls() {
    // The load goes down for good. Nothing is given up before it has been low
    // for a while, and then a quarter at a time, down to what it needs.
    let mut service = Service::new(&[8, 8, 8]);
    service.second(4.0);
    service.seconds(CALM - 1, 1.5);
    assert_eq!(service.serving(), [8, 8, 8]);
    service.seconds(1, 1.5);
    assert_eq!(service.serving(), [6, 6, 6]);
    service.seconds(CALM - 1, 1.5);
    assert_eq!(service.serving(), [6, 6, 6]);
    service.seconds(5 * CALM, 1.5);
    assert_eq!(service.serving(), [3, 3, 3]);
}

#[test]
fn wave_held() {
    // The load comes and goes every few seconds. Servers that left in each
    // trough would be missed in the next crest, a boot time long.
    let mut service = Service::new(&[8, 8, 8]);
    for _ in 0..10 {
        service.seconds(4, 4.0);
        service.seconds(4, 0.5);
    }
    assert_eq!(service.serving(), [8, 8, 8]);
}

#[test]
fn uneven_kept() {
    // One zone has a server less than the others. No server is ordered just
    // to make them even: nobody needs it.
    let mut service = Service::new(&[8, 8, 7]);
    service.seconds(2 * CALM, 3.8);
    assert_eq!(service.serving(), [8, 8, 7]);
}

#[test]
fn uneven_reserve() {
    // Most servers stand in one zone, and all are half busy. Lost, that zone
    // would leave too few; the other gets more, though there are enough in all.
    let mut service = Service::watched(&[10, 3]);
    service.second(2.9);
    assert_eq!(service.serving(), [10, 7]);
}

#[test]
fn zone_below_limit() {
    // A zone has fewer servers than operators allow, with no load to speak of.
    let mut service = Service::watched(&[1, 4, 4]);
    service.second(0.1);
    assert_eq!(service.serving(), [2, 4, 4]);
}

#[test]
fn hidden_kept() {
    // The list loses eleven of a zone's twelve servers for some seconds, as
    // after the store was away; they run on. An order by what is listed then
    // would have them taken away, whether the load rises, has long been low or
    // is as ever while fewer are listed than operators allow.
    for (before, busy) in [(4.0, 6.0), (0.5, 0.5), (0.1, 0.01)] {
        let mut service = Service::new(&[12, 12, 12]);
        service.seconds(CALM / 2, before);
        service.hide(11);
        let orders: Vec<ServerOrder> = (0..40).flat_map(|_| service.second(busy)).collect();
        let least = 12.0 * 0.75;
        assert!(
            orders.iter().all(|o| f64::from(o.count) >= least),
            "{orders:?}"
        );
    }
}

#[test]
fn successor_watches() {
    // Another entry takes the duties over just after the store was away, with
    // two of twelve servers on its list. It waits until the rest is back.
    let mut service = Service::new(&[12, 12, 12]);
    service.hide(10);
    let first: Vec<ServerOrder> = (0..3).flat_map(|_| service.second(2.0)).collect();
    assert_eq!(first, []);
    service.show();
    let then: Vec<ServerOrder> = (0..5).flat_map(|_| service.second(7.0)).collect();
    assert!(then.iter().all(|o| o.count >= 12), "{then:?}");
}

#[test]
fn order_repeated() {
    // An order that was thought lost is carried out late, after a newer one.
    // What is wanted is ordered again after a while, so that it does not stand
    // for good.
    let mut service = Service::watched(&[4, 4, 4]);
    assert_eq!(service.second(4.0).len(), 3);
    assert!(service.second(4.0).is_empty());
    let again: usize = (0..10).map(|_| service.second(4.0).len()).sum();
    assert_eq!(again, 3);
}

#[test]
fn order_lost() {
    // An order is not answered. It is due again at the next look.
    let mut service = Service::watched(&[4, 4, 4]);
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
        // Whatever comes: orders keep to the limits and no step down takes
        // more than a quarter. Once the load has stayed the same for long, what
        // is left after the loss of any zone carries it, if the limits allow.
        let mut service = Service::new(&serving);
        for load in &loads {
            let before = f64::from(service.total());
            for order in service.second(*load) {
                prop_assert!((LIMITS.min_servers..=LIMITS.max_servers).contains(&order.count));
            }
            prop_assert!(f64::from(service.total()) >= before * 0.75);
        }
        let last = loads[loads.len() - 1];
        service.seconds(8 * CALM, last);
        let left = |zone: &u32| service.total() - zone;
        let left = service.serving().iter().map(left).min().unwrap_or(0);
        let full = service.serving().iter().all(|s| *s == LIMITS.max_servers);
        prop_assert!(full || f64::from(left) >= last * serving.len() as f64);
    }
}
