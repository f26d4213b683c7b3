//! Taking what a server answers to a call.

use std::rc::Rc;
use std::time::Instant;

use bytes::Bytes;
use policy::pools::Phase;

use super::{Call, fresh};
use crate::exchange::{Answer, Body, Failure};
use crate::relay::Relay;
use crate::reply::Reply;
use crate::state::OpenCall;

/// Largest answer that is held until it is whole. Larger ones of calls that
/// are no streams are a fault of the server: plain services answer with a
/// few kilobytes, and an entry has about a hundred megabytes in all.
const WHOLE_LIMIT: usize = 8 << 20;

impl Call {
    /// Takes an answer whose head has come.
    pub(super) async fn accept(
        self: &Rc<Self>,
        mut answer: Answer,
        tried: &[Rc<str>],
    ) -> Result<Reply, Failure> {
        let success = (200..300).contains(&answer.status);
        if success && !good(&answer) {
            return Err(Failure::Unknown(
                "an answer that nobody vouches for".to_owned(),
            ));
        }
        if success && self.route.kind.streams() {
            let first = self.within(answer.body.next()).await;
            let first = first.inspect_err(|_| self.note_late(answer.sent, answer.ahead))?;
            let first = first.map_err(|e| self.cut(&answer.body, e))?;
            let first = first.unwrap_or_default();
            self.note_first(&answer);
            self.count();
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
        self.count();
        let body = self.whole(&mut answer.body).await?;
        if answer.status < 500 && answer.body.framed {
            self.served();
        }
        Ok(Reply::Whole {
            status: answer.status,
            headers: answer.headers,
            body,
        })
    }

    /// Notes how long the first event took.
    fn note_first(&self, answer: &Answer) {
        if self.work == Some(Phase::Prefill) {
            let now = self.state.clock.now();
            let took = now.saturating_duration_since(answer.sent);
            let mut pools = self.state.phase_pools.borrow_mut();
            pools.record_first_event(now, &self.service, fresh(&self.ask), took);
            let mut waits = self.state.wait_estimator.borrow_mut();
            waits.record(&self.service, self.rank(), answer.ahead, took);
        }
    }

    /// Notes that no first event came in all the time that the call had. Left
    /// out, only those that were served would say how long calls wait.
    pub(super) fn note_late(&self, sent: Instant, ahead: u32) {
        if self.work == Some(Phase::Prefill) {
            let took = self.state.clock.now().saturating_duration_since(sent);
            let mut waits = self.state.wait_estimator.borrow_mut();
            waits.record(&self.service, self.rank(), ahead, took);
        }
    }

    /// Reads an answer to its end, so that a broken one can be told from a
    /// whole one before the caller sees anything of it.
    async fn whole(&self, body: &mut Body) -> Result<Bytes, Failure> {
        let mut all = Vec::new();
        loop {
            let next = self.within(body.next()).await?;
            let Some(bytes) = next.map_err(|e| self.cut(body, e))? else {
                break;
            };
            if all.len() + bytes.len() > WHOLE_LIMIT {
                return Err(Failure::Unknown("an answer beyond all bounds".to_owned()));
            }
            all.extend_from_slice(&bytes);
        }
        Ok(all.into())
    }

    /// Notes that an answer broke off.
    fn cut(&self, body: &Body, cause: String) -> Failure {
        self.broke(&body.server);
        Failure::Unknown(cause)
    }

    async fn within<T>(&self, step: impl Future<Output = T>) -> Result<T, Failure> {
        let done = tokio::time::timeout_at(self.until.into(), step).await;
        done.map_err(|_| Failure::Late)
    }
}

/// Whether a success may be passed on.
pub(super) fn good(answer: &Answer) -> bool {
    let signs = &answer.signs;
    (200..300).contains(&answer.status) && signs.sealed && signs.id.is_some() && !signs.encoded
}
