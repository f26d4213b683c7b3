//! Parses a caller's request and checks it against the bundle.
//!
//! - [`body`]: the fields of a completion's body that matter for routing.
//! - [`access`]: authentication and entitlement.

pub mod access;
pub mod body;

use std::rc::Rc;
use std::time::{Duration, Instant};

use actix_web::HttpRequest;
use actix_web::http::header::CONTENT_TYPE;
use base::ids::RequestId;
use base::reason::Refusal;
use bundle::{Class, IndexedBundle};
use bytes::Bytes;
use claims::Claim;
use wire::{BackendRequest, ReserveRequest};

use crate::error::RequestError;
use body::Body;

/// Header that marks one call as not repeatable.
pub const NO_REPEAT_HEADER: &str = "x-no-repeat";

/// Header with the idempotency key of a call that must run at most once.
pub const IDEMPOTENCY_KEY_HEADER: &str = "idempotency-key";

/// Longest idempotency key, in bytes.
const MAX_KEY_BYTES: usize = 255;

/// A caller's request, checked against the bundle.
#[derive(Debug, Clone)]
pub struct Request {
    /// The identifier of the request.
    pub ticket: RequestId,
    /// The workspace that makes the request.
    pub workspace: String,
    /// The workspace's weight in fair sharing.
    pub weight: u32,
    /// Name of the request class.
    pub class: String,
    /// Tier, targets and model of the class.
    pub class_spec: Class,
    /// The model or plain service to run on.
    pub target: String,
    /// When the request arrived.
    pub arrived: Instant,
    /// Whether the caller wants the answer streamed.
    pub stream: bool,
    /// Whether the request may run more than once.
    pub repeatable: bool,
    /// How often the request was preempted.
    pub preemptions: u32,
    /// The idempotency key, if the call must run at most once.
    pub idempotency_key: Option<String>,
    /// The claim of the idempotency key, set before the request is placed.
    pub claim: Option<Rc<Claim>>,
    /// Estimated size of the prompt, in tokens.
    pub prompt_tokens: u32,
    /// Maximum number of tokens of the answer.
    pub max_tokens: u32,
    /// Hash of the prompt's prefix.
    pub prefix_hash: u64,
    /// The request to the backend server.
    pub work: BackendRequest,
}

impl Request {
    /// Parses a completion request. `now` is its time of arrival.
    ///
    /// # Errors
    ///
    /// Returns the error for the caller.
    pub fn completion(
        http: &HttpRequest,
        raw: Bytes,
        chat: bool,
        bundle: &IndexedBundle,
        now: Instant,
    ) -> Result<Self, RequestError> {
        let workspace = access::workspace(http, bundle)?;
        let body = Body::parse(&raw, chat)?;
        let model = body.model.as_deref();
        let (class, class_spec) = access::class(http, model, bundle)?;
        access::check_entitled(bundle, workspace, class)?;
        let target = access::model(bundle, model, class_spec)?;
        let idempotency_key = idempotency_key(http)?;

        Ok(Self {
            ticket: RequestId::random(),
            workspace: workspace.to_owned(),
            weight: access::weight(bundle, workspace),
            class: class.to_owned(),
            class_spec: class_spec.clone(),
            target: target.to_owned(),
            arrived: now,
            stream: body.stream,
            repeatable: idempotency_key.is_none() && repeatable(http)?,
            idempotency_key,
            claim: None,
            preemptions: 0,
            prompt_tokens: body.prompt_tokens(),
            max_tokens: body.max_tokens.unwrap_or(u32::MAX),
            prefix_hash: body.prefix_hash(),
            work: BackendRequest::Completion { body: raw, chat },
        })
    }

    /// Parses a call of the plain service `name`. `path` is the path after the
    /// service's name; `now` is the time of arrival.
    ///
    /// # Errors
    ///
    /// Returns the error for the caller.
    pub fn service_call(
        http: &HttpRequest,
        body: Bytes,
        (name, path): (&str, &str),
        bundle: &IndexedBundle,
        now: Instant,
    ) -> Result<Self, RequestError> {
        let workspace = access::workspace(http, bundle)?;
        let service = access::service(bundle, name)?;
        let (class, class_spec) = access::class(http, Some(&service.class), bundle)?;
        access::check_entitled(bundle, workspace, class)?;
        let idempotency_key = idempotency_key(http)?;

        let query = http.query_string();
        let path = match query.is_empty() {
            true => format!("/{path}"),
            false => format!("/{path}?{query}"),
        };
        let content_type = http
            .headers()
            .get(CONTENT_TYPE)
            .and_then(|v| v.to_str().ok());
        Ok(Self {
            ticket: RequestId::random(),
            workspace: workspace.to_owned(),
            weight: access::weight(bundle, workspace),
            class: class.to_owned(),
            class_spec: class_spec.clone(),
            target: name.to_owned(),
            arrived: now,
            stream: false,
            repeatable: idempotency_key.is_none() && service.idempotent && repeatable(http)?,
            idempotency_key,
            claim: None,
            preemptions: 0,
            prompt_tokens: 0,
            max_tokens: 0,
            prefix_hash: 0,
            work: BackendRequest::Call {
                method: http.method().to_string(),
                path,
                content_type: content_type.unwrap_or("").to_owned(),
                body,
            },
        })
    }

    /// Whether the request may be started at `now`. With an idempotency key, this
    /// requires that the claim is still valid.
    #[must_use]
    pub fn may_start(&self, now: Instant) -> bool {
        self.claim.as_ref().is_none_or(|claim| claim.try_start(now))
    }

    /// The message that reserves a slot for the request. `wait` is how long the
    /// sidecar may hold the call.
    #[must_use]
    pub fn reserve_request(&self, now: Instant, wait: Duration) -> ReserveRequest {
        let waited = now.saturating_duration_since(self.arrived);
        let budget_us = |target: Duration| {
            u64::try_from(target.saturating_sub(waited).as_micros()).unwrap_or(u64::MAX)
        };
        ReserveRequest {
            ticket: self.ticket,
            class: self.class.clone(),
            workspace: self.workspace.clone(),
            weight: self.weight,
            tier: self.class_spec.tier,
            ttft_budget_us: budget_us(self.class_spec.targets.first_token.0),
            total_budget_us: budget_us(self.class_spec.targets.full_answer.0),
            prompt_tokens: self.prompt_tokens,
            max_tokens: self.max_tokens,
            prefix_hash: self.prefix_hash,
            repeatable: self.repeatable,
            preemptions: self.preemptions,
            wait_ms: u32::try_from(wait.as_millis()).unwrap_or(u32::MAX),
        }
    }
}

/// The idempotency key, if the caller sent one.
fn idempotency_key(http: &HttpRequest) -> Result<Option<String>, RequestError> {
    let Some(value) = http.headers().get(IDEMPOTENCY_KEY_HEADER) else {
        return Ok(None);
    };
    let text = value.to_str().unwrap_or("");
    if text.is_empty() || text.len() > MAX_KEY_BYTES {
        let hint =
            format!("{IDEMPOTENCY_KEY_HEADER} takes 1 to {MAX_KEY_BYTES} visible ASCII characters");
        return Err(RequestError::not_run(Refusal::BadRequest, &hint));
    }
    Ok(Some(text.to_owned()))
}

/// Whether the caller allows the call to run more than once.
fn repeatable(http: &HttpRequest) -> Result<bool, RequestError> {
    let Some(value) = http.headers().get(NO_REPEAT_HEADER) else {
        return Ok(true);
    };
    match value.as_bytes() {
        b"true" | b"1" => Ok(false),
        b"false" | b"0" => Ok(true),
        // If an invalid value meant "repeatable", a typo could cause a duplicate
        // run, such as an email that is sent twice.
        _ => {
            let hint = format!("{NO_REPEAT_HEADER} takes true or false");
            Err(RequestError::not_run(Refusal::BadRequest, &hint))
        }
    }
}
