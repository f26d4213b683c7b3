//! What other entries have in progress, from what they tell.
//!
//! An entry sees its own calls only. With a few dozen entries before as many
//! engines it has about one call at each, which says nothing about how busy
//! an engine is. Each entry tells the others what it has, several times a
//! second; what was told last counts until it is too old to be believed.

use std::collections::{HashMap, VecDeque};
use std::time::{Duration, Instant};

use crate::pools::Told;

/// What an entry said is believed for so many of its own intervals.
pub const BELIEVED: u32 = 4;

/// The shortest interval: what is told is as old as that, and a call takes
/// about ten of it.
const EVERY_LEAST: Duration = Duration::from_millis(100);

/// The interval up to which all entries are told alike. Beyond it the own
/// availability zone goes first: told more rarely, it would learn nothing of
/// calls.
const EVERY_MOST: Duration = Duration::from_secs(1);

/// The longest interval. With more entries than can be told each second, the
/// other zones still hear what a service's engines are loaded with,
/// which changes more slowly; of single calls the engines' sidecars know.
const FAR_MOST: Duration = Duration::from_secs(4);

/// Bytes a second that one entry may send, from the size that the system is
/// designed for (docs/CAPACITY.md).
const RATE: f64 = 8192.0;

/// How often an entry speaks.
///
/// Load pattern: each of some dozen entries tells all others what it has. At
/// one datagram a second to each of 67, an entry sent 23 kB a second, four
/// fifths of it between zones.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Intervals {
    /// To entries of its own zone.
    pub near: Duration,
    /// To the others.
    pub far: Duration,
}

impl Intervals {
    /// The intervals of an entry for which telling all of its zone takes `near`
    /// bytes, and telling all others `far`.
    #[must_use]
    pub fn new(near: usize, far: usize) -> Self {
        let every = Duration::from_secs_f64((near + far) as f64 / RATE);
        if every <= EVERY_MOST {
            let every = every.max(EVERY_LEAST);
            return Self {
                near: every,
                far: every,
            };
        }
        let span = |bytes: usize, rate: f64| {
            let span = Duration::try_from_secs_f64(bytes as f64 / rate);
            span.unwrap_or(FAR_MOST).clamp(EVERY_MOST, FAR_MOST)
        };
        let near_every = span(near, RATE);
        let left = RATE - near as f64 / near_every.as_secs_f64();
        Self {
            near: near_every,
            far: span(far, left.max(1.0)),
        }
    }
}

/// What one entry says.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Saying {
    /// The life of the entry.
    pub life: u64,
    /// Grows with each saying of that life.
    pub seq: u32,
    /// How often the entry speaks.
    pub every: Duration,
    /// What it has for each service, by the service's number.
    pub services: Vec<(u32, Told)>,
    /// Its calls at each server, by the server's short number.
    pub calls: Vec<(u16, Calls)>,
}

/// Calls at one server.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Calls {
    /// All that have not ended.
    pub open: u32,
    /// Those of them that wait for their first event.
    pub waiting: u32,
}

/// How long an entry that is not heard any more still counts among those that
/// share a limit. Entries that lost each other all go on, and would each take a
/// larger share while the sum is held against all of them.
const COUNTED: Duration = Duration::from_secs(600);

/// How many entries there are at the most, as far as one of them has heard.
#[derive(Debug, Default)]
pub struct EntryCount {
    /// Counts, each larger than the later ones, with when they were last seen.
    counts: VecDeque<(Instant, usize)>,
}

impl EntryCount {
    /// Notes how many entries are heard now; returns the most of late.
    pub fn note(&mut self, now: Instant, count: usize) -> usize {
        while self.counts.back().is_some_and(|(_, c)| *c <= count) {
            self.counts.pop_back();
        }
        self.counts.push_back((now, count));
        while self
            .counts
            .front()
            .is_some_and(|(at, _)| now >= *at + COUNTED)
        {
            self.counts.pop_front();
        }
        self.counts.front().map_or(count, |(_, most)| *most)
    }
}

/// What all other entries said last.
#[derive(Debug, Default)]
pub struct Others {
    entries: HashMap<u64, (Instant, Saying)>,
}

impl Others {
    /// Takes a saying over, unless a later one of the same life came first.
    pub fn hear(&mut self, now: Instant, saying: Saying) {
        let held = self.entries.get(&saying.life);
        if held.is_none_or(|(_, held)| held.seq < saying.seq) {
            self.entries.insert(saying.life, (now, saying));
        }
    }

    /// Forgets what is too old to be believed: its entry may have ended, and
    /// the calls that it told of with it.
    pub fn forget(&mut self, now: Instant) {
        self.entries
            .retain(|_, (at, said)| now < *at + said.every * BELIEVED);
    }

    /// Entries that are heard.
    #[must_use]
    pub fn count(&self) -> usize {
        self.entries.len()
    }

    /// Calls of all others at each server.
    #[must_use]
    pub fn calls(&self) -> HashMap<u16, Calls> {
        let mut all: HashMap<u16, Calls> = HashMap::new();
        for (_, said) in self.entries.values() {
            for (server, calls) in &said.calls {
                let sum = all.entry(*server).or_default();
                sum.open += calls.open;
                sum.waiting += calls.waiting;
            }
        }
        all
    }

    /// What all others have for a service, by its number.
    #[must_use]
    pub fn told(&self, service: u32) -> Told {
        let mut sum = Told::default();
        let said = self.entries.values().flat_map(|(_, s)| &s.services);
        for (_, told) in said.filter(|(s, _)| *s == service) {
            sum.reading += told.reading;
            sum.writing += told.writing;
            sum.pace += told.pace;
            sum.paced += u32::from(told.pace > 0.0);
            sum.pause = sum.pause.max(told.pause);
        }
        sum.pace /= f64::from(sum.paced.max(1));
        sum
    }
}
