//! The HTTP servers for callers and for operators.

use std::io;
use std::rc::Rc;
use std::time::Duration;

use actix_service::ServiceFactory;
use actix_web::body::{BoxBody, MessageBody};
use actix_web::dev::{ServiceRequest, ServiceResponse};
use actix_web::web::{self, Data, Payload};
use actix_web::{App, Error, HttpRequest, HttpResponse};
use base::http::limits::{Connection, Connections};
use base::memory::Held;
use base::reason::Refusal;
use base::stop::StopSignal;
use bytes::Bytes;
use futures_util::StreamExt;
use http::{HeaderMap, HeaderName, HeaderValue, Method, Uri};
use policy::wait_estimate;
use rand::RngExt;
use spdlog::info;
use tokio::net::TcpListener;

use crate::call::{Call, IncomingRequest, draining_refusal};
use crate::memory::{self, BodyHold};
use crate::reply::{GuardedBody, LocalReply, Reply};
use crate::state::State;
use crate::status::Status;

/// Retry-After when a call's body does not fit into the entry's memory. Bodies that are
/// being read are whole, or have given way, after about this time.
const MEMORY_RETRY: Duration = Duration::from_secs(1);

/// The application that serves callers.
pub fn app(
    state: Rc<State>,
) -> App<
    impl ServiceFactory<
        ServiceRequest,
        Config = (),
        Response = ServiceResponse<BoxBody>,
        Error = Error,
        InitError = (),
    >,
> {
    App::new()
        .app_data(Data::new(state))
        .default_service(web::to(handle))
}

async fn handle(state: Data<Rc<State>>, request: HttpRequest, payload: Payload) -> HttpResponse {
    let state = Rc::clone(&state);
    let received_at = state.clock.now();
    let connection = request.conn_data::<Rc<Connection>>();
    let call = connection.map(Connection::begin_call);
    if let Some(connection) = connection.filter(|connection| connection.is_closing()) {
        connection.discard();
        return Reply::Local(draining_refusal()).into_response(true);
    }
    let mut held = None;
    let body = tokio::select! {
        body = read_body(&state, payload, connection, declared_length(&request)) => body,
        () = state.cutoff.wait() => Err(draining_refusal()),
    };
    let reply = match body {
        Ok(_) if state.refusing.get() => Reply::Local(draining_refusal()),
        Ok((body, bytes)) => {
            held = bytes;
            match convert_request(&request, count_body(&state, body), received_at) {
                Some(incoming) => run_call(&state, incoming).await,
                None => Reply::Local(LocalReply::denied(400, Refusal::BadRequest)),
            }
        }
        Err(reply) => {
            if let Some(connection) = connection {
                connection.discard();
            }
            Reply::Local(reply)
        }
    };
    // A caller whose connection is closed opens the next one elsewhere. This
    // relieves an entry that is stopping or whose link is congested.
    let close = state.stopping.is_triggered() || state.is_congested();
    if let Some(connection) = connection.filter(|_| close) {
        connection.announce_close();
    }
    let response = reply.into_response(close);
    response.map_body(|_, body| GuardedBody::new(body, (call, held)).boxed())
}

async fn run_call(state: &Rc<State>, incoming: IncomingRequest) -> Reply {
    state.wait_for_tables().await;
    let id = state.dialect.parse_call(&incoming.headers).request_id;
    let version = state.catalog.borrow().as_ref().map_or(0, |c| c.version);
    let call = match Call::from_request(state, incoming) {
        Ok(call) => Rc::new(call),
        Err(reply) => {
            info!("call rejected before placement", kv: {
                id = id.as_deref().unwrap_or("-"),
                status = reply.status,
                reason = reply.reason.as_str(),
                version
            });
            return Reply::Local(reply);
        }
    };
    let reply = Rc::clone(&call).run_until_cutoff().await;
    let status = match &reply {
        Reply::Buffered { status, .. } => *status,
        Reply::Stream { .. } => 200,
        Reply::Local(reply) => reply.status,
    };
    let reason = match &reply {
        Reply::Local(reply) => reply.reason.as_str(),
        _ => "-",
    };
    metrics::counter!("pimentocart_calls_total", "status" => status.to_string()).increment(1);
    if matches!(reply, Reply::Buffered { .. }) {
        let age = state
            .clock
            .now()
            .saturating_duration_since(call.received_at);
        metrics::histogram!("pimentocart_answer_seconds", "kind" => "whole").record(age);
    }
    info!("call answered", kv: {
        id = call.request_id(),
        route = call.route.name.as_str(),
        service = &*call.service,
        tier = call.tier().0,
        status,
        reason,
        ms = call.age_ms()
    });
    reply
}

/// Counts a received body towards the link's load.
fn count_body(state: &State, body: Bytes) -> Bytes {
    if let Some(link) = state.link_load.borrow_mut().as_mut() {
        link.record_bytes(state.clock.now(), body.len());
    }
    body
}

/// Length of the body that the caller has declared, if any.
fn declared_length(request: &HttpRequest) -> Option<usize> {
    let length = request
        .headers()
        .get(actix_web::http::header::CONTENT_LENGTH);
    length.and_then(|length| length.to_str().ok()?.parse().ok())
}

/// Reads a whole body; returns it with the bytes that it takes of the entry's memory.
async fn read_body(
    state: &State,
    mut payload: Payload,
    connection: Option<&Rc<Connection>>,
    declared: Option<usize>,
) -> Result<(Bytes, Option<Held>), LocalReply> {
    let limit = state.catalog.borrow().as_ref().map(|c| c.limits.max_body);
    let limit = limit.unwrap_or_default().max(1 << 20);
    if declared.is_some_and(|length| length > limit) {
        return Err(LocalReply::denied(413, Refusal::TooLarge));
    }
    let mut hold = state.memory.begin_body(state.clock.now(), declared);
    let mut all = Vec::new();
    loop {
        let part = tokio::select! {
            biased;
            () = hold.refused() => return Err(refuse_body(state, &hold)),
            part = payload.next() => part,
        };
        let Some(part) = part else {
            break;
        };
        let part = part.map_err(|_| LocalReply::denied(400, Refusal::BadRequest))?;
        let now = state.clock.now();
        hold.record_bytes(now);
        if let Some(connection) = connection {
            connection.take_unread();
        }
        let needed = all.len() + part.len();
        if needed > limit {
            return Err(LocalReply::denied(413, Refusal::TooLarge));
        }
        if needed > all.capacity() {
            let capacity = memory::next_capacity(all.capacity(), needed, declared);
            if !hold.grow(now, capacity).await {
                return Err(refuse_body(state, &hold));
            }
            all.reserve_exact(capacity - all.len());
        }
        all.extend_from_slice(&part);
    }

    Ok((all.into(), hold.into_held()))
}

/// The reply to a call whose body does not fit into the entry's memory.
fn refuse_body(state: &State, hold: &BodyHold) -> LocalReply {
    hold.log_refusal(state.clock.now());
    let after = wait_estimate::jitter(MEMORY_RETRY, rand::rng().random());
    LocalReply::refused(Refusal::Overloaded, after)
}

/// Converts the request to the types of the HTTP client library.
fn convert_request(
    request: &HttpRequest,
    body: Bytes,
    received_at: std::time::Instant,
) -> Option<IncomingRequest> {
    let method = Method::from_bytes(request.method().as_str().as_bytes()).ok()?;
    let path = request.uri().path_and_query()?;
    let uri: Uri = path.as_str().parse().ok()?;
    let mut headers = HeaderMap::with_capacity(request.headers().len());
    for (name, value) in request.headers() {
        let name = HeaderName::from_bytes(name.as_str().as_bytes()).ok()?;
        headers.append(name, HeaderValue::from_bytes(value.as_bytes()).ok()?);
    }
    Some(IncomingRequest {
        method,
        uri,
        headers,
        body,
        received_at,
    })
}

/// Serves the readiness check, the status and the metrics until `end`.
///
/// # Errors
///
/// Returns the error when the application cannot be set up.
pub async fn serve_operators(
    listener: TcpListener,
    state: Rc<State>,
    end: StopSignal,
) -> io::Result<()> {
    let path = state.settings.ready_path.clone();
    let app = App::new()
        .app_data(Data::new(state))
        .route(&path, web::get().to(ready))
        .route("/status", web::get().to(status))
        .route("/metrics", web::get().to(base::admin::metrics));
    base::http::serve_limited(listener, app, end, Connections::operators()).await
}

async fn ready(state: Data<Rc<State>>) -> HttpResponse {
    match state.is_ready() {
        true => HttpResponse::Ok().finish(),
        false => HttpResponse::ServiceUnavailable().finish(),
    }
}

async fn status(state: Data<Rc<State>>) -> HttpResponse {
    HttpResponse::Ok().json(Status::of(&state))
}
