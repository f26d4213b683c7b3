//! Which calls an engine is given, and when, as the sidecar beside it decides
//! for all entries.
//!
//! Load pattern: two dozen entries send prompts to as many engines, for
//! seconds faster than these read them. Each entry has about one call at an
//! engine and hears of the others' late, so that queues inside the engines
//! stand at seconds here and at nothing there, and half of what is served
//! comes late. The sidecar sees every call for its engine: it lets in as much
//! as the engine reads within a few steps, keeps the rest in the order of
//! their turns, and refuses at once what would come too late. See
//! docs/DECISIONS/0603-grants.md.
//!
//! - [`call`]: what is asked and answered.
//! - [`parts`]: which prompt parts the engine should hold.
//! - [`fetch`]: what copying them from another engine takes.
//! - [`lives`]: which life of the engine the sidecar stands beside.
//! - `timing`: how fast it reads, and what a first event takes besides.
//! - `queue`: the calls that wait, in their order.
//! - `mix`: how much of what comes is more urgent than a call.
//! - `reserve`: slots that are kept for streams.
//! - `room`: whether the engine has slots, memory and time for a call.

pub mod call;
pub mod fetch;
pub mod incarnations;
mod mix;
pub mod parts;
mod queue;
mod reserve;
mod room;
mod timing;

use std::collections::{HashMap, VecDeque};
use std::time::{Duration, Instant};

use crate::estimate::fit::Mean;
pub use call::{CallId, EngineEstimates, EngineReport, GrantDecision, GrantRequest};
use fetch::FetchEstimate;
use mix::RankMix;
use parts::PartCache;
use queue::{QueueKey, QueuedCall, WaitQueue};
use reserve::StreamReserve;
use timing::TtftModel;

/// Tokens of calls without a first event up to which more are let in: at
/// first, at the least and at the most. A first event comes some 40 ms after
/// its call was let in even when the engine has nothing else to do, in which
/// it reads 4,000 to 6,000 tokens. What waits outside can still be overtaken.
const WINDOW_INITIAL: f64 = 9_000.0;
const WINDOW_MIN: f64 = 4_000.0;
const WINDOW_MAX: f64 = 16_000.0;

/// How the window follows the engine's reports while calls wait outside: it
/// grows while the engine has at most one to read, as it may run dry, and
/// shrinks while it has several.
const WINDOW_GROWTH: f64 = 1.1;
const WINDOW_DECAY: f64 = 0.93;

/// Calls inside the engine that are not read to their end up to which the
/// window grows, and from which it shrinks.
const UNREAD_LOW: u32 = 1;
const UNREAD_HIGH: u32 = 4;

/// Part of the longest pause that callers of streams bear which reading
/// others' prompts may take at the measured pace: at first, at the least and at
/// the most. The rest is the steps' own time and what the network adds.
const GAP_SHARE_INITIAL: f64 = 0.55;
const GAP_SHARE_MIN: f64 = 0.2;
const GAP_SHARE_MAX: f64 = 2.0;

/// How the share follows the longest pause of each stream that has ended. Up
/// to this part of what is borne there is room for more; past all of it there
/// is too much. One stream in ten may be late while it grows.
const PAUSE_SLACK: f64 = 0.85;
const GAP_SHARE_GROWTH: f64 = 1.015;
const GAP_SHARE_DECAY: f64 = 0.9;

/// Times of its own reading for which a call that waits can be overtaken. A
/// call whose shared parts are held reads a tenth of what another does; behind
/// two that read all of theirs it would be refused, though it would delay them
/// by a tenth. A long one is overtaken until its turn has come and no longer.
const OVERTAKE_FACTOR: f64 = 4.0;

/// Part of less urgent prompts inside the engine that it has begun to read.
const STARTED_SHARE: f64 = 0.5;

/// Tokens of its own that count when a call is judged. A long prompt is let in
/// on the terms of a usual one, or in a burst long ones would never be served.
const OWN_TOKENS_MAX: u32 = 12_000;

/// How long a call that was let in may be without a first event before it is
/// taken to have one: its entry may have ended, or its message got lost.
const PENDING_TIMEOUT: Duration = Duration::from_millis(1500);

/// Tokens that a slot counts for when what was let in is compared: a call that
/// reads nothing takes one all the same.
const SLOT_TOKENS: f64 = 1_000.0;

/// How long a call holds its slot before any was seen to end, in seconds.
const HOLD_TIME_PRIOR: f64 = 0.5;

/// How long reading that was let in is remembered; no stream's longest pause
/// is longer.
const READ_HISTORY: Duration = Duration::from_secs(2);

/// The calls for one engine.
#[derive(Debug)]
pub struct GrantController {
    /// Calls that wait to be let in.
    queue: WaitQueue,
    /// Calls that were let in and have no first event.
    pending: HashMap<CallId, PendingCall>,
    /// Calls that have their first event, with when they must have ended.
    running: HashMap<CallId, RunningCall>,
    /// What first events take.
    timing: TtftModel,
    /// What fetching a token from another engine takes.
    fetch: FetchEstimate,
    /// How long calls hold a slot after their first event, in seconds.
    hold_time: Mean,
    /// Tokens of calls without a first event up to which more are let in.
    window: f64,
    /// Prompt parts that the engine should hold.
    parts: PartCache,
    /// The engine's last report.
    report: Option<(Instant, EngineReport)>,
    /// When the engine's life began, as far as it says.
    started_at: Option<u64>,
    /// Calls that the engine runs at once.
    slots: u32,
    /// What was let in lately, by rank.
    mix: RankMix,
    /// Streams that come here.
    reserve: StreamReserve,
    /// Part of a stream's longest pause that reading may take.
    gap_share: f64,
    /// Reading that was let in lately, in seconds.
    recent_reads: VecDeque<(Instant, f64)>,
}

/// What a prompt costs its engine before its first event.
#[derive(Debug, Clone, Copy)]
struct PromptCost {
    /// Tokens that it reads, and the time of those that it fetches in tokens
    /// read.
    tokens: u32,
    /// Tokens that it fetches.
    fetched: u32,
    /// Tokens that its memory does not hold yet.
    missing: u32,
}

#[derive(Debug)]
struct PendingCall {
    since: Instant,
    cost: PromptCost,
    /// The tokens of its load with those that were to be read before it.
    backlog: u32,
    request: GrantRequest,
}

impl PendingCall {
    /// The call once it has its first event.
    fn to_running(&self, now: Instant) -> RunningCall {
        RunningCall {
            since: now,
            deadline: self.since + self.request.time_left,
            max_gap: self.request.max_gap,
        }
    }
}

#[derive(Debug)]
struct RunningCall {
    since: Instant,
    deadline: Instant,
    max_gap: Option<Duration>,
}

impl Default for GrantController {
    fn default() -> Self {
        Self {
            queue: WaitQueue::default(),
            pending: HashMap::new(),
            running: HashMap::new(),
            timing: TtftModel::default(),
            fetch: FetchEstimate::default(),
            hold_time: Mean::default(),
            window: WINDOW_INITIAL,
            parts: PartCache::default(),
            report: None,
            started_at: None,
            slots: 0,
            mix: RankMix::default(),
            reserve: StreamReserve::default(),
            gap_share: GAP_SHARE_INITIAL,
            recent_reads: VecDeque::new(),
        }
    }
}

impl GrantController {
    /// Decides about a call. The same call asked again is answered the same
    /// way, so that a lost answer costs only time.
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
        let expected = self.expected_ttft(now, key, cost.tokens, &request);
        if request.max_gap.is_some() {
            self.reserve.record_stream(now);
            return match request.forced || self.has_room(now, cost) {
                true => {
                    self.admit(now, cost, request);
                    GrantDecision::Granted
                }
                false => GrantDecision::Refused(expected),
            };
        }
        let fits =
            self.fits_memory(now, cost) && (request.is_home || !self.exceeds_gap(cost.tokens));
        // Before an engine that has nothing to read, no other one is better.
        let idle = self.queue.is_empty() && self.unread_tokens() == 0;
        let late = expected > request.ttft_limit && !(idle && self.may_start(now, cost));
        if !request.forced && (late || !fits) {
            return GrantDecision::Refused(expected.max(request.ttft_limit));
        }
        let free = self.queue.is_empty() && self.may_start(now, cost);
        if free || self.never_fits(cost) {
            self.admit(now, cost, request);
            return GrantDecision::Granted;
        }
        let waiting = QueuedCall {
            since: now,
            tokens: cost.tokens,
            request,
        };
        self.queue.push(key, waiting);
        GrantDecision::Queued(expected)
    }

    /// The waiting calls that are let in by now, each with the tokens from its
    /// prompt's start that the engine holds.
    pub fn grant_waiting(&mut self, now: Instant) -> Vec<(CallId, u32)> {
        self.expire(now);
        let mut granted = Vec::new();
        while let Some(first) = self.queue.first() {
            // What it shares may have been read since it came.
            let cost = self.prompt_cost(first);
            if !self.may_start(now, cost) {
                break;
            }
            let Some(waiting) = self.queue.pop() else {
                break;
            };
            let request = waiting.request;
            granted.push((request.id, request.tokens().saturating_sub(cost.missing)));
            self.admit(now, cost, request);
        }
        granted
    }

    /// Notes that a call which was let in fetches what another engine holds of
    /// the first `source` tokens of its prompt.
    pub fn record_fetch(&mut self, id: CallId, source: u32) {
        let Some(call) = self.pending.get(&id) else {
            return;
        };
        // By now the prompt counts as held; what was missing is known.
        let held = call.request.tokens() - call.cost.missing.min(call.request.tokens());
        let cost = self.cost_after(call.cost.missing, held, source);
        if cost.fetched == 0 {
            return;
        }
        self.fetch.record_chance(true);
        if let Some(call) = self.pending.get_mut(&id) {
            let others = call.backlog.saturating_sub(call.cost.tokens);
            call.backlog = others.saturating_add(cost.tokens);
            call.cost = cost;
        }
    }

    /// Whether a prompt should rather be fetched than read.
    #[must_use]
    pub fn fetch_pays(&self) -> bool {
        self.fetch.pays(self.timing.pace())
    }

    /// Notes that a call has its first event.
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
        self.running.insert(id, call.to_running(now));
    }

    /// Learns from a first event what fetching a part of its prompt took.
    fn learn_fetch(&mut self, now: Instant, call: &PendingCall, fetched: u32) {
        let took = now.saturating_duration_since(call.since).as_secs_f64();
        let (base, pace) = (self.timing.base(), self.timing.pace());
        let more = took - f64::from(call.backlog) * pace - base;
        let counted = f64::from(fetched) * self.fetch.token_time().min(pace);
        self.fetch.record(fetched, more + counted);
    }

    /// Notes that a call has ended or will not come; `pause` is the longest
    /// between two of its events.
    pub fn call_ended(&mut self, now: Instant, id: CallId, pause: Duration) {
        self.queue.remove(id);
        self.pending.remove(&id);
        if let Some(run) = self.running.remove(&id) {
            let held = now.saturating_duration_since(run.since);
            self.hold_time.add(held.as_secs_f64());
            if let Some(gap) = run.max_gap {
                self.adapt_gap_share(gap, pause);
            }
        }
    }

    /// Adapts the reading beside streams to the pauses that it made.
    fn adapt_gap_share(&mut self, gap: Duration, pause: Duration) {
        let step = match pause.as_secs_f64() / gap.as_secs_f64() {
            p if p > 1.0 => GAP_SHARE_DECAY,
            p if p < PAUSE_SLACK => GAP_SHARE_GROWTH,
            _ => 1.0,
        };
        self.gap_share = (self.gap_share * step).clamp(GAP_SHARE_MIN, GAP_SHARE_MAX);
    }

    /// Notes when a life of the engine began that somebody speaks of; returns
    /// whether it is the newest one known. A newer one has read nothing and
    /// runs nothing: by the books of the one before it would look full, and
    /// its prompts read. Calls that wait have not been sent, and stay.
    pub fn observe_incarnation(&mut self, born: Option<u64>) -> bool {
        if born < self.started_at {
            return born.is_none();
        }
        if born > self.started_at && self.started_at.is_some() {
            self.engine_stopped();
        }
        self.started_at = born;
        true
    }

    /// Takes over what the engine says.
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

    /// Forgets what is known of the engine, as after its restart.
    pub fn reset_engine(&mut self) {
        self.parts = PartCache::default();
        self.report = None;
    }

    /// Forgets the engine's calls as well: it has ended, and they with it.
    pub fn engine_stopped(&mut self) {
        self.reset_engine();
        self.pending.clear();
        self.running.clear();
    }

    /// What the engine is believed to be like, for logs.
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

    /// Tokens that a prompt would have to read.
    #[must_use]
    pub fn missing_tokens(&self, parts: &[(u64, u32)]) -> u32 {
        self.parts.missing_tokens(parts)
    }

    /// Tokens from a prompt's start that the engine holds.
    #[must_use]
    pub fn held_tokens(&self, parts: &[(u64, u32)]) -> u32 {
        self.parts.held_tokens(parts)
    }

    /// Calls that wait, that were let in, and that run.
    #[must_use]
    pub fn counts(&self) -> (usize, usize, usize) {
        (self.queue.len(), self.pending.len(), self.running.len())
    }

    /// How long a call may be overtaken by others of its rank.
    fn overtake_limit(&self, request: &GrantRequest, cost: PromptCost) -> Duration {
        let own = f64::from(cost.tokens) * self.timing.pace();
        Duration::from_secs_f64(own * OVERTAKE_FACTOR).min(request.ttft_limit)
    }

    /// How long the first event of a call would take whose turn comes at
    /// `turn` and which has to read `tokens`.
    fn expected_ttft(
        &self,
        now: Instant,
        key: QueueKey,
        tokens: u32,
        request: &GrantRequest,
    ) -> Duration {
        let (calls, waiting) = match request.max_gap {
            None => self.queue.ahead_of(key),
            Some(_) => (0, 0),
        };
        let ahead = waiting + u64::from(tokens.min(OWN_TOKENS_MAX));
        let ahead = u32::try_from(ahead).unwrap_or(u32::MAX);
        let base = self.timing.base();
        let reading = (self.unread_ahead(request.rank) + f64::from(ahead)) * self.timing.pace();
        let slots = self.slot_wait(now, calls);
        // More urgent calls that have yet to come go first as well.
        let left = 1.0 - self.mix.share_before(request.rank);
        Duration::from_secs_f64(base + reading.max(slots) / left)
    }

    /// How long it takes until a slot is free behind `calls` others.
    fn slot_wait(&self, now: Instant, calls: u32) -> f64 {
        let taken = self.used_slots(now) + calls + 1;
        let over = taken.saturating_sub(self.prefill_slots(now));
        let hold = self.hold_time.get().unwrap_or(HOLD_TIME_PRIOR);
        f64::from(over) * hold / f64::from(self.slots.max(1))
    }

    /// What a call costs the engine.
    fn prompt_cost(&self, request: &GrantRequest) -> PromptCost {
        let missing = self.parts.missing_tokens(&request.parts);
        let held = request.tokens().saturating_sub(missing);
        self.cost_after(missing, held, request.fetchable)
    }

    /// The same for a prompt of which the engine misses `missing` tokens after
    /// the `held` first, and another holds the first `source`.
    fn cost_after(&self, missing: u32, held: u32, source: u32) -> PromptCost {
        let budget = source.saturating_sub(held).min(missing);
        let fetched = match budget >= fetch::MIN_FETCH_TOKENS && self.fetch_pays() {
            true => budget,
            false => 0,
        };
        let ratio = (self.fetch.token_time() / self.timing.pace()).min(1.0);
        let tokens = missing - fetched + (f64::from(fetched) * ratio) as u32;
        PromptCost {
            tokens,
            fetched,
            missing,
        }
    }

    /// Tokens of calls that were let in and have no first event.
    fn unread_tokens(&self) -> u32 {
        sum_tokens(self.pending.values().map(|f| f.cost.tokens))
    }

    /// The same as far as the engine reads it before a call of `rank`. It takes
    /// the most urgent first, but what it has begun to read it goes on with.
    fn unread_ahead(&self, rank: u8) -> f64 {
        let share = |f: &PendingCall| match f.request.rank <= rank {
            true => f64::from(f.cost.tokens),
            false => f64::from(f.cost.tokens) * STARTED_SHARE,
        };
        self.pending.values().map(share).sum()
    }

    fn admit(&mut self, now: Instant, cost: PromptCost, request: GrantRequest) {
        if request.fetchable >= fetch::MIN_FETCH_TOKENS {
            self.fetch.record_chance(cost.fetched > 0);
        }
        self.parts.insert(&request.parts);
        self.mix
            .add(now, request.rank, f64::from(cost.tokens) + SLOT_TOKENS);
        let backlog = self.unread_tokens().saturating_add(cost.tokens);
        self.recent_reads
            .push_back((now, f64::from(cost.tokens) * self.timing.pace()));
        let call = PendingCall {
            since: now,
            cost,
            backlog,
            request,
        };
        self.pending.insert(call.request.id, call);
    }

    /// Forgets what must be over by now.
    fn expire(&mut self, now: Instant) {
        while self
            .recent_reads
            .front()
            .is_some_and(|(at, _)| now >= *at + READ_HISTORY)
        {
            self.recent_reads.pop_front();
        }
        let stale = |f: &&PendingCall| now >= f.since + PENDING_TIMEOUT;
        let stale = self.pending.values().filter(stale).map(|f| f.request.id);
        let stale: Vec<CallId> = stale.collect();
        for id in stale {
            if let Some(call) = self.pending.remove(&id) {
                self.running.insert(id, call.to_running(now));
            }
        }
        self.running.retain(|_, run| now < run.deadline);
        self.queue.expire(now);
    }
}

/// A sum of tokens. Callers say how long their prompts are, and a header may
/// claim parts of four thousand million tokens; wrapped, their sum would look
/// like an engine with nothing to read.
fn sum_tokens(tokens: impl Iterator<Item = u32>) -> u32 {
    tokens.fold(0, u32::saturating_add)
}
