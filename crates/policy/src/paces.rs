//! The paces of a service's engines: the typical time between two events of a
//! stream at each.
//!
//! Load pattern: engines of one service run at 0.6, 1 and 1.6 times the nominal
//! speed. Spread over all of them, a third of the streams run where they cannot
//! keep their gaps, while engines three times as fast take the same number.
//! Sidecars measure the paces, entries exchange them, and each entry sorts the
//! engines into classes. See docs/design/paced-streams.md.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// Age after which an entry no longer reports a pace. An engine's sidecar
/// states it in each answer, so that it is renewed with every call.
const MAX_AGE: Duration = Duration::from_secs(10);

/// Largest number of paces in a report; with more, the newest are taken.
pub const MAX_REPORTED: usize = 64;

/// Ratio of the slow engines' time between events to the fast engines' from
/// which classes are formed. Engines that are alike by design differ by less:
/// within one speed, times from 18 to 36 ms were measured under changing load,
/// between the slowest and the fastest a ratio of 2.7.
const PACE_RATIO: f64 = 2.0;

/// Ratio below which classes are dissolved again (hysteresis).
const ALIKE_RATIO: f64 = 1.6;

/// Part of the engines at either end that the ratio leaves out, so that single
/// disturbed engines do not form classes.
const SPREAD_QUANTILE: f64 = 0.1;

/// Number of engines with a known pace from which classes are formed.
const MIN_ENGINES: usize = 4;

/// Updates in which an engine's pace has to be known before its shortest time
/// between events counts as its own speed.
const MIN_UPDATES: u32 = 8;

/// Growth of the shortest known time between events with each update, so that
/// an engine that has become slower for good is noticed within a minute.
const SHORTEST_GROWTH: f64 = 1.01;

/// Times between events below and above which an engine is fast or slow, as
/// parts of the median.
const FAST_BELOW: f64 = 0.8;
const SLOW_ABOVE: f64 = 1.25;

/// Factor by which an engine has to exceed the bound of its class to leave it.
/// Each change of class leaves cached prefixes behind.
const CLASS_HYSTERESIS: f64 = 1.1;

/// Steps to which the speed of a class is rounded, so that small changes do
/// not change the number of engines of a partition or the homes of prefixes.
const SPEED_STEPS: f64 = 4.0;

/// Part of a step by which a speed has to differ from the last rounded one to
/// be rounded again (hysteresis); 0.5 is the bound between two steps.
const SPEED_HYSTERESIS: f64 = 0.85;

/// Largest weight of an engine as the home of prefixes. With more, one of 50
/// engines that joins or leaves would move 3 in 100 prefixes.
const HOME_WEIGHT_MAX: f64 = 1.25;

/// A stream avoids an engine if its gap is shorter than this multiple of the
/// typical time between events. Engines take up to 2.5 times as long for some
/// time, and prefill needs room besides.
const GAP_FACTOR: f64 = 3.0;

/// The paces that an entry has learned from sidecars, by the engine's short
/// number.
#[derive(Debug, Default)]
pub struct PaceTable {
    engines: BTreeMap<u16, (Instant, Duration)>,
}

impl PaceTable {
    /// Records the typical time between events that an engine's sidecar
    /// states; zero if it knows none, as after a restart of the engine.
    pub fn record(&mut self, now: Instant, engine: u16, event: Duration) {
        if event.is_zero() {
            self.engines.remove(&engine);
        } else {
            self.engines.insert(engine, (now, event));
        }
    }

    /// The known pace of an engine.
    #[must_use]
    pub fn get(&self, now: Instant, engine: u16) -> Option<Duration> {
        let known = self.engines.get(&engine);
        let known = known.filter(|(at, _)| now < *at + MAX_AGE);
        known.map(|(_, event)| *event)
    }

    /// The known paces for a report, the newest first; expired ones are
    /// dropped.
    pub fn recent(&mut self, now: Instant) -> Vec<(u16, Duration)> {
        self.engines.retain(|_, (at, _)| now < *at + MAX_AGE);
        let mut recent: Vec<(Instant, u16, Duration)> = self
            .engines
            .iter()
            .map(|(engine, (at, event))| (*at, *engine, *event))
            .collect();
        recent.sort_by_key(|(at, engine, _)| (std::cmp::Reverse(*at), *engine));
        recent.truncate(MAX_REPORTED);
        let pace = |(_, engine, event)| (engine, event);
        recent.into_iter().map(pace).collect()
    }
}

/// The class of an engine by its pace.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum PaceClass {
    /// Clearly faster than the median.
    Fast,
    /// As the median, or unknown.
    #[default]
    Normal,
    /// Clearly slower than the median.
    Slow,
}

impl PaceClass {
    /// All classes, the fastest first.
    pub const ALL: [Self; 3] = [Self::Fast, Self::Normal, Self::Slow];

    /// A short name for logs and metric labels.
    #[must_use]
    pub fn label(self) -> &'static str {
        match self {
            Self::Fast => "fast",
            Self::Normal => "normal",
            Self::Slow => "slow",
        }
    }
}

/// The classes of one service's engines.
#[derive(Debug, Default)]
pub struct PaceClasses {
    /// Whether the engines' paces differ enough for classes.
    active: bool,
    /// Pace and class of each engine with a known pace.
    engines: BTreeMap<u16, (Duration, PaceClass)>,
    /// Number of updates and shortest time between events of each of them.
    shortest: BTreeMap<u16, (u32, Duration)>,
    /// Speed of each class relative to the median.
    speeds: [f64; 3],
}

impl PaceClasses {
    /// Sorts the engines into classes by their paces. Engines without one
    /// count as the median.
    pub fn update(&mut self, paces: &[(u16, Duration)]) {
        let mut sorted: Vec<f64> = paces.iter().map(|(_, e)| e.as_secs_f64()).collect();
        sorted.sort_by(f64::total_cmp);
        self.update_shortest(paces);
        let bound = if self.active { ALIKE_RATIO } else { PACE_RATIO };
        self.active = self.spread().is_some_and(|ratio| ratio >= bound);
        let median = quantile(&sorted, 0.5);
        let engines = paces.iter().map(|(engine, event)| {
            let previous = self.engines.get(engine).map(|(_, class)| *class);
            let class = match self.active {
                true => classify(event.as_secs_f64() / median, previous),
                false => PaceClass::Normal,
            };
            (*engine, (*event, class))
        });
        self.engines = engines.collect();
        for class in PaceClass::ALL {
            self.speeds[class as usize] = match self.mean_event(class) {
                Some(mean) if self.active => {
                    let steps = median / mean.as_secs_f64().max(1e-6) * SPEED_STEPS;
                    let last = self.speeds[class as usize] * SPEED_STEPS;
                    let kept = last > 0.0 && (steps - last).abs() < SPEED_HYSTERESIS;
                    let steps = if kept { last } else { steps.round().max(1.0) };
                    steps / SPEED_STEPS
                }
                _ => 1.0,
            };
        }
    }

    /// Updates the shortest time between events of each engine with a pace.
    fn update_shortest(&mut self, paces: &[(u16, Duration)]) {
        let known = paces.iter().map(|(engine, event)| {
            let (updates, shortest) = self.shortest.get(engine).copied().unwrap_or((0, *event));
            let shortest = shortest.mul_f64(SHORTEST_GROWTH).min(*event);
            (*engine, (updates.saturating_add(1), shortest))
        });
        self.shortest = known.collect();
    }

    /// Ratio of the slow engines' to the fast engines' time between events;
    /// `None` while too few are known. The shortest time of each engine counts,
    /// since load lengthens it: engines that are alike by design differ by more
    /// than [`PACE_RATIO`] where some prefill long prompts and others do not.
    fn spread(&self) -> Option<f64> {
        let known = self.shortest.values().filter(|(n, _)| *n >= MIN_UPDATES);
        let mut sorted: Vec<f64> = known.map(|(_, event)| event.as_secs_f64()).collect();
        sorted.sort_by(f64::total_cmp);
        let fast = quantile(&sorted, SPREAD_QUANTILE).max(1e-6);
        let ratio = quantile(&sorted, 1.0 - SPREAD_QUANTILE) / fast;
        (sorted.len() >= MIN_ENGINES).then_some(ratio)
    }

    /// Whether the engines' paces differ enough for classes.
    #[must_use]
    pub fn is_active(&self) -> bool {
        self.active
    }

    /// The class of an engine.
    #[must_use]
    pub fn class(&self, engine: u16) -> PaceClass {
        let known = self.engines.get(&engine);
        known.map_or(PaceClass::default(), |(_, class)| *class)
    }

    /// The typical time between two events at an engine, if known.
    #[must_use]
    pub fn event(&self, engine: u16) -> Option<Duration> {
        self.engines.get(&engine).map(|(event, _)| *event)
    }

    /// Number of engines with a known pace in a class.
    #[must_use]
    pub fn count(&self, class: PaceClass) -> usize {
        self.engines.values().filter(|(_, c)| *c == class).count()
    }

    /// The speed of an engine's class relative to the median.
    #[must_use]
    pub fn speed(&self, engine: u16) -> f64 {
        match self.active {
            true => self.speeds[self.class(engine) as usize],
            false => 1.0,
        }
    }

    /// The weight of an engine as the home of prefixes: the speed of its class,
    /// bounded; none if the paces do not differ enough.
    #[must_use]
    pub fn home_weight(&self, engine: u16) -> Option<f64> {
        let weight = self.speed(engine).min(HOME_WEIGHT_MAX);
        self.active.then_some(weight)
    }

    /// Mean time between events over the engines of a class with a known pace.
    #[must_use]
    pub fn mean_event(&self, class: PaceClass) -> Option<Duration> {
        let engines = self.engines.values().filter(|(_, c)| *c == class);
        let (count, sum) = engines.fold((0, Duration::ZERO), |(n, sum), (event, _)| {
            (n + 1, sum + *event)
        });
        (count > 0).then(|| sum / count)
    }

    /// Whether an engine's pace leaves no room for a stream that allows
    /// `max_gap`.
    #[must_use]
    pub fn is_too_slow(&self, engine: u16, max_gap: Duration) -> bool {
        let known = self.engines.get(&engine).filter(|_| self.active);
        known.is_some_and(|(event, _)| event.mul_f64(GAP_FACTOR) > max_gap)
    }
}

/// A quantile of sorted values; 0 if there are none.
fn quantile(sorted: &[f64], part: f64) -> f64 {
    let rank = (sorted.len().saturating_sub(1)) as f64 * part;
    sorted.get(rank.round() as usize).copied().unwrap_or(0.0)
}

/// The class of an engine whose time between events is `part` of the median.
fn classify(part: f64, previous: Option<PaceClass>) -> PaceClass {
    let (fast, slow) = match previous {
        None => (FAST_BELOW, SLOW_ABOVE),
        Some(PaceClass::Fast) => (FAST_BELOW * CLASS_HYSTERESIS, SLOW_ABOVE),
        Some(PaceClass::Normal) => (FAST_BELOW / CLASS_HYSTERESIS, SLOW_ABOVE * CLASS_HYSTERESIS),
        Some(PaceClass::Slow) => (FAST_BELOW, SLOW_ABOVE / CLASS_HYSTERESIS),
    };
    match part {
        p if p < fast => PaceClass::Fast,
        p if p > slow => PaceClass::Slow,
        _ => PaceClass::Normal,
    }
}
