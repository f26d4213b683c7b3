//! Outgoing connections and the local ports that they use.

use std::io;
use std::net::{SocketAddr, TcpListener};

use base::connect::connect;

/// Attempts to connect to one local port. The kernel selects local ports in turn, so each
/// port of its usual range comes up.
const ATTEMPTS: usize = 30_000;

/// Connections of which at least one has a local port to itself.
const CONNECTIONS: usize = 1000;

/// Two adjacent ports of loopback addresses on which nobody listens. The kernel prefers
/// ports of one parity for connections.
fn closed_ports() -> [SocketAddr; 2] {
    let listener = TcpListener::bind("127.0.0.1:0").expect("cannot bind a port");
    let addr = listener.local_addr().expect("listener has no address");
    let adjacent = SocketAddr::new(addr.ip(), addr.port() ^ 1);
    [addr, adjacent]
}

/// Guards against a connection that reaches itself, and with it holds the port of a process
/// that is about to start.
#[actix_rt::test]
async fn no_connection_to_itself() {
    for addr in closed_ports() {
        for _ in 0..ATTEMPTS {
            match connect(addr).await {
                Err(e) => assert_eq!(e.kind(), io::ErrorKind::ConnectionRefused),
                // Another program may have the port by now.
                Ok(stream) => assert_ne!(
                    stream.local_addr().expect("connection has no address"),
                    addr,
                ),
            }
        }
    }
}

/// Guards against an outgoing connection that holds the port of a process of the same host
/// that is about to start. Connections of other programs may use the same local port, so
/// several are tried.
#[actix_rt::test]
async fn local_port_stays_free() {
    let peer = TcpListener::bind("127.0.0.1:0").expect("cannot bind a port");
    let addr = peer.local_addr().expect("listener has no address");
    for _ in 0..CONNECTIONS {
        let connection = connect(addr).await.expect("cannot connect");
        let accepted = peer.accept().expect("cannot accept");
        let local = connection.local_addr().expect("connection has no address");
        if TcpListener::bind(local).is_ok() {
            return;
        }
        drop((connection, accepted));
    }
    panic!("no local port could be bound");
}
