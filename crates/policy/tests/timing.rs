//! What a sidecar learns of its engine's times, from engines that read one
//! prompt after the other and take a fixed time beside.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use policy::grants::{CallId, GrantController, GrantDecision, GrantRequest};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg32;
use rstest::rstest;

/// How far a belief may be off.
const OFF: f64 = 0.2;

/// How long the first beliefs, and those after a change, take.
const LEARNED: u64 = 2_000;

/// An engine that reads in order and sends each first event a fixed time after
/// it has read the prompt.
struct Engine {
    /// Tokens that it reads in a millisecond.
    rate: f64,
    /// The fixed time, in milliseconds.
    fixed: f64,
    /// When it has read all that it has, in milliseconds.
    read: f64,
    /// Prompts with the time of their first events.
    prompts: VecDeque<(CallId, f64)>,
}

impl Engine {
    fn new(rate: f64, fixed: f64) -> Self {
        Self {
            rate,
            fixed,
            read: 0.0,
            prompts: VecDeque::new(),
        }
    }

    fn take(&mut self, now: u64, id: CallId, tokens: u32) {
        self.read = self.read.max(now as f64) + f64::from(tokens) / self.rate;
        self.prompts.push_back((id, self.read + self.fixed));
    }

    /// The calls whose first events have come by now.
    fn begun(&mut self, now: u64) -> Vec<CallId> {
        let mut begun = Vec::new();
        while self
            .prompts
            .front()
            .is_some_and(|(_, at)| *at <= now as f64)
        {
            begun.extend(self.prompts.pop_front().map(|(id, _)| id));
        }
        begun
    }
}

/// Sends calls to an engine for some time.
struct Play {
    grants: GrantController,
    engine: Engine,
    start: Instant,
    random: Pcg32,
    now: u64,
    asked: u32,
}

impl Play {
    fn new(rate: f64, fixed: f64) -> Self {
        Self {
            grants: GrantController::default(),
            engine: Engine::new(rate, fixed),
            start: Instant::now(),
            random: Pcg32::seed_from_u64(7),
            now: 0,
            asked: 0,
        }
    }

    /// Goes on for `span` milliseconds, with `load` of what the engine reads.
    fn run(&mut self, span: u64, load: f64, mean: u32) {
        let each = load * self.engine.rate / f64::from(mean);
        for _ in 0..span {
            self.now += 1;
            let at = self.start + Duration::from_millis(self.now);
            for id in self.engine.begun(self.now) {
                self.grants.record_first_event(at, id);
                self.grants.call_ended(at, id, Duration::ZERO);
            }
            if self.random.random_bool(each.min(1.0)) {
                let tokens = self.random.random_range(mean / 4..mean * 7 / 4);
                self.call(at, tokens);
            }
            for (id, _) in self.grants.grant_waiting(at) {
                self.engine.take(self.now, id, self.asked_tokens(id));
            }
        }
    }

    fn call(&mut self, at: Instant, tokens: u32) {
        self.asked += 1;
        // The number tells the tokens, so that none have to be kept here.
        let id = CallId {
            incarnation: u64::from(tokens),
            number: self.asked,
        };
        let ask = GrantRequest {
            id,
            parts: vec![(u64::from(self.asked) + 1_000_000, tokens)],
            ttft_limit: Duration::from_secs(1),
            time_left: Duration::from_secs(4),
            max_gap: None,
            slots: 128,
            rank: 5,
            is_home: true,
            forced: false,
            fetchable: 0,
            copy_time: None,
        };
        if self.grants.request(at, ask) == GrantDecision::Granted {
            self.engine.take(self.now, id, tokens);
        }
    }

    fn asked_tokens(&self, id: CallId) -> u32 {
        u32::try_from(id.incarnation).expect("tokens")
    }

    fn off(&self) -> f64 {
        let believed = self.grants.estimates().pace_ns as f64 / 1e6;
        (believed * self.engine.rate - 1.0).abs()
    }
}

/// Engines of unlike speed and fixed times get work at unlike rates. Where few
/// calls are inside, the engine mostly waits; taken for reading, that makes it
/// look three times slower than it is, so little is let in, and it goes on
/// looking so.
#[rstest]
fn pace_learned(
    #[values(20.0, 60.0, 157.0, 300.0)] rate: f64,
    #[values(1.0, 26.0, 60.0)] fixed: f64,
    #[values(0.15, 0.5, 1.2)] load: f64,
) {
    let mut play = Play::new(rate, fixed);
    play.run(LEARNED, load, (rate * 20.0) as u32);
    assert!(play.off() < OFF, "off by {:.2}", play.off());
}

/// The engine's pace halves and doubles in the middle of its work, as beside
/// many running calls. Soon its new pace is believed.
#[rstest]
fn pace_changes(#[values(0.5, 2.0)] factor: f64, #[values(0.2, 0.8)] load: f64) {
    let mut play = Play::new(100.0, 20.0);
    play.run(LEARNED, load, 2_000);
    play.engine.rate *= factor;
    play.run(LEARNED, load, 2_000);
    assert!(play.off() < OFF, "off by {:.2}", play.off());
}
