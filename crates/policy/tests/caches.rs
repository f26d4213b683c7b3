//! What is believed of an engine's cache.

use policy::caches::{BLOCK_TOKENS, CacheMap, Change};

const BLOCK: u64 = 7;

fn stored() -> CacheMap {
    let mut map = CacheMap::default();
    map.take(0, Change::Stored, BLOCK);
    map
}

#[test]
fn take_stored() {
    let map = stored();
    assert_eq!((map.cached(BLOCK), map.cached(8)), (BLOCK_TOKENS, 0));
    assert_eq!(map.next(), 1);
}

#[test]
fn take_removed() {
    let mut map = stored();
    map.take(1, Change::Removed, BLOCK);
    assert_eq!(map.cached(BLOCK), 0);
}

// The event that was lost may have been the block's removal.
#[test]
fn take_after_gap() {
    let mut map = stored();
    map.take(2, Change::Stored, 8);
    assert_eq!((map.cached(BLOCK), map.cached(8)), (0, BLOCK_TOKENS));
}

#[test]
fn until_later() {
    let mut map = stored();
    map.until(1);
    assert_eq!(map.cached(BLOCK), BLOCK_TOKENS);
    map.until(2);
    assert_eq!((map.cached(BLOCK), map.next()), (0, 2));
}

// An event given out twice must not bring back what was removed since.
#[test]
fn take_again() {
    let mut map = stored();
    map.take(1, Change::Removed, BLOCK);
    map.take(0, Change::Stored, BLOCK);
    assert_eq!((map.cached(BLOCK), map.next()), (0, 2));
}

#[test]
fn take_many() {
    let mut map = CacheMap::default();
    for block in 0..100_000 {
        map.take(block, Change::Stored, block);
    }
    let held = (0..100_000).filter(|b| map.cached(*b) > 0).count();
    assert_eq!(held, 16_384);
}

#[test]
fn reset_stored() {
    let mut map = stored();
    map.reset();
    assert_eq!((map.cached(BLOCK), map.next()), (0, 0));
}
