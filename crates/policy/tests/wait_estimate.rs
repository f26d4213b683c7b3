//! Which calls are refused because they would come too late, replayed under a
//! burst that is above what an engine reads.

use std::collections::BinaryHeap;
use std::rc::Rc;
use std::time::Duration;

use policy::wait_estimate::{CallDeadline, Decision, WaitEstimator};
use rstest::rstest;

const TARGET: Duration = Duration::from_millis(800);
const TIMEOUT: Duration = Duration::from_secs(4);

/// Time that the engine takes to read one prompt.
const EACH: Duration = Duration::from_millis(40);

fn claim(tier: u8, returned: bool) -> CallDeadline {
    CallDeadline {
        tier,
        rank: tier,
        target: TARGET,
        left: TIMEOUT,
        is_retry: returned,
    }
}

/// What a burst came to.
#[derive(Debug, Default)]
struct Outcome {
    in_time: u32,
    late: u32,
    refused: u32,
    /// Prompts that the engine read though their callers had given up.
    in_vain: u32,
}

/// Lets prompts come to one engine for ten seconds, half as many again as it
/// can read, and plays what becomes of them. The engine reads them in order.
fn burst(admit: bool) -> Outcome {
    let service = Rc::from("llm");
    let (mut waits, mut outcome) = (WaitEstimator::default(), Outcome::default());
    let mut free = Duration::ZERO;
    // When each prompt that waits will have its first event.
    let mut waiting: BinaryHeap<std::cmp::Reverse<Duration>> = BinaryHeap::new();
    let gap = EACH.mul_f64(1.0 / 1.5);
    for i in 0..375u32 {
        let now = gap * i;
        while waiting.peek().is_some_and(|at| at.0 <= now) {
            waiting.pop();
        }
        let ahead = u32::try_from(waiting.len()).expect("a few");
        let verdict = waits.decide(&service, claim(2, false), ahead, 0.5);
        if admit && verdict != Decision::Send {
            outcome.refused += 1;
            continue;
        }
        free = free.max(now) + EACH;
        waiting.push(std::cmp::Reverse(free));
        let took = (free - now).min(TIMEOUT);
        // An entry learns it when the event comes; in order, that is the same
        // as learning it now for all that come later.
        waits.record(&service, 2, ahead, took);
        match took {
            t if t <= TARGET => outcome.in_time += 1,
            t if t < TIMEOUT => outcome.late += 1,
            _ => outcome.in_vain += 1,
        }
    }
    outcome
}

/// Prompts come half again as fast as the engine reads them. Sent on all the
/// same, nearly all come late; refused at once by what they would wait, the
/// rest is nearly always in time and the engine reads as much.
#[test]
fn burst_leaves_the_rest_in_time() {
    let (without, with) = (burst(false), burst(true));
    assert!(without.in_time < 80, "{without:?}");
    assert!(with.in_time > 150, "{with:?}");
    assert!(with.in_vain == 0 && without.in_vain <= 375, "{with:?}");
    assert!(with.refused < 160, "{with:?}");
}

fn busy() -> (WaitEstimator, Rc<str>) {
    let (mut waits, service) = (WaitEstimator::default(), Rc::from("llm"));
    for rank in 0..3 {
        for ahead in 0..40 {
            waits.record(&service, rank, ahead, EACH * (ahead + 1));
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
#[case::top_tier_in_vain(0, false, 70, false)]
#[case::returned_waits_longer(2, true, 30, true)]
fn judged(#[case] tier: u8, #[case] returned: bool, #[case] ahead: u32, #[case] sent: bool) {
    let (waits, service) = busy();
    let verdict = waits.decide(&service, claim(tier, returned), ahead, 0.0);
    assert_eq!(verdict == Decision::Send, sent, "{verdict:?}");
}

/// Nothing was seen yet: a fresh entry must not refuse what it knows nothing
/// about.
#[test]
fn unknown_is_sent() {
    let waits = WaitEstimator::default();
    let verdict = waits.decide(&Rc::from("llm"), claim(2, false), 500, 0.0);
    assert_eq!(verdict, Decision::Send);
}

/// The engine reads urgent calls first. By a mean over all ranks the least
/// urgent look as if they were served soon, and are sent on to wait in vain.
#[test]
fn ranks_are_told_apart() {
    let (mut waits, service) = (WaitEstimator::default(), Rc::from("llm"));
    for ahead in 0..40 {
        waits.record(&service, 0, ahead, Duration::from_millis(100));
        waits.record(&service, 2, ahead, Duration::from_millis(3500));
    }
    let urgent = waits.decide(&service, claim(0, false), 20, 0.0);
    let least = waits.decide(&service, claim(2, false), 20, 0.0);
    assert_eq!(urgent, Decision::Send);
    assert!(matches!(least, Decision::Refuse { .. }));
}

/// Callers who are refused together must not come back together.
#[test]
fn returns_are_spread() {
    let (waits, service) = busy();
    let after = |drawn| match waits.decide(&service, claim(2, false), 35, drawn) {
        Decision::Refuse {
            retry_after: after, ..
        } => after,
        Decision::Send => panic!("sent"),
    };
    assert!(after(0.0) >= Duration::from_millis(200));
    assert!(after(1.0) >= after(0.0) + Duration::from_secs(1));
}
