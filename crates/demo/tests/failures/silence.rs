//! Engines that crash or stall, and connections to them that go silent.

use crate::fleet::{Answer, Fleet, call, expected, stream, text, until};

/// Number of tokens of an answer that takes about a second.
const LONG: u32 = 400;

/// Sends a request and waits until its answer has started.
async fn start_answer(fleet: &Fleet, mark: &'static str) -> actix_rt::task::JoinHandle<Answer> {
    let entry = fleet.entry_addr(0);
    let task = actix_rt::spawn(async move { call(entry, mark, LONG).await });
    until("the answer started", || {
        fleet.ledger.counts(mark).output_tokens > 5
    })
    .await;
    task
}

// An engine's open streams go silent while new ones work, and again after the
// first was resumed. The sidecar must resume at the next missing token, so that
// the caller gets the complete answer after a pause, with each token once.
#[actix_rt::test]
async fn engine_stream_silent_twice() {
    let fleet = Fleet::with(1).await;

    let answer = start_answer(&fleet, "muted").await;
    fleet.engines[&0].change(|f| f.mute_generation += 1);
    let generated = fleet.ledger.counts("muted").output_tokens;
    until("the answer continues", || {
        fleet.ledger.counts("muted").output_tokens > generated + 150
    })
    .await;
    fleet.engines[&0].change(|f| f.mute_generation += 1);

    let answer = answer.await.unwrap();
    assert_eq!(text(&answer), expected("muted", LONG), "{answer:?}");
    assert_eq!(fleet.ledger.counts("muted").runs, 1);
}

// An engine crashes with an answer in progress and comes back without the
// stream. The caller must get an error with `partial`, not an answer made of two
// runs. Later requests must succeed once the sidecar's probe finds the engine
// again.
#[actix_rt::test]
async fn engine_crash_and_restart() {
    let fleet = Fleet::with(1).await;

    let answer = start_answer(&fleet, "crashed").await;
    fleet.engines[&0].change(|f| f.crashed = true);
    let answer = answer.await.unwrap();
    assert_ne!(answer.status, 200, "{answer:?}");
    assert_eq!(answer.body["error"]["ran"], "partial", "{answer:?}");

    // While the engine is down, requests are refused as not run.
    let down = fleet.call(0, "down", 3).await;
    assert_eq!(down.body["error"]["ran"], "no", "{down:?}");
    assert_eq!(fleet.ledger.counts("down").runs, 0);

    fleet.engines[&0].change(|f| f.crashed = false);
    fleet.ready(0).await;
}

// One of two engines is down from the start. Its sidecar answers faster than
// the other and all its slots look free, so it could attract all requests. All
// requests must succeed, since the sidecar reports that it accepts none.
#[actix_rt::test]
async fn engine_down_gets_no_requests() {
    let fleet = Fleet::with(2).await;
    fleet.engines[&0].change(|f| f.crashed = true);

    for i in 0..40 {
        let mark = format!("m{i}");
        let answer = fleet.call(0, &mark, 3).await;
        assert_eq!(text(&answer), expected(&mark, 3), "{answer:?}");
    }
}

// An engine takes long for each token. The entry must send comments on the
// caller's stream meanwhile, which readers skip. If the caller's host is gone,
// they provoke a connection reset, which ends the request. The answer must be
// complete.
#[actix_rt::test]
async fn slow_stream_sends_comments() {
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
