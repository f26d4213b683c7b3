//! The terms on which calls ask for a place, over the time of a burst.

use std::time::Duration;

use base::ids::Tier;
use policy::urgency::{self, CallTiming};
use rstest::rstest;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// A call for a dossier: 800 ms to the first event, given up after 4 s.
fn caller(tier: u8, patience: u64) -> CallTiming {
    CallTiming {
        tier,
        target: ms(800),
        timeout: ms(4_000),
        caller_timeout: Some(ms(patience)),
        first_attempt: true,
    }
}

#[rstest]
#[case::whole(4_000, false)]
#[case::impatient(3_450, false)]
#[case::little_less(2_650, false)]
#[case::target_spent(2_550, true)]
fn returned_told(#[case] patience: u64, #[case] returned: bool) {
    // Callers bring up to 15 in 100 less than the timeout of their own accord.
    // Only one that lacks its target besides was here before; a fresh one taken
    // for it would be turned away while there is room.
    assert_eq!(caller(2, patience).is_retry(), returned);
}

#[test]
fn returned_unknown() {
    // A caller that does not say how long it waits counts as fresh.
    let caller = CallTiming {
        caller_timeout: None,
        ..caller(2, 0)
    };
    assert!(!caller.is_retry());
}

#[rstest]
#[case::at_once(0, 4_000, 400)]
#[case::half_spent(400, 3_600, 200)]
#[case::target_passed(800, 3_200, 240)]
#[case::nearly_given_up(800, 100, 100)]
fn allowed_shrinks(#[case] age: u64, #[case] left: u64, #[case] allowed: u64) {
    // While a call waits, an engine must be the sooner free for it to be in
    // time. Once that is past, it goes where there is room without it.
    let got = caller(2, 4_000).latency_limit(ms(age), ms(left));
    assert_eq!(got, ms(allowed));
}

#[test]
fn burst_order() {
    // In a burst an engine is free in 300 ms. A fresh call is let wait for it;
    // one that was turned away before is not, or it would take the place of a
    // call that can yet be in time.
    let wait = ms(300);
    let (fresh, returned) = (caller(2, 4_000), caller(2, 2_000));
    assert!(wait <= fresh.latency_limit(Duration::ZERO, ms(4_000)));
    assert!(wait > returned.latency_limit(Duration::ZERO, ms(2_000)));
}

#[rstest]
#[case::lowest_tier(2, true, 500, false)]
#[case::higher_tier(1, true, 500, true)]
#[case::higher_tier_hopeless(1, true, 3_000, false)]
#[case::begun_before(2, false, 3_000, true)]
fn must_take(#[case] tier: u8, #[case] fresh: bool, #[case] expected: u64, #[case] must: bool) {
    // All engines have turned the call away. Higher tiers are late rather than
    // refused, as long as they can be served at all; whoever has a part of its
    // answer is never turned away.
    let caller = CallTiming {
        first_attempt: fresh,
        ..caller(tier, 4_000)
    };
    assert_eq!(caller.must_accept(ms(expected), ms(4_000)), must);
}

/// Guards against a call of a workspace with a tier standing behind one of a
/// lower tier whose workspace has none.
#[test]
fn tiers_go_before_routes() {
    for (high, low) in [(0, 1), (1, 2), (0, 2)] {
        for within in 0..3 {
            let named = urgency::rank(Some(Tier(high)), Tier(within));
            let route = urgency::rank(None, Tier(low));
            assert!(named < route, "{high} within {within} against {low}");
        }
        let open = urgency::rank(None, Tier(high));
        assert!(open < urgency::rank(Some(Tier(low)), Tier(0)));
    }
}
