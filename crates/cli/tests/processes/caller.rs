//! A caller that reads its answer line by line, as slowly as it is made.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use serde_json::{Value, json};

/// Longest wait for a line.
const TIMEOUT: Duration = Duration::from_secs(30);

/// One call on a connection of its own.
pub(crate) struct Call {
    reader: BufReader<TcpStream>,
}

/// How an answer ended for its caller.
#[derive(Debug, PartialEq, Eq)]
pub(crate) enum End {
    /// With the end mark, after so many tokens.
    Whole(usize),
    /// With an error: its reason and what was said about having run.
    Refused(String, String),
    /// Without an end.
    Cut,
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

    /// Makes a call of a plain service that must not be repeated.
    pub(crate) fn letter(entry: SocketAddr, mark: &str) -> Self {
        Self::send(entry, "/v1/services/letters/send", &json!({ "mark": mark }))
    }

    fn send(entry: SocketAddr, path: &str, body: &Value) -> Self {
        let body = body.to_string();
        let mut stream = TcpStream::connect(entry).expect("the entry listens");
        stream
            .set_read_timeout(Some(TIMEOUT))
            .expect("a timeout can be set");
        write!(
            stream,
            "POST {path} HTTP/1.1\r\nhost: e\r\nauthorization: Bearer alpha\r\n\
             connection: close\r\ncontent-type: application/json\r\ncontent-length: {}\r\n\r\n{body}",
            body.len()
        )
        .expect("the request goes out");
        Self {
            reader: BufReader::new(stream),
        }
    }

    /// Reads until the first token came.
    pub(crate) fn first_token(&mut self) {
        let mut line = String::new();
        while !is_token(&line) {
            line.clear();
            let read = self
                .reader
                .read_line(&mut line)
                .expect("the stream goes on");
            assert!(read > 0, "the stream ended before its first token");
        }
    }

    /// Reads to the end. `before` tokens were read already.
    pub(crate) fn end(mut self, before: usize) -> End {
        let mut text = String::new();
        // A connection that is reset ends the answer too.
        let _ = self.reader.read_to_string(&mut text);
        let tokens = before + text.lines().filter(|l| is_token(l)).count();
        if text.contains("data: [DONE]") {
            return End::Whole(tokens);
        }
        if text.contains(r#""done":true"#) {
            return End::Whole(0);
        }
        let error = text.lines().find_map(|line| {
            let line = line.strip_prefix("data: ").unwrap_or(line);
            let value: Value = serde_json::from_str(line).ok()?;
            let word = |key: &str| value["error"][key].as_str().map(str::to_owned);
            Some(End::Refused(word("type")?, word("ran")?))
        });
        error.unwrap_or(End::Cut)
    }
}

fn is_token(line: &str) -> bool {
    line.contains(r#""finish_reason":null"#)
}
