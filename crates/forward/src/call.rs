//! A caller's request and the attempts to have it executed.
//!
//! - `attempt`: sending the call to a chosen server.
//! - `continuation`: continuing a stream from a copy of its KV cache.
//! - `outcome`: whether the call may have run, its charge, and its end when the entry stops.
//! - `placement`: choosing a server and getting admission to it.
//! - `response`: processing the server's response.

mod attempt;
mod continuation;
mod outcome;
mod placement;
mod response;

use std::cell::{Cell, OnceCell, RefCell};
use std::rc::Rc;
use std::time::{Duration, Instant};

use base::ids::Tier;
use base::reason::Refusal;
use bytes::Bytes;
use http::{HeaderMap, Method, Uri};
use policy::balance::ServerRecord;
use policy::pools::{IncomingCall, Phase};
use policy::rendezvous;
use policy::routes::{Access, CallKind, Catalog, Route, Workspace};
use policy::suspects::Fingerprint;
use policy::urgency;
use policy::wait_estimate;
use rand::RngExt;
use spdlog::info;

use continuation::Backup;
pub(crate) use outcome::draining_refusal;
use outcome::{BillingState, Execution};
use placement::AdmissionTrace;
pub(crate) use response::UNPROVEN_END;
use response::is_valid_success;

use crate::crashes::{self, BrokenCall, CallIdentity};
use crate::exchange::{ResponseBody, SendError};
use crate::origins::{self, Continuation, NewStream};
use crate::platform::CallHeaders;
use crate::reply::{LocalReply, Reply};
use crate::state::{OpenCall, State};
use crate::versions;

/// Retry-After when no server takes the call. Servers that replace lost ones
/// are known after about this time.
const NO_SERVER_RETRY: Duration = Duration::from_millis(400);

/// Retry-After when the server was full. A slot becomes free about this often
/// on a busy server.
const SERVERS_FULL_RETRY: Duration = Duration::from_millis(100);

/// Retry-After when the catalog is not known yet, or may be out of date.
const NO_CATALOG_RETRY: Duration = Duration::from_millis(500);

/// Time after its first event from which a stream counts as one that its server keeps
/// writing. A server that crashes because of a call does so soon after it begins to answer.
const STEADY_TIME: Duration = Duration::from_millis(500);

/// Maximum number of shared parts of a prompt that are checked and reported.
const MAX_SHARED_PARTS: usize = 32;

/// A call, routed by the catalog in force, with everything needed to send it.
#[derive(Debug)]
pub struct Call {
    /// The state that all parts of the entry share.
    pub state: Rc<State>,
    /// The route that matched.
    pub route: Rc<Route>,
    /// The service that the call is sent to.
    pub service: Rc<str>,
    /// The fields parsed from the caller's headers.
    pub parsed_headers: CallHeaders,
    /// The caller's workspace, if callers need keys.
    pub workspace: Option<Rc<Workspace>>,
    /// When the entry received it.
    pub received_at: Instant,
    /// When the caller's or the route's timeout ends, whichever is first.
    pub deadline: Instant,
    /// The phase that dominates its cost, if an engine serves it.
    phase: Option<Phase>,
    /// Whether its workspace was charged for it.
    billing: Cell<BillingState>,
    /// Whether a server may have run it.
    execution: Cell<Execution>,
    /// The fingerprint, computed on first use.
    fingerprint: OnceCell<Fingerprint>,
    /// The latest attempt.
    attempt: Cell<Attempt>,
    /// How the latest search for an engine went.
    admission: RefCell<AdmissionTrace>,
    /// The copy of its KV cache at a second engine, if one was asked for.
    backup: RefCell<Option<Backup>>,
    /// The software version that its stream is bound to: the one that began it, known with
    /// the first event or from the call that is taken up.
    version: OnceCell<Rc<str>>,
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

/// An attempt to have a server run the call.
#[derive(Debug, Clone, Copy)]
struct Attempt {
    /// When the call was sent.
    sent_at: Instant,
    /// When the head of the answer arrived.
    began_at: Option<Instant>,
    /// When the first event of the answer arrived.
    first_event: Option<Instant>,
    /// Whether the server has been writing the answer for [`STEADY_TIME`].
    steady: bool,
}

impl Attempt {
    fn new(sent_at: Instant) -> Self {
        Self {
            sent_at,
            began_at: None,
            first_event: None,
            steady: false,
        }
    }
}

/// Where a server starts the call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum StartPoint {
    /// At its beginning.
    Beginning,
    /// After the last event of its stream that the caller has received, if any.
    After(Option<u64>),
}

/// A request as it was received.
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
    /// When the entry received it.
    pub received_at: Instant,
}

impl Call {
    /// Routes a request by the catalog in force.
    ///
    /// # Errors
    ///
    /// Returns the reply when the request is not served.
    pub fn from_request(state: &Rc<State>, incoming: IncomingRequest) -> Result<Self, LocalReply> {
        let catalog = state.catalog.borrow().clone();
        let Some(catalog) = catalog else {
            let after = wait_estimate::jitter(NO_CATALOG_RETRY, rand::rng().random());
            return Err(LocalReply::refused(Refusal::NoBundle, after));
        };
        let parsed_headers = state.dialect.parse_call(&incoming.headers);
        let route = find_route(state, &catalog, &incoming)?;
        let workspace = match catalog.access(&route, parsed_headers.api_key.as_deref()) {
            Access::Open => None,
            Access::Workspace(workspace) => Some(workspace),
            Access::Denied => return Err(denied(state, 401, Refusal::BadToken)),
        };
        // A stream that is taken up goes to the service at which it began.
        let stream = parsed_headers.resumes.as_ref();
        let stream = stream.or(parsed_headers.request_id.as_ref());
        let sample = match stream {
            Some(id) => rendezvous::unit_interval(rendezvous::hash_name(id)),
            None => rand::rng().random(),
        };
        let Some(service) = route.pick_service(sample).cloned() else {
            return Err(LocalReply::refused(Refusal::NoServer, NO_SERVER_RETRY));
        };
        let engine = catalog.service(&service).and_then(|s| s.engine);
        let phase = engine.map(|_| {
            let mut pools = state.phase_pools.borrow_mut();
            let call = IncomingCall {
                route: &route.name,
                prompt_tokens: unshared_tokens(&parsed_headers),
                max_answer: parsed_headers.max_tokens,
                max_gap: route.max_gap,
            };
            pools.classify(incoming.received_at, &service, call)
        });
        let caller_timeout = parsed_headers.caller_timeout.unwrap_or(route.call_timeout);
        Ok(Self {
            state: Rc::clone(state),
            deadline: incoming.received_at + route.call_timeout.min(caller_timeout),
            phase,
            billing: Cell::new(BillingState::NotStarted),
            execution: Cell::new(Execution::NotSent),
            fingerprint: OnceCell::new(),
            attempt: Cell::new(Attempt::new(incoming.received_at)),
            admission: RefCell::default(),
            backup: RefCell::default(),
            version: OnceCell::new(),
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

    /// The caller's request ID, or `-`, for logs.
    #[must_use]
    pub fn request_id(&self) -> &str {
        self.parsed_headers.request_id.as_deref().unwrap_or("-")
    }

    /// Identifies the request's content. It is equal for all retries of a call.
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

    /// How long the call must not be sent to any server because servers crash
    /// while they run it; `None` if it may be sent.
    fn blocked_for(&self) -> Option<Duration> {
        let crashes = &self.state.crashes;
        // Skips the hash of the body, which few calls need.
        if crashes.is_empty() {
            return None;
        }
        crashes.refusal_left(self.state.clock.now(), &self.identity())
    }

    /// Whether the call may be sent although servers crash under calls like it, to find
    /// out whether they still do.
    fn may_be_trial(&self) -> bool {
        crashes::may_try(&self.state, &self.shared_parts())
    }

    /// Takes the trial of [`may_be_trial`](Self::may_be_trial); returns whether there was
    /// one.
    fn take_trial(&self) -> bool {
        let taken = crashes::take_trial(&self.state, &self.shared_parts());
        if taken {
            metrics::counter!("pimentocart_part_trials_total").increment(1);
            info!("call with refused part sent as a trial", kv: { id = self.request_id() });
        }
        taken
    }

    /// What identifies the call among others.
    fn identity(&self) -> CallIdentity {
        CallIdentity {
            fingerprint: self.fingerprint(),
            shared_parts: self.shared_parts(),
        }
    }

    /// Records that a server has completed the call.
    pub(crate) fn record_completed(&self) {
        self.state.crashes.request_served(self.fingerprint());
        let now = self.state.clock.now();
        let taken = now.saturating_duration_since(self.attempt.get().sent_at);
        self.state.durations.borrow_mut().record(&self.route, taken);
    }

    /// Records that a server has answered the call's prompt.
    pub(crate) fn record_sound(&self) {
        crashes::record_sound_parts(&self.state, &self.shared_parts());
    }

    /// Records that the connection to `server` broke before the response was
    /// complete.
    pub(crate) fn record_broken(&self, server: &ServerRecord) {
        let attempt = self.attempt.get();
        let call = BrokenCall {
            identity: self.identity(),
            sent_at: attempt.sent_at,
            broken_at: self.state.clock.now(),
            began_at: attempt.began_at,
            steady: attempt.steady,
        };
        crashes::connection_broken(&self.state, server, call);
    }

    /// Records that nothing proves that an answer of `server` ended whole. A server that
    /// leaves may have written all of it before it exited.
    pub(crate) fn record_unproven_end(&self, server: &ServerRecord) {
        if !self.state.balancer.borrow().is_leaving(server) {
            self.record_broken(server);
        }
    }

    /// The parts of the prompt that other calls may share: all but the last one.
    pub(crate) fn shared_parts(&self) -> Vec<u64> {
        let parts = self.parsed_headers.prompt_parts.split_last();
        let shared = parts.map_or(&[][..], |(_, shared)| shared);
        let ids = shared.iter().take(MAX_SHARED_PARTS).map(|part| part.id);
        ids.collect()
    }

    /// Records that the call is sent to a server now.
    fn begin_attempt(&self, now: Instant) {
        self.attempt.set(Attempt::new(now));
    }

    /// Records that the head of the answer arrived.
    fn record_answer_began(&self) {
        self.attempt.set(Attempt {
            began_at: Some(self.state.clock.now()),
            ..self.attempt.get()
        });
    }

    /// Records that events of the answer arrived.
    pub(crate) fn record_events(&self, now: Instant) {
        let attempt = self.attempt.get();
        let first_event = attempt.first_event.unwrap_or(now);
        let steady = now.saturating_duration_since(first_event) >= STEADY_TIME;
        self.attempt.set(Attempt {
            first_event: Some(first_event),
            steady,
            ..attempt
        });
        if steady && !attempt.steady {
            self.record_sound();
        }
    }

    /// The time since the call was received, in milliseconds.
    #[must_use]
    pub fn age_ms(&self) -> u64 {
        let age = self
            .state
            .clock
            .now()
            .saturating_duration_since(self.received_at);
        u64::try_from(age.as_millis()).unwrap_or(u64::MAX)
    }

    /// The call's tier: the workspace's if it has one, otherwise the route's.
    #[must_use]
    pub fn tier(&self) -> Tier {
        let tier = self.workspace.as_ref().and_then(|w| w.tier);
        tier.unwrap_or(self.route.tier)
    }

    /// Whether the call's service has engines.
    pub(crate) fn has_engine(&self) -> bool {
        self.phase.is_some()
    }

    /// The call's priority rank at engines.
    fn rank(&self) -> u8 {
        let workspace = self.workspace.as_ref().and_then(|w| w.tier);
        urgency::rank(workspace, self.route.tier)
    }

    /// Sends the call, with retries, and returns the reply for the caller.
    pub async fn run(self: Rc<Self>) -> Reply {
        let _open = OpenCall::new(&self.state);
        self.state
            .wait_for_server(&self.service, self.deadline)
            .await;
        if let Some(refusal) = self.refuse_over_share() {
            return Reply::Local(refusal);
        }
        let mut start = StartPoint::Beginning;
        if self.takes_up_stream() {
            if !self.bind_taken_up_stream().await {
                info!("stream not taken up", kv: {
                    id = self.request_id(),
                    resumes = self.parsed_headers.resumes.as_deref().unwrap_or("-")
                });
                let after = self.retry_after(NO_SERVER_RETRY);
                return Reply::Local(LocalReply::refused(Refusal::VersionUnknown, after));
            }
            start = StartPoint::After(self.parsed_headers.last_event);
        }
        let mut tried = Vec::new();
        self.state
            .repeat_budget
            .borrow_mut()
            .record_call(self.received_at, &self.service);
        let mut last = None;
        // A failure response that a server has sealed. It is returned if no
        // other server does better.
        let mut failed_reply = None;
        for attempt in 1..=self.route.max_attempts.max(1) {
            if attempt > 1 && !self.take_retry() {
                break;
            }
            let mut response = self.send(&mut tried, start).await;
            // The known servers may be dead while running ones are not listed yet.
            if matches!(response, Err(SendError::NeverSent(_)))
                && self.state.wait_for_missing_servers(self.deadline).await
            {
                response = self.send(&mut tried, start).await;
            }
            let error = match response {
                Ok(response) => match self.accept(response, &tried).await {
                    Ok(reply) if self.should_retry(&reply, &tried) => {
                        failed_reply = Some(reply);
                        continue;
                    }
                    Ok(reply) => return reply,
                    Err(error) => error,
                },
                Err(error) => error,
            };
            if matches!(error, SendError::Unknown(_)) {
                // An engine can crash while it runs a call that has sent
                // nothing yet.
                self.record_usage();
            }
            metrics::counter!("pimentocart_sends_failed_total", "cause" => error.label())
                .increment(1);
            let admission = self.admission.borrow().clone();
            info!("send failed", kv: {
                id = self.request_id(),
                route = self.route.name.as_str(),
                attempt,
                server = tried.last().map_or("-", |s| &**s),
                cause = error.label(),
                detail = format!("{error:?}").as_str(),
                ms = self.age_ms(),
                rank = self.rank(),
                asked = admission.asked,
                waited_at = admission.engine.as_deref().unwrap_or("-"),
                forced = admission.forced
            });
            let may_retry = error.not_run() || self.route.kind.repeatable();
            let is_final = error.is_final();
            // Once the call may have run on some server, a later failure does
            // not change that, and a refusal, which claims that it has not run,
            // would be wrong.
            if last.as_ref().is_none_or(SendError::not_run) {
                last = Some(error);
            }
            if !may_retry || is_final {
                break;
            }
        }
        if matches!(last, Some(SendError::NotRun(_))) {
            self.record_rejected_call();
        }
        failed_reply.unwrap_or_else(|| Reply::Local(self.final_reply(last.as_ref())))
    }

    /// Whether the caller takes up a stream that an earlier attempt began.
    pub(crate) fn takes_up_stream(&self) -> bool {
        let headers = &self.parsed_headers;
        let continues = headers.resumes.is_some() || headers.last_event.is_some();
        continues && self.route.kind == CallKind::Resumable
    }

    /// Finds the software version that began the stream that the caller takes up, and
    /// binds the call to it; returns whether the stream may go on.
    async fn bind_taken_up_stream(&self) -> bool {
        let resumes = self.parsed_headers.resumes.as_deref();
        // Of a split route, only the ID of the call that began the stream tells the service.
        let found = if resumes.is_none() && self.route.split.len() > 1 {
            Continuation::Nowhere
        } else {
            origins::find_continuation(&self.state, &self.service, resumes, self.deadline).await
        };
        let (outcome, may_go_on) = match found {
            Continuation::AtVersion(version) => ("known", self.version.set(version).is_ok()),
            Continuation::Anywhere => ("other_service", true),
            Continuation::Nowhere => ("unknown", false),
        };
        metrics::counter!("pimentocart_streams_taken_up_total", "version" => outcome).increment(1);
        may_go_on
    }

    /// Binds the call to the version of the server that has sent its first event, and
    /// records it for callers that take the stream up elsewhere.
    async fn bind_version(&self, server: &ServerRecord) {
        if self.version.set(Rc::clone(&server.version)).is_err() {
            return;
        }
        // A stream that goes on at another service keeps the ID by which callers name it.
        let headers = &self.parsed_headers;
        let request_id = headers.resumes.as_deref().or(headers.request_id.as_deref());
        let Some(request_id) = request_id.filter(|_| self.route.kind == CallKind::Resumable) else {
            return;
        };
        versions::wait_for_record(&self.state, &self.service, &server.version, self.deadline).await;
        let caller_timeout = self.parsed_headers.caller_timeout;
        let stream = NewStream {
            request_id,
            service: &self.service,
            version: &server.version,
            caller_timeout: caller_timeout.unwrap_or(self.route.call_timeout),
        };
        origins::stream_began(&self.state, &stream);
    }

    /// Whether another server may succeed where this one failed.
    fn should_retry(&self, reply: &Reply, tried: &[Rc<str>]) -> bool {
        let failed = matches!(reply, Reply::Buffered { status, .. } if *status >= 500);
        let attempts_left = tried.len() < self.route.max_attempts as usize;
        failed && attempts_left && self.route.kind == CallKind::Idempotent
    }

    /// Resumes a stream at another server of its version after event `last`.
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
                Ok(response) if is_valid_success(&response) => return Some(response.body),
                Ok(_) => {}
                Err(error) if error.is_final() => return None,
                Err(_) => {}
            }
        }
        None
    }

    /// Records the longest gap between two events of a stream that has ended.
    pub fn record_pause(&self, pause: Duration) {
        if self.phase == Some(Phase::Prefill) {
            let now = self.state.clock.now();
            let mut pools = self.state.phase_pools.borrow_mut();
            pools.record_pause(now, &self.service, pause);
        }
    }

    /// Takes one retry from the retry budget, if one is left.
    fn take_retry(&self) -> bool {
        self.state.take_retry(self.request_id(), &self.service)
    }

    /// The reply when no server has served the call.
    fn final_reply(&self, last: Option<&SendError>) -> LocalReply {
        match last {
            Some(SendError::TimedOut) => LocalReply::failed(504, Refusal::Expired),
            Some(SendError::TimedOutUnsent) => LocalReply::refused(
                Refusal::TargetUnreachable,
                self.retry_after(SERVERS_FULL_RETRY),
            ),
            Some(SendError::Unknown(_)) => LocalReply::failed(502, Refusal::OutcomeUnknown),
            Some(SendError::Draining) => draining_refusal(),
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

    /// The Retry-After time: not before a server accepts calls or is tried
    /// again, and with jitter so that callers refused together do not return
    /// together.
    fn retry_after(&self, least: Duration) -> Duration {
        let now = self.state.clock.now();
        let balance = self.state.balancer.borrow();
        let turn = balance.next_turn(now, &self.service);
        let wait = turn.max(balance.cooldown_left(now, &self.service));
        let wait = wait.unwrap_or_default().max(least);
        wait_estimate::jitter(wait, rand::rng().random())
    }
}

fn find_route(
    state: &State,
    catalog: &Catalog,
    incoming: &IncomingRequest,
) -> Result<Rc<Route>, LocalReply> {
    let host = incoming.headers.get(http::header::HOST);
    let host = host.and_then(|h| h.to_str().ok()).unwrap_or("");
    let route = catalog.route(host, incoming.uri.path()).cloned();
    route.ok_or_else(|| denied(state, 404, Refusal::UnknownTarget))
}

/// The reply when the catalog lacks the route or the API key of a call. A newer catalog may
/// have it, so with one that may be out of date the call is refused for now instead.
fn denied(state: &State, status: u16, reason: Refusal) -> LocalReply {
    if state.tables.shows_absence(state.clock.now()) {
        return LocalReply::denied(status, reason);
    }
    let after = wait_estimate::jitter(NO_CATALOG_RETRY, rand::rng().random());
    LocalReply::refused(Refusal::OldCatalog, after)
}

/// Tokens of the prompt that no other call can have left in a prefix cache.
fn unshared_tokens(parsed_headers: &CallHeaders) -> u32 {
    parsed_headers
        .prompt_parts
        .last()
        .map_or(parsed_headers.prompt_tokens, |part| part.tokens)
}
