//! Calls, and what a burst comes to.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use policy::grants::{CallId, GrantController, GrantDecision, GrantRequest};

pub(crate) const TARGET: Duration = Duration::from_millis(800);

pub(crate) const LEFT: Duration = Duration::from_secs(4);

pub(crate) fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

pub(crate) fn id(number: u32) -> CallId {
    CallId {
        incarnation: 1,
        number,
    }
}

/// A prompt of `tokens` that shares nothing.
pub(crate) fn prompt(number: u32, tokens: u32) -> GrantRequest {
    GrantRequest {
        id: id(number),
        parts: vec![(u64::from(number) + 1000, tokens)],
        ttft_limit: TARGET / 2,
        time_left: LEFT,
        max_gap: None,
        slots: 32,
        rank: 5,
        is_home: true,
        forced: false,
        fetchable: 0,
        copy_time: None,
    }
}

/// A stream whose reader bears pauses of `gap`.
pub(crate) fn stream(number: u32, gap: u64) -> GrantRequest {
    GrantRequest {
        max_gap: Some(ms(gap)),
        rank: 3,
        ..prompt(number, 500)
    }
}

/// The waiting calls that are let in by now.
pub(crate) fn let_in(grants: &mut GrantController, now: Instant) -> Vec<CallId> {
    grants
        .grant_waiting(now)
        .into_iter()
        .map(|(id, _)| id)
        .collect()
}

pub(crate) fn granted(verdict: GrantDecision) -> bool {
    verdict == GrantDecision::Granted
}

pub(crate) fn refused(verdict: GrantDecision) -> bool {
    matches!(verdict, GrantDecision::Refused(_))
}

/// What a burst came to.
#[derive(Debug, Default)]
pub(crate) struct Outcome {
    pub(crate) in_time: u32,
    pub(crate) late: u32,
    pub(crate) refused: u32,
}

/// An engine that reads the prompts let in one after the other.
pub(crate) struct Engine {
    /// Tokens that it reads in a millisecond.
    pub(crate) rate: f64,
    /// Prompts with their tokens left and when their callers asked.
    pub(crate) prompts: VecDeque<(CallId, f64, Instant)>,
}

impl Engine {
    pub(crate) fn step(
        &mut self,
        now: Instant,
        grants: &mut GrantController,
        outcome: &mut Outcome,
    ) {
        let mut room = self.rate;
        while let Some((id, left, asked)) = self.prompts.front_mut() {
            *left -= room;
            if *left > 0.0 {
                return;
            }
            room = -*left;
            match now.duration_since(*asked) <= TARGET {
                true => outcome.in_time += 1,
                false => outcome.late += 1,
            }
            grants.record_first_event(now, *id);
            grants.call_ended(now, *id, Duration::ZERO);
            self.prompts.pop_front();
        }
    }
}

/// Lets prompts of 3,000 tokens come every `every` ms for ten seconds.
pub(crate) fn burst(
    start: Instant,
    grants: &mut GrantController,
    rate: f64,
    every: u64,
    allowed: Duration,
) -> Outcome {
    let mut engine = Engine {
        rate,
        prompts: VecDeque::new(),
    };
    let mut outcome = Outcome::default();
    let mut asked = std::collections::HashMap::new();
    for t in 0..10_000 {
        let now = start + ms(t);
        if t % every == 0 {
            let number = u32::try_from(t).expect("small");
            let ask = GrantRequest {
                ttft_limit: allowed,
                ..prompt(number, 3_000)
            };
            asked.insert(ask.id, now);
            match grants.request(now, ask) {
                GrantDecision::Granted => engine.prompts.push_back((id(number), 3_000.0, now)),
                GrantDecision::Queued(_) => {}
                GrantDecision::Refused(_) => outcome.refused += 1,
            }
        }
        engine.step(now, grants, &mut outcome);
        for id in let_in(grants, now) {
            engine.prompts.push_back((id, 3_000.0, asked[&id]));
        }
    }
    outcome
}
