//! The platform's append-only log: named streams of records with offsets.
//!
//! The formats stand in docs/platform/log.md. The log forgets records after
//! its retention, has outages, and may lose the reply of an append that took
//! effect; [`LogClient::append`] therefore looks for its record by id before it
//! tries again.

use std::net::SocketAddr;
use std::time::Duration;

use awc::http::StatusCode;
use base::ids::Offset;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use snafu::{ResultExt, Snafu};

/// Time allowed for an answer, beyond what a read may be held.
pub const RESPONSE_TIMEOUT: Duration = Duration::from_secs(1);

/// Largest answer to a read, in bytes.
const RESPONSE_LIMIT: usize = 32 << 20;

/// The log as one process reaches it.
#[derive(Clone)]
pub struct LogClient {
    /// Where the log listens.
    addr: SocketAddr,
    /// The HTTP client, which keeps connections.
    http: awc::Client,
}

/// One record as the log gives it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// Its location in the stream.
    pub offset: Offset,
    /// The id that its writer gave it; need not be unique.
    pub id: String,
    /// When it was appended, in milliseconds of the log's own clock.
    pub time_ms: u64,
    /// What was written.
    pub body: String,
}

/// What a read gives.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Page {
    /// The offset of the oldest record that the log still has, or the next
    /// offset when it has none.
    #[serde(rename = "first")]
    pub first_offset: Offset,
    /// The offset that the next record will get.
    #[serde(rename = "end")]
    pub end_offset: Offset,
    /// The log's own clock, in milliseconds.
    pub now_ms: u64,
    /// How long records are kept, in milliseconds; 0 for ever.
    pub retention_ms: u64,
    /// Consecutive records, possibly none.
    pub records: Vec<Record>,
}

/// What an append sends.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct AppendRequest {
    /// The id to find the record by.
    pub id: String,
    /// What to write.
    pub body: String,
}

/// What an append or a search gives.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecordLocation {
    /// Where the record stands; none when there is no such record.
    pub offset: Option<Offset>,
}

/// Why a call of the log failed.
#[derive(Debug, Snafu)]
pub enum Error {
    /// No connection could be made, so the call had no effect.
    #[snafu(display("step={step} peer={peer}: no connection"))]
    Connect {
        /// What was wanted.
        step: &'static str,
        /// The log.
        peer: SocketAddr,
    },
    /// No answer came. An append may have taken effect.
    #[snafu(display("step={step} peer={peer}: {detail}"))]
    NoResponse {
        /// What was wanted.
        step: &'static str,
        /// The log.
        peer: SocketAddr,
        /// What the client reported.
        detail: String,
    },
    /// The log answered with an error. An append may have taken effect.
    #[snafu(display("step={step} peer={peer}: status {status}"))]
    Status {
        /// What was wanted.
        step: &'static str,
        /// The log.
        peer: SocketAddr,
        /// The HTTP status.
        status: u16,
    },
    /// The answer does not fit the log's format.
    #[snafu(display("step={step} peer={peer}: bad answer: {source}"))]
    InvalidResponse {
        /// What was wanted.
        step: &'static str,
        /// The log.
        peer: SocketAddr,
        /// What the parser found.
        source: serde_json::Error,
    },
}

impl LogClient {
    /// Makes a client for the log at `addr`.
    #[must_use]
    pub fn new(addr: SocketAddr) -> Self {
        let connector = awc::Connector::new().timeout(RESPONSE_TIMEOUT).limit(0);
        let http = awc::Client::builder()
            .connector(connector)
            .timeout(RESPONSE_TIMEOUT)
            .finish();
        Self { addr, http }
    }

    /// Where the log listens.
    #[must_use]
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Appends a record and returns its offset. When no reply comes, the
    /// record is looked for by its id, which must therefore be its own.
    ///
    /// # Errors
    ///
    /// Returns [`Error`] when it is not known whether the record was
    /// appended; [`LogClient::find`] with the same id tells later.
    pub async fn append(&self, stream: &str, id: &str, body: &str) -> Result<Offset, Error> {
        match self.append_unverified(stream, id, body).await {
            Ok(offset) => Ok(offset),
            // The reply may have been lost after the record was written; a
            // second append would then put it there twice.
            Err(failed) => match self.find(stream, id).await {
                Ok(Some(offset)) => Ok(offset),
                _ => Err(failed),
            },
        }
    }

    /// Appends a record without looking for it when the reply is lost.
    ///
    /// # Errors
    ///
    /// Returns [`Error`] when no reply came.
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
            detail: "answer without an offset".to_owned(),
        })
    }

    /// The offset of the first record with the given id.
    ///
    /// # Errors
    ///
    /// Returns [`Error`] when no answer came.
    pub async fn find(&self, stream: &str, id: &str) -> Result<Option<Offset>, Error> {
        let url = format!("http://{}/v1/streams/{stream}/records/{id}", self.addr);
        let location: RecordLocation = self
            .read_response("find", self.http.get(url).send(), RESPONSE_TIMEOUT)
            .await?;
        Ok(location.offset)
    }

    /// Reads up to `limit` records from `from` on, or from the oldest one if
    /// that stands later. The log holds the call up to `wait` while there is
    /// nothing to give.
    ///
    /// # Errors
    ///
    /// Returns [`Error`] when no answer came.
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
        let bound = wait + RESPONSE_TIMEOUT;
        let sent = self.http.get(url).timeout(bound).send();
        self.read_response("read", sent, bound).await
    }

    /// Takes in one answer. The whole call has a bound, the body included: a
    /// connection that goes silent half way would otherwise hold it for ever.
    async fn read_response<T: DeserializeOwned>(
        &self,
        step: &'static str,
        sent: awc::SendClientRequest,
        bound: Duration,
    ) -> Result<T, Error> {
        let peer = self.addr;
        let lost = |detail: String| Error::NoResponse { step, peer, detail };
        let whole = async {
            let mut response = sent.await.map_err(|e| match e {
                e if crate::engine::never_sent(&e) => Error::Connect { step, peer },
                other => lost(other.to_string()),
            })?;
            if response.status() != StatusCode::OK {
                let status = response.status().as_u16();
                return StatusSnafu { step, peer, status }.fail();
            }
            let body = response.body().limit(RESPONSE_LIMIT).await;
            let body = body.map_err(|e| lost(e.to_string()))?;
            serde_json::from_slice(&body).context(InvalidResponseSnafu { step, peer })
        };
        let answered = tokio::time::timeout(bound, whole).await;
        answered.map_err(|_| lost(format!("silent for {bound:?}")))?
    }
}
