//! Tests of ranks and latency limits over the course of a burst.

use std::time::Duration;

use base::ids::Tier;
use policy::urgency::{self, CallTiming};
use rstest::rstest;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// A call with a target of 800 ms to the first event and a timeout of 4 s.
fn call(tier: u8, timeout: u64) -> CallTiming {
    CallTiming {
        tier,
        target: ms(800),
        timeout: ms(4_000),
        caller_timeout: Some(ms(timeout)),
        first_attempt: true,
    }
}

#[rstest]
#[case::whole(4_000, false)]
#[case::impatient(3_450, false)]
#[case::shorter_within_target(2_650, false)]
#[case::lacks_target(2_550, true)]
fn retry_by_timeout(#[case] timeout: u64, #[case] is_retry: bool) {
    // Fresh callers bring timeouts up to 15% below the route's. Only a timeout
    // that is shorter by the target as well marks a retry; a fresh call taken
    // for a retry would be refused while there is capacity.
    assert_eq!(call(2, timeout).is_retry(), is_retry);
}

#[test]
fn retry_without_timeout() {
    // A call without a stated timeout counts as fresh.
    let call = CallTiming {
        caller_timeout: None,
        ..call(2, 0)
    };
    assert!(!call.is_retry());
}

#[rstest]
#[case::at_once(0, 4_000, 400)]
#[case::half_spent(400, 3_600, 200)]
#[case::target_passed(800, 3_200, 240)]
#[case::nearly_abandoned(800, 100, 100)]
fn limit_shrinks_with_age(#[case] age: u64, #[case] left: u64, #[case] limit: u64) {
    // The longer a call has waited, the sooner an engine must be available for
    // it to be on time. After its target it only goes where there is spare
    // capacity.
    let got = call(2, 4_000).latency_limit(ms(age), ms(left));
    assert_eq!(got, ms(limit));
}

#[test]
fn burst_order() {
    // In a burst an engine is available in 300 ms. A fresh call may wait for
    // it; a retry may not, as it would displace a call that can still be on
    // time.
    let wait = ms(300);
    let (fresh, retry) = (call(2, 4_000), call(2, 2_000));
    assert!(wait <= fresh.latency_limit(Duration::ZERO, ms(4_000)));
    assert!(wait > retry.latency_limit(Duration::ZERO, ms(2_000)));
}

#[rstest]
#[case::lowest_tier(2, true, 500, false)]
#[case::higher_tier(1, true, 500, true)]
#[case::higher_tier_hopeless(1, true, 3_000, false)]
#[case::begun_before(2, false, 3_000, true)]
fn must_accept(
    #[case] tier: u8,
    #[case] first_attempt: bool,
    #[case] expected: u64,
    #[case] must: bool,
) {
    // All engines have refused the call. High tiers are served late rather
    // than refused while they can be served at all, and a call that has begun
    // is never refused.
    let call = CallTiming {
        first_attempt,
        ..call(tier, 4_000)
    };
    assert_eq!(call.must_accept(ms(expected), ms(4_000)), must);
}

/// A call of a workspace with a tier must not be ranked behind one of a lower
/// tier whose workspace has none.
#[test]
fn workspace_tier_outranks_route_tier() {
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

/// Guards against urgent calls waiting less long for resting servers than others, whose
/// targets are longer.
#[rstest]
#[case::highest(0, 200, 1_200)]
#[case::high(1, 400, 1_200)]
#[case::high_with_long_target(1, 4_000, 2_000)]
#[case::low(2, 1_500, 750)]
fn wait_for_resting_servers(#[case] tier: u8, #[case] target_ms: u64, #[case] limit_ms: u64) {
    let timing = CallTiming {
        tier,
        target: Duration::from_millis(target_ms),
        timeout: Duration::from_secs(6),
        caller_timeout: None,
        first_attempt: true,
    };
    let limit = timing.turn_limit(Duration::from_secs(2));
    assert_eq!(limit, Duration::from_millis(limit_ms));
}
