//! Connections that fail, fall silent or carry many calls.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use base::ids::{BundleSequence, Incarnation, RequestId};
use base::stop::StopSignal;
use bytes::Bytes;
use futures_util::future::join_all;
use rstest::rstest;
use tarpc::context::Context;
use tokio::net::TcpListener;
use tokio::time::Instant;
use wire::peer::Error;
use wire::{
    CallHeader, CancelOutcome, Peer, PullOutcome, PullRequest, Reply, ReserveOutcome,
    ReserveRequest, ServerLoad, Sidecar, StartOutcome, StartRequest, Timeouts,
};

const STAMP: CallHeader = CallHeader {
    sequence: BundleSequence(0),
};

/// Answers pulls once so many are held at the same time, and cancels at once.
#[derive(Clone)]
struct Holding {
    all: u32,
    held: Rc<Cell<u32>>,
}

fn reply<T>(body: T) -> Reply<T> {
    Reply {
        sequence: BundleSequence(0),
        incarnation: Incarnation(1),
        load: ServerLoad::default(),
        body,
    }
}

impl Sidecar for Holding {
    async fn reserve(self, _: Context, _: CallHeader, _: ReserveRequest) -> Reply<ReserveOutcome> {
        std::future::pending().await
    }

    async fn start(self, _: Context, _: CallHeader, _: StartRequest) -> Reply<StartOutcome> {
        std::future::pending().await
    }

    async fn pull(self, _: Context, _: CallHeader, _: PullRequest) -> Reply<PullOutcome> {
        self.held.set(self.held.get() + 1);
        while self.held.get() < self.all {
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
        reply(PullOutcome::Unknown)
    }

    async fn cancel(self, _: Context, _: CallHeader, _: RequestId) -> Reply<CancelOutcome> {
        reply(CancelOutcome::NeverStarted)
    }

    async fn offer_bundle(self, _: Context, _: CallHeader, _: Bytes) -> Reply<bool> {
        reply(false)
    }

    async fn fetch_bundle(self, _: Context, _: CallHeader) -> Reply<Option<Bytes>> {
        reply(None)
    }
}

async fn listen() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    (listener, addr)
}

fn timing() -> Timeouts {
    Timeouts {
        margin: Duration::from_millis(300),
        ..Timeouts::default()
    }
}

fn pull(wait_ms: u32) -> PullRequest {
    PullRequest {
        ticket: RequestId(1),
        from: 0,
        wait_ms,
    }
}

// Three thousand streams each hold a long poll at one sidecar, as when all its
// callers wait. The library stops sending at 1,000 calls in flight; the others
// would look silent, and the good connection would be dropped.
#[actix_rt::test]
async fn pull_many() {
    const POLLS: u32 = 3000;
    let (listener, addr) = listen().await;
    let holding = Holding {
        all: POLLS,
        held: Rc::default(),
    };
    actix_rt::spawn(wire::serve::serve(listener, holding, StopSignal::new()));

    let peer = Peer::new(addr, timing());
    let polls = (0..POLLS).map(|_| peer.pull(STAMP, pull(20_000)));
    let answers = join_all(polls).await;
    assert_eq!(answers.iter().filter(|a| a.is_ok()).count(), POLLS as usize);
}

// A burst of requests meets a sidecar to which there is no connection yet.
// One is dialled and shared; a hundred would be a storm at every restart.
#[actix_rt::test]
async fn call_dials_once() {
    let (listener, addr) = listen().await;
    let accepted = Rc::new(Cell::new(0));
    let count = Rc::clone(&accepted);
    actix_rt::spawn(async move {
        let mut kept = Vec::new();
        while let Ok((stream, _)) = listener.accept().await {
            count.set(count.get() + 1);
            kept.push(stream);
        }
    });

    let peer = Peer::new(addr, timing());
    let calls = (0..100).map(|i| peer.cancel(STAMP, RequestId(i)));
    let answers = join_all(calls).await;
    assert!(answers.iter().all(Result::is_err));
    assert_eq!(accepted.get(), 1);
}

// The first connection accepts everything and answers nothing, as when the
// path has lost track of it; new connections work. All calls in flight learn
// of it with the first that runs out of time, and the next call is answered.
#[actix_rt::test]
async fn call_silent_connection() {
    let (listener, addr) = listen().await;
    actix_rt::spawn(async move {
        let _first = listener.accept().await;
        let holding = Holding {
            all: 0,
            held: Rc::default(),
        };
        wire::serve::serve(listener, holding, StopSignal::new()).await;
    });

    let peer = Peer::new(addr, timing());
    // A poll that may be held for minutes ends with the short call.
    let both = futures_util::future::join(
        peer.cancel(STAMP, RequestId(1)),
        peer.pull(STAMP, pull(600_000)),
    );
    let both = tokio::time::timeout(Duration::from_secs(20), both).await;
    let (short, long) = both.expect("both calls end");
    assert!(matches!(short, Err(Error::Silent { .. })));
    assert!(matches!(long, Err(Error::Silent { .. })));

    let again = loop {
        match peer.cancel(STAMP, RequestId(1)).await {
            // Left alone for a moment, since no connection has worked yet.
            Err(Error::Dial { .. }) => tokio::time::sleep(Duration::from_millis(10)).await,
            answer => break answer,
        }
    };
    assert!(again.is_ok());
}

// One call is lost at the sidecar while others on the same connection are
// answered. Only that call fails; dropping the connection would cut off all.
#[actix_rt::test]
async fn call_lost_alone() {
    let (listener, addr) = listen().await;
    let holding = Holding {
        all: 1000,
        held: Rc::default(),
    };
    let held = Rc::clone(&holding.held);
    actix_rt::spawn(wire::serve::serve(listener, holding, StopSignal::new()));

    let peer = Peer::new(addr, timing());
    let lost = async {
        let answer = peer.pull(STAMP, pull(1000)).await;
        // Both polls are answered now, if their connection is still there.
        held.set(1000);
        answer
    };
    let other = async {
        while held.get() < 2 {
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
        peer.cancel(STAMP, RequestId(1)).await
    };
    let kept = peer.pull(STAMP, pull(20_000));
    let (lost, kept, other) = futures_util::join!(lost, kept, other);
    assert!(matches!(lost, Err(Error::Silent { .. })));
    assert!(kept.is_ok() && other.is_ok());
}

// Callers hammer a peer that accepts and resets, or refuses to connect. It is
// left alone between tries for a time that grows, so that a host in trouble
// is not dialled thousands of times a second.
#[rstest]
#[case::resets(true)]
#[case::refuses(false)]
#[actix_rt::test]
async fn call_backs_off(#[case] accepts: bool) {
    let (listener, addr) = listen().await;
    let dialled = Rc::new(Cell::new(0u32));
    let count = Rc::clone(&dialled);
    if accepts {
        actix_rt::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                count.set(count.get() + 1);
                drop(stream);
            }
        });
    } else {
        drop(listener);
    }

    let peer = Peer::new(addr, timing());
    let until = Instant::now() + Duration::from_millis(500);
    let mut refused_at_once = 0;
    while Instant::now() < until {
        match peer.cancel(STAMP, RequestId(1)).await {
            Err(Error::Dial { source, .. })
                if source.kind() == std::io::ErrorKind::HostUnreachable =>
            {
                refused_at_once += 1;
            }
            answer => assert!(answer.is_err()),
        }
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
    // At 50 ms, 150 ms and 350 ms after the first, and no more.
    assert!(dialled.get() <= 4, "dialled {} times", dialled.get());
    assert!(refused_at_once > 0);
}

// A connection was idle for so long that the path may have lost track of it.
// The next request gets a new one instead of waiting for the margin.
#[actix_rt::test]
async fn call_after_idle() {
    let (listener, addr) = listen().await;
    let accepted = Rc::new(Cell::new(0));
    let count = Rc::clone(&accepted);
    let (inner, inner_addr) = listen().await;
    let holding = Holding {
        all: 0,
        held: Rc::default(),
    };
    actix_rt::spawn(wire::serve::serve(inner, holding, StopSignal::new()));
    actix_rt::spawn(async move {
        while let Ok((mut near, _)) = listener.accept().await {
            count.set(count.get() + 1);
            actix_rt::spawn(async move {
                let mut far = tokio::net::TcpStream::connect(inner_addr).await.unwrap();
                let _ = tokio::io::copy_bidirectional(&mut near, &mut far).await;
            });
        }
    });

    let peer = Peer::new(
        addr,
        Timeouts {
            idle: Duration::ZERO,
            ..timing()
        },
    );
    for n in 1..=3 {
        assert!(peer.cancel(STAMP, RequestId(n)).await.is_ok());
    }
    assert_eq!(accepted.get(), 3);
}
