//! Streams that may run only once, continued from the copy of their KV cache at
//! a second engine.

use std::rc::Rc;
use std::time::Duration;

use base::clock::{Clock, ManualClock};
use policy::backup::MIN_TIME_LEFT;
use policy::balance::{ServerFeedback, ServerRecord};
use policy::moves::CopyOutcome;
use policy::routes::CallKind;
use rstest::rstest;
use tokio::io::{AsyncReadExt, AsyncWriteExt};

use crate::common::{
    Action, Entry, FAILED, Health, NOT_RUN, OK, Plan, WRONG_SERVER, header, request, status,
};

/// A live stream, for which a copy is worth its cost.
const LIVE: &str = "call-id: 1\r\nprompt: 715\r\noutput: 280\r\n";

/// A call dominated by its prompt.
const LONG_PROMPT: &str = "call-id: 1\r\nprompt: 9190\r\noutput: 50\r\n";

/// Event 1 and a part of event 2.
const PARTIAL: &str = "HTTP/1.1 200 OK\r\ncall-id: {id}\r\nseal: one\r\nby: one\r\n\
    Transfer-Encoding: chunked\r\n\r\n\
    f\r\nid: 1\ndata: a\n\n\r\n8\r\nid: 2\nda\r\n";

/// A part of event 1.
const NO_EVENT: &str = "HTTP/1.1 200 OK\r\ncall-id: {id}\r\nseal: one\r\n\
    Transfer-Encoding: chunked\r\n\r\n8\r\nid: 1\nda\r\n";

/// The head of a stream.
const HEAD: &str =
    "HTTP/1.1 200 OK\r\ncall-id: {id}\r\nseal: one\r\nTransfer-Encoding: chunked\r\n\r\n";

/// The rest of the stream after event 1, from another server.
const REMAINDER: &str = "HTTP/1.1 200 OK\r\ncall-id: {id}\r\nseal: two\r\nby: two\r\n\
    extra: 1\r\nTransfer-Encoding: chunked\r\n\r\nf\r\nid: 2\ndata: b\n\n\r\n0\r\n\r\n";

/// The whole stream, from another server.
const WHOLE: &str = "HTTP/1.1 200 OK\r\ncall-id: {id}\r\nseal: two\r\n\
    Transfer-Encoding: chunked\r\n\r\n\
    f\r\nid: 1\ndata: a\n\n\r\nf\r\nid: 2\ndata: b\n\n\r\n0\r\n\r\n";

/// A continuation at the wrong event.
const WRONG_EVENT: &str = "HTTP/1.1 200 OK\r\ncall-id: {id}\r\nseal: two\r\n\
    Transfer-Encoding: chunked\r\n\r\nf\r\nid: 3\ndata: c\n\n\r\n0\r\n\r\n";

/// A continuation that repeats the event that the caller has.
const REPEATED_EVENT: &str = "HTTP/1.1 200 OK\r\ncall-id: {id}\r\nseal: two\r\n\
    Transfer-Encoding: chunked\r\n\r\nf\r\nid: 1\ndata: a\n\n\r\n0\r\n\r\n";

/// Two engines that declare backups and moves, and an entry with the setting for backups.
fn plan(actions: &[Action]) -> Plan {
    Plan {
        engine: true,
        backups: true,
        declared: true,
        moves: true,
        ..Plan::new(CallKind::Stream, 3, actions)
    }
}

/// The events of a response, and whether it ended as a complete one.
fn events(answer: &str) -> (Vec<&str>, bool) {
    let body = answer.split_once("\r\n\r\n").map_or("", |(_, b)| b);
    let events = body.lines().filter(|l| l.starts_with("data: "));
    let complete = body.ends_with("0\r\n\r\n");
    (events.map(|l| &l["data: ".len()..]).collect(), complete)
}

/// Asserts that the second request continues the run of the first at the engine
/// with its copy.
fn assert_continues(entry: &Entry, requests: &[String]) {
    let [first, second] = requests else {
        panic!("{} requests", requests.len());
    };
    let backup = header(first, "backup").expect("a copy was asked for");
    assert!(header(first, "kv-from").is_none());
    assert_eq!(header(second, "kv-from"), Some(format!("{backup}/1")));
    assert!(header(second, "backup").is_none());
    assert_ne!(header(first, "server"), header(second, "server"));
    // The intended incarnation is the one at the address of the copy.
    let server = header(second, "server").expect("an intended server");
    let addr = entry.state.balancer.borrow().addr(&server);
    assert_eq!(addr.map(|a| a.to_string()), Some(backup));
    assert_eq!(header(first, "call-id"), header(second, "call-id"));
    assert_eq!(first.lines().next(), second.lines().next());
    assert!(second.ends_with("body"));
}

/// Guards against a copy at an engine of another version, where the stream must not go on.
#[actix_rt::test]
async fn copy_at_another_version() {
    let plan = Plan {
        versions: &["v1", "v2"],
        ..plan(&[Action::SendReset(PARTIAL), Action::Send(REMAINDER)])
    };
    let entry = Entry::start(plan).await;
    let answer = entry.call(LIVE).await;
    assert_eq!(events(&answer), (vec!["a"], false));
    let requests = entry.servers.requests();
    assert_eq!(requests.len(), 1);
    assert!(header(&requests[0], "backup").is_none());
}

fn copied(handle: &str) -> CopyOutcome {
    CopyOutcome::Copied {
        handle: handle.to_owned(),
        events: 1,
    }
}

fn refused(handle: Option<&str>) -> CopyOutcome {
    let handle = handle.map(str::to_owned);
    CopyOutcome::Refused { handle }
}

/// The record of an engine that serves calls.
fn serving(entry: &Entry, id: &str) -> ServerRecord {
    let serving = entry.state.balancer.borrow().serving("app");
    let mut records = serving.into_iter().map(|(record, _)| record);
    records.find(|r| *r.id == *id).expect("a serving engine")
}

/// Tokens that the entry counts for copies at both engines.
fn held(entry: &Entry) -> u64 {
    let copies = entry.state.copies.borrow();
    copies.held_tokens("s1") + copies.held_tokens("s2")
}

/// An engine crashes in the middle of an event. The caller must get one unbroken
/// stream with the first engine's headers, and the copy must not be counted for
/// longer than the stream runs.
#[rstest]
#[case::reset(Action::SendReset(PARTIAL))]
#[case::closed(Action::SendClose(PARTIAL))]
#[actix_rt::test]
async fn crash_continued_as_one_stream(#[case] crash: Action) {
    let entry = Entry::start(plan(&[crash, Action::Send(REMAINDER)])).await;
    let answer = entry.call(LIVE).await;
    assert_eq!(status(&answer), "200");
    assert_eq!(events(&answer), (vec!["a", "b"], true));
    assert_eq!(header(&answer, "seal").as_deref(), Some("one"));
    assert_eq!(header(&answer, "by").as_deref(), Some("one"));
    assert!(header(&answer, "extra").is_none());
    let requests = entry.servers.requests();
    assert_continues(&entry, &requests);
    assert_eq!(header(&requests[1], "last-event").as_deref(), Some("1"));
    assert_eq!(entry.take_all_retries(), 19);
    assert_eq!(held(&entry), 0);
}

/// An engine crashes after it got the call and before the caller has any event.
/// A call that crashes engines on arrival must not reach a second one, which
/// would run it a second time.
#[rstest]
#[case::before_the_head("", "502")]
#[case::before_the_body(HEAD, "502")]
#[case::inside_the_first_event(NO_EVENT, "200")]
#[actix_rt::test]
async fn crash_before_first_event_not_continued(#[case] sent: &'static str, #[case] code: &str) {
    let actions = [Action::SendReset(sent), Action::Send(WHOLE)];
    let entry = Entry::start(plan(&actions)).await;
    let answer = entry.call(LIVE).await;
    assert_eq!(status(&answer), code);
    assert_eq!(events(&answer), (Vec::new(), false));
    assert_eq!(entry.servers.requests().len(), 1);
}

/// Guards against two engines at work on a stream whose answer is lost while its engine goes
/// on with it: the engine must have said that it does not run it before another one gets it.
#[rstest]
#[case::stopped(copied("h"), Some("h"))]
#[case::stopped_without_room(refused(Some("h")), Some("1"))]
#[case::ended(CopyOutcome::NoRun, Some("1"))]
#[case::refused(refused(None), None)]
#[case::busy(CopyOutcome::Busy, None)]
#[case::silent(CopyOutcome::NoAnswer("timeout".to_owned()), None)]
#[actix_rt::test]
async fn lost_answer_continues_beside_its_run(
    #[case] answer: CopyOutcome,
    #[case] copy: Option<&str>,
    #[values(false, true)] moves_enabled: bool,
) {
    let entry = Entry::start(Plan {
        moves_enabled,
        ..plan(&[Action::SendReset(PARTIAL), Action::Send(REMAINDER)])
    })
    .await;
    entry.servers.set_stop_answer(answer);
    let caller = entry.call(LIVE).await;
    let requests = entry.servers.requests();
    let addr = |request: &str, name: &str| header(request, name).expect("a header");
    let engine = serving(&entry, &addr(&requests[0], "server")).addr;
    let backup = addr(&requests[0], "backup");
    assert!(
        entry
            .servers
            .stops()
            .iter()
            .all(|stop| *stop == (engine, 1))
    );
    assert!(!entry.servers.stops().is_empty());
    let Some(copy) = copy else {
        assert_eq!(events(&caller), (vec!["a"], false));
        assert_eq!(requests.len(), 1);
        return;
    };
    assert_eq!(events(&caller), (vec!["a", "b"], true));
    let from = match copy {
        "h" => format!("{engine}/h"),
        own => format!("{backup}/{own}"),
    };
    assert_eq!(header(&requests[1], "kv-from"), Some(from));
}

/// Guards against two engines at work where engines can't be told to stop a run: another one
/// may go on only if the first was shown to have ended.
#[rstest]
#[case::alive(Health::Same, false)]
#[case::alive_and_leaving(Health::Leaving, false)]
#[case::unnamed(Health::Unnamed, false)]
#[case::closed(Health::Closed, false)]
#[case::silent(Health::Silent, false)]
#[case::replaced(Health::Other, true)]
#[actix_rt::test]
async fn lost_answer_continues_beside_unstoppable_run(
    #[case] health: Health,
    #[case] continues: bool,
) {
    let entry = Entry::start(Plan {
        moves: false,
        ..plan(&[Action::SendReset(PARTIAL), Action::Send(REMAINDER)])
    })
    .await;
    entry.servers.set_health(health);
    let answer = entry.call(LIVE).await;
    let expected = if continues { vec!["a", "b"] } else { vec!["a"] };
    assert_eq!(events(&answer), (expected, continues));
    assert_eq!(entry.servers.stops(), []);
}

/// The engine with the copy does not continue the stream. It must end as without
/// a copy, visibly incomplete, and no third request may run it again.
#[rstest]
#[case::no_copy(Action::Send(NOT_RUN))]
#[case::other_server(Action::Send(WRONG_SERVER))]
#[case::failed(Action::Send(FAILED))]
#[case::crashed_at_once(Action::SendReset(""))]
#[case::no_stream(Action::Send(OK))]
#[case::event_missing(Action::Send(WRONG_EVENT))]
#[case::event_repeated(Action::Send(REPEATED_EVENT))]
#[actix_rt::test]
async fn failed_continuation_ends_stream(#[case] second: Action) {
    let actions = [Action::SendReset(PARTIAL), second, Action::Send(REMAINDER)];
    let entry = Entry::start(plan(&actions)).await;
    let answer = entry.call(LIVE).await;
    assert_eq!(events(&answer), (vec!["a"], false));
    assert!(!answer.contains("hello"));
    assert_continues(&entry, &entry.servers.requests());
}

/// The second engine also crashes in the middle of the stream. There is no other
/// copy, so that the stream must end visibly incomplete.
#[actix_rt::test]
async fn second_crash_ends_stream() {
    let second = "HTTP/1.1 200 OK\r\ncall-id: {id}\r\nseal: two\r\n\
        Transfer-Encoding: chunked\r\n\r\nf\r\nid: 2\ndata: b\n\n\r\n8\r\nid: 3\nda\r\n";
    let actions = [
        Action::SendReset(PARTIAL),
        Action::SendReset(second),
        Action::Send(REMAINDER),
    ];
    let entry = Entry::start(plan(&actions)).await;
    let answer = entry.call(LIVE).await;
    assert_eq!(events(&answer), (vec!["a", "b"], false));
    assert_continues(&entry, &entry.servers.requests());
    // The engine keeps the copy of a run that has not ended successfully.
    assert_eq!(held(&entry), 715 + 280);
}

/// The caller disconnects while the second engine continues the stream. Its
/// connection must be closed, or it would go on for nobody.
#[actix_rt::test]
async fn disconnect_cancels_continuation() {
    let actions = [Action::SendReset(PARTIAL), Action::Silent];
    let entry = Entry::start(plan(&actions)).await;
    let mut stream = entry.connect().await;
    let sent = stream.write_all(request(LIVE, "").as_bytes()).await;
    sent.expect("sent");
    let mut part = [0; 1 << 10];
    while entry.servers.requests().len() < 2 {
        let read = stream.read(&mut part);
        let read = tokio::time::timeout(Duration::from_millis(5), read).await;
        assert!(!matches!(read, Ok(Ok(0) | Err(_))), "the stream has ended");
    }
    drop(stream);
    entry.servers.wait_closed().await;
    assert_continues(&entry, &entry.servers.requests());
}

/// The call's deadline passes while its engine stalls, or while the second one
/// does. A stall is no break, and nothing may be sent after the deadline.
#[rstest]
#[case::stall(&[Action::Send(PARTIAL)])]
#[case::stall_of_the_second(&[Action::SendReset(PARTIAL), Action::Silent])]
#[actix_rt::test]
async fn nothing_sent_after_deadline(#[case] actions: &[Action]) {
    let entry = Entry::start(Plan {
        timeout: MIN_TIME_LEFT + Duration::from_millis(200),
        ..plan(actions)
    })
    .await;
    let answer = entry.call(LIVE).await;
    assert_eq!(events(&answer), (vec!["a"], false));
    let requests = entry.servers.requests();
    assert!(header(&requests[0], "backup").is_some());
    assert_eq!(requests.len(), actions.len());
}

/// The setting is off, the engines do not declare backups, or a copy is not worth
/// its cost. No header may be sent, and a broken stream must end as before.
#[rstest]
#[case::setting_off(LIVE, Plan { backups: false, ..plan(&[]) })]
#[case::not_declared(LIVE, Plan { declared: false, ..plan(&[]) })]
#[case::no_engine(LIVE, Plan { engine: false, ..plan(&[]) })]
#[case::long_prompt(LONG_PROMPT, plan(&[]))]
#[case::no_request_id("prompt: 715\r\noutput: 280\r\n", plan(&[]))]
#[case::little_time("patience-ms: 900\r\ncall-id: 1\r\nprompt: 715\r\noutput: 280\r\n", plan(&[]))]
#[actix_rt::test]
async fn no_copy_without_need(#[case] headers: &str, #[case] plan: Plan) {
    let actions = vec![Action::SendReset(PARTIAL), Action::Send(REMAINDER)];
    let entry = Entry::start(Plan { actions, ..plan }).await;
    let answer = entry.call(headers).await;
    assert!(!events(&answer).1);
    let requests = entry.servers.requests();
    assert_eq!(requests.len(), 1);
    assert!(header(&requests[0], "backup").is_none());
}

/// Only streams that may run once need a copy. Other calls must be sent as
/// before, and a call that may run once must not get a second run.
#[rstest]
#[case::once(CallKind::Once, 1)]
#[case::resumable(CallKind::Resumable, 2)]
#[case::idempotent(CallKind::Idempotent, 2)]
#[actix_rt::test]
async fn other_kinds_unchanged(#[case] kind: CallKind, #[case] sends: usize) {
    let actions = [Action::SendReset(""), Action::Send(OK)];
    let entry = Entry::start(Plan {
        kind,
        ..plan(&actions)
    })
    .await;
    entry.call(LIVE).await;
    let requests = entry.servers.requests();
    assert_eq!(requests.len(), sends);
    for request in requests {
        assert!(header(&request, "backup").is_none());
        assert!(header(&request, "kv-from").is_none());
    }
}

/// A call is refused by the first engine and runs at the second. The copy must be
/// at another engine than the one that runs it, and the copy for the first one
/// must not stay counted.
#[actix_rt::test]
async fn refused_call_gets_another_copy() {
    let actions = [
        Action::Send(NOT_RUN),
        Action::SendReset(PARTIAL),
        Action::Send(REMAINDER),
    ];
    let entry = Entry::start(plan(&actions)).await;
    let answer = entry.call(LIVE).await;
    assert_eq!(events(&answer), (vec!["a", "b"], true));
    let requests = entry.servers.requests();
    assert_continues(&entry, &requests[1..]);
    assert_ne!(
        header(&requests[0], "backup"),
        header(&requests[1], "backup")
    );
    assert_eq!(held(&entry), 0);
}

/// A success that does not come from the engine breaks off the call. The engine
/// may go on with it behind an intermediary, so that it must not be sent again.
#[actix_rt::test]
async fn unsealed_success_not_continued() {
    let unsealed = "HTTP/1.1 200 OK\r\ncall-id: {id}\r\nContent-Length: 5\r\n\r\nhello";
    let entry = Entry::start(plan(&[Action::Send(unsealed), Action::Send(WHOLE)])).await;
    assert_eq!(status(&entry.call(LIVE).await), "502");
    assert_eq!(entry.servers.requests().len(), 1);
}

/// Before the first engine crashes, the engine with the copy announces that it
/// leaves, asks for backoff or restarts, the retry budget is exhausted, or the
/// deadline passes. An engine that leaves or backs off must get no new work, a new
/// incarnation has no copy, retries are limited, and nothing is sent after the
/// deadline.
#[rstest]
#[case::leaving(Change::Leaving)]
#[case::backing_off(Change::BackingOff)]
#[case::restarted(Change::Restarted)]
#[case::no_retry(Change::NoRetry)]
#[case::deadline_passed(Change::DeadlinePassed)]
#[actix_rt::test]
async fn unavailable_copy_not_asked(#[case] change: Change) {
    let clock = ManualClock::new();
    let entry = Entry::start(Plan {
        clock: Rc::new(clock.clone()),
        ..plan(&[Action::Send(PARTIAL), Action::Send(REMAINDER)])
    })
    .await;
    let mut stream = entry.connect().await;
    let sent = stream
        .write_all(request(LIVE, "Connection: close\r\n").as_bytes())
        .await;
    sent.expect("sent");
    let mut all = Vec::new();
    while !String::from_utf8_lossy(&all).contains("data: a") {
        stream.read_buf(&mut all).await.expect("the first event");
    }
    let first = header(&entry.servers.requests()[0], "server");
    let second = if first.as_deref() == Some("s1") {
        "s2"
    } else {
        "s1"
    };
    match change {
        Change::Leaving => entry.mark_leaving(second),
        Change::BackingOff => {
            let feedback = ServerFeedback {
                backoff: Some(Duration::from_secs(5)),
                ..ServerFeedback::default()
            };
            let (now, record) = (clock.now(), serving(&entry, second));
            let mut balancer = entry.state.balancer.borrow_mut();
            balancer.apply_feedback(now, &record, now, &feedback, 0.0);
        }
        Change::Restarted => {
            let restarted = ServerRecord {
                started_ms: Some(1),
                ..serving(&entry, second)
            };
            let mut balancer = entry.state.balancer.borrow_mut();
            balancer.upsert(clock.now(), restarted);
        }
        Change::NoRetry => {
            entry.take_all_retries();
        }
        Change::DeadlinePassed => clock.advance(Duration::from_secs(6)),
    }
    entry.servers.reset_connections();
    let _ = stream.read_to_end(&mut all).await;
    let answer = String::from_utf8_lossy(&all);
    assert_eq!(events(&answer), (vec!["a"], false));
    assert_eq!(entry.servers.requests().len(), 1);
}

/// What happens to the engine with the copy before the first one crashes.
#[derive(Debug)]
enum Change {
    Leaving,
    BackingOff,
    Restarted,
    NoRetry,
    DeadlinePassed,
}
