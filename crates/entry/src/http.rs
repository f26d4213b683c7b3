//! The callers' side.

use std::io;
use std::rc::Rc;

use actix_web::body::MessageBody;
use actix_web::dev::{ServiceFactory, ServiceRequest, ServiceResponse};
use actix_web::http::StatusCode;
use actix_web::{App, Error, HttpRequest, HttpResponse, web};
use base::ids::Ticket;
use bytes::Bytes;
use futures_util::stream;
use serde::Serialize;
use wire::Piece;

use crate::dispatch;
use crate::refuse::Refused;
use crate::relay::{Answer, Part};
use crate::request::{self, Request};
use crate::state::{Open, State};

/// The application that callers speak to.
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
        .route("/v1/completions", web::post().to(text))
        .route("/v1/services/{name}/{path:.*}", web::route().to(service))
}

async fn chat(http: HttpRequest, body: Bytes) -> HttpResponse {
    completion(&http, body, true).await
}

async fn text(http: HttpRequest, body: Bytes) -> HttpResponse {
    completion(&http, body, false).await
}

async fn completion(http: &HttpRequest, body: Bytes, chat: bool) -> HttpResponse {
    let Some(state) = http.app_data::<Rc<State>>() else {
        return HttpResponse::InternalServerError().finish();
    };
    let open = state.open();
    let bundle = Rc::clone(&state.bundle.borrow());
    let request = match request::completion(http, body, chat, &bundle, state.clock.now()) {
        Ok(request) => request,
        Err(refused) => return refused.response(),
    };

    let granted = match dispatch::grant(state, &request).await {
        Ok(granted) => granted,
        Err(refused) => return refused.response(),
    };
    let answer = Answer::new(Rc::clone(state), request.ticket, granted);
    let shape = Shape {
        ticket: request.ticket,
        model: request.target.clone(),
        chat,
    };
    match request.stream {
        true => streamed(answer, shape, open),
        false => whole(answer, &shape).await,
    }
}

async fn service(
    http: HttpRequest,
    path: web::Path<(String, String)>,
    body: Bytes,
) -> HttpResponse {
    let Some(state) = http.app_data::<Rc<State>>() else {
        return HttpResponse::InternalServerError().finish();
    };
    let _open = state.open();
    let bundle = Rc::clone(&state.bundle.borrow());
    let (name, path) = path.into_inner();
    let read = request::call(&http, body, &name, &path, &bundle, state.clock.now());
    let request: Request = match read {
        Ok(request) => request,
        Err(refused) => return refused.response(),
    };

    let granted = match dispatch::grant(state, &request).await {
        Ok(granted) => granted,
        Err(refused) => return refused.response(),
    };
    let mut answer = Answer::new(Rc::clone(state), request.ticket, granted);
    let mut body = Vec::new();
    loop {
        match answer.part().await {
            Ok(Part::Pieces(pieces)) => append(&mut body, &pieces),
            Ok(Part::Whole {
                pieces,
                status,
                finish,
            }) => {
                append(&mut body, &pieces);
                let status = StatusCode::from_u16(status).unwrap_or(StatusCode::BAD_GATEWAY);
                return HttpResponse::build(status).content_type(finish).body(body);
            }
            Err(refused) => return refused.response(),
        }
    }
}

/// How answers to one request are written.
struct Shape {
    ticket: Ticket,
    model: String,
    chat: bool,
}

#[derive(Serialize)]
struct Completion<'a> {
    id: &'a str,
    object: &'a str,
    model: &'a str,
    choices: [Choice<'a>; 1],
}

#[derive(Serialize)]
struct Choice<'a> {
    index: u32,
    #[serde(skip_serializing_if = "Option::is_none")]
    text: Option<&'a str>,
    #[serde(skip_serializing_if = "Option::is_none")]
    delta: Option<Content<'a>>,
    #[serde(skip_serializing_if = "Option::is_none")]
    message: Option<Content<'a>>,
    finish_reason: Option<&'a str>,
}

#[derive(Serialize)]
struct Content<'a> {
    role: &'a str,
    content: &'a str,
}

impl Shape {
    /// Writes a part of a streamed answer, or a whole answer at once.
    fn write(&self, out: &mut Vec<u8>, text: &str, finish: Option<&str>, streamed: bool) {
        let content = || Content {
            role: "assistant",
            content: text,
        };
        let choice = Choice {
            index: 0,
            text: (!self.chat).then_some(text),
            delta: (self.chat && streamed).then(content),
            message: (self.chat && !streamed).then(content),
            finish_reason: finish,
        };
        let object = match (self.chat, streamed) {
            (true, true) => "chat.completion.chunk",
            (true, false) => "chat.completion",
            (false, _) => "text_completion",
        };
        let id = self.ticket.to_string();
        let completion = Completion {
            id: &id,
            object,
            model: &self.model,
            choices: [choice],
        };
        // Writing to memory cannot fail.
        let _ = serde_json::to_writer(out, &completion);
    }
}

/// Gives the answer once it is whole.
async fn whole(mut answer: Answer, shape: &Shape) -> HttpResponse {
    let mut text = Vec::new();
    loop {
        match answer.part().await {
            Ok(Part::Pieces(pieces)) => append(&mut text, &pieces),
            Ok(Part::Whole { pieces, finish, .. }) => {
                append(&mut text, &pieces);
                let mut body = Vec::new();
                shape.write(
                    &mut body,
                    &String::from_utf8_lossy(&text),
                    Some(&finish),
                    false,
                );
                return HttpResponse::Ok()
                    .content_type("application/json")
                    .body(body);
            }
            Err(refused) => return refused.response(),
        }
    }
}

/// Gives the answer as it is made.
fn streamed(answer: Answer, shape: Shape, open: Open) -> HttpResponse {
    let body = stream::unfold(Some((answer, shape, open)), |state| async move {
        let (mut answer, shape, open) = state?;
        let mut out = Vec::new();
        let on = match answer.part().await {
            Ok(Part::Pieces(pieces)) => {
                write_pieces(&mut out, &shape, &pieces);
                true
            }
            Ok(Part::Whole { pieces, finish, .. }) => {
                write_pieces(&mut out, &shape, &pieces);
                write_event(&mut out, |out| shape.write(out, "", Some(&finish), true));
                out.extend_from_slice(b"data: [DONE]\n\n");
                false
            }
            Err(refused) => {
                write_error(&mut out, &refused);
                false
            }
        };
        let state = on.then_some((answer, shape, open));
        Some((Ok::<_, io::Error>(Bytes::from(out)), state))
    });
    HttpResponse::Ok()
        .content_type("text/event-stream")
        .streaming(body)
}

fn write_pieces(out: &mut Vec<u8>, shape: &Shape, pieces: &[Piece]) {
    for piece in pieces {
        let text = String::from_utf8_lossy(&piece.data);
        write_event(out, |out| shape.write(out, &text, None, true));
    }
}

fn write_error(out: &mut Vec<u8>, refused: &Refused) {
    write_event(out, |out| {
        // Writing to memory cannot fail.
        let _ = serde_json::to_writer(out, &refused.body());
    });
}

fn write_event(out: &mut Vec<u8>, write: impl FnOnce(&mut Vec<u8>)) {
    out.extend_from_slice(b"data: ");
    write(out);
    out.extend_from_slice(b"\n\n");
}

fn append(out: &mut Vec<u8>, pieces: &[Piece]) {
    for piece in pieces {
        out.extend_from_slice(&piece.data);
    }
}
