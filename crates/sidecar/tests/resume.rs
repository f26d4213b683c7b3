//! Tests how a sidecar resumes an engine's stream that breaks, repeats tokens or
//! skips some, with a scripted engine.

use std::cell::RefCell;
use std::collections::VecDeque;
use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::rc::Rc;
use std::sync::atomic::{AtomicU16, Ordering};
use std::time::Duration;

use actix_web::{App, HttpRequest, HttpResponse, web};
use base::ids::{BundleSequence, RequestId, Tier};
use base::reason::{Executed, Refusal};
use base::stop::StopSignal;
use bytes::Bytes;
use futures_util::{StreamExt, stream};
use rstest::rstest;
use serde_json::json;
use tokio::net::TcpListener;
use wire::peer::{Peer, Timeouts};
use wire::{
    BackendRequest, CallHeader, PullOutcome, PullRequest, ReserveOutcome, ReserveRequest,
    ResponseEnd, StartRequest,
};

/// The engine's reply to one call: the run first, then each resume.
#[derive(Debug, Clone, Copy)]
enum Reply {
    /// Sends these tokens, then breaks the connection.
    Break(&'static [u32]),
    /// Sends these tokens, then nothing more on the open connection.
    Stall(&'static [u32]),
    /// Sends these tokens, then the end of a response with this token count.
    End(&'static [u32], u32),
    /// Closes the connection before the header.
    Drop,
    /// Responds that the stream is unknown.
    Unknown,
}

/// The remaining replies, and the query strings of the resume calls so far.
#[derive(Clone)]
struct Script {
    replies: Rc<RefCell<VecDeque<Reply>>>,
    resumes: Rc<RefCell<Vec<String>>>,
}

async fn serve_reply(http: HttpRequest) -> HttpResponse {
    let script = http.app_data::<Script>().unwrap();
    if !http.query_string().is_empty() {
        script
            .resumes
            .borrow_mut()
            .push(http.query_string().to_owned());
    }
    let Some(reply) = script.replies.borrow_mut().pop_front() else {
        return HttpResponse::NotFound().finish();
    };
    let (tokens, count) = match reply {
        Reply::Unknown => return HttpResponse::NotFound().finish(),
        Reply::Drop => (&[][..], None),
        Reply::Break(tokens) | Reply::Stall(tokens) => (tokens, None),
        Reply::End(tokens, count) => (tokens, Some(count)),
    };

    let mut body = String::new();
    for seq in tokens {
        let token = json!({ "seq": seq, "choices": [{ "text": format!("{seq} ") }] });
        body += &format!("data: {token}\n\n");
    }
    if let Some(count) = count {
        let end = json!({ "seq": count, "choices": [{ "text": "", "finish_reason": "stop" }] });
        body += &format!("data: {end}\n\ndata: [DONE]\n\n");
    }
    let tokens_body = stream::once(async { Ok::<_, io::Error>(Bytes::from(body)) });
    let response = &mut HttpResponse::Ok();
    match reply {
        Reply::Stall(_) => response.streaming(tokens_body.chain(stream::pending())),
        Reply::Break(_) => {
            // After this delay the tokens have been sent.
            let broken = stream::once(async {
                tokio::time::sleep(Duration::from_millis(20)).await;
                Err(io::Error::other("broken"))
            });
            response.streaming(tokens_body.chain(broken))
        }
        Reply::Drop => {
            let broken = stream::once(async { Err::<Bytes, _>(io::Error::other("broken")) });
            response.streaming(broken)
        }
        Reply::End(..) | Reply::Unknown => response.streaming(tokens_body),
    }
}

/// Returns an unused address: each process has its own part of the loopback
/// network, and the ports are below the system's ephemeral range.
fn unused_addr() -> SocketAddr {
    static PORTS: AtomicU16 = AtomicU16::new(7100);
    let [_, _, a, b] = std::process::id().to_be_bytes();
    let port = PORTS.fetch_add(1, Ordering::Relaxed);
    (Ipv4Addr::new(127, a.max(1), b, 2), port).into()
}

/// Starts a scripted engine that sends `replies`, and its sidecar.
async fn start(replies: &[Reply]) -> (Peer, Script) {
    let script = Script {
        replies: Rc::new(RefCell::new(replies.iter().copied().collect())),
        resumes: Rc::default(),
    };
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let engine = listener.local_addr().unwrap();
    let app = App::new()
        .app_data(script.clone())
        .route("/v1/completions", web::post().to(serve_reply))
        .route("/v1/streams/{id}", web::get().to(serve_reply));
    actix_rt::spawn(base::http::serve(listener, app, StopSignal::new()));

    let addr = unused_addr();
    let settings = json!({
        "name": "sidecar", "zone": "plateau", "listen": addr, "log_level": "off",
        "backend": { "engine": { "addr": engine, "slots": 1 } },
        "streams": { "silence": "100ms", "patience": "1s", "attempts": 3 },
    });
    let settings: sidecar::Settings = serde_json::from_value(settings).unwrap();
    actix_rt::spawn(sidecar::run(settings, StopSignal::new()));
    let timeouts = Timeouts {
        margin: Duration::from_secs(10),
        connect: Duration::from_secs(10),
        idle: Duration::from_secs(60),
    };
    (Peer::new(addr, timeouts), script)
}

const HEADER: CallHeader = CallHeader {
    sequence: BundleSequence(0),
};

/// Runs one request and returns the text of its chunks and its end.
async fn run(peer: &Peer) -> (String, ResponseEnd) {
    let ticket = RequestId(7);
    let request = ReserveRequest {
        ticket,
        class: "counter".to_owned(),
        workspace: "cantine".to_owned(),
        weight: 1,
        tier: Tier(0),
        ttft_budget_us: 60_000_000,
        total_budget_us: 60_000_000,
        prompt_tokens: 1,
        max_tokens: 100,
        prefix_hash: 0,
        repeatable: true,
        preemptions: 0,
        wait_ms: 1000,
    };
    let reservation = loop {
        match peer.reserve(HEADER, request.clone()).await {
            Ok(reply) => break reply,
            // The sidecar does not listen yet.
            Err(_) => tokio::time::sleep(Duration::from_millis(5)).await,
        }
    };
    assert!(
        matches!(reservation.body, ReserveOutcome::Ready { .. }),
        "{reservation:?}"
    );
    let start_request = StartRequest {
        ticket,
        incarnation: reservation.incarnation,
        work: BackendRequest::Completion {
            body: Bytes::from_static(b"{}"),
            chat: false,
        },
    };
    peer.start(HEADER, start_request).await.unwrap();

    let (mut text, mut from) = (String::new(), 0);
    loop {
        let request = PullRequest {
            ticket,
            from,
            wait_ms: 1000,
        };
        let reply = peer.pull(HEADER, request).await.unwrap();
        let PullOutcome::Chunks { first, chunks, end } = reply.body else {
            panic!("the ticket is unknown");
        };
        assert_eq!(first, from);
        from += u32::try_from(chunks.len()).unwrap();
        for chunk in chunks {
            text += std::str::from_utf8(&chunk.data).unwrap();
        }
        if let Some(end) = end {
            return (text, end);
        }
    }
}

// A stream breaks, goes silent, repeats tokens or skips some, once or several
// times. The sidecar resumes it from the next missing sequence number, so the
// caller gets each token once, in order, and the end.
#[rstest]
#[case::broken(&[Reply::Break(&[0, 1]), Reply::End(&[2, 3], 4)], &["from=2"])]
#[case::dropped(&[Reply::Drop, Reply::End(&[0, 1, 2, 3], 4)], &["from=0"])]
#[case::silent(&[Reply::Stall(&[0, 1]), Reply::End(&[2, 3], 4)], &["from=2"])]
#[case::silent_before_first(&[Reply::Stall(&[]), Reply::End(&[0, 1, 2, 3], 4)], &["from=0"])]
#[case::broken_twice(
    &[Reply::Break(&[0, 1]), Reply::Break(&[]), Reply::End(&[2, 3], 4)],
    &["from=2", "from=2"],
)]
#[case::repeats(&[Reply::Break(&[0, 1, 2]), Reply::End(&[1, 2, 3], 4)], &["from=3"])]
#[case::gap(&[Reply::End(&[0, 1, 3], 4), Reply::End(&[2, 3], 4)], &["from=2"])]
#[case::gap_at_end(&[Reply::End(&[0, 1, 2], 4), Reply::End(&[3], 4)], &["from=3"])]
#[case::no_end(&[Reply::Stall(&[0, 1, 2, 3]), Reply::End(&[], 4)], &["from=4"])]
#[actix_rt::test]
async fn resume_completes(#[case] replies: &[Reply], #[case] resumes: &[&str]) {
    let (peer, script) = start(replies).await;
    let (text, end) = run(&peer).await;
    assert_eq!(text, "0 1 2 3 ");
    assert!(
        matches!(end, ResponseEnd::Complete { chunk_count: 4, .. }),
        "{end:?}"
    );
    assert_eq!(*script.resumes.borrow(), resumes);
}

// The engine has lost the stream, keeps skipping a token, or stays silent. The
// response ends as partially executed, or as unknown if no token was received,
// and no token is delivered out of order.
#[rstest]
#[case::lost(&[Reply::Break(&[0, 1]), Reply::Unknown], "0 1 ", Executed::Partial)]
#[case::lost_before_first(&[Reply::Break(&[]), Reply::Unknown], "", Executed::Unknown)]
#[case::lost_before_header(&[Reply::Drop, Reply::Unknown], "", Executed::Unknown)]
#[case::gap_stays(
    &[Reply::Break(&[0, 2]), Reply::Break(&[2]), Reply::Break(&[2]), Reply::Break(&[2])],
    "0 ",
    Executed::Partial,
)]
#[case::silent_for_good(&[Reply::Stall(&[0]); 20], "0 ", Executed::Partial)]
#[actix_rt::test]
async fn resume_fails(
    #[case] replies: &[Reply],
    #[case] expected_text: &str,
    #[case] ran: Executed,
) {
    let (peer, _script) = start(replies).await;
    let (text, end) = run(&peer).await;
    assert_eq!(text, expected_text);
    let reason = Refusal::BackendFailed;
    assert_eq!(end, ResponseEnd::Interrupted { reason, ran });
}
