//! Choosing a server for a call, and when it may go there.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use policy::balance::{Partition, ServerQuery, ServerRecord, Strategy};
use policy::grants::fetch;
use policy::pools::Phase;
use policy::rendezvous;
use policy::urgency::CallTiming;
use policy::wait_estimate::{self, CallDeadline, Decision};
use rand::RngExt;
use spdlog::info;
use wire::grants;

use super::{Call, StartPoint};
use crate::exchange::SendError;
use crate::grants::{AdmissionDecision, CachedPrefix, Grant, SidecarClient};
use crate::platform;
use crate::relay::millis;

/// A server that sends nothing for so many times the route's target is taken
/// to be dark; other calls find it well again as soon as anything comes.
const SILENCE_FACTOR: u32 = 3;

/// The least of that time: a plain service's slowest answers take as long.
const MIN_SILENCE: Duration = Duration::from_millis(300);

/// The most of it: an engine with a full queue still sends something.
const MAX_SILENCE: Duration = Duration::from_millis(1200);

/// Engines of the call's own part that are asked for a place by its prompt's
/// shared parts: their home and the next one.
const HOME_ENGINES: usize = 2;

/// On what terms an engine is asked for a place.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum AdmissionTerms {
    /// It is the home of the prompt's shared parts.
    Home,
    /// It is not, and has to read them.
    Spill,
    /// It has to take the call.
    Forced,
}

/// An engine that holds a part of the prompt.
#[derive(Debug, Default)]
struct PrefixHolder {
    /// Tokens from the prompt's start.
    tokens: u32,
    server: Option<ServerRecord>,
}

impl PrefixHolder {
    /// Notes that `server` holds `tokens`.
    fn record(&mut self, tokens: u32, server: &ServerRecord) {
        if tokens > self.tokens {
            *self = Self {
                tokens,
                server: Some(server.clone()),
            };
        }
    }
}

/// Where a call goes.
#[derive(Debug)]
pub(super) struct Placement {
    /// The server.
    pub(super) server: ServerRecord,
    /// Calls that wait there for their first event.
    pub(super) waiting_calls: u32,
    /// The sidecar's leave, if there is one.
    pub(super) grant: Option<Grant>,
    /// An engine that holds parts of the prompt which this one lacks.
    pub(super) fetch_from: Option<SocketAddr>,
}

impl Call {
    /// Finds a server for the call and waits until it may be sent there; none
    /// when no server may take it.
    pub(super) async fn place(
        &self,
        now: Instant,
        avoid: &[Rc<str>],
        begin: StartPoint,
    ) -> Result<Option<Placement>, SendError> {
        let sidecars = self.state.sidecars.borrow().clone();
        let placed = match (sidecars, self.phase) {
            (Some(sidecars), Some(phase)) => {
                self.request_grant(now, &sidecars, phase, avoid, begin)
                    .await?
            }
            _ => None,
        };
        match placed {
            Some(place) => Ok(Some(place)),
            None => self.choose_locally(now, avoid, begin),
        }
    }

    /// Chooses by what this entry knows.
    fn choose_locally(
        &self,
        now: Instant,
        avoid: &[Rc<str>],
        begin: StartPoint,
    ) -> Result<Option<Placement>, SendError> {
        let part = self.partition(now);
        let want = self.server_query(part, avoid);
        let server = self.state.balancer.borrow_mut().choose(now, &want);
        let Some(server) = server else {
            return Ok(None);
        };
        let waiting_calls = self.check_wait(&server, begin)?;
        Ok(Some(Placement {
            server,
            waiting_calls,
            grant: None,
            fetch_from: None,
        }))
    }

    /// Asks the sidecars of the best engines for a place; none when the first
    /// that matters is silent, and the entry has to choose by itself.
    async fn request_grant(
        &self,
        now: Instant,
        sidecars: &Rc<SidecarClient>,
        phase: Phase,
        avoid: &[Rc<str>],
        begin: StartPoint,
    ) -> Result<Option<Placement>, SendError> {
        let mut least: Option<(Duration, ServerRecord)> = None;
        let mut holder = PrefixHolder::default();
        let candidates = self.candidates(now, phase, avoid);
        for (n, server) in candidates.iter().enumerate() {
            let terms = if n == 0 {
                AdmissionTerms::Home
            } else {
                AdmissionTerms::Spill
            };
            let asked = self.ask_sidecar(sidecars, server, begin, terms, &holder);
            match asked.await {
                AdmissionDecision::Granted(grant, held) => {
                    let asked = &candidates[..=n];
                    let fetch_from = self
                        .fetch_source(sidecars, &grant, held, holder, asked)
                        .await;
                    return Ok(self.granted_placement(server, grant, fetch_from));
                }
                AdmissionDecision::NoResponse => return Ok(None),
                AdmissionDecision::ServerGone => self.mark_replaced(now, server),
                AdmissionDecision::Leaving => self.mark_leaving(server),
                AdmissionDecision::Refused(expected, held) => {
                    holder.record(held.tokens, server);
                    if least.as_ref().is_none_or(|(e, _)| expected < *e) {
                        least = Some((expected, server.clone()));
                    }
                }
            }
        }
        let Some((expected, server)) = least else {
            return Ok(None);
        };
        let left = self
            .deadline
            .saturating_duration_since(self.state.clock.now());
        let must = phase == Phase::Decode || self.call_timing(begin).must_accept(expected, left);
        if !must {
            return Err(self.refuse_late(&server, expected));
        }
        let asked = self.ask_sidecar(sidecars, &server, begin, AdmissionTerms::Forced, &holder);
        match asked.await {
            AdmissionDecision::Granted(grant, held) => {
                let fetch_from = self.fetch_source(sidecars, &grant, held, holder, &candidates);
                let fetch_from = fetch_from.await;
                Ok(self.granted_placement(&server, grant, fetch_from))
            }
            AdmissionDecision::NoResponse => Ok(None),
            AdmissionDecision::ServerGone => {
                self.mark_replaced(now, &server);
                Ok(None)
            }
            AdmissionDecision::Leaving => {
                self.mark_leaving(&server);
                Ok(None)
            }
            AdmissionDecision::Refused(expected, _) => Err(self.refuse_late(&server, expected)),
        }
    }

    /// From where the engine of `grant`, which holds `held` of the prompt,
    /// should fetch more of it: from an engine that has said so, or from one
    /// of the homes of the shared parts. Not knowing costs one read.
    async fn fetch_source(
        &self,
        sidecars: &Rc<SidecarClient>,
        grant: &Grant,
        held: CachedPrefix,
        holder: PrefixHolder,
        asked: &[ServerRecord],
    ) -> Option<SocketAddr> {
        let wanted = held.tokens.saturating_add(fetch::MIN_FETCH_TOKENS);
        let shared = self
            .parsed_headers
            .prompt_parts
            .split_last()
            .map_or(&[][..], |(_, s)| s);
        let shared = shared
            .iter()
            .fold(0, |sum: u32, p| sum.saturating_add(p.tokens));
        if !held.prefer_fetch || shared < wanted {
            return None;
        }
        let known = holder.tokens >= wanted;
        let holder = match known {
            true => holder,
            false => self.find_holder(sidecars, asked).await,
        };
        let found = holder.tokens >= wanted;
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

    /// Asks the homes of the prompt's shared parts, but those in `asked`, what
    /// they hold.
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
        let fresh = |s: &ServerRecord| asked.iter().all(|a| a.id != s.id);
        let mut fresh = holders.into_iter().filter(fresh);
        let mut holder = PrefixHolder::default();
        let (one, two) = (fresh.next(), fresh.next());
        let look = async |server: &Option<ServerRecord>| match server {
            Some(server) => sidecars.lookup_prefix(server, self.prompt_parts()).await,
            None => 0,
        };
        let held = futures_util::future::join(look(&one), look(&two)).await;
        for (tokens, server) in [(held.0, one), (held.1, two)] {
            if let Some(server) = server {
                holder.record(tokens, &server);
            }
        }
        holder
    }

    /// The engines to ask, the best first.
    fn candidates(&self, now: Instant, phase: Phase, avoid: &[Rc<str>]) -> Vec<ServerRecord> {
        let part = self.partition(now);
        let other = match part {
            Partition::First(count) => Partition::Rest(count),
            Partition::Rest(count) => Partition::First(count),
            Partition::All => Partition::All,
        };
        let mut balance = self.state.balancer.borrow_mut();
        let mut ranked = balance.ranked(now, &self.server_query(part, avoid));
        ranked.truncate(HOME_ENGINES);
        if phase != Phase::Prefill {
            return ranked;
        }
        // One that is late anyway is not to stretch the pauses of streams.
        let other = match self.is_retry() {
            true => ServerQuery {
                strategy: Strategy::TwoChoices,
                ..self.server_query(part, avoid)
            },
            false => self.server_query(other, avoid),
        };
        let fresh = |s: &ServerRecord| ranked.iter().all(|r| r.id != s.id);
        let other = balance.ranked(now, &other).into_iter().find(fresh);
        ranked.extend(other);
        ranked
    }

    /// Asks one sidecar.
    async fn ask_sidecar(
        &self,
        sidecars: &Rc<SidecarClient>,
        server: &ServerRecord,
        begin: StartPoint,
        terms: AdmissionTerms,
        holder: &PrefixHolder,
    ) -> AdmissionDecision {
        let now = self.state.clock.now();
        let age = now.saturating_duration_since(self.received_at);
        let left = self.deadline.saturating_duration_since(now);
        let allowed = self.call_timing(begin).latency_limit(age, left);
        let ms = |span: Duration| u32::try_from(span.as_millis()).unwrap_or(u32::MAX);
        let want = grants::AdmissionRequest {
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
            remote_tokens: holder.tokens,
            copy_ns: self.copy_ns(),
        };
        sidecars.request_admission(now, server, want).await
    }

    /// The parts of the prompt, as sidecars are told.
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

    /// Nanoseconds for copying a token between engines, as declared.
    fn copy_ns(&self) -> Option<u32> {
        let catalog = self.state.catalog.borrow();
        let service = catalog.as_ref()?.service(&self.service)?;
        let copy = service.engine.as_ref()?.copy_time?;
        u32::try_from(copy.as_nanos()).ok()
    }

    /// A place that was granted, unless the server has left meanwhile.
    fn granted_placement(
        &self,
        server: &ServerRecord,
        grant: Grant,
        fetch_from: Option<SocketAddr>,
    ) -> Option<Placement> {
        let balance = self.state.balancer.borrow();
        let waiting_calls = balance.waiting_calls(&server.id);
        balance.accepts_calls(&server.id).then(|| Placement {
            server: server.clone(),
            waiting_calls,
            grant: Some(grant),
            fetch_from,
        })
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
            after_ms = millis(after)
        });
        SendError::TooLate(after)
    }

    /// What is asked of the balance.
    fn server_query<'a>(&'a self, partition: Partition, tried: &'a [Rc<str>]) -> ServerQuery<'a> {
        let prefix_hash = prefix_hash(&self.parsed_headers.prompt_parts);
        ServerQuery {
            service: &self.service,
            strategy: match self.phase {
                None => Strategy::LeastOwnCalls,
                // What little these calls share is read faster than a crowded
                // server writes.
                Some(Phase::Decode) => Strategy::TwoChoices,
                Some(Phase::Prefill) if prefix_hash.is_none() => Strategy::TwoChoices,
                Some(Phase::Prefill) => Strategy::PrefixAffinity,
            },
            prefix_hash,
            tried,
            partition,
            silence_timeout: (self.route.latency_target * SILENCE_FACTOR)
                .clamp(MIN_SILENCE, MAX_SILENCE),
        }
    }

    /// What its terms depend on.
    fn call_timing(&self, begin: StartPoint) -> CallTiming {
        CallTiming {
            tier: self.route.tier.0,
            target: self.route.latency_target,
            timeout: self.route.call_timeout,
            caller_timeout: self.parsed_headers.caller_timeout,
            first_attempt: begin == StartPoint::Beginning,
        }
    }

    /// Whether the caller has spent its target elsewhere before.
    fn is_retry(&self) -> bool {
        self.call_timing(StartPoint::Beginning).is_retry()
    }

    /// Whether the call may go to a server, or would come too late there.
    fn check_wait(&self, server: &ServerRecord, begin: StartPoint) -> Result<u32, SendError> {
        let ahead = self.state.balancer.borrow().waiting_calls(&server.id);
        // A caller that has a part of its stream is not turned away.
        if self.phase != Some(Phase::Prefill) || begin != StartPoint::Beginning {
            return Ok(ahead);
        }
        let waits = self.state.wait_estimator.borrow();
        let target = self.route.latency_target;
        let now = self.state.clock.now();
        let claim = CallDeadline {
            tier: self.route.tier.0,
            rank: self.rank(),
            target,
            left: self.deadline.saturating_duration_since(now),
            is_retry: self.is_retry(),
        };
        match waits.decide(&self.service, claim, ahead, rand::rng().random()) {
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

    /// The part of the engines that the call should go to.
    fn partition(&self, now: Instant) -> Partition {
        let Some(phase) = self.phase else {
            return Partition::All;
        };
        let (engines, slots) = self.state.balancer.borrow().serving_capacity(&self.service);
        let mut pools = self.state.phase_pools.borrow_mut();
        let writers = pools.decode_engines(now, &self.service, engines, slots);
        match (writers, phase) {
            (0, _) => Partition::All,
            (count, Phase::Decode) => Partition::First(count),
            (count, Phase::Prefill) => Partition::Rest(count),
        }
    }
}

/// The shared parts of a prompt as one number: all but the last one, which
/// belongs to the call itself.
fn prefix_hash(parts: &[platform::PromptPart]) -> Option<u64> {
    let (_, shared) = parts.split_last()?;
    let last = shared.last().or(parts.last())?;
    Some(rendezvous::score(last.id, u64::from(last.tokens)))
}
