//! Tests the sidecar's state with a manual clock. The tests never await, so the
//! spawned runs are never polled; the tests act as the backend server instead.

use std::rc::Rc;
use std::time::Duration;

use base::clock::ManualClock;
use base::ids::{Incarnation, RequestId, Tier};
use base::logging::Level;
use base::reason::{Executed, Refusal};
use base::settings::HumanDuration;
use bytes::Bytes;
use policy::queue::QueueSettings;
use rstest::rstest;
use sidecar::Settings;
use sidecar::settings::{Backend, StreamSettings};
use sidecar::state::{Request, State, interrupted};
use wire::{
    BackendRequest, CancelOutcome, Chunk, PullOutcome, ReserveOutcome, ReserveRequest, ResponseEnd,
    StartOutcome, StartRequest,
};

const HOLD: Duration = Duration::from_millis(250);

const KEEP: Duration = Duration::from_secs(10);

/// Longer than any test case, so that no lease expires.
const LEASE: Duration = Duration::from_secs(3600);

/// Creates a sidecar with one slot and a queue for one waiting request.
fn new_sidecar() -> (Rc<State>, ManualClock) {
    let clock = ManualClock::new();
    let settings = Settings {
        name: "sidecar".to_owned(),
        zone: "zone".to_owned(),
        listen: ([127, 0, 0, 1], 1).into(),
        operators: None,
        backend: Backend::Engine {
            addr: ([127, 0, 0, 1], 2).into(),
            slots: 1,
        },
        hold_timeout: HumanDuration(HOLD),
        retention: HumanDuration(KEEP),
        lease: HumanDuration(LEASE),
        drain_timeout: HumanDuration(LEASE),
        orders: None,
        streams: StreamSettings::default(),
        follow: None,
        retention_bytes: 64 << 10,
        queue: QueueSettings {
            limit: 1,
            ..QueueSettings::default()
        },
        log_level: Level::default(),
    };
    (State::new(settings, Rc::new(clock.clone())), clock)
}

fn reservation(ticket: u128, tier: u8) -> ReserveRequest {
    ReserveRequest {
        ticket: RequestId(ticket),
        class: format!("class-{tier}"),
        workspace: "workspace".to_owned(),
        weight: 1,
        tier: Tier(tier),
        ttft_budget_us: 2_000_000,
        total_budget_us: 20_000_000,
        prompt_tokens: 10,
        max_tokens: 100,
        prefix_hash: 0,
        repeatable: true,
        preemptions: 0,
        wait_ms: 0,
    }
}

fn reserve(state: &State, reservation: &ReserveRequest) -> ReserveOutcome {
    state.reserve(reservation).1
}

fn start(state: &Rc<State>, ticket: u128) -> StartOutcome {
    start_in(state, ticket, state.incarnation)
}

fn start_in(state: &Rc<State>, ticket: u128, incarnation: Incarnation) -> StartOutcome {
    state.start(StartRequest {
        ticket: RequestId(ticket),
        incarnation,
        work: BackendRequest::Completion {
            body: Bytes::new(),
            chat: true,
        },
    })
}

/// Reserves a slot for a request and starts it.
fn start_new(state: &Rc<State>, reservation: &ReserveRequest) -> Rc<Request> {
    assert!(matches!(
        reserve(state, reservation),
        ReserveOutcome::Ready { .. }
    ));
    assert_eq!(start(state, reservation.ticket.0), StartOutcome::Running);
    state.find(reservation.ticket).expect("the request runs")
}

fn chunk(size: usize) -> Chunk {
    Chunk {
        tokens: 1,
        data: Bytes::from(vec![b'x'; size]),
    }
}

fn complete_end(chunk_count: u32) -> ResponseEnd {
    ResponseEnd::Complete {
        chunk_count,
        status: 200,
        finish_reason: "stop".to_owned(),
        cached_tokens: 0,
    }
}

/// Pulls from number `from` on; returns the number of the first chunk, the number
/// of chunks, and whether the response ended.
fn pull(state: &State, request: &Request, from: u32) -> (u32, usize, bool) {
    match state.pull(request, from) {
        PullOutcome::Chunks { first, chunks, end } => (first, chunks.len(), end.is_some()),
        PullOutcome::Unknown => panic!("the ticket is unknown"),
    }
}

// A `start` that arrives after the hold expired is refused and nothing runs,
// since the slot may have been granted to another request. A second reservation
// succeeds.
#[actix_rt::test]
async fn start_after_hold_expired() {
    let (state, clock) = new_sidecar();
    assert!(matches!(
        reserve(&state, &reservation(1, 0)),
        ReserveOutcome::Ready { .. }
    ));
    clock.advance(HOLD);
    state.sweep();
    assert_eq!(state.load().running, 0);
    assert_eq!(start(&state, 1), StartOutcome::ReservationExpired);

    assert!(matches!(
        reserve(&state, &reservation(1, 0)),
        ReserveOutcome::Ready { .. }
    ));
    assert_eq!(start(&state, 1), StartOutcome::Running);
    assert_eq!(start(&state, 1), StartOutcome::Running, "a repeated start");
}

// When a hold expires, the slot is granted to the next waiting request. The
// first request waits behind it when it reserves again.
#[actix_rt::test]
async fn expired_hold_grants_slot_to_next() {
    let (state, clock) = new_sidecar();
    reserve(&state, &reservation(1, 0));
    assert!(matches!(
        reserve(&state, &reservation(2, 0)),
        ReserveOutcome::Waiting { .. }
    ));
    clock.advance(HOLD);
    state.sweep();

    assert!(matches!(
        reserve(&state, &reservation(1, 0)),
        ReserveOutcome::Waiting { .. }
    ));
    assert_eq!(start(&state, 1), StartOutcome::ReservationExpired);
    assert_eq!(start(&state, 2), StartOutcome::Running);
}

// A `cancel` may overtake the `reserve` on another connection. The late
// `reserve` must not take a slot and the late `start` must not run anything.
#[actix_rt::test]
async fn cancel_before_reserve() {
    let (state, _clock) = new_sidecar();
    assert_eq!(state.cancel(RequestId(1)), CancelOutcome::NeverStarted);
    let status = reserve(&state, &reservation(1, 0));
    assert!(matches!(
        status,
        ReserveOutcome::Refused {
            reason: Refusal::CallerGone,
            ..
        }
    ));
    assert_eq!(start(&state, 1), StartOutcome::Cancelled);
    assert_eq!(state.load().running, 0);
}

// After an outage entries may cancel far more tickets than the sidecar ever saw.
// The number of tombstones stays bounded, and they expire.
#[actix_rt::test]
async fn tombstones_bounded() {
    let (state, clock) = new_sidecar();
    for ticket in 0..70_000 {
        state.cancel(RequestId(ticket));
    }
    assert_eq!(state.tracked_sizes().1, 65_536);
    assert_eq!(start(&state, 69_999), StartOutcome::Cancelled);
    // The oldest tombstone was dropped; without a hold its ticket still cannot
    // start.
    assert_eq!(start(&state, 0), StartOutcome::ReservationExpired);

    clock.advance(Duration::from_secs(60));
    state.sweep();
    assert_eq!(state.tracked_sizes(), (0, 0, 0));
}

// When the queue is full, a request of the lowest tier is shed with a retry
// delay. A repeated `reserve` gets the same refusal until the delay has passed;
// after that the request is queued.
#[actix_rt::test]
async fn refusal_lasts_until_retry_after() {
    let (state, clock) = new_sidecar();
    let first = start_new(&state, &reservation(1, 0));
    reserve(&state, &reservation(2, 0));
    let shed_outcome = ReserveOutcome::Refused {
        reason: Refusal::Shed,
        retry_after_ms: 1000,
    };
    assert_eq!(reserve(&state, &reservation(3, 1)), shed_outcome);
    state.finish(&first, complete_end(0));
    assert_eq!(start(&state, 2), StartOutcome::Running);

    assert_eq!(reserve(&state, &reservation(3, 1)), shed_outcome);
    clock.advance(Duration::from_secs(1));
    assert!(matches!(
        reserve(&state, &reservation(3, 1)),
        ReserveOutcome::Waiting { .. }
    ));
}

// A waiting request that is displaced by one of a higher tier is refused at the
// next sweep and not only at its deadline.
#[actix_rt::test]
async fn sweep_reports_shed() {
    let (state, _clock) = new_sidecar();
    start_new(&state, &reservation(1, 0));
    let (request, _) = state.reserve(&reservation(2, 1));
    reserve(&state, &reservation(3, 0));
    state.sweep();

    let status = state.reservation_status(&request.expect("the request waits"), 10);
    assert!(matches!(
        status,
        ReserveOutcome::Refused {
            reason: Refusal::Shed,
            ..
        }
    ));
    assert_eq!(start(&state, 2), StartOutcome::ReservationExpired);
}

// A `start` meant for an earlier incarnation of the sidecar is refused in every
// phase, since the request may already have run there.
#[actix_rt::test]
async fn start_other_incarnation() {
    let (state, _clock) = new_sidecar();
    reserve(&state, &reservation(1, 0));
    let other = Incarnation(state.incarnation.0 ^ 1);
    assert_eq!(start_in(&state, 1, other), StartOutcome::OtherIncarnation);
    assert_eq!(state.load().running, 1, "the slot is still held");
}

// An entry that lost a reply pulls again from the same number and gets the same
// chunks, until a pull from a higher number acknowledges them.
#[actix_rt::test]
async fn pull_repeated() {
    let (state, _clock) = new_sidecar();
    let request = start_new(&state, &reservation(1, 0));
    for _ in 0..3 {
        state.push_chunk(&request, chunk(10));
    }
    assert_eq!(pull(&state, &request, 0), (0, 3, false));
    assert_eq!(pull(&state, &request, 0), (0, 3, false));
    assert_eq!(pull(&state, &request, 2), (2, 1, false));
    state.finish(&request, complete_end(3));
    assert_eq!(pull(&state, &request, 3), (3, 0, true));
    assert_eq!(pull(&state, &request, 3), (3, 0, true));
    assert_eq!(state.tracked_sizes().2, 0);
}

// A large buffered response is delivered in batches, so that one reply does not
// block the connection for other requests. Only the last batch carries the end.
#[actix_rt::test]
async fn pull_batches() {
    let (state, _clock) = new_sidecar();
    let request = start_new(&state, &reservation(1, 0));
    state.push_chunk(&request, chunk(700 << 10));
    state.push_chunk(&request, chunk(700 << 10));
    state.finish(&request, complete_end(2));
    // The response exceeds the retention limit but is kept, since it ended last.
    assert_eq!(pull(&state, &request, 0), (0, 1, false));
    assert_eq!(pull(&state, &request, 1), (1, 1, true));
}

// If the entry is gone and nobody pulls, the run is stopped once its response
// exceeds its share of the retention limit.
#[actix_rt::test]
async fn unpulled_response_stopped() {
    let (state, _clock) = new_sidecar();
    let request = start_new(&state, &reservation(1, 0));
    for _ in 0..8 {
        state.push_chunk(&request, chunk(8 << 10));
    }
    assert!(!request.stop.is_triggered());
    state.push_chunk(&request, chunk(8 << 10));
    assert!(request.stop.is_triggered());
    assert_eq!(
        state.stopped_end(&request),
        interrupted(Refusal::Truncated, Executed::Partial)
    );
}

// When ended responses exceed the retention limit, those whose end was delivered
// are dropped before those that are still to be pulled.
#[actix_rt::test]
async fn retention_drops_delivered_first() {
    let (state, _clock) = new_sidecar();
    for ticket in 1..=3 {
        let request = start_new(&state, &reservation(ticket, 0));
        state.push_chunk(&request, chunk(30 << 10));
        state.finish(&request, complete_end(1));
        if ticket == 2 {
            pull(&state, &request, 0);
        }
    }
    let kept: Vec<_> = (1..=3)
        .map(|t| state.find(RequestId(t)).is_some())
        .collect();
    assert_eq!(kept, [true, false, true]);
    assert_eq!(state.tracked_sizes().2, 60 << 10);
}

// A response is dropped for the retention limit while its entry still pulls.
// The pull gets `Unknown`, and the counted bytes stay correct.
#[actix_rt::test]
async fn pull_dropped_response() {
    let (state, _clock) = new_sidecar();
    let first = start_new(&state, &reservation(1, 0));
    state.push_chunk(&first, chunk(60 << 10));
    state.finish(&first, complete_end(1));
    let second = start_new(&state, &reservation(2, 0));
    state.push_chunk(&second, chunk(60 << 10));
    state.finish(&second, complete_end(1));

    assert_eq!(state.pull(&first, 1), PullOutcome::Unknown);
    assert_eq!(state.tracked_sizes(), (1, 0, 60 << 10));
}

// Ended responses are dropped completely after the retention time.
#[actix_rt::test]
async fn sweep_drops_ended() {
    let (state, clock) = new_sidecar();
    for ticket in 1..=20 {
        let request = start_new(&state, &reservation(ticket, 0));
        state.push_chunk(&request, chunk(100));
        state.finish(&request, complete_end(1));
    }
    assert_eq!(state.tracked_sizes(), (20, 0, 2000));
    clock.advance(KEEP);
    state.sweep();
    assert_eq!(state.tracked_sizes(), (0, 0, 0));
    assert!(state.is_idle());
}

// A lower-tier run occupies the only slot when a top-tier request is about to
// miss its target. The run is stopped, and its entry gets the end `Preempted`
// and no chunk, not even one received before, so that it can run the request
// elsewhere.
#[actix_rt::test]
async fn sweep_preempts() {
    let (state, clock) = new_sidecar();
    let lower_tier = start_new(&state, &reservation(1, 1));
    let mut top_tier = reservation(2, 0);
    top_tier.ttft_budget_us = 50_000;
    reserve(&state, &top_tier);
    state.push_chunk(&lower_tier, chunk(10));
    clock.advance(Duration::from_millis(29));
    state.sweep();
    assert!(!lower_tier.stop.is_triggered());
    clock.advance(Duration::from_millis(1));
    state.sweep();
    assert!(lower_tier.stop.is_triggered());

    assert_eq!(pull(&state, &lower_tier, 0), (0, 0, false));
    state.push_chunk(&lower_tier, chunk(10));
    let end = state.stopped_end(&lower_tier);
    assert_eq!(end, interrupted(Refusal::Preempted, Executed::Partial));
    state.finish(&lower_tier, end);
    assert_eq!(pull(&state, &lower_tier, 0), (0, 0, true));
    assert_eq!(start(&state, 2), StartOutcome::Running);
}

// A drain must wait for the runs and until the end of each response was pulled,
// or the last chunks would be lost when the process exits.
#[actix_rt::test]
async fn idle_after_end_pulled() {
    let (state, _clock) = new_sidecar();
    let request = start_new(&state, &reservation(1, 0));
    assert!(!state.is_idle());
    state.finish(&request, complete_end(0));
    assert!(!state.is_idle());
    pull(&state, &request, 0);
    assert!(state.is_idle());
}

// Whatever the order in which a hold is cancelled, expires and starts, the slot
// is released exactly once.
#[rstest]
#[case::cancel_twice(&["cancel", "cancel"])]
#[case::expire_cancel(&["expire", "cancel"])]
#[case::cancel_expire(&["cancel", "expire"])]
#[case::start_expire_finish_cancel(&["start", "expire", "finish", "cancel"])]
#[case::start_cancel_finish(&["start", "cancel", "finish"])]
#[case::expire_start_expire(&["expire", "start", "expire"])]
#[actix_rt::test]
async fn slot_released_once(#[case] steps: &[&str]) {
    let (state, clock) = new_sidecar();
    reserve(&state, &reservation(1, 0));
    for step in steps {
        match *step {
            "cancel" => drop(state.cancel(RequestId(1))),
            "start" => drop(start(&state, 1)),
            "finish" => state.finish(
                &state.find(RequestId(1)).expect("the request runs"),
                complete_end(0),
            ),
            _ => {
                clock.advance(HOLD);
                state.sweep();
            }
        }
    }
    assert_eq!(state.load().running, 0);
    assert!(matches!(
        reserve(&state, &reservation(2, 0)),
        ReserveOutcome::Ready { .. }
    ));
}
