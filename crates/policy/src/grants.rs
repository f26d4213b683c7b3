//! Which calls an engine is given, and when, as the sidecar beside it decides
//! for all entries.
//!
//! Load pattern: two dozen entries send prompts to as many engines, for
//! seconds faster than these read them. Each entry has about one call at an
//! engine and hears of the others' late, so that queues inside the engines
//! stand at seconds here and at nothing there, and half of what is served
//! comes late. The sidecar sees every call for its engine: it lets in as much
//! as the engine reads within a few steps, keeps the rest in the order of
//! their turns, and refuses at once what would come too late. See
//! docs/DECISIONS/0603-grants.md.
//!
//! - [`call`]: what is asked and answered.
//! - [`parts`]: which prompt parts the engine should hold.
//! - [`fetch`]: what copying them from another engine takes.
//! - [`lives`]: which life of the engine the sidecar stands beside.
//! - `timing`: how fast it reads, and what a first event takes besides.
//! - `queue`: the calls that wait, in their order.
//! - `mix`: how much of what comes is more urgent than a call.
//! - `reserve`: slots that are kept for streams.
//! - `room`: whether the engine has slots, memory and time for a call.

pub mod call;
pub mod fetch;
pub mod lives;
mod mix;
pub mod parts;
mod queue;
mod reserve;
mod room;
mod timing;

use std::collections::{HashMap, VecDeque};
use std::time::{Duration, Instant};

use crate::estimate::averages::MovingAverage;
pub use call::{Ask, Beliefs, CallId, Report, Verdict};
use fetch::Fetch;
use mix::Mix;
use parts::Parts;
use queue::{Queue, Turn, Waiting};
use reserve::Reserve;
use timing::Timing;

/// Tokens of calls without a first event up to which more are let in: at
/// first, at the least and at the most. A first event comes some 40 ms after
/// its call was let in even when the engine has nothing else to do, in which
/// it reads 4,000 to 6,000 tokens. What waits outside can still be overtaken.
const WINDOW: f64 = 9_000.0;
const WINDOW_LEAST: f64 = 4_000.0;
const WINDOW_MOST: f64 = 16_000.0;

/// How the window follows the engine's reports while calls wait outside: it
/// grows while the engine has at most one to read, as it may run dry, and
/// shrinks while it has several.
const WINDOW_GROWS: f64 = 1.1;
const WINDOW_SHRINKS: f64 = 0.93;

/// Calls inside the engine that are not read to their end up to which the
/// window grows, and from which it shrinks.
const UNREAD_FEW: u32 = 1;
const UNREAD_MANY: u32 = 4;

/// Part of the longest pause that callers of streams bear which reading
/// others' prompts may take at the measured pace: at first, at the least and at
/// the most. The rest is the steps' own time and what the network adds.
const GAP_SHARE: f64 = 0.55;
const GAP_LEAST: f64 = 0.2;
const GAP_MOST: f64 = 2.0;

/// How the share follows the longest pause of each stream that has ended. Up
/// to this part of what is borne there is room for more; past all of it there
/// is too much. One stream in ten may be late while it grows.
const PAUSE_ROOM: f64 = 0.85;
const GAP_GROWS: f64 = 1.015;
const GAP_SHRINKS: f64 = 0.9;

/// Times of its own reading for which a call that waits can be overtaken. A
/// call whose shared parts are held reads a tenth of what another does; behind
/// two that read all of theirs it would be refused, though it would delay them
/// by a tenth. A long one is overtaken until its turn has come and no longer.
const STRETCH: f64 = 4.0;

/// Part of less urgent prompts inside the engine that it has begun to read.
const BEGUN_SHARE: f64 = 0.5;

/// Tokens of its own that count when a call is judged. A long prompt is let in
/// on the terms of a usual one, or in a burst long ones would never be served.
const OWN_MOST: u32 = 12_000;

/// How long a call that was let in may be without a first event before it is
/// taken to have one: its entry may have ended, or its message got lost.
const FLIGHT_LIMIT: Duration = Duration::from_millis(1500);

/// Tokens that a slot counts for when what was let in is compared: a call that
/// reads nothing takes one all the same.
const SLOT_TOKENS: f64 = 1_000.0;

/// How long a call holds its slot before any was seen to end, in seconds.
const HOLD_GUESS: f64 = 0.5;

/// How long reading that was let in is remembered; no stream's longest pause
/// is longer.
const LATELY: Duration = Duration::from_secs(2);

/// The calls for one engine.
#[derive(Debug)]
pub struct Grants {
    /// Calls that wait to be let in.
    waiting: Queue,
    /// Calls that were let in and have no first event.
    flights: HashMap<CallId, Flight>,
    /// Calls that have their first event, with when they must have ended.
    running: HashMap<CallId, Run>,
    /// What first events take.
    timing: Timing,
    /// What fetching a token from another engine takes.
    fetch: Fetch,
    /// How long calls hold a slot after their first event, in seconds.
    hold: MovingAverage,
    /// Tokens of calls without a first event up to which more are let in.
    window: f64,
    /// Prompt parts that the engine should hold.
    parts: Parts,
    /// The engine's last report.
    report: Option<(Instant, Report)>,
    /// When the engine's life began, as far as it says.
    born: Option<u64>,
    /// Calls that the engine runs at once.
    slots: u32,
    /// What was let in lately, by rank.
    mix: Mix,
    /// Streams that come here.
    reserve: Reserve,
    /// Part of a stream's longest pause that reading may take.
    gap_share: f64,
    /// Reading that was let in lately, in seconds.
    lately: VecDeque<(Instant, f64)>,
}

/// What a prompt costs its engine before its first event.
#[derive(Debug, Clone, Copy)]
struct Load {
    /// Tokens that it reads, and the time of those that it fetches in tokens
    /// read.
    tokens: u32,
    /// Tokens that it fetches.
    fetched: u32,
    /// Tokens that its memory does not hold yet.
    missing: u32,
}

#[derive(Debug)]
struct Flight {
    since: Instant,
    load: Load,
    /// The tokens of its load with those that were to be read before it.
    ahead: u32,
    ask: Ask,
}

impl Flight {
    /// The call once it has its first event.
    fn run(&self, now: Instant) -> Run {
        Run {
            since: now,
            until: self.since + self.ask.left,
            gap: self.ask.gap,
        }
    }
}

#[derive(Debug)]
struct Run {
    since: Instant,
    until: Instant,
    gap: Option<Duration>,
}

impl Default for Grants {
    fn default() -> Self {
        Self {
            waiting: Queue::default(),
            flights: HashMap::new(),
            running: HashMap::new(),
            timing: Timing::default(),
            fetch: Fetch::default(),
            hold: MovingAverage::default(),
            window: WINDOW,
            parts: Parts::default(),
            report: None,
            born: None,
            slots: 0,
            mix: Mix::default(),
            reserve: Reserve::default(),
            gap_share: GAP_SHARE,
            lately: VecDeque::new(),
        }
    }
}

impl Grants {
    /// Decides about a call. The same call asked again is answered the same
    /// way, so that a lost answer costs only time.
    pub fn ask(&mut self, now: Instant, ask: Ask) -> Verdict {
        self.expire(now);
        self.slots = ask.slots.max(1);
        if self.flights.contains_key(&ask.id) || self.running.contains_key(&ask.id) {
            return Verdict::Granted;
        }
        if let Some(turn) = self.waiting.turn(ask.id) {
            return Verdict::Queued(turn.at.saturating_duration_since(now));
        }

        self.fetch.declare(ask.copy);
        let load = self.load(&ask);
        let turn = Turn {
            rank: ask.rank,
            at: now + self.stretch(&ask, load),
        };
        let expected = self.expected(now, turn, load.tokens, &ask);
        if ask.gap.is_some() {
            self.reserve.came(now);
            return match ask.must || self.room(now, load) {
                true => {
                    self.let_in(now, load, ask);
                    Verdict::Granted
                }
                false => Verdict::Refused(expected),
            };
        }
        let fits = self.memory(now, load) && (ask.home || !self.too_long(load.tokens));
        // Before an engine that has nothing to read, no other one is better.
        let idle = self.waiting.is_empty() && self.unread() == 0;
        let late = expected > ask.allowed && !(idle && self.open(now, load));
        if !ask.must && (late || !fits) {
            return Verdict::Refused(expected.max(ask.allowed));
        }
        let free = self.waiting.is_empty() && self.open(now, load);
        if free || self.never_fits(load) {
            self.let_in(now, load, ask);
            return Verdict::Granted;
        }
        let waiting = Waiting {
            since: now,
            tokens: load.tokens,
            ask,
        };
        self.waiting.push(turn, waiting);
        Verdict::Queued(expected)
    }

    /// The waiting calls that are let in by now, each with the tokens from its
    /// prompt's start that the engine holds.
    pub fn granted(&mut self, now: Instant) -> Vec<(CallId, u32)> {
        self.expire(now);
        let mut granted = Vec::new();
        while let Some(first) = self.waiting.first() {
            // What it shares may have been read since it came.
            let load = self.load(first);
            if !self.open(now, load) {
                break;
            }
            let Some(waiting) = self.waiting.pop() else {
                break;
            };
            let ask = waiting.ask;
            granted.push((ask.id, ask.tokens().saturating_sub(load.missing)));
            self.let_in(now, load, ask);
        }
        granted
    }

    /// Notes that a call which was let in fetches what another engine holds of
    /// the first `source` tokens of its prompt.
    pub fn fetches(&mut self, id: CallId, source: u32) {
        let Some(flight) = self.flights.get(&id) else {
            return;
        };
        // By now the prompt counts as held; what was missing is known.
        let held = flight.ask.tokens() - flight.load.missing.min(flight.ask.tokens());
        let load = self.load_of(flight.load.missing, held, source);
        if load.fetched == 0 {
            return;
        }
        self.fetch.passed(true);
        if let Some(flight) = self.flights.get_mut(&id) {
            let others = flight.ahead.saturating_sub(flight.load.tokens);
            flight.ahead = others.saturating_add(load.tokens);
            flight.load = load;
        }
    }

    /// Whether a prompt should rather be fetched than read.
    #[must_use]
    pub fn fetch_pays(&self) -> bool {
        self.fetch.pays(self.timing.pace())
    }

    /// Notes that a call has its first event.
    pub fn begun(&mut self, now: Instant, id: CallId) {
        let Some(flight) = self.flights.remove(&id) else {
            return;
        };
        let Load {
            tokens, fetched, ..
        } = flight.load;
        if fetched > 0 {
            self.fetched(now, &flight, fetched);
        }
        self.timing.begun(now, flight.since, tokens, fetched > 0);
        self.running.insert(id, flight.run(now));
    }

    /// Learns from a first event what fetching a part of its prompt took.
    fn fetched(&mut self, now: Instant, flight: &Flight, fetched: u32) {
        let took = now.saturating_duration_since(flight.since).as_secs_f64();
        let (base, pace) = (self.timing.base(), self.timing.pace());
        let more = took - f64::from(flight.ahead) * pace - base;
        let counted = f64::from(fetched) * self.fetch.get().min(pace);
        self.fetch.took(fetched, more + counted);
    }

    /// Notes that a call has ended or will not come; `pause` is the longest
    /// between two of its events.
    pub fn ended(&mut self, now: Instant, id: CallId, pause: Duration) {
        self.waiting.remove(id);
        self.flights.remove(&id);
        if let Some(run) = self.running.remove(&id) {
            let held = now.saturating_duration_since(run.since);
            self.hold.add(held.as_secs_f64());
            if let Some(gap) = run.gap {
                self.learn_gap(gap, pause);
            }
        }
    }

    /// Adapts the reading beside streams to the pauses that it made.
    fn learn_gap(&mut self, gap: Duration, pause: Duration) {
        let step = match pause.as_secs_f64() / gap.as_secs_f64() {
            p if p > 1.0 => GAP_SHRINKS,
            p if p < PAUSE_ROOM => GAP_GROWS,
            _ => 1.0,
        };
        self.gap_share = (self.gap_share * step).clamp(GAP_LEAST, GAP_MOST);
    }

    /// Notes when a life of the engine began that somebody speaks of; returns
    /// whether it is the newest one known. A newer one has read nothing and
    /// runs nothing: by the books of the one before it would look full, and
    /// its prompts read. Calls that wait have not been sent, and stay.
    pub fn life(&mut self, born: Option<u64>) -> bool {
        if born < self.born {
            return born.is_none();
        }
        if born > self.born && self.born.is_some() {
            self.ended_all();
        }
        self.born = born;
        true
    }

    /// Takes over what the engine says.
    pub fn report(&mut self, now: Instant, report: Report) {
        if !self.life(report.born) {
            return;
        }
        self.parts.limit(report.total.saturating_sub(report.used));
        if !self.waiting.is_empty() {
            let step = match report.unread {
                ..=UNREAD_FEW => WINDOW_GROWS,
                UNREAD_MANY.. => WINDOW_SHRINKS,
                _ => 1.0,
            };
            self.window = (self.window * step).clamp(WINDOW_LEAST, WINDOW_MOST);
        }
        self.report = Some((now, report));
    }

    /// Forgets what is known of the engine, as after its restart.
    pub fn forget(&mut self) {
        self.parts = Parts::default();
        self.report = None;
    }

    /// Forgets the engine's calls as well: it has ended, and they with it.
    pub fn ended_all(&mut self) {
        self.forget();
        self.flights.clear();
        self.running.clear();
    }

    /// What the engine is believed to be like, for logs.
    #[must_use]
    pub fn beliefs(&self) -> Beliefs {
        Beliefs {
            pace_ns: (self.timing.pace() * 1e9) as u64,
            fetch_ns: (self.fetch.get() * 1e9) as u64,
            base_us: (self.timing.base() * 1e6) as u64,
            window: self.window as u64,
            gap_percent: self.gap().map_or(0, |_| (self.gap_share * 100.0) as u64),
        }
    }

    /// Tokens that a prompt would have to read.
    #[must_use]
    pub fn missing(&self, parts: &[(u64, u32)]) -> u32 {
        self.parts.missing(parts)
    }

    /// Tokens from a prompt's start that the engine holds.
    #[must_use]
    pub fn held(&self, parts: &[(u64, u32)]) -> u32 {
        self.parts.held(parts)
    }

    /// Calls that wait, that were let in, and that run.
    #[must_use]
    pub fn counts(&self) -> (usize, usize, usize) {
        (self.waiting.len(), self.flights.len(), self.running.len())
    }

    /// How long a call may be overtaken by others of its rank.
    fn stretch(&self, ask: &Ask, load: Load) -> Duration {
        let own = f64::from(load.tokens) * self.timing.pace();
        Duration::from_secs_f64(own * STRETCH).min(ask.allowed)
    }

    /// How long the first event of a call would take whose turn comes at
    /// `turn` and which has to read `tokens`.
    fn expected(&self, now: Instant, turn: Turn, tokens: u32, ask: &Ask) -> Duration {
        let (calls, waiting) = match ask.gap {
            None => self.waiting.ahead(turn),
            Some(_) => (0, 0),
        };
        let ahead = waiting + u64::from(tokens.min(OWN_MOST));
        let ahead = u32::try_from(ahead).unwrap_or(u32::MAX);
        let base = self.timing.base();
        let reading = (self.unread_before(ask.rank) + f64::from(ahead)) * self.timing.pace();
        let slots = self.slot_wait(now, calls);
        // More urgent calls that have yet to come go first as well.
        let left = 1.0 - self.mix.before(ask.rank);
        Duration::from_secs_f64(base + reading.max(slots) / left)
    }

    /// How long it takes until a slot is free behind `calls` others.
    fn slot_wait(&self, now: Instant, calls: u32) -> f64 {
        let taken = self.taken(now) + calls + 1;
        let over = taken.saturating_sub(self.reading_slots(now));
        let hold = self.hold.get().unwrap_or(HOLD_GUESS);
        f64::from(over) * hold / f64::from(self.slots.max(1))
    }

    /// What a call costs the engine.
    fn load(&self, ask: &Ask) -> Load {
        let missing = self.parts.missing(&ask.parts);
        let held = ask.tokens().saturating_sub(missing);
        self.load_of(missing, held, ask.source)
    }

    /// The same for a prompt of which the engine misses `missing` tokens after
    /// the `held` first, and another holds the first `source`.
    fn load_of(&self, missing: u32, held: u32, source: u32) -> Load {
        let most = source.saturating_sub(held).min(missing);
        let fetched = match most >= fetch::LEAST && self.fetch_pays() {
            true => most,
            false => 0,
        };
        let ratio = (self.fetch.get() / self.timing.pace()).min(1.0);
        let tokens = missing - fetched + (f64::from(fetched) * ratio) as u32;
        Load {
            tokens,
            fetched,
            missing,
        }
    }

    /// Tokens of calls that were let in and have no first event.
    fn unread(&self) -> u32 {
        sum(self.flights.values().map(|f| f.load.tokens))
    }

    /// The same as far as the engine reads it before a call of `rank`. It takes
    /// the most urgent first, but what it has begun to read it goes on with.
    fn unread_before(&self, rank: u8) -> f64 {
        let share = |f: &Flight| match f.ask.rank <= rank {
            true => f64::from(f.load.tokens),
            false => f64::from(f.load.tokens) * BEGUN_SHARE,
        };
        self.flights.values().map(share).sum()
    }

    fn let_in(&mut self, now: Instant, load: Load, ask: Ask) {
        if ask.source >= fetch::LEAST {
            self.fetch.passed(load.fetched > 0);
        }
        self.parts.read(&ask.parts);
        self.mix
            .add(now, ask.rank, f64::from(load.tokens) + SLOT_TOKENS);
        let ahead = self.unread().saturating_add(load.tokens);
        self.lately
            .push_back((now, f64::from(load.tokens) * self.timing.pace()));
        let flight = Flight {
            since: now,
            load,
            ahead,
            ask,
        };
        self.flights.insert(flight.ask.id, flight);
    }

    /// Forgets what must be over by now.
    fn expire(&mut self, now: Instant) {
        while self
            .lately
            .front()
            .is_some_and(|(at, _)| now >= *at + LATELY)
        {
            self.lately.pop_front();
        }
        let stale = |f: &&Flight| now >= f.since + FLIGHT_LIMIT;
        let stale = self.flights.values().filter(stale).map(|f| f.ask.id);
        let stale: Vec<CallId> = stale.collect();
        for id in stale {
            if let Some(flight) = self.flights.remove(&id) {
                self.running.insert(id, flight.run(now));
            }
        }
        self.running.retain(|_, run| now < run.until);
        self.waiting.expire(now);
    }
}

/// A sum of tokens. Callers say how long their prompts are, and a header may
/// claim parts of four thousand million tokens; wrapped, their sum would look
/// like an engine with nothing to read.
fn sum(tokens: impl Iterator<Item = u32>) -> u32 {
    tokens.fold(0, u32::saturating_add)
}
