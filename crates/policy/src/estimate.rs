//! What a request is expected to take, learned from those before it.
//!
//! Output lengths are unknown, so everything here is a quantile or a mean of
//! what requests of the same class took lately; see
//! docs/DECISIONS/0101-queue.md.
//!
//! - `aged`: a histogram that forgets.
//! - `fit`: means and the cost of a prompt.

pub(crate) mod aged;
pub(crate) mod fit;

use std::collections::HashMap;
use std::rc::Rc;
use std::time::{Duration, Instant};

use aged::Aged;
use fit::{Fit, Mean};

/// Seconds that a model engine takes to read a token, before any was seen to be
/// read: engines in use read 60 to 160 tokens in a millisecond.
pub(crate) const READ_GUESS: f64 = 1e-5;

/// Values older than two of these are forgotten.
const PERIOD: Duration = Duration::from_secs(20);

/// Observations of a class before it is estimated at all.
const CLASS_FEW: u64 = 5;

/// Observations of a workspace's requests of a class before they are
/// estimated by themselves.
const PAIR_FEW: u64 = 30;

/// Most classes that are remembered; one takes about 35 kB.
const CLASSES: usize = 64;

/// Most pairs of class and workspace that are remembered.
const PAIRS: usize = 64;

/// Microseconds in one unit of the service histograms.
const UNIT_US: u64 = 100;

/// A request, as far as it decides what the request will take.
#[derive(Debug, Clone, Copy)]
pub struct Shape<'a> {
    /// Its class.
    pub class: &'a Rc<str>,
    /// Its workspace.
    pub workspace: &'a Rc<str>,
    /// Size of the prompt, in tokens.
    pub prompt: u32,
    /// Most tokens that the answer may have.
    pub tokens: u32,
}

/// What requests took lately at one backend server.
#[derive(Debug)]
pub struct Estimator {
    /// Probability with which a request should take no longer than estimated.
    confidence: f64,
    /// Time to the first token by the prompt's length.
    prefill: Fit,
    /// What was seen of each class.
    classes: HashMap<Rc<str>, Observed>,
    /// What was seen of each workspace's requests of a class.
    pairs: HashMap<(Rc<str>, Rc<str>), Observed>,
    /// Time that a request of any class holds a slot, in microseconds.
    service: Mean,
    /// Time from a start to the first piece, in microseconds.
    first: Mean,
    /// Time between two tokens of one answer, in microseconds.
    token: Mean,
}

/// What was seen of a group of requests.
#[derive(Debug)]
struct Observed {
    /// Time from the start to the end, in [`UNIT_US`].
    service: Aged,
    /// Time to the first piece, in thousandths of what the prompt's length
    /// made expect.
    ratio: Aged,
    /// Time from the start to the end, in microseconds.
    mean: Mean,
    /// When it was seen last.
    seen: Instant,
}

impl Estimator {
    /// Makes an estimator that has seen nothing.
    #[must_use]
    pub fn new(confidence: f64) -> Self {
        Self {
            confidence,
            prefill: Fit::default(),
            classes: HashMap::new(),
            pairs: HashMap::new(),
            service: Mean::default(),
            first: Mean::default(),
            token: Mean::default(),
        }
    }

    /// Takes in that a request's first piece came `took` after its start.
    pub fn saw_first(&mut self, now: Instant, shape: &Shape<'_>, took: Duration) {
        let us = micros(took).max(1.0);
        self.prefill.add(shape.prompt, us);
        self.first.add(us);

        let expected = self.prefill.at(shape.prompt).unwrap_or(us);
        let ratio = (us / expected * 1000.0) as u64;
        self.each(now, shape, |seen| seen.ratio.record(now, ratio));
    }

    /// Takes in the time between two tokens of one answer.
    pub fn saw_gap(&mut self, gap: Duration) {
        self.token.add(micros(gap));
    }

    /// Takes in that a request ended whole `took` after its start.
    pub fn saw_end(&mut self, now: Instant, shape: &Shape<'_>, took: Duration) {
        let us = micros(took).max(1.0);
        self.service.add(us);
        self.each(now, shape, |seen| {
            seen.service.record(now, us as u64 / UNIT_US);
            seen.mean.add(us);
        });
    }

    /// Time from a start to the first piece that the request stays under with
    /// the set confidence; `None` when too little was seen.
    pub fn first(&mut self, now: Instant, shape: &Shape<'_>) -> Option<Duration> {
        let q = self.confidence;
        let expected = self.prefill.at(shape.prompt)?;
        let seen = self.observed(shape, |seen| seen.ratio.count(now))?;
        let ratio = seen.ratio.quantile(now, q) as f64 / 1000.0;
        Some(Duration::from_micros((expected * ratio) as u64))
    }

    /// Time from a start to the end that the request stays under with the set
    /// confidence; `None` when too little was seen.
    pub fn whole(&mut self, now: Instant, shape: &Shape<'_>) -> Option<Duration> {
        let q = self.confidence;
        let seen = self.observed(shape, |seen| seen.service.count(now))?;
        let us = seen.service.quantile(now, q) * UNIT_US;
        let most = self.longest(shape).unwrap_or(u64::MAX);
        Some(Duration::from_micros(us.min(most)))
    }

    /// Mean time in microseconds that such a request holds a slot; `None`
    /// when nothing was seen at all.
    #[must_use]
    pub fn mean_us(&self, shape: &Shape<'_>) -> Option<u64> {
        let key = (Rc::clone(shape.class), Rc::clone(shape.workspace));
        let enough = |o: &&Observed| u64::from(o.mean.count()) >= PAIR_FEW;
        let seen = self.pairs.get(&key).filter(enough);
        let seen = seen.or_else(|| self.classes.get(shape.class));
        let mean = seen.and_then(|o| o.mean.get()).or(self.service.get())?;
        let most = self.longest(shape).unwrap_or(u64::MAX);
        Some((mean as u64).min(most).max(1))
    }

    /// Mean time in microseconds that a request of any class holds a slot.
    #[must_use]
    pub fn service_us(&self) -> Option<u64> {
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
    pub fn prompt_us(&self, prompt: u32) -> u64 {
        self.prefill.at(prompt).unwrap_or(0.0) as u64
    }

    /// What an answer of the most tokens allowed takes, in microseconds.
    fn longest(&self, shape: &Shape<'_>) -> Option<u64> {
        let gap = self.token.get()?;
        let first = self.prefill.at(shape.prompt)?;
        Some((first + gap * f64::from(shape.tokens)) as u64)
    }

    /// The narrowest group of which enough was seen.
    fn observed(
        &mut self,
        shape: &Shape<'_>,
        count: impl Fn(&mut Observed) -> u64,
    ) -> Option<&mut Observed> {
        let key = (Rc::clone(shape.class), Rc::clone(shape.workspace));
        if let Some(pair) = self.pairs.get_mut(&key)
            && count(pair) >= PAIR_FEW
        {
            return Some(pair);
        }
        let class = self.classes.get_mut(shape.class)?;
        (count(class) >= CLASS_FEW).then_some(class)
    }

    /// Notes something of each group that the request belongs to.
    fn each(&mut self, now: Instant, shape: &Shape<'_>, note: impl Fn(&mut Observed)) {
        let class = Rc::clone(shape.class);
        let pair = (Rc::clone(shape.class), Rc::clone(shape.workspace));
        if let Some(seen) = remembered(&mut self.classes, class, CLASSES, now) {
            note(seen);
        }
        if let Some(seen) = remembered(&mut self.pairs, pair, PAIRS, now) {
            note(seen);
        }
    }
}

/// Finds or adds a group. Names come from peers and change with each bundle,
/// so a full map gives up groups not seen lately and else adds none: the
/// class's own estimate is good enough for the rest.
fn remembered<K: Eq + std::hash::Hash>(
    map: &mut HashMap<K, Observed>,
    key: K,
    most: usize,
    now: Instant,
) -> Option<&mut Observed> {
    if map.len() >= most && !map.contains_key(&key) {
        map.retain(|_, o| now.saturating_duration_since(o.seen) < PERIOD * 2);
        if map.len() >= most {
            return None;
        }
    }
    let seen = map.entry(key).or_insert_with(|| Observed {
        service: Aged::new(PERIOD, now),
        ratio: Aged::new(PERIOD, now),
        mean: Mean::default(),
        seen: now,
    });
    seen.seen = now;
    Some(seen)
}

fn micros(d: Duration) -> f64 {
    d.as_secs_f64() * 1e6
}
