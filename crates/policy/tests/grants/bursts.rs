//! Bursts above what the engine reads.

use std::time::Instant;

use policy::grants::GrantController;
use rstest::rstest;

use crate::common::{TARGET, burst, ms};

/// Prompts come for ten seconds half as fast again as the engine reads them,
/// at three engines of unlike pace, none of which is known before. What is let
/// in is in time; and the engine has something to read all the while.
#[rstest]
#[case::usual(100.0, 20)]
#[case::fast(150.0, 13)]
#[case::slow(40.0, 50)]
fn burst_in_time(#[case] rate: f64, #[case] every: u64) {
    let mut grants = GrantController::default();
    let outcome = burst(Instant::now(), &mut grants, rate, every, TARGET / 2);
    let served = outcome.in_time + outcome.late;
    assert!(outcome.in_time * 100 >= served * 95, "{outcome:?}");
    let most = rate * 10_000.0 / 3_000.0;
    assert!(f64::from(served) >= most * 0.9, "{outcome:?} of {most}");
    assert!(outcome.refused > 0);
}

/// The same burst without a bound on the wait: the queue outside grows for
/// ever, and nearly all come late.
#[test]
fn burst_without_bound() {
    let mut grants = GrantController::default();
    let outcome = burst(Instant::now(), &mut grants, 100.0, 20, ms(60_000));
    assert!(outcome.late > outcome.in_time, "{outcome:?}");
}

/// An engine reads at a twentieth of its pace for a while and is believed to be
/// slow, so slow that any prompt by itself would be late. When it is well
/// again, what is believed has to follow, though nothing waits any more; or an
/// idle engine goes on refusing.
#[test]
fn pace_follows_after_slow_spell() {
    let mut grants = GrantController::default();
    let start = Instant::now();
    burst(start, &mut grants, 5.0, 20, TARGET / 2);
    burst(start + ms(20_000), &mut grants, 100.0, 40, TARGET / 2);
    let last = burst(start + ms(40_000), &mut grants, 100.0, 40, TARGET / 2);
    assert_eq!(last.refused, 0, "{last:?}");
}
