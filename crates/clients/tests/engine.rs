//! Streams of engines that send bytes without end.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;

use base::ids::{RequestId, Tier};
use bytes::Bytes;
use clients::engine::{EngineClient, MAX_EVENT_BYTES};
use futures_util::StreamExt;
use rstest::rstest;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

/// Bytes that an engine sends at most.
const MOST_BYTES: usize = 6 << 20;

/// Starts an engine that answers one call with a stream of `part` again and again until its
/// caller closes the connection; counts the bytes.
async fn endless_engine(part: &'static str) -> (SocketAddr, Rc<Cell<usize>>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a listener");
    let addr = listener.local_addr().expect("an address");
    let sent = Rc::new(Cell::new(0));
    let count = Rc::clone(&sent);
    actix_rt::spawn(async move {
        let (mut stream, _) = listener.accept().await.expect("a connection");
        let _ = stream.read(&mut [0; 2048]).await;
        let head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
        let _ = stream.write_all(head.as_bytes()).await;
        let block = part.repeat(16_384 / part.len());
        let block = format!("{:x}\r\n{block}\r\n", block.len());
        while count.get() < MOST_BYTES && stream.write_all(block.as_bytes()).await.is_ok() {
            count.set(count.get() + block.len());
        }
        let _ = stream.write_all(b"0\r\n\r\n").await;
    });
    (addr, sent)
}

/// Guards against keeping all bytes of an engine whose event never ends, until the process has
/// no memory left.
#[rstest]
#[case::line("x")]
#[case::data_lines("data: x\n")]
#[case::comments(":x\n")]
#[case::other_fields("x: x\r\n")]
#[actix_rt::test]
async fn event_without_end_is_kept(#[case] part: &'static str) {
    let (addr, sent) = endless_engine(part).await;
    let client = EngineClient::new(addr);
    let stream = client.run(RequestId(1), Tier(0), Bytes::new()).await;
    let mut events = std::pin::pin!(stream.expect("a stream"));
    let next = events.next().await;
    assert!(
        matches!(next, Some(Err(_))),
        "{next:?} after {} bytes",
        sent.get()
    );
    // The kernel's buffers hold what the client has not read.
    let kept = sent.get();
    assert!(kept < MOST_BYTES, "{kept} bytes, limit {MAX_EVENT_BYTES}");
}

/// Guards against failing a stream for the bytes of all its events.
#[rstest]
#[case::feeds("\n\n")]
#[case::returns_and_feeds("\r\n\r\n")]
#[case::returns("\r\r")]
#[actix_rt::test]
async fn long_stream_fails(#[case] end: &str) {
    const EVENT: &str = "data: {\"seq\":0,\"choices\":[{\"text\":\"x\",\"finish_reason\":null}]}";
    let (addr, sent) = endless_engine(format!("{EVENT}{end}").leak()).await;
    let client = EngineClient::new(addr);
    let stream = client.run(RequestId(1), Tier(0), Bytes::new()).await;
    let mut events = std::pin::pin!(stream.expect("a stream"));
    while let Some(event) = events.next().await {
        assert!(event.is_ok(), "{event:?}");
    }
    assert!(sent.get() >= MOST_BYTES, "{} bytes", sent.get());
}
