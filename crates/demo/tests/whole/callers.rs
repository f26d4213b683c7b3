//! Callers that disconnect. Their latency targets are minutes, so that no
//! request ends because of a deadline.

use std::io::{BufRead, BufReader, Write};
use std::net::TcpStream;

use crate::common::{SmallFleet, until};

/// Number of tokens of an answer that would take minutes.
const LONG: u32 = 100_000;

/// Opens a connection and sends a request for a streamed completion.
fn open_stream(fleet: &SmallFleet, mark: &str) -> TcpStream {
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
    .expect("the request is sent");
    stream
}

/// Reads the stream up to the first token.
fn read_first_token(stream: &TcpStream) {
    let mut lines = BufReader::new(stream).lines();
    let token = |line: &str| line.contains("finish_reason\":null");
    assert!(lines.any(|line| token(&line.expect("the stream continues"))));
}

fn running(fleet: &SmallFleet) -> u64 {
    fleet.sidecar_status()["load"]["running"]
        .as_u64()
        .expect("a number of requests")
}

/// A caller disconnects after the first tokens. The entry must cancel the
/// request at the sidecar, and the sidecar at the engine, so that the slot is
/// freed before the answer ends.
#[test]
fn disconnect_while_streaming() {
    let mut fleet = SmallFleet::start(1, 1);
    let stream = open_stream(&fleet, "gone");
    read_first_token(&stream);
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

/// A caller disconnects while its request waits for the only slot. The request
/// must be removed from the queue and never reach the engine, not even when the
/// slot is free again.
#[test]
fn disconnect_while_waiting() {
    let mut fleet = SmallFleet::start(1, 1);
    let first = open_stream(&fleet, "first");
    read_first_token(&first);
    let second = open_stream(&fleet, "second");
    until("the second request waits", || {
        fleet.sidecar_status()["load"]["waiting"] == 1
    });

    drop(second);
    until("no request waits", || {
        fleet.sidecar_status()["load"]["waiting"] == 0
    });
    drop(first);
    until("the slot is free", || running(&fleet) == 0);
    assert_eq!(fleet.ledger.counts("second").runs, 0);
    fleet.stop();
}
