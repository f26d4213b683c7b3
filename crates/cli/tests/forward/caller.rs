//! An HTTP client that calls the entry.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use crate::platform::header;

/// Read timeout of a caller.
pub(crate) const READ_TIMEOUT: Duration = Duration::from_secs(8);

/// Outcome of a call for its caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum Outcome {
    /// A complete answer with this status and body.
    Complete(u16, String),
    /// A truncated answer.
    Truncated,
    /// No answer.
    NoAnswer,
}

/// Makes one call, on its own connection.
pub(crate) fn call(at: SocketAddr, path: &str, id: &str) -> Outcome {
    let Ok(mut stream) = TcpStream::connect(at) else {
        return Outcome::NoAnswer;
    };
    let _ = stream.set_read_timeout(Some(READ_TIMEOUT));
    let request = format!(
        "POST {path} HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: {id}\r\nX-Deadline-Ms: 6000\r\n\
         X-Token-Count: 1000,40\r\nConnection: close\r\nContent-Length: 4\r\n\r\nbody"
    );
    if stream.write_all(request.as_bytes()).is_err() {
        return Outcome::NoAnswer;
    }
    let mut all = Vec::new();
    let _ = stream.read_to_end(&mut all);
    let all = String::from_utf8_lossy(&all).into_owned();
    let Some((head, body)) = all.split_once("\r\n\r\n") else {
        return Outcome::NoAnswer;
    };
    let status = head
        .split(' ')
        .nth(1)
        .and_then(|s| s.parse().ok())
        .unwrap_or(0);
    let whole = match header(head, "content-length").and_then(|l| l.parse::<usize>().ok()) {
        Some(length) => body.len() == length,
        None => body.ends_with("0\r\n\r\n"),
    };
    match whole {
        true => Outcome::Complete(status, body.to_owned()),
        false => Outcome::Truncated,
    }
}
