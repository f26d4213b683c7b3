//! Which prompt prefixes an engine holds, as far as its events tell. They come
//! late, and some never come. See docs/DECISIONS/0201-placement.md.

use std::collections::{HashSet, VecDeque};

/// Tokens of a prompt in one block of an engine's cache.
pub const BLOCK_TOKENS: u32 = 256;

/// Blocks that are remembered; 16 bytes each, twice.
const MAX_BLOCKS: usize = 16_384;

/// What happened to a block.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BlockChange {
    /// It is kept from now on.
    Stored,
    /// It was dropped.
    Removed,
}

/// The blocks that an engine is believed to hold.
#[derive(Debug, Default)]
pub struct CacheMap {
    blocks: HashSet<u64>,
    /// The blocks in the order in which they were stored.
    order: VecDeque<u64>,
    /// The number of the next event.
    next_number: u64,
}

impl CacheMap {
    /// The number of the next event to ask for.
    #[must_use]
    pub fn next_event(&self) -> u64 {
        self.next_number
    }

    /// Takes in the event with the given number.
    ///
    /// A lost event may have been a removal: going on with the map would send
    /// requests after prefixes that are long gone. Which one it was cannot be
    /// told, so a gap drops everything; a block that is used again is stored
    /// again soon. An event seen before changes nothing.
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

    /// Notes that all events before `next` were given out; one that is missing
    /// at the end is a gap too.
    pub fn advance_to(&mut self, next_number: u64) {
        if next_number > self.next_number {
            self.clear();
            self.next_number = next_number;
        }
    }

    /// Takes the engine's cache as empty and its events as beginning anew, as
    /// after a restart.
    pub fn reset(&mut self) {
        self.clear();
        self.next_number = 0;
    }

    /// Tokens that a prompt with this first block would find cached at least.
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
