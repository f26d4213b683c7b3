//! Errors returned to callers.

use std::time::Duration;

use actix_web::HttpResponse;
use actix_web::http::StatusCode;
use actix_web::http::header::RETRY_AFTER;
use base::reason::{Executed, Refusal};
use serde::Serialize;

/// The error with which a request ends, as reported to its caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RequestError {
    /// The reason of the refusal.
    pub reason: Refusal,
    /// Whether the request ran.
    pub ran: Executed,
    /// Delay after which a retry may succeed, sent as `Retry-After`.
    pub retry_after: Option<Duration>,
    /// Message that explains the error and what to do about it.
    pub hint: String,
}

/// Body of an error response, in the OpenAI format.
#[derive(Debug, Serialize)]
pub struct ErrorBody<'a> {
    /// The error object.
    pub error: ErrorObject<'a>,
}

/// The error in an [`ErrorBody`].
#[derive(Debug, Serialize)]
pub struct ErrorObject<'a> {
    /// The reason, as a stable identifier.
    pub r#type: &'a str,
    /// The hint.
    pub message: &'a str,
    /// Whether the request ran.
    pub ran: &'a str,
}

impl RequestError {
    /// Creates the error of a request that did not run.
    #[must_use]
    pub fn not_run(reason: Refusal, hint: &str) -> Self {
        Self {
            reason,
            ran: Executed::No,
            retry_after: None,
            hint: hint.to_owned(),
        }
    }

    /// Sets the delay after which a retry may succeed.
    #[must_use]
    pub fn with_retry_after(mut self, retry_after: Duration) -> Self {
        self.retry_after = Some(retry_after);
        self
    }

    /// The body of the error response.
    #[must_use]
    pub fn body(&self) -> ErrorBody<'_> {
        ErrorBody {
            error: ErrorObject {
                r#type: self.reason.as_str(),
                message: &self.hint,
                ran: self.ran.as_str(),
            },
        }
    }

    /// Counts the refusal. It is called once per error, where the error is sent to
    /// the caller.
    pub fn record_metric(&self) {
        base::telemetry::count_refusal(self.reason, self.ran);
    }

    /// The error response; also counts the refusal.
    #[must_use]
    pub fn response(&self) -> HttpResponse {
        self.record_metric();
        let status = StatusCode::from_u16(self.reason.status());
        let mut response = HttpResponse::build(status.unwrap_or(StatusCode::BAD_GATEWAY));
        if self.reason == Refusal::Draining {
            // Closes the connection, so that the next request goes to another
            // entry.
            response.force_close();
        }
        if let Some(delay) = self.retry_after {
            // The header has a resolution of 1 s; rounds up.
            let seconds = delay.as_secs() + u64::from(delay.subsec_nanos() > 0);
            response.insert_header((RETRY_AFTER, seconds.to_string()));
        }
        response.json(self.body())
    }
}
