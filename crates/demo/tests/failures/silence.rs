//! Engines and the connections to them go silent, break and crash.

use crate::fleet::{Answer, Fleet, call, expected, stream, text, until};

/// Tokens of an answer that takes about a second.
const LONG: u32 = 400;

/// A request that runs.
async fn begun(fleet: &Fleet, mark: &'static str) -> actix_rt::task::JoinHandle<Answer> {
    let entry = fleet.entry_addr(0);
    let task = actix_rt::spawn(async move { call(entry, mark, LONG).await });
    until("the answer is begun", || {
        fleet.ledger.counts(mark).output_tokens > 5
    })
    .await;
    task
}

// An engine's open streams go silent for good while new ones work, and once
// more after the first was resumed. The caller sees a pause and then the whole
// answer, each token once: the sidecar resumes at the token that it lacks.
#[actix_rt::test]
async fn engine_stream_silent_twice() {
    let fleet = Fleet::with(1).await;

    let answer = begun(&fleet, "muted").await;
    fleet.engines[&0].change(|f| f.mute_generation += 1);
    let made = fleet.ledger.counts("muted").output_tokens;
    until("the answer goes on", || {
        fleet.ledger.counts("muted").output_tokens > made + 150
    })
    .await;
    fleet.engines[&0].change(|f| f.mute_generation += 1);

    let answer = answer.await.unwrap();
    assert_eq!(text(&answer), expected("muted", LONG), "{answer:?}");
    assert_eq!(fleet.ledger.counts("muted").runs, 1);
}

// An engine crashes with an answer in progress and comes back. It has lost the
// stream, so the answer ends as partial or is made anew whole: this caller
// takes it whole, so it gets one answer of one run. Later requests find the
// engine again by the sidecar's probes.
#[actix_rt::test]
async fn engine_crash_and_return() {
    let fleet = Fleet::with(1).await;

    let answer = begun(&fleet, "crashed").await;
    fleet.engines[&0].change(|f| f.crashed = true);
    let answer = answer.await.unwrap();
    assert_ne!(answer.status, 200, "{answer:?}");
    assert_eq!(answer.body["error"]["ran"], "partial", "{answer:?}");

    // While it is down, requests are refused as not run.
    let down = fleet.call(0, "down", 3).await;
    assert_eq!(down.body["error"]["ran"], "no", "{down:?}");
    assert_eq!(fleet.ledger.counts("down").runs, 0);

    fleet.engines[&0].change(|f| f.crashed = false);
    fleet.ready(0).await;
}

// One of two engines is down from the start. Its sidecar answers faster than
// any other, and all its slots look free. Callers see nothing of it: the
// sidecar says that it takes nothing, so no request goes there in vain.
#[actix_rt::test]
async fn engine_down_draws_nothing() {
    let fleet = Fleet::with(2).await;
    fleet.engines[&0].change(|f| f.crashed = true);

    for i in 0..40 {
        let mark = format!("m{i}");
        let answer = fleet.call(0, &mark, 3).await;
        assert_eq!(text(&answer), expected(&mark, 3), "{answer:?}");
    }
}

// An engine takes long for each token. The caller's stream carries comments
// meanwhile, which readers skip, so that a caller whose host is gone answers
// with a reset and its request ends; the answer itself stays whole.
#[actix_rt::test]
async fn caller_stream_comments() {
    let fleet = Fleet::with(1).await;
    fleet.engines[&0].change(|f| f.slowdown = 100.0);

    let body = stream(fleet.entry_addr(0), "slow", 2).await;
    assert!(body.contains(": waiting\n\n"), "{body}");
    assert!(
        body.contains("slow:0 ") && body.contains("slow:1 "),
        "{body}"
    );
    assert!(body.ends_with("data: [DONE]\n\n"), "{body}");
}
