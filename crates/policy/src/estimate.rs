//! Predicts how long requests take, from the service times of earlier ones.
//!
//! Output lengths are unknown in advance, so every estimate is a quantile or a
//! mean of recent requests of the same class; see
//! docs/DECISIONS/0101-queue.md.
//!
//! - `histogram`: quantiles of recent values.
//! - `averages`: moving averages and a linear fit.

pub(crate) mod averages;
pub(crate) mod histogram;

use std::collections::HashMap;
use std::rc::Rc;
use std::time::{Duration, Instant};

use averages::{LinearFit, MovingAverage};
use histogram::WindowedHistogram;

/// Assumed prefill time per token, in seconds, before any was measured:
/// engines in use read 60 to 160 tokens per millisecond.
pub(crate) const DEFAULT_PREFILL_SECS: f64 = 1e-5;

/// Length of a histogram's period; values older than two periods are dropped.
const HISTOGRAM_PERIOD: Duration = Duration::from_secs(20);

/// Minimum number of samples for an estimate of a class.
const MIN_CLASS_SAMPLES: u64 = 5;

/// Minimum number of samples for a separate estimate of one workspace's
/// requests of a class.
const MIN_PAIR_SAMPLES: u64 = 30;

/// Maximum number of classes kept; each takes about 35 kB.
const MAX_CLASSES: usize = 64;

/// Maximum number of pairs of class and workspace kept.
const MAX_PAIRS: usize = 64;

/// Resolution of the service-time histograms, in microseconds.
const UNIT_US: u64 = 100;

/// The properties of a request that predict its service time.
#[derive(Debug, Clone, Copy)]
pub struct CostFactors<'a> {
    /// Its class.
    pub class: &'a Rc<str>,
    /// Its workspace.
    pub workspace: &'a Rc<str>,
    /// Length of the prompt, in tokens.
    pub prompt_tokens: u32,
    /// Maximum length of the answer, in tokens.
    pub max_tokens: u32,
}

/// Recent service times at one backend server.
#[derive(Debug)]
pub struct Estimator {
    /// Probability with which a request should take no longer than its
    /// estimate.
    confidence: f64,
    /// Time to the first token as a function of the prompt's length.
    prefill: LinearFit,
    /// Statistics of each class.
    classes: HashMap<Rc<str>, GroupStats>,
    /// Statistics of each workspace's requests of a class.
    pairs: HashMap<(Rc<str>, Rc<str>), GroupStats>,
    /// Time that a request of any class holds a slot, in microseconds.
    service: MovingAverage,
    /// Time from start to first piece, in microseconds.
    first: MovingAverage,
    /// Time between two tokens of one answer, in microseconds.
    token: MovingAverage,
}

/// Statistics of a group of requests.
#[derive(Debug)]
struct GroupStats {
    /// Time from start to end, in units of [`UNIT_US`].
    service: WindowedHistogram,
    /// Time to the first piece relative to the prediction for the prompt's
    /// length, in thousandths.
    prefill_ratio: WindowedHistogram,
    /// Time from start to end, in microseconds.
    mean: MovingAverage,
    /// Time of the last sample.
    last_sample: Instant,
}

impl Estimator {
    /// Makes an estimator without samples.
    #[must_use]
    pub fn new(confidence: f64) -> Self {
        Self {
            confidence,
            prefill: LinearFit::default(),
            classes: HashMap::new(),
            pairs: HashMap::new(),
            service: MovingAverage::default(),
            first: MovingAverage::default(),
            token: MovingAverage::default(),
        }
    }

    /// Records that a request's first piece was produced `took` after its
    /// start.
    pub fn record_first(&mut self, now: Instant, factors: &CostFactors<'_>, took: Duration) {
        let us = micros(took).max(1.0);
        self.prefill.add(factors.prompt_tokens, us);
        self.first.add(us);

        let expected = self.prefill.predict(factors.prompt_tokens).unwrap_or(us);
        let ratio = (us / expected * 1000.0) as u64;
        self.update_groups(now, factors, |stats| stats.prefill_ratio.record(now, ratio));
    }

    /// Records the time between two tokens of one answer.
    pub fn record_gap(&mut self, gap: Duration) {
        self.token.add(micros(gap));
    }

    /// Records that a request completed `took` after its start.
    pub fn record_end(&mut self, now: Instant, factors: &CostFactors<'_>, took: Duration) {
        let us = micros(took).max(1.0);
        self.service.add(us);
        self.update_groups(now, factors, |stats| {
            stats.service.record(now, us as u64 / UNIT_US);
            stats.mean.add(us);
        });
    }

    /// Upper bound of the time from start to first piece, at the configured
    /// confidence; `None` when there are too few samples.
    pub fn first_bound(&mut self, now: Instant, factors: &CostFactors<'_>) -> Option<Duration> {
        let q = self.confidence;
        let expected = self.prefill.predict(factors.prompt_tokens)?;
        let stats = self.group_stats(factors, |stats| stats.prefill_ratio.count(now))?;
        let ratio = stats.prefill_ratio.quantile(now, q) as f64 / 1000.0;
        Some(Duration::from_micros((expected * ratio) as u64))
    }

    /// Upper bound of the time from start to end, at the configured
    /// confidence; `None` when there are too few samples.
    pub fn service_bound(&mut self, now: Instant, factors: &CostFactors<'_>) -> Option<Duration> {
        let q = self.confidence;
        let stats = self.group_stats(factors, |stats| stats.service.count(now))?;
        let us = stats.service.quantile(now, q) * UNIT_US;
        let longest = self.max_service_us(factors).unwrap_or(u64::MAX);
        Some(Duration::from_micros(us.min(longest)))
    }

    /// Mean time that such a request holds a slot, in microseconds; `None`
    /// before the first sample.
    #[must_use]
    pub fn expected_service_us(&self, factors: &CostFactors<'_>) -> Option<u64> {
        let key = (Rc::clone(factors.class), Rc::clone(factors.workspace));
        let enough = |o: &&GroupStats| u64::from(o.mean.count()) >= MIN_PAIR_SAMPLES;
        let stats = self.pairs.get(&key).filter(enough);
        let stats = stats.or_else(|| self.classes.get(factors.class));
        let mean = stats.and_then(|o| o.mean.get()).or(self.service.get())?;
        let longest = self.max_service_us(factors).unwrap_or(u64::MAX);
        Some((mean as u64).min(longest).max(1))
    }

    /// Mean time that a request of any class holds a slot, in microseconds.
    #[must_use]
    pub fn mean_service_us(&self) -> Option<u64> {
        self.service.get().map(|us| us as u64)
    }

    /// Moving average of the time from start to first piece, in microseconds;
    /// 0 before the first sample.
    #[must_use]
    pub fn first_us(&self) -> u64 {
        self.first.get().unwrap_or(0.0) as u64
    }

    /// Moving average of the time between two tokens, in microseconds; 0
    /// before the first sample.
    #[must_use]
    pub fn token_us(&self) -> u64 {
        self.token.get().unwrap_or(0.0) as u64
    }

    /// Expected time from start to first piece for a prompt of this many
    /// tokens, in microseconds; 0 before the first sample.
    #[must_use]
    pub fn expected_first_us(&self, prompt: u32) -> u64 {
        self.prefill.predict(prompt).unwrap_or(0.0) as u64
    }

    /// Expected time for an answer of the maximum length, in microseconds.
    fn max_service_us(&self, factors: &CostFactors<'_>) -> Option<u64> {
        let gap = self.token.get()?;
        let first = self.prefill.predict(factors.prompt_tokens)?;
        Some((first + gap * f64::from(factors.max_tokens)) as u64)
    }

    /// The narrowest group of the request's with enough samples.
    fn group_stats(
        &mut self,
        factors: &CostFactors<'_>,
        count: impl Fn(&mut GroupStats) -> u64,
    ) -> Option<&mut GroupStats> {
        let key = (Rc::clone(factors.class), Rc::clone(factors.workspace));
        if let Some(pair) = self.pairs.get_mut(&key)
            && count(pair) >= MIN_PAIR_SAMPLES
        {
            return Some(pair);
        }
        let class = self.classes.get_mut(factors.class)?;
        (count(class) >= MIN_CLASS_SAMPLES).then_some(class)
    }

    /// Updates the statistics of each group of the request's.
    fn update_groups(
        &mut self,
        now: Instant,
        factors: &CostFactors<'_>,
        update: impl Fn(&mut GroupStats),
    ) {
        let class = Rc::clone(factors.class);
        let pair = (Rc::clone(factors.class), Rc::clone(factors.workspace));
        if let Some(stats) = find_or_insert(&mut self.classes, class, MAX_CLASSES, now) {
            update(stats);
        }
        if let Some(stats) = find_or_insert(&mut self.pairs, pair, MAX_PAIRS, now) {
            update(stats);
        }
    }
}

/// Finds or adds a group. Names come from peers and change with each bundle,
/// so the map is bounded: when it is full, groups without recent samples are
/// removed, and if that makes no room none is added. The broader estimate is
/// accurate enough for such requests.
fn find_or_insert<K: Eq + std::hash::Hash>(
    map: &mut HashMap<K, GroupStats>,
    key: K,
    max_groups: usize,
    now: Instant,
) -> Option<&mut GroupStats> {
    if map.len() >= max_groups && !map.contains_key(&key) {
        map.retain(|_, o| now.saturating_duration_since(o.last_sample) < HISTOGRAM_PERIOD * 2);
        if map.len() >= max_groups {
            return None;
        }
    }
    let stats = map.entry(key).or_insert_with(|| GroupStats {
        service: WindowedHistogram::new(HISTOGRAM_PERIOD, now),
        prefill_ratio: WindowedHistogram::new(HISTOGRAM_PERIOD, now),
        mean: MovingAverage::default(),
        last_sample: now,
    });
    stats.last_sample = now;
    Some(stats)
}

fn micros(d: Duration) -> f64 {
    d.as_secs_f64() * 1e6
}
