//! Authentication, and lookup of the requested class, model or service.

use actix_web::HttpRequest;
use actix_web::http::header::AUTHORIZATION;
use base::reason::Refusal;
use bundle::{Bundle, Class, IndexedBundle, Service};

use crate::error::RequestError;

/// Header with the name of the request class.
pub const CLASS_HEADER: &str = "x-request-class";

/// Maximum number of names listed in a hint.
const MAX_HINT_NAMES: usize = 12;

/// The workspace that owns the bearer token.
///
/// # Errors
///
/// Returns [`Refusal::BadToken`].
pub fn workspace<'a>(
    http: &HttpRequest,
    bundle: &'a IndexedBundle,
) -> Result<&'a str, RequestError> {
    let header = http
        .headers()
        .get(AUTHORIZATION)
        .and_then(|v| v.to_str().ok());
    let token = header.and_then(|v| v.strip_prefix("Bearer "));
    let owner = token.and_then(|t| bundle.token_workspace(t));
    owner.ok_or_else(|| {
        let hint = "send a workspace's token as \"Authorization: Bearer TOKEN\"";
        RequestError::not_run(Refusal::BadToken, hint)
    })
}

/// The workspace's weight in fair sharing, at least 1.
pub fn weight(bundle: &Bundle, workspace: &str) -> u32 {
    let found = bundle.workspaces.get(workspace);
    found.map_or(1, |w| w.weight.max(1))
}

/// The class named in the header, or else the class named `named`.
///
/// # Errors
///
/// Returns [`Refusal::UnknownClass`].
pub fn class<'a>(
    http: &HttpRequest,
    named: Option<&str>,
    bundle: &'a Bundle,
) -> Result<(&'a str, &'a Class), RequestError> {
    let header = http
        .headers()
        .get(CLASS_HEADER)
        .and_then(|v| v.to_str().ok());
    let name = header.or(named).unwrap_or("");
    let found = bundle.classes.get_key_value(name);
    found
        .map(|(name, class)| (name.as_str(), class))
        .ok_or_else(|| {
            let known: Vec<_> = bundle.classes.keys().take(MAX_HINT_NAMES).collect();
            let hint =
                format!("no class {name:?}; name one of {known:?} in {CLASS_HEADER} or as model");
            RequestError::not_run(Refusal::UnknownClass, &hint)
        })
}

/// Checks that the workspace is entitled to the class.
///
/// # Errors
///
/// Returns [`Refusal::NotEntitled`].
pub fn check_entitled(bundle: &Bundle, workspace: &str, class: &str) -> Result<(), RequestError> {
    let entitled = bundle
        .workspaces
        .get(workspace)
        .is_some_and(|w| w.classes.contains(class));
    if entitled {
        return Ok(());
    }
    let hint = format!("workspace {workspace:?} is not entitled to class {class:?}");
    Err(RequestError::not_run(Refusal::NotEntitled, &hint))
}

/// The model that serves the request: the model named `named`, or the model of
/// the class if `named` is a class or absent.
///
/// # Errors
///
/// Returns [`Refusal::UnknownTarget`].
pub fn model<'a>(
    bundle: &'a Bundle,
    named: Option<&str>,
    class: &'a Class,
) -> Result<&'a str, RequestError> {
    let Some(named) = named.filter(|n| !bundle.classes.contains_key(*n)) else {
        return Ok(&class.model);
    };
    let found = bundle.models.get_key_value(named);
    found.map(|(name, _)| name.as_str()).ok_or_else(|| {
        let hint = format!("no model or class {named:?} in the bundle");
        RequestError::not_run(Refusal::UnknownTarget, &hint)
    })
}

/// The plain service with a name.
///
/// # Errors
///
/// Returns [`Refusal::UnknownTarget`].
pub fn service<'a>(bundle: &'a Bundle, name: &str) -> Result<&'a Service, RequestError> {
    bundle.services.get(name).ok_or_else(|| {
        let known: Vec<_> = bundle.services.keys().take(MAX_HINT_NAMES).collect();
        let hint = format!("no service {name:?} in the bundle; there are {known:?}");
        RequestError::not_run(Refusal::UnknownTarget, &hint)
    })
}
