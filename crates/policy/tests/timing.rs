//! Estimates of an engine's pace, from simulated engines that prefill one
//! prompt after the other and add a fixed time to each first event.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use policy::grants::{CallId, GrantController, GrantDecision, GrantRequest};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg32;
use rstest::rstest;

/// Allowed relative error of the estimated pace.
const TOLERANCE: f64 = 0.2;

/// Time to learn the pace, initially and after a change, in milliseconds.
const LEARNING_MS: u64 = 2_000;

/// An engine that prefills in order and sends each first event a fixed time
/// after the prompt's prefill.
struct Engine {
    /// Tokens prefilled per millisecond.
    rate: f64,
    /// The fixed time in milliseconds.
    base_ms: f64,
    /// When the prefill of all admitted prompts ends, in milliseconds.
    read_until: f64,
    /// Calls with the times of their first events.
    prompts: VecDeque<(CallId, f64)>,
}

impl Engine {
    fn new(rate: f64, base_ms: f64) -> Self {
        Self {
            rate,
            base_ms,
            read_until: 0.0,
            prompts: VecDeque::new(),
        }
    }

    fn start_prefill(&mut self, now: u64, id: CallId, tokens: u32) {
        self.read_until = self.read_until.max(now as f64) + f64::from(tokens) / self.rate;
        self.prompts.push_back((id, self.read_until + self.base_ms));
    }

    /// The calls that have had their first event by `now`.
    fn started(&mut self, now: u64) -> Vec<CallId> {
        let mut started = Vec::new();
        while self
            .prompts
            .front()
            .is_some_and(|(_, at)| *at <= now as f64)
        {
            started.extend(self.prompts.pop_front().map(|(id, _)| id));
        }
        started
    }
}

/// Sends calls to an engine.
struct Simulation {
    grants: GrantController,
    engine: Engine,
    start: Instant,
    random: Pcg32,
    now: u64,
    requested: u32,
}

impl Simulation {
    fn new(rate: f64, base_ms: f64) -> Self {
        Self {
            grants: GrantController::default(),
            engine: Engine::new(rate, base_ms),
            start: Instant::now(),
            random: Pcg32::seed_from_u64(7),
            now: 0,
            requested: 0,
        }
    }

    /// Runs for `duration_ms` at the share `load` of the prefill rate.
    fn run(&mut self, duration_ms: u64, load: f64, mean: u32) {
        let arrivals_per_ms = load * self.engine.rate / f64::from(mean);
        for _ in 0..duration_ms {
            self.now += 1;
            let at = self.start + Duration::from_millis(self.now);
            for id in self.engine.started(self.now) {
                self.grants.record_first_event(at, id);
                self.grants.call_ended(at, id, Duration::ZERO);
            }
            if self.random.random_bool(arrivals_per_ms.min(1.0)) {
                let tokens = self.random.random_range(mean / 4..mean * 7 / 4);
                self.call(at, tokens);
            }
            for (id, _) in self.grants.grant_waiting(at) {
                self.engine
                    .start_prefill(self.now, id, self.prompt_tokens(id));
            }
        }
    }

    fn call(&mut self, at: Instant, tokens: u32) {
        self.requested += 1;
        // The id encodes the number of tokens, so that no table is needed.
        let id = CallId {
            incarnation: u64::from(tokens),
            number: self.requested,
        };
        let request = GrantRequest {
            id,
            parts: vec![(u64::from(self.requested) + 1_000_000, tokens)],
            ttft_limit: Duration::from_secs(1),
            time_left: Duration::from_secs(4),
            max_gap: None,
            slots: 128,
            rank: 5,
            is_home: true,
            forced: false,
            fetchable: 0,
            copy_time: None,
            workspace: None,
            output_tokens: 0,
        };
        if self.grants.request(at, request) == GrantDecision::Granted {
            self.engine.start_prefill(self.now, id, tokens);
        }
    }

    fn prompt_tokens(&self, id: CallId) -> u32 {
        u32::try_from(id.incarnation).expect("tokens")
    }

    fn pace_error(&self) -> f64 {
        let estimated = self.grants.estimates().pace_ns as f64 / 1e6;
        (estimated * self.engine.rate - 1.0).abs()
    }
}

/// Engines of different speeds and fixed times at different loads. Under low
/// load an engine is mostly idle. If idle time counted as prefill, the engine
/// would look three times slower than it is; then little would be admitted,
/// and the error would persist.
#[rstest]
fn pace_learned(
    #[values(20.0, 60.0, 157.0, 300.0)] rate: f64,
    #[values(1.0, 26.0, 60.0)] base_ms: f64,
    #[values(0.15, 0.5, 1.2)] load: f64,
) {
    let mut simulation = Simulation::new(rate, base_ms);
    simulation.run(LEARNING_MS, load, (rate * 20.0) as u32);
    assert!(
        simulation.pace_error() < TOLERANCE,
        "off by {:.2}",
        simulation.pace_error()
    );
}

/// The engine's pace halves or doubles while it works, as beside many running
/// calls. The estimate must follow.
#[rstest]
fn pace_follows_change(#[values(0.5, 2.0)] factor: f64, #[values(0.2, 0.8)] load: f64) {
    let mut simulation = Simulation::new(100.0, 20.0);
    simulation.run(LEARNING_MS, load, 2_000);
    simulation.engine.rate *= factor;
    simulation.run(LEARNING_MS, load, 2_000);
    assert!(
        simulation.pace_error() < TOLERANCE,
        "off by {:.2}",
        simulation.pace_error()
    );
}
