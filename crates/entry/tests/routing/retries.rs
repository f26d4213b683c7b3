//! Where a request may run again, and where it must not. The entry asks the
//! sidecar `bad` first, then `good`.

use std::rc::Rc;

use crate::fake::{
    Fake, Got, Reserving, Running, Script, Starting, call, entry, request, state, unhurried,
};
use base::reason::{Executed, Refusal};
use entry::settings::SidecarInfo;
use policy::placement::PlacementMode;
use rstest::rstest;

fn reserving(reserving: Reserving) -> Script {
    Script {
        reserving,
        ..Script::default()
    }
}

fn starting(starting: Starting) -> Script {
    Script {
        starting,
        ..Script::default()
    }
}

fn running(running: Running) -> Script {
    Script {
        running,
        ..Script::default()
    }
}

/// Whether a sidecar by this script owes an answer that never comes.
fn silent(script: Script) -> bool {
    let starting = matches!(
        script.starting,
        Starting::Silent | Starting::ReplyLost | Starting::Reborn
    );
    starting || script.reserving == Reserving::Silent || script.running == Running::PullLost
}

/// Makes one request; tells what the caller got and how often `good` ran it.
async fn try_both(script: Script, stream: bool, repeatable: bool) -> (Got, u32) {
    let (bad, good) = (
        Fake::new("bad", script),
        Fake::new("good", Script::default()),
    );
    let fakes = [bad, Rc::clone(&good)];
    let state = match silent(script) {
        true => entry(&fakes, 1).await,
        false => unhurried(&fakes, 1, PlacementMode::LateBinding).await,
    };
    let got = call(&state, request(stream, repeatable)).await;
    (got, good.starts.get())
}

fn bad() -> Got {
    Got::whole("bad0 bad1 ")
}

fn good() -> Got {
    Got::whole("good0 good1 ")
}

fn unknown() -> Got {
    Got::refused("", Refusal::OutcomeUnknown, Executed::Unknown)
}

// The caller gets its whole answer from the other server. The first sidecar
// refuses, drains or never answers the reservation. No work was handed out,
// so even a request that must not be repeated goes elsewhere.
#[rstest]
#[case::refused(Reserving::Refuse(Refusal::Shed))]
#[case::draining(Reserving::Refuse(Refusal::Draining))]
#[case::silent(Reserving::Silent)]
#[actix_rt::test]
async fn grant_unreserved(#[case] script: Reserving) {
    let got = try_both(reserving(script), true, false).await;
    assert_eq!(got, (good(), 1));
}

// The caller gets the whole answer of the first run. The start takes effect
// but its answer is lost; the same start for the same life of the sidecar is
// sent again and answered "running", so nothing runs twice.
#[actix_rt::test]
async fn grant_start_reply_lost() {
    let got = try_both(starting(Starting::ReplyLost), true, false).await;
    assert_eq!(got, (bad(), 0));
}

// A repeatable request is answered by the other server, any other is told
// that its outcome is unknown. The start gets no answer, and then the sidecar
// has a new life, or stays silent: the first start may have run.
#[rstest]
#[case::reborn_repeatable(Starting::Reborn, true, good(), 1)]
#[case::reborn_once(Starting::Reborn, false, unknown(), 0)]
#[case::silent_repeatable(Starting::Silent, true, good(), 1)]
#[case::silent_once(Starting::Silent, false, unknown(), 0)]
#[actix_rt::test]
async fn grant_start_unknown(
    #[case] script: Starting,
    #[case] repeatable: bool,
    #[case] expected: Got,
    #[case] starts: u32,
) {
    let got = try_both(starting(script), true, repeatable).await;
    assert_eq!(got, (expected, starts));
}

// Even a request that must not be repeated is answered by the other server.
// The hold lapses, or the sidecar restarts, before the first start comes: the
// only start ever sent was refused, so it certainly did not run.
#[rstest]
#[case::lapsed(Starting::Lapsed)]
#[case::reborn(Starting::RebornBefore)]
#[actix_rt::test]
async fn grant_start_refused(#[case] script: Starting) {
    let got = try_both(starting(script), true, false).await;
    assert_eq!(got, (good(), 1));
}

// The backend server fails before the first piece. Known not to have run, any
// request goes elsewhere; if it may have run, only a repeatable one does, and
// the other's caller is told that this is not known.
#[rstest]
#[case::not_run(Executed::No, false, good(), 1)]
#[case::repeatable(Executed::Unknown, true, good(), 1)]
#[case::once(
    Executed::Unknown,
    false,
    Got::refused("", Refusal::BackendFailed, Executed::Unknown),
    0
)]
#[actix_rt::test]
async fn answer_failed_early(
    #[case] ran: Executed,
    #[case] repeatable: bool,
    #[case] expected: Got,
    #[case] starts: u32,
) {
    let got = try_both(running(Running::Broken(0, ran)), true, repeatable).await;
    assert_eq!(got, (expected, starts));
}

// The backend server fails after the first piece. A streaming caller has that
// piece and gets an honest end, never the words of another run after it. One
// that takes the answer whole has nothing yet and gets the second run's.
#[rstest]
#[case::streaming(
    true,
    true,
    Got::refused("bad0 ", Refusal::BackendFailed, Executed::Partial),
    0
)]
#[case::whole(false, true, good(), 1)]
#[case::whole_once(
    false,
    false,
    Got::refused("", Refusal::BackendFailed, Executed::Partial),
    0
)]
#[actix_rt::test]
async fn answer_failed_late(
    #[case] stream: bool,
    #[case] repeatable: bool,
    #[case] expected: Got,
    #[case] starts: u32,
) {
    let script = running(Running::Broken(1, Executed::Partial));
    let got = try_both(script, stream, repeatable).await;
    assert_eq!(got, (expected, starts));
}

// The caller gets its whole answer after a pause. The connection goes silent
// while a pull is out; the entry dials anew and pulls by ticket from the same
// piece on, so nothing is lost or doubled.
#[rstest]
#[case::repeatable(true)]
#[case::once(false)]
#[actix_rt::test]
async fn answer_connection_silent(#[case] repeatable: bool) {
    let got = try_both(running(Running::PullLost), true, repeatable).await;
    assert_eq!(got, (bad(), 0));
}

// Callers are refused at once, with the sidecars' own estimate of when to come
// back. All servers refuse at the same time; were each request offered to each
// server, a thousand requests would make five thousand. Only grants earn
// retries and nothing is granted, so no more than ten are made in all. The
// first five requests make two each, which ask the four other servers.
#[actix_rt::test]
async fn grant_all_refuse() {
    let script = reserving(Reserving::Refuse(Refusal::Shed));
    let fakes = ["f0", "f1", "f2", "f3", "f4"].map(|name| Fake::new(name, script));
    let state = unhurried(&fakes, 1, PlacementMode::LateBinding).await;

    for _ in 0..1000 {
        let got = call(&state, request(true, true)).await;
        assert_eq!(got, Got::refused("", Refusal::Shed, Executed::No));
    }
    let asked: u32 = fakes.iter().map(|f| f.reserves.get()).sum();
    assert_eq!(asked, 1000 + 5 * 4);

    let refused = entry::dispatch::grant(&state, &request(true, true)).await;
    let after = refused.err().and_then(|r| r.retry_after);
    assert_eq!(after, Some(std::time::Duration::from_secs(7)));
}

// Every run fails at every server at once. Each of the hundred requests is
// granted, which earns a tenth of a retry; beyond those saved up there are so
// no more than a tenth more runs than requests.
#[actix_rt::test]
async fn grant_all_fail() {
    let script = running(Running::Broken(0, Executed::No));
    let fakes = ["f0", "f1", "f2", "f3", "f4"].map(|name| Fake::new(name, script));
    let state = unhurried(&fakes, 1, PlacementMode::LateBinding).await;

    for _ in 0..100 {
        let got = call(&state, request(true, true)).await;
        assert_eq!(got.end.map_err(|(_, ran)| ran), Err(Executed::No));
    }
    let started: u32 = fakes.iter().map(|f| f.starts.get()).sum();
    assert!(started <= 100 + 10 + 12, "{started} runs");
}

// The caller is refused at once, as not run. No sidecar is known, or the only
// one cannot be reached.
#[rstest]
#[case::unknown(false)]
#[case::unreachable(true)]
#[actix_rt::test]
async fn grant_no_server(#[case] known: bool) {
    // A port that nobody listens on any more.
    let gone = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = gone.local_addr().unwrap();
    drop(gone);
    let sidecar = SidecarInfo {
        name: "gone".to_owned(),
        addr,
        zone: "a".to_owned(),
        serves: "model".to_owned(),
    };
    let state = state(
        known.then_some(sidecar).into_iter().collect(),
        2,
        PlacementMode::LateBinding,
    );
    let got = call(&state, request(true, true)).await;
    assert_eq!(got, Got::refused("", Refusal::NoServer, Executed::No));
}

// A draining sidecar is asked once and then left alone: its load says that it
// drains, so the second request is refused without a call.
#[actix_rt::test]
async fn grant_draining() {
    let script = Script {
        draining: true,
        ..reserving(Reserving::Refuse(Refusal::Draining))
    };
    let fake = Fake::new("only", script);
    let state = entry(std::slice::from_ref(&fake), 2).await;
    for _ in 0..2 {
        let got = call(&state, request(true, true)).await;
        assert_eq!(got, Got::refused("", Refusal::NoServer, Executed::No));
    }
    assert_eq!(fake.reserves.get(), 1);
}

// A caller goes away while its request is reserved or runs. What was held or
// begun for it is cancelled, so that no slot and no token is spent for nobody.
#[actix_rt::test]
async fn grant_caller_gone() {
    let fake = Fake::new("only", Script::default());
    let state = entry(std::slice::from_ref(&fake), 2).await;
    let request = request(true, true);
    let granted = entry::dispatch::grant(&state, &request).await;
    drop(granted);

    while fake.cancels.borrow().is_empty() {
        tokio::time::sleep(std::time::Duration::from_millis(1)).await;
    }
    assert_eq!(*fake.cancels.borrow(), [request.ticket]);
}
