//! The admin address of a daemon: health, status and metrics.
//!
//! It is separate from the address for callers, so that neither a burst of
//! calls nor the platform's load balancer reaches it by mistake.

use std::io;
use std::rc::Rc;

use actix_web::{App, HttpRequest, HttpResponse, web};
use serde::Serialize;
use tokio::net::TcpListener;

use crate::http::limits::Connections;
use crate::stop::StopSignal;
use crate::{http, telemetry};

/// The state of a daemon as its admin address reports it.
pub trait DaemonStatus {
    /// The body of `/status`, serialised as a JSON object.
    type Status: Serialize;

    /// The current state of the daemon.
    fn status(&self) -> Self::Status;

    /// Whether the daemon accepts new requests.
    fn ready(&self) -> bool;
}

/// Serves `/health/live`, `/health/ready`, `/status` and `/metrics` until
/// `stop` is triggered. Pass the signal for the end of the process rather
/// than the one for its drain, so that the drain stays observable.
///
/// # Errors
///
/// Returns an error when the HTTP service cannot be started.
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
    http::serve_limited(listener, app, stop, Connections::operators()).await
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

/// Returns the metrics of this daemon in the Prometheus text format.
pub async fn metrics() -> HttpResponse {
    HttpResponse::Ok()
        .content_type("text/plain; version=0.0.4")
        .body(telemetry::render())
}

/// Serves only `/metrics` until `stop` is triggered.
///
/// # Errors
///
/// Returns an error when the HTTP service cannot be started.
pub async fn serve_metrics(listener: TcpListener, stop: StopSignal) -> io::Result<()> {
    let app = App::new().route("/metrics", web::get().to(metrics));
    http::serve_limited(listener, app, stop, Connections::operators()).await
}
