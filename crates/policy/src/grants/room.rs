//! Whether an engine has slots, memory and time for a call.

use std::time::{Duration, Instant};

use super::call::EngineReport;
use super::{GrantController, HOLD_TIME_PRIOR, PromptCost, READ_HISTORY, sum_tokens};

/// Part of the KV cache that running calls may take. Beyond it, the engine
/// preempts calls in the middle of their streams.
const MEMORY_SHARE: f64 = 0.9;

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
    pub(super) fn may_start(&self, now: Instant, cost: PromptCost) -> bool {
        if f64::from(self.unread_tokens()) >= self.window
            || self.used_slots(now) >= self.prefill_slots(now)
        {
            return false;
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
        let incoming = sum_tokens(self.pending.values().map(|call| call.cost.missing));
        let used = report.used_tokens + u64::from(incoming) + u64::from(cost.missing);
        report.total_tokens == 0 || used as f64 <= report.total_tokens as f64 * MEMORY_SHARE
    }

    /// Whether the call would not fit even into an empty engine, which refuses
    /// it itself. In the queue, it would block all calls behind it until its
    /// caller's deadline.
    pub(super) fn never_fits(&self, cost: PromptCost) -> bool {
        let total = self.report.map_or(0, |(_, report)| report.total_tokens);
        total > 0 && f64::from(cost.missing) > total as f64 * MEMORY_SHARE
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

    pub(super) fn fresh_report(&self, now: Instant) -> Option<EngineReport> {
        let fresh = self.report.filter(|(at, _)| now < *at + REPORT_MAX_AGE);
        fresh.map(|(_, report)| report)
    }
}
