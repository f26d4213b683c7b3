//! The answer to a request that is refused.

use std::time::Duration;

use actix_web::HttpResponse;
use actix_web::http::StatusCode;
use actix_web::http::header::RETRY_AFTER;
use base::reason::{Executed, Refusal};
use serde::Serialize;

/// A refusal with everything that its caller is told.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RequestError {
    /// Why.
    pub reason: Refusal,
    /// Whether the request ran.
    pub ran: Executed,
    /// When to come back, if that may help.
    pub retry_after: Option<Duration>,
    /// What would help, in words.
    pub hint: String,
}

/// The error object of an answer, in the usual shape.
#[derive(Debug, Serialize)]
pub struct ErrorBody<'a> {
    /// The error.
    pub error: ErrorObject<'a>,
}

/// The error in an [`ErrorBody`].
#[derive(Debug, Serialize)]
pub struct ErrorObject<'a> {
    /// The reason's word.
    pub r#type: &'a str,
    /// What would help, in words.
    pub message: &'a str,
    /// Whether the request ran.
    pub ran: &'a str,
}

impl RequestError {
    /// Makes a refusal of a request that did not run.
    #[must_use]
    pub fn not_run(reason: Refusal, hint: &str) -> Self {
        Self {
            reason,
            ran: Executed::No,
            retry_after: None,
            hint: hint.to_owned(),
        }
    }

    /// Adds when to come back.
    #[must_use]
    pub fn with_retry_after(mut self, with_retry_after: Duration) -> Self {
        self.retry_after = Some(with_retry_after);
        self
    }

    /// The error object.
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

    /// Counts the refusal. Each is counted where its caller is told.
    pub fn record_metric(&self) {
        base::telemetry::count_refusal(self.reason, self.ran);
    }

    /// The whole answer; counts the refusal.
    #[must_use]
    pub fn response(&self) -> HttpResponse {
        self.record_metric();
        let status = StatusCode::from_u16(self.reason.status());
        let mut response = HttpResponse::build(status.unwrap_or(StatusCode::BAD_GATEWAY));
        if self.reason == Refusal::Draining {
            // The caller's next request must find another entry.
            response.force_close();
        }
        if let Some(after) = self.retry_after {
            // Whole seconds are all that the header can say.
            let secs = after.as_secs() + u64::from(after.subsec_nanos() > 0);
            response.insert_header((RETRY_AFTER, secs.to_string()));
        }
        response.json(self.body())
    }
}
