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

use answer::good;

use crate::crashes;
use crate::edge::Ask;
use crate::exchange::{Body, Failure};
use crate::reply::{Own, Reply};
use crate::state::{Open, State};

/// When to come back if no server takes the call: servers that were replaced
/// are known about so long after.
const AFTER_NO_SERVER: Duration = Duration::from_millis(400);

/// When to come back if the server was full: a slot falls free about that
/// often on a busy server.
const AFTER_FULL: Duration = Duration::from_millis(100);

/// When to come back if the catalog is not known yet.
const AFTER_START: Duration = Duration::from_millis(500);

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
    pub ask: Ask,
    /// Its workspace, if callers have keys.
    pub workspace: Option<Rc<Workspace>>,
    /// When it came.
    pub came: Instant,
    /// When the caller or the route gives it up.
    pub until: Instant,
    /// What its time goes into, if an engine serves it.
    work: Option<Phase>,
    /// Whether a backend server has begun with it.
    begin: Cell<Begun>,
    /// Its fingerprint, once it is needed.
    fingerprint: OnceCell<Fingerprint>,
    method: Method,
    uri: Uri,
    headers: HeaderMap,
    body: Bytes,
}

impl Drop for Call {
    fn drop(&mut self) {
        if self.work == Some(Phase::Decode) {
            let now = self.state.clock.now();
            self.state.pools.borrow_mut().call_ended(now, &self.service);
        }
        if self.begin.get() == Begun::Perhaps {
            self.count();
        }
    }
}

/// Whether a backend server has begun with a call, which is what its workspace
/// pays for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Begun {
    /// No server has.
    No,
    /// It was sent to a plain service, which begins soon and does not say so.
    Perhaps,
    /// A server has, and it was counted.
    Counted,
}

/// Where a server begins with a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Begin {
    /// At its start.
    Fresh,
    /// After the last event that the caller has of its stream, if any.
    After(Option<u64>),
}

/// A call as it came.
#[derive(Debug)]
pub struct Incoming {
    /// The method.
    pub method: Method,
    /// The path with its query.
    pub uri: Uri,
    /// The headers.
    pub headers: HeaderMap,
    /// The whole body.
    pub body: Bytes,
    /// When it came.
    pub came: Instant,
}

impl Call {
    /// Reads a call by the catalog in force.
    ///
    /// # Errors
    ///
    /// Returns the answer for a call that is not served.
    pub fn read(state: &Rc<State>, incoming: Incoming) -> Result<Self, Own> {
        let catalog = state.catalog.borrow().clone();
        let Some(catalog) = catalog else {
            let after = wait_estimate::jitter(AFTER_START, rand::rng().random());
            return Err(Own::refused(Refusal::NoBundle, after));
        };
        let ask = state.dialect.ask(&incoming.headers);
        let route = find(&catalog, &incoming)?;
        let workspace = match catalog.access(&route, ask.key.as_deref()) {
            Access::Open => None,
            Access::Workspace(workspace) => Some(workspace),
            Access::Denied => return Err(Own::denied(401, Refusal::BadToken)),
        };
        let Some(service) = route.pick_service(rand::rng().random()).cloned() else {
            return Err(Own::refused(Refusal::NoServer, AFTER_NO_SERVER));
        };
        let engine = catalog.service(&service).and_then(|s| s.engine);
        let work = engine.map(|_| {
            let mut pools = state.pools.borrow_mut();
            let coming = IncomingCall {
                route: &route.name,
                prompt_tokens: fresh(&ask),
                max_answer: ask.output,
                max_gap: route.max_gap,
            };
            pools.classify(incoming.came, &service, coming)
        });
        let patience = ask.patience.unwrap_or(route.call_timeout);
        Ok(Self {
            state: Rc::clone(state),
            until: incoming.came + route.call_timeout.min(patience),
            work,
            begin: Cell::new(Begun::No),
            fingerprint: OnceCell::new(),
            route,
            service,
            ask,
            workspace,
            came: incoming.came,
            method: incoming.method,
            uri: incoming.uri,
            headers: incoming.headers,
            body: incoming.body,
        })
    }

    /// The caller's identity of the call, for logs.
    #[must_use]
    pub fn name(&self) -> &str {
        self.ask.id.as_deref().unwrap_or("-")
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
    fn crashes_servers(&self) -> Option<Duration> {
        let crashes = &self.state.crashes;
        // Few calls need a fingerprint.
        if crashes.is_empty() {
            return None;
        }
        crashes.refusal_left(self.state.clock.now(), self.fingerprint())
    }

    /// Notes that a server has run it whole.
    pub(crate) fn served(&self) {
        self.state.crashes.request_served(self.fingerprint());
    }

    /// Notes that its connection to `server` broke before the answer was
    /// whole.
    pub(crate) fn broke(&self, server: &ServerRecord) {
        crashes::connection_broken(&self.state, server, self.fingerprint());
    }

    /// Milliseconds since it came.
    #[must_use]
    pub fn age_ms(&self) -> u64 {
        let age = self.state.clock.now().saturating_duration_since(self.came);
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
        let _open = Open::new(&self.state);
        let mut tried = Vec::new();
        self.state
            .budget
            .borrow_mut()
            .record_call(self.came, &self.service);
        let mut last = None;
        // A failure that a server vouches for, for the case that no other
        // server does better.
        let mut answered = None;
        for attempt in 1..=self.route.max_attempts.max(1) {
            if attempt > 1 && !self.repeat() {
                break;
            }
            let answer = self.send(&mut tried, Begin::Fresh).await;
            let failure = match answer {
                Ok(answer) => match self.accept(answer, &tried).await {
                    Ok(reply) if self.better(&reply, &tried) => {
                        answered = Some(reply);
                        continue;
                    }
                    Ok(reply) => return reply,
                    Err(failure) => failure,
                },
                Err(failure) => failure,
            };
            if matches!(failure, Failure::Unknown(_)) {
                // Engines crash with calls of which nothing has come yet.
                self.count();
            }
            metrics::counter!("pimentocart_sends_failed_total", "cause" => failure.word())
                .increment(1);
            info!("send failed", kv: {
                id = self.name(),
                route = self.route.name.as_str(),
                attempt,
                server = tried.last().map_or("-", |s| &**s),
                cause = failure.word(),
                detail = format!("{failure:?}").as_str(),
                ms = self.age_ms()
            });
            let again = failure.not_run() || self.route.kind.repeatable();
            let over = failure.final_here();
            // Once the call may have run somewhere, no later failure changes
            // that, and no refusal would be true.
            if last.as_ref().is_none_or(Failure::not_run) {
                last = Some(failure);
            }
            if !again || over {
                break;
            }
        }
        answered.unwrap_or_else(|| Reply::Own(self.given_up(last.as_ref())))
    }

    /// Whether another server may well serve what this one failed.
    fn better(&self, reply: &Reply, tried: &[Rc<str>]) -> bool {
        let failed = matches!(reply, Reply::Whole { status, .. } if *status >= 500);
        let spare = tried.len() < self.route.max_attempts as usize;
        failed && spare && self.route.kind == CallKind::Idempotent
    }

    /// Goes on with a stream after event `last` at another server.
    pub async fn resume(
        self: Rc<Self>,
        last: Option<u64>,
        tried: &mut Vec<Rc<str>>,
    ) -> Option<Body> {
        while tried.len() < self.route.max_attempts as usize {
            if !self.repeat() {
                return None;
            }
            match self.send(tried, Begin::After(last)).await {
                Ok(answer) if good(&answer) => return Some(answer.body),
                Ok(_) => {}
                Err(failure) if failure.final_here() => return None,
                Err(_) => {}
            }
        }
        None
    }

    /// Notes the longest pause of its stream, which has ended.
    pub fn paused(&self, pause: Duration) {
        if self.work == Some(Phase::Prefill) {
            let now = self.state.clock.now();
            let mut pools = self.state.pools.borrow_mut();
            pools.record_pause(now, &self.service, pause);
        }
    }

    /// Counts the call as used by its workspace, once.
    fn count(&self) {
        if self.begin.replace(Begun::Counted) == Begun::Counted {
            return;
        }
        let duties = self.state.duties.borrow();
        if let (Some(duties), Some(workspace)) = (&*duties, &self.workspace) {
            duties.began(&workspace.name);
        }
    }

    /// Notes that the call goes out to a server.
    fn note_sent(&self) {
        if self.work.is_none() && self.begin.get() == Begun::No {
            self.begin.set(Begun::Perhaps);
        }
    }

    /// Notes what a send has shown of the call having begun.
    fn note_failed(&self, failure: &Failure) {
        if self.begin.get() == Begun::Perhaps && failure.not_run() {
            self.begin.set(Begun::No);
        }
    }

    /// Takes one repeat from the budget.
    fn repeat(&self) -> bool {
        let now = self.state.clock.now();
        let left = self
            .state
            .budget
            .borrow_mut()
            .take_repeat(now, &self.service);
        let outcome = if left { "taken" } else { "none_left" };
        metrics::counter!("pimentocart_repeats_total", "outcome" => outcome).increment(1);
        if !left {
            info!("no repeat left", kv: { id = self.name(), service = &*self.service });
        }
        left
    }

    /// The answer when no server has served the call.
    fn given_up(&self, last: Option<&Failure>) -> Own {
        match last {
            Some(Failure::Late) => Own::failed(504, Refusal::Expired),
            Some(Failure::Waited) => {
                Own::refused(Refusal::TargetUnreachable, self.after(AFTER_FULL))
            }
            Some(Failure::Unknown(_)) => Own::failed(502, Refusal::OutcomeUnknown),
            Some(Failure::CrashesServers(after)) => Own::refused(Refusal::CrashesServers, *after),
            Some(Failure::TooLate(after)) => Own::refused(Refusal::TargetUnreachable, *after),
            Some(Failure::Busy(wait)) => Own::refused(Refusal::ServersBusy, self.after(*wait)),
            Some(Failure::NotRun(_)) => Own::refused(Refusal::Shed, self.after(AFTER_FULL)),
            Some(Failure::NeverSent(_) | Failure::Elsewhere) | None => {
                Own::refused(Refusal::NoServer, self.after(AFTER_NO_SERVER))
            }
        }
    }

    /// When to come back: not before a server takes calls or is tried again, and
    /// not in the same moment as others that are refused now.
    fn after(&self, least: Duration) -> Duration {
        let now = self.state.clock.now();
        let balance = self.state.balance.borrow();
        let turn = balance.next_turn(now, &self.service);
        let wait = turn.max(balance.cooldown_left(now, &self.service));
        let wait = wait.unwrap_or_default().max(least);
        wait_estimate::jitter(wait, rand::rng().random())
    }
}

fn find(catalog: &Catalog, incoming: &Incoming) -> Result<Rc<Route>, Own> {
    let host = incoming.headers.get(http::header::HOST);
    let host = host.and_then(|h| h.to_str().ok()).unwrap_or("");
    let route = catalog.route(host, incoming.uri.path()).cloned();
    route.ok_or(Own::denied(404, Refusal::UnknownTarget))
}

/// Tokens of a prompt that no earlier call can have left in a cache.
fn fresh(ask: &Ask) -> u32 {
    ask.parts.last().map_or(ask.prompt, |own| own.tokens)
}
