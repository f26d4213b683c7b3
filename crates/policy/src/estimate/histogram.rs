//! Quantiles of recent values.

use std::time::{Duration, Instant};

use hdrhistogram::Histogram;

/// Largest value that can be recorded; larger values are recorded as this one.
const MAX_VALUE: u64 = 6_000_000;

/// Precision of the values. Two digits give quantiles to within 1%, far finer
/// than the variation of outputs of unknown length.
const SIGNIFICANT_DIGITS: u8 = 2;

/// Number of records after which a cached quantile is recomputed, as that
/// iterates over all buckets.
const REFRESH_RECORDS: u32 = 16;

/// With fewer values than this, the quantile is recomputed after every record.
const ALWAYS_REFRESH_BELOW: u64 = 64;

/// Quantiles of the values of the last one to two periods.
///
/// Every value is recorded in two histograms; the one that is read started one
/// period earlier. After each period the one that is read is cleared and the
/// two are swapped, so old values expire without storing their times.
#[derive(Debug, Clone)]
pub(crate) struct WindowedHistogram {
    /// The histogram that is read.
    current: Histogram<u32>,
    /// The histogram that is read after the next swap.
    upcoming: Histogram<u32>,
    /// Time between two swaps.
    period: Duration,
    /// Time of the last swap.
    rotated_at: Instant,
    /// Number of records since the quantile was computed.
    since_refresh: u32,
    /// The last computed quantile and its value.
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

    /// Records a value.
    pub(crate) fn record(&mut self, now: Instant, value: u64) {
        self.rotate(now);
        self.current.saturating_record(value);
        self.upcoming.saturating_record(value);
        self.since_refresh += 1;
    }

    /// Number of values that are read.
    pub(crate) fn count(&mut self, now: Instant) -> u64 {
        self.rotate(now);
        self.current.len()
    }

    /// The value that a share `q` of the values does not exceed; 0 without
    /// values.
    pub(crate) fn quantile(&mut self, now: Instant, q: f64) -> u64 {
        self.rotate(now);
        let refresh_after = if self.current.len() < ALWAYS_REFRESH_BELOW {
            1
        } else {
            REFRESH_RECORDS
        };
        match self.cached_quantile {
            Some((known, value)) if known == q && self.since_refresh < refresh_after => value,
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
        // After two periods without a call the other histogram is outdated
        // too.
        if passed >= self.period * 2 {
            self.current.reset();
        }
        self.rotated_at = now;
        self.cached_quantile = None;
    }
}

fn histogram() -> Histogram<u32> {
    Histogram::new_with_bounds(1, MAX_VALUE, SIGNIFICANT_DIGITS)
        .expect("the constant histogram bounds are valid")
}
