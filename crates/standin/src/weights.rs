//! The weight store, which limits how many loads may begin.

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

/// Settings of the weight store's stand-in.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Where it listens.
    pub listen: SocketAddr,
    /// Time between two permits.
    #[serde(rename = "every")]
    pub permit_interval: HumanDuration,
    /// What is wrong from the start.
    #[serde(default)]
    pub faults: Faults,
}

/// What is wrong with the store.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Faults {
    /// How long each answer takes.
    #[serde(rename = "slow")]
    pub response_delay: HumanDuration,
    /// Whether permit_interval call fails.
    pub outage: bool,
}

/// The permits granted; clones share them.
#[derive(Debug, Clone, Default)]
pub struct WeightStore {
    /// What is wrong, changed while it runs.
    pub control: FaultControl<Faults>,
    granted: Arc<Mutex<Vec<(Instant, String)>>>,
}

impl WeightStore {
    /// What was permitted so far.
    #[must_use]
    pub fn granted(&self) -> Vec<String> {
        let granted = self.granted.lock().unwrap_or_else(PoisonError::into_inner);
        granted.iter().map(|(_, what)| what.clone()).collect()
    }
}

/// Gives permits until `stop` is asked.
///
/// # Errors
///
/// Returns the error when the store cannot listen.
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
        // Whole seconds are all that the header can say.
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
