//! The callers' side, and the operators'.

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

use crate::call::{Call, Incoming};
use crate::reply::{Own, Reply};
use crate::state::State;
use crate::status::Status;

/// The application that callers reach.
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
    let came = state.clock.now();
    let limit = state.catalog.borrow().as_ref().map(|c| c.limits.max_body);
    let reply = match body(payload, limit.unwrap_or_default().max(1 << 20)).await {
        Ok(body) => match incoming(&request, note(&state, body), came) {
            Some(incoming) => answer(&state, incoming).await,
            None => Reply::Own(Own::denied(400, Refusal::BadRequest)),
        },
        Err(own) => Reply::Own(own),
    };
    // A caller that is told so opens its next connection elsewhere, before
    // this entry closes.
    reply.write(state.stopping.is_triggered() || state.is_congested())
}

async fn answer(state: &Rc<State>, incoming: Incoming) -> Reply {
    state.wait_for_tables().await;
    let id = state.dialect.ask(&incoming.headers).id;
    let version = state.catalog.borrow().as_ref().map_or(0, |c| c.version);
    let call = match Call::read(state, incoming) {
        Ok(call) => Rc::new(call),
        Err(own) => {
            info!("call denied", kv: {
                id = id.as_deref().unwrap_or("-"),
                status = own.status,
                reason = own.reason.as_str(),
                version
            });
            return Reply::Own(own);
        }
    };
    let reply = Rc::clone(&call).run().await;
    let status = match &reply {
        Reply::Whole { status, .. } => *status,
        Reply::Stream { .. } => 200,
        Reply::Own(own) => own.status,
    };
    let reason = match &reply {
        Reply::Own(own) => own.reason.as_str(),
        _ => "-",
    };
    metrics::counter!("pimentocart_calls_total", "status" => status.to_string()).increment(1);
    if matches!(reply, Reply::Whole { .. }) {
        let age = state.clock.now().saturating_duration_since(call.came);
        metrics::histogram!("pimentocart_answer_seconds", "kind" => "whole").record(age);
    }
    info!("call answered", kv: {
        id = call.name(),
        route = call.route.name.as_str(),
        service = &*call.service,
        tier = call.tier().0,
        status,
        reason,
        ms = call.age_ms()
    });
    reply
}

/// Counts a body that has come over the link.
fn note(state: &State, body: Bytes) -> Bytes {
    if let Some(link) = state.link_load.borrow_mut().as_mut() {
        link.record_bytes(state.clock.now(), body.len());
    }
    body
}

/// Reads a whole body of at most `limit` bytes.
async fn body(mut payload: Payload, limit: usize) -> Result<Bytes, Own> {
    let mut all = BytesMut::new();
    while let Some(part) = payload.next().await {
        let part = part.map_err(|_| Own::denied(400, Refusal::BadRequest))?;
        if all.len() + part.len() > limit {
            return Err(Own::denied(413, Refusal::TooLarge));
        }
        all.extend_from_slice(&part);
    }

    Ok(all.freeze())
}

/// The call in the types of the library that speaks to servers.
fn incoming(request: &HttpRequest, body: Bytes, came: std::time::Instant) -> Option<Incoming> {
    let method = Method::from_bytes(request.method().as_str().as_bytes()).ok()?;
    let path = request.uri().path_and_query()?;
    let uri: Uri = path.as_str().parse().ok()?;
    let mut headers = HeaderMap::with_capacity(request.headers().len());
    for (name, value) in request.headers() {
        let name = HeaderName::from_bytes(name.as_str().as_bytes()).ok()?;
        headers.append(name, HeaderValue::from_bytes(value.as_bytes()).ok()?);
    }
    Some(Incoming {
        method,
        uri,
        headers,
        body,
        came,
    })
}

/// Answers the balancer and those who scrape metrics until `end`.
///
/// # Errors
///
/// Returns the error when the application cannot be set up.
pub async fn operators(listener: TcpListener, state: Rc<State>, end: StopSignal) -> io::Result<()> {
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
