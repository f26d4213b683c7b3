//! A sidecar that was paused, with a manual clock. The tests never await, so the
//! spawned runs are never polled.

use std::rc::Rc;
use std::time::Duration;

use base::clock::ManualClock;
use base::ids::{RequestId, Tier};
use bytes::Bytes;
use rstest::rstest;
use sidecar::state::State;
use wire::{BackendRequest, ReserveOutcome, ReserveRequest, StartOutcome, StartRequest};

/// How long a slot is held for a request, and the interval of the sweeps.
const HOLD: Duration = Duration::from_millis(250);
const SWEEP_INTERVAL: Duration = Duration::from_millis(10);

fn new_sidecar() -> (Rc<State>, ManualClock) {
    let clock = ManualClock::new();
    let settings = serde_json::json!({
        "name": "sidecar", "zone": "zone", "listen": "127.0.0.1:1", "hold": "250ms",
        "backend": { "engine": { "addr": "127.0.0.1:2", "slots": 1 } },
    });
    let settings = serde_json::from_value(settings).unwrap();
    (State::new(settings, Rc::new(clock.clone())), clock)
}

fn reserve(state: &State) {
    let reservation = ReserveRequest {
        ticket: RequestId(1),
        class: "class".to_owned(),
        workspace: "workspace".to_owned(),
        weight: 1,
        tier: Tier(0),
        ttft_budget_us: 2_000_000,
        total_budget_us: 20_000_000,
        prompt_tokens: 10,
        max_tokens: 100,
        prefix_hash: 0,
        repeatable: true,
        preemptions: 0,
        wait_ms: 0,
    };
    let (_, outcome) = state.reserve(&reservation);
    assert!(matches!(outcome, ReserveOutcome::Ready { .. }));
}

fn start(state: &Rc<State>) -> StartOutcome {
    state.start(StartRequest {
        ticket: RequestId(1),
        incarnation: state.incarnation,
        work: BackendRequest::Completion {
            body: Bytes::new(),
            chat: true,
        },
    })
}

// The sidecar is paused for longer than a hold while the start waits to be read. The
// sweep after the pause must not expire the hold before the start is read. A start
// that is not there by the next sweep is too late, also if that sweep is late too.
#[rstest]
#[case::start_read(0, SWEEP_INTERVAL, StartOutcome::Running)]
#[case::start_late(1, SWEEP_INTERVAL, StartOutcome::ReservationExpired)]
#[case::paused_twice(1, HOLD, StartOutcome::ReservationExpired)]
#[actix_rt::test]
async fn sweep_after_pause(
    #[case] sweeps: u32,
    #[case] interval: Duration,
    #[case] expected: StartOutcome,
) {
    let (state, clock) = new_sidecar();
    state.periodic_sweep();
    reserve(&state);
    clock.advance(HOLD * 2);
    state.periodic_sweep();
    for _ in 0..sweeps {
        clock.advance(interval);
        state.periodic_sweep();
    }
    assert_eq!(start(&state), expected);
}

// A sidecar that is not paused expires a hold at its end; otherwise the slot would
// stay unused.
#[actix_rt::test]
async fn sweep_without_pause() {
    let (state, clock) = new_sidecar();
    reserve(&state);
    for _ in 0..=HOLD.as_millis() / SWEEP_INTERVAL.as_millis() {
        state.periodic_sweep();
        clock.advance(SWEEP_INTERVAL);
    }
    assert_eq!(start(&state), StartOutcome::ReservationExpired);
}
