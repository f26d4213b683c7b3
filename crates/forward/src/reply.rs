//! Answers to callers.

use std::time::Duration;

use actix_web::HttpResponse;
use actix_web::body::{BoxBody, MessageBody};
use actix_web::http::StatusCode;
use actix_web::http::header::{HeaderName, HeaderValue};
use base::reason::{Executed, Refusal};
use bytes::Bytes;
use http::HeaderMap;

use crate::relay::Relay;

/// Headers of a server's answer that concern its own connection only.
const HOP: [&str; 9] = [
    "connection",
    "keep-alive",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "content-length",
    "date",
];

/// What a caller is answered.
#[derive(Debug)]
pub enum Reply {
    /// A server's whole answer.
    Whole {
        /// Its status.
        status: u16,
        /// Its headers.
        headers: HeaderMap,
        /// Its body.
        body: Bytes,
    },
    /// A server's stream.
    Stream {
        /// Its headers.
        headers: HeaderMap,
        /// Its events as they come.
        relay: Box<Relay>,
    },
    /// An answer of our own.
    Own(Own),
}

/// A failure or refusal of our own.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Own {
    /// The status.
    pub status: u16,
    /// Why.
    pub reason: Refusal,
    /// What is known about the call having run.
    pub ran: Executed,
    /// When asking again may help.
    pub after: Option<Duration>,
}

impl Own {
    /// An answer that promises nothing about the call having run.
    #[must_use]
    pub fn failed(status: u16, reason: Refusal) -> Self {
        Self {
            status,
            reason,
            ran: Executed::Unknown,
            after: None,
        }
    }

    /// An answer to a call that is not served at all.
    #[must_use]
    pub fn denied(status: u16, reason: Refusal) -> Self {
        Self {
            status,
            reason,
            ran: Executed::No,
            after: None,
        }
    }

    /// Says that the call has not run, and when to come back.
    #[must_use]
    pub fn refused(reason: Refusal, after: Duration) -> Self {
        Self {
            status: 503,
            reason,
            ran: Executed::No,
            after: Some(after),
        }
    }
}

impl Reply {
    /// The answer as the HTTP library writes it. `close` ends the caller's
    /// connection after it.
    #[must_use]
    pub fn write(self, close: bool) -> HttpResponse {
        let mut response = match self {
            Self::Whole {
                status,
                headers,
                body,
            } => build(status, &headers, body),
            Self::Stream { headers, relay } => {
                let body = actix_web::body::BodyStream::new(relay.events());
                build(200, &headers, body)
            }
            Self::Own(own) => own.write(),
        };
        if close {
            response
                .head_mut()
                .set_connection_type(actix_http::ConnectionType::Close);
        }
        response
    }
}

impl Own {
    fn write(self) -> HttpResponse {
        base::telemetry::count_refusal(self.reason, self.ran);
        let mut headers = HeaderMap::new();
        if let Some(after) = self.after {
            let text = format!("{:.3}", after.as_secs_f64());
            if let Ok(value) = text.parse() {
                headers.insert(http::header::RETRY_AFTER, value);
            }
        }
        let body = Bytes::from_static(self.reason.as_str().as_bytes());
        build(self.status, &headers, body)
    }
}

fn build<B: MessageBody + 'static>(status: u16, headers: &HeaderMap, body: B) -> HttpResponse {
    let status = StatusCode::from_u16(status).unwrap_or(StatusCode::BAD_GATEWAY);
    let mut response = HttpResponse::with_body(status, BoxBody::new(body));
    for (name, value) in headers {
        if HOP.contains(&name.as_str()) {
            continue;
        }
        let name = HeaderName::from_bytes(name.as_str().as_bytes());
        let value = HeaderValue::from_bytes(value.as_bytes());
        // Both were parsed by the same rules before.
        if let (Ok(name), Ok(value)) = (name, value) {
            response.headers_mut().append(name, value);
        }
    }
    response
}
