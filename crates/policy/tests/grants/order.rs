//! Calls that wait: their order, and messages that are lost.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use policy::grants::{GrantController, GrantDecision, GrantRequest};

use crate::common::{Engine, Outcome, granted, id, let_in, ms, prompt};

/// Only a part goes into the engine at once, so that what comes later and is
/// due sooner can still go first.
#[test]
fn due_sooner_goes_first() {
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
    assert_eq!(let_in(&mut grants, now + ms(90)), vec![id(3), id(2)]);
}

/// An answer is lost and the entry asks again: the call counts once, and is
/// answered as before.
#[test]
fn asked_again_answered_alike() {
    let mut grants = GrantController::default();
    let now = Instant::now();
    assert!(granted(grants.request(now, prompt(1, 10_000))));
    assert!(granted(grants.request(now, prompt(1, 10_000))));
    for _ in 0..3 {
        let verdict = grants.request(now, prompt(2, 3_000));
        assert!(matches!(verdict, GrantDecision::Queued(_)), "{verdict:?}");
    }
    assert_eq!(grants.counts(), (1, 1, 0));
}

/// The message that a call has its first event is lost, or its entry is gone.
/// The room that it took is free again after a while.
#[test]
fn lost_begun_frees_room() {
    let mut grants = GrantController::default();
    let now = Instant::now();
    assert!(granted(grants.request(now, prompt(1, 10_000))));
    assert!(!granted(grants.request(now, prompt(2, 3_000))));
    assert_eq!(let_in(&mut grants, now + ms(1_600)), vec![id(2)]);
}

/// The message that a call has ended is lost. Its slot is free when its caller
/// must have given up.
#[test]
fn lost_ended_frees_slot() {
    let mut grants = GrantController::default();
    let now = Instant::now();
    let one = |number| GrantRequest {
        slots: 1,
        ..prompt(number, 100)
    };
    assert!(granted(grants.request(now, one(1))));
    grants.record_first_event(now + ms(30), id(1));
    assert!(!granted(grants.request(now + ms(40), one(2))));
    assert!(grants.grant_waiting(now + ms(3_000)).is_empty());
    assert!(granted(grants.request(now + ms(4_100), one(3))));
}

/// A caller leaves while its call waits: the call takes no room.
#[test]
fn left_while_waiting() {
    let mut grants = GrantController::default();
    let now = Instant::now();
    grants.request(now, prompt(1, 10_000));
    grants.request(now, prompt(2, 3_000));
    grants.call_ended(now, id(2), Duration::ZERO);
    grants.record_first_event(now + ms(90), id(1));
    assert!(grants.grant_waiting(now + ms(90)).is_empty());
}

/// A burst of dossiers, a third more than the engine reads. Every second one
/// shares its first 13,300 tokens with one that was read, and has to read a
/// twelfth of what the others do. Behind those in the order of arrival, it was
/// refused as often as they are (17 to 15).
#[test]
fn short_reads_overtake_long_ones() {
    let start = Instant::now();
    let mut grants = GrantController::default();
    let mut engine = Engine {
        rate: 60.0,
        prompts: VecDeque::new(),
    };
    let mut outcome = Outcome::default();
    let mut asked = std::collections::HashMap::new();
    let mut refused = [0, 0];
    for t in 0..10_000_u32 {
        let now = start + ms(u64::from(t));
        if t % 100 == 0 {
            let held = t % 200 == 0 && t > 1_000;
            let shared = if held { 7 } else { u64::from(t) + 50_000 };
            let ask = GrantRequest {
                parts: vec![(shared, 13_300), (u64::from(t) + 1000, 1_200)],
                ttft_limit: ms(1_000),
                ..prompt(t, 0)
            };
            let tokens = f64::from(grants.missing_tokens(&ask.parts));
            asked.insert(ask.id, (now, tokens));
            match grants.request(now, ask) {
                GrantDecision::Granted => engine.prompts.push_back((id(t), tokens, now)),
                GrantDecision::Queued(_) => {}
                GrantDecision::Refused(_) => refused[usize::from(held)] += 1,
            }
        }
        engine.step(now, &mut grants, &mut outcome);
        for id in let_in(&mut grants, now) {
            let (asked, tokens) = asked[&id];
            engine.prompts.push_back((id, tokens, asked));
        }
    }
    let [long, short] = refused;
    let seen = format!("{short} short and {long} long ones refused");
    assert!(short * 2 <= long && long <= 25, "{seen}");
}
