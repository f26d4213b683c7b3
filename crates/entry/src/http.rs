//! The HTTP API for callers.

use std::io;
use std::pin::Pin;
use std::rc::Rc;

use actix_web::body::MessageBody;
use actix_web::dev::{ServiceFactory, ServiceRequest, ServiceResponse};
use actix_web::http::StatusCode;
use actix_web::{App, Error, HttpRequest, HttpResponse, web};
use base::reason::Refusal;
use bytes::Bytes;
use futures_util::stream;

use crate::completion::CompletionWriter;
use crate::dispatch::Granted;
use crate::drain;
use crate::error::RequestError;
use crate::relay::{ResponsePart, ResponseStream};
use crate::request::Request;
use crate::state::{OpenRequest, State};
use crate::{dispatch, idempotency};

/// A comment, which clients of server-sent events ignore.
const COMMENT: &[u8] = b": waiting\n\n";

/// The application that serves callers.
pub fn app(
    state: Rc<State>,
) -> App<
    impl ServiceFactory<
        ServiceRequest,
        Config = (),
        Response = ServiceResponse<impl MessageBody>,
        Error = Error,
        InitError = (),
    >,
> {
    App::new()
        .app_data(web::PayloadConfig::new(state.settings.body_limit))
        .app_data(state)
        .route("/v1/chat/completions", web::post().to(chat))
        .route("/v1/completions", web::post().to(completion_text))
        .route("/v1/services/{name}/{path:.*}", web::route().to(service))
        .default_service(web::to(unknown_path))
}

async fn chat(http: HttpRequest, body: Result<Bytes, Error>) -> HttpResponse {
    completion(&http, body, true)
        .await
        .unwrap_or_else(|error| error.response())
}

async fn completion_text(http: HttpRequest, body: Result<Bytes, Error>) -> HttpResponse {
    completion(&http, body, false)
        .await
        .unwrap_or_else(|error| error.response())
}

async fn service(
    http: HttpRequest,
    path: web::Path<(String, String)>,
    body: Result<Bytes, Error>,
) -> HttpResponse {
    let (name, path) = path.into_inner();
    call(&http, (&name, &path), body)
        .await
        .unwrap_or_else(|error| error.response())
}

async fn unknown_path(http: HttpRequest) -> HttpResponse {
    let hint = format!(
        "nothing at {} {}; see /v1/chat/completions, /v1/completions and /v1/services/NAME/",
        http.method(),
        http.path()
    );
    RequestError::not_run(Refusal::UnknownTarget, &hint).response()
}

async fn completion(
    http: &HttpRequest,
    body: Result<Bytes, Error>,
    chat: bool,
) -> Result<HttpResponse, RequestError> {
    let (state, open) = begin_request(http)?;
    let bundle = state.bundle_sync.current_bundle().await?;
    let body = body.map_err(|e| body_error(&e, state))?;
    let request = Request::completion(http, body, chat, &bundle, state.clock.now())?;

    idempotency::run_once(state, request, async move |request| {
        complete(state, request, chat, open).await
    })
    .await
}

async fn complete(
    state: &Rc<State>,
    request: Request,
    chat: bool,
    open: OpenRequest,
) -> Result<HttpResponse, RequestError> {
    let granted = grant(state, &request).await?;
    let writer =
        CompletionWriter::new(request.ticket, &request.target, chat, request.prompt_tokens);
    let stream = request.stream;
    let answer = ResponseStream::new(Rc::clone(state), request, granted);
    if stream {
        return Ok(stream_response(answer, writer, open));
    }

    let full = collect(answer).await?;
    let body = writer.full_body(&full.body, &full.finish_reason, full.tokens);
    Ok(HttpResponse::Ok()
        .content_type("application/json")
        .body(body))
}

async fn call(
    http: &HttpRequest,
    target: (&str, &str),
    body: Result<Bytes, Error>,
) -> Result<HttpResponse, RequestError> {
    let (state, _open) = begin_request(http)?;
    let bundle = state.bundle_sync.current_bundle().await?;
    let body = body.map_err(|e| body_error(&e, state))?;
    let request = Request::service_call(http, body, target, &bundle, state.clock.now())?;

    idempotency::run_once(state, request, async move |request| {
        call_once(state, request).await
    })
    .await
}

async fn call_once(state: &Rc<State>, request: Request) -> Result<HttpResponse, RequestError> {
    let granted = grant(state, &request).await?;
    let full = collect(ResponseStream::new(Rc::clone(state), request, granted)).await?;
    let status = StatusCode::from_u16(full.status).unwrap_or(StatusCode::BAD_GATEWAY);
    let mut response = HttpResponse::build(status);
    if !full.finish_reason.is_empty() {
        response.content_type(full.finish_reason);
    }
    Ok(response.body(full.body))
}

/// Registers a request as in progress, unless the entry refuses new requests
/// because it is draining.
fn begin_request(http: &HttpRequest) -> Result<(&Rc<State>, OpenRequest), RequestError> {
    let state = http.app_data::<Rc<State>>();
    let state =
        state.ok_or_else(|| RequestError::not_run(Refusal::NoBundle, "the entry is not set up"))?;
    if state.refusing.get() {
        return Err(drain::draining_error());
    }
    Ok((state, state.begin_request()))
}

/// Starts the request at a sidecar, unless the drain's time limit passes first.
async fn grant(state: &Rc<State>, request: &Request) -> Result<Granted, RequestError> {
    tokio::select! {
        granted = dispatch::grant(state, request) => granted,
        () = state.cutoff.wait() => Err(drain::cutoff_error(false)),
    }
}

/// The error for a body that could not be read.
fn body_error(error: &Error, state: &State) -> RequestError {
    let status = error.as_response_error().status_code();
    if status == StatusCode::PAYLOAD_TOO_LARGE {
        let hint = format!(
            "the body is larger than {} bytes",
            state.settings.body_limit
        );
        return RequestError::not_run(Refusal::TooLarge, &hint);
    }
    RequestError::not_run(
        Refusal::BadRequest,
        &format!("the body could not be read: {error}"),
    )
}

/// A complete answer.
struct FullResponse {
    body: Vec<u8>,
    status: u16,
    finish_reason: String,
    tokens: u32,
}

/// Waits for the complete answer.
async fn collect(mut answer: ResponseStream) -> Result<FullResponse, RequestError> {
    let (mut body, mut tokens) = (Vec::new(), 0);
    loop {
        let (chunks, end) = match answer.next_part().await? {
            ResponsePart::Chunks(chunks) => (chunks, None),
            ResponsePart::Complete {
                chunks,
                status,
                finish_reason,
            } => (chunks, Some((status, finish_reason))),
        };
        for chunk in chunks {
            body.extend_from_slice(&chunk.data);
            tokens += chunk.tokens;
        }
        if let Some((status, finish_reason)) = end {
            return Ok(FullResponse {
                body,
                status,
                finish_reason,
                tokens,
            });
        }
    }
}

/// A pending read of the next part of an answer.
type PendingPart =
    Pin<Box<dyn Future<Output = (ResponseStream, Result<ResponsePart, RequestError>)>>>;

/// Reads the next part of an answer. The read is not cancellation-safe, so the
/// same future is polled on after a comment was sent.
fn read_part(mut answer: ResponseStream) -> PendingPart {
    Box::pin(async move {
        let part = answer.next_part().await;
        (answer, part)
    })
}

/// Streams the answer while it is generated.
///
/// While there is nothing to write, a caller that disappeared without closing its
/// connection would stay undetected, and its request would occupy a slot. A
/// comment, which clients ignore, makes the caller's host reply with a reset.
fn stream_response(
    answer: ResponseStream,
    writer: CompletionWriter,
    open: OpenRequest,
) -> HttpResponse {
    let comment_interval = answer.comment_interval();
    let state = Some((read_part(answer), writer, open));
    let body = stream::unfold(state, move |state| async move {
        let (mut pending, writer, open) = state?;
        let part = tokio::time::timeout(comment_interval, pending.as_mut()).await;
        let Ok((answer, part)) = part else {
            let state = Some((pending, writer, open));
            return Some((Ok::<_, io::Error>(Bytes::from_static(COMMENT)), state));
        };

        let mut out = Vec::new();
        let has_more = match part {
            Ok(ResponsePart::Chunks(chunks)) => {
                writer.write_chunks(&mut out, &chunks);
                true
            }
            Ok(ResponsePart::Complete {
                chunks,
                finish_reason,
                ..
            }) => {
                writer.write_chunks(&mut out, &chunks);
                writer.write_end(&mut out, &finish_reason);
                false
            }
            Err(error) => {
                error.record_metric();
                writer.write_error(&mut out, &error);
                false
            }
        };
        let state = has_more.then(|| (read_part(answer), writer, open));
        Some((Ok::<_, io::Error>(Bytes::from(out)), state))
    });
    HttpResponse::Ok()
        .content_type("text/event-stream")
        .streaming(body)
}
