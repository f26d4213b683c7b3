//! Feedback that servers give about themselves in their responses.

use std::rc::Rc;
use std::time::{Duration, Instant};

use forward::pool::ConnectionPool;
use policy::routes::CallKind;
use rstest::rstest;
use tokio::net::TcpListener;

use crate::common::{Action, Entry, Plan, header, status};

const ID: &str = "call-id: 1\r\n";

/// Calls after a server has given feedback.
const CALLS: usize = 6;

/// Makes one call that one of two servers answers with `answer`, then some
/// more. Returns how many of those reached the same server.
async fn calls_to_same_server(answer: Action) -> usize {
    let entry = Entry::start(Plan::new(CallKind::Idempotent, 1, &[answer])).await;
    entry.call(ID).await;
    for _ in 0..CALLS {
        entry.call(ID).await;
    }
    let requests = entry.servers.requests();
    let server = header(&requests[0], "server");
    let more = requests[1..].iter();
    more.filter(|r| header(r, "server") == server).count()
}

/// Guards against the announcement that a server is leaving being read from
/// some kinds of responses only.
#[rstest]
#[case::whole(Action::Send(
    "HTTP/1.1 200 OK\r\ncall-id: {id}\r\nseal: s\r\nleaving: 1\r\nContent-Length: 5\r\n\r\nhello"
))]
#[case::bodiless(Action::Send(
    "HTTP/1.1 204 None\r\ncall-id: {id}\r\nseal: s\r\nleaving: 1\r\n\r\n"
))]
#[case::failed(Action::Send(
    "HTTP/1.1 500 Failed\r\ncall-id: {id}\r\nseal: s\r\nleaving: 1\r\nContent-Length: 3\r\n\r\nbad"
))]
#[case::not_run(Action::Send(
    "HTTP/1.1 503 Full\r\ncall-id: {id}\r\nnot-run: 1\r\nleaving: 1\r\nContent-Length: 0\r\n\r\n"
))]
#[case::cut_short(Action::SendClose(
    "HTTP/1.1 200 OK\r\ncall-id: {id}\r\nseal: s\r\nleaving: 1\r\nContent-Length: 9\r\n\r\nhello"
))]
#[case::unsealed(Action::Send(
    "HTTP/1.1 200 OK\r\ncall-id: {id}\r\nleaving: 1\r\nContent-Length: 2\r\n\r\nno"
))]
#[case::of_another_call(Action::Send(
    "HTTP/1.1 200 OK\r\ncall-id: other\r\nseal: s\r\nleaving: 1\r\nContent-Length: 2\r\n\r\nno"
))]
#[case::encoded(Action::Send(
    "HTTP/1.1 200 OK\r\ncall-id: {id}\r\nseal: s\r\nleaving: 1\r\nContent-Encoding: br\r\n\
     Content-Length: 2\r\n\r\nno"
))]
#[actix_rt::test]
async fn leaving_read_from_any_response(#[case] answer: Action) {
    assert_eq!(calls_to_same_server(answer).await, 0);
}

/// Guards against a server being marked as leaving because of feedback from
/// another server that has its address now.
#[actix_rt::test]
async fn leaving_of_another_server_ignored() {
    let answer = Action::Send(
        "HTTP/1.1 421 Other\r\ncall-id: {id}\r\nnot-run: 1\r\nelsewhere: 1\r\nleaving: 1\r\n\
         Content-Length: 0\r\n\r\n",
    );
    let entry = Entry::start(Plan::new(CallKind::Idempotent, 1, &[answer])).await;
    entry.call(ID).await;
    let now = entry.state.clock.now();
    assert_eq!(
        entry.state.balancer.borrow().feedback_counts(now).leaving,
        0
    );
}

/// Guards against a request for backoff being read from some kinds of refusals
/// only.
#[rstest]
#[case::not_run(Action::Send(
    "HTTP/1.1 503 Full\r\ncall-id: {id}\r\nnot-run: 1\r\nrest-ms: 9000\r\n\
     Content-Length: 0\r\n\r\n"
))]
#[case::may_have_run(Action::Send(
    "HTTP/1.1 503 Full\r\ncall-id: {id}\r\nseal: s\r\nrest-ms: 9000\r\n\
     Content-Length: 0\r\n\r\n"
))]
#[case::of_another_call(Action::Send(
    "HTTP/1.1 503 Full\r\ncall-id: other\r\nnot-run: 1\r\nrest-ms: 9000\r\n\
     Content-Length: 0\r\n\r\n"
))]
#[case::closing(Action::SendClose(
    "HTTP/1.1 503 Full\r\ncall-id: {id}\r\nnot-run: 1\r\nrest-ms: 9000\r\n\
     Connection: close\r\nContent-Length: 0\r\n\r\n"
))]
#[case::cut_short(Action::SendClose(
    "HTTP/1.1 503 Full\r\ncall-id: {id}\r\nnot-run: 1\r\nrest-ms: 9000\r\n\
     Content-Length: 9\r\n\r\nfull"
))]
#[actix_rt::test]
async fn backoff_read_from_any_refusal(#[case] refusal: Action) {
    assert_eq!(calls_to_same_server(refusal).await, 0);
}

/// Guards against callers waiting, or being refused without a Retry-After,
/// while all servers are in backoff.
#[actix_rt::test]
async fn backoff_refusal_has_retry_after() {
    let refusal = "HTTP/1.1 503 Full\r\ncall-id: {id}\r\nnot-run: 1\r\nrest-ms: 9000\r\n\
                   Content-Length: 0\r\n\r\n";
    let actions = [Action::Send(refusal), Action::Send(refusal)];
    let entry = Entry::start(Plan::new(CallKind::Once, 2, &actions)).await;
    for calls_to_same_server in [2, 2] {
        let answer = entry.call(ID).await;
        assert_eq!(status(&answer), "503");
        let after = header(&answer, "retry-after").and_then(|a| a.parse::<f64>().ok());
        let after = after.expect("a time");
        assert!((8.0..20.0).contains(&after), "{after} s");
        assert_eq!(entry.servers.requests().len(), calls_to_same_server);
    }
}

/// Guards against a call being lost on a connection that its server was about
/// to close. The idle timeout must be read from refusals as from other
/// responses.
#[rstest]
#[case::served(
    "HTTP/1.1 200 OK\r\ncall-id: {id}\r\nseal: s\r\nkeep-ms: 0\r\nContent-Length: 0\r\n\r\n"
)]
#[case::refused(
    "HTTP/1.1 503 Full\r\ncall-id: {id}\r\nnot-run: 1\r\nkeep-ms: 0\r\nContent-Length: 0\r\n\r\n"
)]
#[actix_rt::test]
async fn idle_timeout_read_from_any_response(#[case] answer: &'static str) {
    let actions = [Action::Send(answer)];
    let entry = Entry::start(Plan::new(CallKind::Once, 1, &actions)).await;
    entry.make_unreachable();
    entry.call(ID).await;
    assert_eq!(status(&entry.call(ID).await), "200");
    assert_eq!(
        (entry.servers.requests().len(), entry.servers.accepted()),
        (2, 2)
    );
}

/// Guards against refusing an urgent call, whose target is short, while a less urgent one
/// waits for servers that have asked for backoff, and is served.
#[rstest]
#[case::urgent(0, 200)]
#[case::less_urgent(2, 4_000)]
#[actix_rt::test]
async fn urgent_call_refused_while_less_urgent_waits(#[case] tier: u8, #[case] target_ms: u64) {
    let refusal = "HTTP/1.1 503 Full\r\ncall-id: {id}\r\nnot-run: 1\r\nrest-ms: 300\r\n\
                   Content-Length: 0\r\n\r\n";
    let actions = [Action::Send(refusal), Action::Send(refusal)];
    let entry = Entry::start(Plan {
        tier,
        target: Duration::from_millis(target_ms),
        ..Plan::new(CallKind::Once, 2, &actions)
    })
    .await;
    assert_eq!(status(&entry.call(ID).await), "503");
    assert_eq!(status(&entry.call(ID).await), "200");
}

/// Guards against an idle timeout that overflows when it is added to the time: the task of
/// the call would end before the connection is returned.
#[actix_rt::test]
async fn longest_idle_timeout_is_usable() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a listener");
    let addr = listener.local_addr().expect("an address");
    let (now, id) = (Instant::now(), Rc::from("s1"));
    let pool = ConnectionPool::default();
    let connected = ConnectionPool::connect(now, addr).await;
    let mut conn = connected.expect("a connection");
    conn.set_idle_timeout(Duration::from_secs(u64::MAX));
    // Lets the task of the connection run, before which it is not ready.
    tokio::task::yield_now().await;
    pool.put(now, &id, conn);
    pool.remove_expired(now + Duration::from_secs(60));
    assert!(pool.take(now, &id).is_some());
}

/// Guards against a caller's timeout that overflows when it is added to the time.
#[rstest]
#[case::idempotent(CallKind::Idempotent)]
#[case::once(CallKind::Once)]
#[actix_rt::test]
async fn longest_caller_timeout_is_usable(#[case] kind: CallKind) {
    let entry = Entry::start(Plan::new(kind, 2, &[])).await;
    let headers = format!("{ID}patience-ms: {}\r\n", u64::MAX);
    for _ in 0..2 {
        assert_eq!(status(&entry.call(&headers).await), "200");
    }
}
