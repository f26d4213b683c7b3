//! The sidecar's tickets, by a clock that moves only when told to. Nothing
//! here waits, so runs that were started never get a turn: the tests play the
//! backend server's part.

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

/// Longer than any case takes, so that entries count as there.
const LEASE: Duration = Duration::from_secs(3600);

/// A sidecar with one slot and room for one waiting request.
fn sidecar() -> (Rc<State>, ManualClock) {
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

fn ask(ticket: u128, tier: u8) -> ReserveRequest {
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

fn reserve(state: &State, ask: &ReserveRequest) -> ReserveOutcome {
    state.reserve(ask).1
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

/// Reserves and starts a ticket.
fn running(state: &Rc<State>, ask: &ReserveRequest) -> Rc<Request> {
    assert!(matches!(reserve(state, ask), ReserveOutcome::Ready { .. }));
    assert_eq!(start(state, ask.ticket.0), StartOutcome::Running);
    state.find(ask.ticket).expect("it runs")
}

fn piece(size: usize) -> Chunk {
    Chunk {
        tokens: 1,
        data: Bytes::from(vec![b'x'; size]),
    }
}

fn whole(chunk_count: u32) -> ResponseEnd {
    ResponseEnd::Complete {
        chunk_count,
        status: 200,
        finish_reason: "stop".to_owned(),
        cached_tokens: 0,
    }
}

/// Number of the first piece, how many there are, and whether they end.
fn pulled(state: &State, entry: &Request, from: u32) -> (u32, usize, bool) {
    match state.pull(entry, from) {
        PullOutcome::Chunks { first, chunks, end } => (first, chunks.len(), end.is_some()),
        PullOutcome::Unknown => panic!("unknown"),
    }
}

// The entry is slow and its start comes after the hold has run out. The slot
// may be another's by then, so the start is refused and nothing runs. The
// entry asks again, gets a new hold, and its caller its answer.
#[actix_rt::test]
async fn start_after_lapse() {
    let (state, clock) = sidecar();
    assert!(matches!(
        reserve(&state, &ask(1, 0)),
        ReserveOutcome::Ready { .. }
    ));
    clock.advance(HOLD);
    state.sweep();
    assert_eq!(state.load().running, 0);
    assert_eq!(start(&state, 1), StartOutcome::ReservationExpired);

    assert!(matches!(
        reserve(&state, &ask(1, 0)),
        ReserveOutcome::Ready { .. }
    ));
    assert_eq!(start(&state, 1), StartOutcome::Running);
    assert_eq!(start(&state, 1), StartOutcome::Running, "a repeated start");
}

// A hold runs out while another caller waits. The slot goes to that one, and
// the first ticket waits behind it when it asks again.
#[actix_rt::test]
async fn sweep_lapse_passes_on() {
    let (state, clock) = sidecar();
    reserve(&state, &ask(1, 0));
    assert!(matches!(
        reserve(&state, &ask(2, 0)),
        ReserveOutcome::Waiting { .. }
    ));
    clock.advance(HOLD);
    state.sweep();

    assert!(matches!(
        reserve(&state, &ask(1, 0)),
        ReserveOutcome::Waiting { .. }
    ));
    assert_eq!(start(&state, 1), StartOutcome::ReservationExpired);
    assert_eq!(start(&state, 2), StartOutcome::Running);
}

// A caller goes away. The cancel overtakes the reserve on another connection;
// the late reserve must not take a slot, nor the late start run anything.
#[actix_rt::test]
async fn cancel_before_reserve() {
    let (state, _clock) = sidecar();
    assert_eq!(state.cancel(RequestId(1)), CancelOutcome::NeverStarted);
    let stands = reserve(&state, &ask(1, 0));
    assert!(matches!(
        stands,
        ReserveOutcome::Refused {
            reason: Refusal::CallerGone,
            ..
        }
    ));
    assert_eq!(start(&state, 1), StartOutcome::Cancelled);
    assert_eq!(state.load().running, 0);
}

// Entries cancel far more tickets than the sidecar ever ran, as after an
// outage. What it remembers of them stays bounded, and time clears it.
#[actix_rt::test]
async fn cancel_many_unknown() {
    let (state, clock) = sidecar();
    for ticket in 0..70_000 {
        state.cancel(RequestId(ticket));
    }
    assert_eq!(state.tracked_sizes().1, 65_536);
    assert_eq!(start(&state, 69_999), StartOutcome::Cancelled);
    // The oldest is forgotten; without a hold it cannot start all the same.
    assert_eq!(start(&state, 0), StartOutcome::ReservationExpired);

    clock.advance(Duration::from_secs(60));
    state.sweep();
    assert_eq!(state.tracked_sizes(), (0, 0, 0));
}

// The queue is full and a caller of the lowest tier is refused as shed, with
// a time to come back. A repeated call hears the same; one after that time
// is taken as a new one.
#[actix_rt::test]
async fn reserve_after_refusal() {
    let (state, clock) = sidecar();
    let first = running(&state, &ask(1, 0));
    reserve(&state, &ask(2, 0));
    let shed = ReserveOutcome::Refused {
        reason: Refusal::Shed,
        retry_after_ms: 1000,
    };
    assert_eq!(reserve(&state, &ask(3, 1)), shed);
    state.finish(&first, whole(0));
    assert_eq!(start(&state, 2), StartOutcome::Running);

    assert_eq!(reserve(&state, &ask(3, 1)), shed);
    clock.advance(Duration::from_secs(1));
    assert!(matches!(
        reserve(&state, &ask(3, 1)),
        ReserveOutcome::Waiting { .. }
    ));
}

// A waiting caller is pushed out by one of a higher tier. It hears so at the
// next sweep and not at its deadline.
#[actix_rt::test]
async fn sweep_tells_shed() {
    let (state, _clock) = sidecar();
    running(&state, &ask(1, 0));
    let (entry, _) = state.reserve(&ask(2, 1));
    reserve(&state, &ask(3, 0));
    state.sweep();

    let stands = state.reservation_status(&entry.expect("it waits"), 10);
    assert!(matches!(
        stands,
        ReserveOutcome::Refused {
            reason: Refusal::Shed,
            ..
        }
    ));
    assert_eq!(start(&state, 2), StartOutcome::ReservationExpired);
}

// A start comes that was meant for the sidecar's life before. What that life
// did is not known here, so it is refused in every state.
#[actix_rt::test]
async fn start_other_life() {
    let (state, _clock) = sidecar();
    reserve(&state, &ask(1, 0));
    let other = Incarnation(state.incarnation.0 ^ 1);
    assert_eq!(start_in(&state, 1, other), StartOutcome::OtherIncarnation);
    assert_eq!(state.load().running, 1, "still held");
}

// An entry pulls, loses the reply and pulls again from the same number: it
// gets the same pieces, until its next number says that it has them.
#[actix_rt::test]
async fn pull_again() {
    let (state, _clock) = sidecar();
    let entry = running(&state, &ask(1, 0));
    for _ in 0..3 {
        state.push_chunk(&entry, piece(10));
    }
    assert_eq!(pulled(&state, &entry, 0), (0, 3, false));
    assert_eq!(pulled(&state, &entry, 0), (0, 3, false));
    assert_eq!(pulled(&state, &entry, 2), (2, 1, false));
    state.finish(&entry, whole(3));
    assert_eq!(pulled(&state, &entry, 3), (3, 0, true));
    assert_eq!(pulled(&state, &entry, 3), (3, 0, true));
    assert_eq!(state.tracked_sizes().2, 0);
}

// A large answer waits when its entry comes back after a silence. It is handed
// out in batches, so that one reply cannot block the connection for others,
// and the end comes with the last batch only.
#[actix_rt::test]
async fn pull_batches() {
    let (state, _clock) = sidecar();
    let entry = running(&state, &ask(1, 0));
    state.push_chunk(&entry, piece(700 << 10));
    state.push_chunk(&entry, piece(700 << 10));
    state.finish(&entry, whole(2));
    // It is larger than all that may be kept, but it has only just ended.
    assert_eq!(pulled(&state, &entry, 0), (0, 1, false));
    assert_eq!(pulled(&state, &entry, 1), (1, 1, true));
}

// An entry host is gone and nobody pulls. The answer in the making is stopped
// once it takes more than its part of the memory.
#[actix_rt::test]
async fn push_unpulled() {
    let (state, _clock) = sidecar();
    let entry = running(&state, &ask(1, 0));
    for _ in 0..8 {
        state.push_chunk(&entry, piece(8 << 10));
    }
    assert!(!entry.stop.is_triggered());
    state.push_chunk(&entry, piece(8 << 10));
    assert!(entry.stop.is_triggered());
    assert_eq!(
        state.stopped_end(&entry),
        interrupted(Refusal::Truncated, Executed::Partial)
    );
}

// Ended answers fill the memory for kept ones. Those whose entry has had the
// end go first; one that is still to be pulled stays while it can.
#[actix_rt::test]
async fn finish_drops_kept() {
    let (state, _clock) = sidecar();
    for ticket in 1..=3 {
        let entry = running(&state, &ask(ticket, 0));
        state.push_chunk(&entry, piece(30 << 10));
        state.finish(&entry, whole(1));
        if ticket == 2 {
            pulled(&state, &entry, 0);
        }
    }
    let kept: Vec<_> = (1..=3)
        .map(|t| state.find(RequestId(t)).is_some())
        .collect();
    assert_eq!(kept, [true, false, true]);
    assert_eq!(state.tracked_sizes().2, 60 << 10);
}

// A pull is held when the answer it is about is dropped for want of memory.
// It finds the answer gone; what is kept is still counted right.
#[actix_rt::test]
async fn pull_dropped() {
    let (state, _clock) = sidecar();
    let first = running(&state, &ask(1, 0));
    state.push_chunk(&first, piece(60 << 10));
    state.finish(&first, whole(1));
    let second = running(&state, &ask(2, 0));
    state.push_chunk(&second, piece(60 << 10));
    state.finish(&second, whole(1));

    assert_eq!(state.pull(&first, 1), PullOutcome::Unknown);
    assert_eq!(state.tracked_sizes(), (1, 0, 60 << 10));
}

// Answers end and are pulled; after a while nothing of them is left.
#[actix_rt::test]
async fn sweep_forgets_ended() {
    let (state, clock) = sidecar();
    for ticket in 1..=20 {
        let entry = running(&state, &ask(ticket, 0));
        state.push_chunk(&entry, piece(100));
        state.finish(&entry, whole(1));
    }
    assert_eq!(state.tracked_sizes(), (20, 0, 2000));
    clock.advance(KEEP);
    state.sweep();
    assert_eq!(state.tracked_sizes(), (0, 0, 0));
    assert!(state.is_idle());
}

// A lower-tier run has the only slot when a caller of the top tier is about to
// miss its target. The run is stopped; its entry gets no piece of it, not even
// one made before, and hears "preempted", so that it can run it elsewhere.
#[actix_rt::test]
async fn sweep_preempts() {
    let (state, clock) = sidecar();
    let lower = running(&state, &ask(1, 1));
    let mut top = ask(2, 0);
    top.ttft_budget_us = 50_000;
    reserve(&state, &top);
    state.push_chunk(&lower, piece(10));
    clock.advance(Duration::from_millis(29));
    state.sweep();
    assert!(!lower.stop.is_triggered());
    clock.advance(Duration::from_millis(1));
    state.sweep();
    assert!(lower.stop.is_triggered());

    assert_eq!(pulled(&state, &lower, 0), (0, 0, false));
    state.push_chunk(&lower, piece(10));
    let end = state.stopped_end(&lower);
    assert_eq!(end, interrupted(Refusal::Preempted, Executed::Partial));
    state.finish(&lower, end);
    assert_eq!(pulled(&state, &lower, 0), (0, 0, true));
    assert_eq!(start(&state, 2), StartOutcome::Running);
}

// The sidecar is to stop. It waits for the run and then for its entry to have
// the end, else the last words of an answer would be lost with the process.
#[actix_rt::test]
async fn idle_after_end_is_pulled() {
    let (state, _clock) = sidecar();
    let entry = running(&state, &ask(1, 0));
    assert!(!state.is_idle());
    state.finish(&entry, whole(0));
    assert!(!state.is_idle());
    pulled(&state, &entry, 0);
    assert!(state.is_idle());
}

// Holds are cancelled, lapse and start in every order; the slot is always
// given back exactly once.
#[rstest]
#[case::cancel_twice(&["cancel", "cancel"])]
#[case::lapse_cancel(&["lapse", "cancel"])]
#[case::cancel_lapse(&["cancel", "lapse"])]
#[case::start_lapse_finish_cancel(&["start", "lapse", "finish", "cancel"])]
#[case::start_cancel_finish(&["start", "cancel", "finish"])]
#[case::lapse_start_lapse(&["lapse", "start", "lapse"])]
#[actix_rt::test]
async fn slot_given_back(#[case] steps: &[&str]) {
    let (state, clock) = sidecar();
    reserve(&state, &ask(1, 0));
    for step in steps {
        match *step {
            "cancel" => drop(state.cancel(RequestId(1))),
            "start" => drop(start(&state, 1)),
            "finish" => state.finish(&state.find(RequestId(1)).expect("it runs"), whole(0)),
            _ => {
                clock.advance(HOLD);
                state.sweep();
            }
        }
    }
    assert_eq!(state.load().running, 0);
    assert!(matches!(
        reserve(&state, &ask(2, 0)),
        ReserveOutcome::Ready { .. }
    ));
}
