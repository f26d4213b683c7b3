//! Taking what a server answers to a call.

use std::rc::Rc;
use std::time::Instant;

use bytes::Bytes;
use policy::pools::Phase;

use super::{Call, unshared_tokens};
use crate::exchange::{ResponseBody, SendError, ServerResponse};
use crate::relay::Relay;
use crate::reply::Reply;
use crate::state::OpenCall;

/// Largest answer that is held until it is whole. Larger ones of calls that
/// are no streams are a fault of the server: plain services answer with a
/// few kilobytes, and an entry has about a hundred megabytes in all.
const MAX_BUFFERED_BYTES: usize = 8 << 20;

impl Call {
    /// Takes an answer whose head has come.
    pub(super) async fn accept(
        self: &Rc<Self>,
        mut answer: ServerResponse,
        tried: &[Rc<str>],
    ) -> Result<Reply, SendError> {
        let success = (200..300).contains(&answer.status);
        if success && !is_valid_success(&answer) {
            return Err(SendError::Unknown(
                "an answer that nobody vouches for".to_owned(),
            ));
        }
        if success && self.route.kind.streams() {
            let first = self.before_deadline(answer.body.next()).await;
            let first =
                first.inspect_err(|_| self.record_timeout(answer.sent_at, answer.waiting_calls))?;
            let first = first.map_err(|e| self.response_broken(&answer.body, e))?;
            let first = first.unwrap_or_default();
            self.record_first_event(&answer);
            self.record_usage();
            let relay = Relay::new(
                Rc::clone(self),
                answer.body,
                first,
                tried.to_vec(),
                OpenCall::new(&self.state),
            );
            return Ok(Reply::Stream {
                headers: answer.headers,
                relay: Box::new(relay),
            });
        }
        self.record_usage();
        let body = self.read_body(&mut answer.body).await?;
        if answer.status < 500 && answer.body.framed {
            self.record_completed();
        }
        Ok(Reply::Buffered {
            status: answer.status,
            headers: answer.headers,
            body,
        })
    }

    /// Notes how long the first event took.
    fn record_first_event(&self, answer: &ServerResponse) {
        if self.phase == Some(Phase::Prefill) {
            let now = self.state.clock.now();
            let took = now.saturating_duration_since(answer.sent_at);
            let mut pools = self.state.phase_pools.borrow_mut();
            pools.record_first_event(
                now,
                &self.service,
                unshared_tokens(&self.parsed_headers),
                took,
            );
            let mut waits = self.state.wait_estimator.borrow_mut();
            waits.record(&self.service, self.rank(), answer.waiting_calls, took);
        }
    }

    /// Notes that no first event came in all the time that the call had. Left
    /// out, only those that were served would say how long calls wait.
    pub(super) fn record_timeout(&self, sent: Instant, ahead: u32) {
        if self.phase == Some(Phase::Prefill) {
            let took = self.state.clock.now().saturating_duration_since(sent);
            let mut waits = self.state.wait_estimator.borrow_mut();
            waits.record(&self.service, self.rank(), ahead, took);
        }
    }

    /// Reads an answer to its end, so that a broken one can be told from a
    /// whole one before the caller sees anything of it.
    async fn read_body(&self, body: &mut ResponseBody) -> Result<Bytes, SendError> {
        let mut all = Vec::new();
        loop {
            let next = self.before_deadline(body.next()).await?;
            let Some(bytes) = next.map_err(|e| self.response_broken(body, e))? else {
                break;
            };
            if all.len() + bytes.len() > MAX_BUFFERED_BYTES {
                return Err(SendError::Unknown("an answer beyond all bounds".to_owned()));
            }
            all.extend_from_slice(&bytes);
        }
        Ok(all.into())
    }

    /// Notes that an answer broke off.
    fn response_broken(&self, body: &ResponseBody, cause: String) -> SendError {
        self.record_broken(&body.server);
        SendError::Unknown(cause)
    }

    async fn before_deadline<T>(&self, step: impl Future<Output = T>) -> Result<T, SendError> {
        let done = tokio::time::timeout_at(self.deadline.into(), step).await;
        done.map_err(|_| SendError::TimedOut)
    }
}

/// Whether a success may be passed on.
pub(super) fn is_valid_success(answer: &ServerResponse) -> bool {
    let parsed_headers = &answer.parsed_headers;
    (200..300).contains(&answer.status)
        && parsed_headers.sealed
        && parsed_headers.request_id.is_some()
        && !parsed_headers.encoded
}
