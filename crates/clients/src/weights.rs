//! Client of the rate-limited weight store, which issues permits to load model
//! weights. The format is specified in docs/platform/weights.md.

use std::net::SocketAddr;
use std::time::Duration;

use awc::http::StatusCode;
use awc::http::header::RETRY_AFTER;
use base::connect::HttpConnector;

/// Timeout of a call.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(2);

/// Client that a sidecar uses to request permits.
pub struct WeightStoreClient {
    /// Address that the store listens on.
    addr: SocketAddr,
    /// HTTP client that reuses connections.
    http: awc::Client,
}

/// Outcome of a permit request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PermitResponse {
    /// One load may start.
    Granted,
    /// Rate limit reached; retry after the delay that the store returned.
    RetryAfter(Duration),
    /// The store is unreachable or returned an error.
    Unavailable,
}

impl WeightStoreClient {
    /// Creates a client for the store at `addr`.
    #[must_use]
    pub fn new(addr: SocketAddr) -> Self {
        let connector = awc::Connector::new().connector(HttpConnector);
        let http = awc::Client::builder()
            .connector(connector)
            .timeout(RESPONSE_TIMEOUT)
            .finish();
        Self { addr, http }
    }

    /// Requests a permit to load `what`, a model version or an adapter.
    pub async fn request_permit(&self, what: &str) -> PermitResponse {
        let url = format!("http://{}/v1/permits/{what}", self.addr);
        let Ok(response) = self.http.post(url).send().await else {
            return PermitResponse::Unavailable;
        };
        let after = response.headers().get(RETRY_AFTER);
        let after = after.and_then(|v| v.to_str().ok()?.parse().ok());
        match response.status() {
            status if status.is_success() => PermitResponse::Granted,
            StatusCode::TOO_MANY_REQUESTS => {
                PermitResponse::RetryAfter(Duration::from_secs(after.unwrap_or(1)))
            }
            _ => PermitResponse::Unavailable,
        }
    }
}
