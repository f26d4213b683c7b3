//! Choice of servers, and how long an offer is held for a better one.

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

fn request(prefix_hash: u64, excluded: &[ServerIndex]) -> PlacementRequest<'_> {
    PlacementRequest {
        target: "model",
        prefix_hash,
        excluded,
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

// Every entry sends a prefix to the same server, in whatever order it learned
// the servers, and the removal of a server moves only its own prefixes.
#[test]
fn choose_affinity_server() {
    let now = Instant::now();
    let mut all = placement(PlacementMode::LateBinding, 18);
    let mut without_one = placement(PlacementMode::LateBinding, 18);
    without_one.remove_server(5);

    let mut servers = BTreeSet::new();
    for prefix_hash in 1..200 {
        let server = all.choose(now, &request(prefix_hash, &[]))[0];
        let after = without_one.choose(now, &request(prefix_hash, &[]))[0];
        assert!(server == after || server == 5);
        servers.insert(server);
    }
    assert_eq!(servers.len(), 18);
}

#[test]
fn choose_local_zone_first() {
    let now = Instant::now();
    let mut placement = placement(PlacementMode::LateBinding, 18);
    for _ in 0..100 {
        let chosen = placement.choose(now, &request(0, &[]));
        assert!(chosen.len() == 2 && chosen.iter().all(|i| i % 3 == 0));
    }
}

// All servers of the entry's own availability zone are full: requests go to
// other zones instead of waiting.
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
    let chosen = placement.choose(now, &request(0, &[]));
    assert!(chosen.iter().all(|i| i % 3 != 0));
}

#[rstest]
#[case(PlacementMode::LateBinding)]
#[case(PlacementMode::Random)]
#[case(PlacementMode::LeastLoaded)]
#[case(PlacementMode::TwoChoices)]
fn choose_skips_excluded(#[case] mode: PlacementMode) {
    let now = Instant::now();
    let mut placement = placement(mode, 6);
    let mut excluded = Vec::new();
    while let Some(next) = placement
        .choose(now, &request(9, &excluded))
        .first()
        .copied()
    {
        assert!(!excluded.contains(&next));
        excluded.push(next);
    }
    assert_eq!(excluded.len(), 6);
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
    assert!(placement.choose(now, &request(0, &[])).is_empty());
    // A new process at the same address is found.
    now += Duration::from_secs(5);
    assert_eq!(placement.choose(now, &request(0, &[])), [0]);
}

// The server with the lowest reported load gets all requests until new reports
// arrive; the other modes spread them.
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
    let chosen = (0..200).flat_map(|_| placement.choose(later, &request(0, &[])));
    let chosen: BTreeSet<_> = chosen.collect();
    assert!((least..=most).contains(&chosen.len()), "{chosen:?}");
}

// One server is ejected, and the others are closed, as while they restart. The last
// one must be asked even so, unless its runs fail; otherwise every caller is refused
// for the whole ejection although it may only have been slow for a moment.
#[rstest]
#[case::unreachable(Fault::Unreachable, &[0])]
#[case::slow(Fault::Slow, &[0])]
#[case::runs_fail(Fault::RunFailed, &[])]
fn choose_ejected_last(#[case] fault: Fault, #[case] expected: &[ServerIndex]) {
    let mut now = Instant::now();
    let mut placement = placement(PlacementMode::LateBinding, 3);
    while !placement.is_ejected(0) {
        now += Duration::from_millis(100);
        placement.record_fault(now, 0, fault, 0.3);
    }
    assert!(!placement.choose(now, &request(0, &[])).contains(&0));

    for index in [1, 2] {
        placement.set_closed(index, true);
    }
    for _ in 0..2 {
        assert_eq!(placement.choose(now, &request(0, &[])), expected);
        // A call that fails here makes the ejection no longer.
        placement.record_fault(now, 0, fault, 0.3);
    }
    assert!(placement.choose(now, &request(0, &[0])).is_empty());
    placement.set_closed(1, false);
    assert_eq!(placement.choose(now, &request(0, &[])), [1]);
    now += Duration::from_secs(1);
    assert!(placement.choose(now, &request(0, &[])).contains(&0));
}

// Even if all servers fail, only the given share of the pool is ejected; the
// others are still asked.
#[test]
fn ejections_are_limited() {
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
    assert_eq!(placement.choose(now, &request(0, &[])).len(), 2);
}

#[rstest]
#[case::four_times(12, false)]
#[case::ten_times(30, true)]
fn slow_server_is_ejected(#[case] token_ms: u64, #[case] expected: bool) {
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

// A slot on a server four times slower ends at 1,212 ms, a normal one at 303
// ms.
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
