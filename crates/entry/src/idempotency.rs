//! Calls with an idempotency key: each runs at most once, whichever entries
//! its caller tries.
//!
//! Before the grant the key is claimed in the platform's log; see the
//! `claims` package. A second call with the key at this entry joins the first
//! one's answer while it is kept; at another entry it hears what is known.

use std::cell::{Cell, RefCell};
use std::collections::{HashMap, VecDeque};
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;

use actix_web::HttpResponse;
use actix_web::body::{BodySize, BoxBody, MessageBody};
use actix_web::http::StatusCode;
use actix_web::http::header::CONTENT_TYPE;
use base::reason::{Executed, Refusal};
use bundle::Hash;
use bytes::Bytes;
use claims::claims::key_hash;
use claims::{Claim, Denied, End};
use futures_util::stream;
use tokio::sync::Notify;
use wire::BackendRequest;

use crate::error::RequestError;
use crate::request::Request;
use crate::state::{OpenRequest, State};

/// Bytes of answers that are kept at the most, over all keys.
const KEPT_BYTES: usize = 16 << 20;

/// Answers that are kept at the most.
const KEPT_CALLS: usize = 10_000;

/// The end of a whole stream of events.
const DONE: &[u8] = b"data: [DONE]\n\n";

/// The calls with a key that this entry keeps.
#[derive(Default)]
pub struct KeyedCalls {
    by_key: RefCell<HashMap<Hash, Rc<KeyedCall>>>,
    /// Keys in the order in which their calls came.
    order: RefCell<VecDeque<Hash>>,
    /// Bytes of all kept answers.
    buffered_bytes: Cell<usize>,
}

/// One call with a key, and its answer as far as it came.
struct KeyedCall {
    /// Hash of what the call asks for.
    request_hash: Hash,
    head: RefCell<Option<ResponseHead>>,
    body: RefCell<Vec<u8>>,
    result: RefCell<Option<Result<(), RequestError>>>,
    changed: Notify,
}

/// The status and the content type of an answer.
#[derive(Clone)]
struct ResponseHead {
    status: StatusCode,
    content_type: String,
}

/// Runs a request that has a key once, or joins the call that runs already;
/// runs a request without a key as it is.
///
/// # Errors
///
/// Returns the refusal to answer with.
pub async fn run_once(
    state: &Rc<State>,
    mut request: Request,
    run: impl AsyncFnOnce(Request) -> Result<HttpResponse, RequestError>,
) -> Result<HttpResponse, RequestError> {
    let Some(key) = request.idempotency_key.clone() else {
        return run(request).await;
    };
    let hash = key_hash(&request.workspace, &key);
    let request_hash = request_hash(&request);
    let found = state.keyed_calls.by_key.borrow().get(&hash).cloned();
    if let Some(call) = found {
        return join_call(call, request_hash, state.begin_request()).await;
    }

    let first = FirstCall::new(state, hash, request_hash);
    let claimed = claim(state, &request, &key, request_hash).await;
    request.claim = claimed.inspect_err(|refused| first.fail(refused))?;
    let claim = request.claim.clone();
    match run(request).await {
        Ok(response) => Ok(first.record_response(response, claim)),
        Err(refused) => {
            if let Some(claim) = claim {
                claim.end(claim_end(refused.ran));
            }
            first.fail(&refused);
            Err(refused)
        }
    }
}

/// Claims the key in the log. Without a log there is nobody to claim it from,
/// and only this entry knows of it.
async fn claim(
    state: &State,
    request: &Request,
    key: &str,
    request_hash: Hash,
) -> Result<Option<Rc<Claim>>, RequestError> {
    let Some(claims) = &state.claims else {
        return Ok(None);
    };
    let claimed = claims.claim(&request.workspace, key, request_hash, request.ticket);
    match claimed.await {
        Ok(claim) => Ok(Some(Rc::new(claim))),
        Err(denied) => Err(denied_error(denied)),
    }
}

/// What a caller is told whose key is not its own.
fn denied_error(denied: Denied) -> RequestError {
    let (ran, hint) = match (denied.reason, denied.end) {
        (Refusal::KeyReused, _) => (Executed::No, "the key was used with another request"),
        (Refusal::KeyInUse, Some(End::Whole)) => {
            (Executed::Unknown, "the first call ran to its end")
        }
        (Refusal::KeyInUse, _) => (Executed::Unknown, "another entry took a call with this key"),
        _ => (
            Executed::No,
            "the platform's log is needed and does not answer",
        ),
    };
    RequestError {
        reason: denied.reason,
        ran,
        retry_after: denied.after.map(|a| a.max(Duration::from_secs(1))),
        hint: hint.to_owned(),
    }
}

/// The refusal of a call that waited longer than its claim lasts.
#[must_use]
pub fn claim_expired() -> RequestError {
    let hint = "the claim of the idempotency key lapsed while the call waited";
    RequestError::not_run(Refusal::Expired, hint).with_retry_after(Duration::from_secs(1))
}

/// Hash of what a call asks for.
fn request_hash(request: &Request) -> Hash {
    match &request.work {
        BackendRequest::Completion { body, chat } => {
            let shape: &[u8] = if *chat { b"chat" } else { b"text" };
            Hash::of(&[shape, request.class.as_bytes(), body])
        }
        BackendRequest::Call {
            method, path, body, ..
        } => {
            let target = request.target.as_bytes();
            Hash::of(&[target, method.as_bytes(), path.as_bytes(), body])
        }
    }
}

fn claim_end(ran: Executed) -> End {
    match ran {
        Executed::No => End::NotRun,
        Executed::Unknown | Executed::Partial => End::Unknown,
    }
}

/// The first call with a key. Dropped before it has an answer, it ends those
/// who joined it.
struct FirstCall {
    state: Rc<State>,
    key: Hash,
    call: Rc<KeyedCall>,
    finished: Cell<bool>,
}

impl FirstCall {
    fn new(state: &Rc<State>, key: Hash, request_hash: Hash) -> Self {
        let call = Rc::new(KeyedCall {
            request_hash,
            head: RefCell::default(),
            body: RefCell::default(),
            result: RefCell::default(),
            changed: Notify::new(),
        });
        state.keyed_calls.insert(key, &call);
        Self {
            state: Rc::clone(state),
            key,
            call,
            finished: Cell::new(false),
        }
    }

    /// Ends the call with a refusal. One that did not run leaves the key
    /// free, so that its caller may try again.
    fn fail(&self, refused: &RequestError) {
        self.finished.set(true);
        self.call.finish(Err(refused.clone()));
        if refused.ran == Executed::No || refused.reason == Refusal::KeyInUse {
            self.state.keyed_calls.remove(&self.key);
        }
    }

    /// Keeps the answer while it goes out.
    fn record_response(self, response: HttpResponse, claim: Option<Rc<Claim>>) -> HttpResponse {
        self.finished.set(true);
        let kind = response.headers().get(CONTENT_TYPE);
        *self.call.head.borrow_mut() = Some(ResponseHead {
            status: response.status(),
            content_type: kind.and_then(|v| v.to_str().ok()).unwrap_or("").to_owned(),
        });
        self.call.changed.notify_waiters();
        let (state, key, call) = (Rc::clone(&self.state), self.key, Rc::clone(&self.call));
        response.map_body(|_, inner| {
            BoxBody::new(Tee {
                inner,
                state,
                key,
                call,
                claim,
            })
        })
    }
}

impl Drop for FirstCall {
    fn drop(&mut self) {
        if !self.finished.get() {
            self.call.finish(Err(aborted_error()));
            self.state.keyed_calls.remove(&self.key);
        }
    }
}

/// Passes an answer on and keeps it.
struct Tee {
    inner: BoxBody,
    state: Rc<State>,
    key: Hash,
    call: Rc<KeyedCall>,
    claim: Option<Rc<Claim>>,
}

impl Tee {
    fn record_data(&self, data: &[u8]) {
        self.call.body.borrow_mut().extend_from_slice(data);
        self.call.changed.notify_waiters();
        self.state.keyed_calls.add_bytes(data.len());
        // The length is known from the start, so the end is not asked for.
        if self.inner.size() == BodySize::Sized(self.call.body.borrow().len() as u64) {
            self.finish_claim();
        }
    }

    fn finish_claim(&self) {
        let streamed = self.call.is_event_stream();
        let whole = !streamed || self.call.body.borrow().ends_with(DONE);
        if let Some(claim) = &self.claim {
            claim.end(if whole { End::Whole } else { End::Unknown });
        }
        // A stream that broke off has told its caller so itself.
        self.call.finish(Ok(()));
    }
}

impl MessageBody for Tee {
    type Error = <BoxBody as MessageBody>::Error;

    fn size(&self) -> BodySize {
        self.inner.size()
    }

    fn poll_next(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Bytes, Self::Error>>> {
        let polled = Pin::new(&mut self.inner).poll_next(cx);
        match &polled {
            Poll::Ready(Some(Ok(data))) => self.record_data(data),
            Poll::Ready(None) => self.finish_claim(),
            Poll::Ready(Some(Err(_))) | Poll::Pending => {}
        }
        polled
    }
}

impl Drop for Tee {
    /// A caller that goes away ends the run, so those who joined get no whole
    /// answer either; one that comes later hears that the outcome is unknown.
    fn drop(&mut self) {
        if self.call.result.borrow().is_some() {
            return;
        }
        if self.inner.size() == BodySize::Sized(0) {
            return self.finish_claim();
        }
        self.call.finish(Err(aborted_error()));
        self.state.keyed_calls.remove(&self.key);
    }
}

fn aborted_error() -> RequestError {
    RequestError {
        reason: Refusal::OutcomeUnknown,
        ran: Executed::Unknown,
        retry_after: None,
        hint: "the first call with this key was broken off by its caller".to_owned(),
    }
}

/// Answers a further call with the first one's answer.
async fn join_call(
    call: Rc<KeyedCall>,
    request_hash: Hash,
    open: OpenRequest,
) -> Result<HttpResponse, RequestError> {
    if call.request_hash != request_hash {
        let hint = "the key was used with another request";
        return Err(RequestError::not_run(Refusal::KeyReused, hint));
    }
    let head = call.response_head().await?;
    metrics::counter!("pimentocart_claims_total", "outcome" => "joined").increment(1);

    let body = stream::unfold(Some((call, 0, open)), |state| async move {
        let (call, from, open) = state?;
        let (data, over) = call.next_data(from).await;
        let from = from + data.len();
        let state = (!over).then_some((call, from, open));
        Some((Ok::<_, io::Error>(data), state))
    });
    let mut response = HttpResponse::build(head.status);
    if !head.content_type.is_empty() {
        response.content_type(head.content_type);
    }
    Ok(response.streaming(body))
}

impl KeyedCall {
    fn finish(&self, end: Result<(), RequestError>) {
        self.result.borrow_mut().get_or_insert(end);
        self.changed.notify_waiters();
    }

    fn is_event_stream(&self) -> bool {
        let head = self.head.borrow();
        head.as_ref()
            .is_some_and(|h| h.content_type.starts_with("text/event-stream"))
    }

    /// Waits until the answer has begun.
    async fn response_head(&self) -> Result<ResponseHead, RequestError> {
        loop {
            let changed = self.changed.notified();
            if let Some(head) = self.head.borrow().clone() {
                return Ok(head);
            }
            if let Some(Err(refused)) = &*self.result.borrow() {
                return Err(refused.clone());
            }
            changed.await;
        }
    }

    /// Waits for more of the answer; the flag says that there is no more.
    async fn next_data(&self, from: usize) -> (Bytes, bool) {
        loop {
            let changed = self.changed.notified();
            let mut data = self.body.borrow().get(from..).unwrap_or(&[]).to_vec();
            let end = self.result.borrow().clone();
            if let Some(Err(refused)) = &end {
                write_error(&mut data, refused);
            }
            if end.is_some() || !data.is_empty() {
                return (Bytes::from(data), end.is_some());
            }
            changed.await;
        }
    }
}

/// Adds the error event by which a stream of events tells that it broke off.
fn write_error(out: &mut Vec<u8>, refused: &RequestError) {
    out.extend_from_slice(b"data: ");
    // Writing to memory cannot fail.
    let _ = serde_json::to_writer(&mut *out, &refused.body());
    out.extend_from_slice(b"\n\n");
}

impl KeyedCalls {
    fn insert(&self, key: Hash, call: &Rc<KeyedCall>) {
        self.by_key.borrow_mut().insert(key, Rc::clone(call));
        self.order.borrow_mut().push_back(key);
        self.add_bytes(0);
    }

    fn remove(&self, key: &Hash) {
        if let Some(call) = self.by_key.borrow_mut().remove(key) {
            let size = call.body.borrow().len();
            self.buffered_bytes
                .set(self.buffered_bytes.get().saturating_sub(size));
        }
    }

    /// Counts kept bytes and forgets the oldest answers beyond the limits.
    /// Who is joined to them still gets them whole.
    fn add_bytes(&self, by: usize) {
        self.buffered_bytes.set(self.buffered_bytes.get() + by);
        while self.buffered_bytes.get() > KEPT_BYTES || self.order.borrow().len() > KEPT_CALLS {
            let Some(key) = self.order.borrow_mut().pop_front() else {
                return;
            };
            self.remove(&key);
        }
    }
}
