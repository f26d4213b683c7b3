//! Calls to plain services whose answers are cut off.

use std::net::SocketAddr;
use std::time::Duration;

use base::ids::RequestId;
use bytes::Bytes;
use clients::plain::PlainClient;
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
