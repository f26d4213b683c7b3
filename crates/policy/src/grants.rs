//! Admission control of one inference engine, done by the sidecar on its host
//! for the calls of all entries.
//!
//! Load pattern: two dozen entries send prompts to as many engines, for some
//! seconds faster than the engines can prefill them. Each entry has about one
//! call at an engine and learns late about the calls of the others. Some
//! engines then build queues of several seconds while others are idle, and
//! half of the answers miss their targets. The sidecar sees every call for its
//! engine: it admits as much as the engine can prefill within a few steps,
//! queues the rest by priority and due time, and refuses at once any call that
//! would miss its limit. See docs/DECISIONS/0603-grants.md.
//!
//! - [`availability`]: whether the engine takes calls at all.
//! - [`call`]: requests, decisions and engine reports.
//! - [`parts`]: which prompt parts the engine's cache should hold.
//! - [`fetch`]: the time to copy prompt tokens from another engine.
//! - `gaps`: the gaps that streams see beside prefill.
//! - [`incarnations`]: which incarnation of the engine is current.
//! - `timing`: a model of the time to first token (TTFT).
//! - `queue`: the calls that wait for admission.
//! - `mix`: the share of recent work that was more urgent than a call.
//! - `reserve`: slots that are reserved for streams.
//! - `room`: whether the engine has slots, memory and time for a call.
//! - `displace`: queued calls that are refused when others go ahead of them.

pub mod availability;
pub mod call;
mod displace;
pub mod fetch;
mod gaps;
pub mod incarnations;
mod mix;
pub mod parts;
mod queue;
mod reserve;
mod room;
mod timing;

use std::collections::{HashMap, VecDeque};
use std::time::{Duration, Instant};

use crate::estimate::averages::MovingAverage;
use crate::shares::{self, ShareAccount};
pub use call::{CallId, EngineEstimates, EngineReport, GrantDecision, GrantRequest};
use fetch::FetchEstimate;
use gaps::GapModel;
use mix::RankMix;
use parts::PartCache;
use queue::{LAST_CALL, QueueKey, QueuedCall, WaitQueue};
use reserve::StreamReserve;
use timing::TtftModel;

/// Initial value and bounds of the admission window: the unread prompt tokens
/// up to which more calls are admitted. A first event takes about 40 ms even
/// on an idle engine, in which the engine prefills 4,000 to 6,000 tokens. A
/// call that waits outside the engine can still be overtaken by a more urgent
/// one.
const WINDOW_INITIAL: f64 = 9_000.0;
const WINDOW_MIN: f64 = 4_000.0;
const WINDOW_MAX: f64 = 16_000.0;

/// Factors by which the window follows the engine's reports while calls are
/// queued. It grows while the engine has at most one prompt to read, because
/// the engine may run out of work, and shrinks while it has several.
const WINDOW_GROWTH: f64 = 1.1;
const WINDOW_DECAY: f64 = 0.93;

/// Number of calls in the engine with partly read prompts up to which the
/// window grows, and from which it shrinks.
const UNREAD_LOW: u32 = 1;
const UNREAD_HIGH: u32 = 4;

/// Share of the strictest stream's maximum gap that prefill of other calls may
/// take at the estimated pace: initial value and bounds. The rest is left for
/// decode steps and the network.
const GAP_SHARE_INITIAL: f64 = 0.55;
const GAP_SHARE_MIN: f64 = 0.2;
const GAP_SHARE_MAX: f64 = 2.0;

/// How the share follows the longest gap of each finished stream: it grows
/// while gaps stay below this part of the maximum, and shrinks when they
/// exceed the maximum. With these factors about one stream in ten may be late
/// while the share grows.
const PAUSE_SLACK: f64 = 0.85;
const GAP_SHARE_GROWTH: f64 = 1.015;
const GAP_SHARE_DECAY: f64 = 0.9;

/// A queued call can be overtaken for this multiple of its own prefill time. A
/// call whose shared parts are cached reads a tenth of what others read;
/// queued behind two uncached calls it would be refused, although it would
/// delay them by a tenth only. The limit keeps long calls from being overtaken
/// forever.
const OVERTAKE_FACTOR: f64 = 4.0;

/// Assumed share of less urgent prompts in the engine that it has already
/// started to read.
const STARTED_SHARE: f64 = 0.5;

/// Limit on a call's own tokens in the estimate of its TTFT. Long prompts are
/// admitted on the terms of average ones, or they would never be served during
/// bursts.
const OWN_TOKENS_MAX: u32 = 12_000;

/// An admitted call without a first event for this long is treated as running:
/// its entry may have stopped, or the message was lost.
const PENDING_TIMEOUT: Duration = Duration::from_millis(1500);

/// Work of one slot, in tokens, when the admitted work of ranks is compared: a
/// call that is fully cached still takes a slot.
const SLOT_TOKENS: f64 = 1_000.0;

/// Assumed time that a call holds its slot, in seconds, until one was
/// measured.
const HOLD_TIME_PRIOR: f64 = 0.5;

/// Assumed time per output token, in seconds, until one was measured.
const TOKEN_TIME_PRIOR: f64 = 0.01;

/// Queued calls behind one that waits for streams to end that are considered
/// at a time; bounds the work of a decision.
const MAX_SKIPPED: usize = 32;

/// How long admitted prefill is remembered; the gaps that streams allow are
/// shorter.
const READ_HISTORY: Duration = Duration::from_secs(2);

/// Admission controller of one engine.
#[derive(Debug)]
pub struct GrantController {
    /// Calls that wait for admission.
    queue: WaitQueue,
    /// Admitted calls that have no first event yet.
    pending: HashMap<CallId, PendingCall>,
    /// Calls that have had their first event, with the deadline after which
    /// they are dropped.
    running: HashMap<CallId, RunningCall>,
    /// Estimate of the time to first token.
    timing: TtftModel,
    /// Estimate of the time to fetch a token from another engine.
    fetch: FetchEstimate,
    /// Mean time from first event to the end of a call, in seconds.
    hold_time: MovingAverage,
    /// Unread prompt tokens up to which more calls are admitted.
    window: f64,
    /// Prompt parts that the engine's cache should hold.
    parts: PartCache,
    /// The engine's last report and its time.
    report: Option<(Instant, EngineReport)>,
    /// Start of the engine's current incarnation, if known.
    started_at: Option<u64>,
    /// Calls that the engine runs concurrently.
    slots: u32,
    /// Recently admitted work by rank.
    mix: RankMix,
    /// Recent arrivals of streams.
    reserve: StreamReserve,
    /// Share of a stream's maximum gap that prefill may take.
    gap_share: f64,
    /// Recently admitted prefill, in seconds.
    recent_reads: VecDeque<(Instant, f64)>,
    /// Mean time per output token of a call, in seconds.
    token_time: MovingAverage,
    /// Learned gaps of streams; none if prefill beside streams follows
    /// `gap_share`.
    gaps: Option<GapModel>,
    /// The service of workspaces, if the engine is shared fairly.
    shares: Option<ShareAccount>,
    /// Queued calls that were refused since they were last taken.
    displaced: Vec<(CallId, Duration)>,
}

/// The work of a prompt before its first event.
#[derive(Debug, Clone, Copy)]
struct PromptCost {
    /// Tokens to prefill, plus the fetch time converted to tokens.
    tokens: u32,
    /// Tokens to fetch from another engine.
    fetched: u32,
    /// Tokens that the engine's cache does not hold.
    missing: u32,
    /// Output tokens that the call is expected to produce.
    output: u32,
}

#[derive(Debug)]
struct PendingCall {
    since: Instant,
    cost: PromptCost,
    /// Unread tokens at admission, including the call's own.
    backlog: u32,
    request: GrantRequest,
}

impl PendingCall {
    /// The call after its first event.
    fn to_running(&self, now: Instant) -> RunningCall {
        RunningCall {
            since: now,
            deadline: self.since + self.request.time_left,
            max_gap: self.request.max_gap,
            rank: self.request.rank,
            output_tokens: self.request.output_tokens,
            peak_load: 0,
        }
    }
}

#[derive(Debug)]
struct RunningCall {
    since: Instant,
    deadline: Instant,
    max_gap: Option<Duration>,
    rank: u8,
    /// Output tokens that the call is expected to produce.
    output_tokens: u32,
    /// Most prefill admitted within one maximum gap, in tokens; counted for
    /// streams if their gaps are learned.
    peak_load: u32,
}

impl Default for GrantController {
    fn default() -> Self {
        Self {
            queue: WaitQueue::default(),
            pending: HashMap::new(),
            running: HashMap::new(),
            timing: TtftModel::default(),
            fetch: FetchEstimate::default(),
            hold_time: MovingAverage::default(),
            window: WINDOW_INITIAL,
            parts: PartCache::default(),
            report: None,
            started_at: None,
            slots: 0,
            mix: RankMix::default(),
            reserve: StreamReserve::default(),
            gap_share: GAP_SHARE_INITIAL,
            recent_reads: VecDeque::new(),
            token_time: MovingAverage::default(),
            gaps: None,
            shares: None,
            displaced: Vec::new(),
        }
    }
}

impl GrantController {
    /// From now on learns the gaps of streams beside prefill and reserves
    /// memory for the answers of admitted calls.
    pub fn enable_paces(&mut self) {
        self.gaps = Some(GapModel::default());
    }

    /// A controller that shares the engine fairly between workspaces while calls
    /// wait; `shares` is an account without any service.
    #[must_use]
    pub fn with_shares(shares: ShareAccount) -> Self {
        Self {
            shares: Some(shares),
            ..Self::default()
        }
    }

    /// Decides whether a call is admitted, queued or refused. Idempotent: a
    /// repeated request for the same call gets the same answer, so that a lost
    /// reply costs only time.
    pub fn request(&mut self, now: Instant, request: GrantRequest) -> GrantDecision {
        self.expire(now);
        self.slots = request.slots.max(1);
        if self.pending.contains_key(&request.id) || self.running.contains_key(&request.id) {
            return GrantDecision::Granted;
        }
        if let Some(key) = self.queue.key(request.id) {
            return GrantDecision::Queued(key.due.saturating_duration_since(now));
        }

        self.fetch.declare(request.copy_time);
        let cost = self.prompt_cost(&request);
        let key = QueueKey {
            rank: request.rank,
            due: now + self.overtake_limit(&request, cost),
        };
        let expected = self.expected_ttft(now, key, LAST_CALL, cost.tokens, &request);
        if request.max_gap.is_some() {
            self.reserve.record_stream(now);
            let excess = self.gap_excess(now, &request, cost);
            let admitted = self.has_room(now, cost) && excess.is_zero();
            return match request.forced || admitted {
                true => {
                    self.admit(now, cost, request);
                    GrantDecision::Granted
                }
                false => GrantDecision::Refused(expected.saturating_add(excess)),
            };
        }
        let beside = match self.gaps.is_some() {
            true => self.within_gap(now, &request, cost),
            false => !self.exceeds_gap(cost.tokens),
        };
        let fits = self.fits_memory(now, cost) && (request.is_home || beside);
        // No other engine can be faster than an idle one.
        let idle = self.queue.is_empty() && self.unread_tokens() == 0;
        let start_by = now + self.start_limit(&request, cost);
        let may_start = self.may_start(now, &request, cost, start_by);
        // A refusal states the time without this wait: a call that has to be
        // admitted all the same does not wait for streams beyond its limit.
        let waited = expected.saturating_add(self.gap_wait(now, &request, cost));
        let late = waited > request.ttft_limit && !(idle && may_start);
        if !request.forced && (late || !fits) {
            let expected = expected.max(self.share_wait(&request));
            return GrantDecision::Refused(expected.max(request.ttft_limit));
        }
        let free = self.queue.is_empty() && may_start;
        if free || self.never_fits(cost) {
            self.admit(now, cost, request);
            return GrantDecision::Granted;
        }
        let queued = QueuedCall {
            since: now,
            start_by,
            tokens: cost.tokens,
            cost: shares::call_cost(cost.tokens, request.output_tokens),
            request,
        };
        let workspace = self.lane(&queued.request);
        self.queue.push(key, workspace, queued);
        self.displace(now, key, workspace);
        GrantDecision::Queued(expected)
    }

    /// Admits queued calls as far as there is room. Returns each with the
    /// number of tokens at its prompt's start that the engine holds.
    pub fn grant_waiting(&mut self, now: Instant) -> Vec<(CallId, u32)> {
        self.expire(now);
        let mut granted = Vec::new();
        while let Some(id) = self.next_startable(now) {
            let Some(queued) = self.queue.remove(id) else {
                break;
            };
            let request = queued.request;
            // Shared parts may have been read since the call was queued.
            let cost = self.prompt_cost(&request);
            granted.push((request.id, request.tokens().saturating_sub(cost.missing)));
            self.admit(now, cost, request);
        }
        granted
    }

    /// The first queued call that may be admitted now. A call that waits for
    /// streams to end does not hold up those behind it.
    fn next_startable(&self, now: Instant) -> Option<CallId> {
        let shares = self.shares.as_ref();
        let first = self.queue.first(shares)?;
        let cost = self.prompt_cost(&first.request);
        if self.may_start(now, &first.request, cost, first.start_by) {
            return Some(first.request.id);
        }
        if !self.waits_for_streams(&first.request, cost) {
            return None;
        }
        for call in self.queue.ordered(shares, MAX_SKIPPED) {
            let cost = self.prompt_cost(&call.request);
            if self.may_start(now, &call.request, cost, call.start_by) {
                return Some(call.request.id);
            }
            if !self.waits_for_streams(&call.request, cost) {
                return None;
            }
        }
        None
    }

    /// Removes the queued calls that have waited for streams to end for as
    /// long as their limits allow, so that their entries ask other engines.
    /// Returns each with the time that its first token would take.
    pub fn refuse_waiting(&mut self, now: Instant) -> Vec<(CallId, Duration)> {
        if self.gaps.is_none() {
            return Vec::new();
        }
        let overdue = |call: &&QueuedCall| {
            now >= call.start_by
                && !call.request.forced
                && self.waits_for_streams(&call.request, self.prompt_cost(&call.request))
        };
        let overdue = self.queue.iter().filter(overdue);
        let refused = overdue.map(|call| (call.request.id, call.request.ttft_limit));
        let refused: Vec<(CallId, Duration)> = refused.collect();
        for (id, _) in &refused {
            self.queue.remove(*id);
        }
        refused
    }

    /// Notes that an admitted call fetches tokens from another engine, which
    /// holds the first `fetchable` tokens of the prompt.
    pub fn record_fetch(&mut self, id: CallId, fetchable: u32) {
        let Some(call) = self.pending.get(&id) else {
            return;
        };
        // The prompt was added to the cache at admission, so the held tokens
        // follow from those that were missing then.
        let held = call.request.tokens() - call.cost.missing.min(call.request.tokens());
        let cost = self.cost_with_source(call.cost.missing, held, fetchable);
        if cost.fetched == 0 {
            return;
        }
        self.fetch.record_chance(true);
        if let Some(call) = self.pending.get_mut(&id) {
            let others = call.backlog.saturating_sub(call.cost.tokens);
            call.backlog = others.saturating_add(cost.tokens);
            call.cost = PromptCost {
                output: call.cost.output,
                ..cost
            };
        }
    }

    /// Whether fetching prompt tokens is faster than reading them.
    #[must_use]
    pub fn fetch_pays(&self) -> bool {
        self.fetch.pays(self.timing.pace())
    }

    /// Notes that a call has had its first event.
    pub fn record_first_event(&mut self, now: Instant, id: CallId) {
        let Some(call) = self.pending.remove(&id) else {
            return;
        };
        let PromptCost {
            tokens, fetched, ..
        } = call.cost;
        if fetched > 0 {
            self.learn_fetch(now, &call, fetched);
        }
        self.timing
            .record_first_event(now, call.since, tokens, fetched > 0);
        self.start_running(now, id, &call);
    }

    /// Moves an admitted call to the running ones.
    fn start_running(&mut self, now: Instant, id: CallId, call: &PendingCall) {
        let mut running = call.to_running(now);
        if let (Some(gaps), Some(gap)) = (&self.gaps, running.max_gap) {
            running.peak_load = gaps.load(now, gap);
        }
        self.running.insert(id, running);
    }

    /// Derives the fetch time from a call's time to first event.
    fn learn_fetch(&mut self, now: Instant, call: &PendingCall, fetched: u32) {
        let elapsed = now.saturating_duration_since(call.since).as_secs_f64();
        let (base, pace) = (self.timing.base(), self.timing.pace());
        let unexplained = elapsed - f64::from(call.backlog) * pace - base;
        let expected_fetch = f64::from(fetched) * self.fetch.token_time().min(pace);
        self.fetch.record(fetched, unexplained + expected_fetch);
    }

    /// Removes a call that has ended or was cancelled; `pause` is the longest
    /// gap between two of its events.
    pub fn call_ended(&mut self, now: Instant, id: CallId, pause: Duration) {
        self.queue.remove(id);
        self.pending.remove(&id);
        if let Some(call) = self.running.remove(&id) {
            let held = now.saturating_duration_since(call.since);
            self.hold_time.add(held.as_secs_f64());
            if call.output_tokens > 0 {
                let tokens = f64::from(call.output_tokens);
                self.token_time.add(held.as_secs_f64() / tokens);
            }
            if let Some(gap) = call.max_gap {
                self.adapt_gap_share(gap, pause);
                // A stream of one event shows no gap.
                if let Some(gaps) = self.gaps.as_mut().filter(|_| !pause.is_zero()) {
                    gaps.record_stream(now, call.peak_load, pause, gap);
                }
            }
        }
    }

    /// Adapts the prefill share to the gaps that a stream has seen.
    fn adapt_gap_share(&mut self, gap: Duration, pause: Duration) {
        let step = match pause.as_secs_f64() / gap.as_secs_f64() {
            p if p > 1.0 => GAP_SHARE_DECAY,
            p if p < PAUSE_SLACK => GAP_SHARE_GROWTH,
            _ => 1.0,
        };
        self.gap_share = (self.gap_share * step).clamp(GAP_SHARE_MIN, GAP_SHARE_MAX);
    }

    /// Notes the start time of an engine incarnation; returns whether it is
    /// the newest one known. A newer incarnation has an empty cache and runs
    /// nothing, so the state of the previous one is dropped: it would make the
    /// new one look full and its prompts cached. Queued calls have not been
    /// sent yet and stay.
    pub fn observe_incarnation(&mut self, started_at: Option<u64>) -> bool {
        if started_at < self.started_at {
            return started_at.is_none();
        }
        if started_at > self.started_at && self.started_at.is_some() {
            self.engine_stopped();
        }
        self.started_at = started_at;
        true
    }

    /// Takes a report of the engine.
    pub fn update_report(&mut self, now: Instant, report: EngineReport) {
        if !self.observe_incarnation(report.started_at) {
            return;
        }
        self.parts
            .set_capacity(report.total_tokens.saturating_sub(report.used_tokens));
        if !self.queue.is_empty() {
            let step = match report.unread_calls {
                ..=UNREAD_LOW => WINDOW_GROWTH,
                UNREAD_HIGH.. => WINDOW_DECAY,
                _ => 1.0,
            };
            self.window = (self.window * step).clamp(WINDOW_MIN, WINDOW_MAX);
        }
        self.report = Some((now, report));
    }

    /// Drops the cache contents and the report, as after an engine restart.
    pub fn reset_engine(&mut self) {
        self.parts = PartCache::default();
        self.report = None;
        if let Some(gaps) = &mut self.gaps {
            *gaps = GapModel::default();
        }
    }

    /// Drops the admitted calls as well, since they ended with the engine.
    pub fn engine_stopped(&mut self) {
        self.reset_engine();
        self.pending.clear();
        self.running.clear();
    }

    /// The estimates about the engine, for logs.
    #[must_use]
    pub fn estimates(&self) -> EngineEstimates {
        EngineEstimates {
            pace_ns: (self.timing.pace() * 1e9) as u64,
            fetch_ns: (self.fetch.token_time() * 1e9) as u64,
            base_us: (self.timing.base() * 1e6) as u64,
            window: self.window as u64,
            gap_percent: self
                .min_gap()
                .map_or(0, |_| (self.gap_share * 100.0) as u64),
        }
    }

    /// Tokens of a prompt that the engine would have to prefill.
    #[must_use]
    pub fn missing_tokens(&self, parts: &[(u64, u32)]) -> u32 {
        self.parts.missing_tokens(parts)
    }

    /// Tokens at a prompt's start that the engine holds.
    #[must_use]
    pub fn held_tokens(&self, parts: &[(u64, u32)]) -> u32 {
        self.parts.held_tokens(parts)
    }

    /// Number of queued, admitted and running calls.
    #[must_use]
    pub fn counts(&self) -> (usize, usize, usize) {
        (self.queue.len(), self.pending.len(), self.running.len())
    }

    /// How long a call may be overtaken by others of its rank.
    fn overtake_limit(&self, request: &GrantRequest, cost: PromptCost) -> Duration {
        let own = f64::from(cost.tokens) * self.timing.pace();
        Duration::from_secs_f64(own * OVERTAKE_FACTOR).min(request.ttft_limit)
    }

    /// Expected TTFT of a call at position `key` of the queue that has to read
    /// `tokens`; `id` is [`LAST_CALL`] for a new call.
    fn expected_ttft(
        &self,
        now: Instant,
        key: QueueKey,
        id: CallId,
        tokens: u32,
        request: &GrantRequest,
    ) -> Duration {
        let (calls, queued_tokens) = match request.max_gap {
            None => {
                let lane = self.lane(request);
                let ahead = self.queue.ahead_of(key, id, lane, self.shares.as_ref());
                (ahead.calls, ahead.tokens)
            }
            Some(_) => (0, 0),
        };
        let ahead = queued_tokens + u64::from(tokens.min(OWN_TOKENS_MAX));
        let ahead = u32::try_from(ahead).unwrap_or(u32::MAX);
        let base = self.timing.base();
        let prefill = (self.unread_ahead(request.rank) + f64::from(ahead)) * self.timing.pace();
        let slot_wait = self.slot_wait(now, calls);
        // More urgent calls that arrive later go first as well.
        let free_share = 1.0 - self.mix.share_before(request.rank);
        Duration::from_secs_f64(base + prefill.max(slot_wait) / free_share)
    }

    /// Seconds until a slot is free behind `calls` others.
    fn slot_wait(&self, now: Instant, calls: u32) -> f64 {
        let needed = self.used_slots(now).saturating_add(calls).saturating_add(1);
        let excess = needed.saturating_sub(self.prefill_slots(now));
        let hold_time = self.hold_time.get().unwrap_or(HOLD_TIME_PRIOR);
        f64::from(excess) * hold_time / f64::from(self.slots.max(1))
    }

    /// The cost of a call on this engine.
    fn prompt_cost(&self, request: &GrantRequest) -> PromptCost {
        let missing = self.parts.missing_tokens(&request.parts);
        let held = request.tokens().saturating_sub(missing);
        let cost = self.cost_with_source(missing, held, request.fetchable);
        PromptCost {
            output: request.output_tokens,
            ..cost
        }
    }

    /// The cost of a prompt of which this engine holds the first `held` tokens
    /// and misses `missing`, while another engine holds the first `fetchable`.
    fn cost_with_source(&self, missing: u32, held: u32, fetchable: u32) -> PromptCost {
        let available = fetchable.saturating_sub(held).min(missing);
        let fetched = match available >= fetch::MIN_FETCH_TOKENS && self.fetch_pays() {
            true => available,
            false => 0,
        };
        let ratio = (self.fetch.token_time() / self.timing.pace()).min(1.0);
        let tokens = missing - fetched + (f64::from(fetched) * ratio) as u32;
        PromptCost {
            tokens,
            fetched,
            missing,
            output: 0,
        }
    }

    /// Prompt tokens of admitted calls without a first event.
    fn unread_tokens(&self) -> u32 {
        sum_tokens(self.pending.values().map(|call| call.cost.tokens))
    }

    /// The part of the unread tokens that the engine reads before a call of
    /// `rank`. It reads the most urgent prompts first, but finishes those that
    /// it has started.
    fn unread_ahead(&self, rank: u8) -> f64 {
        let share = |call: &PendingCall| match call.request.rank <= rank {
            true => f64::from(call.cost.tokens),
            false => f64::from(call.cost.tokens) * STARTED_SHARE,
        };
        self.pending.values().map(share).sum()
    }

    fn admit(&mut self, now: Instant, cost: PromptCost, request: GrantRequest) {
        if request.fetchable >= fetch::MIN_FETCH_TOKENS {
            self.fetch.record_chance(cost.fetched > 0);
        }
        self.parts.insert(&request.parts);
        let workspace = self.lane(&request);
        if let Some(shares) = &mut self.shares {
            let cost = shares::call_cost(cost.tokens, request.output_tokens);
            shares.charge(workspace, cost, self.queue.workspaces());
        }
        self.mix
            .add(now, request.rank, f64::from(cost.tokens) + SLOT_TOKENS);
        let backlog = self.unread_tokens().saturating_add(cost.tokens);
        self.recent_reads
            .push_back((now, f64::from(cost.tokens) * self.timing.pace()));
        self.record_read(now, cost, &request);
        let call = PendingCall {
            since: now,
            cost,
            backlog,
            request,
        };
        self.pending.insert(call.request.id, call);
    }

    /// Drops entries that have timed out.
    fn expire(&mut self, now: Instant) {
        while self
            .recent_reads
            .front()
            .is_some_and(|(at, _)| now >= *at + READ_HISTORY)
        {
            self.recent_reads.pop_front();
        }
        let expired = |call: &&PendingCall| now >= call.since + PENDING_TIMEOUT;
        let expired = self
            .pending
            .values()
            .filter(expired)
            .map(|call| call.request.id);
        let expired: Vec<CallId> = expired.collect();
        for id in expired {
            if let Some(call) = self.pending.remove(&id) {
                self.start_running(now, id, &call);
            }
        }
        self.running.retain(|_, call| now < call.deadline);
        self.queue.expire(now);
        if let Some(gaps) = &mut self.gaps {
            gaps.expire(now);
        }
        if self.queue.is_empty()
            && self.pending.is_empty()
            && let Some(shares) = &mut self.shares
        {
            shares.reset();
        }
    }
}

/// Saturating sum of token counts. The lengths come from callers, and a header
/// may claim parts of 4 billion tokens; a wrapped sum would look like an
/// engine with nothing to read.
fn sum_tokens(tokens: impl Iterator<Item = u32>) -> u32 {
    tokens.fold(0, u32::saturating_add)
}
