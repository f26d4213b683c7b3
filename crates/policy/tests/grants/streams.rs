//! Reading beside streams that write.

use std::time::Instant;

use policy::grants::{GrantController, GrantDecision, GrantRequest};
use rstest::rstest;

use crate::common::{TARGET, burst, granted, id, let_in, ms, prompt, refused, stream};

/// A stream goes in however much waits to be read; it is refused only while
/// another engine may have a slot, and never when there is none.
#[test]
fn stream_never_waits() {
    let mut grants = GrantController::default();
    let now = Instant::now();
    grants.request(now, prompt(1, 10_000));
    grants.request(now, prompt(2, 3_000));
    assert!(granted(grants.request(now, stream(3, 150))));

    let last = |number, must| GrantRequest {
        slots: 2,
        forced: must,
        ..stream(number, 150)
    };
    assert!(refused(grants.request(now, last(4, false))));
    assert!(granted(grants.request(now, last(5, true))));
}

/// A stream runs whose reader bears pauses of 150 ms. Prompts beside it are
/// let in up to a part of that; a long one only where its shared parts are at
/// home, and by itself.
#[test]
fn reading_beside_stream_bounded() {
    let mut grants = GrantController::default();
    let now = Instant::now();
    assert!(granted(grants.request(now, stream(1, 150))));
    grants.record_first_event(now + ms(30), id(1));
    let now = now + ms(200);
    let away = GrantRequest {
        is_home: false,
        ..prompt(2, 30_000)
    };
    assert!(refused(grants.request(now, away)));
    assert!(granted(grants.request(now, prompt(3, 4_500))));
    grants.record_first_event(now + ms(70), id(3));
    let more = grants.request(now + ms(71), prompt(4, 4_500));
    assert!(matches!(more, GrantDecision::Queued(_)), "{more:?}");
    assert_eq!(let_in(&mut grants, now + ms(151)), vec![id(4)]);
}

/// Streams that end without a long pause make room for more reading beside
/// them; one that was stretched takes some of it away.
#[test]
fn reading_follows_pauses() {
    let beside = |pause: u64| {
        let mut grants = GrantController::default();
        let mut now = Instant::now();
        for number in 0..60 {
            grants.request(now, stream(number, 150));
            grants.record_first_event(now + ms(10), id(number));
            grants.call_ended(now + ms(20), id(number), ms(pause));
            now += ms(30);
        }
        grants.request(now, stream(100, 150));
        grants.record_first_event(now + ms(10), id(100));
        now += ms(300);
        grants.request(now, prompt(101, 4_500));
        grants.record_first_event(now + ms(50), id(101));
        granted(grants.request(now + ms(51), prompt(102, 4_500)))
    };
    assert!(beside(60));
    assert!(!beside(130));
    assert!(!beside(200));
}

/// What an engine reads beside streams is bounded in time. An engine that
/// turns out to read at a third of the usual pace must be let in fewer tokens,
/// or each event of its streams comes later than their readers bear.
#[rstest]
#[case::usual(100.0, 20, true)]
#[case::slow(33.0, 60, false)]
fn reading_beside_streams_by_pace(#[case] rate: f64, #[case] every: u64, #[case] fits: bool) {
    let start = Instant::now();
    let mut grants = GrantController::default();
    burst(start, &mut grants, rate, every, TARGET / 2);
    let now = start + ms(20_000);
    assert!(granted(grants.request(now, stream(20_001, 250))));
    let spilled = GrantRequest {
        is_home: false,
        ttft_limit: ms(2_000),
        ..prompt(20_002, 6_000)
    };
    assert_eq!(!refused(grants.request(now, spilled)), fits);
}
