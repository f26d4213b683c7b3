//! Streams of events: relayed whole, resumed at another server, or ended with a
//! visible error.

use policy::balance::ServerRecord;
use policy::routes::CallKind;
use rstest::rstest;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

use crate::common::{Action, Entry, OK, Plan, Servers, header, listed, status};

const ID: &str = "call-id: 1\r\n";

const COMPLETE: &str = "HTTP/1.1 200 OK\r\ncall-id: {id}\r\nseal: one\r\n\
    Transfer-Encoding: chunked\r\n\r\n\
    f\r\nid: 1\ndata: a\n\n\r\nf\r\nid: 2\ndata: b\n\n\r\n0\r\n\r\n";

/// The second event is incomplete.
pub(crate) const PARTIAL: &str = "HTTP/1.1 200 OK\r\ncall-id: {id}\r\nseal: one\r\n\
    Transfer-Encoding: chunked\r\n\r\n\
    f\r\nid: 1\ndata: a\n\n\r\n8\r\nid: 2\nda\r\n";

/// The rest of the stream after event 1, from another server.
pub(crate) const REMAINDER: &str = "HTTP/1.1 200 OK\r\ncall-id: {id}\r\nseal: two\r\n\
    Transfer-Encoding: chunked\r\n\r\nf\r\nid: 2\ndata: b\n\n\r\n0\r\n\r\n";

/// A server that resumes at the wrong event.
const WRONG_EVENT: &str = "HTTP/1.1 200 OK\r\ncall-id: {id}\r\nseal: two\r\n\
    Transfer-Encoding: chunked\r\n\r\nf\r\nid: 3\ndata: c\n\n\r\n0\r\n\r\n";

/// The events of a response, and whether it ended as a complete one.
fn events(answer: &str) -> (Vec<&str>, bool) {
    let body = answer.split_once("\r\n\r\n").map_or("", |(_, b)| b);
    let events = body.lines().filter(|l| l.starts_with("data: "));
    let complete = body.ends_with("0\r\n\r\n");
    (events.map(|l| &l["data: ".len()..]).collect(), complete)
}

#[rstest]
#[case::once(CallKind::Stream)]
#[case::resumable(CallKind::Resumable)]
#[actix_rt::test]
async fn complete_stream_relayed(#[case] kind: CallKind) {
    let entry = Entry::start(Plan::new(kind, 2, &[Action::Send(COMPLETE)])).await;
    let answer = entry.call(ID).await;
    assert_eq!(status(&answer), "200");
    assert_eq!(events(&answer), (vec!["a", "b"], true));
}

/// A server dies in the middle of an event. Another one must resume after the
/// last complete event. The caller must see one stream with the first server's
/// headers and without the partial event.
#[actix_rt::test]
async fn resumed_after_last_complete_event() {
    let actions = [Action::SendReset(PARTIAL), Action::Send(REMAINDER)];
    let entry = Entry::start(Plan::new(CallKind::Resumable, 2, &actions)).await;
    let answer = entry.call(ID).await;
    assert_eq!(events(&answer), (vec!["a", "b"], true));
    assert_eq!(header(&answer, "seal").as_deref(), Some("one"));
    let requests = entry.servers.requests();
    assert_eq!(header(&requests[1], "last-event").as_deref(), Some("1"));
    assert_ne!(
        header(&requests[0], "server"),
        header(&requests[1], "server")
    );
}

/// Guards against a stream going on at a server of another version than the one that began
/// it. Without another server of its version it ends incomplete.
#[actix_rt::test]
async fn resumed_at_another_version() {
    let actions = [Action::SendReset(PARTIAL), Action::Send(REMAINDER)];
    let plan = Plan {
        versions: &["v1", "v2"],
        ..Plan::new(CallKind::Resumable, 2, &actions)
    };
    let entry = Entry::start(plan).await;
    assert_eq!(events(&entry.call(ID).await), (vec!["a"], false));
    assert_eq!(entry.servers.requests().len(), 1);
}

/// Guards against a stream not going on though another server of its version serves.
#[actix_rt::test]
async fn not_resumed_at_own_version() {
    for _ in 0..8 {
        let actions = [Action::SendReset(PARTIAL), Action::Send(REMAINDER)];
        let plan = Plan {
            versions: &["v1", "v2", "v1", "v2"],
            ..Plan::new(CallKind::Resumable, 2, &actions)
        };
        let entry = Entry::start(plan).await;
        assert_eq!(events(&entry.call(ID).await), (vec!["a", "b"], true));
        let requests = entry.servers.requests();
        let version = |n: usize| {
            let server = header(&requests[n], "server").expect("an intended server");
            let balancer = entry.state.balancer.borrow();
            let record = balancer
                .serving("app")
                .into_iter()
                .map(|(record, _)| record);
            let record = record.into_iter().find(|r| *r.id == *server);
            record.expect("a serving server").version
        };
        assert_eq!(version(0), version(1));
    }
}

/// Guards against a stream of unknown origin being taken up at any version, and against
/// refusing it while there is one version only.
#[rstest]
#[case::one_version(&["v1", "v1"], "200", 1)]
#[case::several_versions(&["v1", "v2"], "503", 0)]
#[actix_rt::test]
async fn unknown_stream_taken_up(
    #[case] versions: &'static [&'static str],
    #[case] expected: &str,
    #[case] requests: usize,
) {
    let plan = Plan {
        versions,
        ..Plan::new(CallKind::Resumable, 2, &[Action::Send(REMAINDER)])
    };
    let entry = Entry::start(plan).await;
    let answer = entry.call("call-id: 2\r\nresumes: 1\r\nlast-event: 1\r\n");
    let answer = answer.await;
    assert_eq!(status(&answer), expected);
    assert_eq!(entry.servers.requests().len(), requests);
}

/// Guards against refusing a stream that was taken up while one version served and breaks
/// again once there are two: its version must be recorded under the ID that callers name.
#[actix_rt::test]
async fn inferred_version_forgotten() {
    let entry = Entry::start(Plan::new(
        CallKind::Resumable,
        1,
        &[Action::Send(REMAINDER)],
    ))
    .await;
    let answer = entry
        .call("call-id: 2\r\nresumes: 1\r\nlast-event: 1\r\n")
        .await;
    assert_eq!(status(&answer), "200");
    assert_eq!(entry.state.origins.count(), 1);
}

/// Guards against a stream being taken up at another service of a split route, where its
/// version means nothing.
#[actix_rt::test]
async fn taken_up_at_another_service() {
    let pair = |_| [Action::Send(COMPLETE), Action::Send(REMAINDER)];
    let actions: Vec<Action> = (0..20).flat_map(pair).collect();
    let plan = Plan {
        versions: &["v1", "v2"],
        services: &["app", "other"],
        ..Plan::new(CallKind::Resumable, 1, &actions)
    };
    let entry = Entry::start(plan).await;
    for id in 1..=20 {
        entry.call(&format!("call-id: {id}\r\n")).await;
        let again = format!("call-id: {id}-2\r\nresumes: {id}\r\nlast-event: 1\r\n");
        assert_eq!(status(&entry.call(&again).await), "200");
    }
    let requests = entry.servers.requests();
    let servers: Vec<_> = requests.iter().map(|r| header(r, "server")).collect();
    assert!(servers.chunks(2).all(|pair| pair[0] == pair[1]));
    assert!(servers.iter().any(|s| *s != servers[0]));
}

/// Guards against a stream of a split route being taken up at another service, where its
/// caller does not name the call that began it.
#[actix_rt::test]
async fn unnamed_stream_of_split_route_is_not_placed() {
    let plan = Plan {
        services: &["app", "other"],
        ..Plan::new(CallKind::Resumable, 1, &[])
    };
    let entry = Entry::start(plan).await;
    for id in 1..=20 {
        let again = format!("call-id: {id}-2\r\nlast-event: 1\r\n");
        assert_eq!(status(&entry.call(&again).await), "503");
    }
    assert!(entry.servers.requests().is_empty());
}

/// Guards against a call without an event being bound to the version of its first server.
#[actix_rt::test]
async fn retry_before_first_event_needs_no_version() {
    let actions = [Action::SendReset(""), Action::Send(COMPLETE)];
    let plan = Plan {
        versions: &["v1", "v2"],
        ..Plan::new(CallKind::Resumable, 2, &actions)
    };
    let entry = Entry::start(plan).await;
    assert_eq!(events(&entry.call(ID).await), (vec!["a", "b"], true));
}

/// A stream breaks and the only other server is unreachable. It must be tried
/// once; repeated tries would use up the retries that all calls of the service
/// share.
#[actix_rt::test]
async fn unreachable_resume_takes_one_retry() {
    let actions = [Action::SendReset(PARTIAL)];
    let entry = Entry::start(Plan::new(CallKind::Resumable, 2, &actions)).await;
    entry.make_unreachable();
    let answer = entry.call(ID).await;
    assert_eq!(events(&answer), (vec!["a"], false));
    assert_eq!(entry.take_all_retries(), 19);
}

/// The server that should resume the stream sends something that is no event.
/// Appended to the first part, it would look like the end of the stream.
#[actix_rt::test]
async fn remainder_without_event_not_appended() {
    let actions = [Action::SendReset(PARTIAL), Action::Send(OK)];
    let entry = Entry::start(Plan::new(CallKind::Resumable, 2, &actions)).await;
    let answer = entry.call(ID).await;
    assert_eq!(events(&answer), (vec!["a"], false));
    assert!(!answer.contains("hello"));
}

/// The second server resumes at another event than requested. The joined stream
/// would lack one event and look complete, so it must be ended with an error.
#[actix_rt::test]
async fn wrong_event_not_appended() {
    let actions = [Action::SendReset(PARTIAL), Action::Send(WRONG_EVENT)];
    let entry = Entry::start(Plan::new(CallKind::Resumable, 2, &actions)).await;
    let answer = entry.call(ID).await;
    assert_eq!(events(&answer), (vec!["a"], false));
}

/// A server's event numbers have gaps but increase. The stream is complete; if
/// the gaps were errors, no stream of such a server could be relayed.
#[actix_rt::test]
async fn gaps_in_numbers_allowed() {
    let gaps =
        "HTTP/1.1 200 OK\r\ncall-id: {id}\r\nseal: s\r\n\r\nid: 1\ndata: a\n\nid: 8\ndata: b\n\n";
    let entry = Entry::start(Plan::new(CallKind::Stream, 1, &[Action::SendClose(gaps)])).await;
    let answer = entry.call(ID).await;
    assert_eq!(events(&answer), (vec!["a", "b"], true));
}

/// Servers end lines with carriage returns or omit the last blank line. The
/// stream is complete by its framing, and all of it must be relayed.
#[rstest]
#[case::carriage_returns(
    "HTTP/1.1 200 OK\r\ncall-id: {id}\r\nseal: s\r\nContent-Length: 36\r\n\r\n\
     id: 1\r\ndata: a\r\n\r\nid: 2\r\ndata: b\r\n\r\n"
)]
#[case::no_last_blank_line(
    "HTTP/1.1 200 OK\r\ncall-id: {id}\r\nseal: s\r\nContent-Length: 28\r\n\r\n\
     id: 1\ndata: a\n\nid: 2\ndata: b"
)]
#[actix_rt::test]
async fn other_line_endings_allowed(#[case] bytes: &'static str) {
    let entry = Entry::start(Plan::new(CallKind::Stream, 1, &[Action::Send(bytes)])).await;
    let answer = entry.call(ID).await;
    assert_eq!(status(&answer), "200");
    let body = answer.replace('\r', "");
    assert!(body.contains("data: a\n\n") && body.contains("data: b"));
    assert!(answer.ends_with("0\r\n\r\n"), "{answer}");
}

/// A server sends an event twice. The caller must not get it twice in a stream
/// that looks complete.
#[actix_rt::test]
async fn duplicate_event_is_error() {
    let duplicate =
        "HTTP/1.1 200 OK\r\ncall-id: {id}\r\nseal: s\r\n\r\nid: 1\ndata: a\n\nid: 1\ndata: a\n\n";
    let entry = Entry::start(Plan::new(
        CallKind::Stream,
        1,
        &[Action::SendClose(duplicate)],
    ))
    .await;
    let answer = entry.call(ID).await;
    assert!(!events(&answer).1);
}

/// A non-resumable stream breaks. No other server may run it, and the caller
/// must see that it is incomplete.
#[rstest]
#[case::reset(Action::SendReset(PARTIAL))]
#[case::closed(Action::SendClose(PARTIAL))]
#[actix_rt::test]
async fn broken_stream_is_error(#[case] action: Action) {
    let entry = Entry::start(Plan::new(CallKind::Stream, 2, &[action])).await;
    let answer = entry.call(ID).await;
    assert_eq!(events(&answer), (vec!["a"], false));
    assert_eq!(entry.servers.requests().len(), 1);
}

/// A stream without a length ends with its connection. It is complete if the
/// connection was closed, and incomplete if it was reset.
#[rstest]
#[case::closed(
    Action::SendClose("HTTP/1.1 200 OK\r\ncall-id: {id}\r\nseal: s\r\n\r\nid: 1\ndata: a\n\n"),
    true
)]
#[case::reset(
    Action::SendReset("HTTP/1.1 200 OK\r\ncall-id: {id}\r\nseal: s\r\n\r\nid: 1\ndata: a\n\n"),
    false
)]
#[case::closed_inside_an_event(
    Action::SendClose(
        "HTTP/1.1 200 OK\r\ncall-id: {id}\r\nseal: s\r\n\r\nid: 1\ndata: a\n\nid: 2\nda"
    ),
    false
)]
#[actix_rt::test]
async fn unframed_stream(#[case] action: Action, #[case] complete: bool) {
    let entry = Entry::start(Plan::new(CallKind::Stream, 1, &[action])).await;
    let answer = entry.call(ID).await;
    assert_eq!(events(&answer), (vec!["a"], complete));
}

/// Starts a server that answers one call with `bytes` and crashes: it closes its connection
/// and accepts no others.
async fn crashing_server(bytes: &'static str) -> ServerRecord {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a listener");
    let addr = listener.local_addr().expect("an address");
    actix_rt::spawn(async move {
        let (mut stream, _) = listener.accept().await.expect("a connection");
        let mut request = [0; 1 << 12];
        let _ = stream.read(&mut request).await;
        let _ = stream
            .write_all(bytes.replace("{id}", "1").as_bytes())
            .await;
        drop(listener);
    });
    listed("s1", addr)
}

/// Guards against passing a stream without a length on as complete whose server crashed
/// between two events, which looks like its end.
#[actix_rt::test]
async fn unframed_stream_of_crashed_server_is_incomplete() {
    let bytes = "HTTP/1.1 200 OK\r\ncall-id: {id}\r\nseal: s\r\n\r\nid: 1\ndata: a\n\n";
    let plan = Plan::new(CallKind::Stream, 1, &[]);
    let server = crashing_server(bytes).await;
    let entry = Entry::start_with(plan, Servers::default(), vec![server]).await;
    assert_eq!(events(&entry.call(ID).await), (vec!["a"], false));
}

/// Guards against passing on part of an answer without a length as a success, because its
/// server crashed.
#[actix_rt::test]
async fn unframed_answer_of_crashed_server_is_no_success() {
    let bytes = "HTTP/1.1 200 OK\r\ncall-id: {id}\r\nseal: s\r\n\r\nhel";
    let plan = Plan::new(CallKind::Once, 1, &[]);
    let server = crashing_server(bytes).await;
    let entry = Entry::start_with(plan, Servers::default(), vec![server]).await;
    assert_eq!(status(&entry.call(ID).await), "502");
}

/// Guards against taking an answer without a length or chunks for a broken one.
#[actix_rt::test]
async fn unframed_answer_is_whole() {
    let bytes = "HTTP/1.1 200 OK\r\ncall-id: {id}\r\nseal: s\r\n\r\nhello";
    let actions = [Action::SendClose(bytes)];
    let entry = Entry::start(Plan::new(CallKind::Once, 1, &actions)).await;
    let answer = entry.call(ID).await;
    assert_eq!(status(&answer), "200");
    assert!(answer.ends_with("hello"), "{answer}");
}
