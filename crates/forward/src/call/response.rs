//! Processing a backend server's response to a call.

use std::rc::Rc;
use std::time::Instant;

use bytes::Bytes;
use policy::memory::ANSWER_RESERVE;
use policy::pools::Phase;
use spdlog::info;

use super::{Call, unshared_tokens};
use crate::exchange::{ResponseBody, SendError, ServerResponse};
use crate::memory::{self, AnswerHold};
use crate::relay::Relay;
use crate::reply::Reply;
use crate::state::OpenCall;

/// Largest response, in bytes, that is buffered until it is complete. A larger
/// one that is not a stream is a fault of the server: plain services answer
/// with a few kilobytes, and an entry has about 100 MB of memory in all. An
/// answer of this size fits into the bytes that are kept free for answers.
const MAX_BUFFERED_BYTES: usize = ANSWER_RESERVE;

/// Why an answer without a length or chunks does not count as whole.
pub(crate) const UNPROVEN_END: &str = "server not shown to be alive after the answer's end";

impl Call {
    /// Processes a response whose head has arrived.
    pub(super) async fn accept(
        self: &Rc<Self>,
        mut response: ServerResponse,
        tried: &[Rc<str>],
    ) -> Result<Reply, SendError> {
        let success = (200..300).contains(&response.status);
        if success && !is_valid_success(&response) {
            self.forgo_backup();
            return Err(SendError::Unknown(
                "success response without seal or ID, or encoded".to_owned(),
            ));
        }
        if success && self.route.kind.streams() {
            let first_bytes = self.before_deadline(response.body.next()).await;
            let first_bytes = first_bytes
                .inspect_err(|_| self.record_timeout(response.sent_at, response.waiting_calls))?;
            let first_bytes = first_bytes.map_err(|e| self.response_broken(&response.body, e))?;
            let first_bytes = match first_bytes {
                Some(bytes) => bytes,
                None => self.accept_empty(&mut response.body).await?,
            };
            self.record_first_event(&response);
            self.bind_version(&response.body.server).await;
            self.record_usage();
            if let Some(resumes) = &self.parsed_headers.resumes {
                info!("stream taken up", kv: {
                    id = self.request_id(),
                    resumes = resumes.as_str(),
                    after = self.parsed_headers.last_event.unwrap_or(0),
                    at = &*response.body.server.id,
                    version = &*response.body.server.version
                });
            }
            let relay = Relay::new(
                Rc::clone(self),
                response.body,
                first_bytes,
                tried.to_vec(),
                OpenCall::new(&self.state),
            );
            return Ok(Reply::Stream {
                headers: response.headers,
                relay: Box::new(relay),
            });
        }
        self.record_usage();
        self.forgo_backup();
        let (body, held) = self.read_body(&mut response.body).await?;
        if response.status < 500 {
            self.record_completed();
        }
        if success {
            self.record_sound();
        }
        Ok(Reply::Buffered {
            status: response.status,
            headers: response.headers,
            body,
            held,
        })
    }

    /// Records the time to the first event.
    fn record_first_event(&self, response: &ServerResponse) {
        if self.phase == Some(Phase::Prefill) {
            let now = self.state.clock.now();
            let elapsed = now.saturating_duration_since(response.sent_at);
            let mut pools = self.state.phase_pools.borrow_mut();
            pools.record_first_event(
                now,
                &self.service,
                unshared_tokens(&self.parsed_headers),
                elapsed,
            );
            let mut waits = self.state.wait_estimator.borrow_mut();
            waits.record(&self.service, self.rank(), response.waiting_calls, elapsed);
        }
    }

    /// Records that no first event came before the deadline. Without these
    /// samples the estimated waits would cover only calls that were served.
    pub(super) fn record_timeout(&self, sent_at: Instant, waiting_calls: u32) {
        if self.phase == Some(Phase::Prefill) {
            let elapsed = self.state.clock.now().saturating_duration_since(sent_at);
            let mut waits = self.state.wait_estimator.borrow_mut();
            waits.record(&self.service, self.rank(), waiting_calls, elapsed);
        }
    }

    /// Reads a response to its end, so that a truncated one is detected before
    /// the caller sees any of it.
    async fn read_body(&self, body: &mut ResponseBody) -> Result<(Bytes, AnswerHold), SendError> {
        let declared = body.declared_length();
        let mut hold = self.state.memory.begin_answer();
        let mut all = Vec::new();
        loop {
            let next = self.before_deadline(body.next()).await?;
            let Some(bytes) = next.map_err(|e| self.response_broken(body, e))? else {
                break;
            };
            let needed = all.len() + bytes.len();
            if needed.max(declared.unwrap_or(0)) > MAX_BUFFERED_BYTES {
                return Err(SendError::Unknown(
                    "response exceeds the buffer limit".to_owned(),
                ));
            }
            if needed > all.capacity() {
                // The whole length is reserved at once where it is known.
                let capacity = memory::next_capacity(all.capacity(), needed, declared);
                let capacity = capacity.max(declared.unwrap_or(0)).min(MAX_BUFFERED_BYTES);
                self.before_deadline(hold.grow(capacity)).await?;
                all.reserve_exact(capacity - all.len());
            }
            all.extend_from_slice(&bytes);
        }
        self.check_whole(body).await?;
        Ok((all.into(), hold))
    }

    /// Returns the first bytes of a stream that has none. Only one that the caller takes up
    /// may have had its last event before.
    async fn accept_empty(&self, body: &mut ResponseBody) -> Result<Bytes, SendError> {
        if !body.framed && !self.takes_up_stream() {
            let cause = "stream ended before its first event".to_owned();
            return Err(self.response_broken(body, cause));
        }
        self.check_whole(body).await?;
        Ok(Bytes::new())
    }

    /// Fails if nothing proves that a response that has ended is whole.
    async fn check_whole(&self, body: &mut ResponseBody) -> Result<(), SendError> {
        if self.before_deadline(body.is_whole()).await? {
            return Ok(());
        }
        self.record_unproven_end(&body.server);
        Err(SendError::Unknown(UNPROVEN_END.to_owned()))
    }

    /// Records that the connection broke during the response.
    fn response_broken(&self, body: &ResponseBody, cause: String) -> SendError {
        self.record_broken(&body.server);
        SendError::Unknown(cause)
    }

    async fn before_deadline<T>(&self, future: impl Future<Output = T>) -> Result<T, SendError> {
        let result = tokio::time::timeout_at(self.deadline.into(), future).await;
        result.map_err(|_| SendError::TimedOut)
    }
}

/// Whether a response is a success that may be passed on to the caller.
pub(super) fn is_valid_success(response: &ServerResponse) -> bool {
    let parsed_headers = &response.parsed_headers;
    (200..300).contains(&response.status)
        && parsed_headers.sealed
        && parsed_headers.request_id.is_some()
        && !parsed_headers.encoded
}
