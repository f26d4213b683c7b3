//! How many backend servers a service should have in each availability zone.
//!
//! Load pattern: calls swell within a second, while a server that is ordered
//! takes its first call only after its boot time and has read nothing by then;
//! and each server is paid for as long as it is there. So the number rises at
//! once with the load that is seen, and falls step by step to what the highest
//! load of a while has needed. What is left after the loss of one zone must
//! carry all of it. See docs/DECISIONS/0702-scaling.md.

use std::collections::{BTreeMap, VecDeque};
use std::rc::Rc;
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

/// Part of a server's time that calls should take. A burst that doubles the
/// load is carried by the rest until what is ordered for it has booted.
const BUSY: f64 = 0.5;

/// The same of the servers that are left when one zone is lost. Calls wait
/// then, but none has to be turned away.
const BUSY_LEFT: f64 = 0.9;

/// Part of the servers that stays with each step down. What is seen of the
/// load may be too low, and shows only in the servers that are left.
const KEPT: f64 = 0.75;

/// Boot times for which the load must have been lower before servers are given
/// up: one that is given up too soon is missed for a boot time.
const CALM_BOOTS: u32 = 5;

/// The least of that time. Load that comes and goes within it would have
/// servers boot and leave by turns, each with an empty memory; people come in
/// waves of seconds to a minute.
const CALM_LEAST: Duration = Duration::from_secs(60);

/// How long an order that was accepted is taken to stand. One that was thought
/// lost may be carried out after it, and would stand for good.
const REPEAT: Duration = Duration::from_secs(10);

/// What operators allow for a service.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Limits {
    /// The fewest servers in a zone.
    pub least: u32,
    /// The most servers in a zone.
    pub most: u32,
    /// How long a new server takes until it serves.
    pub boot: Duration,
}

/// What is seen of a service in one availability zone.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Zone {
    /// Servers that take new calls.
    pub serving: u32,
    /// The parts of their time that calls take, summed; calls that wait count
    /// as well, so that one server may have more than 1.
    pub busy: f64,
}

/// How many servers a zone should have.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Order {
    /// The availability zone.
    pub zone: Rc<str>,
    /// Servers there.
    pub count: u32,
}

/// The number of servers of one service, as one daemon decides it for all.
#[derive(Debug, Default)]
pub struct Scaler {
    /// Servers that the load of a moment needs, the newest last.
    needs: VecDeque<(Instant, f64)>,
    /// When servers were last given up, or the service's load was first seen.
    lowered: Option<Instant>,
    /// What is wanted in each zone that was decided about.
    wanted: BTreeMap<Rc<str>, u32>,
    /// What was accepted, and when.
    accepted: BTreeMap<Rc<str>, (u32, Instant)>,
}

impl Scaler {
    /// Takes what is seen at `now`.
    ///
    /// Before a service has had any load nothing is decided: all daemons may
    /// just have started, and what is there is what operators have set up.
    pub fn look(&mut self, now: Instant, limits: &Limits, zones: &BTreeMap<Rc<str>, Zone>) {
        let busy: f64 = zones.values().map(|z| z.busy).sum();
        if busy <= 0.0 && self.lowered.is_none() {
            return;
        }
        let calm = CALM_LEAST.max(limits.boot * CALM_BOOTS);
        let lowered = *self.lowered.get_or_insert(now);
        self.needs.push_back((now, needed(busy, zones.len())));
        while self.needs.front().is_some_and(|(at, _)| now >= *at + calm) {
            self.needs.pop_front();
        }
        let need = self.needs.iter().map(|(_, n)| *n).fold(0.0, f64::max);

        let serving: u32 = zones.values().map(|z| z.serving).sum();
        let may_fall = now >= lowered + calm;
        let target = match need > f64::from(serving) {
            true => need,
            false if may_fall => need.max(f64::from(serving) * KEPT),
            false => return self.keep_within(limits, zones),
        };
        let each = (target / zones.len().max(1) as f64).ceil() as u32;
        let each = each.clamp(limits.least, limits.most.max(limits.least));
        let rises = need > f64::from(serving);
        let mut fell = false;
        for (zone, seen) in zones {
            let wanted = match rises {
                true => each.max(seen.serving),
                false => each.min(seen.serving),
            };
            fell |= wanted < seen.serving;
            self.wanted.insert(Rc::clone(zone), wanted);
        }
        if fell {
            self.lowered = Some(now);
        }
    }

    /// Wants what the limits ask for where a zone is outside of them.
    fn keep_within(&mut self, limits: &Limits, zones: &BTreeMap<Rc<str>, Zone>) {
        for (zone, seen) in zones {
            if seen.serving < limits.least {
                let wanted = self.wanted.entry(Rc::clone(zone)).or_default();
                *wanted = (*wanted).max(limits.least);
            }
        }
    }

    /// What is to be ordered at `now`: what was not accepted yet, and now and
    /// then what was.
    #[must_use]
    pub fn due(&self, now: Instant) -> Vec<Order> {
        let stands = |zone: &Rc<str>, count: u32| {
            let accepted = self.accepted.get(zone);
            accepted.is_some_and(|(was, at)| *was == count && now < *at + REPEAT)
        };
        let due = self.wanted.iter().filter(|(z, c)| !stands(z, **c));
        let order = |(zone, count): (&Rc<str>, &u32)| Order {
            zone: Rc::clone(zone),
            count: *count,
        };
        due.map(order).collect()
    }

    /// Notes that the platform has accepted an order.
    pub fn accepted(&mut self, now: Instant, order: &Order) {
        let zone = Rc::clone(&order.zone);
        self.accepted.insert(zone, (order.count, now));
    }
}

/// Servers that a load needs which keeps `busy` of them busy all the time.
fn needed(busy: f64, zones: usize) -> f64 {
    let left = match zones {
        0 | 1 => 1.0,
        n => (n - 1) as f64 / n as f64,
    };
    busy / BUSY.min(BUSY_LEFT * left)
}
