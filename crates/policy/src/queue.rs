//! What a sidecar decides: who waits, who starts, who is shed and who is
//! preempted. See docs/DECISIONS/0101-queue.md.
//!
//! - `admission`: whether a request can meet its targets.
//! - `backlog`: the waiting requests of one tier, fair between workspaces.
//! - `guarantee`: the share of starts that lower tiers get.
//! - `headroom`: slots kept free for the top tier.
//! - `item`: requests as the queue holds them.
//! - `ranks`: counting deadlines.
//! - `rules`: what the operators set.
//! - `slots`: who holds a slot and who runs.
//! - `usage`: how much of the slots each tier was given.

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

/// Least time before the latest start at which a run is stopped for it. The
/// caller looks every few milliseconds, and the backend server has to stop.
const MIN_PREEMPT_LEAD: Duration = Duration::from_millis(20);

/// Slot time in microseconds that a request is taken to need before any was
/// seen. It only has to be the same for all.
const DEFAULT_COST_US: u64 = 100_000;

/// The queue of one backend server, and its slots.
///
/// A request is offered, then granted a slot by [`Self::grant_next`], then started
/// and finished; it may be cancelled before its start. Every call is about a
/// ticket, and one about a ticket that is not where the call expects it
/// changes nothing.
#[derive(Debug)]
pub struct Queue {
    settings: QueueSettings,
    slots: Slots,
    /// Waiting requests by their number.
    requests: HashMap<u64, QueuedRequest>,
    /// Numbers of waiting requests.
    by_ticket: HashMap<RequestId, u64>,
    /// Waiting requests by tier.
    tiers: BTreeMap<Tier, Backlog>,
    /// Waiting requests by their latest start.
    by_latest: BTreeSet<(Instant, u64)>,
    /// Number of the next request.
    next_seq: u64,
    guarantee: Guarantee,
    headroom: Headroom,
    usage: TierUsage,
    estimator: Estimator,
    /// Share of the requests that stay until they start. An entry asks several
    /// sidecars and cancels at the others when one is ready, so that a part of
    /// what waits will take no slot time here.
    start_share: MovingShare,
    /// Slots freed by preemption that are not granted again yet.
    preempted_slots: usize,
    /// Requests taken out whose callers were not told yet.
    evicted: Vec<(RequestId, Rejection)>,
    /// The waiting request that the last review ended with.
    review_cursor: Option<(Tier, DeadlineKey)>,
}

/// A slot granted to a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Granted {
    /// The request.
    pub ticket: RequestId,
    /// Its tier.
    pub tier: Tier,
    /// Whether it goes before a higher tier by the guaranteed share.
    pub guaranteed: bool,
}

/// How a queue stands.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct QueueStatus {
    /// Slots in all.
    pub slots: usize,
    /// Slots that are held or running.
    pub busy: usize,
    /// Requests that run.
    pub running: usize,
    /// Requests that wait.
    pub waiting: usize,
    /// Recent time from a start to the first piece, in microseconds.
    pub first_us: u64,
    /// Recent time between two tokens, in microseconds.
    pub token_us: u64,
    /// Estimated wait behind everything that waits now, in microseconds.
    pub wait_us: u64,
}

impl Queue {
    /// Makes an empty queue for a backend server with `slots` slots.
    #[must_use]
    pub fn new(rules: QueueSettings, slots: usize, now: Instant) -> Self {
        let fifo = rules.policy == QueuePolicy::Fifo;
        let unless_fifo = |share: f64| if fifo { 0.0 } else { share };
        Self {
            slots: Slots::new(slots, now),
            requests: HashMap::new(),
            by_ticket: HashMap::new(),
            tiers: BTreeMap::new(),
            by_latest: BTreeSet::new(),
            next_seq: 0,
            guarantee: Guarantee::new(unless_fifo(rules.guaranteed)),
            headroom: Headroom::new(slots, unless_fifo(rules.headroom), now),
            usage: TierUsage::default(),
            estimator: Estimator::new(rules.confidence),
            start_share: MovingShare::new(),
            preempted_slots: 0,
            evicted: Vec::new(),
            review_cursor: None,
            settings: rules,
        }
    }

    /// Goes by another guaranteed share from now on.
    pub fn set_guaranteed_share(&mut self, share: f64) {
        if self.settings.policy != QueuePolicy::Fifo {
            self.guarantee.set_share(share);
        }
    }

    /// Offers a request. Whom it pushes out is told by [`Self::review`].
    pub fn offer(&mut self, now: Instant, ask: QueueRequest) -> Admission {
        if self.by_ticket.contains_key(&ask.ticket) {
            return Admission::Queued;
        }
        let fifo = self.settings.policy == QueuePolicy::Fifo;
        let (tier, flow) = match fifo {
            true => (Tier(0), Rc::from("")),
            false => (ask.tier, Rc::clone(&ask.workspace)),
        };
        let latest = self.latest_start(now, &ask);
        self.guarantee.record_arrival(now, tier, &ask.class);
        let slack = latest.saturating_duration_since(now);
        self.headroom.record_arrival(now, tier, slack);

        let key = DeadlineKey {
            deadline: if fifo { now } else { ask.first_deadline },
            seq: self.next_seq,
        };
        let probe = self.should_probe(now, tier, &ask.class);
        let backlog = self.tiers.entry(tier);
        let backlog = backlog.or_insert_with(|| Backlog::new(now));
        let bucket = backlog.bucket(now, key.deadline);
        // Those with an equal deadline came before it.
        let refused = match self.settings.policy == QueuePolicy::Full && !probe {
            true => self.predicted_miss(now, &ask, tier, &flow, bucket.next()),
            false => None,
        };
        if let Some(verdict) = refused.or_else(|| self.make_room(tier, key)) {
            return Admission::Refused(verdict);
        }

        let item = QueuedRequest {
            cost_us: self
                .estimator
                .expected_service_us(&ask.cost_factors())
                .unwrap_or(DEFAULT_COST_US),
            latest_start: if probe { ask.first_deadline } else { latest },
            request: ask,
            key,
            tier,
            flow,
            probe,
            bucket,
        };
        self.insert(item);
        Admission::Queued
    }

    /// Grants the next request a slot, if one is free for it.
    pub fn grant_next(&mut self, now: Instant) -> Option<Granted> {
        if self.slots.free() == 0 {
            return None;
        }
        let top = self.top_waiting_tier()?;
        if self.available_slots(now, top) == 0 {
            return None;
        }

        // A slot that was taken from a lower tier for a higher one must not
        // go to a lower one again.
        let reclaimed = std::mem::take(&mut self.preempted_slots);
        self.preempted_slots = reclaimed.saturating_sub(1);
        let turn = self
            .guarantee
            .next_out_of_turn(top)
            .filter(|_| reclaimed == 0);
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

    /// Takes a request out that waits or holds a slot without having started.
    /// A hold that lapses is taken out by `lapsed`: it keeps the turn that it
    /// was given, or one that never starts could take turn after turn.
    pub fn cancel(&mut self, now: Instant, ticket: RequestId, lapsed: bool) -> bool {
        if let Some(seq) = self.by_ticket.get(&ticket).copied() {
            self.start_share.add(false);
            return self.dequeue(seq, false).is_some();
        }
        let Some(grant) = self.slots.release_held(ticket) else {
            return false;
        };
        self.start_share.add(false);
        if let Some(backlog) = self.tiers.get_mut(&grant.tier) {
            backlog.refund(&grant.flow, grant.cost_us);
        }
        self.usage.add(now, grant.tier, -(grant.cost_us as f64));
        match (lapsed, grant.guaranteed) {
            (true, _) => {}
            (false, true) => self.guarantee.unspend(),
            (false, false) => self.guarantee.unearn(),
        }
        true
    }

    /// Starts a request that holds a slot.
    pub fn start(&mut self, now: Instant, ticket: RequestId) -> bool {
        let started = self.slots.start(now, ticket);
        if started {
            self.start_share.add(true);
        }
        started
    }

    /// Notes that a run made a piece of `tokens` tokens.
    pub fn record_piece(&mut self, now: Instant, ticket: RequestId, tokens: u32) {
        let Some(grant) = self.slots.running_mut(ticket) else {
            return;
        };
        grant.pieces = grant.pieces.saturating_add(1);
        let before = grant.last_piece.replace(now);
        match before {
            None => {
                let took = now.saturating_duration_since(grant.since);
                self.estimator
                    .record_first(now, &grant.request.cost_factors(), took);
            }
            Some(before) if tokens > 0 => {
                let gap = now.saturating_duration_since(before);
                self.estimator.record_gap(gap / tokens);
            }
            Some(_) => {}
        }
    }

    /// Notes that pieces of a run have left the sidecar.
    pub fn mark_delivered(&mut self, ticket: RequestId) {
        if let Some(grant) = self.slots.running_mut(ticket) {
            grant.delivered = true;
        }
    }

    /// Ends a run and gives its slot back. Only a `whole` answer teaches how
    /// long one takes.
    pub fn finish(&mut self, now: Instant, ticket: RequestId, whole: bool) {
        let Some(grant) = self.slots.release_running(ticket) else {
            return;
        };
        if whole {
            let took = now.saturating_duration_since(grant.since);
            self.estimator
                .record_end(now, &grant.request.cost_factors(), took);
        } else if grant.stopping {
            self.preempted_slots += 1;
        }
    }

    /// Chooses a run to stop for the top tier, when a request of it would
    /// miss its target before a slot falls free. The caller stops the run and
    /// then calls [`Self::finish`]. One at a time, as each frees a slot.
    pub fn preempt(&mut self, now: Instant) -> Option<RequestId> {
        let full = self.settings.policy != QueuePolicy::Fifo && self.settings.preempt;
        let top = self.top_waiting_tier()?;
        if !full || self.headroom.top_tier(now) != Some(top) || self.slots.free() > 0 {
            return None;
        }
        let first = self.tiers.get(&top)?.earliest()?;
        let latest = self.requests.get(&first.seq)?.latest_start;
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

    /// How the queue stands, for a request that would come now.
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

    /// Expected time from a start to the first piece for a prompt, in
    /// microseconds; 0 when nothing was seen.
    #[must_use]
    pub fn expected_first_us(&self, prompt: u32) -> u64 {
        self.estimator.expected_first_us(prompt)
    }

    /// Estimated time until a waiting request gets a slot; zero when it does
    /// not wait or nothing was seen.
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

    /// Requests that wait.
    #[must_use]
    pub fn waiting(&self) -> usize {
        self.requests.len()
    }

    /// Slots that are held or running.
    #[must_use]
    pub fn busy(&self) -> usize {
        self.slots.busy()
    }

    /// Slots kept free from the lower tiers now.
    #[must_use]
    pub fn reserved_slots(&self, now: Instant) -> usize {
        self.withheld_slots(now, Tier(u8::MAX))
    }

    /// Refuses the newcomer or pushes another out when the queue is full: the
    /// lowest tier's latest deadline goes.
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
    /// earliest deadline cannot wait and its workspace has not run ahead.
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

    /// The highest tier that waits.
    fn top_waiting_tier(&self) -> Option<Tier> {
        let found = self.tiers.iter().find(|(_, b)| !b.is_empty());
        found.map(|(tier, _)| *tier)
    }

    /// Slots that are free for a tier now.
    fn available_slots(&self, now: Instant, tier: Tier) -> usize {
        self.slots
            .free()
            .saturating_sub(self.withheld_slots(now, tier))
    }

    /// Slots that a tier must leave free now.
    fn withheld_slots(&self, now: Instant, tier: Tier) -> usize {
        let Some(top) = self.headroom.top_tier(now) else {
            return 0;
        };
        self.headroom
            .withheld_slots(now, tier, self.slots.used_by_tier(top))
    }

    /// Samples what the top tier needs.
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

    /// Takes a waiting request out, to start or not.
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

    fn evict(&mut self, seq: u64, verdict: Rejection) {
        if let Some(item) = self.dequeue(seq, false) {
            self.evicted.push((item.request.ticket, verdict));
        }
    }
}
