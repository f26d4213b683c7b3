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
const TARGET_USE: f64 = 0.5;

/// The same of the servers that are left when one zone is lost. Calls wait
/// then, but none has to be turned away.
const FAILOVER_USE: f64 = 0.9;

/// Part of the servers that stays with each step down. What is seen of the
/// load may be too low, and shows only in the servers that are left.
const SHRINK_FACTOR: f64 = 0.75;

/// Boot times for which the load must have been lower before servers are given
/// up: one that is given up too soon is missed for a boot time.
const COOLDOWN_BOOTS: u32 = 5;

/// The least of that time. Load that comes and goes within it would have
/// servers boot and leave by turns, each with an empty memory; people come in
/// waves of seconds to a minute.
const COOLDOWN_MIN: Duration = Duration::from_secs(60);

/// How long a service is watched before anything is ordered. Servers that the
/// store has lost sight of are listed again within two seconds of its return.
const OBSERVE_MIN: Duration = Duration::from_secs(4);

/// How long an order that was accepted is taken to stand. One that was thought
/// lost may be carried out after it, and would stand for good.
const ORDER_REFRESH: Duration = Duration::from_secs(10);

/// What operators allow for a service.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ScalingLimits {
    /// The fewest servers in a zone.
    #[serde(rename = "least")]
    pub min_servers: u32,
    /// The most servers in a zone.
    #[serde(rename = "most")]
    pub max_servers: u32,
    /// How long a new server takes until it serves.
    #[serde(rename = "boot")]
    pub boot_time: Duration,
}

/// What is seen of a service in one availability zone.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct ZoneLoad {
    /// Servers that take new calls.
    pub serving: u32,
    /// The parts of their time that calls take, summed; calls that wait count
    /// as well, so that one server may have more than 1.
    pub busy_servers: f64,
}

/// How many servers a zone should have.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServerOrder {
    /// The availability zone.
    pub zone: Rc<str>,
    /// Servers there.
    pub count: u32,
}

/// The number of servers of one service, as one daemon decides it for all.
#[derive(Debug, Default)]
pub struct Scaler {
    /// What was seen, the newest last.
    samples: VecDeque<Sample>,
    /// When the service was first looked at, or servers were last given up.
    cooldown_start: Option<Instant>,
    /// Whether the service has had any load.
    has_load: bool,
    /// What is wanted in each zone that was decided about.
    desired: BTreeMap<Rc<str>, u32>,
    /// What was accepted, and when.
    accepted: BTreeMap<Rc<str>, (u32, Instant)>,
}

/// What a service looked like at one moment.
#[derive(Debug)]
struct Sample {
    at: Instant,
    /// The servers that its calls keep busy.
    busy_servers: f64,
    /// Servers in each zone.
    serving: BTreeMap<Rc<str>, u32>,
}

impl Scaler {
    /// Takes what is seen at `now`.
    ///
    /// Before a service has had any load nothing is decided: all daemons may
    /// just have started, and what is there is what operators have set up.
    ///
    /// The list of servers may lack most of them for seconds, after the store
    /// was away or before this daemon was told; ordered by it, healthy ones
    /// would be taken away in the middle of their calls. So a zone counts with
    /// the most servers that it had during the calm time.
    pub fn observe(
        &mut self,
        now: Instant,
        limits: &ScalingLimits,
        zones: &BTreeMap<Rc<str>, ZoneLoad>,
    ) {
        let cooldown = COOLDOWN_MIN.max(limits.boot_time * COOLDOWN_BOOTS);
        self.record(now, cooldown, zones);
        let cooldown_start = *self.cooldown_start.get_or_insert(now);
        let first = self.samples.front().map_or(now, |sample| sample.at);
        if !self.has_load || now < first + OBSERVE_MIN {
            return;
        }
        let busy_servers = self
            .samples
            .iter()
            .map(|s| s.busy_servers)
            .fold(0.0, f64::max);
        let peak = self.peak_servers();
        let need = servers_needed(busy_servers, peak.len());
        let serving: u32 = zones.values().map(|z| z.serving).sum();
        let had: u32 = peak.values().sum();
        let each = |servers: f64| {
            let each = (servers / peak.len().max(1) as f64).ceil() as u32;
            each.clamp(
                limits.min_servers,
                limits.max_servers.max(limits.min_servers),
            )
        };
        let reduced = each(need.max(f64::from(had) * SHRINK_FACTOR));
        if need > f64::from(serving) || lacks_failover(busy_servers, &peak) {
            let each = each(need);
            let more = peak.into_iter().map(|(zone, had)| (zone, each.max(had)));
            self.desired.extend(more);
        } else if now >= cooldown_start + cooldown && reduced * (peak.len() as u32) < had {
            self.desired
                .extend(peak.into_keys().map(|zone| (zone, reduced)));
            self.cooldown_start = Some(now);
        } else {
            self.raise_to_min(limits, peak);
        }
    }

    /// Remembers what is seen for as long as it counts.
    fn record(&mut self, now: Instant, cooldown: Duration, zones: &BTreeMap<Rc<str>, ZoneLoad>) {
        let busy_servers: f64 = zones.values().map(|z| z.busy_servers).sum();
        self.has_load |= busy_servers > 0.0;
        let serving = zones
            .iter()
            .map(|(z, sample)| (Rc::clone(z), sample.serving));
        self.samples.push_back(Sample {
            at: now,
            busy_servers,
            serving: serving.collect(),
        });
        while self
            .samples
            .front()
            .is_some_and(|sample| now >= sample.at + cooldown)
        {
            self.samples.pop_front();
        }
    }

    /// The most servers that each zone was seen to have.
    fn peak_servers(&self) -> BTreeMap<Rc<str>, u32> {
        let mut peak = BTreeMap::new();
        for (zone, serving) in self.samples.iter().flat_map(|sample| &sample.serving) {
            let had: &mut u32 = peak.entry(Rc::clone(zone)).or_default();
            *had = (*had).max(*serving);
        }
        peak
    }

    /// Wants what the limits ask for where a zone is below them.
    fn raise_to_min(&mut self, limits: &ScalingLimits, peak: BTreeMap<Rc<str>, u32>) {
        for (zone, had) in peak {
            if had < limits.min_servers {
                let desired = self.desired.entry(zone).or_default();
                *desired = (*desired).max(limits.min_servers);
            }
        }
    }

    /// What is to be ordered at `now`: what was not accepted yet, and now and
    /// then what was.
    #[must_use]
    pub fn due_orders(&self, now: Instant) -> Vec<ServerOrder> {
        let is_current = |zone: &Rc<str>, count: u32| {
            let accepted = self.accepted.get(zone);
            accepted.is_some_and(|(was, at)| *was == count && now < *at + ORDER_REFRESH)
        };
        let due = self.desired.iter().filter(|(z, c)| !is_current(z, **c));
        let order = |(zone, count): (&Rc<str>, &u32)| ServerOrder {
            zone: Rc::clone(zone),
            count: *count,
        };
        due.map(order).collect()
    }

    /// Notes that the platform has accepted an order.
    pub fn mark_accepted(&mut self, now: Instant, order: &ServerOrder) {
        let zone = Rc::clone(&order.zone);
        self.accepted.insert(zone, (order.count, now));
    }
}

/// Whether the loss of the largest zone would leave too few servers for a load
/// that keeps `busy` of them busy all the time.
fn lacks_failover(busy_servers: f64, zones: &BTreeMap<Rc<str>, u32>) -> bool {
    let largest = zones.values().copied().max().unwrap_or(0);
    let left = zones.values().sum::<u32>() - largest;
    zones.len() > 1 && busy_servers / FAILOVER_USE > f64::from(left)
}

/// Servers that a load needs which keeps `busy` of them busy all the time.
fn servers_needed(busy_servers: f64, zones: usize) -> f64 {
    let left = match zones {
        0 | 1 => 1.0,
        n => (n - 1) as f64 / n as f64,
    };
    busy_servers / TARGET_USE.min(FAILOVER_USE * left)
}
