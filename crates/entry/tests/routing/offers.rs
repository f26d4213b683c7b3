//! Which of the offered slots a request gets.

use std::rc::Rc;

use policy::placement::PlacementMode;

use crate::fake::{Fake, Got, Reserving, Script, call, request, unhurried};

// The caller is served at the pace of the fast server. The slow one has its
// slot first, because nobody else wants it; the fast one said that it will be
// free soon, and even then it ends the answer earlier. The slow one's slot is
// given back at once.
#[actix_rt::test]
async fn grant_waits_for_better() {
    let slow = Fake::new(
        "slow",
        offering(Reserving::Ready {
            token_us: 4_000_000,
        }),
    );
    let fast = Fake::new("fast", offering(Reserving::Ready { token_us: 3000 }));
    // The slow one is ready once the fast one was heard to be busy, and the
    // fast one once the slow one is ready.
    slow.after.replace(Some((Rc::clone(&fast), 2)));
    fast.busy.replace(Some((Rc::clone(&slow), 1)));

    let state = unhurried(&[Rc::clone(&slow), fast], 2, PlacementMode::LateBinding).await;
    let got = call(&state, request(true, true)).await;
    assert_eq!(got, Got::whole("fast0 fast1 "));
    assert_eq!(slow.starts.get(), 0);
    while slow.cancels.borrow().is_empty() {
        tokio::task::yield_now().await;
    }
}

// The caller is served by the slow server. The fast one has no slot for
// longer than its speed would gain, so waiting for it would only end later.
#[actix_rt::test]
async fn grant_takes_slow() {
    let slow = Fake::new("slow", offering(Reserving::Ready { token_us: 40_000 }));
    let fast = Fake::new("fast", offering(Reserving::Busy { wait_us: 5_000_000 }));
    slow.after.replace(Some((Rc::clone(&fast), 2)));

    let state = unhurried(&[slow, Rc::clone(&fast)], 2, PlacementMode::LateBinding).await;
    let got = call(&state, request(true, true)).await;
    assert_eq!(got, Got::whole("slow0 slow1 "));
    assert_eq!(fast.starts.get(), 0);
}

// A baseline that places by reports sends the request to one server only and
// lets it wait there.
#[rstest::rstest]
#[case::random(PlacementMode::Random)]
#[case::least_loaded(PlacementMode::LeastLoaded)]
#[case::two_choices(PlacementMode::TwoChoices)]
#[actix_rt::test]
async fn grant_baseline(#[case] mode: PlacementMode) {
    let fakes = ["f0", "f1", "f2"].map(|name| Fake::new(name, Script::default()));
    let state = unhurried(&fakes, 2, mode).await;
    let got = call(&state, request(true, true)).await;
    assert_eq!(got.end, Ok(()));
    let asked: u32 = fakes.iter().map(|f| f.reserves.get()).sum();
    assert_eq!(asked, 1);
}

fn offering(reserving: Reserving) -> Script {
    Script {
        reserving,
        ..Script::default()
    }
}
