//! Connections that fall silent inside the body of an answer, without a reset.

use std::net::SocketAddr;
use std::time::Duration;

use clients::engine::EngineClient;
use clients::hosts::HostsClient;
use clients::orders::OrdersClient;
use rstest::rstest;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

/// Time after which a call counts as one that never ends. All timeouts are far below.
const GIVE_UP: Duration = Duration::from_secs(30);

/// Starts a server that sends the beginning of each answer and keeps the connection open.
async fn stalling_server() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a listener");
    let addr = listener.local_addr().expect("an address");
    actix_rt::spawn(async move {
        let mut open = Vec::new();
        while let Ok((mut stream, _)) = listener.accept().await {
            let _ = stream.read(&mut [0; 4096]).await;
            let part = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n\
                        Content-Length: 4096\r\n\r\n{\"hosts\":[";
            let _ = stream.write_all(part.as_bytes()).await;
            open.push(stream);
        }
    });
    addr
}

/// A call that reads the body of an answer.
#[derive(Debug, Clone, Copy)]
enum Call {
    CacheEvents,
    Orders,
    Hosts,
}

/// Guards against a reader that waits for ever for the rest of an answer.
#[rstest]
#[actix_rt::test]
async fn stalled_answer_blocks_reader(
    #[values(Call::CacheEvents, Call::Orders, Call::Hosts)] call: Call,
) {
    let addr = stalling_server().await;
    let called = async {
        match call {
            Call::CacheEvents => EngineClient::new(addr).cache_events(0).await.is_err(),
            Call::Orders => OrdersClient::new(addr).state().await.is_err(),
            Call::Hosts => HostsClient::new(addr, "region").read().await.is_err(),
        }
    };
    assert_eq!(tokio::time::timeout(GIVE_UP, called).await, Ok(true));
}
