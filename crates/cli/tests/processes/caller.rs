//! An HTTP client that reads a streamed answer line by line.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use serde_json::{Value, json};

/// Timeout of each read.
const TIMEOUT: Duration = Duration::from_secs(30);

/// One call, on its own connection.
pub(crate) struct Call {
    reader: BufReader<TcpStream>,
}

/// How an answer ended for its caller.
#[derive(Debug, PartialEq, Eq)]
pub(crate) enum Outcome {
    /// With the end marker, after this number of tokens.
    Complete(usize),
    /// With an error: its `type`, and `ran`, which says whether the request was
    /// executed.
    Error(String, String),
    /// Without an end marker or an error.
    Truncated,
}

impl Call {
    /// Sends a streamed completion of `length` tokens.
    pub(crate) fn stream(entry: SocketAddr, mark: &str, length: u32) -> Self {
        let body = json!({
            "model": "quick", "stream": true, "prompt": mark, "mark": mark,
            "length": length, "max_tokens": length,
        });
        Self::send(entry, "/v1/completions", &body)
    }

    /// Sends a call that must not be repeated to the plain service `letters`.
    pub(crate) fn unrepeatable(entry: SocketAddr, mark: &str) -> Self {
        Self::send(entry, "/v1/services/letters/send", &json!({ "mark": mark }))
    }

    fn send(entry: SocketAddr, path: &str, body: &Value) -> Self {
        let body = body.to_string();
        let mut stream = TcpStream::connect(entry).expect("cannot connect to the entry");
        stream
            .set_read_timeout(Some(TIMEOUT))
            .expect("cannot set the timeout");
        write!(
            stream,
            "POST {path} HTTP/1.1\r\nhost: e\r\nauthorization: Bearer alpha\r\n\
             connection: close\r\ncontent-type: application/json\r\ncontent-length: {}\r\n\r\n{body}",
            body.len()
        )
        .expect("cannot send the request");
        Self {
            reader: BufReader::new(stream),
        }
    }

    /// Reads until the first token has arrived.
    pub(crate) fn first_token(&mut self) {
        let mut line = String::new();
        while !is_token(&line) {
            line.clear();
            let read = self
                .reader
                .read_line(&mut line)
                .expect("cannot read the stream");
            assert!(read > 0, "the stream ended before its first token");
        }
    }

    /// Reads to the end; `before` is the number of tokens read already.
    pub(crate) fn end(mut self, before: usize) -> Outcome {
        let mut text = String::new();
        // A connection reset also ends the answer.
        let _ = self.reader.read_to_string(&mut text);
        let tokens = before + text.lines().filter(|l| is_token(l)).count();
        if text.contains("data: [DONE]") {
            return Outcome::Complete(tokens);
        }
        if text.contains(r#""done":true"#) {
            return Outcome::Complete(0);
        }
        let error = text.lines().find_map(|line| {
            let line = line.strip_prefix("data: ").unwrap_or(line);
            let value: Value = serde_json::from_str(line).ok()?;
            let field = |key: &str| value["error"][key].as_str().map(str::to_owned);
            Some(Outcome::Error(field("type")?, field("ran")?))
        });
        error.unwrap_or(Outcome::Truncated)
    }
}

fn is_token(line: &str) -> bool {
    line.contains(r#""finish_reason":null"#)
}
