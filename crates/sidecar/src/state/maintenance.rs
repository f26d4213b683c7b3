//! Handing slots out, and what falls due with time.

use std::cmp::Reverse;
use std::time::{Duration, Instant};

use base::ids::RequestId;
use base::reason::Refusal;

use super::request::{Phase, Removal, Request};
use super::response::ResponseBuffer;
use super::{MAX_CALL_WAIT, State};
use crate::metrics;

impl State {
    /// Takes back slots held too long, gives up requests that cannot meet
    /// their targets and forgets tickets that ended long ago. What it costs
    /// goes by what is due and not by what is known.
    pub fn sweep(&self) {
        let now = self.clock.now();
        while let Some(ticket) = self.pop_due(now) {
            self.check_due(now, ticket);
        }
        self.tombstones.borrow_mut().expire(now);
        // The bundle goes before the settings, which only count without one.
        if let Some(bundle) = self.bundle_sync.active.bundle() {
            let share = bundle.shares.guaranteed;
            self.queue.borrow_mut().set_guaranteed_share(share);
        }

        let given_up = self.queue.borrow_mut().review(now);
        for (ticket, verdict) in given_up {
            if let Some(entry) = self.find(ticket) {
                self.remove_unstarted(now, &entry, Removal::Refused(verdict));
            }
        }
        self.grant_slots();

        let queue = self.queue.borrow();
        metrics::queue_status(&queue.status(now), queue.reserved_slots(now));
    }

    /// Hands free slots to those who wait, and takes one from a lower tier
    /// where the top tier would wait too long.
    pub(super) fn grant_slots(&self) {
        let now = self.clock.now();
        loop {
            let next = self.queue.borrow_mut().grant_next(now);
            let Some(granted) = next else {
                break;
            };
            let Some(entry) = self.find(granted.ticket) else {
                self.queue.borrow_mut().cancel(now, granted.ticket, true);
                continue;
            };
            // The slot would be held in vain while others wait for one.
            if entry.lease.get() <= now {
                self.queue.borrow_mut().cancel(now, granted.ticket, true);
                self.remove_unstarted(now, &entry, Removal::Expired);
                continue;
            }
            let until = now + self.settings.hold_timeout.0;
            let guaranteed = granted.guaranteed;
            entry.set_phase(Phase::Held { until, guaranteed });
            self.schedule_check(until, granted.ticket);
        }

        let victim = self.queue.borrow_mut().preempt(now);
        if let Some(entry) = victim.and_then(|ticket| self.find(ticket)) {
            metrics::preempted(entry.tier);
            entry.request_stop(Refusal::Preempted);
        }
    }

    /// Looks at a ticket whose time may have come.
    fn check_due(&self, now: Instant, ticket: RequestId) {
        let Some(entry) = self.find(ticket) else {
            return;
        };
        let (lapsed, ended) = match &*entry.phase.borrow() {
            Phase::Held { until, .. } => (*until <= now, false),
            Phase::Started(ResponseBuffer { end: None, .. }) => {
                self.check_lease(now, &entry);
                return;
            }
            Phase::Started(ResponseBuffer {
                end: Some((_, at)), ..
            }) => (false, *at + self.settings.retention.0 <= now),
            Phase::Queued | Phase::Removed(_) => (false, false),
        };
        if lapsed {
            self.queue.borrow_mut().cancel(now, ticket, true);
            self.remove_unstarted(now, &entry, Removal::Expired);
        }
        if ended {
            self.drop_response(ticket);
            self.trim_ended();
        }
    }

    /// Stops a run whose entry is gone. An entry that crashed pulls nothing
    /// and cancels nothing; its answers would be made to their ends for
    /// nobody. One that lives asks again well within its lease.
    fn check_lease(&self, now: Instant, entry: &Request) {
        let lease = entry.lease.get();
        if lease > now {
            self.schedule_check(lease, entry.ticket);
            return;
        }
        metrics::abandoned(entry.tier);
        entry.request_stop(Refusal::CallerGone);
    }

    /// Notes that a ticket's entry asked, with a call that may be held for
    /// `wait_ms`.
    pub fn renew_lease(&self, entry: &Request, wait_ms: u32) {
        entry
            .lease
            .set(self.clock.now() + self.lease_duration(wait_ms));
    }

    /// How long an entry counts as there after a call held for `wait_ms`.
    pub(super) fn lease_duration(&self, wait_ms: u32) -> Duration {
        let held = Duration::from_millis(u64::from(wait_ms)).min(MAX_CALL_WAIT);
        held + self.settings.lease.0
    }

    /// Has a ticket looked at again at a time.
    pub(super) fn schedule_check(&self, at: Instant, ticket: RequestId) {
        self.timers.borrow_mut().push(Reverse((at, ticket)));
    }

    /// The next ticket whose time has come.
    fn pop_due(&self, now: Instant) -> Option<RequestId> {
        let mut timers = self.timers.borrow_mut();
        let Reverse((at, _)) = timers.peek()?;
        if *at > now {
            return None;
        }
        timers.pop().map(|Reverse((_, ticket))| ticket)
    }
}
