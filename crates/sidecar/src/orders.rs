//! Ordering the engine to load what the bundle wants. See
//! docs/DECISIONS/0403-orders-and-fencing.md.

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

use crate::meter;
use crate::state::State;

/// The shortest random wait for a permit of the weight store, as doubled.
const PERMIT_FIRST: Duration = Duration::from_millis(250);

/// Claims read from the log in one call.
const PAGE: usize = 256;

/// How the engine is ordered to load what the bundle wants.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Where the engine takes orders.
    pub addr: SocketAddr,
    /// Where the platform serves its log.
    pub log: SocketAddr,
    /// Where the weight store gives permits, if it asks for any.
    #[serde(default)]
    pub weights: Option<SocketAddr>,
    /// The engine's name, equal for all sidecars that ever stand beside it.
    pub server: String,
    /// The model that the engine serves, as the bundle names it.
    pub model: String,
    /// How long a lease on the engine lasts.
    #[serde(default = "default_lease")]
    pub lease: HumanDuration,
    /// How often what is loaded is compared with the bundle.
    #[serde(default = "default_every")]
    pub every: HumanDuration,
    /// The longest wait for a permit before what is loaded is compared anew.
    #[serde(default = "default_wait")]
    pub wait: HumanDuration,
}

fn default_lease() -> HumanDuration {
    HumanDuration::secs(15)
}

fn default_every() -> HumanDuration {
    HumanDuration::secs(1)
}

fn default_wait() -> HumanDuration {
    HumanDuration::secs(60)
}

/// Gives one engine its orders, at most one sidecar at a time.
pub struct Keeper {
    settings: Settings,
    /// This life of this sidecar, as claims name it.
    holder: String,
    clock: Rc<dyn Clock>,
    log: LogClient,
    engine: OrdersClient,
    weights: Option<WeightStoreClient>,
    lease: Option<Lease>,
    /// The highest fencing number that was seen in the log.
    highest: Offset,
}

/// What a round came to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Round {
    /// Nothing is to be done, or the engine is at it.
    Idle,
    /// An order was given.
    Given,
    /// Another sidecar holds the lease.
    NotHolder,
    /// The lease lapsed before the order.
    Lapsed,
    /// The weight store gave no permit in time.
    NoPermit,
    /// The log, or the engine, did not answer.
    Failed,
    /// The engine refused the order or its number.
    Refused,
}

/// A claim as it stands in the log.
#[derive(Debug, Serialize, Deserialize)]
struct Body {
    holder: String,
    ttl_ms: u64,
}

/// A claim that was read from the log.
struct Record {
    offset: Offset,
    time_ms: u64,
    body: Body,
}

impl Record {
    /// Reads a record; one that is no claim is passed over.
    fn parse(entry: &log::Record) -> Option<Self> {
        Some(Self {
            offset: entry.offset,
            time_ms: entry.time_ms,
            body: serde_json::from_str(&entry.body).ok()?,
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

impl Keeper {
    /// Makes the keeper of one engine. `holder` names this life of the
    /// sidecar, so that a new life never takes an old one's lease for its own.
    #[must_use]
    pub fn new(settings: Settings, holder: String, clock: Rc<dyn Clock>) -> Self {
        Self {
            log: LogClient::new(settings.log),
            engine: OrdersClient::new(settings.addr),
            weights: settings.weights.map(WeightStoreClient::new),
            settings,
            holder,
            clock,
            lease: None,
            highest: Offset::default(),
        }
    }

    /// Takes one step towards what is `wanted`.
    pub async fn round(&mut self, wanted: &LoadedModel) -> Round {
        let Ok(standing) = self.engine.state().await else {
            return Round::Failed;
        };
        let is = LoadedModel {
            version: standing.version,
            adapters: standing.adapters,
        };
        let step = loading::next_step(wanted, &is).filter(|_| !standing.loading);
        let Some(step) = step else {
            return Round::Idle;
        };

        // The lease goes first, or a sidecar that may not order anything
        // would take a permit from one that may.
        if let Err(round) = self.hold().await {
            return round;
        }
        if !self.permit(&step).await {
            return Round::NoPermit;
        }
        // The wait may have outlasted the lease.
        if let Err(round) = self.hold().await {
            return round;
        }
        self.give(&order(step)).await
    }

    /// Gives an order, if the lease still holds at this moment.
    ///
    /// Some engines take an order whatever its number. For these the check
    /// here is all that keeps a holder that was paused from undoing what its
    /// successor ordered, so nothing may be waited for between the two.
    async fn give(&mut self, order: &Order) -> Round {
        let fence = self.lease.and_then(|l| l.fencing_token(self.clock.now()));
        let Some(fence) = fence.filter(|fence| *fence >= self.highest) else {
            return Round::Lapsed;
        };
        match self.engine.send(order, fence).await {
            Ok(()) => {
                let order = format!("{order:?}");
                info!("order given", kv: { server = self.settings.server.as_str(), fence = fence.0, order = order.as_str() });
                Round::Given
            }
            Err(e) => {
                warn!("order failed", kv: { server = self.settings.server.as_str(), error = e.to_string().as_str() });
                match e {
                    clients::orders::Error::StaleFence { .. }
                    | clients::orders::Error::Refused { .. } => Round::Refused,
                    // Whether it was taken shows in what the engine has.
                    _ => Round::Failed,
                }
            }
        }
    }

    /// Makes sure of the lease, claiming it anew if it is about to lapse.
    async fn hold(&mut self) -> Result<(), Round> {
        let now = self.clock.now();
        if self
            .lease
            .is_some_and(|l| l.fencing_token(now).is_some() && !l.needs_renewal(now))
        {
            return Ok(());
        }
        self.lease = self.claim().await.map_err(|_| Round::Failed)?;
        self.lease.map(|_| ()).ok_or(Round::NotHolder)
    }

    /// Claims the lease in the log and reads whose it is.
    async fn claim(&mut self) -> Result<Option<Lease>, log::Error> {
        let stream = format!("orders-{}", self.settings.server);
        // A claim while another's lease lasts is in vain, and the log takes
        // only so many appends.
        let (now_ms, claims) = self.read(&stream).await?;
        let taken = |held: &LeaseClaim| held.holder != self.holder && held.expires_ms() > now_ms;
        if current_claim(claims.iter().map(Record::claim)).is_some_and(|held| taken(&held)) {
            return Ok(None);
        }

        let ttl = self.settings.lease.0;
        let body = Body {
            holder: self.holder.clone(),
            ttl_ms: u64::try_from(ttl.as_millis()).unwrap_or(u64::MAX),
        };
        let body = serde_json::to_string(&body).unwrap_or_default();
        let id = format!("{:032x}", rand::random::<u128>());
        let sent = self.clock.now();
        self.log.append(&stream, &id, &body).await?;

        let (_, claims) = self.read(&stream).await?;
        let Some(held) = current_claim(claims.iter().map(Record::claim)) else {
            return Ok(None);
        };
        self.highest = self.highest.max(held.offset);
        let mine = held.holder == self.holder;
        Ok(mine.then(|| Lease::new(held.offset, sent, ttl)))
    }

    /// All claims that the log still has, and its time.
    async fn read(&self, stream: &str) -> Result<(u64, Vec<Record>), log::Error> {
        let mut claims = Vec::new();
        let mut from = Offset::default();
        loop {
            let page = self.log.read(stream, from, PAGE, Duration::ZERO).await?;
            let Some(last) = page.records.last() else {
                return Ok((page.now_ms, claims));
            };
            from = Offset(last.offset.0 + 1);
            claims.extend(page.records.iter().filter_map(Record::parse));
            if from >= page.end_offset {
                return Ok((page.now_ms, claims));
            }
        }
    }

    /// Waits for the weight store's permit, where a step needs one.
    async fn permit(&self, step: &LoadStep) -> bool {
        let (Some(weights), LoadStep::LoadVersion(what) | LoadStep::LoadAdapter(what)) =
            (&self.weights, step)
        else {
            return true;
        };
        let began = self.clock.now();
        let mut attempt = 0;
        loop {
            let after = match weights.request_permit(what).await {
                PermitResponse::Granted => return true,
                PermitResponse::RetryAfter(after) => after,
                PermitResponse::Unavailable => Duration::ZERO,
            };
            attempt += 1;
            meter::weight_wait();
            let wait = backoff::delay(attempt, PERMIT_FIRST, after, rand::random());
            if self.clock.now() + wait > began + self.settings.wait.0 {
                return false;
            }
            tokio::time::sleep(wait).await;
        }
    }
}

fn order(step: LoadStep) -> Order {
    match step {
        LoadStep::LoadVersion(version) => Order::LoadVersion(version),
        LoadStep::LoadAdapter(adapter) => Order::LoadAdapter(adapter),
        LoadStep::UnloadAdapter(adapter) => Order::UnloadAdapter(adapter),
    }
}

impl Round {
    /// The word used in labels.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Idle => "idle",
            Self::Given => "given",
            Self::NotHolder => "not_holder",
            Self::Lapsed => "lapsed",
            Self::NoPermit => "no_permit",
            Self::Failed => "failed",
            Self::Refused => "refused",
        }
    }
}

/// Keeps the engine at what the bundle in force wants.
pub struct Ordering {
    state: Rc<State>,
    settings: Settings,
}

impl Ordering {
    /// Makes the actor for the engine that `settings` name.
    #[must_use]
    pub fn new(state: Rc<State>, settings: Settings) -> Self {
        Self { state, settings }
    }
}

impl Actor for Ordering {
    type Context = Context<Self>;

    fn started(&mut self, ctx: &mut Self::Context) {
        let (state, settings) = (Rc::clone(&self.state), self.settings.clone());
        let holder = format!("{}-{}", state.settings.name, state.incarnation);
        let clock = Rc::clone(&state.clock);
        let mut keeper = Keeper::new(settings.clone(), holder, clock);
        let rounds = async move {
            loop {
                if let Some(wanted) = wanted(&state, &settings.model) {
                    meter::order(keeper.round(&wanted).await);
                }
                let every = settings.every.0.mul_f64(rand::random_range(0.75..1.25));
                tokio::time::sleep(every).await;
            }
        };
        ctx.spawn(rounds.into_actor(self));
    }
}

/// What the bundle in force wants the engine to have. Nothing while the
/// sidecar drains: its successor goes on.
fn wanted(state: &State, model: &str) -> Option<LoadedModel> {
    if state.load().draining {
        return None;
    }
    let bundle = state.spread.held.bundle()?;
    let pool = bundle.models.get(model)?;
    Some(LoadedModel {
        version: pool.version.clone(),
        adapters: pool.adapters.clone(),
    })
}
