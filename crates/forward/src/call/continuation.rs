//! Continuing a stream from a copy of its KV cache.

use bytes::Bytes;
use http::Request;
use http_body_util::Full;
use policy::balance::ServerRecord;

use super::Call;
use super::response::is_valid_success;
use crate::exchange::{self, ResponseBody, SendError};
use crate::platform::{AddedHeaders, KvCopy};

impl Call {
    /// Sends the call again to `server`, to continue after event `last` from `copy`. It
    /// counts as the same run, so no sidecar is asked and no retry is taken.
    ///
    /// # Errors
    ///
    /// Returns why the stream does not continue there, and whether it may have run.
    pub(crate) async fn continue_at(
        &self,
        server: &ServerRecord,
        copy: KvCopy<'_>,
        last: u64,
    ) -> Result<ResponseBody, SendError> {
        let now = self.state.clock.now();
        if now >= self.deadline {
            return Err(SendError::TimedOutUnsent);
        }
        let added = AddedHeaders {
            time_left: self.deadline.saturating_duration_since(now),
            server: &server.id,
            workspace: self.workspace.as_ref().map(|w| w.name.as_str()),
            priority: Some(self.rank()),
            last_event: Some(last),
            fetch_from: None,
            backup: None,
            kv_copy: Some(copy),
        };
        let mut request = Request::new(Full::<Bytes>::new(self.body.clone()));
        *request.method_mut() = self.method.clone();
        *request.uri_mut() = self.uri.clone();
        *request.headers_mut() = self.state.dialect.forwarded_headers(&self.headers, &added);
        let id = self.parsed_headers.request_id.as_deref();
        let sent = exchange::send(&self.state, server, request, id, self.deadline, None);
        let response = sent.await?;
        match is_valid_success(&response) {
            true => Ok(response.body),
            false => Err(SendError::Unknown(format!("status {}", response.status))),
        }
    }
}
