//! The map of an engine's cached blocks, maintained from its events.

use policy::caches::{BLOCK_TOKENS, BlockChange, CacheMap};

const BLOCK: u64 = 7;

fn stored() -> CacheMap {
    let mut map = CacheMap::default();
    map.apply(0, BlockChange::Stored, BLOCK);
    map
}

#[test]
fn apply_stored() {
    let map = stored();
    assert_eq!(
        (map.cached_tokens(BLOCK), map.cached_tokens(8)),
        (BLOCK_TOKENS, 0)
    );
    assert_eq!(map.next_event(), 1);
}

#[test]
fn apply_removed() {
    let mut map = stored();
    map.apply(1, BlockChange::Removed, BLOCK);
    assert_eq!(map.cached_tokens(BLOCK), 0);
}

// The lost event may have been the block's removal.
#[test]
fn apply_after_gap() {
    let mut map = stored();
    map.apply(2, BlockChange::Stored, 8);
    assert_eq!(
        (map.cached_tokens(BLOCK), map.cached_tokens(8)),
        (0, BLOCK_TOKENS)
    );
}

#[test]
fn advance_past_missing_event() {
    let mut map = stored();
    map.advance_to(1);
    assert_eq!(map.cached_tokens(BLOCK), BLOCK_TOKENS);
    map.advance_to(2);
    assert_eq!((map.cached_tokens(BLOCK), map.next_event()), (0, 2));
}

// An event that arrives twice must not restore a block that was removed since.
#[test]
fn apply_again() {
    let mut map = stored();
    map.apply(1, BlockChange::Removed, BLOCK);
    map.apply(0, BlockChange::Stored, BLOCK);
    assert_eq!((map.cached_tokens(BLOCK), map.next_event()), (0, 2));
}

#[test]
fn apply_many() {
    let mut map = CacheMap::default();
    for block in 0..100_000 {
        map.apply(block, BlockChange::Stored, block);
    }
    let held = (0..100_000).filter(|b| map.cached_tokens(*b) > 0).count();
    assert_eq!(held, 16_384);
}

#[test]
fn reset_stored() {
    let mut map = stored();
    map.reset();
    assert_eq!((map.cached_tokens(BLOCK), map.next_event()), (0, 0));
}
