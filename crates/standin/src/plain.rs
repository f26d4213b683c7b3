//! A plain service, some of whose calls may not be repeated.

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

use crate::control::Control;
use crate::ledger::{Account, Ledger};

/// How often a stand-in looks whether it should crash or come back.
const CRASH_POLL: Duration = Duration::from_millis(5);

/// Settings of a plain service's stand-in.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Where it listens.
    pub listen: SocketAddr,
    /// How long one call takes.
    #[serde(default = "default_work")]
    pub work: HumanDuration,
    /// Faults from the start on; changed by `PUT /faults`.
    #[serde(default)]
    pub faults: Faults,
}

/// What is wrong with a plain service.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Faults {
    /// Time that each call takes beyond its work.
    pub delay: HumanDuration,
    /// Whether it is down: connections are dropped and refused.
    pub crashed: bool,
    /// Whether calls take effect while their answers never come.
    pub silent: bool,
}

fn default_work() -> HumanDuration {
    HumanDuration::ms(5)
}

/// What the stand-in reads of a call.
#[derive(Debug, Deserialize)]
struct Body {
    #[serde(default)]
    mark: String,
}

struct Plain {
    settings: Settings,
    faults: Control<Faults>,
    ledger: Ledger,
}

/// Runs a plain service until `stop` is asked.
///
/// # Errors
///
/// Returns the error when the service cannot listen.
pub async fn run(settings: Settings, ledger: Ledger, stop: StopSignal) -> io::Result<()> {
    let faults = Control::new(settings.faults.clone());
    run_with(settings, faults, ledger, stop).await
}

/// Runs a plain service whose faults are changed by `faults` until `stop` is
/// asked.
///
/// # Errors
///
/// Returns the error when the service cannot listen.
pub async fn run_with(
    settings: Settings,
    faults: Control<Faults>,
    ledger: Ledger,
    stop: StopSignal,
) -> io::Result<()> {
    loop {
        let listener = TcpListener::bind(settings.listen).await?;
        let plain = Rc::new(Plain {
            settings: settings.clone(),
            faults: faults.clone(),
            ledger: ledger.clone(),
        });
        let app = App::new()
            .app_data(plain)
            .route("/faults", web::put().to(set_faults))
            .route("/ledger", web::get().to(show_ledger))
            .default_service(web::to(call));

        // Dropping the life's tasks closes its sockets as a crash would.
        let life = LocalSet::new();
        tokio::select! {
            ended = life.run_until(base::http::serve(listener, app, stop.clone())) => return ended,
            () = until(&faults, true) => {}
        }
        drop(life);
        tokio::select! {
            () = until(&faults, false) => {}
            () = stop.wait() => return Ok(()),
        }
    }
}

/// Waits until the service should be down, or up again.
async fn until(faults: &Control<Faults>, crashed: bool) {
    while faults.get().crashed != crashed {
        tokio::time::sleep(CRASH_POLL).await;
    }
}

/// Does the call's work and answers with its mark.
async fn call(http: HttpRequest, body: Bytes) -> HttpResponse {
    let Some(plain) = http.app_data::<Rc<Plain>>().cloned() else {
        return HttpResponse::InternalServerError().finish();
    };
    let mark = serde_json::from_slice::<Body>(&body)
        .map(|b| b.mark)
        .unwrap_or_default();
    let account = plain.ledger.account(&mark);
    let faults = plain.faults.get();

    Account::add(&account.runs, 1);
    tokio::time::sleep(plain.settings.work.0 + faults.delay.0).await;
    Account::add(&account.ended, 1);
    if faults.silent {
        std::future::pending::<()>().await;
    }
    HttpResponse::Ok().json(serde_json::json!({ "mark": mark, "done": true }))
}

/// Changes the faults.
async fn set_faults(http: HttpRequest, body: web::Json<Faults>) -> HttpResponse {
    let Some(plain) = http.app_data::<Rc<Plain>>() else {
        return HttpResponse::InternalServerError().finish();
    };
    plain.faults.change(|faults| *faults = body.into_inner());
    HttpResponse::NoContent().finish()
}

/// Gives out what the stand-in saw.
async fn show_ledger(http: HttpRequest) -> HttpResponse {
    match http.app_data::<Rc<Plain>>() {
        Some(plain) => HttpResponse::Ok().json(plain.ledger.all()),
        None => HttpResponse::InternalServerError().finish(),
    }
}
