//! Tests of refusals by expected wait, in a simulated burst above an engine's
//! prefill rate.

use std::collections::BinaryHeap;
use std::rc::Rc;
use std::time::Duration;

use policy::wait_estimate::{CallDeadline, Decision, WaitEstimator};
use rstest::rstest;

const TARGET: Duration = Duration::from_millis(800);
const TIMEOUT: Duration = Duration::from_secs(4);

/// Prefill time of one prompt.
const PREFILL_TIME: Duration = Duration::from_millis(40);

fn call(tier: u8, is_retry: bool) -> CallDeadline {
    CallDeadline {
        tier,
        rank: tier,
        target: TARGET,
        left: TIMEOUT,
        is_retry,
    }
}

/// Outcomes of the calls of a burst.
#[derive(Debug, Default)]
struct Outcome {
    in_time: u32,
    late: u32,
    refused: u32,
    /// Prompts that the engine processed although their callers had given up.
    abandoned: u32,
}

/// Simulates one engine for ten seconds, with prompts at 1.5 times its prefill
/// rate that it processes in order.
fn burst(admit: bool) -> Outcome {
    let service = Rc::from("llm");
    let (mut waits, mut outcome) = (WaitEstimator::default(), Outcome::default());
    let mut free = Duration::ZERO;
    // Time of the first event of each waiting prompt.
    let mut waiting: BinaryHeap<std::cmp::Reverse<Duration>> = BinaryHeap::new();
    let gap = PREFILL_TIME.mul_f64(1.0 / 1.5);
    for i in 0..375u32 {
        let now = gap * i;
        while waiting.peek().is_some_and(|at| at.0 <= now) {
            waiting.pop();
        }
        let ahead = u32::try_from(waiting.len()).expect("few calls wait");
        let decision = waits.decide(&service, call(2, false), ahead, 0.5);
        if admit && decision != Decision::Send {
            outcome.refused += 1;
            continue;
        }
        free = free.max(now) + PREFILL_TIME;
        waiting.push(std::cmp::Reverse(free));
        let took = (free - now).min(TIMEOUT);
        // A real entry records this when the event arrives. As the engine
        // works in order, recording it now is equivalent for all later
        // prompts.
        waits.record(&service, 2, ahead, took);
        match took {
            t if t <= TARGET => outcome.in_time += 1,
            t if t < TIMEOUT => outcome.late += 1,
            _ => outcome.abandoned += 1,
        }
    }
    outcome
}

/// Prompts arrive at 1.5 times the prefill rate. If all are sent, nearly all
/// are late; if the excess is refused by expected wait, the rest is nearly
/// always on time and the engine processes as many prompts.
#[test]
fn burst_leaves_the_rest_in_time() {
    let (without, with) = (burst(false), burst(true));
    assert!(without.in_time < 80, "{without:?}");
    assert!(with.in_time > 150, "{with:?}");
    assert!(with.abandoned == 0 && without.abandoned <= 375, "{with:?}");
    assert!(with.refused < 160, "{with:?}");
}

fn busy_engine() -> (WaitEstimator, Rc<str>) {
    let (mut waits, service) = (WaitEstimator::default(), Rc::from("llm"));
    for rank in 0..3 {
        for ahead in 0..40 {
            waits.record(&service, rank, ahead, PREFILL_TIME * (ahead + 1));
        }
    }
    (waits, service)
}

#[rstest]
#[case::idle(2, false, 0, true)]
#[case::within_target(2, false, 14, true)]
#[case::just_at_target(2, false, 19, false)]
#[case::past_target(2, false, 30, false)]
#[case::upper_tier_waits_longer(1, false, 30, true)]
#[case::top_tier_waits_longer(0, false, 30, true)]
#[case::top_tier_past_its_limit(0, false, 70, false)]
#[case::retry_waits_longer(2, true, 30, true)]
fn decided_by_wait(
    #[case] tier: u8,
    #[case] is_retry: bool,
    #[case] ahead: u32,
    #[case] sent: bool,
) {
    let (waits, service) = busy_engine();
    let decision = waits.decide(&service, call(tier, is_retry), ahead, 0.0);
    assert_eq!(decision == Decision::Send, sent, "{decision:?}");
}

/// An entry without measurements must not refuse calls.
#[test]
fn sent_without_measurements() {
    let waits = WaitEstimator::default();
    let decision = waits.decide(&Rc::from("llm"), call(2, false), 500, 0.0);
    assert_eq!(decision, Decision::Send);
}

/// The engine processes urgent calls first. With one mean over all ranks the
/// least urgent would seem to be served soon, be sent and wait for nothing.
#[test]
fn ranks_are_estimated_separately() {
    let (mut waits, service) = (WaitEstimator::default(), Rc::from("llm"));
    for ahead in 0..40 {
        waits.record(&service, 0, ahead, Duration::from_millis(100));
        waits.record(&service, 2, ahead, Duration::from_millis(3500));
    }
    let urgent = waits.decide(&service, call(0, false), 20, 0.0);
    let least = waits.decide(&service, call(2, false), 20, 0.0);
    assert_eq!(urgent, Decision::Send);
    assert!(matches!(least, Decision::Refuse { .. }));
}

/// Callers refused together must not retry together.
#[test]
fn retries_are_spread() {
    let (waits, service) = busy_engine();
    let after = |random| match waits.decide(&service, call(2, false), 35, random) {
        Decision::Refuse { retry_after, .. } => retry_after,
        Decision::Send => panic!("the call was sent"),
    };
    assert!(after(0.0) >= Duration::from_millis(200));
    assert!(after(1.0) >= after(0.0) + Duration::from_secs(1));
}
