//! A client that keeps its channel open and sees its answers as a client sees them.

use std::io::{self, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use crate::deployment::{Record, connect};
use crate::http;

/// Longest wait for the next bytes of an answer.
const READ_TIMEOUT: Duration = Duration::from_secs(20);

/// A request of a client.
#[derive(Debug, Clone)]
pub struct Call {
    pub id: String,
    pub path: &'static str,
    /// Tokens of the prompt and of the longest answer, as in `1460,80`.
    pub tokens: String,
    /// Parts of the prompt, as in `5c1e07a2:800,e4402b7d:250`.
    pub prefix: String,
    /// The client's time limit in milliseconds.
    pub limit_ms: u64,
    /// Events of the answer, and the milliseconds between two of them.
    pub events: u64,
    pub gap_ms: u64,
    /// Whether the answer has a length.
    pub framed: bool,
    /// The events after which the first answer is lost, if it is.
    pub lost_after: Option<u64>,
    pub body: Vec<u8>,
}

impl Default for Call {
    fn default() -> Self {
        Self {
            id: String::new(),
            path: "/chat/1",
            tokens: "700,280".to_owned(),
            prefix: String::new(),
            limit_ms: 15_000,
            events: 3,
            gap_ms: 30,
            framed: true,
            lost_after: None,
            body: b"prompt".to_vec(),
        }
    }
}

impl Call {
    /// The bytes of its head.
    pub fn head(&self) -> Vec<u8> {
        let framing = if self.framed { "chunked" } else { "none" };
        let lost = self
            .lost_after
            .map_or_else(String::new, |n| format!("Test-Lost-After: {n}\r\n"));
        format!(
            "POST {} HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: {}\r\nX-Model-Name: m\r\n\
             X-Token-Count: {}\r\nX-Prefix-Hash: {}\r\nX-Deadline-Ms: {}\r\nX-Api-Key: key1\r\n\
             Test-Events: {}\r\nTest-Gap-Ms: {}\r\nTest-Framing: {framing}\r\n\
             {lost}Content-Length: {}\r\n\r\n",
            self.path,
            self.id,
            self.tokens,
            self.prefix,
            self.limit_ms,
            self.events,
            self.gap_ms,
            self.body.len()
        )
        .into_bytes()
    }
}

/// An answer as its client sees it.
#[derive(Debug, Default, Clone)]
pub struct Answer {
    pub status: u16,
    pub sealed: bool,
    /// The numbers of the events of a stream.
    pub events: Vec<u64>,
    /// Whether it has ended as complete.
    pub complete: bool,
}

/// Sends a call on a new channel and reads the answer. `seen` counts its events.
pub fn call(at: SocketAddr, call: &Call, record: &Record, seen: &Arc<AtomicU64>) -> Answer {
    let sent = connect(at).and_then(|mut stream| {
        stream.write_all(&[call.head(), call.body.clone()].concat())?;
        record.note(&format!("client sent {} {}", call.id, call.path));
        Ok(stream)
    });
    match sent {
        Ok(stream) => read_answer(&stream, &call.id, record, seen),
        Err(e) => {
            record.note(&format!("client {}: not sent: {e}", call.id));
            Answer::default()
        }
    }
}

/// Reads the answer to the request `id`.
pub fn read_answer(stream: &TcpStream, id: &str, record: &Record, seen: &AtomicU64) -> Answer {
    let mut answer = Answer::default();
    let end = match read(stream, &mut answer, seen) {
        Ok(()) => "complete".to_owned(),
        Err(e) => format!("not complete: {e}"),
    };
    record.note(&format!(
        "client {id}: status {} sealed {} events {:?}, {end}",
        answer.status, answer.sealed, answer.events
    ));
    answer
}

fn read(stream: &TcpStream, answer: &mut Answer, seen: &AtomicU64) -> io::Result<()> {
    stream.set_read_timeout(Some(READ_TIMEOUT))?;
    let mut reader = BufReader::new(stream);
    let head = http::read_head(&mut reader)?.ok_or(io::ErrorKind::UnexpectedEof)?;
    answer.status = head.status();
    answer.sealed = head.header("x-response-seal").is_some();
    let mut pending = Vec::new();
    if http::is_chunked(&head) {
        loop {
            let chunk = http::read_chunk(&mut reader)?;
            if chunk.is_empty() {
                break;
            }
            pending.extend(chunk);
            take_events(&mut pending, answer, seen);
        }
    } else {
        let length = head.number("content-length").unwrap_or(0);
        reader.take(length).read_to_end(&mut pending)?;
        if pending.len() as u64 != length {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        take_events(&mut pending, answer, seen);
    }
    answer.complete = true;
    Ok(())
}

/// Takes the complete events from the bytes of a stream.
fn take_events(bytes: &mut Vec<u8>, answer: &mut Answer, seen: &AtomicU64) {
    while let Some(at) = bytes.windows(2).position(|pair| pair == b"\n\n") {
        let event: Vec<u8> = bytes.drain(..at + 2).collect();
        let text = String::from_utf8_lossy(&event);
        let id = text.lines().find_map(|line| line.strip_prefix("id: "));
        if let Some(number) = id.and_then(|id| id.parse().ok()) {
            answer.events.push(number);
            seen.store(number, Ordering::SeqCst);
        }
    }
}
