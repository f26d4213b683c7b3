//! The operators' address of a daemon: health, status and metrics.
//!
//! It stands apart from the callers' address, so that neither a burst of
//! callers nor the platform's balancer can reach it by mistake.

use std::io;
use std::rc::Rc;

use actix_web::{App, HttpRequest, HttpResponse, web};
use serde::Serialize;
use tokio::net::TcpListener;

use crate::stop::StopSignal;
use crate::{http, telemetry};

/// What a daemon shows its operators.
pub trait DaemonStatus {
    /// The daemon's own view, as a JSON object.
    type Status: Serialize;

    /// What the daemon believes right now.
    fn status(&self) -> Self::Status;

    /// Whether the daemon takes new requests.
    fn ready(&self) -> bool;
}

/// Serves `/health/live`, `/health/ready`, `/status` and `/metrics` until
/// `stop` is asked. Handed the flag of the process's very end, not that of
/// its drain, it goes on showing the drain.
///
/// # Errors
///
/// Returns the error when the address cannot be served.
pub async fn serve<T: DaemonStatus + 'static>(
    listener: TcpListener,
    daemon: Rc<T>,
    stop: StopSignal,
) -> io::Result<()> {
    let app = App::new()
        .app_data(daemon)
        .route("/health/live", web::get().to(live))
        .route("/health/ready", web::get().to(ready::<T>))
        .route("/status", web::get().to(status::<T>))
        .route("/metrics", web::get().to(metrics));
    http::serve(listener, app, stop).await
}

async fn live() -> &'static str {
    "live\n"
}

async fn ready<T: DaemonStatus + 'static>(http: HttpRequest) -> HttpResponse {
    let ready = http
        .app_data::<Rc<T>>()
        .is_some_and(|daemon| daemon.ready());
    if !ready {
        return HttpResponse::ServiceUnavailable().body("not ready\n");
    }
    HttpResponse::Ok().body("ready\n")
}

async fn status<T: DaemonStatus + 'static>(http: HttpRequest) -> HttpResponse {
    let Some(daemon) = http.app_data::<Rc<T>>() else {
        return HttpResponse::InternalServerError().finish();
    };
    HttpResponse::Ok().json(daemon.status())
}

/// Answers what this daemon has counted.
pub async fn metrics() -> HttpResponse {
    HttpResponse::Ok()
        .content_type("text/plain; version=0.0.4")
        .body(telemetry::render())
}

/// Serves `/metrics` alone until `stop` is asked.
///
/// # Errors
///
/// Returns the error when the address cannot be served.
pub async fn serve_metrics(listener: TcpListener, stop: StopSignal) -> io::Result<()> {
    let app = App::new().route("/metrics", web::get().to(metrics));
    http::serve(listener, app, stop).await
}
