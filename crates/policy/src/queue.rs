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
mod guarantee;
mod headroom;
mod item;
mod ranks;
mod rules;
mod slots;
mod usage;

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::rc::Rc;
use std::time::{Duration, Instant};

use base::ids::{RequestId, Tier};

use crate::estimate::Estimator;
use crate::estimate::fit::Share;
use backlog::Backlog;
use guarantee::Guarantee;
use headroom::Headroom;
pub use item::{Ask, Offered, Verdict};
use item::{Item, Key};
pub use rules::{QueuePolicy, Rules};
use slots::{Grant, Slots};
use usage::Usage;

/// Least time before the latest start at which a run is stopped for it. The
/// caller looks every few milliseconds, and the backend server has to stop.
const PREEMPT_LEAD: Duration = Duration::from_millis(20);

/// Slot time in microseconds that a request is taken to need before any was
/// seen. It only has to be the same for all.
const NOMINAL_US: u64 = 100_000;

/// The queue of one backend server, and its slots.
///
/// A request is offered, then granted a slot by [`Self::next`], then started
/// and finished; it may be cancelled before its start. Every call is about a
/// ticket, and one about a ticket that is not where the call expects it
/// changes nothing.
#[derive(Debug)]
pub struct Queue {
    rules: Rules,
    slots: Slots,
    /// Waiting requests by their number.
    items: HashMap<u64, Item>,
    /// Numbers of waiting requests.
    numbers: HashMap<RequestId, u64>,
    /// Waiting requests by tier.
    tiers: BTreeMap<Tier, Backlog>,
    /// Waiting requests by their latest start.
    by_latest: BTreeSet<(Instant, u64)>,
    /// Number of the next request.
    seq: u64,
    guarantee: Guarantee,
    headroom: Headroom,
    usage: Usage,
    estimator: Estimator,
    /// Share of the requests that stay until they start. An entry asks several
    /// sidecars and cancels at the others when one is ready, so that a part of
    /// what waits will take no slot time here.
    staying: Share,
    /// Slots freed by preemption that are not granted again yet.
    reclaimed: usize,
    /// Requests taken out whose callers were not told yet.
    given_up: Vec<(RequestId, Verdict)>,
    /// The waiting request that the last review ended with.
    cursor: Option<(Tier, Key)>,
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
pub struct Standing {
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
    pub fn new(rules: Rules, slots: usize, now: Instant) -> Self {
        let fifo = rules.policy == QueuePolicy::Fifo;
        let unless_fifo = |share: f64| if fifo { 0.0 } else { share };
        Self {
            slots: Slots::new(slots, now),
            items: HashMap::new(),
            numbers: HashMap::new(),
            tiers: BTreeMap::new(),
            by_latest: BTreeSet::new(),
            seq: 0,
            guarantee: Guarantee::new(unless_fifo(rules.guaranteed)),
            headroom: Headroom::new(slots, unless_fifo(rules.headroom), now),
            usage: Usage::default(),
            estimator: Estimator::new(rules.confidence),
            staying: Share::new(),
            reclaimed: 0,
            given_up: Vec::new(),
            cursor: None,
            rules,
        }
    }

    /// Goes by another guaranteed share from now on.
    pub fn set_guaranteed(&mut self, share: f64) {
        if self.rules.policy != QueuePolicy::Fifo {
            self.guarantee.set_share(share);
        }
    }

    /// Offers a request. Whom it pushes out is told by [`Self::review`].
    pub fn offer(&mut self, now: Instant, ask: Ask) -> Offered {
        if self.numbers.contains_key(&ask.ticket) {
            return Offered::Queued;
        }
        let fifo = self.rules.policy == QueuePolicy::Fifo;
        let (tier, flow) = match fifo {
            true => (Tier(0), Rc::from("")),
            false => (ask.tier, Rc::clone(&ask.workspace)),
        };
        let latest = self.latest(now, &ask);
        self.guarantee.came(now, tier, &ask.class);
        let slack = latest.saturating_duration_since(now);
        self.headroom.came(now, tier, slack);

        let key = Key {
            due: if fifo { now } else { ask.first_due },
            seq: self.seq,
        };
        let probe = self.probes(now, tier, &ask.class);
        let backlog = self.tiers.entry(tier);
        let backlog = backlog.or_insert_with(|| Backlog::new(now));
        let bucket = backlog.bucket(now, key.due);
        // Those with an equal deadline came before it.
        let refused = match self.rules.policy == QueuePolicy::Full && !probe {
            true => self.verdict(now, &ask, tier, &flow, bucket.next()),
            false => None,
        };
        if let Some(verdict) = refused.or_else(|| self.make_room(tier, key)) {
            return Offered::Refused(verdict);
        }

        let item = Item {
            cost: self.estimator.mean_us(&ask.shape()).unwrap_or(NOMINAL_US),
            latest: if probe { ask.first_due } else { latest },
            ask,
            key,
            tier,
            flow,
            probe,
            bucket,
        };
        self.insert(item);
        Offered::Queued
    }

    /// Grants the next request a slot, if one is free for it.
    pub fn next(&mut self, now: Instant) -> Option<Granted> {
        if self.slots.free() == 0 {
            return None;
        }
        let top = self.first_waiting()?;
        if self.open(now, top) == 0 {
            return None;
        }

        // A slot that was taken from a lower tier for a higher one must not
        // go to a lower one again.
        let reclaimed = std::mem::take(&mut self.reclaimed);
        self.reclaimed = reclaimed.saturating_sub(1);
        let turn = self.guarantee.due(top).filter(|_| reclaimed == 0);
        let seq = match turn {
            Some(seq) => seq,
            None => self.pick(now, top)?,
        };
        let item = self.take(seq, true)?;
        self.guarantee.started(now, item.tier, &item.ask.class);
        match turn {
            Some(_) => self.guarantee.spend(),
            None => self.guarantee.earn(),
        }
        self.usage.add(now, item.tier, item.cost as f64);

        let granted = Granted {
            ticket: item.ask.ticket,
            tier: item.tier,
            guaranteed: turn.is_some(),
        };
        self.slots.hold(Grant {
            ask: item.ask,
            tier: item.tier,
            flow: item.flow,
            cost: item.cost,
            guaranteed: turn.is_some(),
            since: now,
            newest: None,
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
        if let Some(seq) = self.numbers.get(&ticket).copied() {
            self.staying.add(false);
            return self.take(seq, false).is_some();
        }
        let Some(grant) = self.slots.unhold(ticket) else {
            return false;
        };
        self.staying.add(false);
        if let Some(backlog) = self.tiers.get_mut(&grant.tier) {
            backlog.refund(&grant.flow, grant.cost);
        }
        self.usage.add(now, grant.tier, -(grant.cost as f64));
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
            self.staying.add(true);
        }
        started
    }

    /// Notes that a run made a piece of `tokens` tokens.
    pub fn piece(&mut self, now: Instant, ticket: RequestId, tokens: u32) {
        let Some(grant) = self.slots.run(ticket) else {
            return;
        };
        grant.pieces = grant.pieces.saturating_add(1);
        let before = grant.newest.replace(now);
        match before {
            None => {
                let took = now.saturating_duration_since(grant.since);
                self.estimator.saw_first(now, &grant.ask.shape(), took);
            }
            Some(before) if tokens > 0 => {
                let gap = now.saturating_duration_since(before);
                self.estimator.saw_gap(gap / tokens);
            }
            Some(_) => {}
        }
    }

    /// Notes that pieces of a run have left the sidecar.
    pub fn delivered(&mut self, ticket: RequestId) {
        if let Some(grant) = self.slots.run(ticket) {
            grant.delivered = true;
        }
    }

    /// Ends a run and gives its slot back. Only a `whole` answer teaches how
    /// long one takes.
    pub fn finish(&mut self, now: Instant, ticket: RequestId, whole: bool) {
        let Some(grant) = self.slots.end(ticket) else {
            return;
        };
        if whole {
            let took = now.saturating_duration_since(grant.since);
            self.estimator.saw_end(now, &grant.ask.shape(), took);
        } else if grant.stopping {
            self.reclaimed += 1;
        }
    }

    /// Chooses a run to stop for the top tier, when a request of it would
    /// miss its target before a slot falls free. The caller stops the run and
    /// then calls [`Self::finish`]. One at a time, as each frees a slot.
    pub fn preempt(&mut self, now: Instant) -> Option<RequestId> {
        let full = self.rules.policy != QueuePolicy::Fifo && self.rules.preempt;
        let top = self.first_waiting()?;
        if !full || self.headroom.top(now) != Some(top) || self.slots.free() > 0 {
            return None;
        }
        let first = self.tiers.get(&top)?.earliest()?;
        let latest = self.items.get(&first.seq)?.latest;
        let service = self.mean_service(now).unwrap_or(0.0);
        let interval = service / self.slots.total().max(1) as f64;
        let lead = Duration::from_micros(interval as u64).max(PREEMPT_LEAD);
        let left = latest.saturating_duration_since(now);
        if left > lead || self.slots.stopping() {
            return None;
        }

        let victim = self.slots.victim(top)?;
        self.slots.run(victim)?.stopping = true;
        Some(victim)
    }

    /// How the queue stands, for a request that would come now.
    #[must_use]
    pub fn standing(&self, now: Instant) -> Standing {
        let busy = self.slots.busy();
        let waiting = self.items.len();
        let full = busy + waiting >= self.slots.total();
        let mean = self.mean_service(now).unwrap_or(0.0);
        let work: u64 = self.tiers.values().map(Backlog::cost).sum();
        let work = work as f64 * self.staying.get();
        let wait = (work + mean) / self.slots.total().max(1) as f64;
        Standing {
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
    pub fn first_us(&self, prompt: u32) -> u64 {
        self.estimator.prompt_us(prompt)
    }

    /// Estimated time until a waiting request gets a slot; zero when it does
    /// not wait or nothing was seen.
    #[must_use]
    pub fn estimate(&self, now: Instant, ticket: RequestId) -> Duration {
        let item = self.numbers.get(&ticket).and_then(|n| self.items.get(n));
        let wait = item.and_then(|i| self.wait(now, i.tier, &i.ask.class, &i.flow, i.bucket));
        wait.unwrap_or_default()
    }

    /// Requests that wait.
    #[must_use]
    pub fn waiting(&self) -> usize {
        self.items.len()
    }

    /// Slots that are held or running.
    #[must_use]
    pub fn busy(&self) -> usize {
        self.slots.busy()
    }

    /// Slots kept free from the lower tiers now.
    #[must_use]
    pub fn kept(&self, now: Instant) -> usize {
        self.reserve(now, Tier(u8::MAX))
    }

    /// Refuses the newcomer or pushes another out when the queue is full: the
    /// lowest tier's latest deadline goes.
    fn make_room(&mut self, tier: Tier, key: Key) -> Option<Verdict> {
        if self.items.len() < self.rules.limit.max(1) {
            return None;
        }
        let mut tiers = self.tiers.iter().rev();
        let worst = tiers.find_map(|(t, b)| Some((*t, b.last()?)));
        match worst {
            Some((last, at)) if (last, at) > (tier, key) => {
                self.give_up(at.seq, admission::shed());
                None
            }
            _ => Some(admission::shed()),
        }
    }

    /// The request of a tier that starts next: by fair share, unless the
    /// earliest deadline cannot wait and its workspace has not run ahead.
    fn pick(&mut self, now: Instant, tier: Tier) -> Option<u64> {
        let service = self.mean_service(now).unwrap_or(0.0);
        let interval = service / self.slots.total().max(1) as f64;
        let backlog = self.tiers.get(&tier)?;
        let (fair, earliest) = (backlog.fair()?, backlog.earliest()?);
        let urgent = self.items.get(&earliest.seq)?;
        let left = urgent.latest.saturating_duration_since(now);
        let critical = left.as_secs_f64() * 1e6 <= interval;
        match critical && backlog.may_overtake(&urgent.flow) {
            true => Some(earliest.seq),
            false => Some(fair.seq),
        }
    }

    /// The highest tier that waits.
    fn first_waiting(&self) -> Option<Tier> {
        let found = self.tiers.iter().find(|(_, b)| !b.is_empty());
        found.map(|(tier, _)| *tier)
    }

    /// Slots that are free for a tier now.
    fn open(&self, now: Instant, tier: Tier) -> usize {
        self.slots.free().saturating_sub(self.reserve(now, tier))
    }

    /// Slots that a tier must leave free now.
    fn reserve(&self, now: Instant, tier: Tier) -> usize {
        let Some(top) = self.headroom.top(now) else {
            return 0;
        };
        self.headroom.reserve(now, tier, self.slots.of_tier(top))
    }

    /// Samples what the top tier needs.
    fn sample(&mut self, now: Instant) {
        let Some(top) = self.headroom.top(now) else {
            return;
        };
        let waiting = self.tiers.get(&top).map_or(0, Backlog::len);
        let need = self.slots.of_tier(top) + waiting;
        let service = self.mean_service(now);
        let service = service.map(|us| Duration::from_micros(us as u64));
        let slots = self.slots.total();
        self.headroom.sample(now, need, slots, service);
    }

    fn insert(&mut self, item: Item) {
        self.seq += 1;
        let seq = item.key.seq;
        self.guarantee.insert(item.tier, &item.ask.class, seq);
        if let Some(backlog) = self.tiers.get_mut(&item.tier) {
            backlog.insert(&item);
        }
        self.by_latest.insert((item.latest, seq));
        self.numbers.insert(item.ask.ticket, seq);
        self.items.insert(seq, item);
    }

    /// Takes a waiting request out, to start or not.
    fn take(&mut self, seq: u64, starts: bool) -> Option<Item> {
        let item = self.items.remove(&seq)?;
        self.numbers.remove(&item.ask.ticket);
        self.by_latest.remove(&(item.latest, seq));
        self.guarantee.remove(item.tier, &item.ask.class, seq);
        if let Some(backlog) = self.tiers.get_mut(&item.tier) {
            match starts {
                true => backlog.take(&item),
                false => backlog.remove(&item),
            }
        }
        Some(item)
    }

    fn give_up(&mut self, seq: u64, verdict: Verdict) {
        if let Some(item) = self.take(seq, false) {
            self.given_up.push((item.ask.ticket, verdict));
        }
    }
}
