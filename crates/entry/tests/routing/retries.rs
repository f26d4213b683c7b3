//! When a failed request is retried and when it must not be. The entry reserves at
//! the sidecar `bad` first, then at `good`.

use std::rc::Rc;

use crate::fake::{
    CallResult, FakeSidecar, ReserveScript, RunScript, Script, StartScript, call, entry,
    entry_state, generous_entry, patient_entry, request,
};
use base::reason::{Executed, Refusal};
use entry::settings::SidecarInfo;
use policy::placement::PlacementMode;
use rstest::rstest;

fn reserve_script(reserving: ReserveScript) -> Script {
    Script {
        reserving,
        ..Script::default()
    }
}

fn start_script(starting: StartScript) -> Script {
    Script {
        starting,
        ..Script::default()
    }
}

fn run_script(running: RunScript) -> Script {
    Script {
        running,
        ..Script::default()
    }
}

/// Whether a sidecar with this script leaves a call without a reply.
fn leaves_unanswered(script: Script) -> bool {
    let starting = matches!(
        script.starting,
        StartScript::Silent | StartScript::RepliesLost(_) | StartScript::RestartAfter
    );
    starting
        || script.reserving == ReserveScript::Silent
        || matches!(script.running, RunScript::PullsLost(_))
}

/// Makes one request; returns the caller's answer and the number of starts at
/// `good`.
async fn call_with_bad(script: Script, stream: bool, repeatable: bool) -> (CallResult, u32) {
    let (bad, good) = (
        FakeSidecar::new("bad", script),
        FakeSidecar::new("good", Script::default()),
    );
    let fakes = [bad, Rc::clone(&good)];
    let state = match leaves_unanswered(script) {
        true => entry(&fakes, 1).await,
        false => generous_entry(&fakes, 1, PlacementMode::LateBinding).await,
    };
    let answer = call(&state, request(stream, repeatable)).await;
    (answer, good.starts.get())
}

fn bad() -> CallResult {
    CallResult::complete("bad0 bad1 ")
}

fn good() -> CallResult {
    CallResult::complete("good0 good1 ")
}

fn unknown() -> CallResult {
    CallResult::refused("", Refusal::OutcomeUnknown, Executed::Unknown)
}

// The first sidecar refuses the reservation, drains or never replies. Nothing was
// started, so the other server runs even a request that is not repeatable.
#[rstest]
#[case::refused(ReserveScript::Refuse(Refusal::Shed))]
#[case::draining(ReserveScript::Refuse(Refusal::Draining))]
#[case::silent(ReserveScript::Silent)]
#[actix_rt::test]
async fn grant_unreserved(#[case] script: ReserveScript) {
    let answer = call_with_bad(reserve_script(script), true, false).await;
    assert_eq!(answer, (good(), 1));
}

// The start takes effect but its reply is lost. The start is resent for the same
// incarnation and answered "running", so the request runs once and the caller gets
// the complete answer.
#[actix_rt::test]
async fn grant_start_reply_lost() {
    let answer = call_with_bad(start_script(StartScript::RepliesLost(1)), true, false).await;
    assert_eq!(answer, (bad(), 0));
}

// The start gets no reply, and then the sidecar restarts or stays silent, so the
// first start may have run. A repeatable request runs at the other server; the
// caller of any other request is told that the outcome is unknown.
#[rstest]
#[case::restarted_repeatable(StartScript::RestartAfter, true, good(), 1)]
#[case::restarted_once(StartScript::RestartAfter, false, unknown(), 0)]
#[case::silent_repeatable(StartScript::Silent, true, good(), 1)]
#[case::silent_once(StartScript::Silent, false, unknown(), 0)]
#[actix_rt::test]
async fn grant_start_unknown(
    #[case] script: StartScript,
    #[case] repeatable: bool,
    #[case] expected: CallResult,
    #[case] starts: u32,
) {
    let answer = call_with_bad(start_script(script), true, repeatable).await;
    assert_eq!(answer, (expected, starts));
}

// The reservation expires, or the sidecar restarts, before the first start arrives.
// The only start was refused, so the request did not run, and the other server runs
// it even if it is not repeatable.
#[rstest]
#[case::expired(StartScript::Expired)]
#[case::restarted(StartScript::RestartBefore)]
#[actix_rt::test]
async fn grant_start_refused(#[case] script: StartScript) {
    let answer = call_with_bad(start_script(script), true, false).await;
    assert_eq!(answer, (good(), 1));
}

// Both reservations expire because a process was slow, and both servers have room.
// The caller is not refused with `no_server`: the servers are asked again, also for
// a request that is not repeatable, since it did not run.
#[rstest]
#[case::one_server(1)]
#[case::two_servers(2)]
#[actix_rt::test]
async fn grant_all_expired(#[case] servers: usize) {
    let script = start_script(StartScript::ExpiredUntil(1));
    let fakes = ["f0", "f1"].map(|name| FakeSidecar::new(name, script));
    let state = generous_entry(&fakes[..servers], 2, PlacementMode::LateBinding).await;
    let answer = call(&state, request(true, false)).await;
    assert_eq!(answer.end, Ok(()));
}

// An entry is paused, once or twice, and the reservations of 30 calls expire, three
// times as many as the retry budget covers. No caller is refused.
#[rstest]
#[case::once(1)]
#[case::twice(2)]
#[actix_rt::test]
async fn grant_many_expired(#[case] pauses: u32) {
    let fake = FakeSidecar::new("only", start_script(StartScript::ExpiredUntil(30 * pauses)));
    let state = generous_entry(std::slice::from_ref(&fake), 2, PlacementMode::LateBinding).await;
    let calls = (0..30).map(|_| call(&state, request(true, true)));
    for answer in futures_util::future::join_all(calls).await {
        assert_eq!(answer, CallResult::complete("only0 only1 "));
    }
}

// Every reservation expires. The retries must not multiply the load: two are free for
// each of the 100 calls, and the others come from the budget of 10.
#[actix_rt::test]
async fn grant_always_expired() {
    let fakes = ["f0", "f1"].map(|name| FakeSidecar::new(name, start_script(StartScript::Expired)));
    let state = generous_entry(&fakes, 1, PlacementMode::LateBinding).await;
    for _ in 0..100 {
        let answer = call(&state, request(true, true)).await;
        assert_eq!(answer.end.map_err(|(_, ran)| ran), Err(Executed::No));
    }
    let starts: u32 = fakes.iter().map(|f| f.starts.get()).sum();
    assert_eq!(starts, 100 + 100 * 2 + 10);
}

// The only server, to which a new connection was made, replies to none of the first
// reservations, and the calls that follow fail during the backoff. No caller is
// refused while time is left; 30 are three times as many as the retry budget covers.
#[rstest]
#[case::one(1)]
#[case::many(30)]
#[actix_rt::test]
async fn grant_silent_alone(#[case] count: u32) {
    let script = reserve_script(ReserveScript::SilentUntil(count));
    let fake = FakeSidecar::new("only", script);
    let state = entry(std::slice::from_ref(&fake), 2).await;
    let calls = (0..count).map(|_| call(&state, request(true, false)));
    for answer in futures_util::future::join_all(calls).await {
        assert_eq!(answer, CallResult::complete("only0 only1 "));
    }
}

// The backend server fails before the first chunk. A request that is known not to
// have run is retried. If it may have run, it is retried only if it is repeatable;
// otherwise the caller is told that this is unknown.
#[rstest]
#[case::not_run(Executed::No, false, good(), 1)]
#[case::repeatable(Executed::Unknown, true, good(), 1)]
#[case::once(
    Executed::Unknown,
    false,
    CallResult::refused("", Refusal::BackendFailed, Executed::Unknown),
    0
)]
#[actix_rt::test]
async fn answer_failed_early(
    #[case] ran: Executed,
    #[case] repeatable: bool,
    #[case] expected: CallResult,
    #[case] starts: u32,
) {
    let answer = call_with_bad(run_script(RunScript::Interrupted(0, ran)), true, repeatable).await;
    assert_eq!(answer, (expected, starts));
}

// The backend server fails after the first chunk. A streaming caller has received
// that chunk, so the stream ends with an error rather than with chunks of another
// run. A caller that does not stream has received nothing, so a repeatable request
// is retried.
#[rstest]
#[case::streaming(
    true,
    true,
    CallResult::refused("bad0 ", Refusal::BackendFailed, Executed::Partial),
    0
)]
#[case::whole(false, true, good(), 1)]
#[case::whole_once(
    false,
    false,
    CallResult::refused("", Refusal::BackendFailed, Executed::Partial),
    0
)]
#[actix_rt::test]
async fn answer_failed_late(
    #[case] stream: bool,
    #[case] repeatable: bool,
    #[case] expected: CallResult,
    #[case] starts: u32,
) {
    let script = run_script(RunScript::Interrupted(1, Executed::Partial));
    let answer = call_with_bad(script, stream, repeatable).await;
    assert_eq!(answer, (expected, starts));
}

// The connection becomes unresponsive during a pull. The entry reconnects and
// continues to pull the ticket at the same chunk, so the caller gets the complete
// answer without a lost or duplicated chunk.
#[rstest]
#[case::repeatable(true)]
#[case::once(false)]
#[actix_rt::test]
async fn answer_connection_silent(#[case] repeatable: bool) {
    let answer = call_with_bad(run_script(RunScript::PullsLost(1)), true, repeatable).await;
    assert_eq!(answer, (bad(), 0));
}

// A start and its repetition get no reply, after which a repeatable request is retried
// at another server, and there is none. The start is resent as for a request that must
// not run twice; the caller must not be told that the outcome is unknown.
#[actix_rt::test]
async fn start_silent_alone() {
    let script = start_script(StartScript::RepliesLost(2));
    let fake = FakeSidecar::new("only", script);
    let state = patient_entry(std::slice::from_ref(&fake), 2).await;
    let answer = call(&state, request(true, true)).await;
    assert_eq!(answer, CallResult::complete("only0 only1 "));
}

// Two pulls get no reply, after which a request is retried at another server, and
// there is none. The entry goes on pulling for its timeout; the caller must not be
// told that the outcome is unknown when the answer can still be had.
#[actix_rt::test]
async fn answer_silent_alone() {
    let fake = FakeSidecar::new("only", run_script(RunScript::PullsLost(2)));
    let state = patient_entry(std::slice::from_ref(&fake), 2).await;
    let answer = call(&state, request(true, true)).await;
    assert_eq!(answer, CallResult::complete("only0 only1 "));
    assert_eq!(fake.starts.get(), 1);
}

// All servers refuse every request. If each request were tried at each server,
// 1000 requests would cause 5000 reservations. Only grants add to the retry budget
// and none is granted, so at most the 10 initial retries are made: the first 5
// requests make 2 each, which cover the 4 other servers. The callers get the
// sidecars' estimate as the delay after which to retry.
#[actix_rt::test]
async fn grant_all_refuse() {
    let script = reserve_script(ReserveScript::Refuse(Refusal::Shed));
    let fakes = ["f0", "f1", "f2", "f3", "f4"].map(|name| FakeSidecar::new(name, script));
    let state = generous_entry(&fakes, 1, PlacementMode::LateBinding).await;

    for _ in 0..1000 {
        let answer = call(&state, request(true, true)).await;
        assert_eq!(answer, CallResult::refused("", Refusal::Shed, Executed::No));
    }
    let reservations: u32 = fakes.iter().map(|f| f.reserves.get()).sum();
    assert_eq!(reservations, 1000 + 5 * 4);

    let refused = entry::dispatch::grant(&state, &request(true, true)).await;
    let after = refused.err().and_then(|r| r.retry_after);
    assert_eq!(after, Some(std::time::Duration::from_secs(7)));
}

// Every run fails at every server. Each of the 100 requests is granted, which adds
// a tenth of a retry to the budget, so beyond the initial retries the number of
// runs exceeds the number of requests by a tenth at most.
#[actix_rt::test]
async fn grant_all_fail() {
    let script = run_script(RunScript::Interrupted(0, Executed::No));
    let fakes = ["f0", "f1", "f2", "f3", "f4"].map(|name| FakeSidecar::new(name, script));
    let state = generous_entry(&fakes, 1, PlacementMode::LateBinding).await;

    for _ in 0..100 {
        let answer = call(&state, request(true, true)).await;
        assert_eq!(answer.end.map_err(|(_, ran)| ran), Err(Executed::No));
    }
    let runs: u32 = fakes.iter().map(|f| f.starts.get()).sum();
    assert!(runs <= 100 + 10 + 12, "{runs} runs");
}

// No sidecar is known, or the only one is unreachable. The caller is told
// immediately that the request did not run.
#[rstest]
#[case::unknown(false)]
#[case::unreachable(true)]
#[actix_rt::test]
async fn grant_no_server(#[case] known: bool) {
    // A port without a listener.
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    drop(listener);
    let sidecar = SidecarInfo {
        name: "gone".to_owned(),
        addr,
        zone: "a".to_owned(),
        serves: "model".to_owned(),
    };
    let state = entry_state(
        known.then_some(sidecar).into_iter().collect(),
        2,
        PlacementMode::LateBinding,
    );
    let answer = call(&state, request(true, true)).await;
    assert_eq!(
        answer,
        CallResult::refused("", Refusal::NoServer, Executed::No)
    );
}

// A draining sidecar reports its state in the load of the first reply, so the
// second request is refused without another call.
#[actix_rt::test]
async fn grant_draining() {
    let script = Script {
        draining: true,
        ..reserve_script(ReserveScript::Refuse(Refusal::Draining))
    };
    let fake = FakeSidecar::new("only", script);
    let state = entry(std::slice::from_ref(&fake), 2).await;
    for _ in 0..2 {
        let answer = call(&state, request(true, true)).await;
        assert_eq!(
            answer,
            CallResult::refused("", Refusal::NoServer, Executed::No)
        );
    }
    assert_eq!(fake.reserves.get(), 1);
}

// A caller disconnects while its request has a reservation or runs. The ticket is
// cancelled, so that no slot and no tokens are spent on it.
#[actix_rt::test]
async fn grant_caller_gone() {
    let fake = FakeSidecar::new("only", Script::default());
    let state = entry(std::slice::from_ref(&fake), 2).await;
    let request = request(true, true);
    let granted = entry::dispatch::grant(&state, &request).await;
    drop(granted);

    while fake.cancels.borrow().is_empty() {
        tokio::time::sleep(std::time::Duration::from_millis(1)).await;
    }
    assert_eq!(*fake.cancels.borrow(), [request.ticket]);
}
