//! What a sidecar makes of an engine's stream that breaks, repeats itself or
//! has a hole, against an engine that plays a script.

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

/// What the engine answers to one call, the run first and then each resume.
#[derive(Debug, Clone, Copy)]
enum Play {
    /// These tokens and then a broken connection.
    Break(&'static [u32]),
    /// These tokens and then nothing more, with the connection open.
    Mute(&'static [u32]),
    /// These tokens and then the end of an answer of so many tokens.
    End(&'static [u32], u32),
    /// A connection that closes before the header.
    Drop,
    /// It does not know the stream.
    Unknown,
}

/// The plays that are left, and the numbers that resumes asked from.
#[derive(Clone)]
struct Script {
    plays: Rc<RefCell<VecDeque<Play>>>,
    asked: Rc<RefCell<Vec<String>>>,
}

async fn play(http: HttpRequest) -> HttpResponse {
    let script = http.app_data::<Script>().unwrap();
    if !http.query_string().is_empty() {
        script
            .asked
            .borrow_mut()
            .push(http.query_string().to_owned());
    }
    let Some(play) = script.plays.borrow_mut().pop_front() else {
        return HttpResponse::NotFound().finish();
    };
    let (tokens, count) = match play {
        Play::Unknown => return HttpResponse::NotFound().finish(),
        Play::Drop => (&[][..], None),
        Play::Break(tokens) | Play::Mute(tokens) => (tokens, None),
        Play::End(tokens, count) => (tokens, Some(count)),
    };

    let mut out = String::new();
    for seq in tokens {
        let token = json!({ "seq": seq, "choices": [{ "text": format!("{seq} ") }] });
        out += &format!("data: {token}\n\n");
    }
    if let Some(count) = count {
        let end = json!({ "seq": count, "choices": [{ "text": "", "finish_reason": "stop" }] });
        out += &format!("data: {end}\n\ndata: [DONE]\n\n");
    }
    let first = stream::once(async { Ok::<_, io::Error>(Bytes::from(out)) });
    let response = &mut HttpResponse::Ok();
    match play {
        Play::Mute(_) => response.streaming(first.chain(stream::pending())),
        Play::Break(_) => {
            // Late enough for the tokens to have left.
            let broken = stream::once(async {
                tokio::time::sleep(Duration::from_millis(20)).await;
                Err(io::Error::other("broken"))
            });
            response.streaming(first.chain(broken))
        }
        Play::Drop => {
            let broken = stream::once(async { Err::<Bytes, _>(io::Error::other("broken")) });
            response.streaming(broken)
        }
        Play::End(..) | Play::Unknown => response.streaming(first),
    }
}

/// An address that nobody else has: a part of loopback for each process, and
/// below the ports that the system gives to outgoing connections.
fn free() -> SocketAddr {
    static PORTS: AtomicU16 = AtomicU16::new(7100);
    let [_, _, a, b] = std::process::id().to_be_bytes();
    let port = PORTS.fetch_add(1, Ordering::Relaxed);
    (Ipv4Addr::new(127, a.max(1), b, 2), port).into()
}

/// Starts an engine that plays `plays` and a sidecar beside it.
async fn start(plays: &[Play]) -> (Peer, Script) {
    let script = Script {
        plays: Rc::new(RefCell::new(plays.iter().copied().collect())),
        asked: Rc::default(),
    };
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let engine = listener.local_addr().unwrap();
    let app = App::new()
        .app_data(script.clone())
        .route("/v1/completions", web::post().to(play))
        .route("/v1/streams/{id}", web::get().to(play));
    actix_rt::spawn(base::http::serve(listener, app, StopSignal::new()));

    let addr = free();
    let settings = json!({
        "name": "sidecar", "zone": "plateau", "listen": addr, "log_level": "off",
        "backend": { "engine": { "addr": engine, "slots": 1 } },
        "streams": { "silence": "100ms", "patience": "1s", "attempts": 3 },
    });
    let settings: sidecar::Settings = serde_json::from_value(settings).unwrap();
    actix_rt::spawn(sidecar::run(settings, StopSignal::new()));
    let timing = Timeouts {
        margin: Duration::from_secs(10),
        connect: Duration::from_secs(10),
        idle: Duration::from_secs(60),
    };
    (Peer::new(addr, timing), script)
}

const STAMP: CallHeader = CallHeader {
    sequence: BundleSequence(0),
};

/// Runs one request and takes in its pieces and its end.
async fn run(peer: &Peer) -> (String, ResponseEnd) {
    let ticket = RequestId(7);
    let ask = ReserveRequest {
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
    let held = loop {
        match peer.reserve(STAMP, ask.clone()).await {
            Ok(reply) => break reply,
            // It does not listen yet.
            Err(_) => tokio::time::sleep(Duration::from_millis(5)).await,
        }
    };
    assert!(
        matches!(held.body, ReserveOutcome::Ready { .. }),
        "{held:?}"
    );
    let order = StartRequest {
        ticket,
        incarnation: held.incarnation,
        work: BackendRequest::Completion {
            body: Bytes::from_static(b"{}"),
            chat: false,
        },
    };
    peer.start(STAMP, order).await.unwrap();

    let (mut text, mut from) = (String::new(), 0);
    loop {
        let ask = PullRequest {
            ticket,
            from,
            wait_ms: 1000,
        };
        let reply = peer.pull(STAMP, ask).await.unwrap();
        let PullOutcome::Chunks { first, chunks, end } = reply.body else {
            panic!("the ticket is gone");
        };
        assert_eq!(first, from);
        from += u32::try_from(chunks.len()).unwrap();
        for piece in chunks {
            text += std::str::from_utf8(&piece.data).unwrap();
        }
        if let Some(end) = end {
            return (text, end);
        }
    }
}

// The stream breaks, goes silent, repeats tokens or skips some, once or
// several times. The caller gets each token once, in order, and the end: the
// sidecar resumes from the token that it lacks and goes by the numbers.
#[rstest]
#[case::broken(&[Play::Break(&[0, 1]), Play::End(&[2, 3], 4)], &["from=2"])]
#[case::dropped(&[Play::Drop, Play::End(&[0, 1, 2, 3], 4)], &["from=0"])]
#[case::silent(&[Play::Mute(&[0, 1]), Play::End(&[2, 3], 4)], &["from=2"])]
#[case::silent_before_first(&[Play::Mute(&[]), Play::End(&[0, 1, 2, 3], 4)], &["from=0"])]
#[case::broken_twice(
    &[Play::Break(&[0, 1]), Play::Break(&[]), Play::End(&[2, 3], 4)],
    &["from=2", "from=2"],
)]
#[case::repeats(&[Play::Break(&[0, 1, 2]), Play::End(&[1, 2, 3], 4)], &["from=3"])]
#[case::gap(&[Play::End(&[0, 1, 3], 4), Play::End(&[2, 3], 4)], &["from=2"])]
#[case::gap_at_end(&[Play::End(&[0, 1, 2], 4), Play::End(&[3], 4)], &["from=3"])]
#[case::no_end(&[Play::Mute(&[0, 1, 2, 3]), Play::End(&[], 4)], &["from=4"])]
#[actix_rt::test]
async fn resume_whole(#[case] plays: &[Play], #[case] asked: &[&str]) {
    let (peer, script) = start(plays).await;
    let (text, end) = run(&peer).await;
    assert_eq!(text, "0 1 2 3 ");
    assert!(
        matches!(end, ResponseEnd::Complete { chunk_count: 4, .. }),
        "{end:?}"
    );
    assert_eq!(*script.asked.borrow(), asked);
}

// The engine has lost the stream, keeps leaving a hole, or stays silent. The
// caller hears that the answer is partial, or unknown before its first token,
// and never gets a token out of order.
#[rstest]
#[case::lost(&[Play::Break(&[0, 1]), Play::Unknown], "0 1 ", Executed::Partial)]
#[case::lost_before_first(&[Play::Break(&[]), Play::Unknown], "", Executed::Unknown)]
#[case::lost_before_header(&[Play::Drop, Play::Unknown], "", Executed::Unknown)]
#[case::gap_stays(
    &[Play::Break(&[0, 2]), Play::Break(&[2]), Play::Break(&[2]), Play::Break(&[2])],
    "0 ",
    Executed::Partial,
)]
#[case::silent_for_good(&[Play::Mute(&[0]); 20], "0 ", Executed::Partial)]
#[actix_rt::test]
async fn resume_in_vain(#[case] plays: &[Play], #[case] made: &str, #[case] ran: Executed) {
    let (peer, _script) = start(plays).await;
    let (text, end) = run(&peer).await;
    assert_eq!(text, made);
    let reason = Refusal::BackendFailed;
    assert_eq!(end, ResponseEnd::Interrupted { reason, ran });
}
