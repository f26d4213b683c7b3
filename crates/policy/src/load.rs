//! How loaded and how fast a backend server is, as last seen.

use std::time::{Duration, Instant};

/// How fast a backend server makes answers. Zero means not observed yet.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct TokenLatency {
    /// From a start to the first token.
    pub first_token: Duration,
    /// Between two tokens of one answer.
    pub per_token: Duration,
}

impl TokenLatency {
    /// Expected time from a start to the end of an answer of `tokens`.
    #[must_use]
    pub fn completion_time(&self, tokens: u32) -> Duration {
        self.first_token + self.per_token.saturating_mul(tokens)
    }

    /// Whether anything was observed.
    #[must_use]
    pub fn is_measured(&self) -> bool {
        !self.per_token.is_zero()
    }
}

/// The load of a backend server as its sidecar told it.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Load {
    /// Requests that run.
    pub running: u32,
    /// Requests that it can run at once.
    pub slots: u32,
    /// Requests that wait.
    pub waiting: u32,
    /// Estimated wait of a request that came now; zero when a slot is free.
    pub wait: Duration,
    /// Its recent pace.
    pub latency: TokenLatency,
    /// Whether it takes nothing new any more.
    pub draining: bool,
}

impl Load {
    /// Whether every slot is taken.
    #[must_use]
    pub fn full(&self) -> bool {
        self.running + self.waiting >= self.slots.max(1)
    }

    /// Requests for each slot, counting one more. Zero for a server that was
    /// not heard yet, so that it is tried.
    #[must_use]
    pub fn load_per_slot(&self) -> f64 {
        if self.slots == 0 {
            return 0.0;
        }
        f64::from(self.running + self.waiting + 1) / f64::from(self.slots)
    }
}

/// The load reports of one server: the newest, and the one that a router
/// would know whose reports arrive with a lag.
#[derive(Debug, Clone, Copy, Default)]
pub struct LoadReports {
    /// The newest report and when it came.
    newest: Option<(Instant, Load)>,
    /// The report on its way, and when it was sent.
    in_transit: Option<(Instant, Load)>,
    /// The last report that arrived.
    arrived: Load,
}

impl LoadReports {
    /// Takes in a report. With a `lag`, reports are sent one after the other,
    /// so what is known is between one and two lags old.
    pub fn record(&mut self, now: Instant, load: Load, lag: Duration) {
        self.newest = Some((now, load));
        match self.in_transit {
            Some((at, _)) if now < at + lag => {}
            Some((_, sent)) => {
                self.arrived = sent;
                self.in_transit = Some((now, load));
            }
            None => self.in_transit = Some((now, load)),
        }
    }

    /// The newest report; an idle server until there is one.
    #[must_use]
    pub fn newest(&self) -> Load {
        self.newest.map_or_else(Load::default, |(_, load)| load)
    }

    /// How old the newest report is.
    #[must_use]
    pub fn newest_age(&self, now: Instant) -> Option<Duration> {
        self.newest.map(|(at, _)| now.saturating_duration_since(at))
    }

    /// The report as known with a `lag`.
    #[must_use]
    pub fn lagged(&self, now: Instant, lag: Duration) -> Load {
        match self.in_transit {
            Some((at, sent)) if now >= at + lag => sent,
            _ => self.arrived,
        }
    }
}
