//! Small engines under calls of several tiers.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use policy::grants::{CallId, GrantController, GrantDecision, GrantRequest};

use crate::common::{Outcome, TARGET, admit_waiting, granted, id, ms, prompt, stream};

/// An engine with eight slots, each held for some time after the first event.
struct SlotEngine {
    /// Admitted prompts with their remaining tokens, in prefill order.
    prefill: VecDeque<(CallId, f64)>,
    /// Calls in decode, and when they end.
    decode: Vec<(CallId, Instant)>,
    hold_time: Duration,
    rate: f64,
    /// Maximum number of concurrent calls.
    peak_calls: usize,
}

impl SlotEngine {
    fn new(rate: f64, hold_time: Duration) -> Self {
        Self {
            prefill: VecDeque::new(),
            decode: Vec::new(),
            hold_time,
            rate,
            peak_calls: 0,
        }
    }

    fn start(&mut self, id: CallId, tokens: f64) {
        self.prefill.push_back((id, tokens));
        self.peak_calls = self.peak_calls.max(self.prefill.len() + self.decode.len());
    }

    /// Simulates a millisecond; returns the calls that had their first event.
    fn step(&mut self, now: Instant, grants: &mut GrantController) -> Vec<CallId> {
        let ended = |(_, until): &mut (CallId, Instant)| *until <= now;
        for (id, _) in self.decode.extract_if(.., ended) {
            grants.call_ended(now, id, Duration::ZERO);
        }
        let mut budget = self.rate;
        let mut started = Vec::new();
        while let Some((id, tokens_left)) = self.prefill.front_mut() {
            *tokens_left -= budget;
            if *tokens_left > 0.0 {
                break;
            }
            budget = -*tokens_left;
            started.push(*id);
            grants.record_first_event(now, *id);
            self.decode.push((*id, now + self.hold_time));
            self.prefill.pop_front();
        }
        started
    }
}

/// Calls of one kind at a fixed interval.
#[derive(Clone, Copy)]
struct Workload {
    interval_ms: u64,
    tokens: u32,
    rank: u8,
    ttft_limit: Duration,
    target: Duration,
}

/// Runs workloads for 10 s on an engine with eight slots; returns the outcome
/// of each and the maximum number of concurrent calls.
fn run_workloads(
    workloads: &[Workload],
    grants: &mut GrantController,
    hold_time: Duration,
) -> (Vec<Outcome>, usize) {
    let start = Instant::now();
    let mut engine = SlotEngine::new(150.0, hold_time);
    let mut outcomes: Vec<Outcome> = workloads.iter().map(|_| Outcome::default()).collect();
    let mut requested = std::collections::HashMap::new();
    let mut number = 0;
    for t in 0..10_000 {
        let now = start + ms(t);
        for (k, workload) in workloads
            .iter()
            .enumerate()
            .filter(|(_, k)| t % k.interval_ms == 0)
        {
            number += 1;
            let request = GrantRequest {
                ttft_limit: workload.ttft_limit,
                rank: workload.rank,
                slots: 8,
                ..prompt(number, workload.tokens)
            };
            requested.insert(request.id, (k, now));
            match grants.request(now, request) {
                GrantDecision::Granted => engine.start(id(number), f64::from(workload.tokens)),
                GrantDecision::Queued(_) => {}
                GrantDecision::Refused(_) => outcomes[k].refused += 1,
            }
        }
        for id in engine.step(now, grants) {
            let (k, at) = requested[&id];
            match now.duration_since(at) <= workloads[k].target {
                true => outcomes[k].in_time += 1,
                false => outcomes[k].late += 1,
            }
        }
        for id in admit_waiting(grants, now) {
            engine.start(id, f64::from(workloads[requested[&id].0].tokens));
        }
    }
    (outcomes, engine.peak_calls)
}

/// Long prompts, 5/3 of what eight slots can take if each is held for 250 ms.
const LONG_PROMPTS: Workload = Workload {
    interval_ms: 18,
    tokens: 3_000,
    rank: 8,
    ttft_limit: Duration::from_millis(400),
    target: TARGET,
};

/// Short prompts of a higher tier with a third of the latency target.
const SHORT_PROMPTS: Workload = Workload {
    interval_ms: 70,
    tokens: 1_800,
    rank: 7,
    ttft_limit: Duration::from_millis(125),
    target: Duration::from_millis(250),
};

/// Without streams, an engine with eight slots must use all of them: a
/// reserved slot would waste an eighth of its capacity while calls are
/// refused.
#[test]
fn no_reserve_without_streams() {
    let mut grants = GrantController::default();
    let (outcomes, peak_calls) = run_workloads(&[LONG_PROMPTS], &mut grants, ms(250));
    assert!(outcomes[0].refused > 0, "{outcomes:?}");
    assert_eq!(peak_calls, 8);
}

/// Streams that hold their slots for seconds arrive often and are never
/// queued, so calls dominated by prefill must leave slots for them.
#[test]
fn reserve_with_streams() {
    let now = Instant::now();
    let mut grants = GrantController::default();
    // Six streams per second for 2 s each: 12 concurrent streams on 16 slots.
    let interval = ms(166);
    for n in 0..60 {
        let at = now + interval * n;
        let request = GrantRequest {
            slots: 16,
            ..stream(n, 150)
        };
        assert!(granted(grants.request(at, request)), "stream {n}");
        grants.record_first_event(at, id(n));
        if n >= 12 {
            grants.call_ended(at, id(n - 12), Duration::ZERO);
        }
    }
    let at = now + interval * 60;
    for n in 48..60 {
        grants.call_ended(at, id(n), Duration::ZERO);
    }
    let mut admitted = 0;
    for n in 100..116 {
        let request = GrantRequest {
            slots: 16,
            ..prompt(n, 1)
        };
        if granted(grants.request(at, request)) {
            admitted += 1;
            grants.record_first_event(at, id(n));
        }
    }
    assert!((1..16).contains(&admitted), "{admitted}");
}

/// Long prompts arrive faster than the engine takes them, mixed with short
/// prompts of a higher tier. In a queue ordered by due time only, the short
/// ones wait behind the long ones and are late; they must be served as if they
/// were alone.
#[test]
fn higher_tier_meets_target() {
    let mut grants = GrantController::default();
    let (outcomes, _) = run_workloads(&[LONG_PROMPTS, SHORT_PROMPTS], &mut grants, ms(250));
    let short = &outcomes[1];
    let all = short.in_time + short.late + short.refused;
    assert!(short.in_time * 100 >= all * 95, "{outcomes:?}");
}

/// The same workloads seen from the lower tier: queued calls must not be late,
/// or they take slots from calls that would have been in time. The more urgent
/// calls that overtake them are not in the queue yet on their arrival.
#[test]
fn queued_lower_tier_meets_target() {
    let mut grants = GrantController::default();
    let (outcomes, _) = run_workloads(&[LONG_PROMPTS, SHORT_PROMPTS], &mut grants, ms(250));
    let long = &outcomes[0];
    let served = long.in_time + long.late;
    assert!(long.in_time * 100 >= served * 95, "{outcomes:?}");
    // Eight slots for 10 s; each call takes 0.25 s plus its prefill.
    let capacity = 8.0 * 10.0 / 0.28;
    let all = served + outcomes[1].in_time + outcomes[1].late;
    assert!(
        f64::from(all) >= capacity * 0.9,
        "{outcomes:?} of {capacity}"
    );
}
