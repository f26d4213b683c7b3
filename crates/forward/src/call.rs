//! One call, and getting it to run.
//!
//! - `attempt`: sending the call to the chosen server.
//! - `place`: choosing a server, and when the call may go there.
//! - `answer`: taking what comes back.

mod answer;
mod attempt;
mod place;

use std::cell::{Cell, OnceCell};
use std::rc::Rc;
use std::time::{Duration, Instant};

use base::ids::Tier;
use base::reason::Refusal;
use bytes::Bytes;
use http::{HeaderMap, Method, Uri};
use policy::balance::ServerRecord;
use policy::pools::{IncomingCall, Phase};
use policy::routes::{Access, CallKind, Catalog, Route, Workspace};
use policy::suspects::Fingerprint;
use policy::urgency;
use policy::wait_estimate;
use rand::RngExt;
use spdlog::info;

use answer::is_valid_success;

use crate::crashes;
use crate::exchange::{ResponseBody, SendError};
use crate::platform::CallHeaders;
use crate::reply::{LocalReply, Reply};
use crate::state::{OpenCall, State};

/// When to come back if no server takes the call: servers that were replaced
/// are known about so long after.
const NO_SERVER_RETRY: Duration = Duration::from_millis(400);

/// When to come back if the server was full: a slot falls free about that
/// often on a busy server.
const SERVERS_FULL_RETRY: Duration = Duration::from_millis(100);

/// When to come back if the catalog is not known yet.
const NO_CATALOG_RETRY: Duration = Duration::from_millis(500);

/// A caller's call.
#[derive(Debug)]
pub struct Call {
    /// What the entry knows.
    pub state: Rc<State>,
    /// Its route.
    pub route: Rc<Route>,
    /// The service that it goes to.
    pub service: Rc<str>,
    /// What its headers say.
    pub parsed_headers: CallHeaders,
    /// Its workspace, if callers have keys.
    pub workspace: Option<Rc<Workspace>>,
    /// When it came.
    pub received_at: Instant,
    /// When the caller or the route gives it up.
    pub deadline: Instant,
    /// What its time goes into, if an engine serves it.
    phase: Option<Phase>,
    /// Whether a backend server has begun with it.
    billing: Cell<BillingState>,
    /// Its fingerprint, once it is needed.
    fingerprint: OnceCell<Fingerprint>,
    method: Method,
    uri: Uri,
    headers: HeaderMap,
    body: Bytes,
}

impl Drop for Call {
    fn drop(&mut self) {
        if self.phase == Some(Phase::Decode) {
            let now = self.state.clock.now();
            self.state
                .phase_pools
                .borrow_mut()
                .call_ended(now, &self.service);
        }
        if self.billing.get() == BillingState::MaybeStarted {
            self.record_usage();
        }
    }
}

/// Whether a backend server has begun with a call, which is what its workspace
/// pays for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum BillingState {
    /// No server has.
    NotStarted,
    /// It was sent to a plain service, which begins soon and does not say so.
    MaybeStarted,
    /// A server has, and it was counted.
    Counted,
}

/// Where a server begins with a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum StartPoint {
    /// At its start.
    Beginning,
    /// After the last event that the caller has of its stream, if any.
    After(Option<u64>),
}

/// A call as it came.
#[derive(Debug)]
pub struct IncomingRequest {
    /// The method.
    pub method: Method,
    /// The path with its query.
    pub uri: Uri,
    /// The headers.
    pub headers: HeaderMap,
    /// The whole body.
    pub body: Bytes,
    /// When it came.
    pub received_at: Instant,
}

impl Call {
    /// Reads a call by the catalog in force.
    ///
    /// # Errors
    ///
    /// Returns the answer for a call that is not served.
    pub fn from_request(state: &Rc<State>, incoming: IncomingRequest) -> Result<Self, LocalReply> {
        let catalog = state.catalog.borrow().clone();
        let Some(catalog) = catalog else {
            let after = wait_estimate::jitter(NO_CATALOG_RETRY, rand::rng().random());
            return Err(LocalReply::refused(Refusal::NoBundle, after));
        };
        let parsed_headers = state.dialect.parse_call(&incoming.headers);
        let route = find_route(&catalog, &incoming)?;
        let workspace = match catalog.access(&route, parsed_headers.api_key.as_deref()) {
            Access::Open => None,
            Access::Workspace(workspace) => Some(workspace),
            Access::Denied => return Err(LocalReply::denied(401, Refusal::BadToken)),
        };
        let Some(service) = route.pick_service(rand::rng().random()).cloned() else {
            return Err(LocalReply::refused(Refusal::NoServer, NO_SERVER_RETRY));
        };
        let engine = catalog.service(&service).and_then(|s| s.engine);
        let phase = engine.map(|_| {
            let mut pools = state.phase_pools.borrow_mut();
            let coming = IncomingCall {
                route: &route.name,
                prompt_tokens: unshared_tokens(&parsed_headers),
                max_answer: parsed_headers.max_tokens,
                max_gap: route.max_gap,
            };
            pools.classify(incoming.received_at, &service, coming)
        });
        let patience = parsed_headers.caller_timeout.unwrap_or(route.call_timeout);
        Ok(Self {
            state: Rc::clone(state),
            deadline: incoming.received_at + route.call_timeout.min(patience),
            phase,
            billing: Cell::new(BillingState::NotStarted),
            fingerprint: OnceCell::new(),
            route,
            service,
            parsed_headers,
            workspace,
            received_at: incoming.received_at,
            method: incoming.method,
            uri: incoming.uri,
            headers: incoming.headers,
            body: incoming.body,
        })
    }

    /// The caller's identity of the call, for logs.
    #[must_use]
    pub fn request_id(&self) -> &str {
        self.parsed_headers.request_id.as_deref().unwrap_or("-")
    }

    /// Names what the caller sent, the same for each of its tries.
    #[must_use]
    pub fn fingerprint(&self) -> Fingerprint {
        *self.fingerprint.get_or_init(|| {
            let host = self.headers.get(http::header::HOST);
            let path = self.uri.path_and_query().map_or("", |p| p.as_str());
            let workspace = self.workspace.as_ref().map_or("", |w| w.name.as_str());
            Fingerprint::from_parts(&[
                self.method.as_str().as_bytes(),
                host.map_or(&[], |h| h.as_bytes()),
                path.as_bytes(),
                workspace.as_bytes(),
                &self.body,
            ])
        })
    }

    /// For how long it is not to be sent to any server, as servers crash under
    /// it; none if it may be.
    fn blocked_for(&self) -> Option<Duration> {
        let crashes = &self.state.crashes;
        // Few calls need a fingerprint.
        if crashes.is_empty() {
            return None;
        }
        crashes.refusal_left(self.state.clock.now(), self.fingerprint())
    }

    /// Notes that a server has run it whole.
    pub(crate) fn record_completed(&self) {
        self.state.crashes.request_served(self.fingerprint());
    }

    /// Notes that its connection to `server` broke before the answer was
    /// whole.
    pub(crate) fn record_broken(&self, server: &ServerRecord) {
        crashes::connection_broken(&self.state, server, self.fingerprint());
    }

    /// Milliseconds since it came.
    #[must_use]
    pub fn age_ms(&self) -> u64 {
        let age = self
            .state
            .clock
            .now()
            .saturating_duration_since(self.received_at);
        u64::try_from(age.as_millis()).unwrap_or(u64::MAX)
    }

    /// The call's tier: the workspace's, or else the route's.
    #[must_use]
    pub fn tier(&self) -> Tier {
        let own = self.workspace.as_ref().and_then(|w| w.tier);
        own.unwrap_or(self.route.tier)
    }

    /// The call's rank for engines.
    fn rank(&self) -> u8 {
        let workspace = self.workspace.as_ref().and_then(|w| w.tier);
        urgency::rank(workspace, self.route.tier)
    }

    /// Gets the call to run and says what to answer.
    pub async fn run(self: Rc<Self>) -> Reply {
        let _open = OpenCall::new(&self.state);
        let mut tried = Vec::new();
        self.state
            .repeat_budget
            .borrow_mut()
            .record_call(self.received_at, &self.service);
        let mut last = None;
        // A failure that a server vouches for, for the case that no other
        // server does better.
        let mut answered = None;
        for attempt in 1..=self.route.max_attempts.max(1) {
            if attempt > 1 && !self.take_retry() {
                break;
            }
            let answer = self.send(&mut tried, StartPoint::Beginning).await;
            let failure = match answer {
                Ok(answer) => match self.accept(answer, &tried).await {
                    Ok(reply) if self.should_retry(&reply, &tried) => {
                        answered = Some(reply);
                        continue;
                    }
                    Ok(reply) => return reply,
                    Err(failure) => failure,
                },
                Err(failure) => failure,
            };
            if matches!(failure, SendError::Unknown(_)) {
                // Engines crash with calls of which nothing has come yet.
                self.record_usage();
            }
            metrics::counter!("pimentocart_sends_failed_total", "cause" => failure.label())
                .increment(1);
            info!("send failed", kv: {
                id = self.request_id(),
                route = self.route.name.as_str(),
                attempt,
                server = tried.last().map_or("-", |s| &**s),
                cause = failure.label(),
                detail = format!("{failure:?}").as_str(),
                ms = self.age_ms()
            });
            let again = failure.not_run() || self.route.kind.repeatable();
            let over = failure.is_final();
            // Once the call may have run somewhere, no later failure changes
            // that, and no refusal would be true.
            if last.as_ref().is_none_or(SendError::not_run) {
                last = Some(failure);
            }
            if !again || over {
                break;
            }
        }
        answered.unwrap_or_else(|| Reply::Local(self.final_reply(last.as_ref())))
    }

    /// Whether another server may well serve what this one failed.
    fn should_retry(&self, reply: &Reply, tried: &[Rc<str>]) -> bool {
        let failed = matches!(reply, Reply::Buffered { status, .. } if *status >= 500);
        let spare = tried.len() < self.route.max_attempts as usize;
        failed && spare && self.route.kind == CallKind::Idempotent
    }

    /// Goes on with a stream after event `last` at another server.
    pub async fn resume(
        self: Rc<Self>,
        last: Option<u64>,
        tried: &mut Vec<Rc<str>>,
    ) -> Option<ResponseBody> {
        while tried.len() < self.route.max_attempts as usize {
            if !self.take_retry() {
                return None;
            }
            match self.send(tried, StartPoint::After(last)).await {
                Ok(answer) if is_valid_success(&answer) => return Some(answer.body),
                Ok(_) => {}
                Err(failure) if failure.is_final() => return None,
                Err(_) => {}
            }
        }
        None
    }

    /// Notes the longest pause of its stream, which has ended.
    pub fn record_pause(&self, pause: Duration) {
        if self.phase == Some(Phase::Prefill) {
            let now = self.state.clock.now();
            let mut pools = self.state.phase_pools.borrow_mut();
            pools.record_pause(now, &self.service, pause);
        }
    }

    /// Counts the call as used by its workspace, once.
    fn record_usage(&self) {
        if self.billing.replace(BillingState::Counted) == BillingState::Counted {
            return;
        }
        let duties = self.state.duties.borrow();
        if let (Some(duties), Some(workspace)) = (&*duties, &self.workspace) {
            duties.count_request(&workspace.name);
        }
    }

    /// Notes that the call goes out to a server.
    fn record_sent(&self) {
        if self.phase.is_none() && self.billing.get() == BillingState::NotStarted {
            self.billing.set(BillingState::MaybeStarted);
        }
    }

    /// Notes what a send has shown of the call having begun.
    fn record_failed(&self, failure: &SendError) {
        if self.billing.get() == BillingState::MaybeStarted && failure.not_run() {
            self.billing.set(BillingState::NotStarted);
        }
    }

    /// Takes one repeat from the budget.
    fn take_retry(&self) -> bool {
        let now = self.state.clock.now();
        let left = self
            .state
            .repeat_budget
            .borrow_mut()
            .take_repeat(now, &self.service);
        let outcome = if left { "taken" } else { "none_left" };
        metrics::counter!("pimentocart_repeats_total", "outcome" => outcome).increment(1);
        if !left {
            info!("no repeat left", kv: { id = self.request_id(), service = &*self.service });
        }
        left
    }

    /// The answer when no server has served the call.
    fn final_reply(&self, last: Option<&SendError>) -> LocalReply {
        match last {
            Some(SendError::TimedOut) => LocalReply::failed(504, Refusal::Expired),
            Some(SendError::TimedOutUnsent) => LocalReply::refused(
                Refusal::TargetUnreachable,
                self.retry_after(SERVERS_FULL_RETRY),
            ),
            Some(SendError::Unknown(_)) => LocalReply::failed(502, Refusal::OutcomeUnknown),
            Some(SendError::CrashesServers(after)) => {
                LocalReply::refused(Refusal::CrashesServers, *after)
            }
            Some(SendError::TooLate(after)) => {
                LocalReply::refused(Refusal::TargetUnreachable, *after)
            }
            Some(SendError::ServersBusy(wait)) => {
                LocalReply::refused(Refusal::ServersBusy, self.retry_after(*wait))
            }
            Some(SendError::NotRun(_)) => {
                LocalReply::refused(Refusal::Shed, self.retry_after(SERVERS_FULL_RETRY))
            }
            Some(SendError::NeverSent(_) | SendError::WrongServer) | None => {
                LocalReply::refused(Refusal::NoServer, self.retry_after(NO_SERVER_RETRY))
            }
        }
    }

    /// When to come back: not before a server takes calls or is tried again, and
    /// not in the same moment as others that are refused now.
    fn retry_after(&self, least: Duration) -> Duration {
        let now = self.state.clock.now();
        let balance = self.state.balancer.borrow();
        let turn = balance.next_turn(now, &self.service);
        let wait = turn.max(balance.cooldown_left(now, &self.service));
        let wait = wait.unwrap_or_default().max(least);
        wait_estimate::jitter(wait, rand::rng().random())
    }
}

fn find_route(catalog: &Catalog, incoming: &IncomingRequest) -> Result<Rc<Route>, LocalReply> {
    let host = incoming.headers.get(http::header::HOST);
    let host = host.and_then(|h| h.to_str().ok()).unwrap_or("");
    let route = catalog.route(host, incoming.uri.path()).cloned();
    route.ok_or(LocalReply::denied(404, Refusal::UnknownTarget))
}

/// Tokens of a prompt that no earlier call can have left in a cache.
fn unshared_tokens(parsed_headers: &CallHeaders) -> u32 {
    parsed_headers
        .prompt_parts
        .last()
        .map_or(parsed_headers.prompt_tokens, |own| own.tokens)
}
