//! Where requests are sent, and which offers are waited for.

use std::collections::BTreeSet;
use std::time::{Duration, Instant};

use policy::Placement;
use policy::load::{Load, TokenLatency};
use policy::offer::{Offer, RequestSize, grace_period};
use policy::outlier::Fault;
use policy::placement::{PlacementMode, PlacementOptions, PlacementRequest, ServerIndex};
use rstest::rstest;

const SLOTS: u32 = 8;

/// Servers `0..count`, a third in each availability zone; the entry is in `a`.
fn placement(mode: PlacementMode, count: usize) -> Placement {
    let mut placement = Placement::new(PlacementOptions {
        mode,
        report_lag: Duration::from_millis(500),
        zone: "a".to_owned(),
        seed: 7,
    });
    for i in 0..count {
        let zone = ["a", "b", "c"][i % 3];
        placement.add_server(i, &format!("server-{i}"), zone, "model");
    }
    placement
}

fn want(prefix: u64, tried: &[ServerIndex]) -> PlacementRequest<'_> {
    PlacementRequest {
        target: "model",
        prefix_hash: prefix,
        excluded: tried,
        fan_out: 2,
    }
}

fn load(running: u32, token_ms: u64) -> Load {
    Load {
        running,
        slots: SLOTS,
        latency: TokenLatency {
            first_token: Duration::from_millis(token_ms),
            per_token: Duration::from_millis(token_ms),
        },
        ..Load::default()
    }
}

// Every entry sends a prefix to the same home, whatever order it learned the
// servers in, and a server that leaves moves only its own prefixes.
#[test]
fn choose_home() {
    let now = Instant::now();
    let mut all = placement(PlacementMode::LateBinding, 18);
    let mut fewer = placement(PlacementMode::LateBinding, 18);
    fewer.remove_server(5);

    let mut homes = BTreeSet::new();
    for prefix in 1..200 {
        let home = all.choose(now, &want(prefix, &[]))[0];
        let after = fewer.choose(now, &want(prefix, &[]))[0];
        assert!(home == after || home == 5);
        homes.insert(home);
    }
    assert_eq!(homes.len(), 18);
}

#[test]
fn choose_near_first() {
    let now = Instant::now();
    let mut placement = placement(PlacementMode::LateBinding, 18);
    for _ in 0..100 {
        let chosen = placement.choose(now, &want(0, &[]));
        assert!(chosen.len() == 2 && chosen.iter().all(|i| i % 3 == 0));
    }
}

// All servers of the own availability zone are full: requests go elsewhere
// instead of waiting there.
#[test]
fn choose_spills_over() {
    let now = Instant::now();
    let mut placement = placement(PlacementMode::LateBinding, 18);
    for i in (0..18).step_by(3) {
        placement.record_load(now, i, load(SLOTS, 3), 0.3);
    }
    for i in (0..18).filter(|i| i % 3 != 0) {
        placement.record_load(now, i, load(1, 3), 0.3);
    }
    let chosen = placement.choose(now, &want(0, &[]));
    assert!(chosen.iter().all(|i| i % 3 != 0));
}

#[rstest]
#[case(PlacementMode::LateBinding)]
#[case(PlacementMode::Random)]
#[case(PlacementMode::LeastLoaded)]
#[case(PlacementMode::TwoChoices)]
fn choose_never_tried(#[case] mode: PlacementMode) {
    let now = Instant::now();
    let mut placement = placement(mode, 6);
    let mut tried = Vec::new();
    while let Some(next) = placement.choose(now, &want(9, &tried)).first().copied() {
        assert!(!tried.contains(&next));
        tried.push(next);
    }
    assert_eq!(tried.len(), 6);
}

#[test]
fn choose_not_draining() {
    let mut now = Instant::now();
    let mut placement = placement(PlacementMode::LateBinding, 1);
    let draining = Load {
        draining: true,
        ..load(0, 3)
    };
    placement.record_load(now, 0, draining, 0.3);
    assert!(placement.choose(now, &want(0, &[])).is_empty());
    // Its next life at the same address is found.
    now += Duration::from_secs(5);
    assert_eq!(placement.choose(now, &want(0, &[])), [0]);
}

// The least loaded by reports gets everything until the reports arrive; late
// binding and the better of two spread.
#[rstest]
#[case(PlacementMode::LeastLoaded, 1, 1)]
#[case(PlacementMode::TwoChoices, 2, 12)]
#[case(PlacementMode::Random, 12, 12)]
fn choose_by_reports(#[case] mode: PlacementMode, #[case] least: usize, #[case] most: usize) {
    let now = Instant::now();
    let mut placement = placement(mode, 12);
    for i in 0..12 {
        placement.record_load(now, i, load(if i == 4 { 0 } else { 4 }, 3), 0.3);
    }
    let later = now + Duration::from_millis(600);
    let chosen = (0..200).flat_map(|_| placement.choose(later, &want(0, &[])));
    let chosen: BTreeSet<_> = chosen.collect();
    assert!((least..=most).contains(&chosen.len()), "{chosen:?}");
}

// Whatever fails, no more than the share of the pool is ejected; the others
// are still asked.
#[test]
fn fault_everywhere() {
    let mut now = Instant::now();
    let mut placement = placement(PlacementMode::LateBinding, 18);
    for _ in 0..10 {
        now += Duration::from_millis(200);
        for i in 0..18 {
            placement.record_fault(now, i, Fault::Unreachable, 0.3);
        }
    }
    let ejected = (0..18).filter(|i| placement.is_ejected(*i)).count();
    assert_eq!(ejected, 5);
    assert_eq!(placement.choose(now, &want(0, &[])).len(), 2);
}

#[rstest]
#[case::four_times(12, false)]
#[case::ten_times(30, true)]
fn heard_slow(#[case] token_ms: u64, #[case] expected: bool) {
    let mut now = Instant::now();
    let mut placement = placement(PlacementMode::LateBinding, 18);
    for _ in 0..50 {
        now += Duration::from_millis(200);
        for i in 0..18 {
            placement.record_load(now, i, load(1, if i == 3 { token_ms } else { 3 }), 0.3);
        }
        if placement.is_ejected(3) {
            break;
        }
    }
    assert_eq!(placement.is_ejected(3), expected);
}

const SIZE: RequestSize = RequestSize {
    prompt_tokens: 100,
    answer_tokens: 100,
};

fn offer(wait_ms: u64, token_ms: u64) -> Offer {
    Offer {
        wait: Duration::from_millis(wait_ms),
        latency: load(0, token_ms).latency,
        cached_tokens: 0,
    }
}

// A slot four times slower ends at 1,212 ms, a usual one at 303 ms.
#[rstest]
#[case::equal(offer(0, 3), vec![offer(0, 3)], 0)]
#[case::slow_other_free(offer(0, 12), vec![offer(0, 3)], 5)]
#[case::slow_other_soon(offer(0, 12), vec![offer(40, 3)], 65)]
#[case::slow_other_late(offer(0, 12), vec![offer(900, 3)], 0)]
#[case::limit(offer(0, 12), vec![offer(400, 3)], 100)]
#[case::alone(offer(0, 12), vec![], 0)]
fn grace_cases(#[case] held: Offer, #[case] others: Vec<Offer>, #[case] expected_ms: u64) {
    let limit = Duration::from_millis(100);
    let grace = grace_period(
        held,
        others.into_iter(),
        SIZE,
        TokenLatency::default(),
        limit,
    );
    assert_eq!(grace, Duration::from_millis(expected_ms));
}

#[test]
fn finish_cached() {
    let cold = offer(0, 3);
    let warm = Offer {
        cached_tokens: 100,
        ..cold
    };
    let saved = cold.completion_time(SIZE, cold.latency) - warm.completion_time(SIZE, cold.latency);
    assert_eq!(saved, Duration::from_millis(3));
}
