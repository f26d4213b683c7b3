//! Whether an engine has slots, memory and time for a call.

use std::time::{Duration, Instant};

use super::call::{EngineReport, GrantRequest};
use super::{
    GrantController, HOLD_TIME_PRIOR, PromptCost, READ_HISTORY, TOKEN_TIME_PRIOR, sum_tokens,
};

/// Part of the KV cache that running calls may take. Beyond it, the engine
/// preempts calls in the middle of their streams.
const MEMORY_SHARE: f64 = 0.9;

/// A prompt counts as prefilled alone if others have at most this part of its
/// tokens, as the short prompts of streams have, which arrive all the time.
const ALONE_RATIO: u32 = 4;

/// Age after which an engine report is ignored.
const REPORT_MAX_AGE: Duration = Duration::from_millis(500);

impl GrantController {
    /// The smallest maximum gap of the running streams.
    pub(super) fn min_gap(&self) -> Option<Duration> {
        let running = self.running.values().filter_map(|call| call.max_gap);
        let pending = self
            .pending
            .values()
            .filter_map(|call| call.request.max_gap);
        running.chain(pending).min()
    }

    /// Whether a prompt is too long to be prefilled beside the running
    /// streams: read in one go, it delays an event of each of them.
    pub(super) fn exceeds_gap(&self, tokens: u32) -> bool {
        let time = f64::from(tokens) * self.timing.pace();
        self.min_gap()
            .is_some_and(|gap| time > gap.as_secs_f64() * self.gap_share)
    }

    /// Whether a call of this cost may be admitted now.
    /// `start_by` is when it has to start for its first event to be in time.
    pub(super) fn may_start(
        &self,
        now: Instant,
        request: &GrantRequest,
        cost: PromptCost,
        start_by: Instant,
    ) -> bool {
        if f64::from(self.unread_tokens()) >= self.window
            || self.used_slots(now) >= self.prefill_slots(now)
        {
            return false;
        }
        if self.gaps.is_some() {
            let beside = self.within_gap(now, request, cost)
                || self.may_disturb(now, request, cost, start_by);
            return beside && self.fits_memory(now, cost);
        }
        let Some(gap) = self.min_gap() else {
            return self.fits_memory(now, cost);
        };
        let budget = gap.as_secs_f64() * self.gap_share;
        let recent = self.recent_reads.iter().filter(|(at, _)| now < *at + gap);
        let recent: f64 = recent.map(|(_, s)| s).sum();
        let own = f64::from(cost.tokens) * self.timing.pace();
        (recent <= 0.0 || recent + own <= budget) && self.fits_memory(now, cost)
    }

    /// Whether there is a slot and memory for a stream.
    pub(super) fn has_room(&self, now: Instant, cost: PromptCost) -> bool {
        self.used_slots(now) < self.slots && self.fits_memory(now, cost)
    }

    /// Whether the KV cache has room for the tokens that a call misses.
    pub(super) fn fits_memory(&self, now: Instant, cost: PromptCost) -> bool {
        let Some(report) = self.fresh_report(now) else {
            return true;
        };
        if self.gaps.is_some() {
            let own = u64::from(cost.missing) + u64::from(cost.output);
            return report.total_tokens == 0
                || self.needed_tokens(now, report).saturating_add(own) <= usable_tokens(report);
        }
        let incoming = sum_tokens(self.pending.values().map(|call| call.cost.missing));
        let needed = u64::from(incoming) + u64::from(cost.missing);
        let used = report.used_tokens.saturating_add(needed);
        report.total_tokens == 0 || used as f64 <= report.total_tokens as f64 * MEMORY_SHARE
    }

    /// Whether the call would not fit even into an empty engine, which refuses
    /// it itself. In the queue, it would block all calls behind it until its
    /// caller's deadline.
    pub(super) fn never_fits(&self, cost: PromptCost) -> bool {
        let total = self.report.map_or(0, |(_, report)| report.total_tokens);
        let output = if self.gaps.is_some() { cost.output } else { 0 };
        let own = f64::from(cost.missing) + f64::from(output);
        total > 0 && own > total as f64 * MEMORY_SHARE
    }

    /// KV cache tokens that no call holds or will need; none if unknown or if
    /// the answers of calls are not counted.
    #[must_use]
    pub fn free_tokens(&self, now: Instant) -> Option<u64> {
        self.gaps.as_ref()?;
        let report = self.fresh_report(now).filter(|r| r.total_tokens > 0)?;
        Some(usable_tokens(report).saturating_sub(self.needed_tokens(now, report)))
    }

    /// KV cache tokens that the engine holds or will need for all admitted
    /// calls and their answers.
    fn needed_tokens(&self, now: Instant, report: EngineReport) -> u64 {
        let pending = self.pending.values();
        let incoming = pending.map(|call| call.cost.missing.saturating_add(call.cost.output));
        let token_time = self.token_time.get().unwrap_or(TOKEN_TIME_PRIOR);
        let remaining = self.running.values().map(|call| {
            let age = now.saturating_duration_since(call.since).as_secs_f64();
            // The engine's report counts the tokens produced so far.
            let produced = (age / token_time.max(f64::MIN_POSITIVE)) as u32;
            call.output_tokens.saturating_sub(produced)
        });
        let needed: u64 = incoming.chain(remaining).map(u64::from).sum();
        report.used_tokens.saturating_add(needed)
    }

    /// Slots that calls dominated by prefill may take.
    pub(super) fn prefill_slots(&self, now: Instant) -> u32 {
        let hold_time = self.hold_time.get().unwrap_or(HOLD_TIME_PRIOR);
        let reserved = self.reserve.slots(now, hold_time, self.slots);
        self.slots.saturating_sub(reserved).max(1)
    }

    /// Slots in use, by the controller's own count or the engine's report.
    pub(super) fn used_slots(&self, now: Instant) -> u32 {
        let own = self.running.len() + self.pending.len();
        let own = u32::try_from(own).unwrap_or(u32::MAX);
        let reported = self.fresh_report(now).map_or(0, |r| r.running_calls);
        own.max(reported)
    }

    /// The largest share of the engine's time, slots or memory in use; queued
    /// calls count as prefill time.
    #[must_use]
    pub fn utilization(&self, now: Instant) -> f64 {
        let recent = self
            .recent_reads
            .iter()
            .filter(|(at, _)| now < *at + READ_HISTORY);
        let read: f64 = recent.map(|(_, s)| s).sum();
        let queued = self.queue.tokens() as f64 * self.timing.pace();
        let prefill = (read + queued) / READ_HISTORY.as_secs_f64();
        let slots = f64::from(self.used_slots(now)) / f64::from(self.slots.max(1));
        let memory = match self.fresh_report(now) {
            Some(report) if report.total_tokens > 0 => {
                report.used_tokens as f64 / report.total_tokens as f64
            }
            _ => 0.0,
        };
        prefill.max(slots).max(memory)
    }

    /// The streams that a prompt of `rank` yields to: those at least as urgent.
    fn streams_before(&self, rank: u8) -> impl Iterator<Item = Duration> {
        let running = self.running.values();
        let running = running.filter(move |call| call.rank <= rank);
        let pending = self.pending.values().map(|call| &call.request);
        let pending = pending.filter(move |request| request.rank <= rank);
        let running = running.filter_map(|call| call.max_gap);
        running.chain(pending.filter_map(|request| request.max_gap))
    }

    /// Whether the prompt, with the prefill admitted within a gap, keeps the
    /// expected gap of the streams that it yields to within their maximum.
    pub(super) fn within_gap(
        &self,
        now: Instant,
        request: &GrantRequest,
        cost: PromptCost,
    ) -> bool {
        let Some(gaps) = &self.gaps else { return true };
        let Some(gap) = self.streams_before(request.rank).min() else {
            return true;
        };
        let load = gaps.load(now, gap).saturating_add(cost.tokens);
        cost.tokens == 0 || gaps.allows(load, self.timing.pace(), gap)
    }

    /// Whether the prompt is too long to be prefilled beside the streams that
    /// it yields to, even if nothing else is.
    pub(super) fn waits_for_streams(&self, request: &GrantRequest, cost: PromptCost) -> bool {
        let Some(gaps) = &self.gaps else { return false };
        let gap = self.streams_before(request.rank).min();
        gap.is_some_and(|gap| cost.tokens > 0 && !gaps.allows(cost.tokens, self.timing.pace(), gap))
    }

    /// Whether a prompt that is too long for the streams that it yields to may
    /// start all the same: nearly alone, and if it has to be admitted and has
    /// waited as long as it can, or at its home within the allowed exceptions.
    fn may_disturb(
        &self,
        now: Instant,
        request: &GrantRequest,
        cost: PromptCost,
        start_by: Instant,
    ) -> bool {
        let Some(gaps) = &self.gaps else { return true };
        let gap = self.streams_before(request.rank).min();
        let load = gap.map_or(0, |gap| gaps.load(now, gap));
        if load > cost.tokens / ALONE_RATIO || !self.waits_for_streams(request, cost) {
            return false;
        }
        let streams = self.streams_before(request.rank).count();
        match request.forced {
            true => now >= start_by || gaps.has_exception(streams),
            false => request.is_home && gaps.has_exception(streams),
        }
    }

    /// Records the prefill of an admitted call for the streams beside it.
    pub(super) fn record_read(&mut self, now: Instant, cost: PromptCost, request: &GrantRequest) {
        let streams = self.streams_before(request.rank).count();
        let disturbs = request.max_gap.is_none() && self.waits_for_streams(request, cost);
        let Some(gaps) = &mut self.gaps else { return };
        if disturbs {
            gaps.use_exception(streams);
        }
        gaps.record_read(now, cost.tokens);
        if request.max_gap.is_some() {
            gaps.record_start(now);
        }
        for call in self.running.values_mut() {
            if let Some(gap) = call.max_gap {
                call.peak_load = call.peak_load.max(gaps.load(now, gap));
            }
        }
    }

    /// Expected time until a prompt may be prefilled beside the streams that
    /// it yields to.
    pub(super) fn gap_wait(
        &self,
        now: Instant,
        request: &GrantRequest,
        cost: PromptCost,
    ) -> Duration {
        if self.gaps.is_none() || self.within_gap(now, request, cost) {
            return Duration::ZERO;
        }
        if !self.waits_for_streams(request, cost) {
            // Prefill that was admitted earlier leaves the window.
            return self.streams_before(request.rank).min().unwrap_or_default();
        }
        if self.may_disturb(now, request, cost, now + request.ttft_limit) {
            return Duration::ZERO;
        }
        let hold_time = self.hold_time.get().unwrap_or(HOLD_TIME_PRIOR);
        Duration::from_secs_f64(hold_time)
    }

    /// How long a call may wait so that its first event is still in time.
    pub(super) fn start_limit(&self, request: &GrantRequest, cost: PromptCost) -> Duration {
        let own = self.timing.base() + f64::from(cost.tokens) * self.timing.pace();
        request
            .ttft_limit
            .saturating_sub(Duration::from_secs_f64(own))
    }

    /// By how much a stream's longest gap is expected to exceed its maximum
    /// beside the prompts that the engine still has to read.
    pub(super) fn gap_excess(
        &self,
        now: Instant,
        request: &GrantRequest,
        cost: PromptCost,
    ) -> Duration {
        let (Some(gaps), Some(gap)) = (&self.gaps, request.max_gap) else {
            return Duration::ZERO;
        };
        if gaps.may_retry(now) && self.min_gap().is_none() {
            return Duration::ZERO;
        }
        let load = self.unread_tokens().saturating_add(cost.tokens);
        let expected = gaps.expected(load, self.timing.pace(), gap);
        expected.saturating_sub(gap)
    }

    /// Records the typical time between the events of a call that has ended.
    pub fn record_event_time(&mut self, now: Instant, event: Duration) {
        if let Some(gaps) = self.gaps.as_mut().filter(|_| !event.is_zero()) {
            gaps.record_event_time(now, event);
        }
    }

    /// The typical time between two events of a call at the engine; none if
    /// unknown or not measured.
    #[must_use]
    pub fn event_time(&self, now: Instant) -> Option<Duration> {
        self.gaps.as_ref()?.event_time(now)
    }

    /// The expected longest gap of streams beside the prefill admitted within
    /// a gap; zero if no stream runs or gaps are not learned.
    #[must_use]
    pub fn expected_gap(&self, now: Instant) -> Duration {
        let (Some(gaps), Some(gap)) = (&self.gaps, self.min_gap()) else {
            return Duration::ZERO;
        };
        gaps.expected(gaps.load(now, gap), self.timing.pace(), gap)
    }

    pub(super) fn fresh_report(&self, now: Instant) -> Option<EngineReport> {
        let fresh = self.report.filter(|(at, _)| now < *at + REPORT_MAX_AGE);
        fresh.map(|(_, report)| report)
    }
}

/// KV cache tokens that running calls may take.
fn usable_tokens(report: EngineReport) -> u64 {
    (report.total_tokens as f64 * MEMORY_SHARE) as u64
}
