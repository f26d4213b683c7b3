//! Client of the platform's append-only log: named streams of records with
//! offsets.
//!
//! The log deletes records after its retention time, has outages, and may lose
//! the response to an append that took effect. [`LogClient::append`] therefore
//! looks up its record by id before it reports an error. The formats are
//! specified in docs/platform/log.md.

use std::net::SocketAddr;
use std::time::Duration;

use awc::http::StatusCode;
use base::connect::HttpConnector;
use base::ids::Offset;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use snafu::{ResultExt, Snafu};

/// Timeout of a call, in addition to the long-poll time of a read.
pub const RESPONSE_TIMEOUT: Duration = Duration::from_secs(1);

/// Largest response body, in bytes.
const RESPONSE_LIMIT: usize = 32 << 20;

/// Client of the log.
#[derive(Clone)]
pub struct LogClient {
    /// Address that the log listens on.
    addr: SocketAddr,
    /// HTTP client that reuses connections.
    http: awc::Client,
}

/// Record of a stream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// Position in the stream.
    pub offset: Offset,
    /// Id chosen by the writer; not necessarily unique.
    pub id: String,
    /// Time of the append by the log's clock, in milliseconds.
    pub time_ms: u64,
    /// Content of the record.
    pub body: String,
}

/// Response to a read.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Page {
    /// Offset of the oldest retained record, or the next offset when there is
    /// none.
    #[serde(rename = "first")]
    pub first_offset: Offset,
    /// Offset that the next record will be assigned.
    #[serde(rename = "end")]
    pub end_offset: Offset,
    /// Current time of the log's clock, in milliseconds.
    pub now_ms: u64,
    /// Retention time of records in milliseconds; 0 means unlimited.
    pub retention_ms: u64,
    /// Consecutive records, possibly empty.
    pub records: Vec<Record>,
}

/// Body of an append request.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct AppendRequest {
    /// Id by which the record can be looked up.
    pub id: String,
    /// Content of the record.
    pub body: String,
}

/// Response to an append or a lookup by id.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecordLocation {
    /// Offset of the record; `None` when no record has the id.
    pub offset: Option<Offset>,
}

/// Error of a call to the log.
#[derive(Debug, Snafu)]
pub enum Error {
    /// No connection could be opened, so the call had no effect.
    #[snafu(display("step={step} peer={peer}: no connection"))]
    Connect {
        /// Operation that failed.
        step: &'static str,
        /// The log.
        peer: SocketAddr,
    },
    /// No complete response arrived. An append may have taken effect.
    #[snafu(display("step={step} peer={peer}: {detail}"))]
    NoResponse {
        /// Operation that failed.
        step: &'static str,
        /// The log.
        peer: SocketAddr,
        /// Error text of the HTTP client.
        detail: String,
    },
    /// The log responded with an error status. An append may have taken effect.
    #[snafu(display("step={step} peer={peer}: status {status}"))]
    Status {
        /// Operation that failed.
        step: &'static str,
        /// The log.
        peer: SocketAddr,
        /// The HTTP status.
        status: u16,
    },
    /// The response body is not valid JSON of the expected form.
    #[snafu(display("step={step} peer={peer}: invalid response: {source}"))]
    InvalidResponse {
        /// Operation that failed.
        step: &'static str,
        /// The log.
        peer: SocketAddr,
        /// Cause reported by the JSON parser.
        source: serde_json::Error,
    },
}

impl LogClient {
    /// Creates a client for the log at `addr`.
    #[must_use]
    pub fn new(addr: SocketAddr) -> Self {
        let connector = awc::Connector::new()
            .connector(HttpConnector)
            .timeout(RESPONSE_TIMEOUT)
            .limit(0);
        let http = awc::Client::builder()
            .connector(connector)
            .timeout(RESPONSE_TIMEOUT)
            .finish();
        Self { addr, http }
    }

    /// Address that the log listens on.
    #[must_use]
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Appends a record and returns its offset. When the append fails, the
    /// record is looked up by `id`, which must therefore be unique.
    ///
    /// # Errors
    ///
    /// Returns [`Error`] when the outcome of the append is unknown;
    /// [`LogClient::find`] with the same id can determine it later.
    pub async fn append(&self, stream: &str, id: &str, body: &str) -> Result<Offset, Error> {
        match self.append_unverified(stream, id, body).await {
            Ok(offset) => Ok(offset),
            // The response may have been lost after the record was written. A
            // second append would then duplicate the record.
            Err(error) => match self.find(stream, id).await {
                Ok(Some(offset)) => Ok(offset),
                _ => Err(error),
            },
        }
    }

    /// Appends a record without looking it up when the append fails.
    ///
    /// # Errors
    ///
    /// Returns [`Error`] when no valid response arrived; the record may have been
    /// appended.
    pub async fn append_unverified(
        &self,
        stream: &str,
        id: &str,
        body: &str,
    ) -> Result<Offset, Error> {
        let step = "append";
        let url = format!("http://{}/v1/streams/{stream}/records", self.addr);
        let append = AppendRequest {
            id: id.to_owned(),
            body: body.to_owned(),
        };
        let sent = self.http.post(url).send_json(&append);
        let location: RecordLocation = self.read_response(step, sent, RESPONSE_TIMEOUT).await?;
        location.offset.ok_or_else(|| Error::NoResponse {
            step,
            peer: self.addr,
            detail: "response without an offset".to_owned(),
        })
    }

    /// Returns the offset of the first record with the given id.
    ///
    /// # Errors
    ///
    /// Returns [`Error`] when no valid response arrived.
    pub async fn find(&self, stream: &str, id: &str) -> Result<Option<Offset>, Error> {
        let url = format!("http://{}/v1/streams/{stream}/records/{id}", self.addr);
        let location: RecordLocation = self
            .read_response("find", self.http.get(url).send(), RESPONSE_TIMEOUT)
            .await?;
        Ok(location.offset)
    }

    /// Reads up to `limit` records, starting at the offset `from` or at the
    /// oldest retained record if that is later. When there is no such record, the
    /// log waits up to `wait` for one (long poll).
    ///
    /// # Errors
    ///
    /// Returns [`Error`] when no valid response arrived.
    pub async fn read(
        &self,
        stream: &str,
        from: Offset,
        limit: usize,
        wait: Duration,
    ) -> Result<Page, Error> {
        let wait_ms = wait.as_millis();
        let url = format!(
            "http://{}/v1/streams/{stream}/records?from={from}&limit={limit}&wait_ms={wait_ms}",
            self.addr
        );
        let timeout = wait + RESPONSE_TIMEOUT;
        let sent = self.http.get(url).timeout(timeout).send();
        self.read_response("read", sent, timeout).await
    }

    /// Sends a request and parses its response. The timeout covers the body, too:
    /// otherwise a connection that stalls within the body would block for ever.
    async fn read_response<T: DeserializeOwned>(
        &self,
        step: &'static str,
        sent: awc::SendClientRequest,
        timeout: Duration,
    ) -> Result<T, Error> {
        let peer = self.addr;
        let no_response = |detail: String| Error::NoResponse { step, peer, detail };
        let response = async {
            let mut response = sent.await.map_err(|e| match e {
                e if crate::engine::never_sent(&e) => Error::Connect { step, peer },
                other => no_response(other.to_string()),
            })?;
            if response.status() != StatusCode::OK {
                let status = response.status().as_u16();
                return StatusSnafu { step, peer, status }.fail();
            }
            let body = response.body().limit(RESPONSE_LIMIT).await;
            let body = body.map_err(|e| no_response(e.to_string()))?;
            serde_json::from_slice(&body).context(InvalidResponseSnafu { step, peer })
        };
        let result = tokio::time::timeout(timeout, response).await;
        result.map_err(|_| no_response(format!("timeout after {timeout:?}")))?
    }
}
