//! HTTP client of plain services: backend servers that are not model engines.

use std::net::SocketAddr;
use std::time::Duration;

use base::connect::{HttpConnector, connect};
use base::ids::RequestId;
use bytes::Bytes;

use crate::engine::{Error, REQUEST_ID_HEADER, never_sent};

/// Timeout for opening a connection to a service.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Time after which an idle connection is closed. With a longer timeout, more
/// calls end with an unknown outcome because their connection was already dead.
const IDLE_TIMEOUT: Duration = Duration::from_secs(5);

/// Largest response body, in bytes.
const RESPONSE_LIMIT: usize = 8 << 20;

/// Client that a sidecar uses to call its plain service.
#[derive(Clone)]
pub struct PlainClient {
    /// Address that the service listens on.
    addr: SocketAddr,
    /// HTTP client that reuses connections.
    http: awc::Client,
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
        let connector = awc::Connector::new()
            .connector(HttpConnector)
            .timeout(CONNECT_TIMEOUT)
            .conn_keep_alive(IDLE_TIMEOUT)
            .limit(0);
        let http = awc::Client::builder()
            .connector(connector)
            .timeout(timeout)
            .finish();
        Self { addr, http }
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

        let has_body = method != awc::http::Method::HEAD;
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
        let header = response.headers().get(awc::http::header::CONTENT_TYPE);
        let content_type = header
            .and_then(|v| v.to_str().ok())
            .unwrap_or("")
            .to_owned();
        let length = response.headers().get(awc::http::header::CONTENT_LENGTH);
        let length = length.and_then(|v| v.to_str().ok()?.parse::<usize>().ok());
        let body = response
            .body()
            .limit(RESPONSE_LIMIT)
            .await
            .map_err(|e| no_response(e.to_string()))?;
        // The HTTP client takes the end of the connection for the end of the body.
        if has_body && length.is_some_and(|length| length != body.len()) {
            return Err(no_response("connection closed inside the body".to_owned()));
        }
        Ok(ServiceResponse {
            status,
            content_type,
            body,
        })
    }
}
