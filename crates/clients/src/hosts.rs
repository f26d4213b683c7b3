//! Client of the platform's host list.
//!
//! The list may be stale, frozen, empty or unreachable. It therefore only names
//! candidate hosts; whether a host accepts work is decided by its own responses.
//! The format is specified in docs/platform/hosts.md.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::time::Duration;

use awc::error::SendRequestError;
use awc::http::StatusCode;
use awc::http::header::{ETAG, IF_NONE_MATCH};
use base::connect::HttpConnector;
use serde::{Deserialize, Serialize};
use snafu::Snafu;

/// Timeout of one request for the list.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(2);

/// Largest accepted list, in bytes. A list of 10,000 hosts takes about 2 MB.
const LIST_LIMIT: usize = 16 << 20;

/// Client that fetches the hosts of one region.
pub struct HostsClient {
    /// Address that the list is served at.
    addr: SocketAddr,
    /// Region whose hosts are requested.
    region: String,
    /// HTTP client that reuses connections.
    http: awc::Client,
    /// ETag of the last list that was received.
    tag: RefCell<Option<String>>,
}

/// One host of the list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Host {
    /// The daemon's name, unique in the deployment.
    pub name: String,
    /// Address that the daemon listens on.
    pub addr: SocketAddr,
    /// Availability zone of the host.
    pub zone: String,
    /// Region of the availability zone.
    pub region: String,
    /// Daemon that runs on the host.
    pub role: Role,
    /// Model or plain service that a sidecar's backend server provides; empty
    /// for an entry.
    #[serde(default)]
    pub serves: String,
    /// Whether the host is about to be removed.
    #[serde(default, rename = "standing")]
    pub status: HostStatus,
}

/// Kind of daemon that runs on a host.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    /// An entry.
    Entry,
    /// A sidecar.
    Sidecar,
}

/// Lifecycle status of a host.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum HostStatus {
    /// The host is in service.
    #[default]
    Live,
    /// The host is about to be removed.
    Leaving,
}

/// JSON response with the host list.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct HostList {
    /// The hosts, in no particular order.
    pub hosts: Vec<Host>,
}

/// Error of a request for the list.
#[derive(Debug, Snafu)]
pub enum Error {
    /// The server could not be reached or the response is incomplete.
    #[snafu(display("step=read_hosts peer={peer}: {detail}"))]
    Unreachable {
        /// Server of the list.
        peer: SocketAddr,
        /// Error text of the HTTP client.
        detail: String,
    },
    /// The server responded with an error status.
    #[snafu(display("step=read_hosts peer={peer}: status {status}"))]
    Refused {
        /// Server of the list.
        peer: SocketAddr,
        /// The HTTP status.
        status: u16,
    },
    /// The response is not a valid list.
    #[snafu(display("step=parse_hosts peer={peer}: {source}"))]
    InvalidList {
        /// Server of the list.
        peer: SocketAddr,
        /// Cause reported by the JSON parser.
        source: serde_json::Error,
    },
}

impl HostsClient {
    /// Creates a client that requests the hosts of `region` from `addr`.
    #[must_use]
    pub fn new(addr: SocketAddr, region: &str) -> Self {
        let connector = awc::Connector::new().connector(HttpConnector);
        let http = awc::Client::builder()
            .connector(connector)
            .timeout(RESPONSE_TIMEOUT)
            .finish();
        Self {
            addr,
            region: region.to_owned(),
            http,
            tag: RefCell::default(),
        }
    }

    /// Address that the list is served at.
    #[must_use]
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Fetches the list. Returns `None` when it is unchanged since the last call;
    /// such a response has only a few hundred bytes, see docs/CAPACITY.md.
    ///
    /// # Errors
    ///
    /// Returns [`Error`] when no valid list was received. The caller continues
    /// with the hosts that it knows.
    pub async fn read(&self) -> Result<Option<Vec<Host>>, Error> {
        let peer = self.addr;
        let url = format!("http://{peer}/hosts?region={}", self.region);
        let mut request = self.http.get(url);
        if let Some(tag) = self.tag.borrow().as_deref() {
            request = request.insert_header((IF_NONE_MATCH, tag));
        }

        let unreachable = |detail: String| Error::Unreachable { peer, detail };
        let sent = request.send().await;
        let response = sent.map_err(|e: SendRequestError| unreachable(e.to_string()))?;
        // The timeout of the request does not cover the body.
        let mut response = response.timeout(RESPONSE_TIMEOUT);
        match response.status() {
            StatusCode::OK => {}
            StatusCode::NOT_MODIFIED => return Ok(None),
            status => {
                let status = status.as_u16();
                return RefusedSnafu { peer, status }.fail();
            }
        }

        let tag = response.headers().get(ETAG).and_then(|v| v.to_str().ok());
        let tag = tag.map(str::to_owned);
        let body = response.body().limit(LIST_LIMIT).await;
        let body = body.map_err(|e| unreachable(e.to_string()))?;
        let list: HostList =
            serde_json::from_slice(&body).map_err(|source| Error::InvalidList { peer, source })?;

        // Stored only after parsing: an invalid list must be sent again in full.
        *self.tag.borrow_mut() = tag;
        Ok(Some(list.hosts))
    }
}
