//! Prompts that are fetched from other engines.

use std::time::{Duration, Instant};

use policy::grants::{GrantController, GrantDecision, GrantRequest};

use crate::common::{granted, id, let_in, ms, prompt, refused};

/// A prompt of 17,000 tokens, of which another engine holds 13,300.
fn dossier(number: u32, source: u32) -> GrantRequest {
    GrantRequest {
        parts: vec![(7, 13_300), (u64::from(number) + 1000, 3_700)],
        fetchable: source,
        copy_time: Some(Duration::from_nanos(2_500)),
        is_home: false,
        ..prompt(number, 0)
    }
}

/// Two calls wait for a burst to be read at home, and a second engine is free.
/// Read there, their shared parts would take longer than the wait; fetched,
/// they take a quarter of it, so that the call is let in and the next too.
#[test]
fn fetched_prompts_fit_in() {
    let now = Instant::now();
    let allowed = ms(110);
    let ask = |number, source| GrantRequest {
        ttft_limit: allowed,
        ..dossier(number, source)
    };
    let mut grants = GrantController::default();
    assert!(granted(grants.request(now, prompt(1, 2_000))));
    assert!(refused(grants.request(now, ask(2, 0))));
    assert!(granted(grants.request(now, ask(3, 13_300))));
    // Once it is here, the next call misses its own part only.
    assert_eq!(grants.held_tokens(&ask(4, 0).parts), 13_300);
}

/// A call was let in before its entry found who holds its prompt. Told of the
/// fetch, the books have room for the next one.
#[test]
fn fetch_told_later_makes_room() {
    let now = Instant::now();
    let mut grants = GrantController::default();
    assert!(granted(grants.request(now, dossier(1, 0))));
    let next = |number| prompt(number, 3_000);
    assert!(matches!(
        grants.request(now, next(2)),
        GrantDecision::Queued(_)
    ));
    grants.record_fetch(id(1), 13_300);
    assert_eq!(let_in(&mut grants, now), vec![id(2)]);
}

/// The operators declare a fast link, but each fetch takes twice as long as
/// reading would. After a few of them calls read again, and one in some tries,
/// so that a link that is well again is found.
#[test]
fn slow_fetches_stop() {
    let mut now = Instant::now();
    let mut grants = GrantController::default();
    let mut tried = 0;
    for number in 0..60 {
        let ask = GrantRequest {
            ttft_limit: ms(2_000),
            parts: vec![
                (u64::from(number) + 5000, 13_300),
                (u64::from(number) + 1000, 700),
            ],
            ..dossier(number, 13_300)
        };
        let fetch = grants.fetch_pays();
        tried += u32::from(fetch);
        assert!(granted(grants.request(now, ask)));
        let each = if fetch { 20 } else { 10 };
        now += Duration::from_micros(13_300 * each + 7_000);
        grants.record_first_event(now, id(number));
        grants.call_ended(now, id(number), Duration::ZERO);
        now += ms(50);
    }
    assert!((9..=16).contains(&tried), "{tried} of 60 fetched");
}
