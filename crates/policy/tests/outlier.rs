//! Ejection of servers and their probes.

use std::time::{Duration, Instant};

use policy::outlier::{Fault, ServerHealth, Success, max_ejected};
use rstest::rstest;

const STEP: Duration = Duration::from_millis(200);

/// Faults one after the other; tells whether the last ejected the server.
fn faults(
    outlier: &mut ServerHealth,
    now: &mut Instant,
    fault: Fault,
    count: u32,
    room: bool,
) -> bool {
    let mut ejected = false;
    for _ in 0..count {
        *now += STEP;
        ejected = outlier.record_fault(*now, fault, room);
    }
    ejected
}

#[rstest]
#[case::link(Fault::Unreachable, 2)]
#[case::run(Fault::RunFailed, 3)]
#[case::slow(Fault::Slow, 20)]
fn fault_in_a_row(#[case] fault: Fault, #[case] limit: u32) {
    let (mut outlier, mut now) = (ServerHealth::default(), Instant::now());
    assert!(!faults(&mut outlier, &mut now, fault, limit - 1, true));
    assert!(outlier.usable(now));
    assert!(faults(&mut outlier, &mut now, fault, 1, true));
    assert!(!outlier.usable(now));
}

// A dead connection fails its hundred calls at once. Its server may be well
// and is not ejected for it.
#[test]
fn fault_at_once() {
    let (mut outlier, now) = (ServerHealth::default(), Instant::now());
    assert!(!(0..100).any(|_| outlier.record_fault(now, Fault::Unreachable, true)));
    assert!(outlier.usable(now));
}

#[test]
fn fault_without_room() {
    let (mut outlier, mut now) = (ServerHealth::default(), Instant::now());
    assert!(!faults(
        &mut outlier,
        &mut now,
        Fault::Unreachable,
        50,
        false
    ));
    assert!(outlier.usable(now));
}

#[test]
fn good_between() {
    let (mut outlier, mut now) = (ServerHealth::default(), Instant::now());
    for _ in 0..10 {
        assert!(!faults(&mut outlier, &mut now, Fault::RunFailed, 2, true));
        outlier.record_success(now, Success::RunCompleted);
    }
}

// The sidecar of a crashed engine answers every call well. That must not end
// an ejection that failed runs caused, or every second request would fail.
#[test]
fn good_of_other_kind() {
    let (mut outlier, mut now) = (ServerHealth::default(), Instant::now());
    assert!(faults(&mut outlier, &mut now, Fault::RunFailed, 3, true));
    now += Duration::from_secs(2);
    outlier.request_sent(now);
    outlier.record_success(now, Success::Reachable);
    assert!(!outlier.usable(now));
    outlier.record_success(now, Success::RunCompleted);
    assert!(outlier.usable(now));
}

// Each failed probe doubles the time until the next, up to a minute; one
// request is out at a time.
#[test]
fn probe_grows() {
    let (mut outlier, mut now) = (ServerHealth::default(), Instant::now());
    assert!(faults(&mut outlier, &mut now, Fault::Unreachable, 2, true));
    for wait in [1, 2, 4, 8, 16, 32, 60, 60] {
        assert!(!outlier.usable(now + Duration::from_millis(wait * 1000 - 1)));
        now += Duration::from_secs(wait);
        assert!(outlier.usable(now));
        outlier.request_sent(now);
        assert!(!outlier.usable(now));
        outlier.record_fault(now, Fault::Unreachable, true);
    }
}

#[rstest]
#[case(0, 0.3, 0)]
#[case(2, 0.3, 0)]
#[case(3, 0.3, 1)]
#[case(18, 0.3, 5)]
#[case(18, 0.0, 0)]
fn spare_cases(#[case] servers: usize, #[case] share: f64, #[case] expected: usize) {
    assert_eq!(max_ejected(servers, share), expected);
}
