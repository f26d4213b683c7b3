//! Prompts that are fetched from other engines.

use std::time::{Duration, Instant};

use policy::grants::{GrantController, GrantDecision, GrantRequest};

use crate::common::{admit_waiting, granted, id, ms, prompt, refused};

/// A prompt of 17,000 tokens, of which another engine holds 13,300.
fn shared_prompt(number: u32, fetchable: u32) -> GrantRequest {
    GrantRequest {
        parts: vec![(7, 13_300), (u64::from(number) + 1000, 3_700)],
        fetchable,
        copy_time: Some(Duration::from_nanos(2_500)),
        is_home: false,
        ..prompt(number, 0)
    }
}

/// A call's home engine is busy with a burst, and a second engine has little
/// to read. Prefilling the shared parts there would exceed the limit; fetching
/// them takes a quarter of that time, so the call is admitted.
#[test]
fn fetched_prompt_meets_limit() {
    let now = Instant::now();
    let ttft_limit = ms(110);
    let request = |number, fetchable| GrantRequest {
        ttft_limit,
        ..shared_prompt(number, fetchable)
    };
    let mut grants = GrantController::default();
    assert!(granted(grants.request(now, prompt(1, 2_000))));
    assert!(refused(grants.request(now, request(2, 0))));
    assert!(granted(grants.request(now, request(3, 13_300))));
    // After the fetch, the next call only misses its own part.
    assert_eq!(grants.held_tokens(&request(4, 0).parts), 13_300);
}

/// A call was admitted before its entry found an engine that holds its prompt.
/// Once the fetch is known, there is room for the next call.
#[test]
fn late_fetch_notice_frees_room() {
    let now = Instant::now();
    let mut grants = GrantController::default();
    assert!(granted(grants.request(now, shared_prompt(1, 0))));
    let next = |number| prompt(number, 3_000);
    assert!(matches!(
        grants.request(now, next(2)),
        GrantDecision::Queued(_)
    ));
    grants.record_fetch(id(1), 13_300);
    assert_eq!(admit_waiting(&mut grants, now), vec![id(2)]);
}

/// The operators declare a fast link, but each fetch takes twice as long as
/// prefill. After a few fetches, calls prefill again, and one in a while still
/// fetches to notice when the link has recovered.
#[test]
fn slow_fetches_stop() {
    let mut now = Instant::now();
    let mut grants = GrantController::default();
    let mut fetched = 0;
    for number in 0..60 {
        let request = GrantRequest {
            ttft_limit: ms(2_000),
            parts: vec![
                (u64::from(number) + 5000, 13_300),
                (u64::from(number) + 1000, 700),
            ],
            ..shared_prompt(number, 13_300)
        };
        let fetch = grants.fetch_pays();
        fetched += u32::from(fetch);
        assert!(granted(grants.request(now, request)));
        let token_us = if fetch { 20 } else { 10 };
        now += Duration::from_micros(13_300 * token_us + 7_000);
        grants.record_first_event(now, id(number));
        grants.call_ended(now, id(number), Duration::ZERO);
        now += ms(50);
    }
    assert!((9..=16).contains(&fetched), "{fetched} of 60 fetched");
}
