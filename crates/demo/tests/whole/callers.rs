//! Callers that go away. Their targets are minutes away, so that nothing here
//! ends because its time is up.

use std::io::{BufRead, BufReader, Write};
use std::net::TcpStream;

use crate::common::{Small, until};

/// Tokens of an answer that would take minutes.
const LONG: u32 = 100_000;

/// Opens a connection and sends a streamed completion on it.
fn begin(fleet: &Small, mark: &str) -> TcpStream {
    let body = format!(
        r#"{{"model":"quick","stream":true,"prompt":"x","mark":"{mark}","length":{LONG},"max_tokens":{LONG}}}"#
    );
    let mut stream = TcpStream::connect(fleet.entry()).expect("the entry listens");
    write!(
        stream,
        "POST /v1/completions HTTP/1.1\r\nhost: e\r\nauthorization: Bearer alpha\r\n\
         content-type: application/json\r\ncontent-length: {}\r\n\r\n{body}",
        body.len()
    )
    .expect("the request goes out");
    stream
}

/// Reads until an event with a token came.
fn first_token(stream: &TcpStream) {
    let mut lines = BufReader::new(stream).lines();
    let token = |line: &str| line.contains("finish_reason\":null");
    assert!(lines.any(|line| token(&line.expect("the stream goes on"))));
}

fn running(fleet: &Small) -> u64 {
    fleet.sidecar_status()["load"]["running"]
        .as_u64()
        .expect("a number of requests")
}

/// The caller gets its first tokens and closes the connection. The entry sees
/// the close, cancels at the sidecar, and the sidecar cancels at the engine,
/// which stops making tokens that nobody reads.
#[test]
fn stream_caller_gone() {
    let mut fleet = Small::start(1, 1);
    let stream = begin(&fleet, "gone");
    first_token(&stream);
    drop(stream);

    until("the slot is free", || running(&fleet) == 0);
    let seen = fleet.ledger.counts("gone");
    assert_eq!(
        (seen.runs, seen.completed_runs),
        (1, 0),
        "the engine was stopped before the end"
    );
    fleet.stop();
}

/// One caller's answer holds the only slot while a second caller waits and
/// closes its connection. Its request is taken out of the queue and never
/// reaches the engine, not even when the slot is free again.
#[test]
fn wait_caller_gone() {
    let mut fleet = Small::start(1, 1);
    let first = begin(&fleet, "first");
    first_token(&first);
    let second = begin(&fleet, "second");
    until("the second waits", || {
        fleet.sidecar_status()["load"]["waiting"] == 1
    });

    drop(second);
    until("nobody waits", || {
        fleet.sidecar_status()["load"]["waiting"] == 0
    });
    drop(first);
    until("the slot is free", || running(&fleet) == 0);
    assert_eq!(fleet.ledger.counts("second").runs, 0);
    fleet.stop();
}
