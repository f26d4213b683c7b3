//! How the bytes of an answer end, and what proves to the caller that it is whole. See
//! docs/design/ends-of-answers.md; the ends of moved streams are in `moves`.

use std::net::SocketAddr;
use std::time::Duration;

use policy::balance::ServerRecord;
use policy::routes::CallKind;
use rstest::rstest;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

use crate::common::{Action, Entry, Health, OK, PATH, Plan, Servers, header, listed, status};
use crate::streams::PARTIAL;

const ID: &str = "call-id: 1\r\n";

/// A caller that has received event 1 of a stream.
const TAKES_UP: &str = "call-id: 2\r\nresumes: 1\r\nlast-event: 1\r\n";

/// A stream for which a copy is worth its cost.
const LIVE: &str = "call-id: 1\r\nprompt: 715\r\noutput: 280\r\n";

/// The beginning of all heads.
const HEAD: &str = "HTTP/1.1 200 OK\r\ncall-id: {id}\r\nseal: s\r\n";

/// The event after event 1.
const EVENT: &str = "id: 2\ndata: b\n\n";

/// The kind of an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Kind {
    Plain,
    Stream,
    /// Resumed at another server by the entry.
    Resumed,
    /// Taken up by the caller.
    TakenUp,
    /// Continued at the server with its copy.
    Continued,
}

/// How an answer ends.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum End {
    Length,
    Chunks,
    /// Without a length or chunks.
    Closed,
    /// As [`End::Closed`], with a transfer coding other than chunks.
    ClosedCoding,
    /// As [`End::Closed`], but reset.
    Reset,
    /// After a part of its chunks, with the connection open.
    Silence,
    InsideHead,
    /// In the middle of an event.
    InsideEvent,
    /// As [`End::InsideEvent`], with a length.
    InsideLength,
    /// After a whole event, but without the last chunk.
    BetweenEvents,
}

impl End {
    /// A server's answer of one event that ends in this way.
    fn action(self) -> Action {
        let chunk = format!("f\r\n{EVENT}\r\n");
        let chunked = "Transfer-Encoding: chunked\r\n";
        let body = match self {
            Self::Length => format!("Content-Length: 15\r\n\r\n{EVENT}"),
            Self::Chunks => format!("{chunked}\r\n{chunk}0\r\n\r\n"),
            Self::Closed | Self::Reset => format!("\r\n{EVENT}"),
            Self::ClosedCoding => format!("Transfer-Encoding: x\r\n\r\n{EVENT}"),
            Self::Silence | Self::BetweenEvents => format!("{chunked}\r\n{chunk}"),
            Self::InsideHead => "Conte".to_owned(),
            Self::InsideEvent => format!("{chunked}\r\n{}", &chunk[..12]),
            Self::InsideLength => format!("Content-Length: 15\r\n\r\n{}", &EVENT[..9]),
        };
        let bytes = format!("{HEAD}{body}").leak();
        match self {
            Self::Length | Self::Chunks | Self::Silence => Action::Send(bytes),
            Self::Reset => Action::SendReset(bytes),
            _ => Action::SendClose(bytes),
        }
    }
}

impl Kind {
    /// An entry whose call is answered with `last`, after what precedes it.
    async fn start(self, last: Action) -> Entry {
        let broken = Action::SendReset(PARTIAL);
        let plan = match self {
            Self::Plain => Plan::new(CallKind::Once, 1, &[last]),
            Self::Stream => Plan::new(CallKind::Stream, 1, &[last]),
            Self::Resumed => Plan::new(CallKind::Resumable, 2, &[broken, last]),
            Self::TakenUp => Plan::new(CallKind::Resumable, 1, &[last]),
            Self::Continued => Plan {
                engine: true,
                backups: true,
                declared: true,
                // The first engine has crashed and says that it runs nothing.
                moves: true,
                ..Plan::new(CallKind::Stream, 3, &[broken, last])
            },
        };
        Entry::start(Plan {
            timeout: Duration::from_secs(3),
            ..plan
        })
        .await
    }

    fn headers(self) -> &'static str {
        match self {
            Self::TakenUp => TAKES_UP,
            Self::Continued => LIVE,
            _ => ID,
        }
    }

    /// Whether the caller got the whole answer as a complete one.
    fn is_whole(self, answer: &str) -> bool {
        let whole = match self {
            Self::Plain => answer.ends_with(EVENT),
            _ => answer.ends_with("0\r\n\r\n"),
        };
        whole && status(answer) == "200" && answer.contains("data: b")
    }

    /// Checks that the caller saw that the answer was cut off.
    fn assert_cut(self, answer: &str) {
        match self {
            Self::Plain => assert!(["502", "504"].contains(&status(answer)), "{answer}"),
            _ => {
                let complete = status(answer) == "200" && answer.ends_with("0\r\n\r\n");
                assert!(
                    !complete && !answer.contains("Content-Length: 0"),
                    "{answer}"
                );
            }
        }
    }
}

/// Guards against passing on an answer as whole that was cut off, and against cutting one that
/// was not.
#[rstest]
#[case::length(End::Length, true)]
#[case::chunks(End::Chunks, true)]
#[case::closed(End::Closed, true)]
#[case::closed_coding(End::ClosedCoding, true)]
#[case::reset(End::Reset, false)]
#[case::silence(End::Silence, false)]
#[case::inside_head(End::InsideHead, false)]
#[case::inside_event(End::InsideEvent, false)]
#[case::inside_length(End::InsideLength, false)]
#[case::between_events(End::BetweenEvents, false)]
#[actix_rt::test]
async fn answer_ends(
    #[values(
        Kind::Plain,
        Kind::Stream,
        Kind::Resumed,
        Kind::TakenUp,
        Kind::Continued
    )]
    kind: Kind,
    #[case] end: End,
    #[case] whole: bool,
) {
    let entry = kind.start(end.action()).await;
    let answer = entry.call(kind.headers()).await;
    assert_eq!(kind.is_whole(&answer), whole, "{answer}");
    if !whole {
        kind.assert_cut(&answer);
    }
    let probed = [End::Closed, End::ClosedCoding].contains(&end);
    assert_eq!(entry.servers.probes(), usize::from(probed));
}

/// Guards against taking the end of a connection for the end of an answer without a length or
/// chunks, although nothing shows that its server is still alive.
#[rstest]
#[case::same(Health::Same, true)]
#[case::leaving(Health::Leaving, true)]
#[case::other(Health::Other, false)]
#[case::rejected(Health::Rejected, false)]
#[case::unnamed(Health::Unnamed, false)]
#[case::silent(Health::Silent, false)]
#[case::closed(Health::Closed, false)]
#[case::reset(Health::Reset, false)]
#[actix_rt::test]
async fn end_without_length(
    #[values(
        Kind::Plain,
        Kind::Stream,
        Kind::Resumed,
        Kind::TakenUp,
        Kind::Continued
    )]
    kind: Kind,
    #[values(End::Closed, End::ClosedCoding)] end: End,
    #[case] health: Health,
    #[case] whole: bool,
) {
    let entry = kind.start(end.action()).await;
    entry.servers.set_health(health);
    let answer = entry.call(kind.headers()).await;
    assert_eq!(kind.is_whole(&answer), whole, "{answer}");
    if !whole {
        kind.assert_cut(&answer);
    }
}

/// Guards against cutting a stream off that another server of its version can resume.
#[rstest]
#[case::other(Health::Other)]
#[case::silent(Health::Silent)]
#[actix_rt::test]
async fn unproven_end_resumed(#[case] health: Health) {
    let first = "HTTP/1.1 200 OK\r\ncall-id: {id}\r\nseal: s\r\n\r\nid: 1\ndata: a\n\n";
    let actions = [Action::SendClose(first), End::Chunks.action()];
    let entry = Entry::start(Plan::new(CallKind::Resumable, 2, &actions)).await;
    entry.servers.set_health(health);
    let answer = entry.call(ID).await;
    assert!(
        answer.contains("data: a") && answer.contains("data: b"),
        "{answer}"
    );
    assert!(answer.ends_with("0\r\n\r\n"), "{answer}");
}

/// A server that answers one call with `bytes` and exits, while it leaves or not: it closes
/// its connection and accepts no others.
async fn exiting_server(bytes: &'static str) -> ServerRecord {
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

/// Guards against passing on an answer as whole whose server announced that it leaves and was
/// killed before its end.
#[rstest]
#[case::stream(
    CallKind::Stream,
    "HTTP/1.1 200 OK\r\ncall-id: {id}\r\nseal: s\r\nleaving: 1\r\n\r\nid: 1\ndata: a\n\n"
)]
#[case::plain(
    CallKind::Once,
    "HTTP/1.1 200 OK\r\ncall-id: {id}\r\nseal: s\r\nleaving: 1\r\n\r\nhel"
)]
#[actix_rt::test]
async fn leaving_server_killed(#[case] kind: CallKind, #[case] bytes: &'static str) {
    let server = exiting_server(bytes).await;
    let entry = Entry::start_with(Plan::new(kind, 1, &[]), Servers::default(), vec![server]);
    let entry = entry.await;
    let answer = entry.call(ID).await;
    match kind {
        CallKind::Once => assert_eq!(status(&answer), "502"),
        _ => assert!(!answer.ends_with("0\r\n\r\n"), "{answer}"),
    }
    assert_eq!(entry.state.crashes.count(), 0);
}

/// Guards against passing on a stream as whole that ends at once.
#[rstest]
#[case::length(Kind::Stream, "Content-Length: 0\r\n\r\n", Health::Other, true)]
#[case::chunks(
    Kind::Stream,
    "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
    Health::Other,
    true
)]
#[case::unframed(Kind::Stream, "\r\n", Health::Same, false)]
#[case::unframed_replaced(Kind::Stream, "\r\n", Health::Other, false)]
#[case::no_chunk(
    Kind::Stream,
    "Transfer-Encoding: chunked\r\n\r\n",
    Health::Same,
    false
)]
#[case::resumed_chunks(
    Kind::Resumed,
    "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
    Health::Other,
    true
)]
#[case::resumed(Kind::Resumed, "\r\n", Health::Same, true)]
#[case::resumed_replaced(Kind::Resumed, "\r\n", Health::Other, false)]
#[case::taken_up(Kind::TakenUp, "\r\n", Health::Same, true)]
#[case::taken_up_replaced(Kind::TakenUp, "\r\n", Health::Other, false)]
#[case::taken_up_no_chunk(
    Kind::TakenUp,
    "Transfer-Encoding: chunked\r\n\r\n",
    Health::Same,
    false
)]
#[case::continued(Kind::Continued, "\r\n", Health::Same, true)]
#[case::continued_replaced(Kind::Continued, "\r\n", Health::Other, false)]
#[actix_rt::test]
async fn stream_ends_at_once(
    #[case] kind: Kind,
    #[case] rest: &str,
    #[case] health: Health,
    #[case] whole: bool,
) {
    let bytes = format!("{HEAD}{rest}").leak();
    let entry = kind.start(Action::SendClose(bytes)).await;
    entry.servers.set_health(health);
    let answer = entry.call(kind.headers()).await;
    let complete = status(&answer) == "200" && answer.ends_with("0\r\n\r\n");
    assert_eq!(complete, whole, "{answer}");
    if rest == "\r\n" && whole {
        assert_eq!(entry.servers.probes(), 1);
    }
}

/// Guards against joining events to a stream that the caller takes up where one is missing or
/// comes twice.
#[rstest]
#[case::next("1", "id: 2\ndata: b\n\n", true)]
#[case::gap("1", "id: 3\ndata: c\n\n", false)]
#[case::repeated("1", "id: 1\ndata: a\n\n", false)]
#[case::earlier("2", "id: 1\ndata: a\n\n", false)]
#[case::largest("18446744073709551615", "id: 2\ndata: b\n\n", false)]
#[actix_rt::test]
async fn stream_taken_up_at_another_event(
    #[case] last: &str,
    #[case] event: &str,
    #[case] passed: bool,
) {
    let bytes = format!("{HEAD}Transfer-Encoding: chunked\r\n\r\nf\r\n{event}\r\n0\r\n\r\n").leak();
    let entry = Entry::start(Plan::new(CallKind::Resumable, 1, &[Action::Send(bytes)])).await;
    let headers = format!("call-id: 2\r\nresumes: 1\r\nlast-event: {last}\r\n");
    let answer = entry.call(&headers).await;
    assert_eq!(answer.contains("data: "), passed, "{answer}");
    assert_eq!(answer.ends_with("0\r\n\r\n"), passed, "{answer}");
}

/// Guards against cutting off a stream that the caller takes up at a service whose events are
/// not numbered by one.
#[actix_rt::test]
async fn taken_up_where_numbers_have_gaps() {
    let chunked = "HTTP/1.1 200 OK\r\ncall-id: {id}\r\nseal: s\r\n\
        Transfer-Encoding: chunked\r\n\r\n";
    let whole = format!("{chunked}1e\r\nid: 1\ndata: a\n\nid: 5\ndata: b\n\n\r\n0\r\n\r\n").leak();
    let rest = format!("{chunked}f\r\nid: 5\ndata: b\n\n\r\n0\r\n\r\n").leak();
    let actions = [Action::Send(whole), Action::Send(rest)];
    let entry = Entry::start(Plan::new(CallKind::Resumable, 1, &actions)).await;
    entry.call(ID).await;
    let answer = entry.call(TAKES_UP).await;
    assert!(
        answer.contains("data: b") && answer.ends_with("0\r\n\r\n"),
        "{answer}"
    );
}

/// The whole of an answer, up to its last byte.
const FRAMED: [&str; 2] = [
    "HTTP/1.1 200 OK\r\ncall-id: 1\r\nseal: s\r\nContent-Length: 15\r\n\r\nid: 2\ndata: b\n\n",
    "HTTP/1.1 200 OK\r\ncall-id: 1\r\nseal: s\r\nTransfer-Encoding: chunked\r\n\r\n\
     f\r\nid: 2\ndata: b\n\n\r\n0\r\n\r\n",
];

/// Guards against passing on an answer with a length or chunks as whole that was cut at any
/// byte, also inside its head or a chunk's size.
#[rstest]
#[case::plain(CallKind::Once)]
#[case::stream(CallKind::Stream)]
#[actix_rt::test]
async fn framed_answer_cut_at_each_byte(
    #[case] kind: CallKind,
    #[values(0, 1)] framing: usize,
    #[values(false, true)] reset: bool,
) {
    let answer: &'static str = FRAMED[framing];
    for length in 0..answer.len() {
        let action = match reset {
            true => Action::SendReset(&answer[..length]),
            false => Action::SendClose(&answer[..length]),
        };
        let entry = Entry::start(Plan::new(kind, 1, &[action])).await;
        let seen = entry.call(ID).await;
        let complete =
            status(&seen) == "200" && (kind == CallKind::Once || seen.ends_with("0\r\n\r\n"));
        assert!(!complete, "{length} bytes: {seen}");
        assert_eq!(entry.servers.probes(), 0);
    }
}

/// Guards against passing on the end of a connection inside a head without a length or chunks
/// as an empty answer.
#[rstest]
#[case::plain(CallKind::Once)]
#[case::stream(CallKind::Stream)]
#[actix_rt::test]
async fn unframed_head_cut_at_each_byte(
    #[case] kind: CallKind,
    #[values(false, true)] reset: bool,
) {
    let head = "HTTP/1.1 200 OK\r\ncall-id: 1\r\nseal: s\r\n\r\n";
    for length in 0..head.len() {
        let action = match reset {
            true => Action::SendReset(&head[..length]),
            false => Action::SendClose(&head[..length]),
        };
        let entry = Entry::start(Plan::new(kind, 1, &[action])).await;
        assert_eq!(status(&entry.call(ID).await), "502", "{length} bytes");
    }
}

/// Guards against passing on an answer whose length is not certain.
#[rstest]
#[case::two_lengths("Content-Length: 5\r\nContent-Length: 15\r\n\r\nhello")]
#[case::list_of_lengths("Content-Length: 5, 15\r\n\r\nhello")]
#[case::negative_length("Content-Length: -5\r\n\r\nhello")]
#[case::folded_length("Content-Length:\r\n 5\r\n\r\nhello")]
#[case::folded_line("more: a\r\n b\r\nContent-Length: 5\r\n\r\nhello")]
#[case::space_before_colon("Content-Length : 5\r\n\r\nhello")]
#[case::chunk_without_size("Transfer-Encoding: chunked\r\n\r\n\r\nhello\r\n0\r\n\r\n")]
#[case::chunk_size_too_large(
    "Transfer-Encoding: chunked\r\n\r\nfffffffffffffffff\r\nhello\r\n0\r\n\r\n"
)]
#[case::chunk_size_too_small("Transfer-Encoding: chunked\r\n\r\n3\r\nhello\r\n0\r\n\r\n")]
#[actix_rt::test]
async fn uncertain_length(#[case] rest: &str) {
    let bytes = format!("{HEAD}{rest}").leak();
    let entry = Entry::start(Plan::new(CallKind::Once, 1, &[Action::SendClose(bytes)])).await;
    assert_eq!(status(&entry.call(ID).await), "502");
}

/// Guards against giving the caller a cut answer where another server may repeat the call.
#[actix_rt::test]
async fn unproven_answer_repeated() {
    let cut = "HTTP/1.1 200 OK\r\ncall-id: {id}\r\nseal: s\r\n\r\nhel";
    let actions = [Action::SendClose(cut), Action::Send(OK)];
    let entry = Entry::start(Plan::new(CallKind::Idempotent, 2, &actions)).await;
    entry.servers.set_health(Health::Other);
    let answer = entry.call(ID).await;
    assert!(
        status(&answer) == "200" && answer.ends_with("hello"),
        "{answer}"
    );
}

/// Guards against passing on an answer whose status is none.
#[rstest]
#[case::zero("000")]
#[case::too_low("099")]
#[case::four_digits("0200")]
#[case::four_digits_more("2000")]
#[case::sign("+20")]
#[case::two_digits("20")]
#[case::switched("101")]
#[case::too_high("600")]
#[case::highest("999")]
#[actix_rt::test]
async fn answer_without_valid_status(
    #[case] code: &str,
    #[values(CallKind::Once, CallKind::Stream)] kind: CallKind,
) {
    let bytes = format!(
        "HTTP/1.1 {code} X\r\ncall-id: {{id}}\r\nseal: s\r\nContent-Length: 5\r\n\r\nhello"
    );
    let entry = Entry::start(Plan::new(kind, 1, &[Action::Send(bytes.leak())])).await;
    assert_eq!(status(&entry.call(ID).await), "502");
    assert_eq!(entry.servers.requests().len(), 1);
}

/// A server that answers each call when its head has arrived, without a length and while the
/// call is still being sent, and resets the connection after a pause. It is alive.
async fn start_early_server(pause: Duration) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a listener");
    let addr = listener.local_addr().expect("an address");
    actix_rt::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            actix_rt::spawn(async move {
                let mut head = [0; 2048];
                let length = stream.read(&mut head).await.unwrap_or(0);
                if head.starts_with(b"GET /health ") {
                    let health = "HTTP/1.1 200 OK\r\ninstance: s1\r\nContent-Length: 0\r\n\r\n";
                    let _ = stream.write_all(health.as_bytes()).await;
                    return;
                }
                let head = String::from_utf8_lossy(&head[..length]);
                let id = header(&head, "call-id").unwrap_or_default();
                let part = format!("HTTP/1.1 200 OK\r\ncall-id: {id}\r\nseal: s\r\n\r\n{EVENT}");
                let _ = stream.write_all(part.as_bytes()).await;
                tokio::time::sleep(pause).await;
                let linger = Some(Duration::ZERO);
                let _ = socket2::SockRef::from(&stream).set_linger(linger);
            });
        }
    });
    addr
}

/// Guards against passing on the beginning of an answer without a length as the whole one,
/// whose server resets the connection while the call is still being sent.
#[rstest]
#[actix_rt::test]
async fn answer_reset_during_upload(
    #[values(CallKind::Once, CallKind::Stream)] kind: CallKind,
    #[values(200_000, 1_000_000, 4_000_000)] length: usize,
    #[values(0, 5, 30, 300)] pause_ms: u64,
) {
    let server = start_early_server(Duration::from_millis(pause_ms)).await;
    let plan = Plan::new(kind, 1, &[]);
    let entry = Entry::start_with(plan, Servers::default(), vec![listed("s1", server)]).await;
    let mut caller = entry.connect().await;
    let head = format!(
        "POST {PATH} HTTP/1.1\r\nHost: h.example\r\n{ID}Connection: close\r\n\
         Content-Length: {length}\r\n\r\n"
    );
    caller.write_all(head.as_bytes()).await.expect("sent");
    caller.write_all(&vec![b'p'; length]).await.expect("sent");
    let mut answer = Vec::new();
    let _ = caller.read_to_end(&mut answer).await;
    let answer = String::from_utf8_lossy(&answer);
    let whole = status(&answer) == "200" && answer.ends_with("0\r\n\r\n");
    assert!(!whole, "{answer}");
}

/// Guards against passing on an answer as whole that was cut off when its server was killed,
/// since the server has started again under its name: by its own word or by the list.
#[rstest]
#[case::same_start(Health::Started("1000"), Some(1_000), true)]
#[case::start_not_stated(Health::Same, Some(1_000), true)]
#[case::start_not_listed(Health::Started("1000"), None, true)]
#[case::restarted(Health::Started("2000"), Some(1_000), false)]
#[case::restarted_by_earlier_clock(Health::Started("500"), Some(1_000), false)]
#[case::listed_as_restarted(Health::Same, Some(2_000), false)]
#[actix_rt::test]
async fn answer_cut_by_restart(
    #[case] health: Health,
    #[case] listed_start: Option<u64>,
    #[case] whole: bool,
    #[values(Kind::Plain, Kind::Stream)] kind: Kind,
) {
    let servers = Servers::default();
    let record = |started_ms| ServerRecord {
        started_ms,
        ..listed("s1", "127.0.0.1:1".parse().expect("an address"))
    };
    let first = ServerRecord {
        addr: servers.listen("127.0.0.1").await,
        ..record(listed_start.and(Some(1_000)))
    };
    let plan = match kind {
        Kind::Plain => Plan::new(CallKind::Once, 1, &[End::Closed.action()]),
        _ => Plan::new(CallKind::Stream, 1, &[End::Closed.action()]),
    };
    servers.set_health(health);
    let entry = Entry::start_with(plan, servers, vec![first.clone()]).await;
    let call = entry.call(ID);
    let list = async {
        while entry.servers.requests().is_empty() {
            tokio::task::yield_now().await;
        }
        let listed_again = ServerRecord {
            started_ms: listed_start,
            ..first.clone()
        };
        let now = entry.state.clock.now();
        entry.state.balancer.borrow_mut().upsert(now, listed_again);
    };
    let (answer, ()) = tokio::join!(call, list);
    assert_eq!(kind.is_whole(&answer), whole, "{answer}");
}
