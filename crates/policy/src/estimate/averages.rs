//! What is learned without a histogram: means and the cost of a prompt.

/// Weight of a new value in a mean once there are enough of them.
const MEAN_WEIGHT: f64 = 1.0 / 16.0;

/// Weight of a new event in a share.
const SHARE_WEIGHT: f64 = 1.0 / 128.0;

/// What is left of the older samples' weight after each new one.
const FIT_DECAY: f64 = 0.99;

/// Samples wanted before a slope is trusted.
const FIT_MIN_SAMPLES: f64 = 8.0;

/// The samples must spread at least this much for a slope.
const FIT_MIN_SPREAD: f64 = 1.0;

/// A mean in which newer values weigh more.
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

    /// The mean; `None` before the first value.
    pub(crate) fn get(&self) -> Option<f64> {
        (self.count > 0).then_some(self.value)
    }

    pub(crate) fn count(&self) -> u32 {
        self.count
    }
}

/// A share of events in which newer ones weigh more; 1 before the first.
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

/// Time to the first token as a straight line over the prompt's length, by
/// least squares in which older samples weigh less.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct LinearFit {
    n: f64,
    x: f64,
    y: f64,
    xx: f64,
    xy: f64,
}

impl LinearFit {
    /// Takes in that a prompt of `tokens` had its first token after `us`.
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

    /// Expected time in microseconds; `None` before the first sample.
    pub(crate) fn predict(&self, tokens: u32) -> Option<f64> {
        if self.n <= 0.0 {
            return None;
        }
        let mean = self.y / self.n;
        let slope = self.slope();
        let base = (mean - slope * self.x / self.n).max(0.0);
        Some((base + slope * f64::from(tokens)).max(1.0))
    }

    /// Microseconds for each token of the prompt, never negative.
    pub(crate) fn slope(&self) -> f64 {
        if self.n <= 0.0 {
            return 0.0;
        }
        let spread = self.xx / self.n - (self.x / self.n).powi(2);
        if self.n < FIT_MIN_SAMPLES || spread < FIT_MIN_SPREAD * FIT_MIN_SPREAD {
            return 0.0;
        }
        let joint = self.xy / self.n - self.x * self.y / (self.n * self.n);
        (joint / spread).max(0.0)
    }
}
