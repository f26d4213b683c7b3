//! A model engine that batches continuously.
//!
//! Every step takes a while and gives each request in the batch either a part
//! of its prompt's computation or one token. The length of an answer is a
//! property of the request that only the stand-in reads.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use actix_web::{App, HttpRequest, HttpResponse, web};
use base::settings::Span;
use base::stop::Stop;
use bytes::Bytes;
use futures_util::stream;
use platform::engine::{Choice, Chunk, REQUEST_ID, Usage};
use serde::{Deserialize, Serialize};
use serde_json::Value;
use tokio::net::TcpListener;
use tokio::sync::Notify;

use crate::ledger::Ledger;

/// Largest request body, in bytes.
const BODY_LIMIT: usize = 8 << 20;

/// How long an ended stream can still be resumed.
const KEEP: Duration = Duration::from_secs(5);

/// Settings of an engine stand-in.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Where it listens.
    pub listen: SocketAddr,
    /// Requests that run at once; more wait inside the engine.
    #[serde(default = "default_slots")]
    pub slots: usize,
    /// Time of one step with one request.
    #[serde(default = "default_step")]
    pub step: Span,
    /// Time that each further request adds to a step.
    #[serde(default = "default_extra")]
    pub extra: Span,
    /// Prompt tokens computed in one step, over the whole batch.
    #[serde(default = "default_prefill")]
    pub prefill: u32,
}

fn default_slots() -> usize {
    8
}

fn default_step() -> Span {
    Span::ms(3)
}

fn default_extra() -> Span {
    Span(Duration::from_micros(50))
}

fn default_prefill() -> u32 {
    1024
}

/// What the stand-in reads of a request. `mark` and `length` are its own:
/// the router passes them on without knowing them.
#[derive(Debug, Deserialize)]
struct Body {
    #[serde(default)]
    prompt: Value,
    #[serde(default)]
    messages: Vec<Message>,
    #[serde(default = "default_max")]
    max_tokens: u32,
    #[serde(default)]
    mark: String,
    #[serde(default = "default_length")]
    length: u32,
}

#[derive(Debug, Deserialize)]
struct Message {
    content: Value,
}

fn default_max() -> u32 {
    4096
}

fn default_length() -> u32 {
    16
}

/// A running engine.
struct Engine {
    settings: Settings,
    ledger: Ledger,
    /// Requests by their id, those that ended lately among them.
    requests: RefCell<HashMap<String, Rc<Request>>>,
    /// Requests in the batch, in the order in which they came.
    batch: RefCell<Vec<Rc<Request>>>,
    /// Wakes the stepping when there is work.
    work: Notify,
}

/// One request.
struct Request {
    mark: String,
    /// Tokens that the answer will have.
    length: u32,
    /// Prompt tokens still to compute.
    prefill: Cell<u32>,
    prompt: u32,
    /// Tokens made so far.
    made: Cell<u32>,
    cancelled: Cell<bool>,
    ended: Cell<Option<Instant>>,
    changed: Notify,
}

/// Runs an engine until `stop` is asked.
///
/// # Errors
///
/// Returns the error when the engine cannot listen.
pub async fn run(settings: Settings, ledger: Ledger, stop: Stop) -> io::Result<()> {
    let listener = TcpListener::bind(settings.listen).await?;
    let engine = Rc::new(Engine {
        settings,
        ledger,
        requests: RefCell::default(),
        batch: RefCell::default(),
        work: Notify::new(),
    });
    actix_rt::spawn(step(Rc::clone(&engine), stop.clone()));

    let app = move || {
        App::new()
            .app_data(web::PayloadConfig::new(BODY_LIMIT))
            .app_data(Rc::clone(&engine))
            .route("/v1/completions", web::post().to(complete))
            .route("/v1/streams/{id}", web::get().to(resume))
            .route("/v1/streams/{id}", web::delete().to(cancel))
    };
    base::http::serve(listener, app(), stop).await
}

/// Steps the batch for as long as there is work.
async fn step(engine: Rc<Engine>, stop: Stop) {
    while !stop.asked() {
        if engine.batch.borrow().is_empty() {
            tokio::select! {
                () = engine.work.notified() => {}
                () = stop.wait() => return,
            }
        }

        let size = engine.batch.borrow().len().min(engine.settings.slots);
        let extra = u32::try_from(size.saturating_sub(1)).unwrap_or(0);
        let took = engine.settings.step.0 + engine.settings.extra.0 * extra;
        tokio::time::sleep(took).await;
        engine.advance();
    }
}

impl Engine {
    /// Does one step's work.
    fn advance(&self) {
        let mut budget = self.settings.prefill;
        let mut batch = self.batch.borrow_mut();
        for request in batch.iter().take(self.settings.slots) {
            let left = request.prefill.get();
            if left > 0 {
                let part = left.min(budget);
                budget -= part;
                request.prefill.set(left - part);
                self.ledger.note(&request.mark, |seen| seen.prompt += part);
                continue;
            }

            request.made.set(request.made.get() + 1);
            self.ledger.note(&request.mark, |seen| seen.tokens += 1);
            if request.made.get() >= request.length {
                request.ended.set(Some(Instant::now()));
                self.ledger.note(&request.mark, |seen| seen.ended += 1);
            }
            request.changed.notify_waiters();
        }
        batch.retain(|r| r.ended.get().is_none() && !r.cancelled.get());
        drop(batch);

        let kept = |r: &Rc<Request>| r.ended.get().is_none_or(|at| at.elapsed() < KEEP);
        self.requests
            .borrow_mut()
            .retain(|_, r| kept(r) && !r.cancelled.get());
    }
}

/// Starts a completion.
async fn complete(http: HttpRequest, body: Bytes) -> HttpResponse {
    let Some(engine) = http.app_data::<Rc<Engine>>().cloned() else {
        return HttpResponse::InternalServerError().finish();
    };
    let Ok(body) = serde_json::from_slice::<Body>(&body) else {
        return HttpResponse::BadRequest().finish();
    };
    let id = http.headers().get(REQUEST_ID).and_then(|v| v.to_str().ok());
    let id = id.unwrap_or_default().to_owned();

    let contents = body.messages.iter().map(|m| chars(&m.content));
    let chars = contents.sum::<usize>() + chars(&body.prompt);
    let prompt = u32::try_from(chars / 4).unwrap_or(u32::MAX).max(1);
    engine.ledger.note(&body.mark, |seen| seen.runs += 1);

    let request = Rc::new(Request {
        mark: body.mark,
        length: body.length.min(body.max_tokens).max(1),
        prefill: Cell::new(prompt),
        prompt,
        made: Cell::new(0),
        cancelled: Cell::new(false),
        ended: Cell::new(None),
        changed: Notify::new(),
    });
    engine.requests.borrow_mut().insert(id, Rc::clone(&request));
    engine.batch.borrow_mut().push(Rc::clone(&request));
    engine.work.notify_one();
    events(request, 0)
}

/// Characters of a prompt or content, a text or a list of texts or parts.
fn chars(value: &Value) -> usize {
    match value {
        Value::String(text) => text.len(),
        Value::Array(items) => items.iter().map(chars).sum(),
        Value::Object(part) => part.get("text").map_or(0, chars),
        _ => 0,
    }
}

/// Goes on with a stream from a token number on.
async fn resume(
    http: HttpRequest,
    id: web::Path<String>,
    query: web::Query<HashMap<String, u32>>,
) -> HttpResponse {
    let Some(engine) = http.app_data::<Rc<Engine>>() else {
        return HttpResponse::InternalServerError().finish();
    };
    let found = engine.requests.borrow().get(id.as_str()).cloned();
    let Some(request) = found else {
        return HttpResponse::NotFound().finish();
    };
    events(request, query.get("from").copied().unwrap_or(0))
}

/// Stops a request.
async fn cancel(http: HttpRequest, id: web::Path<String>) -> HttpResponse {
    let Some(engine) = http.app_data::<Rc<Engine>>() else {
        return HttpResponse::InternalServerError().finish();
    };
    if let Some(request) = engine.requests.borrow().get(id.as_str()) {
        request.cancelled.set(true);
        request.changed.notify_waiters();
    }
    HttpResponse::NoContent().finish()
}

/// The events of a request from token number `from` on.
fn events(request: Rc<Request>, from: u32) -> HttpResponse {
    let body = stream::unfold(Some((request, from)), |state| async move {
        let (request, next) = state?;
        let (text, next, over) = more(&request, next).await?;
        let state = (!over).then_some((request, next));
        Some((Ok::<_, io::Error>(Bytes::from(text)), state))
    });
    HttpResponse::Ok()
        .content_type("text/event-stream")
        .streaming(body)
}

/// Waits for tokens from `next` on; the flag says that the answer is whole.
async fn more(request: &Request, mut next: u32) -> Option<(String, u32, bool)> {
    loop {
        let changed = request.changed.notified();
        if request.cancelled.get() {
            return None;
        }

        let mut text = String::new();
        while next < request.made.get() {
            write_token(&mut text, request, next);
            next += 1;
        }
        let over = request.ended.get().is_some();
        if over {
            write_end(&mut text, request);
        }
        if !text.is_empty() {
            return Some((text, next, over));
        }
        changed.await;
    }
}

fn write_token(out: &mut String, request: &Request, seq: u32) {
    let text = format!("{}:{seq} ", request.mark);
    let choices = vec![Choice {
        text,
        finish_reason: None,
    }];
    write_event(
        out,
        &Chunk {
            seq,
            choices,
            usage: None,
        },
    );
}

fn write_end(out: &mut String, request: &Request) {
    let made = request.made.get();
    let choices = vec![Choice {
        text: String::new(),
        finish_reason: Some("stop".to_owned()),
    }];
    let usage = Usage {
        prompt_tokens: request.prompt,
        completion_tokens: made,
        cached_tokens: 0,
    };
    write_event(
        out,
        &Chunk {
            seq: made,
            choices,
            usage: Some(usage),
        },
    );
    out.push_str("data: [DONE]\n\n");
}

fn write_event(out: &mut String, chunk: &Chunk) {
    if let Ok(json) = serde_json::to_string(chunk) {
        out.push_str("data: ");
        out.push_str(&json);
        out.push_str("\n\n");
    }
}
