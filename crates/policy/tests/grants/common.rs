//! Calls and a simulated burst.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use policy::grants::{CallId, GrantController, GrantDecision, GrantRequest};

pub(crate) const TARGET: Duration = Duration::from_millis(800);

pub(crate) const TIME_LEFT: Duration = Duration::from_secs(4);

pub(crate) fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

pub(crate) fn id(number: u32) -> CallId {
    CallId {
        incarnation: 1,
        number,
    }
}

/// A prompt of `tokens` without shared parts.
pub(crate) fn prompt(number: u32, tokens: u32) -> GrantRequest {
    GrantRequest {
        id: id(number),
        parts: vec![(u64::from(number) + 1000, tokens)],
        ttft_limit: TARGET / 2,
        time_left: TIME_LEFT,
        max_gap: None,
        slots: 32,
        rank: 5,
        is_home: true,
        forced: false,
        fetchable: 0,
        copy_time: None,
        workspace: None,
        output_tokens: 0,
    }
}

/// A stream with a maximum gap of `gap` ms.
pub(crate) fn stream(number: u32, gap: u64) -> GrantRequest {
    GrantRequest {
        max_gap: Some(ms(gap)),
        rank: 3,
        ..prompt(number, 500)
    }
}

/// Admits queued calls and returns their ids.
pub(crate) fn admit_waiting(grants: &mut GrantController, now: Instant) -> Vec<CallId> {
    grants
        .grant_waiting(now)
        .into_iter()
        .map(|(id, _)| id)
        .collect()
}

pub(crate) fn granted(decision: GrantDecision) -> bool {
    decision == GrantDecision::Granted
}

pub(crate) fn refused(decision: GrantDecision) -> bool {
    matches!(decision, GrantDecision::Refused(_))
}

/// Results of a burst.
#[derive(Debug, Default)]
pub(crate) struct Outcome {
    pub(crate) in_time: u32,
    pub(crate) late: u32,
    pub(crate) refused: u32,
}

/// An engine that prefills the admitted prompts one after the other.
pub(crate) struct Engine {
    /// Tokens prefilled per millisecond.
    pub(crate) rate: f64,
    /// Prompts with their remaining tokens and the times of their requests.
    pub(crate) prompts: VecDeque<(CallId, f64, Instant)>,
}

impl Engine {
    pub(crate) fn step(
        &mut self,
        now: Instant,
        grants: &mut GrantController,
        outcome: &mut Outcome,
    ) {
        let mut budget = self.rate;
        while let Some((id, tokens_left, requested)) = self.prompts.front_mut() {
            *tokens_left -= budget;
            if *tokens_left > 0.0 {
                return;
            }
            budget = -*tokens_left;
            match now.duration_since(*requested) <= TARGET {
                true => outcome.in_time += 1,
                false => outcome.late += 1,
            }
            grants.record_first_event(now, *id);
            grants.call_ended(now, *id, Duration::ZERO);
            self.prompts.pop_front();
        }
    }
}

/// Sends a prompt of 3,000 tokens every `interval_ms` for 10 s.
pub(crate) fn burst(
    start: Instant,
    grants: &mut GrantController,
    rate: f64,
    interval_ms: u64,
    ttft_limit: Duration,
) -> Outcome {
    let mut engine = Engine {
        rate,
        prompts: VecDeque::new(),
    };
    let mut outcome = Outcome::default();
    let mut requested = std::collections::HashMap::new();
    for t in 0..10_000 {
        let now = start + ms(t);
        if t % interval_ms == 0 {
            let number = u32::try_from(t).expect("small");
            let request = GrantRequest {
                ttft_limit,
                ..prompt(number, 3_000)
            };
            requested.insert(request.id, now);
            match grants.request(now, request) {
                GrantDecision::Granted => engine.prompts.push_back((id(number), 3_000.0, now)),
                GrantDecision::Queued(_) => {}
                GrantDecision::Refused(_) => outcome.refused += 1,
            }
        }
        engine.step(now, grants, &mut outcome);
        for id in admit_waiting(grants, now) {
            engine.prompts.push_back((id, 3_000.0, requested[&id]));
        }
    }
    outcome
}
