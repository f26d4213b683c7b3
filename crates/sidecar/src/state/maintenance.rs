//! Grants slots to waiting requests and handles expired holds, leases and
//! responses.

use std::cmp::Reverse;
use std::time::{Duration, Instant};

use base::ids::RequestId;
use base::reason::Refusal;

use super::request::{Phase, Removal, Request};
use super::response::ResponseBuffer;
use super::{MAX_CALL_WAIT, State};
use crate::metrics;

/// Time between two periodic sweeps, due every 10 ms, after which this process
/// counts as having been paused.
const PAUSE_LIMIT: Duration = Duration::from_millis(50);

impl State {
    /// Sweeps, or skips one sweep after a pause of this process.
    ///
    /// The starts that arrived during the pause are still unread then. If the
    /// sweep came first, it would expire their holds, although the entries were
    /// in time.
    pub fn periodic_sweep(&self) {
        let now = self.clock.now();
        let last = self.last_tick.replace(Some(now));
        if last.is_some_and(|last| now.saturating_duration_since(last) > PAUSE_LIMIT) {
            // The next sweep is not skipped, however late it comes.
            self.last_tick.set(None);
            return;
        }
        self.sweep();
    }

    /// Releases expired holds, refuses requests that cannot meet their targets
    /// and drops responses whose retention ended. Its cost grows with the number
    /// of due timers and not with the number of tracked requests.
    pub fn sweep(&self) {
        let now = self.clock.now();
        while let Some(ticket) = self.pop_due(now) {
            self.check_due(now, ticket);
        }
        self.tombstones.borrow_mut().expire(now);
        // The bundle's share overrides the one in the settings, which applies
        // only while there is no bundle.
        if let Some(bundle) = self.bundle_sync.active.bundle() {
            let guaranteed_share = bundle.shares.guaranteed_share;
            self.queue
                .borrow_mut()
                .set_guaranteed_share(guaranteed_share);
        }

        let rejected = self.queue.borrow_mut().review(now);
        for (ticket, rejection) in rejected {
            if let Some(request) = self.find(ticket) {
                self.remove_unstarted(now, &request, Removal::Refused(rejection));
            }
        }
        self.grant_slots();

        let queue = self.queue.borrow();
        metrics::queue_status(&queue.status(now), queue.reserved_slots(now));
    }

    /// Grants free slots to waiting requests, and preempts a run of a lower tier
    /// when a top-tier request would wait too long.
    pub(super) fn grant_slots(&self) {
        let now = self.clock.now();
        loop {
            let next = self.queue.borrow_mut().grant_next(now);
            let Some(granted) = next else {
                break;
            };
            let Some(request) = self.find(granted.ticket) else {
                self.queue.borrow_mut().cancel(now, granted.ticket, true);
                continue;
            };
            // The entry is gone: it would not start the request, and the slot
            // would be blocked for others until the hold expires.
            if request.lease.get() <= now {
                self.queue.borrow_mut().cancel(now, granted.ticket, true);
                self.remove_unstarted(now, &request, Removal::Expired);
                continue;
            }
            let until = now + self.settings.hold_timeout.0;
            let guaranteed = granted.guaranteed;
            request.set_phase(Phase::Held { until, guaranteed });
            self.schedule_check(until, granted.ticket);
        }

        let victim = self.queue.borrow_mut().preempt(now);
        if let Some(request) = victim.and_then(|ticket| self.find(ticket)) {
            metrics::preempted(request.tier);
            request.request_stop(Refusal::Preempted);
        }
    }

    /// Handles a due timer: an expired hold, a run whose lease may have expired,
    /// or a response whose retention ended. A timer may be out of date.
    fn check_due(&self, now: Instant, ticket: RequestId) {
        let Some(request) = self.find(ticket) else {
            return;
        };
        let (hold_expired, retention_ended) = match &*request.phase.borrow() {
            Phase::Held { until, .. } => (*until <= now, false),
            Phase::Started(ResponseBuffer { end: None, .. }) => {
                self.check_lease(now, &request);
                return;
            }
            Phase::Started(ResponseBuffer {
                end: Some((_, ended_at)),
                ..
            }) => (false, *ended_at + self.settings.retention.0 <= now),
            Phase::Queued | Phase::Removed(_) => (false, false),
        };
        if hold_expired {
            self.queue.borrow_mut().cancel(now, ticket, true);
            self.remove_unstarted(now, &request, Removal::Expired);
        }
        if retention_ended {
            self.drop_response(ticket);
            self.trim_ended();
        }
    }

    /// Stops a run whose lease has expired. A crashed entry neither pulls nor
    /// cancels, and its responses would be generated to the end for nobody. An
    /// entry that is alive makes its next call well within the lease.
    fn check_lease(&self, now: Instant, request: &Request) {
        let lease = request.lease.get();
        if lease > now {
            self.schedule_check(lease, request.ticket);
            return;
        }
        metrics::abandoned(request.tier);
        request.request_stop(Refusal::CallerGone);
    }

    /// Renews the lease of a request on a call from its entry that may wait for
    /// `wait_ms` milliseconds.
    pub fn renew_lease(&self, request: &Request, wait_ms: u32) {
        request
            .lease
            .set(self.clock.now() + self.lease_duration(wait_ms));
    }

    /// Duration of the lease from the start of a call that may wait for
    /// `wait_ms` milliseconds.
    pub(super) fn lease_duration(&self, wait_ms: u32) -> Duration {
        let call_wait = Duration::from_millis(u64::from(wait_ms)).min(MAX_CALL_WAIT);
        call_wait + self.settings.lease.0
    }

    /// Sets a timer that checks a ticket at `at`.
    pub(super) fn schedule_check(&self, at: Instant, ticket: RequestId) {
        self.timers.borrow_mut().push(Reverse((at, ticket)));
    }

    /// Removes the earliest timer that is due and returns its ticket.
    fn pop_due(&self, now: Instant) -> Option<RequestId> {
        let mut timers = self.timers.borrow_mut();
        let Reverse((at, _)) = timers.peek()?;
        if *at > now {
            return None;
        }
        timers.pop().map(|Reverse((_, ticket))| ticket)
    }
}
