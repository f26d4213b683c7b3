//! Tests of leases, loading steps and backoff delays.

use std::time::{Duration, Instant};

use base::ids::Offset;
use policy::backoff;
use policy::lease::{Lease, LeaseClaim, current_claim};
use policy::loading::{LoadStep, LoadedModel, next_step};
use rstest::rstest;

const TTL: Duration = Duration::from_secs(10);

/// A claim for ten seconds, appended at `secs` seconds of the log's clock.
fn claim(offset: u64, secs: u64, holder: &str) -> LeaseClaim<'_> {
    LeaseClaim {
        offset: Offset(offset),
        time_ms: secs * 1000,
        holder,
        ttl_ms: 10_000,
    }
}

#[rstest]
#[case::none(&[], None)]
#[case::first(&[(0, 0, "a")], Some((0, "a")))]
#[case::claim_while_held(&[(0, 0, "a"), (1, 9, "b")], Some((0, "a")))]
#[case::renewed(&[(0, 0, "a"), (1, 9, "a"), (2, 12, "b")], Some((1, "a")))]
#[case::lapsed(&[(0, 0, "a"), (1, 10, "b")], Some((1, "b")))]
#[case::late_renewal(&[(0, 0, "a"), (1, 10, "b"), (2, 11, "a")], Some((1, "b")))]
#[case::race(&[(0, 0, "a"), (1, 10, "b"), (2, 10, "c")], Some((1, "b")))]
fn claim_holding_the_lease(
    #[case] claims: &[(u64, u64, &str)],
    #[case] expected: Option<(u64, &str)>,
) {
    let held = current_claim(claims.iter().map(|(o, t, h)| claim(*o, *t, h)));
    assert_eq!(held.map(|c| (c.offset.0, c.holder)), expected);
}

// A holder paused for longer than its lease must get no fencing token, so that
// it gives no order and cannot undo its successor's.
#[test]
fn fencing_token_after_pause() {
    let sent = Instant::now();
    let lease = Lease::new(Offset(7), sent, TTL);
    assert_eq!(lease.fencing_token(sent), Some(Offset(7)));
    assert!(!lease.needs_renewal(sent + TTL / 4));
    assert!(lease.needs_renewal(sent + TTL / 2));
    assert_eq!(lease.fencing_token(sent + TTL), None);
    // The lease expires before the log accepts another holder's claim.
    assert_eq!(lease.fencing_token(sent + TTL * 9 / 10), None);
}

fn loaded(version: &str, adapters: &[&str]) -> LoadedModel {
    LoadedModel {
        version: version.to_owned(),
        adapters: adapters.iter().map(|a| (*a).to_owned()).collect(),
    }
}

#[rstest]
#[case::nothing_wanted(loaded("", &[]), loaded("1", &["x"]), None)]
#[case::already_loaded(loaded("1", &["x"]), loaded("1", &["x"]), None)]
#[case::version_first(loaded("2", &["y"]), loaded("1", &[]), Some(LoadStep::LoadVersion("2".into())))]
#[case::adapter(loaded("1", &["x"]), loaded("1", &["y"]), Some(LoadStep::LoadAdapter("x".into())))]
#[case::unload_last(loaded("1", &["x"]), loaded("1", &["x", "y"]), Some(LoadStep::UnloadAdapter("y".into())))]
fn load_step_order(
    #[case] wanted: LoadedModel,
    #[case] current: LoadedModel,
    #[case] expected: Option<LoadStep>,
) {
    assert_eq!(next_step(&wanted, &current), expected);
}

#[rstest]
#[case::first(1, 0, 1.0, 100)]
#[case::doubled(3, 0, 1.0, 400)]
#[case::jittered(3, 0, 0.5, 200)]
#[case::retry_after_added(1, 2000, 0.0, 2000)]
#[case::bounded(40, 0, 1.0, 30_000)]
fn delay_before_permit(
    #[case] attempt: u32,
    #[case] retry_after: u64,
    #[case] random: f64,
    #[case] expected: u64,
) {
    let ms = Duration::from_millis;
    assert_eq!(
        backoff::delay(attempt, ms(100), ms(retry_after), random),
        ms(expected)
    );
}
