//! Graceful shutdown of an HTTP application.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use actix_web::{App, HttpResponse, web};
use base::clock::SystemClock;
use base::http::limits::Connections;
use base::http::{serve_and_drain, serve_limited_and_drain};
use base::memory::Account;
use base::stop::StopSignal;
use rstest::rstest;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::oneshot;

/// Timeout after which a test fails; far longer than any test takes.
const TEST_TIMEOUT: Duration = Duration::from_secs(20);

/// Size of a response in bytes, larger than the kernel's loopback buffers.
const RESPONSE_SIZE: usize = 32 << 20;

const SMALL_REQUEST: &[u8] = b"GET /small HTTP/1.1\r\nhost: a\r\n\r\n";

/// Starts an application; the receiver completes when it has ended.
async fn start(stop: &StopSignal) -> (SocketAddr, oneshot::Receiver<()>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    let app = App::new()
        .route("/small", web::get().to(async || "small"))
        .route(
            "/large",
            web::get().to(async || HttpResponse::Ok().body(vec![b'x'; RESPONSE_SIZE])),
        );
    let (ended_tx, ended_rx) = oneshot::channel();
    let stop = stop.clone();
    actix_rt::spawn(async move {
        serve_and_drain(listener, app, stop, TEST_TIMEOUT * 10)
            .await
            .unwrap();
        let _ = ended_tx.send(());
    });
    (addr, ended_rx)
}

async fn wait_ended(ended_rx: oneshot::Receiver<()>) {
    let ended = tokio::time::timeout(TEST_TIMEOUT, ended_rx).await;
    ended.expect("the application ends in time").unwrap();
}

// Guards against a shutdown that waits for the keep-alive timeout of over a
// minute: a load balancer keeps a connection open after a request.
#[actix_rt::test]
async fn shutdown_with_idle_connection() {
    let stop = StopSignal::new();
    let (addr, ended_rx) = start(&stop).await;
    let mut idle = TcpStream::connect(addr).await.unwrap();
    idle.write_all(SMALL_REQUEST).await.unwrap();
    let mut body = [0; 5];
    idle.read_exact(&mut body).await.unwrap();

    stop.trigger();
    wait_ended(ended_rx).await;
    let mut rest = Vec::new();
    idle.read_to_end(&mut rest).await.unwrap();
    assert!(rest.ends_with(b"small"));
}

// Guards against a shutdown that waits for a connection without any request:
// load balancers open connections in advance.
#[actix_rt::test]
async fn shutdown_with_unused_connection() {
    let stop = StopSignal::new();
    let (addr, ended_rx) = start(&stop).await;
    let mut unused = TcpStream::connect(addr).await.unwrap();
    let mut served = TcpStream::connect(addr).await.unwrap();
    served.write_all(SMALL_REQUEST).await.unwrap();
    served.read_exact(&mut [0; 5]).await.unwrap();

    stop.trigger();
    wait_ended(ended_rx).await;
    assert_eq!(unused.read(&mut [0; 1]).await.unwrap(), 0);
}

// Guards against a truncated response: a caller reads a large response slowly,
// and the shutdown happens after the handler has returned but before all bytes
// are sent.
#[actix_rt::test]
async fn shutdown_with_slow_reader() {
    let stop = StopSignal::new();
    let (addr, ended_rx) = start(&stop).await;
    let mut slow = TcpStream::connect(addr).await.unwrap();
    slow.write_all(b"GET /large HTTP/1.1\r\nhost: a\r\n\r\n")
        .await
        .unwrap();
    slow.read_exact(&mut [0; 5]).await.unwrap();

    stop.trigger();
    tokio::time::sleep(Duration::from_millis(100)).await;
    let mut rest = Vec::new();
    slow.read_to_end(&mut rest).await.unwrap();
    assert!(rest.len() > RESPONSE_SIZE, "{} bytes", rest.len());
    wait_ended(ended_rx).await;
}

// Guards against a shutdown that never ends: a caller does not read its
// response, and the wait for it must be bounded.
#[actix_rt::test]
async fn shutdown_with_stalled_reader() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    let large = async || HttpResponse::Ok().body(vec![b'x'; RESPONSE_SIZE]);
    let app = App::new().route("/large", web::get().to(large));
    let stop = StopSignal::new();
    let stop_clone = stop.clone();
    let limit = Duration::from_millis(50);
    let served = actix_rt::spawn(serve_and_drain(listener, app, stop_clone, limit));

    let mut stalled = TcpStream::connect(addr).await.unwrap();
    stalled
        .write_all(b"GET /large HTTP/1.1\r\nhost: a\r\n\r\n")
        .await
        .unwrap();
    stalled.read_exact(&mut [0; 5]).await.unwrap();
    stop.trigger();
    let served = tokio::time::timeout(TEST_TIMEOUT, served).await;
    served
        .expect("the application ends in time")
        .unwrap()
        .unwrap();
}

/// Serves `/small`, which counts its runs and takes as long as `gate` is closed, until `stop`.
async fn start_gated(stop: &StopSignal, gate: &StopSignal) -> (SocketAddr, Rc<Cell<u32>>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    let (runs, gate) = (Rc::new(Cell::new(0)), gate.clone());
    let counted = Rc::clone(&runs);
    let small = move || {
        counted.set(counted.get() + 1);
        let gate = gate.clone();
        async move {
            gate.wait().await;
            "small"
        }
    };
    let app = App::new().route("/small", web::get().to(small));
    let limit = TEST_TIMEOUT * 10;
    actix_rt::spawn(serve_and_drain(listener, app, stop.clone(), limit));
    (addr, runs)
}

/// Opens connections, sends a request on each, and stops the application before it can see any
/// of them.
fn send_unseen(addr: SocketAddr, requests: &[&[u8]]) -> Vec<TcpStream> {
    let open = |request: &&[u8]| {
        let mut stream = std::net::TcpStream::connect(addr).unwrap();
        std::io::Write::write_all(&mut stream, request).unwrap();
        stream.set_nonblocking(true).unwrap();
        TcpStream::from_std(stream).unwrap()
    };
    requests.iter().map(open).collect()
}

async fn read_all(stream: &mut TcpStream) -> String {
    let mut all = Vec::new();
    let read = tokio::time::timeout(TEST_TIMEOUT, stream.read_to_end(&mut all));
    read.await.expect("the connection ends in time").unwrap();
    String::from_utf8_lossy(&all).into_owned()
}

// Guards against requests that wait in the accept queue when the shutdown begins and whose
// connections are closed without an answer.
#[actix_rt::test]
async fn shutdown_with_requests_in_accept_queue() {
    let (stop, gate) = (StopSignal::new(), StopSignal::new());
    gate.trigger();
    let (addr, runs) = start_gated(&stop, &gate).await;
    tokio::task::yield_now().await;
    let mut callers = send_unseen(addr, &[SMALL_REQUEST; 8]);
    stop.trigger();
    for caller in &mut callers {
        let answer = read_all(caller).await;
        assert!(answer.ends_with("small"), "{answer:?}");
    }
    assert_eq!(runs.get(), 8);
}

// Guards against a request that arrives on a kept connection just before the shutdown and whose
// connection is closed without an answer.
#[actix_rt::test]
async fn shutdown_with_request_on_kept_connection() {
    let (stop, gate) = (StopSignal::new(), StopSignal::new());
    gate.trigger();
    let (addr, runs) = start_gated(&stop, &gate).await;
    let mut kept = TcpStream::connect(addr).await.unwrap();
    kept.write_all(SMALL_REQUEST).await.unwrap();
    let mut answer = Vec::new();
    while !answer.ends_with(b"small") {
        assert!(kept.read_buf(&mut answer).await.unwrap() > 0);
    }
    kept.try_write(SMALL_REQUEST).unwrap();
    stop.trigger();
    let answer = read_all(&mut kept).await;
    assert!(answer.ends_with("small"), "{answer:?}");
    assert_eq!(runs.get(), 2);
}

// Guards against a request whose head is half read when the shutdown begins and whose
// connection is closed without an answer although the rest has been sent.
#[actix_rt::test]
async fn shutdown_with_half_a_head() {
    let (stop, gate) = (StopSignal::new(), StopSignal::new());
    gate.trigger();
    let (addr, _) = start_gated(&stop, &gate).await;
    let (first, rest) = SMALL_REQUEST.split_at(12);
    let mut callers = send_unseen(addr, &[first]);
    stop.trigger();
    tokio::task::yield_now().await;
    callers[0].write_all(rest).await.unwrap();
    let answer = read_all(&mut callers[0]).await;
    assert!(answer.ends_with("small"), "{answer:?}");
}

// Guards against running a pipelined request whose answer the caller does not get: it may send
// it again elsewhere.
#[rstest]
#[case::soon_after(false)]
#[case::once_connections_close(true)]
#[actix_rt::test]
async fn shutdown_with_pipelined_request(#[case] late: bool) {
    let (stop, gate) = (StopSignal::new(), StopSignal::new());
    let (addr, runs) = start_gated(&stop, &gate).await;
    let mut unused = TcpStream::connect(addr).await.unwrap();
    let mut caller = TcpStream::connect(addr).await.unwrap();
    caller.write_all(SMALL_REQUEST).await.unwrap();
    caller.write_all(SMALL_REQUEST).await.unwrap();
    while runs.get() == 0 {
        tokio::task::yield_now().await;
    }
    stop.trigger();
    if late {
        assert_eq!(read_all(&mut unused).await, "");
    }
    gate.trigger();
    let answers = read_all(&mut caller).await;
    let whole = answers.matches("small").count();
    assert!(whole >= 1 && whole == runs.get() as usize, "{answers:?}");
}

// Guards against a truncated response: a caller that reads slowly sends another request while
// its connection closes, and unread bytes make the kernel discard the end of the response.
#[actix_rt::test]
async fn shutdown_with_crossing_request() {
    let stop = StopSignal::new();
    let (addr, _ended_rx) = start(&stop).await;
    // With a small buffer the end of the response stays in the server's socket.
    let socket = TcpSocket::new_v4().unwrap();
    socket.set_recv_buffer_size(1 << 16).unwrap();
    let mut slow = socket.connect(addr).await.unwrap();
    slow.write_all(b"GET /large HTTP/1.1\r\nhost: a\r\n\r\n")
        .await
        .unwrap();
    let mut length = slow.read(&mut [0; 5]).await.unwrap();
    stop.trigger();
    let mut bytes = vec![0; 1 << 16];
    while length < RESPONSE_SIZE {
        // Fails once the server has closed its side.
        let _ = slow.try_write(SMALL_REQUEST);
        let read = tokio::time::timeout(TEST_TIMEOUT, slow.read(&mut bytes));
        let read = read.await.expect("bytes arrive in time").unwrap();
        assert!(read > 0, "{length} bytes");
        length += read;
    }
}

// Guards against a lost response: it is sent before the request's body was read, and a close
// with unread bytes resets the connection while the caller is still sending.
#[actix_rt::test]
async fn response_before_body() {
    let (stop, gate) = (StopSignal::new(), StopSignal::new());
    let (addr, _) = start_gated(&stop, &gate).await;
    let mut caller = TcpStream::connect(addr).await.unwrap();
    let head =
        format!("POST /other HTTP/1.1\r\nhost: a\r\ncontent-length: {RESPONSE_SIZE}\r\n\r\n");
    caller.write_all(head.as_bytes()).await.unwrap();
    let body = vec![b'x'; 1 << 16];
    for _ in 0..RESPONSE_SIZE / body.len() {
        caller.write_all(&body).await.unwrap();
    }
    let answer = read_all(&mut caller).await;
    assert!(answer.starts_with("HTTP/1.1 404"), "{answer:?}");
}

// Guards against a kept connection on which a request has just arrived giving way to a new one.
#[actix_rt::test]
async fn idle_connection_closed_with_unread_request() {
    const KEPT: usize = 8;
    let stop = StopSignal::new();
    let addr = start_limited(&stop, KEPT).await;

    let mut kept = send_unseen(addr, &[SMALL_REQUEST; KEPT]);
    for caller in &mut kept {
        assert!(read_answer(caller).await.ends_with("small"));
    }
    let newcomers = send_unseen(addr, &[SMALL_REQUEST; KEPT]);
    for caller in &kept {
        assert_eq!(
            caller.try_write(SMALL_REQUEST).unwrap(),
            SMALL_REQUEST.len()
        );
    }
    for caller in &mut kept {
        assert!(read_answer(caller).await.ends_with("small"));
    }
    for mut caller in newcomers {
        let answer = read_answer(&mut caller).await;
        assert!(answer.ends_with("small") || answer.starts_with("HTTP/1.1 503 "));
    }
    stop.trigger();
}

/// Reads one answer with a length.
async fn read_answer(stream: &mut TcpStream) -> String {
    let mut answer = Vec::new();
    let read = async {
        loop {
            let text = String::from_utf8_lossy(&answer).to_ascii_lowercase();
            if let Some((head, body)) = text.split_once("\r\n\r\n") {
                let length = head.split("content-length: ").nth(1);
                let length = length.and_then(|text| text.lines().next()?.parse::<usize>().ok());
                if length.is_none_or(|length| body.len() >= length) {
                    break;
                }
            }
            if stream.read_buf(&mut answer).await.unwrap_or(0) == 0 {
                break;
            }
        }
    };
    tokio::time::timeout(TEST_TIMEOUT, read).await.unwrap();
    String::from_utf8_lossy(&answer).into_owned()
}

/// Serves `/small` on at most `max` connections; returns its address.
async fn start_limited(stop: &StopSignal, max: usize) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    let app = App::new().route("/small", web::get().to(async || "small"));
    let (limit, clock) = (TEST_TIMEOUT * 10, Rc::new(SystemClock));
    let table = Connections::new(max, 0, Account::new(usize::MAX), clock);
    let served = serve_limited_and_drain(listener, app, stop.clone(), limit, table);
    actix_rt::spawn(served);
    addr
}

// Guards against a kept connection that counts as idle, although a request has arrived on it,
// and is closed without an answer to make room for a new one.
#[actix_rt::test]
async fn full_table_with_request_on_kept_connection() {
    let stop = StopSignal::new();
    let addr = start_limited(&stop, 1).await;
    let mut kept = TcpStream::connect(addr).await.unwrap();
    kept.write_all(SMALL_REQUEST).await.unwrap();
    let mut answer = Vec::new();
    while !answer.ends_with(b"small") {
        assert!(kept.read_buf(&mut answer).await.unwrap() > 0);
    }
    // The server sees the new connection first, and the request on the kept one is unread.
    let mut callers = send_unseen(addr, &[SMALL_REQUEST]);
    kept.try_write(SMALL_REQUEST).unwrap();
    answer.clear();
    while !answer.ends_with(b"small") {
        assert!(kept.read_buf(&mut answer).await.unwrap() > 0);
    }
    let mut status = [0; 9];
    callers[0].read_exact(&mut status).await.unwrap();
    assert_eq!(status, *b"HTTP/1.1 ");
}

// Guards against a burst of callers of which the first are closed without an answer to make
// room for the last.
#[actix_rt::test]
async fn burst_above_the_limit() {
    let stop = StopSignal::new();
    let addr = start_limited(&stop, 4).await;
    tokio::task::yield_now().await;
    for mut caller in send_unseen(addr, &[SMALL_REQUEST; 40]) {
        let mut status = [0; 9];
        let read = tokio::time::timeout(TEST_TIMEOUT, caller.read_exact(&mut status));
        read.await.expect("an answer in time").unwrap();
        assert_eq!(status, *b"HTTP/1.1 ");
    }
}
