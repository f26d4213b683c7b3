//! Stand-in for a plain service, some of whose calls must not be repeated.

use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use actix_web::{App, HttpRequest, HttpResponse, web};
use base::settings::HumanDuration;
use base::stop::StopSignal;
use bytes::Bytes;
use serde::{Deserialize, Serialize};
use tokio::net::TcpListener;
use tokio::task::LocalSet;

use crate::control::FaultControl;
use crate::ledger::{Ledger, RequestCounters};

/// Interval at which the stand-in checks whether to crash or to restart.
const CRASH_POLL: Duration = Duration::from_millis(5);

/// Settings of a plain service stand-in.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Address to listen on.
    pub listen: SocketAddr,
    /// Duration of a call.
    #[serde(default = "default_call_duration", rename = "work")]
    pub call_duration: HumanDuration,
    /// Initial faults; can be replaced with `PUT /faults`.
    #[serde(default)]
    pub faults: Faults,
}

/// Faults of a plain service.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Faults {
    /// Additional duration of each call.
    pub delay: HumanDuration,
    /// Whether the service is down: open connections are closed and new ones are
    /// refused.
    pub crashed: bool,
    /// Whether calls take effect but are never responded to.
    pub silent: bool,
}

fn default_call_duration() -> HumanDuration {
    HumanDuration::ms(5)
}

/// Fields of the request body that the stand-in reads.
#[derive(Debug, Deserialize)]
struct CallBody {
    #[serde(default)]
    mark: String,
}

struct PlainService {
    settings: Settings,
    faults: FaultControl<Faults>,
    ledger: Ledger,
}

/// Runs a plain service until `stop` is triggered.
///
/// # Errors
///
/// Returns an error when the service cannot bind its address.
pub async fn run(settings: Settings, ledger: Ledger, stop: StopSignal) -> io::Result<()> {
    let faults = FaultControl::new(settings.faults.clone());
    run_with(settings, faults, ledger, stop).await
}

/// Runs a plain service with the shared `faults` until `stop` is triggered.
///
/// # Errors
///
/// Returns an error when the service cannot bind its address.
pub async fn run_with(
    settings: Settings,
    faults: FaultControl<Faults>,
    ledger: Ledger,
    stop: StopSignal,
) -> io::Result<()> {
    loop {
        let listener = TcpListener::bind(settings.listen).await?;
        let service = Rc::new(PlainService {
            settings: settings.clone(),
            faults: faults.clone(),
            ledger: ledger.clone(),
        });
        let app = App::new()
            .app_data(service)
            .route("/faults", web::put().to(set_faults))
            .route("/ledger", web::get().to(show_ledger))
            .default_service(web::to(handle_call));

        // Dropping the task set closes the sockets as a crash would.
        let tasks = LocalSet::new();
        tokio::select! {
            ended = tasks.run_until(base::http::serve(listener, app, stop.clone())) => return ended,
            () = wait_for_crashed(&faults, true) => {}
        }
        drop(tasks);
        tokio::select! {
            () = wait_for_crashed(&faults, false) => {}
            () = stop.wait() => return Ok(()),
        }
    }
}

/// Waits until the fault `crashed` has the given value.
async fn wait_for_crashed(faults: &FaultControl<Faults>, crashed: bool) {
    while faults.get().crashed != crashed {
        tokio::time::sleep(CRASH_POLL).await;
    }
}

/// Executes a call and responds with its mark.
async fn handle_call(http: HttpRequest, body: Bytes) -> HttpResponse {
    let Some(service) = http.app_data::<Rc<PlainService>>().cloned() else {
        return HttpResponse::InternalServerError().finish();
    };
    let mark = serde_json::from_slice::<CallBody>(&body)
        .map(|b| b.mark)
        .unwrap_or_default();
    let counters = service.ledger.counters(&mark);
    let faults = service.faults.get();

    RequestCounters::add(&counters.runs, 1);
    tokio::time::sleep(service.settings.call_duration.0 + faults.delay.0).await;
    RequestCounters::add(&counters.completed_runs, 1);
    if faults.silent {
        std::future::pending::<()>().await;
    }
    HttpResponse::Ok().json(serde_json::json!({ "mark": mark, "done": true }))
}

/// Replaces the faults.
async fn set_faults(http: HttpRequest, body: web::Json<Faults>) -> HttpResponse {
    let Some(service) = http.app_data::<Rc<PlainService>>() else {
        return HttpResponse::InternalServerError().finish();
    };
    service.faults.change(|faults| *faults = body.into_inner());
    HttpResponse::NoContent().finish()
}

/// Serves the counts of all requests.
async fn show_ledger(http: HttpRequest) -> HttpResponse {
    match http.app_data::<Rc<PlainService>>() {
        Some(service) => HttpResponse::Ok().json(service.ledger.all_counts()),
        None => HttpResponse::InternalServerError().finish(),
    }
}
