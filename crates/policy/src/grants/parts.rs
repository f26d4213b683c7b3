//! Which prompt parts an engine's cache should hold.
//!
//! Every call for the engine passes its sidecar, so the sidecar knows what the
//! engine has read without asking it. Like the engine, it evicts the least
//! recently used parts when memory is full.

use std::collections::{BTreeMap, HashMap};

/// Maximum number of parts tracked; each takes 48 bytes.
const MAX_PARTS: usize = 20_000;

/// Cached prompt parts in order of their last use.
#[derive(Debug, Default)]
pub struct PartCache {
    /// Tokens and position in `order` by part.
    held: HashMap<u64, (u32, u64)>,
    /// Parts by last use, oldest first.
    order: BTreeMap<u64, u64>,
    /// Total tokens of the parts.
    tokens: u64,
    /// Tokens that the engine has memory for, once known.
    capacity: Option<u64>,
    next_use: u64,
}

impl PartCache {
    /// Tokens of a prompt that the engine has to prefill: a part can only be
    /// reused if all parts before it are cached too.
    #[must_use]
    pub fn missing_tokens(&self, parts: &[(u64, u32)]) -> u32 {
        sum(&parts[self.held_count(parts)..])
    }

    /// Tokens of the prompt that are cached.
    #[must_use]
    pub fn held_tokens(&self, parts: &[(u64, u32)]) -> u32 {
        sum(&parts[..self.held_count(parts)])
    }

    /// Number of cached parts at the prompt's start.
    fn held_count(&self, parts: &[(u64, u32)]) -> usize {
        let held = |(id, _): &&(u64, u32)| self.held.contains_key(id);
        parts.iter().take_while(held).count()
    }

    /// Adds the parts of a prompt that the engine reads.
    pub fn insert(&mut self, parts: &[(u64, u32)]) {
        for (id, tokens) in parts {
            self.remove_part(*id);
            self.held.insert(*id, (*tokens, self.next_use));
            self.order.insert(self.next_use, *id);
            self.tokens += u64::from(*tokens);
            self.next_use += 1;
        }
        self.evict();
    }

    /// Sets the number of tokens that the engine has memory for.
    pub fn set_capacity(&mut self, capacity: u64) {
        self.capacity = Some(capacity);
        self.evict();
    }

    /// Evicts the least recently used parts beyond the limits.
    fn evict(&mut self) {
        while self.held.len() > MAX_PARTS || self.capacity.is_some_and(|r| self.tokens > r) {
            let Some((_, id)) = self.order.first_key_value() else {
                return;
            };
            self.remove_part(*id);
        }
    }

    fn remove_part(&mut self, id: u64) {
        if let Some((tokens, use_order)) = self.held.remove(&id) {
            self.order.remove(&use_order);
            self.tokens -= u64::from(tokens);
        }
    }
}

fn sum(parts: &[(u64, u32)]) -> u32 {
    let tokens = parts.iter().map(|(_, tokens)| *tokens);
    tokens.fold(0, u32::saturating_add)
}
