//! Which prompt parts an engine should hold.
//!
//! Every call for the engine passes its sidecar, so what the engine has read
//! is known without asking it. It drops the parts that were used least
//! recently when its memory is full.

use std::collections::{BTreeMap, HashMap};

/// Parts that are remembered at most, 48 bytes each.
const MAX_PARTS: usize = 20_000;

/// Prompt parts by when they were last used.
#[derive(Debug, Default)]
pub struct PartCache {
    /// Parts with their tokens and their place in the order of use.
    held: HashMap<u64, (u32, u64)>,
    /// Parts in the order of their last use.
    order: BTreeMap<u64, u64>,
    /// Tokens of all of them.
    tokens: u64,
    /// Tokens that the engine has room for, once it is known.
    capacity: Option<u64>,
    next_use: u64,
}

impl PartCache {
    /// Tokens of a prompt that the engine has to read: a part is only of use
    /// when all parts before it are held too.
    #[must_use]
    pub fn missing_tokens(&self, parts: &[(u64, u32)]) -> u32 {
        sum(&parts[self.held_count(parts)..])
    }

    /// The other tokens of the prompt.
    #[must_use]
    pub fn held_tokens(&self, parts: &[(u64, u32)]) -> u32 {
        sum(&parts[..self.held_count(parts)])
    }

    /// Parts from the prompt's start that are held.
    fn held_count(&self, parts: &[(u64, u32)]) -> usize {
        let held = |(id, _): &&(u64, u32)| self.held.contains_key(id);
        parts.iter().take_while(held).count()
    }

    /// Notes that the engine reads a prompt.
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

    /// Takes over how many tokens the engine has room for.
    pub fn set_capacity(&mut self, capacity: u64) {
        self.capacity = Some(capacity);
        self.evict();
    }

    /// Drops what the engine has no room for.
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
