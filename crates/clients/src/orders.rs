//! Client that sends orders to an engine: load a model version, load or unload an
//! adapter, change the role. The format is specified in docs/platform/orders.md.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use awc::http::StatusCode;
use base::connect::HttpConnector;
use base::ids::Offset;
use serde::{Deserialize, Serialize};
use snafu::Snafu;

use crate::engine::never_sent;

/// Header with the fencing token of an order.
pub const FENCING_HEADER: &str = "x-fencing-number";

/// Timeout of a call. An engine accepts an order at once and executes it
/// afterwards.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(2);

/// Client that a sidecar uses to send orders to its engine.
pub struct OrdersClient {
    /// Address that the engine accepts orders at.
    addr: SocketAddr,
    /// HTTP client that opens a new connection for each call.
    http: awc::Client,
}

/// Order to an engine.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Order {
    /// Load a version of the model.
    LoadVersion(String),
    /// Load an adapter.
    LoadAdapter(String),
    /// Unload an adapter.
    UnloadAdapter(String),
    /// Change the role, for example to prefill only or decode only.
    ChangeRole(String),
}

/// State of an engine that orders can change.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct EngineState {
    /// Model version that the engine serves.
    pub version: String,
    /// Adapters that the engine serves.
    pub adapters: BTreeSet<String>,
    /// Role of the engine.
    pub role: String,
    /// Whether a load is in progress. The engine serves the previous version and
    /// adapters meanwhile.
    pub loading: bool,
}

/// Error of a call to an engine.
#[derive(Debug, Snafu)]
pub enum Error {
    /// No connection could be opened, so the order was not sent.
    #[snafu(display("step={step} peer={peer}: no connection"))]
    Connect {
        /// Operation that failed.
        step: &'static str,
        /// The engine.
        peer: SocketAddr,
    },
    /// No complete response arrived; the order may have been accepted.
    #[snafu(display("step={step} peer={peer}: {detail}"))]
    NoResponse {
        /// Operation that failed.
        step: &'static str,
        /// The engine.
        peer: SocketAddr,
        /// Error text of the HTTP client.
        detail: String,
    },
    /// The engine has accepted an order with a higher fencing token.
    #[snafu(display("step={step} peer={peer}: stale fencing token"))]
    StaleFence {
        /// Operation that failed.
        step: &'static str,
        /// The engine.
        peer: SocketAddr,
    },
    /// The engine rejected the order.
    #[snafu(display("step={step} peer={peer}: refused with status {status}"))]
    Refused {
        /// Operation that failed.
        step: &'static str,
        /// The engine.
        peer: SocketAddr,
        /// The HTTP status.
        status: u16,
    },
}

impl Error {
    /// Value of the metric label.
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
    /// Creates a client for the engine that accepts orders at `addr`.
    #[must_use]
    pub fn new(addr: SocketAddr) -> Self {
        let connector = awc::Connector::new()
            .connector(HttpConnector)
            .conn_keep_alive(Duration::ZERO);
        let http = awc::Client::builder()
            .connector(connector)
            .timeout(RESPONSE_TIMEOUT)
            .finish();
        Self { addr, http }
    }

    /// Fetches the state of the engine.
    ///
    /// # Errors
    ///
    /// Returns [`Error`] when no valid response arrived.
    pub async fn state(&self) -> Result<EngineState, Error> {
        let (step, peer) = ("read_standing", self.addr);
        let url = format!("http://{peer}/v1/orders");
        let sent = self.http.get(url).send().await;
        let response = sent.map_err(|e| self.classify_error(step, &e))?;
        self.check_status(step, response.status())?;
        // The timeout of the request does not cover the body.
        let mut response = response.timeout(RESPONSE_TIMEOUT);
        let state = response.json().await;
        state.map_err(|e| Error::NoResponse {
            step,
            peer,
            detail: e.to_string(),
        })
    }

    /// Sends an order with its fencing token.
    ///
    /// # Errors
    ///
    /// Returns [`Error`] when the engine did not confirm the order.
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

    /// Maps an error status to its error.
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

    /// Distinguishes a request that was never sent from one that may have been.
    fn classify_error(&self, step: &'static str, error: &awc::error::SendRequestError) -> Error {
        let peer = self.addr;
        if never_sent(error) {
            return Error::Connect { step, peer };
        }
        let detail = error.to_string();
        Error::NoResponse { step, peer, detail }
    }
}
