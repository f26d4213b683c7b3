//! OrdersClient to an engine: loading versions and adapters, changing its role. The
//! format is written down in docs/platform/orders.md.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use awc::http::StatusCode;
use base::ids::Offset;
use serde::{Deserialize, Serialize};
use snafu::Snafu;

use crate::engine::never_sent;

/// Header that carries the fencing number of an order.
pub const FENCING_HEADER: &str = "x-fencing-number";

/// Time allowed for an answer. An engine takes an order at once and loads
/// after that.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(2);

/// One engine's orders as its sidecar gives them.
pub struct OrdersClient {
    /// Where the engine takes orders.
    addr: SocketAddr,
    /// The HTTP client.
    http: awc::Client,
}

/// One order.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Order {
    /// Load a version of the model.
    LoadVersion(String),
    /// Load an adapter.
    LoadAdapter(String),
    /// Unload an adapter.
    UnloadAdapter(String),
    /// Change the role, as to prefill or decode only.
    ChangeRole(String),
}

/// What an engine has, and does.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct EngineState {
    /// The version that it serves.
    pub version: String,
    /// The adapters that it serves.
    pub adapters: BTreeSet<String>,
    /// Its role.
    pub role: String,
    /// Whether it is loading; it serves what it has meanwhile.
    pub loading: bool,
}

/// Why an order was not taken.
#[derive(Debug, Snafu)]
pub enum Error {
    /// The engine could not be reached; the order was not given.
    #[snafu(display("step={step} peer={peer}: no connection"))]
    Connect {
        /// What was wanted.
        step: &'static str,
        /// The engine.
        peer: SocketAddr,
    },
    /// No answer came; the order may have been taken.
    #[snafu(display("step={step} peer={peer}: {detail}"))]
    NoResponse {
        /// What was wanted.
        step: &'static str,
        /// The engine.
        peer: SocketAddr,
        /// What the client reported.
        detail: String,
    },
    /// The engine has taken an order with a higher fencing number.
    #[snafu(display("step={step} peer={peer}: old fencing number"))]
    StaleFence {
        /// What was wanted.
        step: &'static str,
        /// The engine.
        peer: SocketAddr,
    },
    /// The engine refused the order.
    #[snafu(display("step={step} peer={peer}: refused with status {status}"))]
    Refused {
        /// What was wanted.
        step: &'static str,
        /// The engine.
        peer: SocketAddr,
        /// The HTTP status.
        status: u16,
    },
}

impl Error {
    /// The word used in labels.
    #[must_use]
    pub fn as_str(&self) -> &'static str {
        match self {
            Self::Connect { .. } => "unreachable",
            Self::NoResponse { .. } => "lost",
            Self::StaleFence { .. } => "old_fence",
            Self::Refused { .. } => "refused",
        }
    }
}

impl OrdersClient {
    /// Makes a client for the engine that takes orders at `addr`.
    #[must_use]
    pub fn new(addr: SocketAddr) -> Self {
        let connector = awc::Connector::new().conn_keep_alive(Duration::ZERO);
        let http = awc::Client::builder()
            .connector(connector)
            .timeout(RESPONSE_TIMEOUT)
            .finish();
        Self { addr, http }
    }

    /// What the engine has.
    ///
    /// # Errors
    ///
    /// Returns [`Error`] when no answer came.
    pub async fn state(&self) -> Result<EngineState, Error> {
        let (step, peer) = ("read_standing", self.addr);
        let url = format!("http://{peer}/v1/orders");
        let sent = self.http.get(url).send().await;
        let mut response = sent.map_err(|e| self.classify_error(step, &e))?;
        self.check_status(step, response.status())?;
        let state = response.json().await;
        state.map_err(|e| Error::NoResponse {
            step,
            peer,
            detail: e.to_string(),
        })
    }

    /// Gives an order with its fencing number.
    ///
    /// # Errors
    ///
    /// Returns [`Error`] when the order was not taken, or may not have been.
    pub async fn send(&self, order: &Order, fence: Offset) -> Result<(), Error> {
        let url = format!("http://{}/v1/orders", self.addr);
        let request = self
            .http
            .post(url)
            .insert_header((FENCING_HEADER, fence.to_string()));
        let sent = request.send_json(order).await;
        let response = sent.map_err(|e| self.classify_error("order", &e))?;
        self.check_status("order", response.status())
    }

    fn check_status(&self, step: &'static str, status: StatusCode) -> Result<(), Error> {
        let peer = self.addr;
        match status {
            status if status.is_success() => Ok(()),
            StatusCode::CONFLICT => StaleFenceSnafu { step, peer }.fail(),
            status => {
                let status = status.as_u16();
                RefusedSnafu { step, peer, status }.fail()
            }
        }
    }

    fn classify_error(&self, step: &'static str, error: &awc::error::SendRequestError) -> Error {
        let peer = self.addr;
        if never_sent(error) {
            return Error::Connect { step, peer };
        }
        let detail = error.to_string();
        Error::NoResponse { step, peer, detail }
    }
}
