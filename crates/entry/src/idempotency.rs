//! Runs each call with an idempotency key at most once, even if its caller
//! retries at several entries.
//!
//! The key is claimed in the platform's log before the request is placed; see
//! the `claims` package. A second call with the same key at this entry gets the
//! answer of the first one while it is cached. At another entry it is refused
//! with the state of the first call as far as it is known.

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
use claims::{CallOutcome, Claim, ClaimDenied};
use futures_util::stream;
use tokio::sync::Notify;
use wire::BackendRequest;

use crate::error::RequestError;
use crate::request::Request;
use crate::state::{OpenRequest, State};

/// Maximum size of the cached answers of all keys, in bytes.
const MAX_CACHED_BYTES: usize = 16 << 20;

/// Maximum number of cached answers.
const MAX_CACHED_CALLS: usize = 10_000;

/// The last event of a complete event stream.
const DONE_EVENT: &[u8] = b"data: [DONE]\n\n";

/// The calls with an idempotency key whose answers this entry caches.
#[derive(Default)]
pub struct KeyedCalls {
    by_key: RefCell<HashMap<Hash, Rc<KeyedCall>>>,
    /// Keys in order of arrival, for eviction of the oldest.
    order: RefCell<VecDeque<Hash>>,
    /// Size of all cached answers, in bytes.
    cached_bytes: Cell<usize>,
}

/// A call with an idempotency key and the part of its answer received so far.
struct KeyedCall {
    /// Hash of the request, to detect a key that is reused for another one.
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

/// Runs a request with an idempotency key, or joins the call with that key if
/// there is one. A request without a key is run unconditionally.
///
/// # Errors
///
/// Returns the error for the caller.
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

    let first_call = FirstCall::new(state, hash, request_hash);
    let claimed = claim(state, &request, &key, request_hash).await;
    request.claim = claimed.inspect_err(|error| first_call.fail(error))?;
    let claim = request.claim.clone();
    match run(request).await {
        Ok(response) => Ok(first_call.cache_response(response, claim)),
        Err(error) => {
            if let Some(claim) = claim {
                claim.finish(claim_end(error.ran));
            }
            first_call.fail(&error);
            Err(error)
        }
    }
}

/// Claims the key in the log. Without a log the key is known to this entry only,
/// and there is no claim.
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

/// The error for a call whose claim was denied.
fn denied_error(denied: ClaimDenied) -> RequestError {
    let (ran, hint) = match (denied.reason, denied.outcome) {
        (Refusal::KeyReused, _) => (Executed::No, "the key was used with another request"),
        (Refusal::KeyInUse, Some(CallOutcome::Completed)) => {
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
        retry_after: denied.retry_after.map(|a| a.max(Duration::from_secs(1))),
        hint: hint.to_owned(),
    }
}

/// The error of a call that waited longer than its claim is valid.
#[must_use]
pub fn claim_expired() -> RequestError {
    let hint = "the claim of the idempotency key lapsed while the call waited";
    RequestError::not_run(Refusal::Expired, hint).with_retry_after(Duration::from_secs(1))
}

/// Hash of the request that a call makes.
fn request_hash(request: &Request) -> Hash {
    match &request.work {
        BackendRequest::Completion { body, chat } => {
            let endpoint: &[u8] = if *chat { b"chat" } else { b"text" };
            Hash::of(&[endpoint, request.class.as_bytes(), body])
        }
        BackendRequest::Call {
            method, path, body, ..
        } => {
            let target = request.target.as_bytes();
            Hash::of(&[target, method.as_bytes(), path.as_bytes(), body])
        }
    }
}

fn claim_end(ran: Executed) -> CallOutcome {
    match ran {
        Executed::No => CallOutcome::NotRun,
        Executed::Unknown | Executed::Partial => CallOutcome::Unknown,
    }
}

/// Guard of the first call with a key. If it is dropped before the call has an
/// answer, the calls that joined it fail.
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

    /// Fails the call. If it did not run, the key is released, so that the
    /// caller may retry.
    fn fail(&self, error: &RequestError) {
        self.finished.set(true);
        self.call.finish(Err(error.clone()));
        if error.ran == Executed::No || error.reason == Refusal::KeyInUse {
            self.state.keyed_calls.remove(&self.key);
        }
    }

    /// Returns the response with a body that is cached while it is sent.
    fn cache_response(self, response: HttpResponse, claim: Option<Rc<Claim>>) -> HttpResponse {
        self.finished.set(true);
        let content_type = response.headers().get(CONTENT_TYPE);
        *self.call.head.borrow_mut() = Some(ResponseHead {
            status: response.status(),
            content_type: content_type
                .and_then(|v| v.to_str().ok())
                .unwrap_or("")
                .to_owned(),
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

/// A response body that copies the data it sends into the call's cache.
struct Tee {
    inner: BoxBody,
    state: Rc<State>,
    key: Hash,
    call: Rc<KeyedCall>,
    claim: Option<Rc<Claim>>,
}

impl Tee {
    fn cache_data(&self, data: &[u8]) {
        self.call.body.borrow_mut().extend_from_slice(data);
        self.call.changed.notify_waiters();
        self.state.keyed_calls.add_bytes(data.len());
        // A body of known size is not polled again after its last byte.
        if self.inner.size() == BodySize::Sized(self.call.body.borrow().len() as u64) {
            self.finish_call();
        }
    }

    fn finish_call(&self) {
        let event_stream = self.call.is_event_stream();
        let complete = !event_stream || self.call.body.borrow().ends_with(DONE_EVENT);
        if let Some(claim) = &self.claim {
            claim.finish(if complete {
                CallOutcome::Completed
            } else {
                CallOutcome::Unknown
            });
        }
        // An interrupted stream ends with its own error event.
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
            Poll::Ready(Some(Ok(data))) => self.cache_data(data),
            Poll::Ready(None) => self.finish_call(),
            Poll::Ready(Some(Err(_))) | Poll::Pending => {}
        }
        polled
    }
}

impl Drop for Tee {
    /// A disconnect of the first caller ends the run, so the calls that joined
    /// get no complete answer either. Later calls are told that the outcome is
    /// unknown.
    fn drop(&mut self) {
        if self.call.result.borrow().is_some() {
            return;
        }
        if self.inner.size() == BodySize::Sized(0) {
            return self.finish_call();
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

/// Answers another call with the answer of the first one.
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
        let (data, ended) = call.next_data(from).await;
        let from = from + data.len();
        let state = (!ended).then_some((call, from, open));
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

    /// Waits for the head of the answer.
    async fn response_head(&self) -> Result<ResponseHead, RequestError> {
        loop {
            let changed = self.changed.notified();
            if let Some(head) = self.head.borrow().clone() {
                return Ok(head);
            }
            if let Some(Err(error)) = &*self.result.borrow() {
                return Err(error.clone());
            }
            changed.await;
        }
    }

    /// Waits for data after offset `from`; returns it and whether the answer ends
    /// there.
    async fn next_data(&self, from: usize) -> (Bytes, bool) {
        loop {
            let changed = self.changed.notified();
            let mut data = self.body.borrow().get(from..).unwrap_or(&[]).to_vec();
            let end = self.result.borrow().clone();
            if let Some(Err(error)) = &end {
                write_error(&mut data, error);
            }
            if end.is_some() || !data.is_empty() {
                return (Bytes::from(data), end.is_some());
            }
            changed.await;
        }
    }
}

/// Appends the error event that ends an interrupted event stream.
fn write_error(out: &mut Vec<u8>, error: &RequestError) {
    out.extend_from_slice(b"data: ");
    // Writing to memory cannot fail.
    let _ = serde_json::to_writer(&mut *out, &error.body());
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
            self.cached_bytes
                .set(self.cached_bytes.get().saturating_sub(size));
        }
    }

    /// Adds to the cached size and evicts the oldest answers beyond the limits.
    /// Calls that have already joined an evicted answer still get all of it.
    fn add_bytes(&self, size: usize) {
        self.cached_bytes.set(self.cached_bytes.get() + size);
        while self.cached_bytes.get() > MAX_CACHED_BYTES
            || self.order.borrow().len() > MAX_CACHED_CALLS
        {
            let Some(key) = self.order.borrow_mut().pop_front() else {
                return;
            };
            self.remove(&key);
        }
    }
}
