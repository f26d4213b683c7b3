//! Stand-in for the HTTP interface at which a model engine accepts orders.

use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use actix_web::{App, HttpRequest, HttpResponse, web};
use base::ids::Offset;
use base::settings::HumanDuration;
use base::stop::StopSignal;
use clients::orders::{EngineState, FENCING_HEADER, Order};
use serde::{Deserialize, Serialize};
use tokio::net::TcpListener;

/// Settings of an order stand-in.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Address to listen on.
    pub listen: SocketAddr,
    /// Whether an order with a stale fencing token is rejected.
    #[serde(default)]
    pub checks_fencing: bool,
    /// Duration of a load.
    #[serde(default, rename = "load")]
    pub load_time: HumanDuration,
}

/// Accepted orders and their effect on the engine. Clones share the same state.
#[derive(Debug, Clone, Default)]
pub struct OrderState {
    inner: Arc<Mutex<Inner>>,
}

#[derive(Debug, Default)]
struct Inner {
    engine_state: EngineState,
    /// Load in progress, and the time at which it completes.
    loading: Option<(Order, Instant)>,
    /// Highest fencing token that was accepted.
    highest_fence: u64,
    accepted: Vec<(Offset, Order)>,
}

impl OrderState {
    /// Returns the accepted orders with their fencing tokens, in order of arrival.
    #[must_use]
    pub fn accepted(&self) -> Vec<(Offset, Order)> {
        self.lock().accepted.clone()
    }

    /// Returns the current state of the engine.
    #[must_use]
    pub fn engine_state(&self) -> EngineState {
        self.lock().refresh()
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Inner {
    /// Completes a load that is due and returns the current state.
    fn refresh(&mut self) -> EngineState {
        if self
            .loading
            .as_ref()
            .is_some_and(|(_, at)| *at <= Instant::now())
            && let Some((order, _)) = self.loading.take()
        {
            self.finish(order);
        }
        EngineState {
            loading: self.loading.is_some(),
            ..self.engine_state.clone()
        }
    }

    /// Records an accepted order and executes it or starts its load.
    fn apply(&mut self, fence: u64, order: Order, load: Duration) {
        self.refresh();
        self.highest_fence = self.highest_fence.max(fence);
        self.accepted.push((Offset(fence), order.clone()));
        match order {
            Order::LoadVersion(_) | Order::LoadAdapter(_) => {
                self.loading = Some((order, Instant::now() + load));
            }
            Order::UnloadAdapter(_) | Order::ChangeRole(_) => self.finish(order),
        }
    }

    /// Changes the state as the order requires.
    fn finish(&mut self, order: Order) {
        match order {
            Order::LoadVersion(version) => self.engine_state.version = version,
            Order::LoadAdapter(name) => {
                self.engine_state.adapters.insert(name);
            }
            Order::UnloadAdapter(name) => {
                self.engine_state.adapters.remove(&name);
            }
            Order::ChangeRole(role) => self.engine_state.role = role,
        }
    }
}

/// Serves orders until `stop` is triggered.
///
/// # Errors
///
/// Returns an error when the address cannot be bound or serving fails.
pub async fn run(settings: Settings, order_state: OrderState, stop: StopSignal) -> io::Result<()> {
    let listener = TcpListener::bind(settings.listen).await?;
    let app = App::new()
        .app_data((settings, order_state))
        .route("/v1/orders", web::get().to(engine_state))
        .route("/v1/orders", web::post().to(accept_order));
    base::http::serve(listener, app, stop).await
}

async fn engine_state(http: HttpRequest) -> HttpResponse {
    let Some((_, order_state)) = http.app_data::<(Settings, OrderState)>() else {
        return HttpResponse::InternalServerError().finish();
    };
    HttpResponse::Ok().json(order_state.engine_state())
}

async fn accept_order(http: HttpRequest, order: web::Json<Order>) -> HttpResponse {
    let Some((settings, order_state)) = http.app_data::<(Settings, OrderState)>() else {
        return HttpResponse::InternalServerError().finish();
    };
    let fence = http
        .headers()
        .get(FENCING_HEADER)
        .and_then(|v| v.to_str().ok());
    let Some(fence) = fence.and_then(|v| v.parse().ok()) else {
        return HttpResponse::BadRequest().finish();
    };

    let mut inner = order_state.lock();
    if settings.checks_fencing && fence < inner.highest_fence {
        return HttpResponse::Conflict().finish();
    }
    inner.apply(fence, order.into_inner(), settings.load_time.0);
    HttpResponse::Accepted().finish()
}
