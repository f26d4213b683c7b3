//! Reporting the usage while the duties are held.
//!
//! Only what the store keeps is reported, so that whoever follows reports the
//! same. A call that is not answered is made again as it was, until it is
//! accepted.

use std::rc::Rc;
use std::time::Duration;

use base::stop::StopSignal;
use policy::usage::WorkspaceCounts;
use spdlog::{info, warn};

use super::{Duties, TICK};
use crate::platform::{DutyApi, DutyOutcome};

/// The pause after a call that was not carried out; it doubles up to
/// [`RETRY_MOST`].
const RETRY: Duration = Duration::from_millis(150);

/// The longest pause after a call that was not carried out. Reports are due
/// seconds after their window's end.
const RETRY_MOST: Duration = Duration::from_secs(1);

/// Calls in a row without an answer after which another entry should try.
pub(super) const UNHEARD: u32 = 3;

/// Reports what is recorded until `end`.
pub async fn run<B: DutyApi>(duties: Rc<Duties>, duty_api: B, end: StopSignal) {
    if !duties.settings.reports_usage() {
        return;
    }
    let mut failures = 0;
    while !end.is_triggered() {
        tokio::time::sleep(duties.pause(failures)).await;
        let Some((window, counts)) = duties.due() else {
            continue;
        };
        let token = || duties.token();
        let outcome = duty_api.report(&duties.name, window, &counts, token).await;
        failures = match duties.note(window, &counts, &outcome) {
            true => 0,
            false => failures + 1,
        };
        if failures >= UNHEARD && !duties.peers().is_empty() {
            duties.api_unreachable.set(true);
            failures = 0;
        }
    }
}

impl Duties {
    /// The least time between two calls of one duty, so that all duties
    /// together keep to what the interface takes.
    pub(super) fn spacing(&self) -> Duration {
        let duties = self.settings.kinds.len().max(1) as f64;
        Duration::from_secs_f64(duties / self.settings.rate)
    }

    /// The pause before the next call, after so many that failed in a row.
    fn pause(&self, failures: u32) -> Duration {
        let rate = self.spacing();
        let retry = match failures {
            0 => TICK,
            n => RETRY * 2u32.saturating_pow(n - 1),
        };
        retry.min(RETRY_MOST).max(rate)
    }

    /// The first window to report, while the duties are held.
    fn due(&self) -> Option<(u64, WorkspaceCounts)> {
        self.token()?;
        let recorded = self.stored_windows.borrow();
        let (window, counts) = recorded.first_key_value()?;
        Some((*window, counts.clone()))
    }

    /// Notes what became of a report; whether the interface has answered.
    fn note(&self, window: u64, counts: &WorkspaceCounts, outcome: &DutyOutcome) -> bool {
        let time = self.time();
        let end = self.counter.borrow().windows().end(window);
        let late_ms = time.saturating_sub(end).as_millis() as u64;
        let word = outcome.label();
        metrics::counter!("pimentocart_usage_reports_total", "outcome" => word).increment(1);
        let requests: u64 = counts.values().sum();
        if *outcome != DutyOutcome::Accepted {
            warn!("usage not reported", kv: {
                window = window, outcome = word, after_ms = late_ms,
                detail = format!("{outcome:?}").as_str()
            });
        }
        match outcome {
            DutyOutcome::Accepted => {
                info!("usage reported", kv: {
                    window = window, requests = requests, workspaces = counts.len(),
                    missing = self.counter.borrow().pending_incarnations(self.clock.now_boottime(), window),
                    after_ms = late_ms
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
