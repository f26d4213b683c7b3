//! Callers that hold many connections.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};

use rstest::rstest;

use crate::caller::{Outcome, call};
use crate::platform::{Platform, wait_until};
use crate::process::Entry;

/// Descriptors that the entry may use.
const MAX_FDS: u32 = 64;

/// Connections that callers open.
const CONNECTIONS: usize = 150;

/// What a caller sends on a connection that it keeps open.
#[derive(Debug, Clone, Copy)]
enum Hold {
    /// Nothing.
    Silent,
    /// Half of a request's head.
    HalfHead,
    /// A request, whose answer it reads before the next.
    Idle,
}

fn open(at: SocketAddr, hold: Hold) -> Option<TcpStream> {
    let mut stream = TcpStream::connect(at).ok()?;
    match hold {
        Hold::Silent => {}
        Hold::HalfHead => {
            let _ = stream.write_all(b"POST /safe/x HTTP/1.1\r\nHost: h.exa");
        }
        Hold::Idle => {
            let _ = stream.write_all(
                b"POST /safe/x HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: idle\r\n\
                  Content-Length: 4\r\n\r\nbody",
            );
            let _ = stream.read(&mut [0; 256]);
        }
    }
    Some(stream)
}

/// Guards against callers that take all descriptors: the readiness page does not answer, and
/// the entry cannot reach its backend servers.
#[rstest]
#[case::silent(Hold::Silent)]
#[case::half_head(Hold::HalfHead)]
#[case::idle(Hold::Idle)]
fn callers_hold_all_connections(#[case] hold: Hold) {
    let (platform, store) = Platform::start();
    let _servers = [platform.server(), platform.server()];
    let name = format!("descriptors-{hold:?}");
    let mut entry = Entry::start_with_fds(&name, store, MAX_FDS);
    wait_until("the entry is ready", || entry.ready());

    let held: Vec<_> = (0..CONNECTIONS)
        .filter_map(|_| open(entry.addr(), hold))
        .collect();
    assert!(entry.ready(), "the readiness page fails");
    let outcome = call(entry.addr(), "/safe/x", "other");
    assert!(matches!(outcome, Outcome::Complete(200, _)), "{outcome:?}");
    assert!(entry.ready(), "the readiness page fails");
    drop(held);
    assert!(entry.running());
}

/// Guards against settings that promise more descriptors than the process has: callers take
/// all of them.
#[rstest]
#[case::silent(Hold::Silent)]
#[case::half_head(Hold::HalfHead)]
fn settings_promise_more_descriptors(#[case] hold: Hold) {
    let (platform, store) = Platform::start();
    let _servers = [platform.server(), platform.server()];
    let name = format!("promised-{hold:?}");
    let mut entry = Entry::start_with_promised_fds(&name, store, 4096, MAX_FDS);
    wait_until("the entry is ready", || entry.ready());

    let held: Vec<_> = (0..CONNECTIONS)
        .filter_map(|_| open(entry.addr(), hold))
        .collect();
    assert!(entry.ready(), "the readiness page fails");
    let outcome = call(entry.addr(), "/safe/x", "other");
    assert!(matches!(outcome, Outcome::Complete(200, _)), "{outcome:?}");
    drop(held);
    assert!(entry.running());
}

/// Guards against connections to the operators' address that keep the load balancer from
/// reading the readiness page.
#[test]
fn operator_connections_are_limited() {
    let (platform, store) = Platform::start();
    let _server = platform.server();
    let mut entry = Entry::start_with_fds("operator-connections", store, MAX_FDS);
    wait_until("the entry is ready", || entry.ready());

    let held: Vec<_> = (0..CONNECTIONS)
        .filter_map(|_| open(entry.operators(), Hold::HalfHead))
        .collect();
    assert!(entry.ready(), "the readiness page fails");
    let outcome = call(entry.addr(), "/safe/x", "other");
    assert!(matches!(outcome, Outcome::Complete(200, _)), "{outcome:?}");
    drop(held);
    assert!(entry.running());
}
