//! Connections to a sidecar that fail, stop responding or carry many calls.

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

const HEADER: CallHeader = CallHeader {
    sequence: BundleSequence(0),
};

/// Responds to pulls once `all` of them are held concurrently, and to cancels at
/// once.
#[derive(Clone)]
struct HoldingSidecar {
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

impl Sidecar for HoldingSidecar {
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

fn timeouts() -> Timeouts {
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

// Guards against a limit on the calls in flight: 3,000 streams each hold a long
// poll at one sidecar. With tarpc's default limit of 1,000, the other calls would
// time out and the healthy connection would be dropped.
#[actix_rt::test]
async fn pull_many() {
    const POLLS: u32 = 3000;
    let (listener, addr) = listen().await;
    let sidecar = HoldingSidecar {
        all: POLLS,
        held: Rc::default(),
    };
    actix_rt::spawn(wire::serve::serve(listener, sidecar, StopSignal::new()));

    let peer = Peer::new(addr, timeouts());
    let polls = (0..POLLS).map(|_| peer.pull(HEADER, pull(20_000)));
    let answers = join_all(polls).await;
    assert_eq!(answers.iter().filter(|a| a.is_ok()).count(), POLLS as usize);
}

// Guards against one connection per request when a burst of requests goes to a
// sidecar that is not connected yet, as after each restart of it.
#[actix_rt::test]
async fn burst_shares_one_connection() {
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

    let peer = Peer::new(addr, timeouts());
    let calls = (0..100).map(|i| peer.cancel(HEADER, RequestId(i)));
    let answers = join_all(calls).await;
    assert!(answers.iter().all(Result::is_err));
    assert_eq!(accepted.get(), 1);
}

// Guards against calls that wait on a dead connection: the first connection
// accepts everything and never responds, as when a middlebox dropped its state,
// while new connections work. All calls in flight must fail with the first one
// that times out, and the next call must succeed.
#[actix_rt::test]
async fn unresponsive_connection_replaced() {
    let (listener, addr) = listen().await;
    actix_rt::spawn(async move {
        let _first = listener.accept().await;
        let sidecar = HoldingSidecar {
            all: 0,
            held: Rc::default(),
        };
        wire::serve::serve(listener, sidecar, StopSignal::new()).await;
    });

    let peer = Peer::new(addr, timeouts());
    // A long poll of up to 10 minutes must end together with the short call.
    let both = futures_util::future::join(
        peer.cancel(HEADER, RequestId(1)),
        peer.pull(HEADER, pull(600_000)),
    );
    let both = tokio::time::timeout(Duration::from_secs(20), both).await;
    let (short, long) = both.expect("both calls end in time");
    assert!(matches!(short, Err(Error::Silent { .. })));
    assert!(matches!(long, Err(Error::Silent { .. })));

    let again = loop {
        match peer.cancel(HEADER, RequestId(1)).await {
            // In backoff, since no connection has worked yet.
            Err(Error::Dial { .. }) => tokio::time::sleep(Duration::from_millis(10)).await,
            answer => break answer,
        }
    };
    assert!(again.is_ok());
}

// Guards against dropping a healthy connection: one call is lost at the sidecar
// while others on the same connection get responses. Only that call may fail.
#[actix_rt::test]
async fn lost_call_keeps_connection() {
    let (listener, addr) = listen().await;
    let sidecar = HoldingSidecar {
        all: 1000,
        held: Rc::default(),
    };
    let held = Rc::clone(&sidecar.held);
    actix_rt::spawn(wire::serve::serve(listener, sidecar, StopSignal::new()));

    let peer = Peer::new(addr, timeouts());
    let lost = async {
        let answer = peer.pull(HEADER, pull(1000)).await;
        // Both polls get their response now if the connection is still open.
        held.set(1000);
        answer
    };
    let other = async {
        while held.get() < 2 {
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
        peer.cancel(HEADER, RequestId(1)).await
    };
    let kept = peer.pull(HEADER, pull(20_000));
    let (lost, kept, other) = futures_util::join!(lost, kept, other);
    assert!(matches!(lost, Err(Error::Silent { .. })));
    assert!(kept.is_ok() && other.is_ok());
}

// Guards against thousands of connection attempts per second to a failing host:
// calls are made continuously to a sidecar that resets or refuses connections.
// The backoff between attempts must grow.
#[rstest]
#[case::resets(true)]
#[case::refuses(false)]
#[actix_rt::test]
async fn failed_connection_backs_off(#[case] accepts: bool) {
    let (listener, addr) = listen().await;
    let attempts = Rc::new(Cell::new(0u32));
    let count = Rc::clone(&attempts);
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

    let peer = Peer::new(addr, timeouts());
    let until = Instant::now() + Duration::from_millis(500);
    let mut backed_off = 0;
    while Instant::now() < until {
        match peer.cancel(HEADER, RequestId(1)).await {
            Err(Error::Dial { source, .. })
                if source.kind() == std::io::ErrorKind::HostUnreachable =>
            {
                backed_off += 1;
            }
            answer => assert!(answer.is_err()),
        }
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
    // The retries come 50 ms, 150 ms and 350 ms after the first attempt, and none later.
    assert!(
        attempts.get() <= 4,
        "{} connection attempts",
        attempts.get()
    );
    assert!(backed_off > 0);
}

// Guards against taking a slow sidecar for one that is gone: calls during the backoff
// fail at once, and must say whether the failure before was a timeout.
#[rstest]
#[case::silent(true)]
#[case::refuses(false)]
#[actix_rt::test]
async fn backoff_tells_timeout(#[case] accepts: bool) {
    let (listener, addr) = listen().await;
    // The connection is accepted by the operating system, and nobody reads from it.
    let listener = accepts.then_some(listener);

    let peer = Peer::new(addr, timeouts());
    for call in 1..=2 {
        let error = peer.cancel(HEADER, RequestId(call)).await.unwrap_err();
        assert_eq!(error.timed_out(), accepts, "call {call}: {error}");
    }
    drop(listener);
}

// Guards against waiting for the margin on a connection that was idle for so
// long that a middlebox may have dropped its state: the next call must use a new
// connection.
#[actix_rt::test]
async fn idle_connection_replaced() {
    let (listener, addr) = listen().await;
    let accepted = Rc::new(Cell::new(0));
    let count = Rc::clone(&accepted);
    let (inner, inner_addr) = listen().await;
    let sidecar = HoldingSidecar {
        all: 0,
        held: Rc::default(),
    };
    actix_rt::spawn(wire::serve::serve(inner, sidecar, StopSignal::new()));
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
            ..timeouts()
        },
    );
    for n in 1..=3 {
        assert!(peer.cancel(HEADER, RequestId(n)).await.is_ok());
    }
    assert_eq!(accepted.get(), 3);
}
