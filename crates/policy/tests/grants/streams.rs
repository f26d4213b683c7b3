//! Prefill beside running streams.

use std::time::Instant;

use policy::grants::{GrantController, GrantDecision, GrantRequest};
use rstest::rstest;

use crate::common::{TARGET, admit_waiting, burst, granted, id, ms, prompt, refused, stream};

/// A stream is admitted however many tokens are unread. It is refused only
/// while another engine may have a slot, and never if there is none.
#[test]
fn stream_is_never_queued() {
    let mut grants = GrantController::default();
    let now = Instant::now();
    grants.request(now, prompt(1, 10_000));
    grants.request(now, prompt(2, 3_000));
    assert!(granted(grants.request(now, stream(3, 150))));

    let last = |number, forced| GrantRequest {
        slots: 2,
        forced,
        ..stream(number, 150)
    };
    assert!(refused(grants.request(now, last(4, false))));
    assert!(granted(grants.request(now, last(5, true))));
}

/// Beside a stream with a maximum gap of 150 ms, prompts are admitted up to a
/// part of that time; a long one only on its home engine, and alone.
#[test]
fn prefill_beside_stream_is_bounded() {
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
    assert_eq!(admit_waiting(&mut grants, now + ms(151)), vec![id(4)]);
}

/// Streams that end without long pauses allow more prefill beside them;
/// streams with a long pause allow less.
#[test]
fn prefill_follows_stream_pauses() {
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

/// Prefill beside streams is limited by time. An engine with a third of the
/// usual pace must admit fewer tokens, or each event of its streams would
/// exceed the maximum gap.
#[rstest]
#[case::usual(100.0, 20, true)]
#[case::slow(33.0, 60, false)]
fn prefill_limit_follows_pace(#[case] rate: f64, #[case] interval_ms: u64, #[case] fits: bool) {
    let start = Instant::now();
    let mut grants = GrantController::default();
    burst(start, &mut grants, rate, interval_ms, TARGET / 2);
    let now = start + ms(20_000);
    assert!(granted(grants.request(now, stream(20_001, 250))));
    let spilled = GrantRequest {
        is_home: false,
        ttft_limit: ms(2_000),
        ..prompt(20_002, 6_000)
    };
    assert_eq!(!refused(grants.request(now, spilled)), fits);
}
