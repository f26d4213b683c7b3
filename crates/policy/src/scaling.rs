//! How many backend servers a service should have in each availability zone.
//!
//! Load pattern: load rises within a second, while a newly ordered server
//! takes its first call only after its boot time and with an empty cache; and
//! every server costs money as long as it exists. The number of servers
//! therefore rises at once with the load and falls in steps to what the peak
//! load of a period has needed. The servers that remain after the loss of one
//! zone must carry the whole load. See docs/DECISIONS/0702-scaling.md.

use std::collections::{BTreeMap, VecDeque};
use std::rc::Rc;
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

/// Target utilization of a server. The spare capacity carries a burst that
/// doubles the load until the servers ordered for it have booted.
const TARGET_USE: f64 = 0.5;

/// Maximum utilization of the remaining servers after the loss of one zone.
/// Calls wait then, but none has to be refused.
const FAILOVER_USE: f64 = 0.9;

/// Part of the servers kept at each step down. The measured load may be too
/// low, which only shows on the remaining servers.
const SHRINK_FACTOR: f64 = 0.75;

/// Cooldown before scaling down, in boot times: a server that is removed too
/// early is missing for a boot time.
const COOLDOWN_BOOTS: u32 = 5;

/// Minimum cooldown. Load comes in waves of a few seconds to a minute; with a
/// shorter cooldown, servers would boot and stop in turn, each with an empty
/// cache.
const COOLDOWN_MIN: Duration = Duration::from_secs(60);

/// How long a service is observed before the first order. Servers that the
/// store has lost are listed again within 2 seconds of its return.
const OBSERVE_MIN: Duration = Duration::from_secs(4);

/// Accepted orders are sent again after this time. An earlier order that
/// seemed lost may be executed after the accepted one and would otherwise stay
/// in force.
const ORDER_REFRESH: Duration = Duration::from_secs(10);

/// The operators' limits for a service.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ScalingLimits {
    /// Minimum number of servers per zone.
    #[serde(rename = "least")]
    pub min_servers: u32,
    /// Maximum number of servers per zone.
    #[serde(rename = "most")]
    pub max_servers: u32,
    /// Time from the order of a server until it serves.
    #[serde(rename = "boot")]
    pub boot_time: Duration,
}

/// Observed load of a service in one availability zone.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct ZoneLoad {
    /// Servers that accept new calls.
    pub serving: u32,
    /// Sum of the servers' utilizations. Waiting calls count, so that one
    /// server may contribute more than 1.
    pub busy_servers: f64,
}

/// The number of servers that a zone should have.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServerOrder {
    /// The availability zone.
    pub zone: Rc<str>,
    /// Number of servers in that zone.
    pub count: u32,
}

/// Scaling of one service, decided by one daemon for all.
#[derive(Debug, Default)]
pub struct Scaler {
    /// Observations, the newest last.
    samples: VecDeque<Sample>,
    /// First observation or last step down.
    cooldown_start: Option<Instant>,
    /// Whether the service has ever had load.
    has_load: bool,
    /// Desired number of servers by zone.
    desired: BTreeMap<Rc<str>, u32>,
    /// Accepted number of servers by zone, and when it was accepted.
    accepted: BTreeMap<Rc<str>, (u32, Instant)>,
}

/// An observation of a service.
#[derive(Debug)]
struct Sample {
    at: Instant,
    /// Number of servers that its calls keep busy.
    busy_servers: f64,
    /// Number of servers by zone.
    serving: BTreeMap<Rc<str>, u32>,
}

impl Scaler {
    /// Takes an observation and updates the desired numbers.
    ///
    /// Nothing is decided before a service has had load: all daemons may have
    /// just started, and the existing servers are what the operators have set
    /// up.
    ///
    /// The list of servers may be incomplete for seconds, after a store outage
    /// or before this daemon is up to date. Based on it, healthy servers would
    /// be removed in the middle of their calls. Each zone therefore counts
    /// with its maximum number of servers within the cooldown.
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
        let peak_count: u32 = peak.values().sum();
        let per_zone = |servers: f64| {
            let per_zone = (servers / peak.len().max(1) as f64).ceil() as u32;
            per_zone.clamp(
                limits.min_servers,
                limits.max_servers.max(limits.min_servers),
            )
        };
        let reduced = per_zone(need.max(f64::from(peak_count) * SHRINK_FACTOR));
        if need > f64::from(serving) || lacks_failover(busy_servers, &peak) {
            let per_zone = per_zone(need);
            let more = peak
                .into_iter()
                .map(|(zone, peak_count)| (zone, per_zone.max(peak_count)));
            self.desired.extend(more);
        } else if now >= cooldown_start + cooldown && reduced * (peak.len() as u32) < peak_count {
            self.desired
                .extend(peak.into_keys().map(|zone| (zone, reduced)));
            self.cooldown_start = Some(now);
        } else {
            self.raise_to_min(limits, peak);
        }
    }

    /// Records an observation and drops those older than the cooldown.
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

    /// Maximum number of servers of each zone within the cooldown.
    fn peak_servers(&self) -> BTreeMap<Rc<str>, u32> {
        let mut peak = BTreeMap::new();
        for (zone, serving) in self.samples.iter().flat_map(|sample| &sample.serving) {
            let peak_count: &mut u32 = peak.entry(Rc::clone(zone)).or_default();
            *peak_count = (*peak_count).max(*serving);
        }
        peak
    }

    /// Raises zones below the minimum to it.
    fn raise_to_min(&mut self, limits: &ScalingLimits, peak: BTreeMap<Rc<str>, u32>) {
        for (zone, peak_count) in peak {
            if peak_count < limits.min_servers {
                let desired = self.desired.entry(zone).or_default();
                *desired = (*desired).max(limits.min_servers);
            }
        }
    }

    /// The orders to send: those not accepted yet, and accepted ones that have
    /// to be repeated.
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
/// of `busy_servers`.
fn lacks_failover(busy_servers: f64, zones: &BTreeMap<Rc<str>, u32>) -> bool {
    let largest = zones.values().copied().max().unwrap_or(0);
    let remaining = zones.values().sum::<u32>() - largest;
    zones.len() > 1 && busy_servers / FAILOVER_USE > f64::from(remaining)
}

/// Number of servers needed for a load of `busy_servers`.
fn servers_needed(busy_servers: f64, zones: usize) -> f64 {
    let remaining = match zones {
        0 | 1 => 1.0,
        n => (n - 1) as f64 / n as f64,
    };
    busy_servers / TARGET_USE.min(FAILOVER_USE * remaining)
}
