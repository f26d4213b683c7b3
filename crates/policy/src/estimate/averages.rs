//! Exponentially weighted averages and a linear fit.

/// Weight of a new value in an average of 16 values or more; with fewer it is
/// the plain mean.
const MEAN_WEIGHT: f64 = 1.0 / 16.0;

/// Weight of a new event in a share.
const SHARE_WEIGHT: f64 = 1.0 / 128.0;

/// Factor by which each new sample reduces the weight of the older ones.
const FIT_DECAY: f64 = 0.99;

/// Minimum sum of sample weights for a slope.
const FIT_MIN_SAMPLES: f64 = 8.0;

/// Minimum standard deviation of the x values, such as prompt lengths, for a
/// slope.
const FIT_MIN_SPREAD: f64 = 1.0;

/// An exponentially weighted moving average.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct MovingAverage {
    value: f64,
    count: u32,
}

impl MovingAverage {
    pub(crate) fn add(&mut self, value: f64) {
        self.count = self.count.saturating_add(1);
        let weight = MEAN_WEIGHT.max(1.0 / f64::from(self.count));
        self.value += (value - self.value) * weight;
    }

    /// The average; `None` before the first value.
    pub(crate) fn get(&self) -> Option<f64> {
        (self.count > 0).then_some(self.value)
    }

    pub(crate) fn count(&self) -> u32 {
        self.count
    }
}

/// An exponentially weighted share of events; 1 before the first event.
#[derive(Debug, Clone, Copy)]
pub(crate) struct MovingShare(f64);

impl MovingShare {
    pub(crate) fn new() -> Self {
        Self(1.0)
    }

    pub(crate) fn add(&mut self, counts: bool) {
        let value = f64::from(u8::from(counts));
        self.0 += (value - self.0) * SHARE_WEIGHT;
    }

    pub(crate) fn get(self) -> f64 {
        self.0
    }
}

/// A least-squares line in which older samples weigh less: here the time to
/// the first token over the prompt's length.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct LinearFit {
    n: f64,
    x: f64,
    y: f64,
    xx: f64,
    xy: f64,
}

impl LinearFit {
    /// Records that a prompt of `tokens` had its first token after `us`
    /// microseconds.
    pub(crate) fn add(&mut self, tokens: u32, us: f64) {
        let x = f64::from(tokens);
        for (sum, new) in [
            (&mut self.n, 1.0),
            (&mut self.x, x),
            (&mut self.y, us),
            (&mut self.xx, x * x),
            (&mut self.xy, x * us),
        ] {
            *sum = *sum * FIT_DECAY + new;
        }
    }

    /// Predicted time in microseconds; `None` before the first sample.
    pub(crate) fn predict(&self, tokens: u32) -> Option<f64> {
        if self.n <= 0.0 {
            return None;
        }
        let mean = self.y / self.n;
        let slope = self.slope();
        let base = (mean - slope * self.x / self.n).max(0.0);
        Some((base + slope * f64::from(tokens)).max(1.0))
    }

    /// Slope in microseconds per token, never negative.
    pub(crate) fn slope(&self) -> f64 {
        if self.n <= 0.0 {
            return 0.0;
        }
        let variance = self.xx / self.n - (self.x / self.n).powi(2);
        if self.n < FIT_MIN_SAMPLES || variance < FIT_MIN_SPREAD * FIT_MIN_SPREAD {
            return 0.0;
        }
        let covariance = self.xy / self.n - self.x * self.y / (self.n * self.n);
        (covariance / variance).max(0.0)
    }
}
