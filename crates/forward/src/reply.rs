//! Replies to callers.

use std::convert::Infallible;
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;

use actix_web::HttpResponse;
use actix_web::body::{BodySize, BoxBody, MessageBody};
use actix_web::http::StatusCode;
use actix_web::http::header::{HeaderName, HeaderValue};
use base::reason::{Executed, Refusal};
use bytes::Bytes;
use http::HeaderMap;

use crate::memory::AnswerHold;
use crate::relay::Relay;

/// Bytes of an answer that are passed on at a time.
pub(crate) const SLICE_BYTES: usize = 16 << 10;

/// Hop-by-hop headers of a server's response, and those that the HTTP library
/// sets itself.
const HOP_BY_HOP: [&str; 9] = [
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

/// A reply to a caller.
#[derive(Debug)]
pub enum Reply {
    /// A complete response of a server.
    Buffered {
        /// Its status.
        status: u16,
        /// Its headers.
        headers: HeaderMap,
        /// Its body.
        body: Bytes,
        /// The body's share of the entry's memory.
        held: AnswerHold,
    },
    /// A server's stream of events.
    Stream {
        /// Its headers.
        headers: HeaderMap,
        /// The events as they arrive.
        relay: Box<Relay>,
    },
    /// A reply made by the entry itself.
    Local(LocalReply),
}

/// A failure or refusal made by the entry itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LocalReply {
    /// The status.
    pub status: u16,
    /// The reason.
    pub reason: Refusal,
    /// Whether the call has run, as far as is known.
    pub executed: Executed,
    /// When a retry may succeed.
    pub retry_after: Option<Duration>,
}

impl LocalReply {
    /// A failure of a call that may have run.
    #[must_use]
    pub fn failed(status: u16, reason: Refusal) -> Self {
        Self {
            status,
            reason,
            executed: Executed::Unknown,
            retry_after: None,
        }
    }

    /// A reply to a call that is not served and should not be retried
    /// unchanged.
    #[must_use]
    pub fn denied(status: u16, reason: Refusal) -> Self {
        Self {
            status,
            reason,
            executed: Executed::No,
            retry_after: None,
        }
    }

    /// A refusal of a call that has not run and may be retried after this time.
    #[must_use]
    pub fn refused(reason: Refusal, after: Duration) -> Self {
        Self {
            status: 503,
            reason,
            executed: Executed::No,
            retry_after: Some(after),
        }
    }
}

impl Reply {
    /// Converts the reply for the HTTP library. `close` ends the caller's
    /// connection after it.
    #[must_use]
    pub fn into_response(self, close: bool) -> HttpResponse {
        let mut response = match self {
            Self::Buffered {
                status,
                headers,
                body,
                held,
            } => {
                let body = SlicedBody(body);
                build(status, &headers, GuardedBody::new(body, held))
            }
            Self::Stream { headers, relay } => {
                let body = actix_web::body::BodyStream::new(relay.into_stream());
                build(200, &headers, body)
            }
            Self::Local(reply) => reply.into_response(),
        };
        if close {
            response
                .head_mut()
                .set_connection_type(actix_http::ConnectionType::Close);
        }
        response
    }
}

impl LocalReply {
    fn into_response(self) -> HttpResponse {
        base::telemetry::count_refusal(self.reason, self.executed);
        let mut headers = HeaderMap::new();
        if let Some(after) = self.retry_after {
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
        if HOP_BY_HOP.contains(&name.as_str()) {
            continue;
        }
        let name = HeaderName::from_bytes(name.as_str().as_bytes());
        let value = HeaderValue::from_bytes(value.as_bytes());
        // Names and values were valid in the other library's types, which
        // accept the same bytes.
        if let (Ok(name), Ok(value)) = (name, value) {
            response.headers_mut().append(name, value);
        }
    }
    response
}

/// A body that keeps a value, such as its share of the memory, until the HTTP library has
/// taken all of it.
#[derive(Debug)]
pub(crate) struct GuardedBody<B, G> {
    body: B,
    _guard: G,
}

impl<B, G> GuardedBody<B, G> {
    /// Keeps `guard` as long as `body`.
    pub(crate) fn new(body: B, guard: G) -> Self {
        Self {
            body,
            _guard: guard,
        }
    }
}

impl<B: MessageBody + Unpin, G: Unpin> MessageBody for GuardedBody<B, G> {
    type Error = B::Error;

    fn size(&self) -> BodySize {
        self.body.size()
    }

    fn poll_next(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Bytes, Self::Error>>> {
        Pin::new(&mut self.body).poll_next(cx)
    }
}

/// A whole answer that is passed on in parts. The HTTP library copies each part to its own
/// buffer, which would double the memory of a large answer.
#[derive(Debug)]
struct SlicedBody(Bytes);

impl MessageBody for SlicedBody {
    type Error = Infallible;

    fn size(&self) -> BodySize {
        BodySize::Sized(self.0.len() as u64)
    }

    fn poll_next(
        mut self: Pin<&mut Self>,
        _cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Bytes, Infallible>>> {
        let part = self.0.len().min(SLICE_BYTES);
        let part = self.0.split_to(part);
        Poll::Ready((!part.is_empty()).then_some(Ok(part)))
    }
}
