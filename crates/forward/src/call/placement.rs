//! Choosing a server for a call and getting admission to it.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use policy::balance::{Partition, ServerQuery, ServerRecord, Strategy};
use policy::engine_search::{AdmissionTerms, EngineSearch};
use policy::grants::fetch;
use policy::pools::Phase;
use policy::rendezvous;
use policy::urgency::{self, CallTiming};
use policy::wait_estimate::{self, CallDeadline, Decision};
use rand::RngExt;
use spdlog::info;
use wire::grants;

use super::{Call, StartPoint};
use crate::exchange::SendError;
use crate::grants::{
    AdmissionDecision, CachedPrefix, Grant, QueueOutcome, QueuedCall, SidecarClient,
};
use crate::platform;
use crate::relay::millis;

/// A server that has sent nothing for this multiple of the route's latency
/// target counts as unresponsive. It is used again as soon as anything arrives
/// from it.
const SILENCE_FACTOR: u32 = 3;

/// Lower bound of that time; the slowest responses of a plain service take as
/// long.
const MIN_SILENCE: Duration = Duration::from_millis(300);

/// Upper bound of that time; an engine with a full queue still sends something
/// within it.
const MAX_SILENCE: Duration = Duration::from_millis(1200);

/// A queued call looks for another engine when it has waited for this multiple
/// of the time that its engine named.
const OVERSTAY_RATIO: f64 = 2.0;

/// A queued call moves to an engine that names at most this part of the time
/// that it has waited.
const MOVE_SHARE: f64 = 0.5;

/// Engines in the call's own partition that are asked for admission, by the
/// prompt's shared prefix: its home and the next one.
const HOME_ENGINES: usize = 2;

/// The engine with the longest cached prefix of the prompt.
#[derive(Debug, Default)]
struct PrefixHolder {
    /// Length of the cached prefix, in tokens.
    tokens: u32,
    server: Option<ServerRecord>,
}

impl PrefixHolder {
    /// Keeps `server` if its prefix of `tokens` is the longest so far.
    fn record(&mut self, tokens: u32, server: &ServerRecord) {
        if tokens > self.tokens {
            *self = Self {
                tokens,
                server: Some(server.clone()),
            };
        }
    }
}

/// How a search for an engine went, for logs.
#[derive(Debug, Clone, Default)]
pub(super) struct AdmissionTrace {
    /// Number of admission requests.
    pub(super) asked: u32,
    /// The engine that was asked last; the call waits there if it is queued.
    pub(super) engine: Option<Rc<str>>,
    /// Whether that engine had to admit the call.
    pub(super) forced: bool,
}

/// The search of a call for an engine that admits it.
#[derive(Debug)]
struct GrantSearch<'a> {
    engines: EngineSearch,
    /// The engine with the longest cached prefix among those that have refused.
    holder: PrefixHolder,
    /// Servers that may not take the call.
    excluded: &'a [Rc<str>],
    start: StartPoint,
}

/// What follows from the decision of an engine's sidecar.
enum Conclusion {
    /// The call may be sent there, or has to be placed by the entry's own state
    /// because the sidecar does not respond.
    Placed(Option<Placement>),
    /// The engine would take this long.
    Refused(ServerRecord, Duration),
    /// The engine takes no calls.
    Unavailable,
}

/// Where a call is sent.
#[derive(Debug)]
pub(super) struct Placement {
    /// The server.
    pub(super) server: ServerRecord,
    /// Calls that wait at the server for their first event.
    pub(super) waiting_calls: u32,
    /// The sidecar's admission, if one was asked.
    pub(super) grant: Option<Grant>,
    /// An engine from which to fetch cached parts of the prompt that the server
    /// lacks.
    pub(super) fetch_from: Option<SocketAddr>,
}

impl Call {
    /// Finds a server for the call and waits until the call may be sent there.
    /// Returns `None` when no server may take it.
    pub(super) async fn place(
        &self,
        now: Instant,
        excluded: &[Rc<str>],
        start: StartPoint,
    ) -> Result<Option<Placement>, SendError> {
        let sidecars = self.state.sidecars.borrow().clone();
        let placed = match (sidecars, self.phase) {
            (Some(sidecars), Some(phase)) => {
                self.request_grant(now, &sidecars, phase, excluded, start)
                    .await?
            }
            _ => None,
        };
        match placed {
            Some(place) => Ok(Some(place)),
            None => self.choose_locally(now, excluded, start),
        }
    }

    /// Chooses a server by the local state of this entry.
    fn choose_locally(
        &self,
        now: Instant,
        excluded: &[Rc<str>],
        start: StartPoint,
    ) -> Result<Option<Placement>, SendError> {
        let part = self.partition(now);
        let request = self.server_query(part, excluded);
        let server = self.state.balancer.borrow_mut().choose(now, &request);
        let Some(server) = server else {
            return Ok(None);
        };
        let waiting_calls = self.check_wait(&server, start)?;
        Ok(Some(Placement {
            server,
            waiting_calls,
            grant: None,
            fetch_from: None,
        }))
    }

    /// Asks the sidecars of the best engines for admission. Returns `None` when
    /// a sidecar does not answer; the entry then chooses by its local state.
    async fn request_grant(
        &self,
        now: Instant,
        sidecars: &Rc<SidecarClient>,
        phase: Phase,
        excluded: &[Rc<str>],
        start: StartPoint,
    ) -> Result<Option<Placement>, SendError> {
        self.admission.take();
        let candidates = self.candidates(now, phase, excluded);
        let high_tier = phase == Phase::Prefill && urgency::is_high_tier(self.route.tier);
        let mut search = GrantSearch {
            engines: EngineSearch::new(candidates, high_tier),
            holder: PrefixHolder::default(),
            excluded,
            start,
        };
        while let Some((server, terms)) = self.next_engine(sidecars, &mut search) {
            let decided = self.decision(sidecars, server, terms, &search).await;
            match self.conclude(sidecars, decided, &mut search).await {
                Conclusion::Placed(placement) => return Ok(placement),
                Conclusion::Refused(..) | Conclusion::Unavailable => {}
            }
        }
        let Some((expected, server)) = search.engines.lowest() else {
            return Ok(None);
        };
        let server = server.clone();
        let left = self.time_to_first_event(self.state.clock.now());
        let forced = phase == Phase::Decode || self.call_timing(start).must_accept(expected, left);
        if !forced {
            return Err(self.refuse_late(&server, expected));
        }
        let terms = AdmissionTerms::Forced;
        let decided = self.decision(sidecars, server, terms, &search).await;
        match self.conclude(sidecars, decided, &mut search).await {
            Conclusion::Placed(placement) => Ok(placement),
            Conclusion::Refused(server, expected) => Err(self.refuse_late(&server, expected)),
            Conclusion::Unavailable => Ok(None),
        }
    }

    /// The next engine that a search asks, and how.
    fn next_engine(
        &self,
        sidecars: &SidecarClient,
        search: &mut GrantSearch<'_>,
    ) -> Option<(ServerRecord, AdmissionTerms)> {
        if let Some(preferred) = search.engines.next_preferred() {
            return Some(preferred);
        }
        let now = self.state.clock.now();
        let engines = self.all_engines(now, search.excluded);
        let waits = sidecars.waits.borrow();
        let next = search
            .engines
            .next_further(now, &waits, self.rank(), &engines);
        next.map(|server| (server, AdmissionTerms::Spill))
    }

    /// The engine at which a stream goes on from the memory of its run.
    pub(super) fn resumption_server(&self, tried: &[Rc<str>]) -> Option<ServerRecord> {
        let engines = self.all_engines(self.state.clock.now(), tried);
        engines.into_iter().next()
    }

    /// All engines that may take the call.
    fn all_engines(&self, now: Instant, excluded: &[Rc<str>]) -> Vec<ServerRecord> {
        let part = match self.phase {
            Some(Phase::Decode) => self.partition(now),
            _ => Partition::All,
        };
        let query = ServerQuery {
            strategy: Strategy::TwoChoices,
            ..self.server_query(part, excluded)
        };
        self.state.balancer.borrow_mut().ranked(now, &query)
    }

    /// Sends no calls to `server` for a while, as its sidecar has stated.
    fn mark_closed(&self, server: &ServerRecord, left: Duration) {
        let now = self.state.clock.now();
        let mut balancer = self.state.balancer.borrow_mut();
        balancer.close_server(now, &server.id, left);
    }

    /// Asks the sidecar next to `server`, and waits there if the call is queued.
    /// Returns the engine that has decided, with its decision.
    async fn decision(
        &self,
        sidecars: &Rc<SidecarClient>,
        server: ServerRecord,
        terms: AdmissionTerms,
        search: &GrantSearch<'_>,
    ) -> (ServerRecord, AdmissionDecision) {
        match self.ask_sidecar(sidecars, &server, terms, search).await {
            AdmissionDecision::Queued(queued) => self.wait_queued(sidecars, queued, search).await,
            decision => (server, decision),
        }
    }

    /// Acts on the decision of an engine's sidecar, and records it in the search.
    async fn conclude(
        &self,
        sidecars: &Rc<SidecarClient>,
        (server, decision): (ServerRecord, AdmissionDecision),
        search: &mut GrantSearch<'_>,
    ) -> Conclusion {
        match decision {
            AdmissionDecision::Granted(grant, held) => {
                let fetch_from = self.fetch_source(sidecars, &grant, held, search).await;
                if self.may_send(&server) {
                    let placement = self.granted_placement(server, grant, fetch_from);
                    return Conclusion::Placed(Some(placement));
                }
                search.engines.replace();
            }
            AdmissionDecision::Queued(_) | AdmissionDecision::NoResponse => {
                return Conclusion::Placed(None);
            }
            AdmissionDecision::Refused(expected, held) => {
                search.holder.record(held.tokens, &server);
                search.engines.refused(&server, expected);
                return Conclusion::Refused(server, expected);
            }
            AdmissionDecision::ServerGone => self.mark_replaced(self.state.clock.now(), &server),
            AdmissionDecision::Leaving => self.mark_leaving(&server),
            AdmissionDecision::Unlisted => search.engines.replace(),
            AdmissionDecision::Closed(left) => {
                self.mark_closed(&server, left);
                search.engines.replace();
            }
        }
        Conclusion::Unavailable
    }

    /// Waits for the decision on a queued call. A call that has waited for longer
    /// than it may take moves to an engine that takes it sooner. Returns the
    /// engine that has decided, with its decision.
    async fn wait_queued(
        &self,
        sidecars: &Rc<SidecarClient>,
        mut queued: Box<QueuedCall>,
        search: &GrantSearch<'_>,
    ) -> (ServerRecord, AdmissionDecision) {
        let mut since = self.state.clock.now();
        loop {
            let server = queued.server().clone();
            queued = match queued.wait(self.state.clock.now()).await {
                QueueOutcome::Decided(decision) => return (server, decision),
                QueueOutcome::Waiting(queued) => queued,
            };
            if !self.may_send(&server) {
                info!("queued call leaves its server", kv: {
                    id = self.request_id(), server = &*server.id
                });
                return (server, AdmissionDecision::Unlisted);
            }
            let now = self.state.clock.now();
            let waited = now.saturating_duration_since(since);
            if waited < queued.expected().mul_f64(OVERSTAY_RATIO) {
                continue;
            }
            let Some(other) = self.sooner_engine(sidecars, waited, &server, search) else {
                continue;
            };
            let terms = match queued.is_forced() {
                true => AdmissionTerms::Forced,
                false => AdmissionTerms::Spill,
            };
            match self.ask_sidecar(sidecars, &other, terms, search).await {
                AdmissionDecision::Queued(moved) => {
                    queued = moved;
                    since = now;
                }
                decision @ AdmissionDecision::Granted(..) => return (other, decision),
                _ => {}
            }
        }
    }

    /// An engine that takes the call much sooner than `server`, where it has
    /// waited for `waited`.
    fn sooner_engine(
        &self,
        sidecars: &SidecarClient,
        waited: Duration,
        server: &ServerRecord,
        search: &GrantSearch<'_>,
    ) -> Option<ServerRecord> {
        let now = self.state.clock.now();
        let limit = waited.mul_f64(MOVE_SHARE);
        let engines = self.all_engines(now, search.excluded);
        let others = engines.iter().filter(|s| s.id != server.id);
        let waits = sidecars.waits.borrow();
        waits.shortest(now, self.rank(), limit, others).cloned()
    }

    /// The engine from which the engine of `grant`, which has cached `held`,
    /// should fetch more of the prompt: one that has reported a longer prefix
    /// when it refused, or a home of the shared prefix. If none is found, the
    /// cost is one prefill.
    async fn fetch_source(
        &self,
        sidecars: &Rc<SidecarClient>,
        grant: &Grant,
        held: CachedPrefix,
        search: &mut GrantSearch<'_>,
    ) -> Option<SocketAddr> {
        let min_tokens = held.tokens.saturating_add(fetch::MIN_FETCH_TOKENS);
        let shared_parts = self
            .parsed_headers
            .prompt_parts
            .split_last()
            .map_or(&[][..], |(_, s)| s);
        let shared_tokens = shared_parts
            .iter()
            .fold(0, |sum: u32, p| sum.saturating_add(p.tokens));
        if !held.prefer_fetch || shared_tokens < min_tokens {
            return None;
        }
        let holder = std::mem::take(&mut search.holder);
        let known = holder.tokens >= min_tokens;
        let holder = match known {
            true => holder,
            false => self.find_holder(sidecars, search.engines.asked()).await,
        };
        let found = holder.tokens >= min_tokens;
        if found && !known {
            grant.report_fetch(holder.tokens);
        }
        let outcome = match (known, found) {
            (true, _) => "refusal",
            (false, true) => "look",
            (false, false) => "none",
        };
        metrics::counter!("pimentocart_fetches_total", "by" => outcome).increment(1);
        holder.server.filter(|_| found).map(|s| s.addr)
    }

    /// Looks up the cached prefix at the homes of the prompt's shared prefix
    /// that are not in `asked`.
    async fn find_holder(
        &self,
        sidecars: &Rc<SidecarClient>,
        asked: &[ServerRecord],
    ) -> PrefixHolder {
        let now = self.state.clock.now();
        let holders = {
            let balance = self.state.balancer.borrow();
            balance.prefix_holders(now, &self.server_query(Partition::All, &[]))
        };
        let not_asked = |s: &ServerRecord| asked.iter().all(|a| a.id != s.id);
        let mut not_asked = holders.into_iter().filter(not_asked);
        let mut holder = PrefixHolder::default();
        let (first, second) = (not_asked.next(), not_asked.next());
        let lookup = async |server: &Option<ServerRecord>| match server {
            Some(server) => sidecars.lookup_prefix(server, self.prompt_parts()).await,
            None => 0,
        };
        let held = futures_util::future::join(lookup(&first), lookup(&second)).await;
        for (tokens, server) in [(held.0, first), (held.1, second)] {
            if let Some(server) = server {
                holder.record(tokens, &server);
            }
        }
        holder
    }

    /// The engines to ask for admission, best first.
    fn candidates(&self, now: Instant, phase: Phase, excluded: &[Rc<str>]) -> Vec<ServerRecord> {
        let part = self.partition(now);
        let other = match part {
            Partition::First(count) => Partition::Rest(count),
            Partition::Rest(count) => Partition::First(count),
            Partition::All => Partition::All,
        };
        let mut balance = self.state.balancer.borrow_mut();
        let mut ranked = balance.ranked(now, &self.server_query(part, excluded));
        if let Some(gap) = self.route.max_gap.filter(|_| phase == Phase::Decode) {
            balance.put_slow_last(&mut ranked, gap);
        }
        ranked.truncate(HOME_ENGINES);
        if phase != Phase::Prefill {
            return ranked;
        }
        // A retry is late already; it must not lengthen the gaps of streams on
        // the decode engines.
        let other = match self.is_retry() {
            true => ServerQuery {
                strategy: Strategy::TwoChoices,
                ..self.server_query(part, excluded)
            },
            false => self.server_query(other, excluded),
        };
        let not_ranked = |s: &ServerRecord| ranked.iter().all(|r| r.id != s.id);
        let other = balance.ranked(now, &other).into_iter().find(not_ranked);
        ranked.extend(other);
        ranked
    }

    /// Asks one sidecar for admission.
    async fn ask_sidecar(
        &self,
        sidecars: &Rc<SidecarClient>,
        server: &ServerRecord,
        terms: AdmissionTerms,
        search: &GrantSearch<'_>,
    ) -> AdmissionDecision {
        self.admission.replace_with(|trace| AdmissionTrace {
            asked: trace.asked + 1,
            engine: Some(Rc::clone(&server.id)),
            forced: terms == AdmissionTerms::Forced,
        });
        let now = self.state.clock.now();
        let left = self.deadline.saturating_duration_since(now);
        let allowed = self.latency_limit(search.start);
        let ms = |duration: Duration| u32::try_from(duration.as_millis()).unwrap_or(u32::MAX);
        let request = grants::AdmissionRequest {
            request_id: self.request_id().to_owned(),
            server: server.id.to_string(),
            started_ms: server.started_ms,
            prompt_parts: self.prompt_parts(),
            first_event_ms: ms(allowed),
            timeout_ms: ms(left),
            max_gap_ms: self
                .route
                .max_gap
                .filter(|_| self.phase == Some(Phase::Decode))
                .map(ms),
            slots: server.slots,
            priority: self.rank(),
            is_home: terms == AdmissionTerms::Home,
            forced: terms == AdmissionTerms::Forced,
            remote_tokens: search.holder.tokens,
            copy_ns: self.copy_ns(),
            workspace: self
                .workspace
                .as_ref()
                .map(|w| rendezvous::hash_name(&w.name)),
            output_tokens: self.output_tokens(),
        };
        sidecars.request_admission(now, server, request).await
    }

    /// The expected number of output tokens: the caller's estimate, but at most
    /// its limit.
    pub(super) fn output_tokens(&self) -> u32 {
        let limit = self.parsed_headers.max_tokens;
        self.parsed_headers
            .length_hint
            .map_or(limit, |hint| hint.min(limit))
    }

    /// The length of the whole prompt in tokens, with the parts that it shares.
    pub(super) fn whole_prompt_tokens(&self) -> u32 {
        let parts = self.parsed_headers.prompt_parts.iter();
        let sum = parts.fold(0, |sum: u32, p| sum.saturating_add(p.tokens));
        sum.max(self.parsed_headers.prompt_tokens)
    }

    /// The parts of the prompt, in the form that sidecars take.
    fn prompt_parts(&self) -> Vec<(u64, u32)> {
        if self.parsed_headers.prompt_parts.is_empty() {
            return vec![(rand::rng().random(), self.parsed_headers.prompt_tokens)];
        }
        let parts = self
            .parsed_headers
            .prompt_parts
            .iter()
            .map(|p| (p.id, p.tokens));
        parts.take(grants::MAX_PROMPT_PARTS).collect()
    }

    /// The declared time to copy one token of KV cache between engines, in
    /// nanoseconds.
    fn copy_ns(&self) -> Option<u32> {
        let catalog = self.state.catalog.borrow();
        let service = catalog.as_ref()?.service(&self.service)?;
        let copy = service.engine.as_ref()?.copy_time?;
        u32::try_from(copy.as_nanos()).ok()
    }

    /// Whether the call may be sent to a server now.
    fn may_send(&self, server: &ServerRecord) -> bool {
        let version = self.version.get().map(|v| &**v);
        let now = self.state.clock.now();
        let balancer = self.state.balancer.borrow();
        balancer.may_send(now, &server.id, version)
    }

    /// The placement for a grant.
    fn granted_placement(
        &self,
        server: ServerRecord,
        grant: Grant,
        fetch_from: Option<SocketAddr>,
    ) -> Placement {
        let waiting_calls = self.state.balancer.borrow().waiting_calls(&server.id);
        Placement {
            server,
            waiting_calls,
            grant: Some(grant),
            fetch_from,
        }
    }

    fn refuse_late(&self, server: &ServerRecord, expected: Duration) -> SendError {
        let target = self.route.latency_target;
        let after = wait_estimate::retry_after(expected, target, rand::rng().random());
        info!("call refused", kv: {
            id = self.request_id(),
            route = self.route.name.as_str(),
            server = &*server.id,
            by = "sidecar",
            expected_ms = millis(expected),
            target_ms = millis(target),
            patience_ms = self.parsed_headers.caller_timeout.map_or(0, millis),
            timeout_ms = millis(self.route.call_timeout),
            returned = self.is_retry(),
            rank = self.rank(),
            asked = self.admission.borrow().asked,
            after_ms = millis(after)
        });
        SendError::TooLate(after)
    }

    /// The query to the balancer.
    fn server_query<'a>(&'a self, partition: Partition, tried: &'a [Rc<str>]) -> ServerQuery<'a> {
        let prefix_hash = prefix_hash(&self.parsed_headers.prompt_parts);
        ServerQuery {
            service: &self.service,
            strategy: match self.phase {
                None => Strategy::LeastOwnCalls,
                // These calls share short prefixes, which a server with few
                // calls prefills faster than a crowded one decodes.
                Some(Phase::Decode) => Strategy::TwoChoices,
                Some(Phase::Prefill) if prefix_hash.is_none() => Strategy::TwoChoices,
                Some(Phase::Prefill) => Strategy::PrefixAffinity,
            },
            prefix_hash,
            tried,
            partition,
            silence_timeout: self.silence_timeout(),
            version: self.version.get().map(|v| &**v),
        }
    }

    /// The time after which a server that has sent nothing is passed over.
    pub(super) fn silence_timeout(&self) -> Duration {
        (self.route.latency_target * SILENCE_FACTOR).clamp(MIN_SILENCE, MAX_SILENCE)
    }

    /// The longest time to the first event with which an engine may be asked to
    /// admit the call now.
    fn latency_limit(&self, start: StartPoint) -> Duration {
        let now = self.state.clock.now();
        let age = now.saturating_duration_since(self.received_at);
        let left = self.deadline.saturating_duration_since(now);
        self.call_timing(start).latency_limit(age, left)
    }

    /// The time from `now` until the caller leaves without a first event.
    pub(super) fn time_to_first_event(&self, now: Instant) -> Duration {
        let leaves_at = self.route.event_timeout.map(|t| self.received_at + t);
        let until = leaves_at.map_or(self.deadline, |at| at.min(self.deadline));
        until.saturating_duration_since(now)
    }

    /// The call's times, from which its latency limit follows.
    pub(super) fn call_timing(&self, start: StartPoint) -> CallTiming {
        CallTiming {
            tier: self.route.tier.0,
            target: self.route.latency_target,
            timeout: self.route.call_timeout,
            caller_timeout: self.parsed_headers.caller_timeout,
            first_attempt: start == StartPoint::Beginning,
        }
    }

    /// Whether the caller has certainly spent its latency target on an earlier
    /// attempt.
    fn is_retry(&self) -> bool {
        self.call_timing(StartPoint::Beginning).is_retry()
    }

    /// Checks that the call would not come too late at `server`. Returns the
    /// number of calls that wait there.
    fn check_wait(&self, server: &ServerRecord, start: StartPoint) -> Result<u32, SendError> {
        let ahead = self.state.balancer.borrow().waiting_calls(&server.id);
        // A caller that has received a part of its stream is not refused.
        if self.phase != Some(Phase::Prefill) || start != StartPoint::Beginning {
            return Ok(ahead);
        }
        let waits = self.state.wait_estimator.borrow();
        let target = self.route.latency_target;
        let now = self.state.clock.now();
        let call = CallDeadline {
            tier: self.route.tier.0,
            rank: self.rank(),
            target,
            left: self.deadline.saturating_duration_since(now),
            is_retry: self.is_retry(),
        };
        match waits.decide(&self.service, call, ahead, rand::rng().random()) {
            Decision::Send => Ok(ahead),
            Decision::Refuse {
                retry_after,
                expected,
            } => {
                info!("call refused", kv: {
                    id = self.request_id(),
                    route = self.route.name.as_str(),
                    server = &*server.id,
                    ahead,
                    expected_ms = millis(expected),
                    target_ms = millis(target),
                    after_ms = millis(retry_after)
                });
                Err(SendError::TooLate(retry_after))
            }
        }
    }

    /// The partition of the engines that the call should go to.
    fn partition(&self, now: Instant) -> Partition {
        let Some(phase) = self.phase else {
            return Partition::All;
        };
        let (engines, slots) = self.state.balancer.borrow().serving_capacity(&self.service);
        let mut pools = self.state.phase_pools.borrow_mut();
        let decode_engines = pools.decode_engines(now, &self.service, engines, slots);
        let balancer = self.state.balancer.borrow();
        let decode_engines = balancer.paced_count(&self.service, decode_engines);
        match (decode_engines, phase) {
            (0, _) => Partition::All,
            (count, Phase::Decode) => Partition::First(count),
            (count, Phase::Prefill) => Partition::Rest(count),
        }
    }
}

/// A hash of the prompt's shared prefix: all parts but the last one, which
/// belongs to the call itself. A prompt of one part has only that one.
fn prefix_hash(parts: &[platform::PromptPart]) -> Option<u64> {
    let (_, shared) = parts.split_last()?;
    let last = shared.last().or(parts.last())?;
    Some(rendezvous::score(last.id, u64::from(last.tokens)))
}
