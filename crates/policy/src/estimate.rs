//! What a request is expected to take, learned from those before it.
//!
//! Output lengths are unknown, so everything here is a quantile or a mean of
//! what requests of the same class took lately; see
//! docs/DECISIONS/0101-queue.md.
//!
//! - `aged`: a histogram that forgets.
//! - `fit`: means and the cost of a prompt.

pub(crate) mod averages;
pub(crate) mod histogram;

use std::collections::HashMap;
use std::rc::Rc;
use std::time::{Duration, Instant};

use averages::{LinearFit, MovingAverage};
use histogram::WindowedHistogram;

/// Seconds that a model engine takes to read a token, before any was seen to be
/// read: engines in use read 60 to 160 tokens in a millisecond.
pub(crate) const DEFAULT_PREFILL_SECS: f64 = 1e-5;

/// Values older than two of these are forgotten.
const HISTOGRAM_PERIOD: Duration = Duration::from_secs(20);

/// Observations of a class before it is estimated at all.
const MIN_CLASS_SAMPLES: u64 = 5;

/// Observations of a workspace's requests of a class before they are
/// estimated by themselves.
const MIN_PAIR_SAMPLES: u64 = 30;

/// Most classes that are remembered; one takes about 35 kB.
const MAX_CLASSES: usize = 64;

/// Most pairs of class and workspace that are remembered.
const MAX_PAIRS: usize = 64;

/// Microseconds in one unit of the service histograms.
const UNIT_US: u64 = 100;

/// A request, as far as it decides what the request will take.
#[derive(Debug, Clone, Copy)]
pub struct CostFactors<'a> {
    /// Its class.
    pub class: &'a Rc<str>,
    /// Its workspace.
    pub workspace: &'a Rc<str>,
    /// Size of the prompt, in tokens.
    pub prompt_tokens: u32,
    /// Most tokens that the answer may have.
    pub max_tokens: u32,
}

/// What requests took lately at one backend server.
#[derive(Debug)]
pub struct Estimator {
    /// Probability with which a request should take no longer than estimated.
    confidence: f64,
    /// Time to the first token by the prompt's length.
    prefill: LinearFit,
    /// What was seen of each class.
    classes: HashMap<Rc<str>, GroupStats>,
    /// What was seen of each workspace's requests of a class.
    pairs: HashMap<(Rc<str>, Rc<str>), GroupStats>,
    /// Time that a request of any class holds a slot, in microseconds.
    service: MovingAverage,
    /// Time from a start to the first piece, in microseconds.
    first: MovingAverage,
    /// Time between two tokens of one answer, in microseconds.
    token: MovingAverage,
}

/// What was seen of a group of requests.
#[derive(Debug)]
struct GroupStats {
    /// Time from the start to the end, in [`UNIT_US`].
    service: WindowedHistogram,
    /// Time to the first piece, in thousandths of what the prompt's length
    /// made expect.
    prefill_ratio: WindowedHistogram,
    /// Time from the start to the end, in microseconds.
    mean: MovingAverage,
    /// When it was seen last.
    seen: Instant,
}

impl Estimator {
    /// Makes an estimator that has seen nothing.
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

    /// Takes in that a request's first piece came `took` after its start.
    pub fn record_first(&mut self, now: Instant, shape: &CostFactors<'_>, took: Duration) {
        let us = micros(took).max(1.0);
        self.prefill.add(shape.prompt_tokens, us);
        self.first.add(us);

        let expected = self.prefill.predict(shape.prompt_tokens).unwrap_or(us);
        let ratio = (us / expected * 1000.0) as u64;
        self.update_groups(now, shape, |seen| seen.prefill_ratio.record(now, ratio));
    }

    /// Takes in the time between two tokens of one answer.
    pub fn record_gap(&mut self, gap: Duration) {
        self.token.add(micros(gap));
    }

    /// Takes in that a request ended whole `took` after its start.
    pub fn record_end(&mut self, now: Instant, shape: &CostFactors<'_>, took: Duration) {
        let us = micros(took).max(1.0);
        self.service.add(us);
        self.update_groups(now, shape, |seen| {
            seen.service.record(now, us as u64 / UNIT_US);
            seen.mean.add(us);
        });
    }

    /// Time from a start to the first piece that the request stays under with
    /// the set confidence; `None` when too little was seen.
    pub fn first_bound(&mut self, now: Instant, shape: &CostFactors<'_>) -> Option<Duration> {
        let q = self.confidence;
        let expected = self.prefill.predict(shape.prompt_tokens)?;
        let seen = self.group_stats(shape, |seen| seen.prefill_ratio.count(now))?;
        let ratio = seen.prefill_ratio.quantile(now, q) as f64 / 1000.0;
        Some(Duration::from_micros((expected * ratio) as u64))
    }

    /// Time from a start to the end that the request stays under with the set
    /// confidence; `None` when too little was seen.
    pub fn service_bound(&mut self, now: Instant, shape: &CostFactors<'_>) -> Option<Duration> {
        let q = self.confidence;
        let seen = self.group_stats(shape, |seen| seen.service.count(now))?;
        let us = seen.service.quantile(now, q) * UNIT_US;
        let most = self.max_service_us(shape).unwrap_or(u64::MAX);
        Some(Duration::from_micros(us.min(most)))
    }

    /// Mean time in microseconds that such a request holds a slot; `None`
    /// when nothing was seen at all.
    #[must_use]
    pub fn expected_service_us(&self, shape: &CostFactors<'_>) -> Option<u64> {
        let key = (Rc::clone(shape.class), Rc::clone(shape.workspace));
        let enough = |o: &&GroupStats| u64::from(o.mean.count()) >= MIN_PAIR_SAMPLES;
        let seen = self.pairs.get(&key).filter(enough);
        let seen = seen.or_else(|| self.classes.get(shape.class));
        let mean = seen.and_then(|o| o.mean.get()).or(self.service.get())?;
        let most = self.max_service_us(shape).unwrap_or(u64::MAX);
        Some((mean as u64).min(most).max(1))
    }

    /// Mean time in microseconds that a request of any class holds a slot.
    #[must_use]
    pub fn mean_service_us(&self) -> Option<u64> {
        self.service.get().map(|us| us as u64)
    }

    /// Recent time from a start to the first piece, in microseconds; 0 when
    /// nothing was seen.
    #[must_use]
    pub fn first_us(&self) -> u64 {
        self.first.get().unwrap_or(0.0) as u64
    }

    /// Recent time between two tokens, in microseconds; 0 when nothing was
    /// seen.
    #[must_use]
    pub fn token_us(&self) -> u64 {
        self.token.get().unwrap_or(0.0) as u64
    }

    /// Expected time from a start to the first piece for a prompt, in
    /// microseconds; 0 when nothing was seen.
    #[must_use]
    pub fn expected_first_us(&self, prompt: u32) -> u64 {
        self.prefill.predict(prompt).unwrap_or(0.0) as u64
    }

    /// What an answer of the most tokens allowed takes, in microseconds.
    fn max_service_us(&self, shape: &CostFactors<'_>) -> Option<u64> {
        let gap = self.token.get()?;
        let first = self.prefill.predict(shape.prompt_tokens)?;
        Some((first + gap * f64::from(shape.max_tokens)) as u64)
    }

    /// The narrowest group of which enough was seen.
    fn group_stats(
        &mut self,
        shape: &CostFactors<'_>,
        count: impl Fn(&mut GroupStats) -> u64,
    ) -> Option<&mut GroupStats> {
        let key = (Rc::clone(shape.class), Rc::clone(shape.workspace));
        if let Some(pair) = self.pairs.get_mut(&key)
            && count(pair) >= MIN_PAIR_SAMPLES
        {
            return Some(pair);
        }
        let class = self.classes.get_mut(shape.class)?;
        (count(class) >= MIN_CLASS_SAMPLES).then_some(class)
    }

    /// Notes something of each group that the request belongs to.
    fn update_groups(
        &mut self,
        now: Instant,
        shape: &CostFactors<'_>,
        note: impl Fn(&mut GroupStats),
    ) {
        let class = Rc::clone(shape.class);
        let pair = (Rc::clone(shape.class), Rc::clone(shape.workspace));
        if let Some(seen) = find_or_insert(&mut self.classes, class, MAX_CLASSES, now) {
            note(seen);
        }
        if let Some(seen) = find_or_insert(&mut self.pairs, pair, MAX_PAIRS, now) {
            note(seen);
        }
    }
}

/// Finds or adds a group. Names come from peers and change with each bundle,
/// so a full map gives up groups not seen lately and else adds none: the
/// class's own estimate is good enough for the rest.
fn find_or_insert<K: Eq + std::hash::Hash>(
    map: &mut HashMap<K, GroupStats>,
    key: K,
    max_groups: usize,
    now: Instant,
) -> Option<&mut GroupStats> {
    if map.len() >= max_groups && !map.contains_key(&key) {
        map.retain(|_, o| now.saturating_duration_since(o.seen) < HISTOGRAM_PERIOD * 2);
        if map.len() >= max_groups {
            return None;
        }
    }
    let seen = map.entry(key).or_insert_with(|| GroupStats {
        service: WindowedHistogram::new(HISTOGRAM_PERIOD, now),
        prefill_ratio: WindowedHistogram::new(HISTOGRAM_PERIOD, now),
        mean: MovingAverage::default(),
        seen: now,
    });
    seen.seen = now;
    Some(seen)
}

fn micros(d: Duration) -> f64 {
    d.as_secs_f64() * 1e6
}
