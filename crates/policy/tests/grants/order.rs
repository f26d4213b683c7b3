//! Order of queued calls, and lost messages.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use policy::grants::{GrantController, GrantDecision, GrantRequest};

use crate::common::{Engine, Outcome, admit_waiting, granted, id, ms, prompt};

/// Only part of the work is admitted at once, so that a later call with an
/// earlier due time can still go first.
#[test]
fn earlier_due_time_goes_first() {
    let mut grants = GrantController::default();
    let now = Instant::now();
    assert!(granted(grants.request(now, prompt(1, 10_000))));
    let later = grants.request(now, prompt(2, 3_000));
    assert!(matches!(later, GrantDecision::Queued(_)), "{later:?}");
    let sooner = GrantRequest {
        ttft_limit: ms(250),
        ..prompt(3, 1_000)
    };
    assert!(matches!(
        grants.request(now, sooner),
        GrantDecision::Queued(_)
    ));
    assert!(grants.grant_waiting(now).is_empty());
    grants.record_first_event(now + ms(90), id(1));
    assert_eq!(admit_waiting(&mut grants, now + ms(90)), vec![id(3), id(2)]);
}

/// A reply is lost and the entry repeats its request: the call counts once and
/// gets the same answer.
#[test]
fn repeated_request_is_idempotent() {
    let mut grants = GrantController::default();
    let now = Instant::now();
    assert!(granted(grants.request(now, prompt(1, 10_000))));
    assert!(granted(grants.request(now, prompt(1, 10_000))));
    for _ in 0..3 {
        let decision = grants.request(now, prompt(2, 3_000));
        assert!(matches!(decision, GrantDecision::Queued(_)), "{decision:?}");
    }
    assert_eq!(grants.counts(), (1, 1, 0));
}

/// The message about a first event is lost, or the entry has stopped. After a
/// timeout the call's share of the window is free again.
#[test]
fn lost_first_event_times_out() {
    let mut grants = GrantController::default();
    let now = Instant::now();
    assert!(granted(grants.request(now, prompt(1, 10_000))));
    assert!(!granted(grants.request(now, prompt(2, 3_000))));
    assert_eq!(admit_waiting(&mut grants, now + ms(1_600)), vec![id(2)]);
}

/// The message about the end of a call is lost. Its slot is free after the
/// caller's deadline.
#[test]
fn lost_end_times_out() {
    let mut grants = GrantController::default();
    let now = Instant::now();
    let single_slot = |number| GrantRequest {
        slots: 1,
        ..prompt(number, 100)
    };
    assert!(granted(grants.request(now, single_slot(1))));
    grants.record_first_event(now + ms(30), id(1));
    assert!(!granted(grants.request(now + ms(40), single_slot(2))));
    assert!(grants.grant_waiting(now + ms(3_000)).is_empty());
    assert!(granted(grants.request(now + ms(4_100), single_slot(3))));
}

/// A caller disconnects while its call is queued: the call is removed.
#[test]
fn cancelled_while_queued() {
    let mut grants = GrantController::default();
    let now = Instant::now();
    grants.request(now, prompt(1, 10_000));
    grants.request(now, prompt(2, 3_000));
    grants.call_ended(now, id(2), Duration::ZERO);
    grants.record_first_event(now + ms(90), id(1));
    assert!(grants.grant_waiting(now + ms(90)).is_empty());
}

/// A burst of long prompts arrives at a third above the prefill rate. Every
/// second one shares its first 13,300 tokens with a cached prompt and has to
/// read a twelfth of what the others read. In order of arrival, these calls
/// were refused as often as the others (17 to 15).
#[test]
fn cached_prompts_overtake_uncached() {
    let start = Instant::now();
    let mut grants = GrantController::default();
    let mut engine = Engine {
        rate: 60.0,
        prompts: VecDeque::new(),
    };
    let mut outcome = Outcome::default();
    let mut requested = std::collections::HashMap::new();
    let mut refused = [0, 0];
    for t in 0..10_000_u32 {
        let now = start + ms(u64::from(t));
        if t % 100 == 0 {
            let cached = t % 200 == 0 && t > 1_000;
            let shared = if cached { 7 } else { u64::from(t) + 50_000 };
            let request = GrantRequest {
                parts: vec![(shared, 13_300), (u64::from(t) + 1000, 1_200)],
                ttft_limit: ms(1_000),
                ..prompt(t, 0)
            };
            let tokens = f64::from(grants.missing_tokens(&request.parts));
            requested.insert(request.id, (now, tokens));
            match grants.request(now, request) {
                GrantDecision::Granted => engine.prompts.push_back((id(t), tokens, now)),
                GrantDecision::Queued(_) => {}
                GrantDecision::Refused(_) => refused[usize::from(cached)] += 1,
            }
        }
        engine.step(now, &mut grants, &mut outcome);
        for id in admit_waiting(&mut grants, now) {
            let (requested, tokens) = requested[&id];
            engine.prompts.push_back((id, tokens, requested));
        }
    }
    let [uncached, cached_refused] = refused;
    let seen = format!("{cached_refused} cached and {uncached} uncached prompts refused");
    assert!(cached_refused * 2 <= uncached && uncached <= 25, "{seen}");
}
