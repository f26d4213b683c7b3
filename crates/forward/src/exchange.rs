//! One exchange with a backend server: sending a call and reading the head of
//! the response. A failure says whether the call may have run.

use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::{HeaderMap, Request, Response, header};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::{Body, Incoming};
use policy::balance::{ServerFeedback, ServerRecord};
use rand::RngExt;
use spdlog::{info, warn};

use crate::grants::Grant;
use crate::liveness;
use crate::platform::ResponseHeaders;
use crate::pool::{Connection, ConnectionPool};
use crate::relay::millis;
use crate::state::State;

/// Statuses of final responses. Any other number is none, and callers would take it for one.
const FINAL_STATUSES: std::ops::Range<u16> = 200..600;

/// Why a call got no response from a server, and whether it may have run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SendError {
    /// No byte of the call was sent.
    NeverSent(String),
    /// The server reports, with this status, that it did not run the call and
    /// never will.
    NotRun(u16),
    /// The server at the address is another one than the call was meant for,
    /// and did not run it.
    WrongServer,
    /// The connection failed or the response was invalid; the call may have
    /// run.
    Unknown(String),
    /// The call's deadline passed after it was sent; it may have run.
    TimedOut,
    /// The call's deadline passed before it was sent.
    TimedOutUnsent,
    /// The call was not sent because it would have come too late. The caller
    /// may retry after this time.
    TooLate(Duration),
    /// The call was not sent because all known servers have asked for a lower
    /// rate or for backoff. The first of them accepts a call after this time.
    ServersBusy(Duration),
    /// The call was not sent because the entry stops and may not be able to pass on its
    /// answer.
    Draining,
    /// The call was not sent because servers crash while they run it. It stays
    /// blocked for this time.
    CrashesServers(Duration),
}

impl SendError {
    /// Whether the call has certainly not run.
    #[must_use]
    pub fn not_run(&self) -> bool {
        matches!(
            self,
            Self::NeverSent(_)
                | Self::NotRun(_)
                | Self::WrongServer
                | Self::TimedOutUnsent
                | Self::TooLate(_)
                | Self::ServersBusy(_)
                | Self::Draining
                | Self::CrashesServers(_)
        )
    }

    /// Whether another server must not be tried: the deadline has passed, or
    /// all servers that could be reached were tried.
    #[must_use]
    pub fn is_final(&self) -> bool {
        !matches!(self, Self::NotRun(_) | Self::Unknown(_))
    }

    /// A short name for logs and metric labels.
    #[must_use]
    pub fn label(&self) -> &'static str {
        match self {
            Self::NeverSent(_) => "never_sent",
            Self::NotRun(_) => "not_run",
            Self::WrongServer => "elsewhere",
            Self::Unknown(_) => "unknown",
            Self::TimedOut => "late",
            Self::TimedOutUnsent => "waited",
            Self::TooLate(_) => "too_late",
            Self::ServersBusy(_) => "servers_busy",
            Self::Draining => "draining",
            Self::CrashesServers(_) => "crashes_servers",
        }
    }
}

/// A response whose head has arrived.
#[derive(Debug)]
pub struct ServerResponse {
    /// The status.
    pub status: u16,
    /// The headers.
    pub headers: HeaderMap,
    /// The fields parsed from the headers.
    pub parsed_headers: ResponseHeaders,
    /// When the call was sent.
    pub sent_at: Instant,
    /// Calls that waited at the server at that time.
    pub waiting_calls: u32,
    /// The body, still to be read.
    pub body: ResponseBody,
}

/// The body of a response and its connection. Dropping it before its end closes
/// the connection, which makes the server stop working on the call.
#[derive(Debug)]
pub struct ResponseBody {
    state: Rc<State>,
    /// The server that sends it.
    pub server: ServerRecord,
    incoming: Incoming,
    conn: Option<Connection>,
    reusable: bool,
    /// Whether its end is marked by a length or by chunks, not just by the end
    /// of the connection.
    pub framed: bool,
    /// Whether it has ended and was shown to be whole.
    proven: bool,
    /// Whether no byte of it has arrived.
    waiting: bool,
    /// The sidecar's grant, which ends with the response.
    grant: Option<Grant>,
}

impl ResponseBody {
    /// Number of bytes of the body, if the server has declared it.
    pub(crate) fn declared_length(&self) -> Option<usize> {
        let length = self.incoming.size_hint().exact();
        length.map(|length| usize::try_from(length).unwrap_or(usize::MAX))
    }

    /// Returns the next bytes, or `None` at the end of a response that is
    /// complete by its framing.
    ///
    /// # Errors
    ///
    /// Returns the cause when the response was cut short.
    pub async fn next(&mut self) -> Result<Option<Bytes>, String> {
        loop {
            match self.incoming.frame().await {
                None => {
                    self.release_connection();
                    return Ok(None);
                }
                Some(Ok(frame)) => {
                    if let Ok(data) = frame.into_data()
                        && !data.is_empty()
                    {
                        self.record_start();
                        self.record_activity();
                        return Ok(Some(data));
                    }
                }
                Some(Err(e)) => {
                    self.conn = None;
                    return Err(describe(&e));
                }
            }
        }
    }

    /// Records the first bytes: the call does not wait in the server's queue
    /// any more.
    fn record_start(&mut self) {
        if std::mem::take(&mut self.waiting) {
            self.state
                .balancer
                .borrow_mut()
                .call_started(&self.server.id);
            if let Some(grant) = &self.grant {
                grant.report_first_event();
            }
        }
    }

    /// Records the time between two events, for the sidecar.
    pub fn record_pause(&self, pause: Duration) {
        if let Some(grant) = &self.grant {
            grant.record_gap(pause);
        }
    }

    /// Records in the balancer that the server is alive.
    fn record_activity(&self) {
        let now = self.state.clock.now();
        self.state
            .balancer
            .borrow_mut()
            .bytes_received(now, &self.server.id);
    }

    /// Whether a response that has ended is whole. The end of one without a length or chunks
    /// does not show it, only its server can: it is alive, and has not been cut off.
    pub(crate) async fn is_whole(&mut self) -> bool {
        self.proven =
            self.proven || self.framed || liveness::is_alive(&self.state, &self.server).await;
        self.proven
    }

    /// Closes the connection before the response's end.
    pub(crate) fn close(&mut self) {
        self.conn = None;
    }

    /// Returns the connection to the pool.
    fn release_connection(&mut self) {
        let Some(conn) = self.conn.take() else { return };
        if self.reusable {
            let now = self.state.clock.now();
            self.state.connection_pool.put(now, &self.server.id, conn);
        }
    }
}

impl Drop for ResponseBody {
    fn drop(&mut self) {
        let mut balance = self.state.balancer.borrow_mut();
        if self.waiting {
            balance.call_started(&self.server.id);
        }
        balance.call_ended(&self.server.id);
    }
}

/// Sends a call to `server` and waits for the head of the response until
/// `deadline`.
///
/// # Errors
///
/// Returns why there is no response, and whether the call may have run.
pub async fn send(
    state: &Rc<State>,
    server: &ServerRecord,
    request: Request<Full<Bytes>>,
    id: Option<&str>,
    deadline: Instant,
    grant: Option<Grant>,
) -> Result<ServerResponse, SendError> {
    let in_flight = InFlight::new(state, &server.id);
    let sent_at = state.clock.now();
    let sent = tokio::time::timeout_at(deadline.into(), deliver(state, server, request)).await;
    let (response, mut conn) = match sent {
        Ok(Ok(sent)) => sent,
        Ok(Err(error)) => {
            if let (SendError::NeverSent(_), Some(grant)) = (&error, &grant) {
                grant.report_rejected();
            }
            return Err(error);
        }
        Err(_) => return Err(SendError::TimedOut),
    };
    let status = response.status().as_u16();
    if !FINAL_STATUSES.contains(&status) {
        return Err(SendError::Unknown(format!("invalid status {status}")));
    }
    let now = state.clock.now();
    let parsed_headers = state.dialect.parse_response(status, response.headers());
    state.balancer.borrow_mut().bytes_received(now, &server.id);
    if let Some(idle_timeout) = parsed_headers.idle_timeout {
        conn.set_idle_timeout(idle_timeout);
    }
    // Feedback from another server at the address does not concern this one.
    if !parsed_headers.wrong_server {
        apply_feedback(state, server, sent_at, &parsed_headers.feedback);
    }

    // A server may send a second response to an earlier call, or bytes that belong to no
    // call, late, which then arrive in place of the response to this one. Only a response
    // with the request ID is the response to this call, or one of another server at the
    // address, which names itself. The connection is not used again, since the right
    // response may still arrive.
    let received_id = parsed_headers.request_id.as_deref();
    let from_other = parsed_headers.wrong_server
        && received_id.is_none()
        && parsed_headers
            .server
            .as_ref()
            .is_some_and(|s| **s != *server.id);
    if received_id != id && !from_other {
        let cause = match received_id {
            Some(_) => "response to another request",
            None => "response without the request ID",
        };
        metrics::counter!("pimentocart_foreign_responses_total").increment(1);
        warn!("response discarded", kv: {
            id = id.unwrap_or("-"), server = &*server.id, status, cause
        });
        return Err(SendError::Unknown(cause.to_owned()));
    }
    let reusable = !parsed_headers.close && !parsed_headers.feedback.leaving;
    if parsed_headers.not_run {
        // The body is of no use, but the connection can be reused once it is
        // read.
        if reusable {
            keep_connection(state, server, response, conn).await;
        }
        if !parsed_headers.wrong_server {
            if let Some(grant) = &grant {
                grant.report_rejected();
            }
            return Err(SendError::NotRun(status));
        }
        if let Some(grant) = &grant {
            grant.report_gone(server);
        }
        return Err(SendError::WrongServer);
    }
    let (parts, incoming) = response.into_parts();
    let framed = incoming.size_hint().exact().is_some() || is_chunked(&parts.headers);
    in_flight.hand_over();
    let body = ResponseBody {
        state: Rc::clone(state),
        server: server.clone(),
        incoming,
        reusable,
        framed,
        proven: false,
        waiting: true,
        conn: Some(conn),
        grant,
    };
    Ok(ServerResponse {
        status,
        headers: parts.headers,
        parsed_headers,
        sent_at: now,
        waiting_calls: 0,
        body,
    })
}

/// Whether the body ends with its last chunk. One with another transfer coding ends with its
/// connection, even if a length is given too.
fn is_chunked(headers: &HeaderMap) -> bool {
    let last = headers
        .get_all(header::TRANSFER_ENCODING)
        .iter()
        .next_back();
    let codings = last.and_then(|value| value.to_str().ok());
    let coding = codings.and_then(|codings| codings.rsplit(',').next());
    coding.is_some_and(|coding| coding.trim().eq_ignore_ascii_case("chunked"))
}

/// Applies the feedback in a server's response to a call that was sent at
/// `sent_at`.
pub(crate) fn apply_feedback(
    state: &State,
    server: &ServerRecord,
    sent_at: Instant,
    feedback: &ServerFeedback,
) {
    let now = state.clock.now();
    let changes = state.balancer.borrow_mut().apply_feedback(
        now,
        server,
        sent_at,
        feedback,
        rand::rng().random(),
    );
    if changes.leaving {
        metrics::counter!("pimentocart_servers_leaving_total").increment(1);
        info!("server leaves", kv: { server = &*server.id });
        state.connection_pool.close_idle(&server.id);
        state.moves.server_leaves(now, &server.id);
    }
    if let Some(backoff) = changes.backoff {
        metrics::counter!("pimentocart_rests_asked_total").increment(1);
        info!("server asked for backoff", kv: { server = &*server.id, ms = millis(backoff) });
    }
    if let Some(named) = changes.limited {
        info!("server limit changed", kv: {
            server = &*server.id,
            named,
            rate = feedback.rate_limit.unwrap_or(0.0)
        });
    }
}

/// Counts a call as in flight at a server until the response body takes over.
struct InFlight<'a> {
    state: &'a State,
    id: &'a str,
    handed_over: bool,
}

impl<'a> InFlight<'a> {
    fn new(state: &'a State, id: &'a str) -> Self {
        let now = state.clock.now();
        state.balancer.borrow_mut().call_sent(now, id);
        Self {
            state,
            id,
            handed_over: false,
        }
    }

    fn hand_over(mut self) {
        self.handed_over = true;
    }
}

impl Drop for InFlight<'_> {
    fn drop(&mut self) {
        if !self.handed_over {
            let mut balance = self.state.balancer.borrow_mut();
            balance.call_started(self.id);
            balance.call_ended(self.id);
        }
    }
}

/// Sends the request on an idle connection or a new one. If an idle connection
/// closes before the request is written, the request is sent again on another
/// one.
async fn deliver(
    state: &Rc<State>,
    server: &ServerRecord,
    mut request: Request<Full<Bytes>>,
) -> Result<(Response<Incoming>, Connection), SendError> {
    while let Some(mut conn) = state.connection_pool.take(state.clock.now(), &server.id) {
        match conn.sender.try_send_request(request).await {
            Ok(response) => return Ok((response, conn)),
            Err(mut e) => match e.take_message() {
                Some(unsent) => request = unsent,
                None => return Err(SendError::Unknown(describe(e.error()))),
            },
        }
    }

    let now = state.clock.now();
    let connected = ConnectionPool::connect(now, server.addr).await;
    let mut conn = connected.map_err(|e| {
        state.balancer.borrow_mut().connect_failed(now, &server.id);
        SendError::NeverSent(e.to_string())
    })?;
    metrics::counter!("pimentocart_dials_total").increment(1);
    match conn.sender.try_send_request(request).await {
        Ok(response) => Ok((response, conn)),
        Err(mut e) => match e.take_message() {
            Some(_) => Err(SendError::NeverSent(describe(e.error()))),
            None => Err(SendError::Unknown(describe(e.error()))),
        },
    }
}

/// Reads the short body of a response that is of no use, so that the connection can be
/// reused.
pub(crate) async fn keep_connection(
    state: &State,
    server: &ServerRecord,
    response: Response<Incoming>,
    conn: Connection,
) {
    let read = read_short_body(response);
    let read = tokio::time::timeout(SHORT_BODY_TIMEOUT, read).await;
    if matches!(read, Ok(Some(_))) {
        state
            .connection_pool
            .put(state.clock.now(), &server.id, conn);
    }
}

/// Reads the whole body of a response if it has at most [`SHORT_BODY_BYTES`].
pub(crate) async fn read_short_body(response: Response<Incoming>) -> Option<Bytes> {
    let body = Limited::new(response.into_body(), SHORT_BODY_BYTES);
    Some(body.collect().await.ok()?.to_bytes())
}

/// Longest body that is read for this, in bytes.
const SHORT_BODY_BYTES: usize = 16 << 10;

/// How long to wait for such a body, which is a few bytes.
const SHORT_BODY_TIMEOUT: Duration = Duration::from_millis(20);

/// Formats an error and its causes on one line.
fn describe(e: &hyper::Error) -> String {
    let mut text = e.to_string();
    let mut cause = std::error::Error::source(e);
    while let Some(c) = cause {
        text.push_str(": ");
        text.push_str(&c.to_string());
        cause = c.source();
    }
    text
}
