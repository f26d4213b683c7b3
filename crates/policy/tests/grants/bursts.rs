//! Bursts above the prefill rate of the engine.

use std::time::Instant;

use policy::grants::GrantController;
use rstest::rstest;

use crate::common::{TARGET, burst, ms};

/// Prompts arrive for 10 s at 1.5 times the prefill rate, at engines of three
/// speeds that are unknown at first. Admitted calls must meet their targets
/// while the engine stays busy.
#[rstest]
#[case::usual(100.0, 20)]
#[case::fast(150.0, 13)]
#[case::slow(40.0, 50)]
fn admitted_calls_meet_target(#[case] rate: f64, #[case] interval_ms: u64) {
    let mut grants = GrantController::default();
    let outcome = burst(Instant::now(), &mut grants, rate, interval_ms, TARGET / 2);
    let served = outcome.in_time + outcome.late;
    assert!(outcome.in_time * 100 >= served * 95, "{outcome:?}");
    let capacity = rate * 10_000.0 / 3_000.0;
    assert!(
        f64::from(served) >= capacity * 0.9,
        "{outcome:?} of {capacity}"
    );
    assert!(outcome.refused > 0);
}

/// The same burst without a limit on the wait: the queue grows without bound,
/// and most answers are late.
#[test]
fn unbounded_wait_is_late() {
    let mut grants = GrantController::default();
    let outcome = burst(Instant::now(), &mut grants, 100.0, 20, ms(60_000));
    assert!(outcome.late > outcome.in_time, "{outcome:?}");
}

/// An engine prefills at a twentieth of its pace for a while and is estimated
/// to be so slow that any single prompt would be late. When it has recovered,
/// the estimate must follow although no call is queued, or the idle engine
/// would go on refusing.
#[test]
fn pace_recovers_after_slowdown() {
    let mut grants = GrantController::default();
    let start = Instant::now();
    burst(start, &mut grants, 5.0, 20, TARGET / 2);
    burst(start + ms(20_000), &mut grants, 100.0, 40, TARGET / 2);
    let last = burst(start + ms(40_000), &mut grants, 100.0, 40, TARGET / 2);
    assert_eq!(last.refused, 0, "{last:?}");
}
