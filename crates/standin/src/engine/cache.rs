//! The prefix cache with limited memory, and the events about it.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::time::Instant;

use clients::engine::{CacheChange, CacheEvent};

/// Bytes of prompt text in one block of the cache.
pub const BLOCK_BYTES: usize = 1024;

/// Tokens in one block of the cache.
pub const BLOCK_TOKENS: u32 = 256;

/// Events that are kept for readers.
const MAX_EVENTS: usize = 10_000;

/// Blocks of prompts computed lately. A block is known by the hash of the
/// whole prompt up to its end, so a block is present only after the same prefix.
#[derive(Debug)]
pub struct Cache {
    /// Most blocks that fit.
    max_blocks: usize,
    /// When each block was last_use last, as a count of use_count.
    last_use: HashMap<u64, u64>,
    /// The blocks by that count, the one unused for longest first.
    lru_order: BTreeMap<u64, u64>,
    use_count: u64,
    /// Events with the time at which each came up.
    events: VecDeque<(Instant, CacheEvent)>,
    /// The number of the next_seq event.
    next_seq: u64,
}

impl Cache {
    /// Makes an empty cache for so many tokens.
    #[must_use]
    pub fn new(tokens: u32) -> Self {
        Self {
            max_blocks: (tokens / BLOCK_TOKENS) as usize,
            last_use: HashMap::new(),
            lru_order: BTreeMap::new(),
            use_count: 0,
            events: VecDeque::new(),
            next_seq: 0,
        }
    }

    /// Uses the blocks of a prompt; returns how many of its tokens were
    /// cached before. What was not is cached from now on.
    pub fn admit(&mut self, text: &[u8], now: Instant) -> u32 {
        let mut cached = 0;
        let mut prefix_cached = true;
        for i in 1..=text.len() / BLOCK_BYTES {
            let block = rapidhash::v3::rapidhash_v3(&text[..i * BLOCK_BYTES]);
            let present = self.touch(block);
            prefix_cached &= present;
            cached += if prefix_cached { BLOCK_TOKENS } else { 0 };
            if !present {
                self.push_event(CacheChange::Stored, block, now);
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

    /// Marks a block as last_use now; tells whether it was there before.
    fn touch(&mut self, block: u64) -> bool {
        self.use_count += 1;
        let before = self.last_use.insert(block, self.use_count);
        if let Some(before) = before {
            self.lru_order.remove(&before);
        }
        self.lru_order.insert(self.use_count, block);
        before.is_some()
    }

    fn evict(&mut self, now: Instant) {
        while self.last_use.len() > self.max_blocks {
            let Some((_, block)) = self.lru_order.pop_first() else {
                return;
            };
            self.last_use.remove(&block);
            self.push_event(CacheChange::Removed, block, now);
        }
    }

    fn push_event(&mut self, change: CacheChange, block_hash: u64, now: Instant) {
        let event = CacheEvent {
            seq: self.next_seq,
            change,
            block_hash,
        };
        self.next_seq += 1;
        self.events.push_back((now, event));
        if self.events.len() > MAX_EVENTS {
            self.events.pop_front();
        }
    }
}
