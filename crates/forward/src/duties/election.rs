//! Elects the holder of the duties through the store, and writes the duties' record while
//! this entry holds them.

use std::rc::Rc;
use std::time::Duration;

use base::stop::StopSignal;
use policy::duty::{Step, Term, WriteOutcome};
use policy::usage::UsageState;
use spdlog::{info, warn};

use super::{Duties, TICK};
use crate::platform::{DutyRecord, DutyStore};
use crate::state::State;

/// Ticks between two notices in which the holder announces itself to the other entries.
const NOTICE_TICKS: u32 = 4;

/// Time for which an entry does not hold the duties after the platform API did not
/// answer it. Other entries may still reach the API.
const UNREACHABLE_PAUSE: Duration = Duration::from_secs(10);

/// Runs this entry's candidacy for the duties until `end`. The entry resigns when it
/// stops or when it cannot reach the platform API.
pub async fn run<R: DutyStore>(state: Rc<State>, duties: Rc<Duties>, records: R, end: StopSignal) {
    let mut resigned = false;
    for tick in 0u32.. {
        tokio::time::sleep(TICK).await;
        if end.is_triggered() {
            return;
        }
        if state.stopping.is_triggered() && !resigned {
            resigned = true;
            duties.resign_duties(&records, None).await;
        } else if duties.api_unreachable.take() {
            duties
                .resign_duties(&records, Some(UNREACHABLE_PAUSE))
                .await;
        }
        duties.run_step(&records).await;
        if let Some(token) = duties.token()
            && tick.is_multiple_of(NOTICE_TICKS)
        {
            duties.send_holder_notice(token, false);
        }
    }
}

impl Duties {
    /// Performs the step that is due, if any.
    async fn run_step<R: DutyStore>(&self, records: &R) {
        let now = self.clock.now_boottime();
        let step = self.candidate.borrow().next_step(now, self.peers_ahead());
        let step = match step {
            Step::Read => self.read(records).await,
            step => step,
        };
        match step {
            Step::Renew(term) | Step::Claim(term) => self.write(records, term).await,
            _ if self.finalize_windows() => {
                let term = self.candidate.borrow().term().cloned();
                if let Some(term) = term {
                    self.write(records, term).await;
                }
            }
            _ => {}
        }
        self.clear_if_lost();
        let next_window = self.next_window.get();
        self.counter.borrow_mut().expire(now, next_window);
    }

    /// Reads the duties' record. If the duties are to be claimed, adopts the usage data
    /// of the record.
    async fn read<R: DutyStore>(&self, records: &R) -> Step {
        let read = records.read().await;
        let now = self.clock.now_boottime();
        let mut candidate = self.candidate.borrow_mut();
        let (kept, end) = match read {
            Ok(read) => read,
            Err(e) => {
                candidate.record_read_failure(now);
                // Only the first of consecutive failures is logged.
                if candidate.failed_first() {
                    warn!("reading the duty record failed", kv: { cause = e.to_string().as_str() });
                }
                return Step::Wait;
            }
        };
        let step = candidate.record_read(now, kept.as_ref().map(|k| &k.term), end);
        if let Some(kept) = &kept {
            self.next_window
                .set(self.next_window.get().max(kept.usage.next_window));
        }
        if matches!(step, Step::Claim(_)) {
            let window = self
                .counter
                .borrow()
                .windows()
                .containing(self.fleet_time());
            let mut usage = kept.map_or_else(|| UsageState::starting_at(window), |k| k.usage);
            log_lost(&usage.catch_up(self.next_window.get(), &self.usage.borrow()));
            *self.usage.borrow_mut() = usage;
            self.stored_windows.borrow_mut().clear();
        }
        step
    }

    /// Writes the duties' record, and notes the windows that the store keeps from then on.
    async fn write<R: DutyStore>(&self, records: &R, term: Term) {
        let time = self.fleet_time();
        let usage = {
            let usage = self.usage.borrow();
            self.counter.borrow().snapshot(time, &usage)
        };
        let (finalized, next_window) = (usage.finalized.clone(), usage.next_window);
        let kept = DutyRecord {
            term: term.clone(),
            usage,
        };
        let (log_end, sent_at) = (self.candidate.borrow().log_end(), self.clock.now_boottime());
        let outcome = records.write(log_end, &kept).await;
        let now = self.clock.now_boottime();
        let (token, released) = (term.token, term.released);
        self.candidate
            .borrow_mut()
            .record_write(now, sent_at, term, outcome);
        if !matches!(outcome, WriteOutcome::Stored(_)) || released {
            return;
        }
        if self.held_since.get().is_none() {
            self.held_since.set(Some(now));
            self.holder.set(None);
            info!("duties acquired by this entry", kv: { token = token, place = self.peers_ahead(), at = log_end });
        }
        metrics::gauge!("pimentocart_duties_held").set(1.0);
        let usage = self.usage.borrow();
        let unreported = |(window, _): &(u64, _)| usage.finalized.contains_key(window);
        *self.stored_windows.borrow_mut() = finalized.into_iter().filter(unreported).collect();
        drop(usage);
        self.next_window
            .set(self.next_window.get().max(next_window));
        self.send_holder_notice(token, false);
    }

    /// Records that all windows before `next` were finalized. A process that has just
    /// started knows only the duty record, and a store that was restored from an old copy
    /// shows reported windows as open; the other entries know better.
    pub(super) fn observe_finalized(&self, next: u64) {
        let current = self
            .counter
            .borrow()
            .windows()
            .containing(self.fleet_time());
        // No entry finalizes a window before its end.
        if next <= current + 1 {
            self.next_window.set(self.next_window.get().max(next));
        }
    }

    /// Finalizes the counts of windows that can be reported; returns whether there were
    /// any.
    fn finalize_windows(&self) -> bool {
        if !self.settings.reports_usage() {
            return false;
        }
        let now = self.clock.now_boottime();
        let (Some(held_since), Some(token)) = (self.held_since.get(), self.token()) else {
            return false;
        };
        let time = self.fleet_time();
        let gathered = self.all_peers_reported(held_since);
        let held_for = now.saturating_duration_since(held_since);
        let counter = self.counter.borrow();
        let mut usage = self.usage.borrow_mut();
        // Another entry may have told since the claim that a window was finalized.
        log_lost(&usage.catch_up(self.next_window.get(), &UsageState::default()));
        let before = usage.finalized.len();
        let missed = counter.finalize(time, held_for, gathered, &mut usage);
        for window in missed {
            warn!("usage window missed its report deadline", kv: { window = window, token = token });
            metrics::counter!("pimentocart_usage_reports_total", "outcome" => "missed")
                .increment(1);
        }
        usage.finalized.len() > before
    }

    /// Releases the duties, so that another entry can take them at once. This entry becomes
    /// a candidate again after `pause`, or never if there is none.
    async fn resign_duties<R: DutyStore>(&self, records: &R, pause: Option<Duration>) {
        let now = self.clock.now_boottime();
        let term = self.candidate.borrow_mut().resign(now, pause);
        let Some(term) = term else { return };
        let token = term.token;
        info!("duties released by this entry", kv: { token = token, for_good = pause.is_none() });
        self.write(records, term).await;
        self.send_holder_notice(token, true);
    }

    /// Clears the holder's state once the duties are no longer held.
    fn clear_if_lost(&self) {
        let held = self.candidate.borrow().term().is_some();
        if !held && self.held_since.take().is_some() {
            info!("duties no longer held by this entry", kv: { end = self.candidate.borrow().log_end() });
            metrics::gauge!("pimentocart_duties_held").set(0.0);
            self.stored_windows.borrow_mut().clear();
        }
    }
}

/// Logs the finalized windows whose counts are lost.
fn log_lost(windows: &[u64]) {
    for window in windows {
        warn!("finalized usage window missing from the duty record", kv: { window = *window });
    }
}
