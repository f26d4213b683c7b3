//! The HTTP servers for callers and for operators.

use std::io;
use std::rc::Rc;

use actix_service::ServiceFactory;
use actix_web::body::BoxBody;
use actix_web::dev::{ServiceRequest, ServiceResponse};
use actix_web::web::{self, Data, Payload};
use actix_web::{App, Error, HttpRequest, HttpResponse};
use base::reason::Refusal;
use base::stop::StopSignal;
use bytes::{Bytes, BytesMut};
use futures_util::StreamExt;
use http::{HeaderMap, HeaderName, HeaderValue, Method, Uri};
use spdlog::info;
use tokio::net::TcpListener;

use crate::call::{Call, IncomingRequest, draining_refusal};
use crate::reply::{LocalReply, Reply};
use crate::state::State;
use crate::status::Status;

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
    let limit = state.catalog.borrow().as_ref().map(|c| c.limits.max_body);
    let limit = limit.unwrap_or_default().max(1 << 20);
    let body = tokio::select! {
        body = read_body(payload, limit) => body,
        () = state.cutoff.wait() => Err(draining_refusal()),
    };
    let reply = match body {
        Ok(_) if state.refusing.get() => Reply::Local(draining_refusal()),
        Ok(body) => match convert_request(&request, count_body(&state, body), received_at) {
            Some(incoming) => run_call(&state, incoming).await,
            None => Reply::Local(LocalReply::denied(400, Refusal::BadRequest)),
        },
        Err(reply) => Reply::Local(reply),
    };
    // A caller whose connection is closed opens the next one elsewhere. This
    // relieves an entry that is stopping or whose link is congested.
    reply.into_response(state.stopping.is_triggered() || state.is_congested())
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

/// Reads a whole body of at most `limit` bytes.
async fn read_body(mut payload: Payload, limit: usize) -> Result<Bytes, LocalReply> {
    let mut all = BytesMut::new();
    while let Some(part) = payload.next().await {
        let part = part.map_err(|_| LocalReply::denied(400, Refusal::BadRequest))?;
        if all.len() + part.len() > limit {
            return Err(LocalReply::denied(413, Refusal::TooLarge));
        }
        all.extend_from_slice(&part);
    }

    Ok(all.freeze())
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
    base::http::serve(listener, app, end).await
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
