//! Tests how often entries report their load to each other.

use std::time::{Duration, Instant};

use policy::peer_load::{CallCounts, Intervals, LoadReport, PeerLoads, Scope};
use policy::pools::ServiceDemand;
use rstest::rstest;

/// Bytes of a datagram with its headers.
const DATAGRAM_BYTES: usize = 350;

/// Bytes a second that an entry may send.
const SEND_BUDGET: f64 = 8192.0;

/// Entries get reports as often as the send budget allows. With more entries, the
/// interval for the other zones grows first, up to a bound, while the own zone keeps
/// its interval.
#[rstest]
#[case::few(1, 2, 128, 128)]
#[case::two_dozen(8, 15, 982, 982)]
#[case::hundreds(13, 54, 1_000, 4_000)]
#[case::forty(9, 30, 1_000, 2_082)]
#[case::large_zone(59, 1_440, 2_520, 4_000)]
#[case::alone(0, 0, 100, 100)]
fn intervals_grow_with_the_number_of_entries(
    #[case] same_zone: usize,
    #[case] other_zones: usize,
    #[case] same_zone_ms: u128,
    #[case] other_zones_ms: u128,
) {
    let intervals = Intervals::new(same_zone * DATAGRAM_BYTES, other_zones * DATAGRAM_BYTES);
    assert_eq!(intervals.same_zone.as_millis(), same_zone_ms);
    assert_eq!(intervals.other_zones.as_millis(), other_zones_ms);
}

/// Forty entries in four zones: the traffic of an entry stays within its budget, which
/// one datagram a second to each of the others would exceed.
#[test]
fn send_rate_stays_within_budget() {
    let (same_zone, other_zones) = (9 * DATAGRAM_BYTES, 30 * DATAGRAM_BYTES);
    let intervals = Intervals::new(same_zone, other_zones);
    let rate = |bytes: usize, interval: Duration| bytes as f64 / interval.as_secs_f64();
    let sent = rate(same_zone, intervals.same_zone) + rate(other_zones, intervals.other_zones);
    assert!(sent <= SEND_BUDGET, "{sent}");
    assert!((same_zone + other_zones) as f64 > SEND_BUDGET);
}

/// Guards against totals that overflow when one report has absurd numbers: the entry would
/// hear of no other entry any more.
#[test]
fn absurd_report_does_not_overflow_totals() {
    let now = Instant::now();
    let report = |incarnation, scope| LoadReport {
        incarnation,
        seq: u32::MAX,
        scope,
        entries: u32::MAX,
        interval: Duration::from_millis(u64::from(u32::MAX)),
        services: vec![(
            1,
            ServiceDemand {
                pace_entries: u32::MAX,
                ..ServiceDemand::default()
            },
        )],
        calls: vec![(
            1,
            CallCounts {
                open: u32::MAX,
                waiting: u32::MAX,
            },
        )],
        paces: vec![(1, Duration::MAX), (1, Duration::MAX)],
        ..LoadReport::default()
    };
    let mut loads = PeerLoads::default();
    for (incarnation, scope) in [(1, Scope::Own), (2, Scope::Own), (3, Scope::Zone)] {
        loads.observe(now, report(incarnation, scope));
    }
    loads.expire(now);
    let own = report(4, Scope::Own);
    let total = loads.sum(now, &own);
    assert_eq!(total.entries, u32::MAX);
    assert_eq!(total.calls[&1].open, u32::MAX);
    assert!(!total.mean_paces().is_empty());
    assert_eq!(loads.sum_zone(now, &own).entries, u32::MAX);
    assert_eq!(loads.sum_all(now, &own).entries, u32::MAX);
}
