//! What answers say of the servers that make them.

use policy::routes::CallKind;
use rstest::rstest;

use crate::common::{Act, Entry, Plan, field, status};

const ID: &str = "call-id: 1\r\n";

/// Calls after a server has said something.
const CALLS: usize = 6;

/// Makes a call to which one of two servers gives `answer`, and some more;
/// returns how many of those have reached that server.
async fn reached(answer: Act) -> usize {
    let entry = Entry::start(Plan::new(CallKind::Idempotent, 1, &[answer])).await;
    entry.call(ID).await;
    for _ in 0..CALLS {
        entry.call(ID).await;
    }
    let requests = entry.servers.requests();
    let speaker = field(&requests[0], "server");
    let more = requests[1..].iter();
    more.filter(|r| field(r, "server") == speaker).count()
}

/// Guards against a server's leaving being read from some of its answers only.
#[rstest]
#[case::whole(Act::Send(
    "HTTP/1.1 200 OK\r\ncall-id: {id}\r\nseal: s\r\nleaving: 1\r\nContent-Length: 5\r\n\r\nhello"
))]
#[case::bodiless(Act::Send("HTTP/1.1 204 None\r\ncall-id: {id}\r\nseal: s\r\nleaving: 1\r\n\r\n"))]
#[case::failed(Act::Send(
    "HTTP/1.1 500 Failed\r\ncall-id: {id}\r\nseal: s\r\nleaving: 1\r\nContent-Length: 3\r\n\r\nbad"
))]
#[case::not_run(Act::Send(
    "HTTP/1.1 503 Full\r\ncall-id: {id}\r\nnot-run: 1\r\nleaving: 1\r\nContent-Length: 0\r\n\r\n"
))]
#[case::cut_short(Act::SendClose(
    "HTTP/1.1 200 OK\r\ncall-id: {id}\r\nseal: s\r\nleaving: 1\r\nContent-Length: 9\r\n\r\nhello"
))]
#[case::unsealed(Act::Send(
    "HTTP/1.1 200 OK\r\ncall-id: {id}\r\nleaving: 1\r\nContent-Length: 2\r\n\r\nno"
))]
#[case::of_another_call(Act::Send(
    "HTTP/1.1 200 OK\r\ncall-id: other\r\nseal: s\r\nleaving: 1\r\nContent-Length: 2\r\n\r\nno"
))]
#[case::encoded(Act::Send(
    "HTTP/1.1 200 OK\r\ncall-id: {id}\r\nseal: s\r\nleaving: 1\r\nContent-Encoding: br\r\n\
     Content-Length: 2\r\n\r\nno"
))]
#[actix_rt::test]
async fn leaving_read_from_any_answer(#[case] answer: Act) {
    assert_eq!(reached(answer).await, 0);
}

/// Guards against a server being taken for leaving by what another one says
/// that has its address by now.
#[actix_rt::test]
async fn leaving_of_another_server_means_nothing() {
    let answer = Act::Send(
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

/// Guards against rest being read from some refusals only.
#[rstest]
#[case::not_run(Act::Send(
    "HTTP/1.1 503 Full\r\ncall-id: {id}\r\nnot-run: 1\r\nrest-ms: 9000\r\n\
     Content-Length: 0\r\n\r\n"
))]
#[case::may_have_run(Act::Send(
    "HTTP/1.1 503 Full\r\ncall-id: {id}\r\nseal: s\r\nrest-ms: 9000\r\n\
     Content-Length: 0\r\n\r\n"
))]
#[case::of_another_call(Act::Send(
    "HTTP/1.1 503 Full\r\ncall-id: other\r\nnot-run: 1\r\nrest-ms: 9000\r\n\
     Content-Length: 0\r\n\r\n"
))]
#[case::closing(Act::SendClose(
    "HTTP/1.1 503 Full\r\ncall-id: {id}\r\nnot-run: 1\r\nrest-ms: 9000\r\n\
     Connection: close\r\nContent-Length: 0\r\n\r\n"
))]
#[case::cut_short(Act::SendClose(
    "HTTP/1.1 503 Full\r\ncall-id: {id}\r\nnot-run: 1\r\nrest-ms: 9000\r\n\
     Content-Length: 9\r\n\r\nfull"
))]
#[actix_rt::test]
async fn rest_read_from_any_refusal(#[case] refusal: Act) {
    assert_eq!(reached(refusal).await, 0);
}

/// Guards against callers being sent away without knowing for how long, or being
/// kept waiting, while all servers rest.
#[actix_rt::test]
async fn resting_service_says_when_to_return() {
    let refusal = "HTTP/1.1 503 Full\r\ncall-id: {id}\r\nnot-run: 1\r\nrest-ms: 9000\r\n\
                   Content-Length: 0\r\n\r\n";
    let acts = [Act::Send(refusal), Act::Send(refusal)];
    let entry = Entry::start(Plan::new(CallKind::Once, 2, &acts)).await;
    for reached in [2, 2] {
        let answer = entry.call(ID).await;
        assert_eq!(status(&answer), "503");
        let after = field(&answer, "retry-after").and_then(|a| a.parse::<f64>().ok());
        let after = after.expect("a time");
        assert!((8.0..20.0).contains(&after), "{after} s");
        assert_eq!(entry.servers.requests().len(), reached);
    }
}

/// Guards against a call being lost on a connection that its server has said it
/// closes, in a refusal as in any other answer.
#[rstest]
#[case::served(
    "HTTP/1.1 200 OK\r\ncall-id: {id}\r\nseal: s\r\nkeep-ms: 0\r\nContent-Length: 0\r\n\r\n"
)]
#[case::refused(
    "HTTP/1.1 503 Full\r\ncall-id: {id}\r\nnot-run: 1\r\nkeep-ms: 0\r\nContent-Length: 0\r\n\r\n"
)]
#[actix_rt::test]
async fn connection_time_read_from_any_answer(#[case] answer: &'static str) {
    let acts = [Act::Send(answer)];
    let entry = Entry::start(Plan::new(CallKind::Once, 1, &acts)).await;
    entry.lose_a_server();
    entry.call(ID).await;
    assert_eq!(status(&entry.call(ID).await), "200");
    assert_eq!(
        (entry.servers.requests().len(), entry.servers.taken()),
        (2, 2)
    );
}
