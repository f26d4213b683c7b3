//! A model engine that batches continuously.
//!
//! Every step takes a while and gives each request in the batch either a part
//! of its prompt's computation or one token. The length of an answer is a
//! property of the request that only the stand-in reads. docs/platform/engine.md
//! writes down what it answers.
//!
//! - [`batch`]: the requests and the steps.
//! - [`cache`]: the prefix cache with limited memory, and its events.
//! - [`response`]: the events of an answer.

pub mod batch;
pub mod cache;
pub mod response;

use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use actix_web::{App, HttpRequest, HttpResponse, web};
use base::settings::HumanDuration;
use base::stop::StopSignal;
use bytes::Bytes;
use clients::engine::{PRIORITY_HEADER, REQUEST_ID_HEADER};
use serde::{Deserialize, Serialize};
use serde_json::Value;
use tokio::net::TcpListener;
use tokio::task::LocalSet;

use crate::control::FaultControl;
use crate::ledger::Ledger;
use batch::{Batch, NewRequest};

/// Largest request body, in bytes.
const BODY_LIMIT: usize = 8 << 20;

/// How often a stand-in looks whether it should crash or come back.
const CRASH_POLL: Duration = Duration::from_millis(5);

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
    #[serde(default = "default_step", rename = "step")]
    pub step_time: HumanDuration,
    /// Time that each further request adds to a step.
    #[serde(default = "default_extra", rename = "extra")]
    pub request_overhead: HumanDuration,
    /// Prompt tokens computed in one step, over the whole batch.
    #[serde(default = "default_prefill", rename = "prefill")]
    pub prefill_tokens: u32,
    /// Tokens that fit into the prefix cache.
    #[serde(default = "default_cache", rename = "cache")]
    pub cache_tokens: u32,
    /// How long an ended stream can still be resumed.
    #[serde(default = "default_keep", rename = "keep")]
    pub resume_window: HumanDuration,
    /// Faults from the start on; changed by `PUT /faults`.
    #[serde(default)]
    pub faults: Faults,
}

/// What is wrong with an engine.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Faults {
    /// How old a load report is when it is given out.
    pub report_lag: HumanDuration,
    /// How old a cache event is when it is given out.
    pub event_lag: HumanDuration,
    /// Share of cache events that are never given out.
    #[serde(rename = "event_gap")]
    pub event_loss: f64,
    /// By how much each step takes longer; 4 makes it four times slower.
    #[serde(rename = "pace")]
    pub slowdown: f64,
    /// Whether it is down: connections are dropped, its state is lost, and
    /// new connections are refused.
    pub crashed: bool,
    /// Streams open when this number grows get nothing more for good, while
    /// new ones work.
    #[serde(rename = "muted")]
    pub mute_generation: u32,
}

impl Default for Faults {
    fn default() -> Self {
        Self {
            report_lag: HumanDuration::default(),
            event_lag: HumanDuration::default(),
            event_loss: 0.0,
            slowdown: 1.0,
            crashed: false,
            mute_generation: 0,
        }
    }
}

fn default_slots() -> usize {
    8
}

fn default_step() -> HumanDuration {
    HumanDuration::ms(3)
}

fn default_extra() -> HumanDuration {
    HumanDuration(Duration::from_micros(50))
}

fn default_prefill() -> u32 {
    1024
}

fn default_cache() -> u32 {
    200_000
}

fn default_keep() -> HumanDuration {
    HumanDuration::secs(5)
}

/// Runs an engine until `stop` is asked.
///
/// # Errors
///
/// Returns the error when the engine cannot listen.
pub async fn run(settings: Settings, ledger: Ledger, stop: StopSignal) -> io::Result<()> {
    let faults = FaultControl::new(settings.faults.clone());
    run_with(settings, faults, ledger, stop).await
}

/// Runs an engine whose faults are changed by `faults` until `stop` is asked.
///
/// # Errors
///
/// Returns the error when the engine cannot listen.
pub async fn run_with(
    settings: Settings,
    faults: FaultControl<Faults>,
    ledger: Ledger,
    stop: StopSignal,
) -> io::Result<()> {
    loop {
        let serving = run_until_stopped(&settings, &faults, &ledger, &stop);
        // All tasks of one life, connections among them, belong to a set of
        // their own. Dropping it closes the sockets as a crash would.
        let tasks = LocalSet::new();
        tokio::select! {
            ended = tasks.run_until(serving) => return ended,
            () = wait_for_faults(&faults, |f| f.crashed) => {}
        }
        drop(tasks);

        tokio::select! {
            () = wait_for_faults(&faults, |f| !f.crashed) => {}
            () = stop.wait() => return Ok(()),
        }
    }
}

/// Waits until the faults are as condition.
async fn wait_for_faults(faults: &FaultControl<Faults>, condition: impl Fn(&Faults) -> bool) {
    while !condition(&faults.get()) {
        tokio::time::sleep(CRASH_POLL).await;
    }
}

/// One life of the engine, which begins with nothing cached and nothing known.
async fn run_until_stopped(
    settings: &Settings,
    faults: &FaultControl<Faults>,
    ledger: &Ledger,
    stop: &StopSignal,
) -> io::Result<()> {
    let listener = TcpListener::bind(settings.listen).await?;
    let batch = Batch::new(settings.clone(), faults.clone(), ledger.clone());
    actix_rt::spawn(batch::run_steps(Rc::clone(&batch), stop.clone()));
    actix_rt::spawn(batch::sample_load(Rc::clone(&batch), stop.clone()));

    let app = App::new()
        .app_data(web::PayloadConfig::new(BODY_LIMIT))
        .app_data(batch)
        .route("/v1/completions", web::post().to(complete))
        .route("/v1/streams/{id}", web::get().to(resume))
        .route("/v1/streams/{id}", web::delete().to(cancel))
        .route("/v1/load", web::get().to(load_report))
        .route("/v1/cache/events", web::get().to(cache_events))
        .route("/faults", web::put().to(set_faults))
        .route("/ledger", web::get().to(show_ledger));
    base::http::serve(listener, app, stop.clone()).await
}

/// What the stand-in reads of a request. `mark` and `length` are its own:
/// the router passes them on without knowing them.
#[derive(Debug, Deserialize)]
struct CompletionBody {
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

/// Starts a completion.
async fn complete(http: HttpRequest, body: Bytes) -> HttpResponse {
    let Some(batch) = http.app_data::<Rc<Batch>>() else {
        return HttpResponse::InternalServerError().finish();
    };
    let Ok(body) = serde_json::from_slice::<CompletionBody>(&body) else {
        return HttpResponse::BadRequest().finish();
    };
    let header = |name| http.headers().get(name).and_then(|v| v.to_str().ok());

    let mut text = String::new();
    append_text(&mut text, &body.prompt);
    for message in &body.messages {
        append_text(&mut text, &message.content);
    }
    let request = batch.submit(&NewRequest {
        id: header(REQUEST_ID_HEADER).unwrap_or_default(),
        mark: &body.mark,
        priority: header(PRIORITY_HEADER)
            .and_then(|p| p.parse().ok())
            .unwrap_or(0),
        output_length: body.length.min(body.max_tokens).max(1),
        text: text.as_bytes(),
    });
    response::stream_events(Rc::clone(batch), request, 0)
}

/// Appends a prompt or content, a text or a list of texts or parts.
fn append_text(out: &mut String, value: &Value) {
    match value {
        Value::String(text) => out.push_str(text),
        Value::Array(items) => items.iter().for_each(|item| append_text(out, item)),
        Value::Object(part) => {
            if let Some(text) = part.get("text") {
                append_text(out, text);
            }
        }
        _ => {}
    }
}

/// Goes on with a stream from a token number on.
async fn resume(
    http: HttpRequest,
    id: web::Path<String>,
    query: web::Query<HashMap<String, u32>>,
) -> HttpResponse {
    let Some(batch) = http.app_data::<Rc<Batch>>() else {
        return HttpResponse::InternalServerError().finish();
    };
    match batch.find(&id) {
        Some(request) => {
            let from = query.get("from").copied().unwrap_or(0);
            response::stream_events(Rc::clone(batch), request, from)
        }
        None => HttpResponse::NotFound().finish(),
    }
}

/// Stops a request.
async fn cancel(http: HttpRequest, id: web::Path<String>) -> HttpResponse {
    let Some(batch) = http.app_data::<Rc<Batch>>() else {
        return HttpResponse::InternalServerError().finish();
    };
    batch.cancel(&id);
    HttpResponse::NoContent().finish()
}

/// Gives out a load report, as old as the faults say.
async fn load_report(http: HttpRequest) -> HttpResponse {
    match http.app_data::<Rc<Batch>>() {
        Some(batch) => HttpResponse::Ok().json(batch.report()),
        None => HttpResponse::InternalServerError().finish(),
    }
}

/// Gives out cache events from a number on.
async fn cache_events(http: HttpRequest, query: web::Query<HashMap<String, u64>>) -> HttpResponse {
    let from = query.get("from").copied().unwrap_or(0);
    match http.app_data::<Rc<Batch>>() {
        Some(batch) => HttpResponse::Ok().json(batch.cache_events(from)),
        None => HttpResponse::InternalServerError().finish(),
    }
}

/// Changes the faults.
async fn set_faults(http: HttpRequest, body: web::Json<Faults>) -> HttpResponse {
    let Some(batch) = http.app_data::<Rc<Batch>>() else {
        return HttpResponse::InternalServerError().finish();
    };
    batch.faults.change(|faults| *faults = body.into_inner());
    HttpResponse::NoContent().finish()
}

/// Gives out what the stand-in saw.
async fn show_ledger(http: HttpRequest) -> HttpResponse {
    match http.app_data::<Rc<Batch>>() {
        Some(batch) => HttpResponse::Ok().json(batch.ledger.all_counts()),
        None => HttpResponse::InternalServerError().finish(),
    }
}
