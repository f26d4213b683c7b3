//! Reports the usage to the platform while the duties are held.
//!
//! Only counts that the store keeps are reported, so that a successor reports the same
//! ones. A call without an answer is repeated unchanged until it is accepted.

use std::rc::Rc;
use std::time::Duration;

use base::stop::StopSignal;
use policy::usage::WorkspaceCounts;
use spdlog::{info, warn};

use super::{Duties, TICK};
use crate::platform::{DutyApi, DutyOutcome};

/// Delay after a call that failed. It doubles with each consecutive failure, up to
/// [`MAX_RETRY_DELAY`].
const RETRY_BASE: Duration = Duration::from_millis(150);

/// Maximum delay after a call that failed. Reports are due seconds after the end of
/// their window.
const MAX_RETRY_DELAY: Duration = Duration::from_secs(1);

/// Consecutive failed calls after which the entry resigns, so that another entry tries.
pub(super) const MAX_API_FAILURES: u32 = 3;

/// Reports the stored windows until `end`.
pub async fn run<B: DutyApi>(duties: Rc<Duties>, duty_api: B, end: StopSignal) {
    if !duties.settings.reports_usage() {
        return;
    }
    let mut failures = 0;
    while !end.is_triggered() {
        tokio::time::sleep(duties.next_delay(failures)).await;
        let Some((window, counts)) = duties.next_report() else {
            continue;
        };
        let token = || duties.token();
        let outcome = duty_api.report(&duties.name, window, &counts, token).await;
        failures = match duties.record_outcome(window, &counts, &outcome) {
            true => 0,
            false => failures + 1,
        };
        if failures >= MAX_API_FAILURES && !duties.peers().is_empty() {
            duties.api_unreachable.set(true);
            failures = 0;
        }
    }
}

impl Duties {
    /// Minimum interval between two calls of one duty, so that all duties together stay
    /// within the rate limit of the API.
    pub(super) fn call_interval(&self) -> Duration {
        let duty_count = self.settings.kinds.len().max(1) as f64;
        Duration::from_secs_f64(duty_count / self.settings.rate)
    }

    /// The delay before the next call, after this number of consecutive failures.
    fn next_delay(&self, failures: u32) -> Duration {
        let min_delay = self.call_interval();
        let retry = match failures {
            0 => TICK,
            n => RETRY_BASE * 2u32.saturating_pow(n - 1),
        };
        retry.min(MAX_RETRY_DELAY).max(min_delay)
    }

    /// The first window to report with its counts, while the duties are held.
    fn next_report(&self) -> Option<(u64, WorkspaceCounts)> {
        self.token()?;
        let stored = self.stored_windows.borrow();
        let (window, counts) = stored.first_key_value()?;
        Some((*window, counts.clone()))
    }

    /// Records the outcome of a report; returns whether the API was reachable.
    fn record_outcome(&self, window: u64, counts: &WorkspaceCounts, outcome: &DutyOutcome) -> bool {
        let time = self.fleet_time();
        let end = self.counter.borrow().windows().end(window);
        let elapsed_ms = time.saturating_sub(end).as_millis() as u64;
        let label = outcome.label();
        metrics::counter!("pimentocart_usage_reports_total", "outcome" => label).increment(1);
        let requests: u64 = counts.values().sum();
        if *outcome != DutyOutcome::Accepted {
            warn!("usage report not accepted", kv: {
                window = window, outcome = label, after_ms = elapsed_ms,
                detail = format!("{outcome:?}").as_str()
            });
        }
        match outcome {
            DutyOutcome::Accepted => {
                info!("usage reported", kv: {
                    window = window, requests = requests, workspaces = counts.len(),
                    missing = self.counter.borrow().pending_incarnations(self.clock.now_boottime(), window),
                    after_ms = elapsed_ms
                });
                self.stored_windows.borrow_mut().remove(&window);
                self.usage.borrow_mut().finalized.remove(&window);
            }
            DutyOutcome::Fenced(token) => {
                let now = self.clock.now_boottime();
                self.candidate.borrow_mut().reject_token(now, *token);
            }
            DutyOutcome::Refused(_) | DutyOutcome::Unanswered(_) | DutyOutcome::NotHeld => {}
        }
        outcome.is_conclusive()
    }
}
