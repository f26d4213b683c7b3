//! Holding the duties through the store.

use std::rc::Rc;
use std::time::Duration;

use base::stop::StopSignal;
use policy::duty::{Step, Term, WriteOutcome};
use policy::usage::UsageState;
use spdlog::{info, warn};

use super::{Duties, TICK};
use crate::platform::{DutyRecord, DutyStore};
use crate::state::State;

/// Ticks after which the holder says again that it is there.
const REPEAT: u32 = 4;

/// How long an entry stays away whom the platform's interface does not
/// answer. Others may well reach it.
const AWAY: Duration = Duration::from_secs(10);

/// Holds the duties while it is this entry's turn, until `end`.
pub async fn run<R: DutyStore>(state: Rc<State>, duties: Rc<Duties>, records: R, end: StopSignal) {
    let mut leaving = false;
    for tick in 0u32.. {
        tokio::time::sleep(TICK).await;
        if end.is_triggered() {
            return;
        }
        if state.stopping.is_triggered() && !leaving {
            leaving = true;
            duties.give_up(&records, None).await;
        } else if duties.api_unreachable.take() {
            duties.give_up(&records, Some(AWAY)).await;
        }
        duties.round(&records).await;
        if let Some(token) = duties.token()
            && tick.is_multiple_of(REPEAT)
        {
            duties.tell_held(token, false);
        }
    }
}

impl Duties {
    /// One look at what is due.
    async fn round<R: DutyStore>(&self, records: &R) {
        let now = self.clock.now_boottime();
        let step = self.candidate.borrow().next_step(now, self.peers_ahead());
        let step = match step {
            Step::Read => self.read(records).await,
            step => step,
        };
        match step {
            Step::Renew(term) | Step::Claim(term) => self.write(records, term).await,
            _ if self.fix() => {
                let term = self.candidate.borrow().term().cloned();
                if let Some(term) = term {
                    self.write(records, term).await;
                }
            }
            _ => {}
        }
        self.note_lost();
        let next = self.next_window.get();
        self.counter.borrow_mut().expire(now, next);
    }

    /// Reads the record and takes over what it keeps if the duties are to be
    /// taken.
    async fn read<R: DutyStore>(&self, records: &R) -> Step {
        let read = records.read().await;
        let now = self.clock.now_boottime();
        let mut candidate = self.candidate.borrow_mut();
        let (kept, end) = match read {
            Ok(read) => read,
            Err(e) => {
                candidate.record_read_failure(now);
                // The first of a row is logged.
                if candidate.failed_first() {
                    warn!("duties not read", kv: { cause = e.to_string().as_str() });
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
            let window = self.counter.borrow().windows().containing(self.time());
            let mut usage = kept.map_or_else(|| UsageState::starting_at(window), |k| k.usage);
            for window in usage.catch_up(self.next_window.get(), &self.usage.borrow()) {
                warn!("usage window not in the store", kv: { window = window });
            }
            *self.usage.borrow_mut() = usage;
            self.stored_windows.borrow_mut().clear();
        }
        step
    }

    /// Writes the record, and notes what the store keeps since.
    async fn write<R: DutyStore>(&self, records: &R, term: Term) {
        let time = self.time();
        let usage = {
            let account = self.usage.borrow();
            self.counter.borrow().snapshot(time, &account)
        };
        let (fixed, next) = (usage.finalized.clone(), usage.next_window);
        let kept = DutyRecord {
            term: term.clone(),
            usage,
        };
        let (at, sent) = (self.candidate.borrow().log_end(), self.clock.now_boottime());
        let written = records.write(at, &kept).await;
        let now = self.clock.now_boottime();
        let (token, released) = (term.token, term.released);
        self.candidate
            .borrow_mut()
            .record_write(now, sent, term, written);
        if !matches!(written, WriteOutcome::Stored(_)) || released {
            return;
        }
        if self.held_since.get().is_none() {
            self.held_since.set(Some(now));
            self.holder.set(None);
            info!("duties taken", kv: { token = token, place = self.peers_ahead(), at = at });
        }
        metrics::gauge!("pimentocart_duties_held").set(1.0);
        let account = self.usage.borrow();
        let open = |(window, _): &(u64, _)| account.finalized.contains_key(window);
        *self.stored_windows.borrow_mut() = fixed.into_iter().filter(open).collect();
        drop(account);
        self.next_window.set(self.next_window.get().max(next));
        self.tell_held(token, false);
    }

    /// Fixes the counts of windows that are over; whether there were any.
    fn fix(&self) -> bool {
        if !self.settings.reports_usage() {
            return false;
        }
        let now = self.clock.now_boottime();
        let (Some(since), Some(token)) = (self.held_since.get(), self.token()) else {
            return false;
        };
        let time = self.time();
        let gathered = self.all_peers_reported(since);
        let held = now.saturating_duration_since(since);
        let books = self.counter.borrow();
        let mut account = self.usage.borrow_mut();
        let before = account.finalized.len();
        let missed = books.finalize(time, held, gathered, &mut account);
        for window in missed {
            warn!("usage window missed", kv: { window = window, token = token });
            metrics::counter!("pimentocart_usage_reports_total", "outcome" => "missed")
                .increment(1);
        }
        account.finalized.len() > before
    }

    /// Gives the duties up, so that another entry takes them at once.
    async fn give_up<R: DutyStore>(&self, records: &R, pause: Option<Duration>) {
        let now = self.clock.now_boottime();
        let term = self.candidate.borrow_mut().resign(now, pause);
        let Some(term) = term else { return };
        let token = term.token;
        info!("duties given up", kv: { token = token, for_good = pause.is_none() });
        self.write(records, term).await;
        self.tell_held(token, true);
    }

    /// Notes that the duties are not held any more.
    fn note_lost(&self) {
        let held = self.candidate.borrow().term().is_some();
        if !held && self.held_since.take().is_some() {
            info!("duties lost", kv: { end = self.candidate.borrow().log_end() });
            metrics::gauge!("pimentocart_duties_held").set(0.0);
            self.stored_windows.borrow_mut().clear();
        }
    }
}
