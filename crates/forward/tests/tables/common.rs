//! Helpers shared by the tests of the store's tables.

use std::time::Duration;

use forward::platform::{AddedHeaders, CallHeaders, Dialect, ResponseHeaders};
use http::HeaderMap;

/// Upper bound for any step of these tests, so that a test that hangs fails instead.
pub(crate) const TEST_TIMEOUT: Duration = Duration::from_secs(20);

/// A dialect for entries that receive no calls.
pub(crate) struct NoCallsDialect;

impl Dialect for NoCallsDialect {
    fn parse_call(&self, _headers: &HeaderMap) -> CallHeaders {
        CallHeaders::default()
    }

    fn forwarded_headers(&self, _headers: &HeaderMap, _order: &AddedHeaders<'_>) -> HeaderMap {
        HeaderMap::new()
    }

    fn parse_start(&self, _body: &[u8]) -> Option<u64> {
        None
    }

    fn parse_response(&self, _status: u16, _headers: &HeaderMap) -> ResponseHeaders {
        ResponseHeaders::default()
    }
}

/// Waits until `done` returns true; `what` names the condition in the failure message.
pub(crate) async fn wait_until(what: &str, mut done: impl FnMut() -> bool) {
    let wait = async {
        while !done() {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    };
    let waited = tokio::time::timeout(TEST_TIMEOUT, wait).await;
    assert!(waited.is_ok(), "timed out waiting for: {what}");
}
