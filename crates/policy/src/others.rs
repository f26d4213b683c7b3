//! What other entries have in progress, from what they tell.
//!
//! An entry sees its own calls only. With a few dozen entries before as many
//! engines it has about one call at each, which says nothing about how busy
//! an engine is. Each entry tells the others what it has, several times a
//! second; what was told last counts until it is too old to be believed.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use crate::pools::Told;

/// What an entry said is believed for so many of its own intervals.
pub const BELIEVED: u32 = 4;

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
