//! Reading a caller's request.

use std::time::{Duration, Instant};

use actix_web::HttpRequest;
use base::ids::Ticket;
use base::reason::Refusal;
use bundle::{Bundle, Class};
use bytes::Bytes;
use serde::Deserialize;
use sha2::{Digest, Sha256};
use wire::{Reserve, Work};

use crate::refuse::Refused;

/// Header that names the request class.
pub const CLASS: &str = "x-request-class";

/// Header that marks one call as not repeatable.
pub const NO_REPEAT: &str = "x-no-repeat";

/// Bytes of a prompt for one token, as a rough rule.
const TOKEN_BYTES: usize = 4;

/// Bytes of the prompt that decide its cache affinity.
const PREFIX_BYTES: usize = 1024;

/// A caller's request, checked against the bundle.
#[derive(Debug, Clone)]
pub struct Request {
    /// The request's identity.
    pub ticket: Ticket,
    /// Who asks.
    pub workspace: String,
    /// The class, by name.
    pub class: String,
    /// What the class promises.
    pub promise: Class,
    /// The model or service asked for.
    pub target: String,
    /// When the request arrived.
    pub arrived: Instant,
    /// Whether the caller wants the answer as it is made.
    pub stream: bool,
    /// Whether the request may run more than once.
    pub repeatable: bool,
    /// Size of the prompt, in tokens.
    pub prompt: u32,
    /// Most tokens that the answer may have.
    pub max_tokens: u32,
    /// Hash of the prompt's prefix.
    pub prefix: u64,
    /// What to run.
    pub work: Work,
}

/// What the router reads of a completion's body; the rest passes through.
#[derive(Debug, Deserialize)]
struct Body {
    model: Option<String>,
    #[serde(default)]
    stream: bool,
    max_tokens: Option<u32>,
    prompt: Option<String>,
    #[serde(default)]
    messages: Vec<Message>,
}

#[derive(Debug, Deserialize)]
struct Message {
    #[serde(default)]
    content: String,
}

/// Reads a completion.
///
/// # Errors
///
/// Returns the refusal to answer with.
pub fn completion(
    http: &HttpRequest,
    body: Bytes,
    chat: bool,
    bundle: &Bundle,
    now: Instant,
) -> Result<Request, Refused> {
    let workspace = workspace(http, bundle)?;
    let read: Body = serde_json::from_slice(&body).map_err(|e| {
        Refused::not_run(
            Refusal::BadRequest,
            &format!("the body is not a completion: {e}"),
        )
    })?;

    let (class, promise) = class(http, read.model.as_deref(), bundle)?;
    entitled(bundle, workspace, class)?;
    let target = target(bundle, read.model.as_deref(), promise)?;

    let prompt = read.prompt.iter().map(String::as_str);
    let texts: Vec<&str> = prompt
        .chain(read.messages.iter().map(|m| m.content.as_str()))
        .collect();
    let bytes: usize = texts.iter().map(|t| t.len()).sum();
    let tokens = u32::try_from(bytes / TOKEN_BYTES)
        .unwrap_or(u32::MAX)
        .max(1);

    Ok(Request {
        ticket: Ticket::random(),
        workspace: workspace.to_owned(),
        class: class.to_owned(),
        promise: promise.clone(),
        target: target.to_owned(),
        arrived: now,
        stream: read.stream,
        repeatable: !http.headers().contains_key(NO_REPEAT),
        prompt: tokens,
        max_tokens: read.max_tokens.unwrap_or(u32::MAX),
        prefix: prefix_hash(&texts),
        work: Work::Completion { body, chat },
    })
}

/// Reads a call of a plain service.
///
/// # Errors
///
/// Returns the refusal to answer with.
pub fn call(
    http: &HttpRequest,
    body: Bytes,
    name: &str,
    path: &str,
    bundle: &Bundle,
    now: Instant,
) -> Result<Request, Refused> {
    let workspace = workspace(http, bundle)?;
    let service = bundle
        .services
        .get(name)
        .ok_or_else(|| Refused::not_run(Refusal::UnknownTarget, "no such service in the bundle"))?;
    let (class, promise) = class(http, Some(&service.class), bundle)?;
    entitled(bundle, workspace, class)?;

    let kind = http.headers().get(actix_web::http::header::CONTENT_TYPE);
    let query = http.query_string();
    let path = match query.is_empty() {
        true => format!("/{path}"),
        false => format!("/{path}?{query}"),
    };
    Ok(Request {
        ticket: Ticket::random(),
        workspace: workspace.to_owned(),
        class: class.to_owned(),
        promise: promise.clone(),
        target: name.to_owned(),
        arrived: now,
        stream: false,
        repeatable: service.repeatable && !http.headers().contains_key(NO_REPEAT),
        prompt: 0,
        max_tokens: 0,
        prefix: 0,
        work: Work::Call {
            method: http.method().to_string(),
            path,
            content_type: kind.and_then(|v| v.to_str().ok()).unwrap_or("").to_owned(),
            body,
        },
    })
}

impl Request {
    /// The request as sidecars are asked for a slot.
    #[must_use]
    pub fn ask(&self, now: Instant, wait: Duration) -> Reserve {
        let waited = now.saturating_duration_since(self.arrived);
        let left = |target: Duration| {
            u64::try_from(target.saturating_sub(waited).as_micros()).unwrap_or(u64::MAX)
        };
        Reserve {
            ticket: self.ticket,
            class: self.class.clone(),
            workspace: self.workspace.clone(),
            tier: self.promise.tier,
            first_left_us: left(self.promise.targets.first_token.0),
            whole_left_us: left(self.promise.targets.whole.0),
            prompt: self.prompt,
            max_tokens: self.max_tokens,
            prefix: self.prefix,
            repeatable: self.repeatable,
            wait_ms: u32::try_from(wait.as_millis()).unwrap_or(u32::MAX),
        }
    }
}

/// The workspace that the bearer token stands for.
fn workspace<'a>(http: &HttpRequest, bundle: &'a Bundle) -> Result<&'a str, Refused> {
    let header = http.headers().get(actix_web::http::header::AUTHORIZATION);
    let token = header
        .and_then(|v| v.to_str().ok())
        .and_then(|v| v.strip_prefix("Bearer "));
    let refused = || Refused::not_run(Refusal::BadToken, "send a workspace's bearer token");
    let token = token.ok_or_else(refused)?;

    let digest = Sha256::digest(token.as_bytes());
    let hash: String = digest.iter().map(|b| format!("{b:02x}")).collect();
    let owner = bundle
        .workspaces
        .iter()
        .find(|(_, w)| w.tokens.contains(&hash));
    owner.map(|(name, _)| name.as_str()).ok_or_else(refused)
}

/// The class from the header, or the one that the model's name stands for.
fn class<'a>(
    http: &HttpRequest,
    model: Option<&str>,
    bundle: &'a Bundle,
) -> Result<(&'a str, &'a Class), Refused> {
    let named = http.headers().get(CLASS).and_then(|v| v.to_str().ok());
    let name = named.or(model).unwrap_or("");
    let found = bundle.classes.get_key_value(name);
    found
        .map(|(name, class)| (name.as_str(), class))
        .ok_or_else(|| {
            let known: Vec<&str> = bundle.classes.keys().map(String::as_str).collect();
            let hint = format!("no class {name:?}; name one of {known:?} in {CLASS} or as model");
            Refused::not_run(Refusal::UnknownClass, &hint)
        })
}

fn entitled(bundle: &Bundle, workspace: &str, class: &str) -> Result<(), Refused> {
    let may = bundle
        .workspaces
        .get(workspace)
        .is_some_and(|w| w.classes.contains(class));
    if may {
        return Ok(());
    }
    let hint = format!("workspace {workspace:?} is not entitled to class {class:?}");
    Err(Refused::not_run(Refusal::NotEntitled, &hint))
}

/// The model that serves the request: the one named, or the class's own.
fn target<'a>(
    bundle: &'a Bundle,
    model: Option<&str>,
    class: &'a Class,
) -> Result<&'a str, Refused> {
    let Some(model) = model.filter(|m| !bundle.classes.contains_key(*m)) else {
        return Ok(&class.model);
    };
    let found = bundle.models.get_key_value(model);
    found.map(|(name, _)| name.as_str()).ok_or_else(|| {
        let hint = format!("no model or class {model:?} in the bundle");
        Refused::not_run(Refusal::UnknownTarget, &hint)
    })
}

fn prefix_hash(texts: &[&str]) -> u64 {
    let mut left = PREFIX_BYTES;
    let mut prefix = Vec::with_capacity(PREFIX_BYTES);
    for text in texts {
        let part = &text.as_bytes()[..text.len().min(left)];
        prefix.extend_from_slice(part);
        left -= part.len();
    }
    rapidhash::v3::rapidhash_v3(&prefix)
}
