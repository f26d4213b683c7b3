//! Stand-in for the weight store, which rate-limits the permits to load weights.

use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Instant;

use actix_web::http::header::RETRY_AFTER;
use actix_web::{App, HttpRequest, HttpResponse, web};
use base::settings::HumanDuration;
use base::stop::StopSignal;
use serde::{Deserialize, Serialize};
use tokio::net::TcpListener;

use crate::control::FaultControl;

/// Settings of a weight store stand-in.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Address to listen on.
    pub listen: SocketAddr,
    /// Minimum time between two permits.
    #[serde(rename = "every")]
    pub permit_interval: HumanDuration,
    /// Initial faults; can be replaced with `PUT /faults`.
    #[serde(default)]
    pub faults: Faults,
}

/// Faults of the store.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Faults {
    /// Delay of each response.
    #[serde(rename = "slow")]
    pub response_delay: HumanDuration,
    /// Whether every permit request fails.
    pub outage: bool,
}

/// Granted permits and faults. Clones share the same state.
#[derive(Debug, Clone, Default)]
pub struct WeightStore {
    /// Faults; can be changed while the store runs.
    pub control: FaultControl<Faults>,
    granted: Arc<Mutex<Vec<(Instant, String)>>>,
}

impl WeightStore {
    /// Returns the versions and adapters that permits were granted for.
    #[must_use]
    pub fn granted(&self) -> Vec<String> {
        let granted = self.granted.lock().unwrap_or_else(PoisonError::into_inner);
        granted.iter().map(|(_, what)| what.clone()).collect()
    }
}

/// Serves permits until `stop` is triggered.
///
/// # Errors
///
/// Returns an error when the address cannot be bound or serving fails.
pub async fn run(settings: Settings, store: WeightStore, stop: StopSignal) -> io::Result<()> {
    let listener = TcpListener::bind(settings.listen).await?;
    store.control.change(|faults| *faults = settings.faults);
    let app = App::new()
        .app_data((settings, store))
        .route("/v1/permits/{what}", web::post().to(permit))
        .route("/faults", web::put().to(set_faults));
    base::http::serve(listener, app, stop).await
}

async fn permit(http: HttpRequest, what: web::Path<String>) -> HttpResponse {
    let Some((settings, store)) = http.app_data::<(Settings, WeightStore)>() else {
        return HttpResponse::InternalServerError().finish();
    };
    let faults = store.control.get();
    tokio::time::sleep(faults.response_delay.0).await;
    if faults.outage {
        return HttpResponse::ServiceUnavailable().finish();
    }

    let now = Instant::now();
    let mut granted = store.granted.lock().unwrap_or_else(PoisonError::into_inner);
    let next = granted
        .last()
        .map_or(now, |(at, _)| *at + settings.permit_interval.0);
    if now < next {
        // The `Retry-After` header holds whole seconds.
        let after = (next - now).as_secs();
        return HttpResponse::TooManyRequests()
            .insert_header((RETRY_AFTER, after.to_string()))
            .finish();
    }
    granted.push((now, what.into_inner()));
    HttpResponse::Ok().finish()
}

async fn set_faults(http: HttpRequest, faults: web::Json<Faults>) -> HttpResponse {
    let Some((_, store)) = http.app_data::<(Settings, WeightStore)>() else {
        return HttpResponse::InternalServerError().finish();
    };
    store.control.change(|f| *f = faults.into_inner());
    HttpResponse::NoContent().finish()
}
