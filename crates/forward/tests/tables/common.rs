//! What the tests of the store's tables share.

use std::time::Duration;

use forward::platform::{AddedHeaders, CallHeaders, Dialect, ResponseHeaders};
use http::HeaderMap;

/// Long enough for any step here, so that a test that hangs fails instead.
pub(crate) const PATIENCE: Duration = Duration::from_secs(20);

/// A dialect for entries that get no calls.
pub(crate) struct Mute;

impl Dialect for Mute {
    fn parse_call(&self, _headers: &HeaderMap) -> CallHeaders {
        CallHeaders::default()
    }

    fn forwarded_headers(&self, _headers: &HeaderMap, _order: &AddedHeaders<'_>) -> HeaderMap {
        HeaderMap::new()
    }

    fn parse_response(&self, _status: u16, _headers: &HeaderMap) -> ResponseHeaders {
        ResponseHeaders::default()
    }
}

/// Waits until something is so.
pub(crate) async fn until(what: &str, mut done: impl FnMut() -> bool) {
    let wait = async {
        while !done() {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    };
    let waited = tokio::time::timeout(PATIENCE, wait).await;
    assert!(waited.is_ok(), "never: {what}");
}
