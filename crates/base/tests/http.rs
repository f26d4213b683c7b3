//! Graceful shutdown of an HTTP application.

use std::net::SocketAddr;
use std::time::Duration;

use actix_web::{App, HttpResponse, web};
use base::http::serve_and_drain;
use base::stop::StopSignal;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
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
