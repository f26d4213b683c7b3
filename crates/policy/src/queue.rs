//! The admission and scheduling queue of one backend server: which requests
//! wait, start, are shed or preempted. See docs/DECISIONS/0101-queue.md.
//!
//! - `admission`: deadline-aware admission and eviction.
//! - `backlog`: fair queueing between the workspaces of one tier.
//! - `guarantee`: the share of starts guaranteed to lower tiers.
//! - `headroom`: slots reserved for the top tier.
//! - `item`: queued requests and the outcome of offering one.
//! - `deadline_counts`: counts of deadlines before a given one.
//! - `settings`: the settings of a queue.
//! - `slots`: slots in use.
//! - `usage`: recent slot time of each tier.

mod admission;
mod backlog;
mod deadline_counts;
mod guarantee;
mod headroom;
mod item;
mod settings;
mod slots;
mod usage;

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::rc::Rc;
use std::time::{Duration, Instant};

use base::ids::{RequestId, Tier};

use crate::estimate::Estimator;
use crate::estimate::averages::MovingShare;
use backlog::Backlog;
use guarantee::Guarantee;
use headroom::Headroom;
pub use item::{Admission, QueueRequest, Rejection};
use item::{DeadlineKey, QueuedRequest};
pub use settings::{QueuePolicy, QueueSettings};
use slots::{SlotHolder, Slots};
use usage::TierUsage;

/// Minimum time before a request's latest start at which a run is preempted
/// for it. The caller polls every few milliseconds, and the backend server
/// needs time to stop.
const MIN_PREEMPT_LEAD: Duration = Duration::from_millis(20);

/// Assumed slot time of a request, in microseconds, before any was measured.
/// Its size does not matter as long as it is the same for all requests.
const DEFAULT_COST_US: u64 = 100_000;

/// The queue of one backend server, and its slots.
///
/// A request is offered, granted a slot by [`Self::grant_next`], started and
/// finished; it may be cancelled before its start. Calls are idempotent: a
/// call about a ticket that is not in the state that the call expects changes
/// nothing.
#[derive(Debug)]
pub struct Queue {
    settings: QueueSettings,
    slots: Slots,
    /// Waiting requests by sequence number.
    requests: HashMap<u64, QueuedRequest>,
    /// Sequence numbers of waiting requests by ticket.
    by_ticket: HashMap<RequestId, u64>,
    /// Waiting requests by tier.
    tiers: BTreeMap<Tier, Backlog>,
    /// Waiting requests ordered by latest start.
    by_latest: BTreeSet<(Instant, u64)>,
    /// Sequence number of the next request.
    next_seq: u64,
    guarantee: Guarantee,
    headroom: Headroom,
    usage: TierUsage,
    estimator: Estimator,
    /// Share of the requests that start instead of being cancelled. An entry
    /// reserves at several sidecars and cancels at the others when one is
    /// ready, so a part of the queued work never takes slot time here.
    start_share: MovingShare,
    /// Slots freed by preemption that have not been granted again.
    preempted_slots: usize,
    /// Evicted requests that [`Self::review`] has not reported yet.
    evicted: Vec<(RequestId, Rejection)>,
    /// The waiting request at which the last review stopped.
    review_cursor: Option<(Tier, DeadlineKey)>,
}

/// A slot granted to a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Granted {
    /// The request's ticket.
    pub ticket: RequestId,
    /// Its tier.
    pub tier: Tier,
    /// Whether the guaranteed share put it ahead of a higher tier.
    pub guaranteed: bool,
}

/// A snapshot of a queue's state.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct QueueStatus {
    /// Number of slots.
    pub slots: usize,
    /// Number of slots that are held or running.
    pub busy: usize,
    /// Running requests.
    pub running: usize,
    /// Waiting requests.
    pub waiting: usize,
    /// Moving average of the time from start to first piece, in microseconds.
    pub first_us: u64,
    /// Moving average of the time between two tokens, in microseconds.
    pub token_us: u64,
    /// Estimated wait of a request that joins the end of the queue now, in
    /// microseconds.
    pub wait_us: u64,
}

impl Queue {
    /// Makes an empty queue for a backend server with `slots` slots.
    #[must_use]
    pub fn new(settings: QueueSettings, slots: usize, now: Instant) -> Self {
        let fifo = settings.policy == QueuePolicy::Fifo;
        let unless_fifo = |share: f64| if fifo { 0.0 } else { share };
        Self {
            slots: Slots::new(slots, now),
            requests: HashMap::new(),
            by_ticket: HashMap::new(),
            tiers: BTreeMap::new(),
            by_latest: BTreeSet::new(),
            next_seq: 0,
            guarantee: Guarantee::new(unless_fifo(settings.guaranteed)),
            headroom: Headroom::new(slots, unless_fifo(settings.headroom), now),
            usage: TierUsage::default(),
            estimator: Estimator::new(settings.confidence),
            start_share: MovingShare::new(),
            preempted_slots: 0,
            evicted: Vec::new(),
            review_cursor: None,
            settings,
        }
    }

    /// Changes the guaranteed share.
    pub fn set_guaranteed_share(&mut self, share: f64) {
        if self.settings.policy != QueuePolicy::Fifo {
            self.guarantee.set_share(share);
        }
    }

    /// Queues or refuses a request. Requests that it evicts are reported by
    /// the next [`Self::review`].
    pub fn offer(&mut self, now: Instant, request: QueueRequest) -> Admission {
        if self.by_ticket.contains_key(&request.ticket) {
            return Admission::Queued;
        }
        let fifo = self.settings.policy == QueuePolicy::Fifo;
        let (tier, flow) = match fifo {
            true => (Tier(0), Rc::from("")),
            false => (request.tier, Rc::clone(&request.workspace)),
        };
        let latest = self.latest_start(now, &request);
        self.guarantee.record_arrival(now, tier, &request.class);
        let slack = latest.saturating_duration_since(now);
        self.headroom.record_arrival(now, tier, slack);

        let key = DeadlineKey {
            deadline: if fifo { now } else { request.first_deadline },
            seq: self.next_seq,
        };
        let probe = self.should_probe(now, tier, &request.class);
        let backlog = self.tiers.entry(tier);
        let backlog = backlog.or_insert_with(|| Backlog::new(now));
        let bucket = backlog.bucket(now, key.deadline);
        // Requests with an equal deadline arrived earlier and go first.
        let refused = match self.settings.policy == QueuePolicy::Full && !probe {
            true => self.predicted_miss(now, &request, tier, &flow, bucket.next()),
            false => None,
        };
        if let Some(rejection) = refused.or_else(|| self.make_room(tier, key)) {
            return Admission::Refused(rejection);
        }

        let item = QueuedRequest {
            cost_us: self
                .estimator
                .expected_service_us(&request.cost_factors())
                .unwrap_or(DEFAULT_COST_US),
            latest_start: if probe {
                request.first_deadline
            } else {
                latest
            },
            request,
            key,
            tier,
            flow,
            probe,
            bucket,
        };
        self.insert(item);
        Admission::Queued
    }

    /// Grants a slot to the next request, if one is available to its tier.
    pub fn grant_next(&mut self, now: Instant) -> Option<Granted> {
        if self.slots.free() == 0 {
            return None;
        }
        let top = self.top_waiting_tier()?;
        if self.available_slots(now, top) == 0 {
            return None;
        }

        // A slot that was preempted for a higher tier must not go back to a
        // lower one.
        let preempted = std::mem::take(&mut self.preempted_slots);
        self.preempted_slots = preempted.saturating_sub(1);
        let turn = self
            .guarantee
            .next_out_of_turn(top)
            .filter(|_| preempted == 0);
        let seq = match turn {
            Some(seq) => seq,
            None => self.select_in_tier(now, top)?,
        };
        let item = self.dequeue(seq, true)?;
        self.guarantee
            .record_start(now, item.tier, &item.request.class);
        match turn {
            Some(_) => self.guarantee.spend(),
            None => self.guarantee.earn(),
        }
        self.usage.add(now, item.tier, item.cost_us as f64);

        let granted = Granted {
            ticket: item.request.ticket,
            tier: item.tier,
            guaranteed: turn.is_some(),
        };
        self.slots.hold(SlotHolder {
            request: item.request,
            tier: item.tier,
            flow: item.flow,
            cost_us: item.cost_us,
            guaranteed: turn.is_some(),
            since: now,
            last_piece: None,
            pieces: 0,
            delivered: false,
            stopping: false,
        });
        Some(granted)
    }

    /// Removes a request that waits or holds a slot without having started.
    /// `lapsed` means that its hold timed out: its turn then stays spent,
    /// otherwise requests that never start could take turn after turn.
    pub fn cancel(&mut self, now: Instant, ticket: RequestId, lapsed: bool) -> bool {
        if let Some(seq) = self.by_ticket.get(&ticket).copied() {
            self.start_share.add(false);
            return self.dequeue(seq, false).is_some();
        }
        let Some(holder) = self.slots.release_held(ticket) else {
            return false;
        };
        self.start_share.add(false);
        if let Some(backlog) = self.tiers.get_mut(&holder.tier) {
            backlog.refund(&holder.flow, holder.cost_us);
        }
        self.usage.add(now, holder.tier, -(holder.cost_us as f64));
        match (lapsed, holder.guaranteed) {
            (true, _) => {}
            (false, true) => self.guarantee.unspend(),
            (false, false) => self.guarantee.unearn(),
        }
        true
    }

    /// Starts a request that holds a slot; false if it holds none.
    pub fn start(&mut self, now: Instant, ticket: RequestId) -> bool {
        let started = self.slots.start(now, ticket);
        if started {
            self.start_share.add(true);
        }
        started
    }

    /// Records that a run produced a piece of `tokens` tokens.
    pub fn record_piece(&mut self, now: Instant, ticket: RequestId, tokens: u32) {
        let Some(holder) = self.slots.running_mut(ticket) else {
            return;
        };
        holder.pieces = holder.pieces.saturating_add(1);
        let before = holder.last_piece.replace(now);
        match before {
            None => {
                let took = now.saturating_duration_since(holder.since);
                self.estimator
                    .record_first(now, &holder.request.cost_factors(), took);
            }
            Some(before) if tokens > 0 => {
                let gap = now.saturating_duration_since(before);
                self.estimator.record_gap(gap / tokens);
            }
            Some(_) => {}
        }
    }

    /// Records that pieces of a run have left the sidecar, so that it cannot
    /// be preempted any more.
    pub fn mark_delivered(&mut self, ticket: RequestId) {
        if let Some(holder) = self.slots.running_mut(ticket) {
            holder.delivered = true;
        }
    }

    /// Ends a run and frees its slot. Only complete answers (`whole`) update
    /// the service-time estimates.
    pub fn finish(&mut self, now: Instant, ticket: RequestId, whole: bool) {
        let Some(holder) = self.slots.release_running(ticket) else {
            return;
        };
        if whole {
            let took = now.saturating_duration_since(holder.since);
            self.estimator
                .record_end(now, &holder.request.cost_factors(), took);
        } else if holder.stopping {
            self.preempted_slots += 1;
        }
    }

    /// Chooses a run to preempt when a request of the top tier would otherwise
    /// miss its target before a slot becomes free. The caller stops the run
    /// and then calls [`Self::finish`]. Only one run is stopped at a time, as
    /// each frees a slot.
    pub fn preempt(&mut self, now: Instant) -> Option<RequestId> {
        let full = self.settings.policy != QueuePolicy::Fifo && self.settings.preempt;
        let top = self.top_waiting_tier()?;
        if !full || self.headroom.top_tier(now) != Some(top) || self.slots.free() > 0 {
            return None;
        }
        let earliest = self.tiers.get(&top)?.earliest()?;
        let latest = self.requests.get(&earliest.seq)?.latest_start;
        let service = self.mean_service_us(now).unwrap_or(0.0);
        let interval = service / self.slots.total().max(1) as f64;
        let lead = Duration::from_micros(interval as u64).max(MIN_PREEMPT_LEAD);
        let left = latest.saturating_duration_since(now);
        if left > lead || self.slots.stopping() {
            return None;
        }

        let victim = self.slots.preemption_victim(top)?;
        self.slots.running_mut(victim)?.stopping = true;
        Some(victim)
    }

    /// The queue's state, as a request that arrives now would find it.
    #[must_use]
    pub fn status(&self, now: Instant) -> QueueStatus {
        let busy = self.slots.busy();
        let waiting = self.requests.len();
        let full = busy + waiting >= self.slots.total();
        let mean = self.mean_service_us(now).unwrap_or(0.0);
        let work: u64 = self.tiers.values().map(Backlog::total_cost).sum();
        let work = work as f64 * self.start_share.get();
        let wait = (work + mean) / self.slots.total().max(1) as f64;
        QueueStatus {
            slots: self.slots.total(),
            busy,
            running: self.slots.running(),
            waiting,
            first_us: self.estimator.first_us(),
            token_us: self.estimator.token_us(),
            wait_us: if full { wait as u64 } else { 0 },
        }
    }

    /// Expected time from start to first piece for a prompt of this many
    /// tokens, in microseconds; 0 before the first measurement.
    #[must_use]
    pub fn expected_first_us(&self, prompt: u32) -> u64 {
        self.estimator.expected_first_us(prompt)
    }

    /// Estimated time until a waiting request gets a slot; zero when it is not
    /// waiting or nothing was measured yet.
    #[must_use]
    pub fn estimated_wait(&self, now: Instant, ticket: RequestId) -> Duration {
        let item = self
            .by_ticket
            .get(&ticket)
            .and_then(|n| self.requests.get(n));
        let wait =
            item.and_then(|i| self.slot_wait(now, i.tier, &i.request.class, &i.flow, i.bucket));
        wait.unwrap_or_default()
    }

    /// Number of waiting requests.
    #[must_use]
    pub fn waiting(&self) -> usize {
        self.requests.len()
    }

    /// Number of slots that are held or running.
    #[must_use]
    pub fn busy(&self) -> usize {
        self.slots.busy()
    }

    /// Number of free slots that are reserved for the top tier now.
    #[must_use]
    pub fn reserved_slots(&self, now: Instant) -> usize {
        self.withheld_slots(now, Tier(u8::MAX))
    }

    /// When the queue is full, evicts the request with the latest deadline in
    /// the lowest tier; refuses the new request if it is that one itself.
    fn make_room(&mut self, tier: Tier, key: DeadlineKey) -> Option<Rejection> {
        if self.requests.len() < self.settings.limit.max(1) {
            return None;
        }
        let mut tiers = self.tiers.iter().rev();
        let worst = tiers.find_map(|(t, b)| Some((*t, b.last()?)));
        match worst {
            Some((last, at)) if (last, at) > (tier, key) => {
                self.evict(at.seq, admission::shed_rejection());
                None
            }
            _ => Some(admission::shed_rejection()),
        }
    }

    /// The request of a tier that starts next: by fair share, unless the
    /// earliest deadline is about to be missed and its workspace is not too
    /// far ahead of its share.
    fn select_in_tier(&mut self, now: Instant, tier: Tier) -> Option<u64> {
        let service = self.mean_service_us(now).unwrap_or(0.0);
        let interval = service / self.slots.total().max(1) as f64;
        let backlog = self.tiers.get(&tier)?;
        let (fair, earliest) = (backlog.next_by_share()?, backlog.earliest()?);
        let urgent = self.requests.get(&earliest.seq)?;
        let left = urgent.latest_start.saturating_duration_since(now);
        let critical = left.as_secs_f64() * 1e6 <= interval;
        match critical && backlog.may_overtake(&urgent.flow) {
            true => Some(earliest.seq),
            false => Some(fair.seq),
        }
    }

    /// The highest tier with waiting requests.
    fn top_waiting_tier(&self) -> Option<Tier> {
        let found = self.tiers.iter().find(|(_, b)| !b.is_empty());
        found.map(|(tier, _)| *tier)
    }

    /// Number of free slots that a tier may take now.
    fn available_slots(&self, now: Instant, tier: Tier) -> usize {
        self.slots
            .free()
            .saturating_sub(self.withheld_slots(now, tier))
    }

    /// Number of free slots that a tier must leave to the top tier now.
    fn withheld_slots(&self, now: Instant, tier: Tier) -> usize {
        let Some(top) = self.headroom.top_tier(now) else {
            return 0;
        };
        self.headroom
            .withheld_slots(now, tier, self.slots.used_by_tier(top))
    }

    /// Samples how many slots the top tier could use.
    fn sample_demand(&mut self, now: Instant) {
        let Some(top) = self.headroom.top_tier(now) else {
            return;
        };
        let waiting = self.tiers.get(&top).map_or(0, Backlog::len);
        let need = self.slots.used_by_tier(top) + waiting;
        let service = self.mean_service_us(now);
        let service = service.map(|us| Duration::from_micros(us as u64));
        let slots = self.slots.total();
        self.headroom.sample_demand(now, need, slots, service);
    }

    fn insert(&mut self, item: QueuedRequest) {
        self.next_seq += 1;
        let seq = item.key.seq;
        self.guarantee.insert(item.tier, &item.request.class, seq);
        if let Some(backlog) = self.tiers.get_mut(&item.tier) {
            backlog.insert(&item);
        }
        self.by_latest.insert((item.latest_start, seq));
        self.by_ticket.insert(item.request.ticket, seq);
        self.requests.insert(seq, item);
    }

    /// Removes a waiting request; `starts` tells whether it got a slot.
    fn dequeue(&mut self, seq: u64, starts: bool) -> Option<QueuedRequest> {
        let item = self.requests.remove(&seq)?;
        self.by_ticket.remove(&item.request.ticket);
        self.by_latest.remove(&(item.latest_start, seq));
        self.guarantee.remove(item.tier, &item.request.class, seq);
        if let Some(backlog) = self.tiers.get_mut(&item.tier) {
            match starts {
                true => backlog.dequeue(&item),
                false => backlog.remove(&item),
            }
        }
        Some(item)
    }

    fn evict(&mut self, seq: u64, rejection: Rejection) {
        if let Some(item) = self.dequeue(seq, false) {
            self.evicted.push((item.request.ticket, rejection));
        }
    }
}
