//! The tickets of a sidecar and their states.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::collections::VecDeque;
use std::rc::Rc;
use std::time::{Duration, Instant};

use base::clock::Clock;
use base::ids::{Incarnation, Sequence, Ticket, Tier};
use base::reason::{Ran, Refusal};
use base::stop::Stop;
use platform::engine::Engine;
use platform::plain::Plain;
use policy::Queue;
use policy::queue::{Ask, Offered};
use tokio::sync::Notify;
use wire::{Cancelled, End, Load, Piece, Pulled, Reply, Reserve, Reserved, Start, Started};

use crate::run;
use crate::settings::{Backend, Settings};

/// How long an ended or cancelled ticket stays known, so that a delayed
/// packet about it cannot start it.
const TOMBSTONE: Duration = Duration::from_secs(60);

/// How often draining looks whether all has ended.
const DRAIN_POLL: Duration = Duration::from_millis(20);

/// Everything that a sidecar knows.
pub struct State {
    /// What the operators set.
    pub settings: Settings,
    /// Where the time comes from.
    pub clock: Rc<dyn Clock>,
    /// This life of the sidecar.
    pub incarnation: Incarnation,
    /// The backend server.
    pub backend: Client,
    /// Who waits for a slot.
    queue: RefCell<Queue>,
    /// Tickets by their identity.
    tickets: RefCell<HashMap<Ticket, Rc<Entry>>>,
    /// Whether no new requests are taken.
    draining: Cell<bool>,
}

/// The client of the backend server.
pub enum Client {
    /// A model engine.
    Engine(Engine),
    /// A plain service.
    Plain(Plain),
}

/// One ticket.
pub struct Entry {
    /// The request.
    pub ticket: Ticket,
    /// Its tier.
    pub tier: Tier,
    /// Where it stands.
    phase: RefCell<Phase>,
    /// Wakes who waits for a change.
    pub changed: Notify,
    /// Asks its run to stop.
    pub stop: Stop,
}

/// Where a ticket stands.
enum Phase {
    /// It waits for a slot.
    Queued,
    /// A slot is held for it.
    Held { until: Instant },
    /// It started; its answer is being made or kept.
    Started(Answer),
    /// It never started and never will.
    Never { reason: Refusal, since: Instant },
}

/// An answer in the making.
#[derive(Default)]
struct Answer {
    /// The number of the first piece that is still kept.
    first: u32,
    /// The pieces that are kept.
    pieces: VecDeque<Piece>,
    /// How the answer ended, and when.
    end: Option<(End, Instant)>,
}

impl State {
    /// Makes the state of a sidecar that just started.
    #[must_use]
    pub fn new(settings: Settings, clock: Rc<dyn Clock>) -> Rc<Self> {
        let backend = match &settings.backend {
            Backend::Engine { addr, .. } => Client::Engine(Engine::new(*addr)),
            Backend::Plain { addr, timeout, .. } => Client::Plain(Plain::new(*addr, timeout.0)),
        };
        Rc::new(Self {
            queue: RefCell::new(Queue::new(settings.backend.slots())),
            settings,
            clock,
            incarnation: Incarnation::random(),
            backend,
            tickets: RefCell::default(),
            draining: Cell::new(false),
        })
    }

    /// Wraps an answer with what every answer tells.
    pub fn reply<T>(&self, body: T) -> Reply<T> {
        Reply {
            sequence: Sequence::default(),
            incarnation: self.incarnation,
            load: self.load(),
            body,
        }
    }

    /// How busy the backend server is.
    pub fn load(&self) -> Load {
        let queue = self.queue.borrow();
        let count = |n: usize| u32::try_from(n).unwrap_or(u32::MAX);
        Load {
            running: count(queue.busy()),
            slots: count(queue.slots()),
            waiting: count(queue.waiting()),
            draining: self.draining.get(),
            ..Load::default()
        }
    }

    /// Finds a ticket.
    pub fn find(&self, ticket: Ticket) -> Option<Rc<Entry>> {
        self.tickets.borrow().get(&ticket).cloned()
    }

    /// Queues a request that is not known yet, and tells where it stands.
    pub fn reserve(&self, ask: &Reserve) -> (Rc<Entry>, Reserved) {
        if let Some(entry) = self.find(ask.ticket) {
            let stands = self.stands(&entry);
            return (entry, stands);
        }

        let entry = Rc::new(Entry {
            ticket: ask.ticket,
            tier: ask.tier,
            phase: RefCell::new(Phase::Queued),
            changed: Notify::new(),
            stop: Stop::new(),
        });
        let now = self.clock.now();
        let offered = match self.draining.get() {
            true => Offered::Refused(Refusal::Draining),
            false => self.queue.borrow_mut().offer(now, queue_ask(ask, now)),
        };
        if let Offered::Refused(reason) = offered {
            *entry.phase.borrow_mut() = Phase::Never { reason, since: now };
        }

        self.tickets
            .borrow_mut()
            .insert(ask.ticket, Rc::clone(&entry));
        self.advance();
        let stands = self.stands(&entry);
        (entry, stands)
    }

    /// Where a ticket stands, as an answer to `reserve`.
    pub fn stands(&self, entry: &Entry) -> Reserved {
        match &*entry.phase.borrow() {
            Phase::Queued => Reserved::Waiting { estimate_us: 0 },
            Phase::Held { until } => {
                let left = until.saturating_duration_since(self.clock.now());
                let hold_ms = u32::try_from(left.as_millis()).unwrap_or(u32::MAX);
                Reserved::Ready {
                    hold_ms,
                    first_us: 0,
                    token_us: 0,
                }
            }
            Phase::Started(_) => Reserved::AlreadyStarted,
            Phase::Never { reason, .. } => Reserved::Refused {
                reason: *reason,
                retry_after_ms: 0,
            },
        }
    }

    /// Starts a ticket that holds a slot.
    pub fn start(self: &Rc<Self>, order: Start) -> Started {
        // A start meant for an earlier life could run a request a second
        // time: what that life did with it is not known here.
        if order.incarnation != self.incarnation {
            return Started::OtherIncarnation;
        }
        let Some(entry) = self.find(order.ticket) else {
            return Started::Lapsed;
        };

        let mut phase = entry.phase.borrow_mut();
        match &*phase {
            Phase::Started(_) => return Started::Running,
            Phase::Queued => return Started::Lapsed,
            Phase::Never {
                reason: Refusal::CallerGone,
                ..
            } => return Started::Cancelled,
            Phase::Never { .. } => return Started::Lapsed,
            Phase::Held { .. } => {}
        }
        *phase = Phase::Started(Answer::default());
        drop(phase);

        actix_rt::spawn(run::run(Rc::clone(self), entry, order.work));
        Started::Running
    }

    /// Takes pieces from `from` on, and forgets those before.
    pub fn pull(&self, entry: &Entry, from: u32) -> Pulled {
        let mut phase = entry.phase.borrow_mut();
        let Phase::Started(answer) = &mut *phase else {
            return Pulled::Unknown;
        };

        while answer.first < from && answer.pieces.pop_front().is_some() {
            answer.first += 1;
        }
        Pulled::Pieces {
            first: answer.first,
            pieces: answer.pieces.iter().cloned().collect(),
            end: answer.end.as_ref().map(|(end, _)| end.clone()),
        }
    }

    /// Adds a piece to an answer.
    pub fn push(&self, entry: &Entry, piece: Piece) {
        if let Phase::Started(answer) = &mut *entry.phase.borrow_mut() {
            answer.pieces.push_back(piece);
        }
        entry.changed.notify_waiters();
    }

    /// Ends an answer and gives its slot back.
    pub fn finish(&self, entry: &Entry, end: End) {
        if let Phase::Started(answer) = &mut *entry.phase.borrow_mut() {
            answer.end = Some((end, self.clock.now()));
        }
        self.queue.borrow_mut().release();
        entry.changed.notify_waiters();
        self.advance();
    }

    /// How many pieces an answer has so far.
    pub fn made(&self, entry: &Entry) -> u32 {
        match &*entry.phase.borrow() {
            Phase::Started(answer) => {
                answer.first + u32::try_from(answer.pieces.len()).unwrap_or(u32::MAX)
            }
            _ => 0,
        }
    }

    /// Ends a ticket whatever its state. One that never started never will.
    pub fn cancel(&self, ticket: Ticket) -> Cancelled {
        let since = self.clock.now();
        let never = Phase::Never {
            reason: Refusal::CallerGone,
            since,
        };
        let Some(entry) = self.find(ticket) else {
            // Its reserve or start may still be on the way.
            let entry = Rc::new(Entry {
                ticket,
                tier: Tier::default(),
                phase: RefCell::new(never),
                changed: Notify::new(),
                stop: Stop::new(),
            });
            self.tickets.borrow_mut().insert(ticket, entry);
            return Cancelled::NeverStarted;
        };

        let mut phase = entry.phase.borrow_mut();
        match &*phase {
            Phase::Never { .. } => return Cancelled::NeverStarted,
            Phase::Started(Answer { end: Some(_), .. }) => return Cancelled::Ended,
            Phase::Started(_) => {
                entry.stop.ask();
                return Cancelled::Started;
            }
            Phase::Queued => {
                self.queue.borrow_mut().remove(ticket);
            }
            Phase::Held { .. } => self.queue.borrow_mut().release(),
        }
        *phase = never;
        drop(phase);

        entry.changed.notify_waiters();
        self.advance();
        Cancelled::NeverStarted
    }

    /// Hands free slots to those who wait.
    fn advance(&self) {
        let now = self.clock.now();
        while let Some(ask) = self.queue.borrow_mut().next(now) {
            let Some(entry) = self.find(ask.ticket) else {
                continue;
            };
            let until = now + self.settings.hold.0;
            *entry.phase.borrow_mut() = Phase::Held { until };
            entry.changed.notify_waiters();
        }
    }

    /// Takes back slots held too long, ends requests that waited too long and
    /// forgets tickets that ended long ago.
    pub fn sweep(&self) {
        let now = self.clock.now();
        let expired = self.queue.borrow_mut().expire(now);
        for (ticket, reason) in expired {
            if let Some(entry) = self.find(ticket) {
                *entry.phase.borrow_mut() = Phase::Never { reason, since: now };
                entry.changed.notify_waiters();
            }
        }

        let keep = self.settings.keep.0;
        self.tickets.borrow_mut().retain(|_, entry| {
            let mut phase = entry.phase.borrow_mut();
            match &*phase {
                Phase::Held { until } if *until <= now => {
                    self.queue.borrow_mut().release();
                    *phase = Phase::Never {
                        reason: Refusal::Expired,
                        since: now,
                    };
                    entry.changed.notify_waiters();
                    true
                }
                Phase::Never { since, .. } => now.duration_since(*since) < TOMBSTONE,
                Phase::Started(Answer {
                    end: Some((_, at)), ..
                }) => now.duration_since(*at) < keep,
                _ => true,
            }
        });
        self.advance();
    }

    /// Whether nothing waits or runs.
    pub fn idle(&self) -> bool {
        let queue = self.queue.borrow();
        queue.busy() == 0 && queue.waiting() == 0
    }

    /// Takes nothing new and waits until everything in progress has ended.
    pub async fn drain(&self) {
        self.draining.set(true);
        while !self.idle() {
            tokio::time::sleep(DRAIN_POLL).await;
        }
    }
}

fn queue_ask(ask: &Reserve, now: Instant) -> Ask {
    Ask {
        ticket: ask.ticket,
        class: ask.class.clone(),
        workspace: ask.workspace.clone(),
        tier: ask.tier,
        first_due: now + Duration::from_micros(ask.first_left_us),
        whole_due: now + Duration::from_micros(ask.whole_left_us),
        prompt: ask.prompt,
        repeatable: ask.repeatable,
    }
}

/// An end that says the request did not run.
#[must_use]
pub fn broken(reason: Refusal, ran: Ran) -> End {
    End::Broken { reason, ran }
}
