//! Calls to plain services whose answers are cut off.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use base::ids::RequestId;
use bytes::Bytes;
use clients::plain::PlainClient;
use rstest::rstest;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

const LENGTH: &str = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello";

const CHUNKS: &str = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n";

/// Starts a service that answers one call with `answer` and closes the connection.
async fn service(answer: &'static str) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a listener");
    let addr = listener.local_addr().expect("an address");
    actix_rt::spawn(async move {
        let (mut stream, _) = listener.accept().await.expect("a connection");
        let _ = stream.read(&mut [0; 2048]).await;
        let _ = stream.write_all(answer.as_bytes()).await;
    });
    addr
}

/// Starts a service that answers one call when its head has arrived, while its body is still
/// being sent, and resets the connection after `pause`.
async fn early_service(answer: &'static str, pause: Duration) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a listener");
    let addr = listener.local_addr().expect("an address");
    actix_rt::spawn(async move {
        let (mut stream, _) = listener.accept().await.expect("a connection");
        let _ = stream.read(&mut [0; 2048]).await;
        let _ = stream.write_all(answer.as_bytes()).await;
        tokio::time::sleep(pause).await;
        let linger = Some(Duration::ZERO);
        let _ = socket2::SockRef::from(&stream).set_linger(linger);
    });
    addr
}

/// Guards against passing on the beginning of an answer without a length as the whole one,
/// whose service resets the connection while the call is still being sent.
#[rstest]
#[actix_rt::test]
async fn answer_reset_during_upload(
    #[values(200_000, 1_000_000, 4_000_000)] length: usize,
    #[values(0, 5, 30, 300)] pause_ms: u64,
) {
    const PART: &str = "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n\r\npart";
    let addr = early_service(PART, Duration::from_millis(pause_ms)).await;
    let client = PlainClient::new(addr, Duration::from_secs(2));
    let body = Bytes::from(vec![b'p'; length]);
    let called = client.call(RequestId(1), "POST", "/", "", body).await;
    assert!(called.is_err(), "{called:?}");
}

/// Guards against a call that fails because the service has closed the connection of the one
/// before, and against one that is sent twice for that reason.
#[actix_rt::test]
async fn idle_connection_closed_between_calls() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a listener");
    let addr = listener.local_addr().expect("an address");
    let calls = Rc::new(Cell::new(0));
    let counted = Rc::clone(&calls);
    actix_rt::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let _ = stream.read(&mut [0; 2048]).await;
            counted.set(counted.get() + 1);
            let _ = stream.write_all(LENGTH.as_bytes()).await;
        }
    });
    let client = PlainClient::new(addr, Duration::from_secs(2));
    for count in 1..=20 {
        let called = client.call(RequestId(1), "GET", "/", "", Bytes::new());
        assert!(called.await.is_ok());
        assert_eq!(calls.get(), count);
        // Lets the end of the connection arrive.
        tokio::time::sleep(Duration::from_millis(2)).await;
    }
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
async fn answer_without_valid_status(#[case] status: &str) {
    let answer = format!("HTTP/1.1 {status} X\r\nContent-Length: 5\r\n\r\nhello");
    assert_eq!(call(answer.leak()).await, None);
}

/// The body that a call gets; `None` if it fails.
async fn call(answer: &'static str) -> Option<Bytes> {
    let client = PlainClient::new(service(answer).await, Duration::from_secs(2));
    let called = client.call(RequestId(1), "GET", "/", "", Bytes::new());
    called.await.ok().map(|answer| answer.body)
}

/// Guards against passing on an answer with a length that was cut off at any byte.
#[actix_rt::test]
async fn answer_with_length_cut_at_each_byte() {
    assert_eq!(call(LENGTH).await.as_deref(), Some(&b"hello"[..]));
    for length in 0..LENGTH.len() {
        assert_eq!(call(&LENGTH[..length]).await, None, "{length} bytes");
    }
}

/// Guards against passing on an answer in chunks that was cut off at any byte.
#[actix_rt::test]
async fn answer_in_chunks_cut_at_each_byte() {
    assert_eq!(call(CHUNKS).await.as_deref(), Some(&b"hello"[..]));
    for length in 0..CHUNKS.len() {
        assert_eq!(call(&CHUNKS[..length]).await, None, "{length} bytes");
    }
}
