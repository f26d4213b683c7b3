//! The prefix cache with limited memory, and the events about it.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::time::Instant;

use clients::engine::{CacheChange, CacheEvent};

/// Bytes of prompt text in one block of the cache.
pub const BLOCK_BYTES: usize = 1024;

/// Tokens in one block of the cache.
pub const BLOCK_TOKENS: u32 = 256;

/// Events that are kept for readers.
const EVENTS_KEPT: usize = 10_000;

/// Blocks of prompts computed lately. A block is known by the hash of the
/// whole prompt up to its end, so a block is found only after the same prefix.
#[derive(Debug)]
pub struct Cache {
    /// Most blocks that fit.
    limit: usize,
    /// When each block was used last, as a count of uses.
    used: HashMap<u64, u64>,
    /// The blocks by that count, the one unused for longest first.
    order: BTreeMap<u64, u64>,
    uses: u64,
    /// Events with the time at which each came up.
    events: VecDeque<(Instant, CacheEvent)>,
    /// The number of the next event.
    next: u64,
}

impl Cache {
    /// Makes an empty cache for so many tokens.
    #[must_use]
    pub fn new(tokens: u32) -> Self {
        Self {
            limit: (tokens / BLOCK_TOKENS) as usize,
            used: HashMap::new(),
            order: BTreeMap::new(),
            uses: 0,
            events: VecDeque::new(),
            next: 0,
        }
    }

    /// Uses the blocks of a prompt; returns how many of its tokens were
    /// cached before. What was not is cached from now on.
    pub fn admit(&mut self, text: &[u8], now: Instant) -> u32 {
        let mut cached = 0;
        let mut leading = true;
        for i in 1..=text.len() / BLOCK_BYTES {
            let block = rapidhash::v3::rapidhash_v3(&text[..i * BLOCK_BYTES]);
            let found = self.touch(block);
            leading &= found;
            cached += if leading { BLOCK_TOKENS } else { 0 };
            if !found {
                self.note(CacheChange::Stored, block, now);
            }
        }
        self.evict(now);
        cached
    }

    /// Events from number `from` on that came up before `until`.
    #[must_use]
    pub fn events(&self, from: u64, until: Instant) -> Vec<CacheEvent> {
        let due = self.events.iter().filter(|(at, _)| *at <= until);
        let events = due.map(|(_, event)| *event);
        events.filter(|e| e.seq >= from).collect()
    }

    /// Marks a block as used now; tells whether it was there before.
    fn touch(&mut self, block: u64) -> bool {
        self.uses += 1;
        let before = self.used.insert(block, self.uses);
        if let Some(before) = before {
            self.order.remove(&before);
        }
        self.order.insert(self.uses, block);
        before.is_some()
    }

    fn evict(&mut self, now: Instant) {
        while self.used.len() > self.limit {
            let Some((_, block)) = self.order.pop_first() else {
                return;
            };
            self.used.remove(&block);
            self.note(CacheChange::Removed, block, now);
        }
    }

    fn note(&mut self, change: CacheChange, block: u64, now: Instant) {
        let event = CacheEvent {
            seq: self.next,
            change,
            block,
        };
        self.next += 1;
        self.events.push_back((now, event));
        if self.events.len() > EVENTS_KEPT {
            self.events.pop_front();
        }
    }
}
