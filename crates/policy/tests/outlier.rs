//! Ejection of servers and their probes.

use std::time::{Duration, Instant};

use policy::outlier::{Fault, Good, Outlier, spare};
use rstest::rstest;

const STEP: Duration = Duration::from_millis(200);

/// Faults one after the other; tells whether the last ejected the server.
fn faults(outlier: &mut Outlier, now: &mut Instant, fault: Fault, count: u32, room: bool) -> bool {
    let mut ejected = false;
    for _ in 0..count {
        *now += STEP;
        ejected = outlier.fault(*now, fault, room);
    }
    ejected
}

#[rstest]
#[case::link(Fault::Link, 2)]
#[case::run(Fault::Run, 3)]
#[case::slow(Fault::Slow, 20)]
fn fault_in_a_row(#[case] fault: Fault, #[case] limit: u32) {
    let (mut outlier, mut now) = (Outlier::default(), Instant::now());
    assert!(!faults(&mut outlier, &mut now, fault, limit - 1, true));
    assert!(outlier.usable(now));
    assert!(faults(&mut outlier, &mut now, fault, 1, true));
    assert!(!outlier.usable(now));
}

// A dead connection fails its hundred calls at once. Its server may be well
// and is not ejected for it.
#[test]
fn fault_at_once() {
    let (mut outlier, now) = (Outlier::default(), Instant::now());
    assert!(!(0..100).any(|_| outlier.fault(now, Fault::Link, true)));
    assert!(outlier.usable(now));
}

#[test]
fn fault_without_room() {
    let (mut outlier, mut now) = (Outlier::default(), Instant::now());
    assert!(!faults(&mut outlier, &mut now, Fault::Link, 50, false));
    assert!(outlier.usable(now));
}

#[test]
fn good_between() {
    let (mut outlier, mut now) = (Outlier::default(), Instant::now());
    for _ in 0..10 {
        assert!(!faults(&mut outlier, &mut now, Fault::Run, 2, true));
        outlier.good(now, Good::Run);
    }
}

// The sidecar of a crashed engine answers every call well. That must not end
// an ejection that failed runs caused, or every second request would fail.
#[test]
fn good_of_other_kind() {
    let (mut outlier, mut now) = (Outlier::default(), Instant::now());
    assert!(faults(&mut outlier, &mut now, Fault::Run, 3, true));
    now += Duration::from_secs(2);
    outlier.chosen(now);
    outlier.good(now, Good::Link);
    assert!(!outlier.usable(now));
    outlier.good(now, Good::Run);
    assert!(outlier.usable(now));
}

// Each failed probe doubles the time until the next, up to a minute; one
// request is out at a time.
#[test]
fn probe_grows() {
    let (mut outlier, mut now) = (Outlier::default(), Instant::now());
    assert!(faults(&mut outlier, &mut now, Fault::Link, 2, true));
    for wait in [1, 2, 4, 8, 16, 32, 60, 60] {
        assert!(!outlier.usable(now + Duration::from_millis(wait * 1000 - 1)));
        now += Duration::from_secs(wait);
        assert!(outlier.usable(now));
        outlier.chosen(now);
        assert!(!outlier.usable(now));
        outlier.fault(now, Fault::Link, true);
    }
}

#[rstest]
#[case(0, 0.3, 0)]
#[case(2, 0.3, 0)]
#[case(3, 0.3, 1)]
#[case(18, 0.3, 5)]
#[case(18, 0.0, 0)]
fn spare_cases(#[case] servers: usize, #[case] share: f64, #[case] expected: usize) {
    assert_eq!(spare(servers, share), expected);
}
