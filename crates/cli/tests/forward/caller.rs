//! An HTTP client that calls the entry.

use std::io::{BufRead, BufReader, Read, Write};
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
    call_with_prompt(at, path, id, "")
}

/// Makes one call whose prompt has these parts, as in `5c1e:800,91bd:410`.
pub(crate) fn call_with_prompt(at: SocketAddr, path: &str, id: &str, parts: &str) -> Outcome {
    let Ok(mut stream) = TcpStream::connect(at) else {
        return Outcome::NoAnswer;
    };
    let _ = stream.set_read_timeout(Some(READ_TIMEOUT));
    let request = format!(
        "POST {path} HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: {id}\r\nX-Deadline-Ms: 6000\r\n\
         X-Token-Count: 1000,40\r\nX-Prefix-Hash: {parts}\r\nConnection: close\r\n\
         Content-Length: 4\r\n\r\nbody"
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

/// A stream as its caller sees it, over all calls for it.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub(crate) struct StreamRead {
    /// The status of the last call; 0 if it had no answer.
    pub(crate) status: u16,
    /// The number and data of each event.
    pub(crate) events: Vec<(u32, String)>,
    /// Whether the last answer ended as complete.
    pub(crate) complete: bool,
}

impl StreamRead {
    /// Makes one call for the stream that the call `first` began, which is `id` itself for a
    /// new stream and empty if it is not named, and reads until `count` events have arrived in all or the answer ends.
    pub(crate) fn read(&mut self, at: SocketAddr, id: &str, first: &str, count: usize) {
        self.read_at(at, "/resume/x", id, first, count);
    }

    /// Like [`read`](Self::read), for streams of another path.
    pub(crate) fn read_at(
        &mut self,
        at: SocketAddr,
        path: &str,
        id: &str,
        first: &str,
        count: usize,
    ) {
        (self.status, self.complete) = (0, false);
        let Ok(mut stream) = TcpStream::connect(at) else {
            return;
        };
        let _ = stream.set_read_timeout(Some(READ_TIMEOUT));
        let resumes = match self.events.last() {
            Some((last, _)) if first.is_empty() => format!("Last-Event-Id: {last}\r\n"),
            Some((last, _)) => format!("Last-Event-Id: {last}\r\nResumes: {first}\r\n"),
            None => String::new(),
        };
        let request = format!(
            "POST {path} HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: {id}\r\n\
             X-Deadline-Ms: 60000\r\nX-Token-Count: 715,280\r\n{resumes}Connection: close\r\n\
             Content-Length: 4\r\n\r\nbody"
        );
        if stream.write_all(request.as_bytes()).is_err() {
            return;
        }
        let mut number = None;
        for line in BufReader::new(stream).lines().map_while(Result::ok) {
            if self.status == 0 {
                self.status = line.split(' ').nth(1).map_or(0, |s| s.parse().unwrap_or(0));
            } else if let Some(id) = line.strip_prefix("id: ") {
                number = id.parse().ok();
            } else if let (Some(data), Some(number)) = (line.strip_prefix("data: "), number) {
                self.events.push((number, data.to_owned()));
                if self.events.len() >= count {
                    return;
                }
            }
            self.complete |= line == "0" && self.status == 200;
        }
    }

    /// Whether the events come from servers of one version, in order.
    pub(crate) fn is_consistent(&self) -> bool {
        let versions = self.events.windows(2).all(|pair| pair[0].1 == pair[1].1);
        let numbers = self.events.iter().map(|(number, _)| *number);
        versions && numbers.eq(1..=self.events.len() as u32)
    }
}
