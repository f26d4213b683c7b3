//! Ejection and probing of servers.

use std::time::{Duration, Instant};

use policy::outlier::{Fault, ServerHealth, Success, max_ejected};
use rstest::rstest;

const FAULT_GAP: Duration = Duration::from_millis(200);

/// Records spaced faults; returns whether the last one ejected the server.
fn record_faults(
    health: &mut ServerHealth,
    now: &mut Instant,
    fault: Fault,
    count: u32,
    may_eject: bool,
) -> bool {
    let mut ejected = false;
    for _ in 0..count {
        *now += FAULT_GAP;
        ejected = health.record_fault(*now, fault, may_eject);
    }
    ejected
}

#[rstest]
#[case::unreachable(Fault::Unreachable, 2)]
#[case::run_failed(Fault::RunFailed, 3)]
#[case::slow(Fault::Slow, 20)]
fn consecutive_faults(#[case] fault: Fault, #[case] limit: u32) {
    let (mut health, mut now) = (ServerHealth::default(), Instant::now());
    assert!(!record_faults(
        &mut health,
        &mut now,
        fault,
        limit - 1,
        true
    ));
    assert!(health.usable(now));
    assert!(record_faults(&mut health, &mut now, fault, 1, true));
    assert!(!health.usable(now));
}

// A broken connection fails its hundred calls at once. Its server may be healthy
// and is not ejected.
#[test]
fn simultaneous_faults() {
    let (mut health, now) = (ServerHealth::default(), Instant::now());
    assert!(!(0..100).any(|_| health.record_fault(now, Fault::Unreachable, true)));
    assert!(health.usable(now));
}

#[test]
fn fault_without_spare_server() {
    let (mut health, mut now) = (ServerHealth::default(), Instant::now());
    assert!(!record_faults(
        &mut health,
        &mut now,
        Fault::Unreachable,
        50,
        false
    ));
    assert!(health.usable(now));
}

#[test]
fn success_between_faults() {
    let (mut health, mut now) = (ServerHealth::default(), Instant::now());
    for _ in 0..10 {
        assert!(!record_faults(
            &mut health,
            &mut now,
            Fault::RunFailed,
            2,
            true
        ));
        health.record_success(now, Success::RunCompleted);
    }
}

// The sidecar of a crashed engine answers every call. This must not end an
// ejection that failed runs caused, or every second request would fail.
#[test]
fn success_of_other_kind() {
    let (mut health, mut now) = (ServerHealth::default(), Instant::now());
    assert!(record_faults(
        &mut health,
        &mut now,
        Fault::RunFailed,
        3,
        true
    ));
    now += Duration::from_secs(2);
    health.request_sent(now);
    health.record_success(now, Success::Reachable);
    assert!(!health.usable(now));
    health.record_success(now, Success::RunCompleted);
    assert!(health.usable(now));
}

// Each failed probe doubles the time until the next one, up to a minute. Only one
// probe is in flight at a time.
#[test]
fn probe_interval_grows() {
    let (mut health, mut now) = (ServerHealth::default(), Instant::now());
    assert!(record_faults(
        &mut health,
        &mut now,
        Fault::Unreachable,
        2,
        true
    ));
    for wait in [1, 2, 4, 8, 16, 32, 60, 60] {
        assert!(!health.usable(now + Duration::from_millis(wait * 1000 - 1)));
        now += Duration::from_secs(wait);
        assert!(health.usable(now));
        health.request_sent(now);
        assert!(!health.usable(now));
        health.record_fault(now, Fault::Unreachable, true);
    }
}

#[rstest]
#[case(0, 0.3, 0)]
#[case(2, 0.3, 0)]
#[case(3, 0.3, 1)]
#[case(18, 0.3, 5)]
#[case(18, 0.0, 0)]
fn max_ejected_cases(#[case] servers: usize, #[case] share: f64, #[case] expected: usize) {
    assert_eq!(max_ejected(servers, share), expected);
}
