//! The side of a model engine that takes orders.

use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use actix_web::{App, HttpRequest, HttpResponse, web};
use base::ids::Offset;
use base::settings::HumanDuration;
use base::stop::StopSignal;
use clients::orders::{FENCE, Order, Standing};
use serde::{Deserialize, Serialize};
use tokio::net::TcpListener;

/// Settings of the stand-in.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Where it listens.
    pub listen: SocketAddr,
    /// Whether an order with an old fencing number is refused.
    #[serde(default)]
    pub checks_fencing: bool,
    /// How long one load takes.
    #[serde(default)]
    pub load: HumanDuration,
}

/// What an engine was ordered; clones share it.
#[derive(Debug, Clone, Default)]
pub struct Record {
    inner: Arc<Mutex<Inner>>,
}

#[derive(Debug, Default)]
struct Inner {
    standing: Standing,
    /// The order that is being carried out, and when it is done.
    loading: Option<(Order, Instant)>,
    /// The highest fencing number that came.
    highest: u64,
    taken: Vec<(Offset, Order)>,
}

impl Record {
    /// The orders that were taken, with their fencing numbers.
    #[must_use]
    pub fn taken(&self) -> Vec<(Offset, Order)> {
        self.lock().taken.clone()
    }

    /// What the engine has now.
    #[must_use]
    pub fn standing(&self) -> Standing {
        self.lock().now()
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Inner {
    fn now(&mut self) -> Standing {
        if self
            .loading
            .as_ref()
            .is_some_and(|(_, at)| *at <= Instant::now())
            && let Some((order, _)) = self.loading.take()
        {
            self.finish(order);
        }
        Standing {
            loading: self.loading.is_some(),
            ..self.standing.clone()
        }
    }

    fn take(&mut self, fence: u64, order: Order, load: Duration) {
        self.now();
        self.highest = self.highest.max(fence);
        self.taken.push((Offset(fence), order.clone()));
        match order {
            Order::LoadVersion(_) | Order::LoadAdapter(_) => {
                self.loading = Some((order, Instant::now() + load));
            }
            Order::UnloadAdapter(_) | Order::ChangeRole(_) => self.finish(order),
        }
    }

    fn finish(&mut self, order: Order) {
        match order {
            Order::LoadVersion(version) => self.standing.version = version,
            Order::LoadAdapter(name) => {
                self.standing.adapters.insert(name);
            }
            Order::UnloadAdapter(name) => {
                self.standing.adapters.remove(&name);
            }
            Order::ChangeRole(role) => self.standing.role = role,
        }
    }
}

/// Takes orders until `stop` is asked.
///
/// # Errors
///
/// Returns the error when the stand-in cannot listen.
pub async fn run(settings: Settings, record: Record, stop: StopSignal) -> io::Result<()> {
    let listener = TcpListener::bind(settings.listen).await?;
    let app = App::new()
        .app_data((settings, record))
        .route("/v1/orders", web::get().to(standing))
        .route("/v1/orders", web::post().to(give));
    base::http::serve(listener, app, stop).await
}

async fn standing(http: HttpRequest) -> HttpResponse {
    let Some((_, record)) = http.app_data::<(Settings, Record)>() else {
        return HttpResponse::InternalServerError().finish();
    };
    HttpResponse::Ok().json(record.standing())
}

async fn give(http: HttpRequest, order: web::Json<Order>) -> HttpResponse {
    let Some((settings, record)) = http.app_data::<(Settings, Record)>() else {
        return HttpResponse::InternalServerError().finish();
    };
    let fence = http.headers().get(FENCE).and_then(|v| v.to_str().ok());
    let Some(fence) = fence.and_then(|v| v.parse().ok()) else {
        return HttpResponse::BadRequest().finish();
    };

    let mut inner = record.lock();
    if settings.checks_fencing && fence < inner.highest {
        return HttpResponse::Conflict().finish();
    }
    inner.take(fence, order.into_inner(), settings.load.0);
    HttpResponse::Accepted().finish()
}
