//! Load and latency of a backend server, as last reported.

use std::time::{Duration, Instant};

/// Token latencies of a backend server. Zero means not measured yet.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct TokenLatency {
    /// Time from start to first token.
    pub first_token: Duration,
    /// Time between two tokens of one answer.
    pub per_token: Duration,
}

impl TokenLatency {
    /// Expected time from start to end of an answer of `tokens`.
    #[must_use]
    pub fn completion_time(&self, tokens: u32) -> Duration {
        self.first_token + self.per_token.saturating_mul(tokens)
    }

    /// Whether latencies were measured.
    #[must_use]
    pub fn is_measured(&self) -> bool {
        !self.per_token.is_zero()
    }
}

/// The load of a backend server as reported by its sidecar.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Load {
    /// Number of running requests.
    pub running: u32,
    /// Number of requests that it can run at once.
    pub slots: u32,
    /// Number of waiting requests.
    pub waiting: u32,
    /// Estimated wait of a request that arrives now; zero when a slot is free.
    pub wait: Duration,
    /// Its recent token latencies.
    pub latency: TokenLatency,
    /// Whether it is draining and takes no new requests.
    pub draining: bool,
}

impl Load {
    /// Whether every slot is taken or will be by a waiting request.
    #[must_use]
    pub fn full(&self) -> bool {
        self.running + self.waiting >= self.slots.max(1)
    }

    /// Requests per slot, including the one to be placed. Zero for a server
    /// without a report yet, so that it is tried.
    #[must_use]
    pub fn load_per_slot(&self) -> f64 {
        if self.slots == 0 {
            return 0.0;
        }
        f64::from(self.running + self.waiting + 1) / f64::from(self.slots)
    }
}

/// The load reports of one server: the newest one, and the one known to a
/// router whose reports arrive with a simulated lag.
#[derive(Debug, Clone, Copy, Default)]
pub struct LoadReports {
    /// The newest report and its time of arrival.
    newest: Option<(Instant, Load)>,
    /// The report in transit and when it was sent.
    in_transit: Option<(Instant, Load)>,
    /// The last report that arrived after the lag.
    arrived: Load,
}

impl LoadReports {
    /// Records a report. With a `lag`, reports are sent one after the other,
    /// so the known report is between one and two lags old.
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

    /// The newest report; the default (idle) load before the first.
    #[must_use]
    pub fn newest(&self) -> Load {
        self.newest.map_or_else(Load::default, |(_, load)| load)
    }

    /// Age of the newest report.
    #[must_use]
    pub fn newest_age(&self, now: Instant) -> Option<Duration> {
        self.newest.map(|(at, _)| now.saturating_duration_since(at))
    }

    /// The report known to a router with a `lag`.
    #[must_use]
    pub fn lagged(&self, now: Instant, lag: Duration) -> Load {
        match self.in_transit {
            Some((at, sent)) if now >= at + lag => sent,
            _ => self.arrived,
        }
    }
}
