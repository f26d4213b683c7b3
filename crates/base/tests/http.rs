//! How an HTTP application stops.

use std::net::SocketAddr;
use std::time::Duration;

use actix_web::{App, HttpResponse, web};
use base::http::serve_and_drain;
use base::stop::StopSignal;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::oneshot;

/// Far longer than any test takes: a wait of this length has failed.
const PATIENCE: Duration = Duration::from_secs(20);

/// Larger than what the kernel's buffers on loopback take.
const LARGE: usize = 32 << 20;

const REQUEST: &[u8] = b"GET /small HTTP/1.1\r\nhost: a\r\n\r\n";

/// An application that runs, and what tells that it has ended.
async fn start(stop: &StopSignal) -> (SocketAddr, oneshot::Receiver<()>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    let app = App::new()
        .route("/small", web::get().to(async || "small"))
        .route(
            "/large",
            web::get().to(async || HttpResponse::Ok().body(vec![b'x'; LARGE])),
        );
    let (ended, wait) = oneshot::channel();
    let stop = stop.clone();
    actix_rt::spawn(async move {
        serve_and_drain(listener, app, stop, PATIENCE * 10)
            .await
            .unwrap();
        let _ = ended.send(());
    });
    (addr, wait)
}

async fn ended(wait: oneshot::Receiver<()>) {
    let ended = tokio::time::timeout(PATIENCE, wait).await;
    ended.expect("the application holds on").unwrap();
}

// A balancer keeps an idle connection open that served a request before.
// The stop must not wait for the keep-alive time of over a minute.
#[actix_rt::test]
async fn serve_whole_idle_connection() {
    let stop = StopSignal::new();
    let (addr, wait) = start(&stop).await;
    let mut idle = TcpStream::connect(addr).await.unwrap();
    idle.write_all(REQUEST).await.unwrap();
    let mut answer = [0; 5];
    idle.read_exact(&mut answer).await.unwrap();

    stop.trigger();
    ended(wait).await;
    let mut rest = Vec::new();
    idle.read_to_end(&mut rest).await.unwrap();
    assert!(rest.ends_with(b"small"));
}

// A balancer opens connections ahead of need and never used this one.
#[actix_rt::test]
async fn serve_whole_unused_connection() {
    let stop = StopSignal::new();
    let (addr, wait) = start(&stop).await;
    let mut unused = TcpStream::connect(addr).await.unwrap();
    let mut served = TcpStream::connect(addr).await.unwrap();
    served.write_all(REQUEST).await.unwrap();
    served.read_exact(&mut [0; 5]).await.unwrap();

    stop.trigger();
    ended(wait).await;
    assert_eq!(unused.read(&mut [0; 1]).await.unwrap(), 0);
}

// A caller reads a large answer slowly: the handler is done long before the
// bytes have left. The stop comes between, and the caller still gets them all.
#[actix_rt::test]
async fn serve_whole_slow_reader() {
    let stop = StopSignal::new();
    let (addr, wait) = start(&stop).await;
    let mut slow = TcpStream::connect(addr).await.unwrap();
    slow.write_all(b"GET /large HTTP/1.1\r\nhost: a\r\n\r\n")
        .await
        .unwrap();
    slow.read_exact(&mut [0; 5]).await.unwrap();

    stop.trigger();
    tokio::time::sleep(Duration::from_millis(100)).await;
    let mut rest = Vec::new();
    slow.read_to_end(&mut rest).await.unwrap();
    assert!(rest.len() > LARGE, "{} bytes", rest.len());
    ended(wait).await;
}

// A caller never reads its answer. The stop waits for it, but not for ever.
#[actix_rt::test]
async fn serve_whole_reader_gone() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    let large = async || HttpResponse::Ok().body(vec![b'x'; LARGE]);
    let app = App::new().route("/large", web::get().to(large));
    let stop = StopSignal::new();
    let asked = stop.clone();
    let limit = Duration::from_millis(50);
    let served = actix_rt::spawn(serve_and_drain(listener, app, asked, limit));

    let mut gone = TcpStream::connect(addr).await.unwrap();
    gone.write_all(b"GET /large HTTP/1.1\r\nhost: a\r\n\r\n")
        .await
        .unwrap();
    gone.read_exact(&mut [0; 5]).await.unwrap();
    stop.trigger();
    let served = tokio::time::timeout(PATIENCE, served).await;
    served.expect("the application holds on").unwrap().unwrap();
}
