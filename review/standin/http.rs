//! The parts of HTTP/1.1 that the stand-ins need.

use std::io::{self, BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

/// A request or a response.
#[derive(Debug, Clone, Default)]
pub struct Message {
    /// The request line or the status line.
    pub line: String,
    /// Names in lower case, with their values.
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut found = self.headers.iter().filter(|(n, _)| n == name);
        found.next().map(|(_, value)| value.as_str())
    }

    /// The path and query of a request.
    pub fn target(&self) -> &str {
        self.line.split(' ').nth(1).unwrap_or("")
    }

    pub fn path(&self) -> &str {
        self.target().split('?').next().unwrap_or("")
    }

    /// A parameter of the query.
    pub fn query(&self, name: &str) -> Option<&str> {
        let (_, query) = self.target().split_once('?')?;
        let mut pairs = query.split('&').filter_map(|p| p.split_once('='));
        pairs.find(|(n, _)| *n == name).map(|(_, value)| value)
    }

    /// The status of a response; 0 if there is none.
    pub fn status(&self) -> u16 {
        let code = self.line.split(' ').nth(1);
        code.and_then(|c| c.parse().ok()).unwrap_or(0)
    }

    fn is_chunked(&self) -> bool {
        let coding = self.header("transfer-encoding").unwrap_or("");
        coding.eq_ignore_ascii_case("chunked")
    }
}

/// Reads the start line and the headers; `None` at the end of the connection.
pub fn read_head(reader: &mut impl BufRead) -> io::Result<Option<Message>> {
    let mut message = Message::default();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return match message.line.is_empty() {
                true => Ok(None),
                false => Err(io::ErrorKind::UnexpectedEof.into()),
            };
        }
        let line = line.trim_end();
        if message.line.is_empty() {
            message.line = line.to_owned();
        } else if line.is_empty() {
            return Ok(Some(message));
        } else if let Some((name, value)) = line.split_once(':') {
            let name = name.to_ascii_lowercase();
            message.headers.push((name, value.trim().to_owned()));
        }
    }
}

/// Reads one chunk of a chunked body; an empty one is the last.
pub fn read_chunk(reader: &mut impl BufRead) -> io::Result<Vec<u8>> {
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    let length = usize::from_str_radix(line.trim(), 16);
    let length = length.map_err(|_| io::ErrorKind::InvalidData)?;
    let mut chunk = vec![0; length + 2];
    reader.read_exact(&mut chunk)?;
    chunk.truncate(length);
    Ok(chunk)
}

/// Reads a whole message; `None` at the end of the connection.
pub fn read(reader: &mut impl BufRead) -> io::Result<Option<Message>> {
    let Some(mut message) = read_head(reader)? else {
        return Ok(None);
    };
    if message.is_chunked() {
        loop {
            let chunk = read_chunk(reader)?;
            if chunk.is_empty() {
                break;
            }
            message.body.extend(chunk);
        }
    } else {
        let length = message.header("content-length");
        let length = length.and_then(|l| l.parse().ok()).unwrap_or(0);
        message.body = vec![0; length];
        reader.read_exact(&mut message.body)?;
    }
    Ok(Some(message))
}

/// Writes a response with a length. `status` is the status with its reason.
pub fn respond(out: &mut TcpStream, status: &str, headers: &str, body: &[u8]) -> io::Result<()> {
    let length = body.len();
    let head = format!("HTTP/1.1 {status}\r\n{headers}Content-Length: {length}\r\n\r\n");
    out.write_all(&[head.as_bytes(), body].concat())
}

/// Calls `serve` with each connection to `listener`, each on its own thread.
pub fn listen(listener: TcpListener, serve: impl Fn(TcpStream) + Send + Sync + 'static) {
    let serve = Arc::new(serve);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let _ = stream.set_nodelay(true);
            let serve = Arc::clone(&serve);
            thread::spawn(move || serve(stream));
        }
    });
}

/// A client's connection that is kept for several requests.
pub struct Connection {
    stream: TcpStream,
    pub reader: BufReader<TcpStream>,
}

impl Connection {
    pub fn open(addr: SocketAddr) -> io::Result<Self> {
        let stream = TcpStream::connect_timeout(&addr, Duration::from_secs(1))?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(Duration::from_secs(20)))?;
        let reader = BufReader::new(stream.try_clone()?);
        Ok(Self { stream, reader })
    }

    /// Sends a request with a body of the given length.
    pub fn send(&mut self, line: &str, headers: &str, body: &[u8]) -> io::Result<()> {
        let length = body.len();
        let head = format!("{line} HTTP/1.1\r\n{headers}Content-Length: {length}\r\n\r\n");
        self.stream.write_all(&[head.as_bytes(), body].concat())
    }

    /// Sends a request and reads the whole response; an error if there is none.
    pub fn call(&mut self, line: &str, headers: &str, body: &[u8]) -> io::Result<Message> {
        self.send(line, headers, body)?;
        let response = read(&mut self.reader)?;
        response.ok_or_else(|| io::ErrorKind::UnexpectedEof.into())
    }
}
