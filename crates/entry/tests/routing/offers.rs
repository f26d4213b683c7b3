//! Choice between the slots that sidecars offer.

use std::rc::Rc;

use policy::placement::PlacementMode;

use crate::fake::{CallResult, FakeSidecar, ReserveScript, Script, call, generous_entry, request};

// The slow server offers a slot first, while the fast one is busy but reports a
// short wait. Even with that wait the fast server completes the answer earlier, so
// it runs the request, and the slot at the slow server is cancelled.
#[actix_rt::test]
async fn grant_waits_for_faster() {
    let slow = FakeSidecar::new(
        "slow",
        reserve_script(ReserveScript::Ready {
            token_us: 4_000_000,
        }),
    );
    let fast = FakeSidecar::new(
        "fast",
        reserve_script(ReserveScript::Ready { token_us: 3000 }),
    );
    // The slow sidecar offers its slot after the fast one has reported that it is
    // busy, and the fast one offers after the slow one.
    slow.reserve_after.replace(Some((Rc::clone(&fast), 2)));
    fast.busy_until.replace(Some((Rc::clone(&slow), 1)));

    let state = generous_entry(&[Rc::clone(&slow), fast], 2, PlacementMode::LateBinding).await;
    let answer = call(&state, request(true, true)).await;
    assert_eq!(answer, CallResult::complete("fast0 fast1 "));
    assert_eq!(slow.starts.get(), 0);
    while slow.cancels.borrow().is_empty() {
        tokio::task::yield_now().await;
    }
}

// The slow server runs the request. The wait at the fast server is longer than
// the time that its speed would save.
#[actix_rt::test]
async fn grant_takes_earliest() {
    let slow = FakeSidecar::new(
        "slow",
        reserve_script(ReserveScript::Ready { token_us: 40_000 }),
    );
    let fast = FakeSidecar::new(
        "fast",
        reserve_script(ReserveScript::Busy { wait_us: 5_000_000 }),
    );
    slow.reserve_after.replace(Some((Rc::clone(&fast), 2)));

    let state = generous_entry(&[slow, Rc::clone(&fast)], 2, PlacementMode::LateBinding).await;
    let answer = call(&state, request(true, true)).await;
    assert_eq!(answer, CallResult::complete("slow0 slow1 "));
    assert_eq!(fast.starts.get(), 0);
}

// Baseline modes, which place by load reports, send the request to one server only
// and let it wait there.
#[rstest::rstest]
#[case::random(PlacementMode::Random)]
#[case::least_loaded(PlacementMode::LeastLoaded)]
#[case::two_choices(PlacementMode::TwoChoices)]
#[actix_rt::test]
async fn grant_baseline_asks_one(#[case] mode: PlacementMode) {
    let fakes = ["f0", "f1", "f2"].map(|name| FakeSidecar::new(name, Script::default()));
    let state = generous_entry(&fakes, 2, mode).await;
    let answer = call(&state, request(true, true)).await;
    assert_eq!(answer.end, Ok(()));
    let reservations: u32 = fakes.iter().map(|f| f.reserves.get()).sum();
    assert_eq!(reservations, 1);
}

fn reserve_script(reserving: ReserveScript) -> Script {
    Script {
        reserving,
        ..Script::default()
    }
}
