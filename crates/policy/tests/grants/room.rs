//! Memory, slots and restarts of the engine.

use std::time::{Duration, Instant};

use policy::grants::{EngineReport, GrantController, GrantRequest};

use crate::common::{granted, id, ms, prompt, refused, stream};

/// The KV cache is nearly full, and more calls would preempt running ones.
/// Only calls that fit are admitted.
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

/// Calls of entries that could not reach the sidecar appear only in the
/// engine's report; they take slots too.
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

/// A prompt that can never fit into the KV cache is admitted at once, so that
/// the engine refuses it; in the queue it would block the calls behind it.
#[test]
fn oversized_prompt_does_not_block() {
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

/// An engine full of streams crashes and restarts under the same name. The
/// entries notice this at different times; with the previous incarnation's
/// state, the engine would have no free slot and prompts would wrongly count
/// as cached.
#[test]
fn restart_resets_state() {
    let now = Instant::now();
    let mut grants = GrantController::default();
    let report = |started_at| EngineReport {
        running_calls: 0,
        unread_calls: 0,
        used_tokens: 0,
        total_tokens: 500_000,
        started_at: Some(started_at),
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
    // A late report of the previous incarnation is ignored.
    assert!(granted(grants.request(now, stream(33, 150))));
    grants.update_report(now, report(1_000));
    assert_eq!(grants.counts(), (0, 1, 0));
}

/// Headers claim several prompts of 4 billion tokens each, which the engine
/// refuses itself. Their sum must not wrap around to almost zero, or all later
/// calls would be admitted at once.
#[test]
fn token_sum_saturates() {
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

/// Guards against sums that overflow when an engine reports absurd numbers. No more calls
/// are sent to it, and those that must be admitted still are.
#[test]
fn absurd_report_does_not_overflow() {
    let mut grants = GrantController::default();
    grants.enable_paces();
    let now = Instant::now();
    let report = EngineReport {
        running_calls: u32::MAX,
        unread_calls: u32::MAX,
        used_tokens: u64::MAX,
        total_tokens: u64::MAX,
        started_at: Some(u64::MAX),
    };
    assert!(granted(grants.request(now, stream(1, 150))));
    grants.update_report(now, report);
    assert!(refused(grants.request(now, prompt(2, 20_000))));
    assert!(refused(grants.request(now, stream(3, 150))));
    let forced = GrantRequest {
        forced: true,
        ..stream(4, 150)
    };
    assert!(granted(grants.request(now, forced)));
    let _ = (grants.free_tokens(now), grants.utilization(now));
    grants.grant_waiting(now + ms(600));
}
