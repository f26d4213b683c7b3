//! Calls with a part of a prompt under which servers crash.

use std::rc::Rc;
use std::time::Duration;

use forward::crashes;
use forward::state::State;
use policy::routes::CallKind;
use policy::suspects::{Crash, CrashReport, Fingerprint};
use rstest::rstest;

use crate::common::{Action, Entry, NOT_RUN, OK, Plan, WRONG_SERVER, header, status};
use crate::streams::{PARTIAL, REMAINDER};

/// A call whose prompt has the fatal part 7.
const CALL: &str = "call-id: 1\r\nparts: 1:100,7:50,9:10\r\n";

/// Adds reports of crashes under calls with part 7, the last of which was seen `age` ago.
pub(crate) fn accuse(state: &Rc<State>, age: Duration) {
    for n in 0..3u64 {
        let report = CrashReport {
            crash: Crash {
                fingerprint: Fingerprint::from_parts(&[&n.to_le_bytes()]),
                incarnation: n,
            },
            age: age + Duration::from_millis(600 - 200 * n),
            run: Duration::from_millis(100),
            just_began: false,
            shared_parts: vec![7],
        };
        crashes::add_report(state, state.clock.now(), &report);
    }
}

/// Starts a call, and accuses the part once a server has received it.
async fn accuse_during_call(entry: &Rc<Entry>) -> String {
    let (caller, state) = (Rc::clone(entry), Rc::clone(&entry.state));
    let call = actix_rt::spawn(async move { caller.call(CALL).await });
    while entry.servers.requests().is_empty() {
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
    accuse(&state, Duration::ZERO);
    call.await.expect("an answer")
}

/// Guards against sending a call with a fatal part, and against a refusal that claims more
/// than that it has not run.
#[rstest]
#[case::once(CallKind::Once)]
#[case::stream(CallKind::Stream)]
#[case::resumable(CallKind::Resumable)]
#[actix_rt::test]
async fn new_call_with_fatal_part_refused(#[case] kind: CallKind) {
    let entry = Entry::start(Plan::new(kind, 2, &[])).await;
    accuse(&entry.state, Duration::ZERO);
    let answer = entry.call(CALL).await;
    assert_eq!(status(&answer), "503");
    assert!(header(&answer, "retry-after").is_some(), "{answer}");
    assert_eq!(entry.servers.requests().len(), 0);
    let sound = entry.call("call-id: 2\r\nparts: 1:100,7:10\r\n").await;
    assert_eq!(status(&sound), "200");
}

/// Guards against repeating a call with a part that became known as fatal while the first
/// server had the call.
#[rstest]
#[case::failed(&[Action::SendReset(""), Action::Send(OK)], "502")]
#[case::not_run(&[Action::Delayed(NOT_RUN), Action::Send(OK)], "503")]
#[actix_rt::test]
async fn retry_with_fatal_part_refused(#[case] actions: &[Action], #[case] code: &str) {
    let plan = Plan::new(CallKind::Idempotent, 2, actions);
    let entry = Rc::new(Entry::start(plan).await);
    let answer = accuse_during_call(&entry).await;
    assert_eq!(status(&answer), code);
    assert_eq!(entry.servers.requests().len(), 1);
}

/// Guards against resuming a stream with such a part at another server.
#[actix_rt::test]
async fn resumption_with_fatal_part_refused() {
    let actions = [Action::SendReset(PARTIAL), Action::Send(REMAINDER)];
    let plan = Plan::new(CallKind::Resumable, 2, &actions);
    let entry = Rc::new(Entry::start(plan).await);
    let answer = accuse_during_call(&entry).await;
    assert!(!answer.ends_with("0\r\n\r\n"), "{answer}");
    assert_eq!(entry.servers.requests().len(), 1);
}

/// Guards against overlooking the crash of a server whose address another one takes at once,
/// so that a new connection is not refused.
#[actix_rt::test]
async fn crash_of_replaced_server_counts() {
    let actions = [Action::SendReset(""), Action::Send(WRONG_SERVER)];
    let plan = Plan {
        versions: &[""],
        ..Plan::new(CallKind::Once, 1, &actions)
    };
    let entry = Entry::start(plan).await;
    assert_eq!(status(&entry.call(CALL).await), "502");
    assert_eq!(entry.state.crashes.count(), 0);
    while entry.servers.accepted() < 2 {
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
    // The server is found to be alive before the next call reaches it.
    tokio::task::yield_now().await;
    let other = CALL.replace("call-id: 1", "call-id: 2");
    assert_eq!(status(&entry.call(&other).await), "503");
    assert_eq!(entry.state.crashes.count(), 1);
}

/// Guards against a part being refused for good after the servers were fixed, or although
/// it never was fatal: one call is sent again, and its answer clears the part.
#[actix_rt::test]
async fn part_accepted_after_trial() {
    let entry = Entry::start(Plan::new(CallKind::Once, 1, &[])).await;
    accuse(&entry.state, Duration::from_secs(10));
    assert_eq!(entry.state.crashes.accused_parts(), 1);
    for id in 1..4 {
        let call = CALL.replace("call-id: 1", &format!("call-id: {id}"));
        assert_eq!(status(&entry.call(&call).await), "200");
    }
    assert_eq!(entry.state.crashes.accused_parts(), 0);
}

/// Guards against a trial by an entry that does not know which others make one.
#[actix_rt::test]
async fn no_trial_while_entries_are_unknown() {
    let plan = Plan {
        seeds: vec![([127, 0, 0, 9], 1).into()],
        ..Plan::new(CallKind::Once, 1, &[])
    };
    let entry = Entry::start(plan).await;
    accuse(&entry.state, Duration::from_secs(10));
    assert_eq!(status(&entry.call(CALL).await), "503");
    assert_eq!(entry.servers.requests().len(), 0);
}
