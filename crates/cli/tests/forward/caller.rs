//! Callers of the entry.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use crate::platform::header;

/// A caller gives an answer up after this.
pub(crate) const PATIENCE: Duration = Duration::from_secs(8);

/// What a caller saw.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum Seen {
    /// A whole answer with this status and body.
    Whole(u16, String),
    /// An answer that broke off.
    Cut,
    /// No answer.
    Nothing,
}

/// Makes one call on a connection of its own.
pub(crate) fn call(at: SocketAddr, path: &str, id: &str) -> Seen {
    let Ok(mut stream) = TcpStream::connect(at) else {
        return Seen::Nothing;
    };
    let _ = stream.set_read_timeout(Some(PATIENCE));
    let request = format!(
        "POST {path} HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: {id}\r\nX-Deadline-Ms: 6000\r\n\
         X-Token-Count: 1000,40\r\nConnection: close\r\nContent-Length: 4\r\n\r\nbody"
    );
    if stream.write_all(request.as_bytes()).is_err() {
        return Seen::Nothing;
    }
    let mut all = Vec::new();
    let _ = stream.read_to_end(&mut all);
    let all = String::from_utf8_lossy(&all).into_owned();
    let Some((head, body)) = all.split_once("\r\n\r\n") else {
        return Seen::Nothing;
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
        true => Seen::Whole(status, body.to_owned()),
        false => Seen::Cut,
    }
}
