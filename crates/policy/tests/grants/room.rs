//! Memory, slots and restarts of the engine.

use std::time::{Duration, Instant};

use policy::grants::{EngineReport, GrantController, GrantRequest};

use crate::common::{granted, id, ms, prompt, refused, stream};

/// The engine's memory is nearly full. It would preempt a running call for
/// another one, so only what fits is let in.
#[test]
fn full_memory_refuses() {
    let mut grants = GrantController::default();
    let now = Instant::now();
    grants.update_report(
        now,
        EngineReport {
            running_calls: 4,
            unread_calls: 0,
            used_tokens: 440_000,
            total_tokens: 500_000,
            started_at: None,
        },
    );
    assert!(refused(grants.request(now, prompt(1, 20_000))));
    assert!(granted(grants.request(now, stream(2, 150))));
    let large = GrantRequest {
        parts: vec![(1, 20_000)],
        ..stream(3, 150)
    };
    assert!(refused(grants.request(now, large)));
}

/// Calls of entries that could not ask are in the engine's report only; they
/// take slots all the same.
#[test]
fn reported_calls_take_slots() {
    let mut grants = GrantController::default();
    let now = Instant::now();
    let report = EngineReport {
        running_calls: 32,
        unread_calls: 0,
        used_tokens: 0,
        total_tokens: 500_000,
        started_at: None,
    };
    grants.update_report(now, report);
    assert!(refused(grants.request(now, stream(1, 150))));
    assert!(granted(grants.request(now + ms(600), stream(2, 150))));
}

/// A prompt that the engine's memory can never hold goes in at once, where the
/// engine refuses it; waiting, it would hold up what is due after it.
#[test]
fn too_large_holds_nobody_up() {
    let mut grants = GrantController::default();
    let now = Instant::now();
    let report = EngineReport {
        running_calls: 0,
        unread_calls: 0,
        used_tokens: 0,
        total_tokens: 50_000,
        started_at: None,
    };
    grants.update_report(now, report);
    let huge = GrantRequest {
        forced: true,
        ..prompt(1, 60_000)
    };
    assert!(granted(grants.request(now, huge)));
    grants.call_ended(now, id(1), Duration::ZERO);
    assert!(granted(grants.request(now, prompt(2, 3_000))));
}

/// An engine full of streams crashes and starts again under its name. Its
/// callers' entries notice at different moments; until then the books of the
/// earlier life would say that it has no slot, and that it holds prompts which
/// it would have to read.
#[test]
fn restart_empties_the_books() {
    let now = Instant::now();
    let mut grants = GrantController::default();
    let report = |born| EngineReport {
        running_calls: 0,
        unread_calls: 0,
        used_tokens: 0,
        total_tokens: 500_000,
        started_at: Some(born),
    };
    grants.update_report(now, report(1_000));
    for number in 0..32 {
        assert!(granted(grants.request(now, stream(number, 150))));
    }
    assert!(refused(grants.request(now, stream(32, 150))));
    assert_eq!(grants.missing_tokens(&stream(1, 150).parts), 0);
    grants.update_report(now, report(2_000));
    assert_eq!(grants.counts(), (0, 0, 0));
    assert_eq!(grants.missing_tokens(&stream(1, 150).parts), 500);
    // A late report of the earlier life changes nothing.
    assert!(granted(grants.request(now, stream(33, 150))));
    grants.update_report(now, report(1_000));
    assert_eq!(grants.counts(), (0, 1, 0));
}

/// Headers claim prompts of four thousand million tokens, several at once. The
/// engine never holds such a prompt and refuses it itself; the sum of those in
/// flight must not wrap around to next to nothing, or all that comes after
/// them would be let in at once.
#[test]
fn claimed_tokens_do_not_wrap() {
    let now = Instant::now();
    let mut grants = GrantController::default();
    for n in 1..4 {
        let claimed = GrantRequest {
            forced: true,
            parts: vec![(u64::from(n), u32::MAX - 7), (u64::from(n) + 10, 8)],
            ..stream(n, 500)
        };
        assert!(granted(grants.request(now, claimed)));
    }
    assert!(refused(grants.request(now, prompt(9, 3_000))));
}
