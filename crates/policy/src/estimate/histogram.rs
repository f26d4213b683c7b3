//! A histogram that forgets.

use std::time::{Duration, Instant};

use hdrhistogram::Histogram;

/// Largest value that is told apart.
const MAX_VALUE: u64 = 6_000_000;

/// Two digits tell a quantile within a hundredth, far closer than outputs of
/// unknown length repeat themselves.
const SIGNIFICANT_DIGITS: u8 = 2;

/// A quantile is computed anew after this many records, as computing it goes
/// over all buckets.
const REFRESH_RECORDS: u32 = 16;

/// Below this many records the quantile is computed anew after each.
const ALWAYS_REFRESH_BELOW: u64 = 64;

/// Quantiles of the values of the last one to two periods.
///
/// Two histograms take every value; the one that is read started a period
/// before the other. After each period the read one is emptied and they swap,
/// so that old values go without a list of their times.
#[derive(Debug, Clone)]
pub(crate) struct WindowedHistogram {
    /// The histogram that is read.
    current: Histogram<u32>,
    /// The histogram that is read next.
    upcoming: Histogram<u32>,
    /// How long each lives before the swap.
    period: Duration,
    /// When they were swapped last.
    rotated_at: Instant,
    /// Records since the quantile was computed.
    since_refresh: u32,
    /// The quantile and its value as computed last.
    cached_quantile: Option<(f64, u64)>,
}

impl WindowedHistogram {
    pub(crate) fn new(period: Duration, now: Instant) -> Self {
        Self {
            current: histogram(),
            upcoming: histogram(),
            period,
            rotated_at: now,
            since_refresh: 0,
            cached_quantile: None,
        }
    }

    /// Takes a value in.
    pub(crate) fn record(&mut self, now: Instant, value: u64) {
        self.rotate(now);
        self.current.saturating_record(value);
        self.upcoming.saturating_record(value);
        self.since_refresh += 1;
    }

    /// How many values are read.
    pub(crate) fn count(&mut self, now: Instant) -> u64 {
        self.rotate(now);
        self.current.len()
    }

    /// The value that a share `q` of the values does not exceed; 0 when there
    /// are none.
    pub(crate) fn quantile(&mut self, now: Instant, q: f64) -> u64 {
        self.rotate(now);
        let stale = if self.current.len() < ALWAYS_REFRESH_BELOW {
            1
        } else {
            REFRESH_RECORDS
        };
        match self.cached_quantile {
            Some((known, value)) if known == q && self.since_refresh < stale => value,
            _ => {
                let value = self.current.value_at_quantile(q);
                self.cached_quantile = Some((q, value));
                self.since_refresh = 0;
                value
            }
        }
    }

    /// Share of the values above `value`.
    pub(crate) fn share_above(&mut self, now: Instant, value: u64) -> f64 {
        self.rotate(now);
        if self.current.is_empty() {
            return 0.0;
        }
        1.0 - self.current.quantile_below(value)
    }

    fn rotate(&mut self, now: Instant) {
        let passed = now.saturating_duration_since(self.rotated_at);
        if passed < self.period {
            return;
        }
        self.current.reset();
        std::mem::swap(&mut self.current, &mut self.upcoming);
        // Nobody asked for so long that the other one is out of date too.
        if passed >= self.period * 2 {
            self.current.reset();
        }
        self.rotated_at = now;
        self.cached_quantile = None;
    }
}

fn histogram() -> Histogram<u32> {
    Histogram::new_with_bounds(1, MAX_VALUE, SIGNIFICANT_DIGITS).expect("the bounds are constants")
}
