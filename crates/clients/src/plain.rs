//! HTTP client of plain services: backend servers that are not model engines.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use actix_rt::task::JoinHandle;
use base::connect::connect;
use base::ids::RequestId;
use bytes::Bytes;
use http::header::{CONNECTION, CONTENT_TYPE, HOST};
use http::{Method, Request, Response};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use tokio::time::Instant;

use crate::engine::{Error, REQUEST_ID_HEADER};

/// Timeout for opening a connection to a service.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Time after which an idle connection is closed. With a longer timeout, more
/// calls end with an unknown outcome because their connection was already dead.
const IDLE_TIMEOUT: Duration = Duration::from_secs(5);

/// Largest response body, in bytes.
const RESPONSE_LIMIT: usize = 8 << 20;

/// Statuses of final answers. Any other number is none.
const FINAL_STATUSES: std::ops::Range<u16> = 200..600;

/// Client that a sidecar uses to call its plain service.
///
/// Its HTTP library fails a body whose connection is reset or ends before the last chunk.
#[derive(Clone)]
pub struct PlainClient {
    /// Address that the service listens on.
    addr: SocketAddr,
    /// Timeout of a call.
    timeout: Duration,
    /// Idle connections.
    idle: Rc<RefCell<Vec<Connection>>>,
}

/// A connection to the service; dropping it closes it.
struct Connection {
    sender: SendRequest<Full<Bytes>>,
    /// The task that reads and writes the socket.
    task: JoinHandle<()>,
    /// When its last answer ended.
    used_at: Instant,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Response of a plain service.
#[derive(Debug, Clone)]
pub struct ServiceResponse {
    /// The HTTP status.
    pub status: u16,
    /// Content type; empty when the response has none.
    pub content_type: String,
    /// Response body.
    pub body: Bytes,
}

impl PlainClient {
    /// Creates a client for the service at `addr` with a timeout per call.
    #[must_use]
    pub fn new(addr: SocketAddr, timeout: Duration) -> Self {
        Self {
            addr,
            timeout,
            idle: Rc::default(),
        }
    }

    /// Health check: opens a connection to the service and closes it.
    ///
    /// # Errors
    ///
    /// Returns [`Error`] when no connection can be opened.
    pub async fn probe(&self) -> Result<(), Error> {
        let peer = self.addr;
        let connected = connect(peer);
        match tokio::time::timeout(CONNECT_TIMEOUT, connected).await {
            Ok(Ok(_)) => Ok(()),
            _ => Err(Error::Connect {
                step: "probe",
                peer,
            }),
        }
    }

    /// Sends one request. `path` starts with a slash and includes the query.
    ///
    /// # Errors
    ///
    /// Returns [`Error`] when no complete response arrived. [`Error::not_run`]
    /// tells whether the request was certainly not executed.
    pub async fn call(
        &self,
        ticket: RequestId,
        method: &str,
        path: &str,
        content_type: &str,
        body: Bytes,
    ) -> Result<ServiceResponse, Error> {
        let request = self.request(ticket, method, path, content_type, body)?;
        let called = tokio::time::timeout(self.timeout, self.exchange(request)).await;
        called.unwrap_or_else(|_| Err(self.no_response("timeout")))
    }

    fn request(
        &self,
        ticket: RequestId,
        method: &str,
        path: &str,
        content_type: &str,
        body: Bytes,
    ) -> Result<Request<Full<Bytes>>, Error> {
        let refused = |status| Error::Refused {
            step: "call",
            peer: self.addr,
            status,
        };
        let method = Method::from_bytes(method.as_bytes()).map_err(|_| refused(405))?;
        let mut request = Request::builder()
            .method(method)
            .uri(path)
            .header(HOST, self.addr.to_string())
            .header(REQUEST_ID_HEADER, ticket.to_string());
        if !content_type.is_empty() {
            request = request.header(CONTENT_TYPE, content_type);
        }
        request.body(Full::new(body)).map_err(|_| refused(400))
    }

    async fn exchange(&self, request: Request<Full<Bytes>>) -> Result<ServiceResponse, Error> {
        let (response, connection) = self.send(request).await?;
        let status = response.status().as_u16();
        if !FINAL_STATUSES.contains(&status) {
            return Err(self.no_response(&format!("invalid status {status}")));
        }
        let header = |name| response.headers().get(name).and_then(|v| v.to_str().ok());
        let content_type = header(CONTENT_TYPE).unwrap_or("").to_owned();
        let closes = header(CONNECTION).is_some_and(|c| c.to_ascii_lowercase().contains("close"));
        let body = Limited::new(response.into_body(), RESPONSE_LIMIT);
        let body = body.collect().await;
        let body = body.map_err(|e| self.no_response(&e.to_string()))?;
        if !closes {
            self.keep(connection);
        }
        Ok(ServiceResponse {
            status,
            content_type,
            body: body.to_bytes(),
        })
    }

    /// Sends a request on an idle connection or a new one. If an idle connection closes before
    /// the request is written, the request is sent on another one.
    async fn send(
        &self,
        mut request: Request<Full<Bytes>>,
    ) -> Result<(Response<Incoming>, Connection), Error> {
        while let Some(mut connection) = self.take_idle() {
            match connection.sender.try_send_request(request).await {
                Ok(response) => return Ok((response, connection)),
                Err(mut e) => match e.take_message() {
                    Some(unsent) => request = unsent,
                    None => return Err(self.no_response(&e.error().to_string())),
                },
            }
        }
        let mut connection = self.connect().await?;
        match connection.sender.try_send_request(request).await {
            Ok(response) => Ok((response, connection)),
            Err(mut e) => match e.take_message() {
                Some(_) => Err(self.never_sent()),
                None => Err(self.no_response(&e.error().to_string())),
            },
        }
    }

    async fn connect(&self) -> Result<Connection, Error> {
        let connected = tokio::time::timeout(CONNECT_TIMEOUT, connect(self.addr)).await;
        let Ok(Ok(stream)) = connected else {
            return Err(self.never_sent());
        };
        let handshake = http1::handshake(TokioIo::new(stream)).await;
        let (sender, connection) = handshake.map_err(|_| self.never_sent())?;
        let task = actix_rt::spawn(async move {
            // The call in progress reports the error.
            let _ = connection.await;
        });
        Ok(Connection {
            sender,
            task,
            used_at: Instant::now(),
        })
    }

    /// Takes a usable idle connection, if there is one.
    fn take_idle(&self) -> Option<Connection> {
        let mut idle = self.idle.borrow_mut();
        idle.retain(|c| !c.sender.is_closed() && c.used_at.elapsed() < IDLE_TIMEOUT);
        let ready = idle.iter().rposition(|c| c.sender.is_ready())?;
        Some(idle.swap_remove(ready))
    }

    /// Keeps a connection whose last answer was read to its end.
    fn keep(&self, mut connection: Connection) {
        connection.used_at = Instant::now();
        self.idle.borrow_mut().push(connection);
    }

    fn never_sent(&self) -> Error {
        Error::Connect {
            step: "call",
            peer: self.addr,
        }
    }

    fn no_response(&self, detail: &str) -> Error {
        Error::NoResponse {
            step: "call",
            peer: self.addr,
            detail: detail.to_owned(),
        }
    }
}
