//! What may be sent to a second server, and what must not.

use std::time::Duration;

use policy::balance::TurnSchedule;
use policy::routes::CallKind;
use rstest::rstest;

use crate::common::{Act, ELSEWHERE, Entry, FAILED, NOT_RUN, OK, Plan, field, request, status};
use tokio::io::{AsyncReadExt, AsyncWriteExt};

const ID: &str = "call-id: 1\r\n";

/// A kept connection is reset just as a call that may run once goes out on
/// it. The caller gets 502; the server may have run the call, so no second
/// server sees it.
#[actix_rt::test]
async fn once_not_repeated_after_reset() {
    let acts = [Act::SendReset("")];
    let entry = Entry::start(Plan::new(CallKind::Once, 2, &acts)).await;
    let answer = entry.call(ID).await;
    assert_eq!(status(&answer), "502");
    assert_eq!(entry.servers.requests().len(), 1);
}

/// The same for a call that may run as often as need be: the second server
/// answers, and the caller sees nothing of the first.
#[rstest]
#[case::reset(Act::SendReset(""))]
#[case::closed(Act::SendClose(""))]
#[case::cut_short(Act::SendClose(
    "HTTP/1.1 200 OK\r\ncall-id: {id}\r\nseal: s\r\nContent-Length: 9\r\n\r\nhello"
))]
#[case::no_http(Act::SendClose("what?\r\n\r\n"))]
#[case::unsealed(Act::Send("HTTP/1.1 200 OK\r\ncall-id: {id}\r\nContent-Length: 2\r\n\r\nno"))]
#[case::of_another_call(Act::Send(
    "HTTP/1.1 200 OK\r\ncall-id: other\r\nseal: s\r\nContent-Length: 2\r\n\r\nno"
))]
#[case::encoded(Act::Send(
    "HTTP/1.1 200 OK\r\ncall-id: {id}\r\nseal: s\r\nContent-Encoding: br\r\nContent-Length: 2\r\n\r\nno"
))]
#[case::failed(Act::Send(FAILED))]
#[actix_rt::test]
async fn idempotent_repeated(#[case] first: Act) {
    let entry = Entry::start(Plan::new(CallKind::Idempotent, 2, &[first])).await;
    let answer = entry.call(ID).await;
    assert_eq!(status(&answer), "200");
    assert!(answer.ends_with("hello"));
    let requests = entry.servers.requests();
    assert_eq!(requests.len(), 2);
    assert_ne!(field(&requests[0], "server"), field(&requests[1], "server"));
}

/// The same answers to a call that may run once: none is passed on as a
/// success, and none leads to a second run.
#[rstest]
#[case::cut_short(Act::SendClose(
    "HTTP/1.1 200 OK\r\ncall-id: {id}\r\nseal: s\r\nContent-Length: 9\r\n\r\nhello"
))]
#[case::no_http(Act::SendClose("what?\r\n\r\n"))]
#[case::unsealed(Act::Send("HTTP/1.1 200 OK\r\ncall-id: {id}\r\nContent-Length: 2\r\n\r\nno"))]
#[case::of_another_call(Act::Send(
    "HTTP/1.1 200 OK\r\ncall-id: other\r\nseal: s\r\nContent-Length: 2\r\n\r\nno"
))]
#[case::reset_without_length(Act::SendReset(
    "HTTP/1.1 200 OK\r\ncall-id: {id}\r\nseal: s\r\n\r\nhel"
))]
#[actix_rt::test]
async fn spoilt_answer_is_no_success(#[case] first: Act) {
    let entry = Entry::start(Plan::new(CallKind::Once, 2, &[first])).await;
    let answer = entry.call(ID).await;
    assert_eq!(status(&answer), "502");
    assert!(field(&answer, "seal").is_none());
    assert_eq!(entry.servers.requests().len(), 1);
}

/// A server says that it did not run the call. Then even one that may run
/// once goes to the next server.
#[actix_rt::test]
async fn not_run_goes_elsewhere() {
    let entry = Entry::start(Plan::new(CallKind::Once, 2, &[Act::Send(NOT_RUN)])).await;
    assert_eq!(status(&entry.call(ID).await), "200");
    assert_eq!(entry.servers.requests().len(), 2);
}

/// A server was replaced, and its address belongs to another one before the
/// list shows it. Even a call that one server may get goes on to the next,
/// and no further call is sent to the old name.
#[actix_rt::test]
async fn replaced_server_is_left_alone() {
    let entry = Entry::start(Plan::new(CallKind::Once, 1, &[Act::Send(ELSEWHERE)])).await;
    for _ in 0..6 {
        assert_eq!(status(&entry.call(ID).await), "200");
    }
    let requests = entry.servers.requests();
    let old = field(&requests[0], "server");
    assert_eq!(
        requests
            .iter()
            .filter(|r| field(r, "server") == old)
            .count(),
        1
    );
}

/// Many servers were replaced at once, and the service has no repeats left. A
/// call whose server turns out to be another one has reached a server: sent on
/// all the same, it would be a repeat that nobody counts. The caller is told,
/// truly, that it has not run.
#[actix_rt::test]
async fn replaced_server_costs_a_repeat() {
    let acts = [Act::Send(ELSEWHERE), Act::Send(ELSEWHERE)];
    let entry = Entry::start(Plan::new(CallKind::Once, 1, &acts)).await;
    entry.repeats_left();
    assert_eq!(status(&entry.call(ID).await), "503");
    assert_eq!(entry.servers.requests().len(), 1);
}

/// All servers say so: the refusal is true, and says when to come back.
#[actix_rt::test]
async fn refused_with_time_to_return() {
    let acts = [Act::Send(NOT_RUN), Act::Send(NOT_RUN)];
    let entry = Entry::start(Plan::new(CallKind::Once, 2, &acts)).await;
    let answer = entry.call(ID).await;
    assert_eq!(status(&answer), "503");
    let after: f64 = field(&answer, "retry-after")
        .and_then(|a| a.parse().ok())
        .expect("a time");
    assert!(after > 0.0);
}

/// The first server may have run the call, the second one did not. A refusal
/// would say that it has not run; the caller is told that nobody knows.
#[actix_rt::test]
async fn may_have_run_is_no_refusal() {
    let acts = [Act::SendReset(""), Act::Send(NOT_RUN)];
    let entry = Entry::start(Plan::new(CallKind::Idempotent, 2, &acts)).await;
    assert_eq!(status(&entry.call(ID).await), "502");
}

/// A call may be sent to so many servers as its route allows, no more.
#[actix_rt::test]
async fn attempts_bounded() {
    let acts = [Act::SendReset(""), Act::SendReset(""), Act::Send(OK)];
    let entry = Entry::start(Plan::new(CallKind::Idempotent, 1, &acts)).await;
    assert_eq!(status(&entry.call(ID).await), "502");
    assert_eq!(entry.servers.requests().len(), 1);
}

/// Both servers fail a call and vouch for it. The caller gets that failure
/// with its seal, not one of our own in its place.
#[actix_rt::test]
async fn failure_passed_on_unchanged() {
    let acts = [Act::Send(FAILED), Act::Send(FAILED)];
    let entry = Entry::start(Plan::new(CallKind::Idempotent, 2, &acts)).await;
    let answer = entry.call(ID).await;
    assert_eq!(status(&answer), "500");
    assert_eq!(field(&answer, "seal").as_deref(), Some("s"));
    assert!(answer.ends_with("bad"));
}

/// The first server fails a call and vouches for it, and no repeat is left.
/// The caller gets that failure, since a 502 would hide what happened.
#[actix_rt::test]
async fn failure_kept_without_repeats() {
    let acts = [Act::Send(FAILED)];
    let entry = Entry::start(Plan::new(CallKind::Idempotent, 2, &acts)).await;
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

/// A server sends a second answer after a complete one. Taken as the answer
/// to the next call on that connection, one caller would get another's. The
/// connection is given up, and the next call goes out on a new one.
#[actix_rt::test]
async fn extra_answer_reaches_nobody() {
    let doubled = "HTTP/1.1 200 OK\r\ncall-id: {id}\r\nseal: s\r\nContent-Length: 5\r\n\r\nhello\
         HTTP/1.1 200 OK\r\ncall-id: {id}\r\nseal: s\r\nContent-Length: 5\r\n\r\nextra";
    let entry = Entry::start(Plan::new(CallKind::Once, 1, &[Act::Send(doubled)])).await;
    for id in ["1", "2", "3", "4"] {
        let answer = entry.call(&format!("call-id: {id}\r\n")).await;
        assert_eq!(status(&answer), "200");
        assert_eq!(field(&answer, "call-id").as_deref(), Some(id));
        assert!(answer.ends_with("hello"));
    }
}

/// A server closes kept connections while they are idle. Calls that may run
/// once go out on new ones; none fails.
#[actix_rt::test]
async fn closed_while_idle_costs_nothing() {
    let acts = vec![Act::SendClose(OK); 6];
    let entry = Entry::start(Plan::new(CallKind::Once, 1, &acts)).await;
    for _ in 0..6 {
        assert_eq!(status(&entry.call(ID).await), "200");
    }
    assert_eq!(entry.servers.requests().len(), 6);
}

#[actix_rt::test]
async fn connections_kept() {
    let entry = Entry::start(Plan::new(CallKind::Once, 1, &[])).await;
    for _ in 0..10 {
        assert_eq!(status(&entry.call(ID).await), "200");
    }
    assert!(
        entry.servers.taken() <= 2,
        "{} connections",
        entry.servers.taken()
    );
}

/// A server works on past the route's timeout. The caller is told at that
/// time; and since nobody waits any more, the server's connection is closed.
#[actix_rt::test]
async fn timeout_answered_and_cancelled() {
    let mut plan = Plan::new(CallKind::Idempotent, 2, &[Act::Silent]);
    plan.timeout = Duration::from_millis(80);
    let entry = Entry::start(plan).await;
    assert_eq!(status(&entry.call(ID).await), "504");
    entry.servers.closed().await;
    assert_eq!(entry.servers.requests().len(), 1);
}

/// The caller leaves before the answer. The server's connection is closed,
/// so that it stops working for nobody.
#[actix_rt::test]
async fn caller_gone_cancels() {
    let entry = Entry::start(Plan::new(CallKind::Idempotent, 2, &[Act::Silent])).await;
    let mut stream = entry.connect().await;
    stream
        .write_all(request(ID, "").as_bytes())
        .await
        .expect("sent");
    while entry.servers.requests().is_empty() {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    drop(stream);
    entry.servers.closed().await;
    assert_eq!(entry.servers.requests().len(), 1);
}

/// A server answers as soon as it has seen the head of a long call. Another
/// call sent on that connection at once would be taken for the rest of the
/// body, and run as something that no caller has sent.
#[actix_rt::test]
async fn early_answer_spoils_nothing() {
    let entry = Entry::start(Plan::new(CallKind::Once, 1, &[Act::Early(OK)])).await;
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
    // The long call may have been cut; whatever came is a call of ours.
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

/// Guards against a server in need getting a call because its service has no
/// other one: the caller is told, truly, that it has not run, and when to come
/// back.
#[actix_rt::test]
async fn limited_servers_refused_with_time_to_return() {
    let limited = "HTTP/1.1 200 OK\r\ncall-id: {id}\r\nseal: s\r\nlimit: 0.01\r\n\
                   Content-Length: 5\r\n\r\nhello";
    let acts = [Act::Send(limited), Act::Send(limited), Act::Send(limited)];
    let entry = Entry::start(Plan::new(CallKind::Idempotent, 2, &acts)).await;
    share(&entry);
    assert_eq!(status(&entry.call(ID).await), "200");
    assert_eq!(status(&entry.call(ID).await), "200");
    let (answer, before) = (entry.call(ID).await, entry.servers.requests().len());
    assert_eq!((status(&answer), before), ("503", 2));
    let after: f64 = field(&answer, "retry-after")
        .and_then(|a| a.parse().ok())
        .expect("a time");
    assert!(after > 0.0 && after <= 100.0, "{after} s");
}

/// Guards against a caller being refused when a limited server takes its call
/// in a moment.
#[actix_rt::test]
async fn next_turn_is_waited_for() {
    let limited = "HTTP/1.1 200 OK\r\ncall-id: {id}\r\nseal: s\r\nlimit: 20\r\n\
                   Content-Length: 5\r\n\r\nhello";
    let mut plan = Plan::new(CallKind::Idempotent, 2, &vec![Act::Send(limited); 10]);
    plan.target = Duration::from_secs(4);
    let entry = Entry::start(plan).await;
    share(&entry);
    for _ in 0..10 {
        assert_eq!(status(&entry.call(ID).await), "200");
    }
}

/// Has the entry know that there is no other one.
fn share(entry: &Entry) {
    entry.state.balancer.borrow_mut().set_turns(TurnSchedule {
        entries: 1,
        turn_index: 0,
        instant: entry.state.clock.now(),
        unix_time: Duration::from_secs(50),
    });
}
