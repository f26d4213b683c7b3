//! Prefix cache with limited memory, and the events about its changes.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::time::Instant;

use clients::engine::{CacheChange, CacheEvent};

/// Size of a block, in bytes of prompt text.
pub const BLOCK_BYTES: usize = 1024;

/// Size of a block, in tokens.
pub const BLOCK_TOKENS: u32 = 256;

/// Maximum number of retained events.
const MAX_EVENTS: usize = 10_000;

/// LRU cache of prompt blocks. The key of a block is the hash of the whole prompt
/// up to the block's end, so a block is only found after the same prefix.
#[derive(Debug)]
pub struct Cache {
    /// Capacity, in blocks.
    max_blocks: usize,
    /// Last use of each block, as a value of `use_count`.
    last_use: HashMap<u64, u64>,
    /// Blocks by last use, the least recently used first.
    lru_order: BTreeMap<u64, u64>,
    /// Logical clock, increased with each use of a block.
    use_count: u64,
    /// Retained events, each with its time.
    events: VecDeque<(Instant, CacheEvent)>,
    /// Sequence number of the next event.
    next_seq: u64,
}

impl Cache {
    /// Creates an empty cache with a capacity of `tokens`.
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

    /// Adds the blocks of a prompt to the cache and marks them as used. Returns how
    /// many of its leading tokens were already cached.
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

    /// Returns the events with a sequence number of at least `from` that happened
    /// no later than `until`.
    #[must_use]
    pub fn events(&self, from: u64, until: Instant) -> Vec<CacheEvent> {
        let visible = self.events.iter().filter(|(at, _)| *at <= until);
        let events = visible.map(|(_, event)| *event);
        events.filter(|e| e.seq >= from).collect()
    }

    /// Marks a block as used now; returns whether it was already cached.
    fn touch(&mut self, block: u64) -> bool {
        self.use_count += 1;
        let previous = self.last_use.insert(block, self.use_count);
        if let Some(previous) = previous {
            self.lru_order.remove(&previous);
        }
        self.lru_order.insert(self.use_count, block);
        previous.is_some()
    }

    /// Evicts the least recently used blocks while the cache exceeds its capacity.
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
