//! A map of the prompt prefixes that an engine caches, maintained from the
//! engine's events. Events arrive late, and some are lost. See
//! docs/DECISIONS/0201-placement.md.

use std::collections::{HashSet, VecDeque};

/// Prompt tokens per block of an engine's cache.
pub const BLOCK_TOKENS: u32 = 256;

/// Maximum number of blocks tracked; each takes 16 bytes in each of the two
/// collections.
const MAX_BLOCKS: usize = 16_384;

/// What happened to a block.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BlockChange {
    /// The block was added to the cache.
    Stored,
    /// The block was evicted.
    Removed,
}

/// The blocks that an engine is believed to cache.
#[derive(Debug, Default)]
pub struct CacheMap {
    blocks: HashSet<u64>,
    /// Blocks in order of insertion.
    order: VecDeque<u64>,
    /// Number of the next event.
    next_number: u64,
}

impl CacheMap {
    /// Number of the next event to fetch.
    #[must_use]
    pub fn next_event(&self) -> u64 {
        self.next_number
    }

    /// Applies the event with the given number.
    ///
    /// A lost event may have been a removal, and a stale block would attract
    /// requests for a prefix that is no longer cached. Since the lost event is
    /// unknown, a gap clears the whole map; blocks in use are soon stored
    /// again. Events that were already applied are ignored.
    pub fn apply(&mut self, number: u64, change: BlockChange, block: u64) {
        if number < self.next_number {
            return;
        }
        if number > self.next_number {
            self.clear();
        }
        self.next_number = number + 1;

        match change {
            BlockChange::Stored => self.store(block),
            BlockChange::Removed => {
                self.blocks.remove(&block);
            }
        }
    }

    /// Notes that the engine has sent all events before `next`; if the last of
    /// them is missing, that is a gap too.
    pub fn advance_to(&mut self, next_number: u64) {
        if next_number > self.next_number {
            self.clear();
            self.next_number = next_number;
        }
    }

    /// Clears the map and expects events from number 0, as after an engine
    /// restart.
    pub fn reset(&mut self) {
        self.clear();
        self.next_number = 0;
    }

    /// Minimum number of cached tokens for a prompt with this first block.
    #[must_use]
    pub fn cached_tokens(&self, block: u64) -> u32 {
        match self.blocks.contains(&block) {
            true => BLOCK_TOKENS,
            false => 0,
        }
    }

    fn store(&mut self, block: u64) {
        if !self.blocks.insert(block) {
            return;
        }
        self.order.push_back(block);
        while self.order.len() > MAX_BLOCKS {
            if let Some(oldest) = self.order.pop_front() {
                self.blocks.remove(&oldest);
            }
        }
    }

    fn clear(&mut self) {
        self.blocks.clear();
        self.order.clear();
    }
}
