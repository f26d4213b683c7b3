//! Reading the platform's list of hosts.
//!
//! The list lags behind reality, may be frozen, empty or out of reach, so it
//! only proposes hosts; whether one takes work is decided by its own answers.
//! The format is written down in docs/platform/hosts.md.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::time::Duration;

use awc::error::SendRequestError;
use awc::http::StatusCode;
use awc::http::header::{ETAG, IF_NONE_MATCH};
use serde::{Deserialize, Serialize};
use snafu::Snafu;

/// Time allowed for one reading of the list.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(2);

/// Largest list that is read, in bytes; 10,000 hosts take about 2 MB.
const LIST_LIMIT: usize = 16 << 20;

/// The list as one region's daemons read it.
pub struct HostsClient {
    /// Where the platform serves the list.
    addr: SocketAddr,
    /// Only hosts of this region are asked for.
    region: String,
    /// The HTTP client, which keeps connections.
    http: awc::Client,
    /// The tag of the list that was read last.
    tag: RefCell<Option<String>>,
}

/// One host of the list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Host {
    /// The daemon's name, unique in the deployment.
    pub name: String,
    /// Where the daemon listens.
    pub addr: SocketAddr,
    /// The availability zone that the host stands in.
    pub zone: String,
    /// The region of that zone.
    pub region: String,
    /// Which daemon runs there.
    pub role: Role,
    /// The model or plain service that a sidecar's backend server offers;
    /// empty for an entry.
    #[serde(default)]
    pub serves: String,
    /// Whether the host is about to go away.
    #[serde(default, rename = "standing")]
    pub status: HostStatus,
}

/// Which daemon runs on a host.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    /// An entry.
    Entry,
    /// A sidecar.
    Sidecar,
}

/// Whether a host stays.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum HostStatus {
    /// The host stays.
    #[default]
    Live,
    /// The host is about to go away.
    Leaving,
}

/// The list as it is served.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct HostList {
    /// The hosts, in no particular order.
    pub hosts: Vec<Host>,
}

/// Why the list could not be read.
#[derive(Debug, Snafu)]
pub enum Error {
    /// The list's server could not be reached or broke off.
    #[snafu(display("step=read_hosts peer={peer}: {detail}"))]
    Unreachable {
        /// The list's server.
        peer: SocketAddr,
        /// What the client reported.
        detail: String,
    },
    /// The list's server answered with an error.
    #[snafu(display("step=read_hosts peer={peer}: status {status}"))]
    Refused {
        /// The list's server.
        peer: SocketAddr,
        /// The HTTP status.
        status: u16,
    },
    /// The list does not fit its format.
    #[snafu(display("step=parse_hosts peer={peer}: {source}"))]
    InvalidList {
        /// The list's server.
        peer: SocketAddr,
        /// What the parser found.
        source: serde_json::Error,
    },
}

impl HostsClient {
    /// Makes a client for the list at `addr`, for the hosts of `region`.
    #[must_use]
    pub fn new(addr: SocketAddr, region: &str) -> Self {
        let http = awc::Client::builder().timeout(RESPONSE_TIMEOUT).finish();
        Self {
            addr,
            region: region.to_owned(),
            http,
            tag: RefCell::default(),
        }
    }

    /// Where the platform serves the list.
    #[must_use]
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Reads the list. `None` when it has not changed since the last reading,
    /// which then costs only a few hundred bytes; see docs/CAPACITY.md.
    ///
    /// # Errors
    ///
    /// Returns [`Error`] when no list came; the caller goes on with what it
    /// knows.
    pub async fn read(&self) -> Result<Option<Vec<Host>>, Error> {
        let peer = self.addr;
        let url = format!("http://{peer}/hosts?region={}", self.region);
        let mut request = self.http.get(url);
        if let Some(tag) = self.tag.borrow().as_deref() {
            request = request.insert_header((IF_NONE_MATCH, tag));
        }

        let unreachable = |detail: String| Error::Unreachable { peer, detail };
        let sent = request.send().await;
        let mut response = sent.map_err(|e: SendRequestError| unreachable(e.to_string()))?;
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

        // Kept only now: a list that could not be read must come again.
        *self.tag.borrow_mut() = tag;
        Ok(Some(list.hosts))
    }
}
