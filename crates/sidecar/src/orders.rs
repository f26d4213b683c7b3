//! Orders the engine to load the model version and adapters that the bundle
//! specifies. See docs/DECISIONS/0403-orders-and-fencing.md.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use actix::{Actor, AsyncContext, Context, WrapFuture};
use base::clock::Clock;
use base::ids::Offset;
use base::settings::HumanDuration;
use clients::log::{self, LogClient};
use clients::orders::{Order, OrdersClient};
use clients::weights::{PermitResponse, WeightStoreClient};
use policy::backoff;
use policy::lease::{Lease, LeaseClaim, current_claim};
use policy::loading::{self, LoadStep, LoadedModel};
use serde::{Deserialize, Serialize};
use spdlog::{info, warn};

use crate::metrics;
use crate::state::State;

/// Base of the exponential backoff between requests for a weight store permit.
const PERMIT_BACKOFF_BASE: Duration = Duration::from_millis(250);

/// Maximum number of records read from the log in one call.
const CLAIMS_PER_PAGE: usize = 256;

/// How the engine is ordered to load the model and adapters that the bundle
/// specifies.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// The address at which the engine accepts orders.
    pub addr: SocketAddr,
    /// The address of the platform's log.
    pub log: SocketAddr,
    /// The address of the weight store, if loading requires its permits.
    #[serde(rename = "weights", default)]
    pub weight_store: Option<SocketAddr>,
    /// The engine's name; all sidecars that ever run for this engine use the same.
    pub server: String,
    /// The model that the engine serves, by its name in the bundle.
    pub model: String,
    /// The duration of a lease on the engine.
    #[serde(default = "default_lease")]
    pub lease: HumanDuration,
    /// The mean interval between comparisons of the engine with the bundle.
    #[serde(rename = "every", default = "default_check_interval")]
    pub check_interval: HumanDuration,
    /// How long to wait for a permit before comparing the engine with the bundle
    /// again.
    #[serde(rename = "wait", default = "default_permit_timeout")]
    pub permit_timeout: HumanDuration,
}

fn default_lease() -> HumanDuration {
    HumanDuration::secs(15)
}

fn default_check_interval() -> HumanDuration {
    HumanDuration::secs(1)
}

fn default_permit_timeout() -> HumanDuration {
    HumanDuration::secs(60)
}

/// Brings one engine to the desired state by orders. A lease ensures that only
/// one sidecar at a time gives orders to an engine.
pub struct LoadReconciler {
    settings: Settings,
    /// Identifies this sidecar process in claims.
    holder: String,
    clock: Rc<dyn Clock>,
    log: LogClient,
    engine: OrdersClient,
    weight_store: Option<WeightStoreClient>,
    lease: Option<Lease>,
    /// The highest fencing token that was seen in the log.
    highest_token: Offset,
}

/// The outcome of one reconciliation.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReconcileOutcome {
    /// There is nothing to do, or the engine is still loading.
    Idle,
    /// The engine accepted an order.
    OrderSent,
    /// Another sidecar holds the lease.
    NotHolder,
    /// The lease expired before the order was sent.
    LeaseExpired,
    /// The weight store granted no permit in time.
    NoPermit,
    /// A request to the log or to the engine failed.
    Failed,
    /// The engine refused the order or its fencing token.
    Refused,
}

/// The body of a claim in the log.
#[derive(Debug, Serialize, Deserialize)]
struct ClaimBody {
    holder: String,
    ttl_ms: u64,
}

/// A claim record that was read from the log.
struct ClaimRecord {
    offset: Offset,
    time_ms: u64,
    body: ClaimBody,
}

impl ClaimRecord {
    /// Parses a log record; returns `None` if it is not a claim.
    fn parse(log_entry: &log::Record) -> Option<Self> {
        Some(Self {
            offset: log_entry.offset,
            time_ms: log_entry.time_ms,
            body: serde_json::from_str(&log_entry.body).ok()?,
        })
    }

    fn claim(&self) -> LeaseClaim<'_> {
        LeaseClaim {
            offset: self.offset,
            time_ms: self.time_ms,
            holder: &self.body.holder,
            ttl_ms: self.body.ttl_ms,
        }
    }
}

impl LoadReconciler {
    /// Creates the reconciler of one engine. `holder` identifies this process, so
    /// that a restarted sidecar never mistakes the lease of its previous
    /// incarnation for its own.
    #[must_use]
    pub fn new(settings: Settings, holder: String, clock: Rc<dyn Clock>) -> Self {
        Self {
            log: LogClient::new(settings.log),
            engine: OrdersClient::new(settings.addr),
            weight_store: settings.weight_store.map(WeightStoreClient::new),
            settings,
            holder,
            clock,
            lease: None,
            highest_token: Offset::default(),
        }
    }

    /// Orders the next step from the engine's current state to the `desired` one.
    pub async fn reconcile(&mut self, desired: &LoadedModel) -> ReconcileOutcome {
        let Ok(status) = self.engine.state().await else {
            return ReconcileOutcome::Failed;
        };
        let current = LoadedModel {
            version: status.version,
            adapters: status.adapters,
        };
        let step = loading::next_step(desired, &current).filter(|_| !status.loading);
        let Some(step) = step else {
            return ReconcileOutcome::Idle;
        };

        // The lease comes before the permit. Otherwise a sidecar that may not
        // give orders could use up the permit of the one that may.
        if let Err(outcome) = self.ensure_lease().await {
            return outcome;
        }
        if !self.acquire_permit(&step).await {
            return ReconcileOutcome::NoPermit;
        }
        // The lease may have expired during the wait for the permit.
        if let Err(outcome) = self.ensure_lease().await {
            return outcome;
        }
        self.send_order(&to_order(step)).await
    }

    /// Sends an order if the lease is still valid.
    ///
    /// Some engines ignore fencing tokens. With these, only this check prevents a
    /// holder that was paused from undoing its successor's orders, so there must
    /// be no wait between the check and the order.
    async fn send_order(&mut self, order: &Order) -> ReconcileOutcome {
        let fencing_token = self.lease.and_then(|l| l.fencing_token(self.clock.now()));
        let Some(fencing_token) = fencing_token.filter(|token| *token >= self.highest_token) else {
            return ReconcileOutcome::LeaseExpired;
        };
        match self.engine.send(order, fencing_token).await {
            Ok(()) => {
                let order = format!("{order:?}");
                info!("order sent to engine", kv: { server = self.settings.server.as_str(), fence = fencing_token.0, order = order.as_str() });
                ReconcileOutcome::OrderSent
            }
            Err(e) => {
                warn!("order failed", kv: { server = self.settings.server.as_str(), error = e.to_string().as_str() });
                match e {
                    clients::orders::Error::StaleFence { .. }
                    | clients::orders::Error::Refused { .. } => ReconcileOutcome::Refused,
                    // The order may have been accepted; the engine's state
                    // shows that at the next reconciliation.
                    _ => ReconcileOutcome::Failed,
                }
            }
        }
    }

    /// Ensures that this process holds the lease, and renews it when it is due.
    async fn ensure_lease(&mut self) -> Result<(), ReconcileOutcome> {
        let now = self.clock.now();
        if self
            .lease
            .is_some_and(|l| l.fencing_token(now).is_some() && !l.needs_renewal(now))
        {
            return Ok(());
        }
        self.lease = self
            .claim_lease()
            .await
            .map_err(|_| ReconcileOutcome::Failed)?;
        self.lease.map(|_| ()).ok_or(ReconcileOutcome::NotHolder)
    }

    /// Claims the lease in the log, then reads the log to see who holds it.
    async fn claim_lease(&mut self) -> Result<Option<Lease>, log::Error> {
        let stream = format!("orders-{}", self.settings.server);
        // A claim has no effect while another holder's lease is valid, and
        // appends to the log are limited.
        let (now_ms, claims) = self.read_claims(&stream).await?;
        let held_by_other =
            |held: &LeaseClaim| held.holder != self.holder && held.expires_ms() > now_ms;
        if current_claim(claims.iter().map(ClaimRecord::claim))
            .is_some_and(|held| held_by_other(&held))
        {
            return Ok(None);
        }

        let ttl = self.settings.lease.0;
        let body = ClaimBody {
            holder: self.holder.clone(),
            ttl_ms: u64::try_from(ttl.as_millis()).unwrap_or(u64::MAX),
        };
        let body = serde_json::to_string(&body).unwrap_or_default();
        let id = format!("{:032x}", rand::random::<u128>());
        let sent_at = self.clock.now();
        self.log.append(&stream, &id, &body).await?;

        let (_, claims) = self.read_claims(&stream).await?;
        let Some(held) = current_claim(claims.iter().map(ClaimRecord::claim)) else {
            return Ok(None);
        };
        self.highest_token = self.highest_token.max(held.offset);
        let is_own = held.holder == self.holder;
        Ok(is_own.then(|| Lease::new(held.offset, sent_at, ttl)))
    }

    /// The log's current time in milliseconds and all claims it still has.
    async fn read_claims(&self, stream: &str) -> Result<(u64, Vec<ClaimRecord>), log::Error> {
        let mut claims = Vec::new();
        let mut from = Offset::default();
        loop {
            let page = self
                .log
                .read(stream, from, CLAIMS_PER_PAGE, Duration::ZERO)
                .await?;
            let Some(last) = page.records.last() else {
                return Ok((page.now_ms, claims));
            };
            from = Offset(last.offset.0 + 1);
            claims.extend(page.records.iter().filter_map(ClaimRecord::parse));
            if from >= page.end_offset {
                return Ok((page.now_ms, claims));
            }
        }
    }

    /// Waits for the weight store's permit, if the step needs one; returns whether
    /// the step may proceed.
    async fn acquire_permit(&self, step: &LoadStep) -> bool {
        let (Some(weights), LoadStep::LoadVersion(name) | LoadStep::LoadAdapter(name)) =
            (&self.weight_store, step)
        else {
            return true;
        };
        let started_at = self.clock.now();
        let mut attempt = 0;
        loop {
            let retry_after = match weights.request_permit(name).await {
                PermitResponse::Granted => return true,
                PermitResponse::RetryAfter(retry_after) => retry_after,
                PermitResponse::Unavailable => Duration::ZERO,
            };
            attempt += 1;
            metrics::permit_wait();
            let wait = backoff::delay(attempt, PERMIT_BACKOFF_BASE, retry_after, rand::random());
            if self.clock.now() + wait > started_at + self.settings.permit_timeout.0 {
                return false;
            }
            tokio::time::sleep(wait).await;
        }
    }
}

fn to_order(step: LoadStep) -> Order {
    match step {
        LoadStep::LoadVersion(version) => Order::LoadVersion(version),
        LoadStep::LoadAdapter(adapter) => Order::LoadAdapter(adapter),
        LoadStep::UnloadAdapter(adapter) => Order::UnloadAdapter(adapter),
    }
}

impl ReconcileOutcome {
    /// The value of the `outcome` label in metrics.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Idle => "idle",
            Self::OrderSent => "given",
            Self::NotHolder => "not_holder",
            Self::LeaseExpired => "lapsed",
            Self::NoPermit => "no_permit",
            Self::Failed => "failed",
            Self::Refused => "refused",
        }
    }
}

/// The actor that repeatedly reconciles the engine with the bundle in force.
pub struct ReconcileLoop {
    state: Rc<State>,
    settings: Settings,
}

impl ReconcileLoop {
    /// Creates the actor for the engine in `settings`.
    #[must_use]
    pub fn new(state: Rc<State>, settings: Settings) -> Self {
        Self { state, settings }
    }
}

impl Actor for ReconcileLoop {
    type Context = Context<Self>;

    fn started(&mut self, ctx: &mut Self::Context) {
        let (state, settings) = (Rc::clone(&self.state), self.settings.clone());
        let holder = format!("{}-{}", state.settings.name, state.incarnation);
        let clock = Rc::clone(&state.clock);
        let mut reconciler = LoadReconciler::new(settings.clone(), holder, clock);
        let reconcile_loop = async move {
            loop {
                if let Some(desired) = desired_model(&state, &settings.model) {
                    metrics::reconciled(reconciler.reconcile(&desired).await);
                }
                let delay = settings
                    .check_interval
                    .0
                    .mul_f64(rand::random_range(0.75..1.25));
                tokio::time::sleep(delay).await;
            }
        };
        ctx.spawn(reconcile_loop.into_actor(self));
    }
}

/// The model version and adapters that the bundle in force specifies for the
/// engine. `None` while the sidecar drains, since its successor takes over.
fn desired_model(state: &State, model: &str) -> Option<LoadedModel> {
    if state.load().draining {
        return None;
    }
    let bundle = state.bundle_sync.active.bundle()?;
    let pool = bundle.models.get(model)?;
    Some(LoadedModel {
        version: pool.version.clone(),
        adapters: pool.adapters.clone(),
    })
}
