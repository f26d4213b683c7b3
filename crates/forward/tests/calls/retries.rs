//! Which calls may be sent to a second server.

use std::rc::Rc;
use std::time::{Duration, Instant};

use policy::balance::TurnSchedule;
use policy::routes::CallKind;
use rstest::rstest;

use crate::common::{
    Action, Entry, FAILED, NOT_RUN, OK, Plan, Servers, WRONG_SERVER, header, listed, request,
    status,
};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

const ID: &str = "call-id: 1\r\n";

/// A connection is reset after a non-idempotent call was sent on it. The server
/// may have run the call, so the caller must get 502 and no second server may
/// receive it.
#[actix_rt::test]
async fn once_not_retried_after_reset() {
    let actions = [Action::SendReset("")];
    let entry = Entry::start(Plan::new(CallKind::Once, 2, &actions)).await;
    let answer = entry.call(ID).await;
    assert_eq!(status(&answer), "502");
    assert_eq!(entry.servers.requests().len(), 1);
}

/// The same for an idempotent call: the second server must answer, and the
/// caller must see nothing of the first response.
#[rstest]
#[case::reset(Action::SendReset(""))]
#[case::closed(Action::SendClose(""))]
#[case::cut_short(Action::SendClose(
    "HTTP/1.1 200 OK\r\ncall-id: {id}\r\nseal: s\r\nContent-Length: 9\r\n\r\nhello"
))]
#[case::no_http(Action::SendClose("what?\r\n\r\n"))]
#[case::unsealed(Action::Send("HTTP/1.1 200 OK\r\ncall-id: {id}\r\nContent-Length: 2\r\n\r\nno"))]
#[case::of_another_call(Action::Send(
    "HTTP/1.1 200 OK\r\ncall-id: other\r\nseal: s\r\nContent-Length: 2\r\n\r\nno"
))]
#[case::encoded(Action::Send(
    "HTTP/1.1 200 OK\r\ncall-id: {id}\r\nseal: s\r\nContent-Encoding: br\r\nContent-Length: 2\r\n\r\nno"
))]
#[case::failed(Action::Send(FAILED))]
#[actix_rt::test]
async fn idempotent_retried(#[case] first: Action) {
    let entry = Entry::start(Plan::new(CallKind::Idempotent, 2, &[first])).await;
    let answer = entry.call(ID).await;
    assert_eq!(status(&answer), "200");
    assert!(answer.ends_with("hello"));
    let requests = entry.servers.requests();
    assert_eq!(requests.len(), 2);
    assert_ne!(
        header(&requests[0], "server"),
        header(&requests[1], "server")
    );
}

/// The same invalid responses to a non-idempotent call. None may be passed on
/// as a success, and none may lead to a second attempt.
#[rstest]
#[case::cut_short(Action::SendClose(
    "HTTP/1.1 200 OK\r\ncall-id: {id}\r\nseal: s\r\nContent-Length: 9\r\n\r\nhello"
))]
#[case::no_http(Action::SendClose("what?\r\n\r\n"))]
#[case::unsealed(Action::Send("HTTP/1.1 200 OK\r\ncall-id: {id}\r\nContent-Length: 2\r\n\r\nno"))]
#[case::of_another_call(Action::Send(
    "HTTP/1.1 200 OK\r\ncall-id: other\r\nseal: s\r\nContent-Length: 2\r\n\r\nno"
))]
#[case::reset_without_length(Action::SendReset(
    "HTTP/1.1 200 OK\r\ncall-id: {id}\r\nseal: s\r\n\r\nhel"
))]
#[actix_rt::test]
async fn invalid_response_is_no_success(#[case] first: Action) {
    let entry = Entry::start(Plan::new(CallKind::Once, 2, &[first])).await;
    let answer = entry.call(ID).await;
    assert_eq!(status(&answer), "502");
    assert!(header(&answer, "seal").is_none());
    assert_eq!(entry.servers.requests().len(), 1);
}

/// A server states that it did not run the call. Even a non-idempotent call
/// must then go to the next server.
#[actix_rt::test]
async fn not_run_goes_to_next_server() {
    let entry = Entry::start(Plan::new(CallKind::Once, 2, &[Action::Send(NOT_RUN)])).await;
    assert_eq!(status(&entry.call(ID).await), "200");
    assert_eq!(entry.servers.requests().len(), 2);
}

/// A server was replaced, and its address belongs to another one before the
/// server list shows it. A call with a single attempt must still go to the next
/// server, and no further call may be sent to the old ID.
#[actix_rt::test]
async fn replaced_server_gets_no_calls() {
    let entry = Entry::start(Plan::new(CallKind::Once, 1, &[Action::Send(WRONG_SERVER)])).await;
    for _ in 0..6 {
        assert_eq!(status(&entry.call(ID).await), "200");
    }
    let requests = entry.servers.requests();
    let old = header(&requests[0], "server");
    assert_eq!(
        requests
            .iter()
            .filter(|r| header(r, "server") == old)
            .count(),
        1
    );
}

/// The same if that server states its own ID but not that of the request.
#[actix_rt::test]
async fn replaced_server_without_request_id_gets_no_calls() {
    let other = "HTTP/1.1 421 Other\r\nnot-run: 1\r\nelsewhere: 1\r\ninstance: new\r\n\
        Content-Length: 0\r\n\r\n";
    let entry = Entry::start(Plan::new(CallKind::Once, 1, &[Action::Send(other)])).await;
    for _ in 0..6 {
        assert_eq!(status(&entry.call(ID).await), "200");
    }
    let requests = entry.servers.requests();
    let old = header(&requests[0], "server");
    let to_old = requests.iter().filter(|r| header(r, "server") == old);
    assert_eq!(to_old.count(), 1);
}

/// Many servers were replaced at once and the retry budget is exhausted. A call
/// rejected by a server that has taken over the address did reach a server, so
/// sending it on would be an uncounted retry. The caller must be told that it
/// has not run.
#[actix_rt::test]
async fn replaced_server_takes_a_retry() {
    let actions = [Action::Send(WRONG_SERVER), Action::Send(WRONG_SERVER)];
    let entry = Entry::start(Plan::new(CallKind::Once, 1, &actions)).await;
    entry.take_all_retries();
    assert_eq!(status(&entry.call(ID).await), "503");
    assert_eq!(entry.servers.requests().len(), 1);
}

/// All servers state that the call did not run. The caller must get a refusal
/// with Retry-After.
#[actix_rt::test]
async fn refusal_has_retry_after() {
    let actions = [Action::Send(NOT_RUN), Action::Send(NOT_RUN)];
    let entry = Entry::start(Plan::new(CallKind::Once, 2, &actions)).await;
    let answer = entry.call(ID).await;
    assert_eq!(status(&answer), "503");
    let after: f64 = header(&answer, "retry-after")
        .and_then(|a| a.parse().ok())
        .expect("a time");
    assert!(after > 0.0);
}

/// The first server may have run the call, the second one did not. A refusal
/// would claim that it has not run, so the caller must get 502.
#[actix_rt::test]
async fn may_have_run_is_no_refusal() {
    let actions = [Action::SendReset(""), Action::Send(NOT_RUN)];
    let entry = Entry::start(Plan::new(CallKind::Idempotent, 2, &actions)).await;
    assert_eq!(status(&entry.call(ID).await), "502");
}

/// A call must not be sent to more servers than its route allows.
#[actix_rt::test]
async fn attempts_bounded() {
    let actions = [
        Action::SendReset(""),
        Action::SendReset(""),
        Action::Send(OK),
    ];
    let entry = Entry::start(Plan::new(CallKind::Idempotent, 1, &actions)).await;
    assert_eq!(status(&entry.call(ID).await), "502");
    assert_eq!(entry.servers.requests().len(), 1);
}

/// Both servers return sealed failures. The caller must get one of them with
/// its seal, not a failure made by the entry.
#[actix_rt::test]
async fn failure_passed_on_unchanged() {
    let actions = [Action::Send(FAILED), Action::Send(FAILED)];
    let entry = Entry::start(Plan::new(CallKind::Idempotent, 2, &actions)).await;
    let answer = entry.call(ID).await;
    assert_eq!(status(&answer), "500");
    assert_eq!(header(&answer, "seal").as_deref(), Some("s"));
    assert!(answer.ends_with("bad"));
}

/// The first server returns a sealed failure and no retry is left. The caller
/// must get that failure; a 502 would hide what happened.
#[actix_rt::test]
async fn failure_kept_without_retries() {
    let actions = [Action::Send(FAILED)];
    let entry = Entry::start(Plan::new(CallKind::Idempotent, 2, &actions)).await;
    let service = std::rc::Rc::from("app");
    let now = entry.state.clock.now();
    while entry
        .state
        .repeat_budget
        .borrow_mut()
        .take_repeat(now, &service)
    {}
    assert_eq!(status(&entry.call(ID).await), "500");
    assert_eq!(entry.servers.requests().len(), 1);
}

/// A server sends a second response after a complete one. If it were taken as
/// the response to the next call on the connection, a caller would get another
/// caller's response. The connection must be dropped and the next call sent on
/// a new one.
#[actix_rt::test]
async fn extra_response_discarded() {
    let duplicate = "HTTP/1.1 200 OK\r\ncall-id: {id}\r\nseal: s\r\nContent-Length: 5\r\n\r\nhello\
         HTTP/1.1 200 OK\r\ncall-id: {id}\r\nseal: s\r\nContent-Length: 5\r\n\r\nextra";
    let entry = Entry::start(Plan::new(CallKind::Once, 1, &[Action::Send(duplicate)])).await;
    for id in ["1", "2", "3", "4"] {
        let answer = entry.call(&format!("call-id: {id}\r\n")).await;
        assert_eq!(status(&answer), "200");
        assert_eq!(header(&answer, "call-id").as_deref(), Some(id));
        assert!(answer.ends_with("hello"));
    }
}

/// A refusal that arrives late from a faulty server must not be taken for the answer to
/// the next call on the connection, which that server runs.
#[rstest]
#[case::rejected("HTTP/1.1 503 Full\r\nnot-run: 1\r\nContent-Length: 0\r\n\r\n")]
#[case::wrong_server(
    "HTTP/1.1 421 Other\r\nnot-run: 1\r\nelsewhere: 1\r\nContent-Length: 0\r\n\r\n"
)]
#[case::failed("HTTP/1.1 500 Failed\r\nseal: s\r\nContent-Length: 3\r\n\r\nbad")]
#[actix_rt::test]
async fn refusal_without_id_is_no_refusal(#[case] refusal: &'static str) {
    let actions = [Action::Send(OK), Action::Send(refusal)];
    let entry = Entry::start(Plan::new(CallKind::Once, 2, &actions)).await;
    assert_eq!(status(&entry.call(ID).await), "200");
    let answer = entry.call(ID).await;
    assert_eq!(status(&answer), "502");
    assert!(header(&answer, "seal").is_none());
    assert_eq!(entry.servers.requests().len(), 2);
    // The connection is not used again.
    assert_eq!(status(&entry.call(ID).await), "200");
    assert!(entry.servers.accepted() >= 2);
}

/// A server closes idle connections. Non-idempotent calls must be sent on new
/// ones, and none may fail.
#[actix_rt::test]
async fn idle_close_fails_no_call() {
    let actions = vec![Action::SendClose(OK); 6];
    let entry = Entry::start(Plan::new(CallKind::Once, 1, &actions)).await;
    for _ in 0..6 {
        assert_eq!(status(&entry.call(ID).await), "200");
    }
    assert_eq!(entry.servers.requests().len(), 6);
}

#[actix_rt::test]
async fn connections_reused() {
    let entry = Entry::start(Plan::new(CallKind::Once, 1, &[])).await;
    for _ in 0..10 {
        assert_eq!(status(&entry.call(ID).await), "200");
    }
    assert!(
        entry.servers.accepted() <= 2,
        "{} connections",
        entry.servers.accepted()
    );
}

/// A server exceeds the route's timeout. The caller must get 504 at that time,
/// and the server's connection must be closed to cancel the call.
#[actix_rt::test]
async fn timeout_answered_and_cancelled() {
    let mut plan = Plan::new(CallKind::Idempotent, 2, &[Action::Silent]);
    plan.timeout = Duration::from_millis(80);
    let entry = Entry::start(plan).await;
    assert_eq!(status(&entry.call(ID).await), "504");
    entry.servers.wait_closed().await;
    assert_eq!(entry.servers.requests().len(), 1);
}

/// The caller disconnects before the response. The server's connection must be
/// closed so that the server cancels the call.
#[actix_rt::test]
async fn disconnect_cancels_call() {
    let entry = Entry::start(Plan::new(CallKind::Idempotent, 2, &[Action::Silent])).await;
    let mut stream = entry.connect().await;
    stream
        .write_all(request(ID, "").as_bytes())
        .await
        .expect("sent");
    while entry.servers.requests().is_empty() {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    drop(stream);
    entry.servers.wait_closed().await;
    assert_eq!(entry.servers.requests().len(), 1);
}

/// A server responds as soon as it has received the head of a long request. If
/// another call were sent on that connection at once, the server would take it
/// for the rest of the body, and then run something that no caller has sent.
#[actix_rt::test]
async fn early_response_corrupts_no_call() {
    let entry = Entry::start(Plan::new(CallKind::Once, 1, &[Action::Early(OK)])).await;
    let body = "x".repeat(1 << 20);
    let length = body.len();
    let head = format!(
        "POST /r/x HTTP/1.1\r\nHost: h.example\r\n{ID}Connection: close\r\n\
         Content-Length: {length}\r\n\r\n{body}"
    );
    let mut stream = entry.connect().await;
    stream.write_all(head.as_bytes()).await.expect("sent");
    let mut answer = Vec::new();
    let _ = stream.read_to_end(&mut answer).await;
    assert_eq!(status(&String::from_utf8_lossy(&answer)), "200");
    for _ in 0..4 {
        assert_eq!(status(&entry.call(ID).await), "200");
    }
    // The long request may have been cut off, but each request must be one that
    // a caller has sent.
    for request in entry.servers.requests() {
        let body = request.split_once("\r\n\r\n").map_or("", |(_, b)| b);
        assert!(request.starts_with("POST /r/"));
        assert!(
            body == "body" || body.len() == length,
            "{} bytes",
            body.len()
        );
    }
}

/// Guards against a rate-limited server getting a call because its service has
/// no other server. The caller must get a refusal with Retry-After.
#[actix_rt::test]
async fn rate_limited_refusal_has_retry_after() {
    let limited = "HTTP/1.1 200 OK\r\ncall-id: {id}\r\nseal: s\r\nlimit: 0.01\r\n\
                   Content-Length: 5\r\n\r\nhello";
    let actions = [
        Action::Send(limited),
        Action::Send(limited),
        Action::Send(limited),
    ];
    let entry = Entry::start(Plan::new(CallKind::Idempotent, 2, &actions)).await;
    set_single_entry(&entry);
    assert_eq!(status(&entry.call(ID).await), "200");
    assert_eq!(status(&entry.call(ID).await), "200");
    let (answer, before) = (entry.call(ID).await, entry.servers.requests().len());
    assert_eq!((status(&answer), before), ("503", 2));
    let after: f64 = header(&answer, "retry-after")
        .and_then(|a| a.parse().ok())
        .expect("a time");
    assert!(after > 0.0 && after <= 100.0, "{after} s");
}

/// Guards against a caller being refused when a rate-limited server accepts its
/// call within a short wait.
#[actix_rt::test]
async fn call_waits_for_next_turn() {
    let limited = "HTTP/1.1 200 OK\r\ncall-id: {id}\r\nseal: s\r\nlimit: 20\r\n\
                   Content-Length: 5\r\n\r\nhello";
    let mut plan = Plan::new(CallKind::Idempotent, 2, &vec![Action::Send(limited); 10]);
    plan.target = Duration::from_secs(4);
    let entry = Entry::start(plan).await;
    set_single_entry(&entry);
    for _ in 0..10 {
        assert_eq!(status(&entry.call(ID).await), "200");
    }
}

/// Tells the entry that it is the only one.
fn set_single_entry(entry: &Entry) {
    entry.state.balancer.borrow_mut().set_turns(TurnSchedule {
        entries: 1,
        turn_index: 0,
        instant: entry.state.clock.now(),
        unix_time: Duration::from_secs(50),
    });
}

/// Guards against refusing a call because the only listed server is dead, while the table may
/// lack running servers: shortly after an outage of the store they register again.
#[actix_rt::test]
async fn dead_server_listed_after_store_outage() {
    let servers = Servers::default();
    let dead = TcpListener::bind("127.0.0.1:0").await.expect("a listener");
    let record = listed("dead", dead.local_addr().expect("an address"));
    drop(dead);
    let plan = Plan::new(CallKind::Once, 1, &[]);
    let entry = Rc::new(Entry::start_with(plan, servers.clone(), vec![record]).await);
    let state = Rc::clone(&entry.state);
    state.tables.store_recovered(state.clock.now());
    let caller = Rc::clone(&entry);
    let mut call = actix_rt::spawn(async move { caller.call(ID).await });
    tokio::select! {
        answer = &mut call => panic!("no server was waited for: {answer:?}"),
        () = state.servers_wanted.notified() => {}
    }
    let live = listed("live", servers.listen("127.0.0.1").await);
    state.balancer.borrow_mut().upsert(Instant::now(), live);
    state.tables.changed.notify_waiters();
    assert_eq!(status(&call.await.expect("an answer")), "200");
}
