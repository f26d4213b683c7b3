//! Streams of events: passed on whole, gone on with elsewhere, or cut so that
//! it shows.

use policy::routes::CallKind;
use rstest::rstest;

use crate::common::{Act, Entry, OK, Plan, field, status};

const ID: &str = "call-id: 1\r\n";

const WHOLE: &str = "HTTP/1.1 200 OK\r\ncall-id: {id}\r\nseal: one\r\n\
    Transfer-Encoding: chunked\r\n\r\n\
    f\r\nid: 1\ndata: a\n\n\r\nf\r\nid: 2\ndata: b\n\n\r\n0\r\n\r\n";

/// The second event is cut in its middle.
const HALF: &str = "HTTP/1.1 200 OK\r\ncall-id: {id}\r\nseal: one\r\n\
    Transfer-Encoding: chunked\r\n\r\n\
    f\r\nid: 1\ndata: a\n\n\r\n8\r\nid: 2\nda\r\n";

/// What another server sends to go on after event 1.
const REST: &str = "HTTP/1.1 200 OK\r\ncall-id: {id}\r\nseal: two\r\n\
    Transfer-Encoding: chunked\r\n\r\nf\r\nid: 2\ndata: b\n\n\r\n0\r\n\r\n";

/// A server that goes on at the wrong place.
const WRONG: &str = "HTTP/1.1 200 OK\r\ncall-id: {id}\r\nseal: two\r\n\
    Transfer-Encoding: chunked\r\n\r\nf\r\nid: 3\ndata: c\n\n\r\n0\r\n\r\n";

/// The events of an answer, and whether it ended as a whole one.
fn events(answer: &str) -> (Vec<&str>, bool) {
    let body = answer.split_once("\r\n\r\n").map_or("", |(_, b)| b);
    let events = body.lines().filter(|l| l.starts_with("data: "));
    let whole = body.ends_with("0\r\n\r\n");
    (events.map(|l| &l["data: ".len()..]).collect(), whole)
}

#[rstest]
#[case::once(CallKind::Stream)]
#[case::resumable(CallKind::Resumable)]
#[actix_rt::test]
async fn whole_passed_on(#[case] kind: CallKind) {
    let entry = Entry::start(Plan::new(kind, 2, &[Act::Send(WHOLE)])).await;
    let answer = entry.call(ID).await;
    assert_eq!(status(&answer), "200");
    assert_eq!(events(&answer), (vec!["a", "b"], true));
}

/// A server dies in the middle of an event. Another one goes on after the
/// last whole event, and the caller sees one stream with the first server's
/// headers; the half event reaches nobody.
#[actix_rt::test]
async fn resumed_after_last_whole_event() {
    let acts = [Act::SendReset(HALF), Act::Send(REST)];
    let entry = Entry::start(Plan::new(CallKind::Resumable, 2, &acts)).await;
    let answer = entry.call(ID).await;
    assert_eq!(events(&answer), (vec!["a", "b"], true));
    assert_eq!(field(&answer, "seal").as_deref(), Some("one"));
    let requests = entry.servers.requests();
    assert_eq!(field(&requests[1], "last-event").as_deref(), Some("1"));
    assert_ne!(field(&requests[0], "server"), field(&requests[1], "server"));
}

/// A stream breaks and the only other server cannot be reached. It is tried
/// once; asked again and again, it would use up the repeats that all other
/// calls of the service share.
#[actix_rt::test]
async fn resume_that_cannot_be_sent_costs_one_repeat() {
    let acts = [Act::SendReset(HALF)];
    let entry = Entry::start(Plan::new(CallKind::Resumable, 2, &acts)).await;
    entry.lose_a_server();
    let answer = entry.call(ID).await;
    assert_eq!(events(&answer), (vec!["a"], false));
    assert_eq!(entry.repeats_left(), 19);
}

/// The server that should go on answers with something that is no event. Put
/// behind the first part, it would look like the end of the stream.
#[actix_rt::test]
async fn rest_that_is_no_event_is_not_joined() {
    let acts = [Act::SendReset(HALF), Act::Send(OK)];
    let entry = Entry::start(Plan::new(CallKind::Resumable, 2, &acts)).await;
    let answer = entry.call(ID).await;
    assert_eq!(events(&answer), (vec!["a"], false));
    assert!(!answer.contains("hello"));
}

/// The second server goes on at another event than it was asked for. Joined,
/// the stream would miss one and look whole; it is cut instead.
#[actix_rt::test]
async fn wrong_event_is_not_joined() {
    let acts = [Act::SendReset(HALF), Act::Send(WRONG)];
    let entry = Entry::start(Plan::new(CallKind::Resumable, 2, &acts)).await;
    let answer = entry.call(ID).await;
    assert_eq!(events(&answer), (vec!["a"], false));
}

/// A server numbers its events with gaps. They grow, and the stream is whole;
/// cut for the gaps, no stream of such a server would ever arrive.
#[actix_rt::test]
async fn numbers_with_gaps_pass() {
    let gaps =
        "HTTP/1.1 200 OK\r\ncall-id: {id}\r\nseal: s\r\n\r\nid: 1\ndata: a\n\nid: 8\ndata: b\n\n";
    let entry = Entry::start(Plan::new(CallKind::Stream, 1, &[Act::SendClose(gaps)])).await;
    let answer = entry.call(ID).await;
    assert_eq!(events(&answer), (vec!["a", "b"], true));
}

/// Servers end lines with a carriage return, or leave out the last blank line.
/// By its framing the stream is whole, and all of it is passed on.
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
async fn other_line_ends_pass(#[case] bytes: &'static str) {
    let entry = Entry::start(Plan::new(CallKind::Stream, 1, &[Act::Send(bytes)])).await;
    let answer = entry.call(ID).await;
    assert_eq!(status(&answer), "200");
    let body = answer.replace('\r', "");
    assert!(body.contains("data: a\n\n") && body.contains("data: b"));
    assert!(answer.ends_with("0\r\n\r\n"), "{answer}");
}

/// A server repeats an event. The caller must not get it twice in a stream
/// that looks whole.
#[actix_rt::test]
async fn doubled_event_is_cut() {
    let doubled =
        "HTTP/1.1 200 OK\r\ncall-id: {id}\r\nseal: s\r\n\r\nid: 1\ndata: a\n\nid: 1\ndata: a\n\n";
    let entry = Entry::start(Plan::new(CallKind::Stream, 1, &[Act::SendClose(doubled)])).await;
    let answer = entry.call(ID).await;
    assert!(!events(&answer).1);
}

/// A stream that may run once breaks. No other server may run it; the caller
/// must not take what it has for the whole.
#[rstest]
#[case::reset(Act::SendReset(HALF))]
#[case::closed(Act::SendClose(HALF))]
#[actix_rt::test]
async fn broken_stream_shows(#[case] act: Act) {
    let entry = Entry::start(Plan::new(CallKind::Stream, 2, &[act])).await;
    let answer = entry.call(ID).await;
    assert_eq!(events(&answer), (vec!["a"], false));
    assert_eq!(entry.servers.requests().len(), 1);
}

/// A stream without a length ends with its connection. Closed, it is whole;
/// reset, it is not.
#[rstest]
#[case::closed(
    Act::SendClose("HTTP/1.1 200 OK\r\ncall-id: {id}\r\nseal: s\r\n\r\nid: 1\ndata: a\n\n"),
    true
)]
#[case::reset(
    Act::SendReset("HTTP/1.1 200 OK\r\ncall-id: {id}\r\nseal: s\r\n\r\nid: 1\ndata: a\n\n"),
    false
)]
#[case::closed_inside_an_event(
    Act::SendClose(
        "HTTP/1.1 200 OK\r\ncall-id: {id}\r\nseal: s\r\n\r\nid: 1\ndata: a\n\nid: 2\nda"
    ),
    false
)]
#[actix_rt::test]
async fn unframed_stream(#[case] act: Act, #[case] whole: bool) {
    let entry = Entry::start(Plan::new(CallKind::Stream, 1, &[act])).await;
    let answer = entry.call(ID).await;
    assert_eq!(events(&answer), (vec!["a"], whole));
}
