//! Calls of plain services, which stand beside the model engines.

use std::net::SocketAddr;
use std::time::Duration;

use base::ids::RequestId;
use bytes::Bytes;

use crate::engine::{Error, REQUEST_ID_HEADER, never_sent};

/// Time allowed for a new connection to a service.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// How long an idle connection is kept. The longer it is, the more calls end
/// with an unknown outcome because their connection had gone silent.
const IDLE_TIMEOUT: Duration = Duration::from_secs(5);

/// Largest answer of a plain service, in bytes.
const RESPONSE_LIMIT: usize = 8 << 20;

/// One plain service as its sidecar reaches it.
#[derive(Clone)]
pub struct PlainClient {
    /// Where the service listens.
    addr: SocketAddr,
    /// The HTTP client, which keeps connections.
    http: awc::Client,
}

/// The answer of a plain service.
#[derive(Debug, Clone)]
pub struct ServiceResponse {
    /// The HTTP status.
    pub status: u16,
    /// The content type, empty when there is none.
    pub content_type: String,
    /// The body.
    pub body: Bytes,
}

impl PlainClient {
    /// Makes a client for the service at `addr`; each call may take `timeout`.
    #[must_use]
    pub fn new(addr: SocketAddr, timeout: Duration) -> Self {
        let connector = awc::Connector::new()
            .timeout(CONNECT_TIMEOUT)
            .conn_keep_alive(IDLE_TIMEOUT)
            .limit(0);
        let http = awc::Client::builder()
            .connector(connector)
            .timeout(timeout)
            .finish();
        Self { addr, http }
    }

    /// Dials the service, which shows whether it can be reached.
    ///
    /// # Errors
    ///
    /// Returns [`Error`] when no connection is made.
    pub async fn probe(&self) -> Result<(), Error> {
        let peer = self.addr;
        let dialled = tokio::net::TcpStream::connect(peer);
        match tokio::time::timeout(CONNECT_TIMEOUT, dialled).await {
            Ok(Ok(_)) => Ok(()),
            _ => Err(Error::Connect {
                step: "probe",
                peer,
            }),
        }
    }

    /// Makes one call. `path` starts with a slash and includes the query.
    ///
    /// # Errors
    ///
    /// Returns [`Error`] when no whole answer came; [`Error::not_run`] tells
    /// whether the call may have run all the same.
    pub async fn call(
        &self,
        ticket: RequestId,
        method: &str,
        path: &str,
        content_type: &str,
        body: Bytes,
    ) -> Result<ServiceResponse, Error> {
        let peer = self.addr;
        let no_response = |detail: String| Error::NoResponse {
            step: "call",
            peer,
            detail,
        };
        let method =
            awc::http::Method::from_bytes(method.as_bytes()).map_err(|_| Error::Refused {
                step: "call",
                peer,
                status: 405,
            })?;

        let mut request = self
            .http
            .request(method, format!("http://{peer}{path}"))
            .insert_header((REQUEST_ID_HEADER, ticket.to_string()));
        if !content_type.is_empty() {
            request = request.content_type(content_type);
        }

        let mut response = request.send_body(body).await.map_err(|e| match e {
            e if never_sent(&e) => Error::Connect { step: "call", peer },
            other => no_response(other.to_string()),
        })?;
        let status = response.status().as_u16();
        let kind = response.headers().get(awc::http::header::CONTENT_TYPE);
        let content_type = kind.and_then(|v| v.to_str().ok()).unwrap_or("").to_owned();
        let body = response
            .body()
            .limit(RESPONSE_LIMIT)
            .await
            .map_err(|e| no_response(e.to_string()))?;
        Ok(ServiceResponse {
            status,
            content_type,
            body,
        })
    }
}
