//! Retry budgets and decisions.

use std::time::Duration;

use base::reason::{Executed, RetryReason};
use policy::retry::{FailedAttempt, RetryBudget, RetryDecision};
use rstest::rstest;

// Without granted requests nothing refills the bucket, however many fail.
#[test]
fn take_without_refill() {
    let mut budget = RetryBudget::new(false);
    let taken = (0..10_000).filter(|_| budget.take("class")).count();
    assert_eq!(taken, 10);
}

#[test]
fn take_after_refill() {
    let mut budget = RetryBudget::new(false);
    while budget.take("class") {}
    for _ in 0..21 {
        budget.earn("class", 0.1);
    }
    assert_eq!((0..10).filter(|_| budget.take("class")).count(), 2);
    assert!(budget.take("other"));
}

#[test]
fn take_unlimited() {
    let mut budget = RetryBudget::new(true);
    assert!((0..10_000).all(|_| budget.take("class")));
}

#[rstest]
#[case::not_run(Executed::No, false, false, 100, RetryDecision::Again)]
#[case::unknown_repeatable(Executed::Unknown, false, true, 100, RetryDecision::Again)]
#[case::unknown_once(Executed::Unknown, false, false, 100, RetryDecision::NotRepeatable)]
#[case::partial_once(Executed::Partial, false, false, 100, RetryDecision::NotRepeatable)]
#[case::delivered(Executed::Partial, true, true, 100, RetryDecision::Delivered)]
#[case::late(Executed::No, false, true, 20, RetryDecision::TooLate)]
fn decide_cases(
    #[case] ran: Executed,
    #[case] delivered: bool,
    #[case] repeatable: bool,
    #[case] left_ms: u64,
    #[case] expected: RetryDecision,
) {
    let failure = FailedAttempt {
        cause: RetryReason::Unknown,
        ran,
        delivered,
    };
    let (left, need) = (Duration::from_millis(left_ms), Duration::from_millis(30));
    assert_eq!(failure.decide(repeatable, left, need), expected);
}
