//! A histogram that forgets.

use std::time::{Duration, Instant};

use hdrhistogram::Histogram;

/// Largest value that is told apart.
const MOST: u64 = 6_000_000;

/// Two digits tell a quantile within a hundredth, far closer than outputs of
/// unknown length repeat themselves.
const DIGITS: u8 = 2;

/// A quantile is computed anew after this many records, as computing it goes
/// over all buckets.
const STALE: u32 = 16;

/// Below this many records the quantile is computed anew after each.
const FEW: u64 = 64;

/// Quantiles of the values of the last one to two periods.
///
/// Two histograms take every value; the one that is read started a period
/// before the other. After each period the read one is emptied and they swap,
/// so that old values go without a list of their times.
#[derive(Debug, Clone)]
pub(crate) struct Aged {
    /// The histogram that is read.
    older: Histogram<u32>,
    /// The histogram that is read next.
    newer: Histogram<u32>,
    /// How long each lives before the swap.
    period: Duration,
    /// When they were swapped last.
    swapped: Instant,
    /// Records since the quantile was computed.
    fresh: u32,
    /// The quantile and its value as computed last.
    cached: Option<(f64, u64)>,
}

impl Aged {
    pub(crate) fn new(period: Duration, now: Instant) -> Self {
        Self {
            older: histogram(),
            newer: histogram(),
            period,
            swapped: now,
            fresh: 0,
            cached: None,
        }
    }

    /// Takes a value in.
    pub(crate) fn record(&mut self, now: Instant, value: u64) {
        self.swap(now);
        self.older.saturating_record(value);
        self.newer.saturating_record(value);
        self.fresh += 1;
    }

    /// How many values are read.
    pub(crate) fn count(&mut self, now: Instant) -> u64 {
        self.swap(now);
        self.older.len()
    }

    /// The value that a share `q` of the values does not exceed; 0 when there
    /// are none.
    pub(crate) fn quantile(&mut self, now: Instant, q: f64) -> u64 {
        self.swap(now);
        let stale = if self.older.len() < FEW { 1 } else { STALE };
        match self.cached {
            Some((known, value)) if known == q && self.fresh < stale => value,
            _ => {
                let value = self.older.value_at_quantile(q);
                self.cached = Some((q, value));
                self.fresh = 0;
                value
            }
        }
    }

    /// Share of the values above `value`.
    pub(crate) fn above(&mut self, now: Instant, value: u64) -> f64 {
        self.swap(now);
        if self.older.is_empty() {
            return 0.0;
        }
        1.0 - self.older.quantile_below(value)
    }

    fn swap(&mut self, now: Instant) {
        let passed = now.saturating_duration_since(self.swapped);
        if passed < self.period {
            return;
        }
        self.older.reset();
        std::mem::swap(&mut self.older, &mut self.newer);
        // Nobody asked for so long that the other one is out of date too.
        if passed >= self.period * 2 {
            self.older.reset();
        }
        self.swapped = now;
        self.cached = None;
    }
}

fn histogram() -> Histogram<u32> {
    Histogram::new_with_bounds(1, MOST, DIGITS).expect("the bounds are constants")
}
