//! Stand-in for a model engine with continuous batching.
//!
//! Each step takes a configured time. In a step every request in the batch either
//! computes a part of its prompt (prefill) or generates one token (decode). The
//! request body sets the length of the response in a field that only the
//! stand-in reads. The HTTP interface is specified in docs/platform/engine.md.
//!
//! - [`batch`]: request queue, batch and steps.
//! - [`cache`]: prefix cache with limited memory, and its events.
//! - [`response`]: event stream of a response.

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

/// Interval at which the stand-in checks whether to crash or to restart.
const CRASH_POLL: Duration = Duration::from_millis(5);

/// Settings of an engine stand-in.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Address to listen on.
    pub listen: SocketAddr,
    /// Maximum number of requests in the batch; further requests are queued.
    #[serde(default = "default_slots")]
    pub slots: usize,
    /// Duration of a step with one request in the batch.
    #[serde(default = "default_step_time", rename = "step")]
    pub step_time: HumanDuration,
    /// Time that each further request in the batch adds to a step.
    #[serde(default = "default_request_overhead", rename = "extra")]
    pub request_overhead: HumanDuration,
    /// Maximum number of prompt tokens computed in one step by the whole batch.
    #[serde(default = "default_prefill_tokens", rename = "prefill")]
    pub prefill_tokens: u32,
    /// Capacity of the prefix cache, in tokens.
    #[serde(default = "default_cache_tokens", rename = "cache")]
    pub cache_tokens: u32,
    /// Time for which a completed stream can still be resumed.
    #[serde(default = "default_resume_window", rename = "keep")]
    pub resume_window: HumanDuration,
    /// Initial faults; can be replaced with `PUT /faults`.
    #[serde(default)]
    pub faults: Faults,
}

/// Faults of an engine.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Faults {
    /// Age of a load report when it is served.
    pub report_lag: HumanDuration,
    /// Minimum age of a cache event before it is served.
    pub event_lag: HumanDuration,
    /// Fraction of cache events that are dropped, from 0 to 1.
    #[serde(rename = "event_gap")]
    pub event_loss: f64,
    /// Factor on the duration of each step; with 4 the engine is four times slower.
    /// Limited to the range from 0.01 to 1000.
    #[serde(rename = "pace")]
    pub slowdown: f64,
    /// Whether the engine is down: open connections are closed, its state is lost
    /// and new connections are refused.
    pub crashed: bool,
    /// Number whose change permanently stops the events of all open streams
    /// without closing them; streams opened afterwards work.
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

fn default_step_time() -> HumanDuration {
    HumanDuration::ms(3)
}

fn default_request_overhead() -> HumanDuration {
    HumanDuration(Duration::from_micros(50))
}

fn default_prefill_tokens() -> u32 {
    1024
}

fn default_cache_tokens() -> u32 {
    200_000
}

fn default_resume_window() -> HumanDuration {
    HumanDuration::secs(5)
}

/// Runs an engine until `stop` is triggered.
///
/// # Errors
///
/// Returns an error when the engine cannot bind its address.
pub async fn run(settings: Settings, ledger: Ledger, stop: StopSignal) -> io::Result<()> {
    let faults = FaultControl::new(settings.faults.clone());
    run_with(settings, faults, ledger, stop).await
}

/// Runs an engine with the shared `faults` until `stop` is triggered.
///
/// # Errors
///
/// Returns an error when the engine cannot bind its address.
pub async fn run_with(
    settings: Settings,
    faults: FaultControl<Faults>,
    ledger: Ledger,
    stop: StopSignal,
) -> io::Result<()> {
    loop {
        let serving = run_until_stopped(&settings, &faults, &ledger, &stop);
        // All tasks of one incarnation, including its connections, run in their
        // own task set. Dropping the set closes the sockets as a crash would.
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

/// Waits until the faults meet `condition`.
async fn wait_for_faults(faults: &FaultControl<Faults>, condition: impl Fn(&Faults) -> bool) {
    while !condition(&faults.get()) {
        tokio::time::sleep(CRASH_POLL).await;
    }
}

/// Runs one incarnation of the engine, which starts with an empty cache and no
/// requests.
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

/// Fields of the request body that the stand-in reads. Only the stand-in knows
/// `mark` and `length`; the router forwards them unread.
#[derive(Debug, Deserialize)]
struct CompletionBody {
    #[serde(default)]
    prompt: Value,
    #[serde(default)]
    messages: Vec<Message>,
    #[serde(default = "default_max_tokens")]
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

fn default_max_tokens() -> u32 {
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

/// Appends the text of a prompt or message content, which is a string or a list of
/// strings or parts.
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

/// Resumes a stream from a token's sequence number.
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

/// Cancels a request.
async fn cancel(http: HttpRequest, id: web::Path<String>) -> HttpResponse {
    let Some(batch) = http.app_data::<Rc<Batch>>() else {
        return HttpResponse::InternalServerError().finish();
    };
    batch.cancel(&id);
    HttpResponse::NoContent().finish()
}

/// Serves a load report that is delayed by the configured lag.
async fn load_report(http: HttpRequest) -> HttpResponse {
    match http.app_data::<Rc<Batch>>() {
        Some(batch) => HttpResponse::Ok().json(batch.report()),
        None => HttpResponse::InternalServerError().finish(),
    }
}

/// Serves cache events from a sequence number on.
async fn cache_events(http: HttpRequest, query: web::Query<HashMap<String, u64>>) -> HttpResponse {
    let from = query.get("from").copied().unwrap_or(0);
    match http.app_data::<Rc<Batch>>() {
        Some(batch) => HttpResponse::Ok().json(batch.cache_events(from)),
        None => HttpResponse::InternalServerError().finish(),
    }
}

/// Replaces the faults.
async fn set_faults(http: HttpRequest, body: web::Json<Faults>) -> HttpResponse {
    let Some(batch) = http.app_data::<Rc<Batch>>() else {
        return HttpResponse::InternalServerError().finish();
    };
    batch.faults.change(|faults| *faults = body.into_inner());
    HttpResponse::NoContent().finish()
}

/// Serves the counts of all requests.
async fn show_ledger(http: HttpRequest) -> HttpResponse {
    match http.app_data::<Rc<Batch>>() {
        Some(batch) => HttpResponse::Ok().json(batch.ledger.all_counts()),
        None => HttpResponse::InternalServerError().finish(),
    }
}
