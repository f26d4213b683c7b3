//! Sending a call to a backend server once, and what is known when it fails.

use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::{HeaderMap, Request, Response, header};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use policy::balance::{ServerFeedback, ServerRecord};
use rand::RngExt;
use spdlog::info;

use crate::grants::Grant;
use crate::platform::ResponseHeaders;
use crate::pool::{Connection, ConnectionPool};
use crate::relay::millis;
use crate::state::State;

/// What of a failed send is known about the call having run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SendError {
    /// No byte of the call has left this process.
    NeverSent(String),
    /// The server says that it did not run the call and never will.
    NotRun(u16),
    /// Another server has the address by now, and did not run the call.
    WrongServer,
    /// The call may have run.
    Unknown(String),
    /// The caller's time is over; the call may have run.
    TimedOut,
    /// The caller's time is over, and the call was never sent.
    TimedOutUnsent,
    /// The call was not sent, since it would have come too late; the caller
    /// may come back after this time.
    TooLate(Duration),
    /// The call was not sent, since all servers that are there have asked for
    /// fewer calls or for none; the first of them takes one after this time.
    ServersBusy(Duration),
    /// The call was not sent, since servers crash under it; it will not be for
    /// this long.
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
                | Self::CrashesServers(_)
        )
    }

    /// Whether sending the call to yet another server makes no sense: its time
    /// is over, or all servers that could be reached were tried.
    #[must_use]
    pub fn is_final(&self) -> bool {
        !matches!(self, Self::NotRun(_) | Self::Unknown(_))
    }

    /// One word for logs and labels.
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
            Self::CrashesServers(_) => "crashes_servers",
        }
    }
}

/// An answer whose head has come.
#[derive(Debug)]
pub struct ServerResponse {
    /// The status.
    pub status: u16,
    /// The headers.
    pub headers: HeaderMap,
    /// What the headers say.
    pub parsed_headers: ResponseHeaders,
    /// When it was sent.
    pub sent_at: Instant,
    /// Calls that were waiting at the server then.
    pub waiting_calls: u32,
    /// The rest.
    pub body: ResponseBody,
}

/// The body of an answer and the connection that it comes on. Dropped before
/// its end, it closes the connection, and the server stops working on it.
#[derive(Debug)]
pub struct ResponseBody {
    state: Rc<State>,
    /// The server that makes it.
    pub server: ServerRecord,
    incoming: Incoming,
    conn: Option<Connection>,
    reusable: bool,
    /// Whether its end is marked, and not only by the connection's.
    pub framed: bool,
    /// Whether nothing of it has come.
    waiting: bool,
    /// The sidecar's leave, which ends with the answer.
    grant: Option<Grant>,
}

impl ResponseBody {
    /// The next bytes; none at the end. Bytes end without an error only where
    /// the answer is whole by its framing.
    ///
    /// # Errors
    ///
    /// Returns what broke when the answer is not whole.
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

    /// Notes that the call does not wait any more.
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

    /// Notes a pause between two events.
    pub fn record_pause(&self, pause: Duration) {
        if let Some(grant) = &self.grant {
            grant.record_gap(pause);
        }
    }

    /// Notes that the server is alive.
    fn record_activity(&self) {
        let now = self.state.clock.now();
        self.state
            .balancer
            .borrow_mut()
            .bytes_received(now, &self.server.id);
    }

    /// Gives the connection back for the next call.
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

/// Sends a call to `server` and waits for the head of the answer until
/// `until`.
///
/// # Errors
///
/// Returns what is known about the call having run.
pub async fn send(
    state: &Rc<State>,
    server: &ServerRecord,
    request: Request<Full<Bytes>>,
    id: Option<&str>,
    until: Instant,
    grant: Option<Grant>,
) -> Result<ServerResponse, SendError> {
    let out = InFlight::new(state, &server.id);
    let begun = state.clock.now();
    let sent = tokio::time::timeout_at(until.into(), deliver(state, server, request)).await;
    let (response, mut conn) = match sent {
        Ok(sent) => sent?,
        Err(_) => return Err(SendError::TimedOut),
    };
    let status = response.status().as_u16();
    let now = state.clock.now();
    let parsed_headers = state.dialect.parse_response(status, response.headers());
    state.balancer.borrow_mut().bytes_received(now, &server.id);
    if let Some(keep) = parsed_headers.idle_timeout {
        conn.set_idle_timeout(keep);
    }
    // Another server at the address speaks for itself only.
    if !parsed_headers.wrong_server {
        apply_feedback(state, server, begun, &parsed_headers.feedback);
    }

    // A server may send a second answer to an earlier call late, just where
    // the answer to this one is expected. Its identity tells; the connection
    // is of no use any more, since the true answer may follow at any time.
    if parsed_headers.request_id.is_some() && parsed_headers.request_id.as_deref() != id {
        return Err(SendError::Unknown("answer to another call".to_owned()));
    }
    let reusable = !parsed_headers.close && !parsed_headers.feedback.leaving;
    if parsed_headers.not_run {
        // Its body has no use, but its connection may have.
        if reusable {
            drain_refusal(state, server, response, conn).await;
        }
        if !parsed_headers.wrong_server {
            return Err(SendError::NotRun(status));
        }
        if let Some(grant) = &grant {
            grant.report_gone(server);
        }
        return Err(SendError::WrongServer);
    }
    let (parts, incoming) = response.into_parts();
    let marks = [header::CONTENT_LENGTH, header::TRANSFER_ENCODING];
    let framed = marks.iter().any(|m| parts.headers.contains_key(m));
    out.hand_over();
    let body = ResponseBody {
        state: Rc::clone(state),
        server: server.clone(),
        incoming,
        reusable,
        framed,
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

/// Notes what a server says of itself in its answer to a call that was sent at
/// `sent`.
pub(crate) fn apply_feedback(
    state: &State,
    server: &ServerRecord,
    sent: Instant,
    word: &ServerFeedback,
) {
    let now = state.clock.now();
    let news =
        state
            .balancer
            .borrow_mut()
            .apply_feedback(now, server, sent, word, rand::rng().random());
    if news.leaving {
        metrics::counter!("pimentocart_servers_leaving_total").increment(1);
        info!("server leaves", kv: { server = &*server.id });
        state.connection_pool.close_idle(&server.id);
    }
    if let Some(rest) = news.backoff {
        metrics::counter!("pimentocart_rests_asked_total").increment(1);
        info!("server rests", kv: { server = &*server.id, ms = millis(rest) });
    }
    if let Some(named) = news.limited {
        info!("server limit changed", kv: {
            server = &*server.id,
            named,
            rate = word.rate_limit.unwrap_or(0.0)
        });
    }
}

/// Counts a call at a server until its answer's body takes over.
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

/// Gets the request out on a kept connection or a new one. A kept connection
/// that closed before the request was written gives it back, and only then it
/// is sent again.
async fn deliver(
    state: &Rc<State>,
    server: &ServerRecord,
    mut request: Request<Full<Bytes>>,
) -> Result<(Response<Incoming>, Connection), SendError> {
    while let Some(mut conn) = state.connection_pool.take(state.clock.now(), &server.id) {
        match conn.sender.try_send_request(request).await {
            Ok(response) => return Ok((response, conn)),
            Err(mut e) => match e.take_message() {
                Some(back) => request = back,
                None => return Err(SendError::Unknown(describe(e.error()))),
            },
        }
    }

    let now = state.clock.now();
    let dialled = ConnectionPool::connect(now, server.addr).await;
    let mut conn = dialled.map_err(|e| {
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

/// Reads the short body of a refusal, so that the connection can be used
/// again.
async fn drain_refusal(
    state: &Rc<State>,
    server: &ServerRecord,
    response: Response<Incoming>,
    conn: Connection,
) {
    let read = response.into_body().collect();
    let read = tokio::time::timeout(REFUSAL_BODY_TIMEOUT, read).await;
    if matches!(read, Ok(Ok(_))) {
        state
            .connection_pool
            .put(state.clock.now(), &server.id, conn);
    }
}

/// How long the body of a refusal is waited for; it is a few bytes.
const REFUSAL_BODY_TIMEOUT: Duration = Duration::from_millis(20);

/// An error with its causes on one line.
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
