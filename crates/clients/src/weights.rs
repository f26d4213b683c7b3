//! Permits of the rate-limited weight store. The format is written down in
//! docs/platform/weights.md.

use std::net::SocketAddr;
use std::time::Duration;

use awc::http::StatusCode;
use awc::http::header::RETRY_AFTER;

/// Time allowed for an answer.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(2);

/// The weight store as one sidecar reaches it.
pub struct WeightStoreClient {
    /// Where the store listens.
    addr: SocketAddr,
    /// The HTTP client.
    http: awc::Client,
}

/// What became of asking for a permit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PermitResponse {
    /// One load may begin.
    Granted,
    /// Ask again, not before the time that the store told.
    RetryAfter(Duration),
    /// The store does not answer.
    Unavailable,
}

impl WeightStoreClient {
    /// Makes a client for the store at `addr`.
    #[must_use]
    pub fn new(addr: SocketAddr) -> Self {
        let http = awc::Client::builder().timeout(RESPONSE_TIMEOUT).finish();
        Self { addr, http }
    }

    /// Asks for a permit to load `what`.
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
