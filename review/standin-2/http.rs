//! A minimal HTTP/1.1 implementation for the stand-ins.

use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// Timeout for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// The head and body of a request or a response.
#[derive(Debug, Default, Clone)]
pub struct Message {
    /// The request line or the status line.
    pub line: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    /// The value of a header; its name is matched without regard to case.
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut headers = self.headers.iter();
        let found = headers.find(|(n, _)| n.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    /// A header as a number.
    pub fn number(&self, name: &str) -> Option<u64> {
        self.header(name)?.trim().parse().ok()
    }

    /// The method of a request.
    pub fn method(&self) -> &str {
        self.line.split(' ').next().unwrap_or("")
    }

    /// The path of a request without its query.
    pub fn path(&self) -> &str {
        let target = self.line.split(' ').nth(1).unwrap_or("");
        target.split('?').next().unwrap_or("")
    }

    /// A value of a request's query.
    pub fn query(&self, name: &str) -> Option<&str> {
        let target = self.line.split(' ').nth(1)?;
        let (_, query) = target.split_once('?')?;
        let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        pairs.find(|(n, _)| *n == name).map(|(_, value)| value)
    }

    /// The status of a response; 0 if it has none.
    pub fn status(&self) -> u16 {
        let status = self.line.split(' ').nth(1);
        status.and_then(|s| s.parse().ok()).unwrap_or(0)
    }
}

/// Reads the head of a message; `None` at the end of the connection.
pub fn read_head(reader: &mut impl BufRead) -> io::Result<Option<Message>> {
    let mut message = Message::default();
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Ok(None);
    }
    message.line = line.trim_end().to_owned();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let line = line.trim_end();
        if line.is_empty() {
            return Ok(Some(message));
        }
        if let Some((name, value)) = line.split_once(':') {
            let header = (name.trim().to_owned(), value.trim().to_owned());
            message.headers.push(header);
        }
    }
}

/// Reads one chunk of a chunked body; an empty one is the last.
pub fn read_chunk(reader: &mut impl BufRead) -> io::Result<Vec<u8>> {
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    let length = usize::from_str_radix(line.trim(), 16).map_err(io::Error::other)?;
    let mut chunk = vec![0; length + 2];
    reader.read_exact(&mut chunk)?;
    chunk.truncate(length);
    Ok(chunk)
}

/// Whether the body of a message is chunked.
pub fn is_chunked(message: &Message) -> bool {
    let coding = message.header("transfer-encoding");
    coding.is_some_and(|coding| coding.eq_ignore_ascii_case("chunked"))
}

/// Reads a request with its body; `None` at the end of the connection.
pub fn read_request(reader: &mut impl BufRead) -> io::Result<Option<Message>> {
    let Some(mut message) = read_head(reader)? else {
        return Ok(None);
    };
    if is_chunked(&message) {
        loop {
            let chunk = read_chunk(reader)?;
            if chunk.is_empty() {
                return Ok(Some(message));
            }
            message.body.extend(chunk);
        }
    }
    let length = message.number("content-length").unwrap_or(0);
    message.body = vec![0; usize::try_from(length).unwrap_or(0)];
    reader.read_exact(&mut message.body)?;
    Ok(Some(message))
}

/// Writes a response with a length.
pub fn respond(out: &mut impl Write, status: &str, headers: &str, body: &[u8]) -> io::Result<()> {
    let head = format!(
        "HTTP/1.1 {status}\r\nContent-Length: {}\r\n{headers}\r\n",
        body.len()
    );
    out.write_all(&[head.as_bytes(), body].concat())
}

/// Sends a request without a caller's headers and reads the whole response.
pub fn call(addr: SocketAddr, line: &str, body: &[u8]) -> io::Result<Message> {
    let mut stream = TcpStream::connect_timeout(&addr, CONNECT_TIMEOUT)?;
    stream.set_read_timeout(Some(Duration::from_secs(5)))?;
    let head = format!(
        "{line} HTTP/1.1\r\nHost: h\r\nConnection: close\r\nContent-Length: {}\r\n\r\n",
        body.len()
    );
    stream.write_all(&[head.as_bytes(), body].concat())?;
    let mut reader = BufReader::new(stream);
    let mut response = read_head(&mut reader)?.ok_or(io::ErrorKind::UnexpectedEof)?;
    let length = response.number("content-length").unwrap_or(0);
    reader.take(length).read_to_end(&mut response.body)?;
    Ok(response)
}
