//! How often entries tell each other what they have.

use std::time::Duration;

use policy::peer_load::Intervals;
use rstest::rstest;

/// Bytes of a datagram with its headers.
const DATAGRAM: usize = 350;

/// Bytes a second that an entry may spend.
const BUDGET: f64 = 8192.0;

/// Entries before whom the budget holds are told as often as it allows; with
/// more of them the other zones wait, up to a bound, and the own one does not.
#[rstest]
#[case::few(1, 2, 128, 128)]
#[case::two_dozen(8, 15, 982, 982)]
#[case::hundreds(13, 54, 1_000, 4_000)]
#[case::forty(9, 30, 1_000, 2_082)]
#[case::large_zone(59, 1_440, 2_520, 4_000)]
#[case::alone(0, 0, 100, 100)]
fn intervals_follow_the_number(
    #[case] near: usize,
    #[case] far: usize,
    #[case] near_ms: u128,
    #[case] far_ms: u128,
) {
    let every = Intervals::new(near * DATAGRAM, far * DATAGRAM);
    assert_eq!(every.same_zone.as_millis(), near_ms);
    assert_eq!(every.other_zones.as_millis(), far_ms);
}

/// Forty entries in four zones: all that one of them sends stays within its
/// budget, which one datagram a second to each does not.
#[test]
fn budget_holds() {
    let (near, far) = (9 * DATAGRAM, 30 * DATAGRAM);
    let every = Intervals::new(near, far);
    let rate = |bytes: usize, every: Duration| bytes as f64 / every.as_secs_f64();
    let sent = rate(near, every.same_zone) + rate(far, every.other_zones);
    assert!(sent <= BUDGET, "{sent}");
    assert!((near + far) as f64 > BUDGET);
}
