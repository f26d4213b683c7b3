//! Prefix cache of the engine stand-in: lookups, eviction and events.

use std::time::{Duration, Instant};

use clients::engine::CacheChange;
use standin::engine::cache::{BLOCK_BYTES, BLOCK_TOKENS, Cache};

fn prompt_text(first_byte: u8, blocks: usize) -> Vec<u8> {
    let mut text = vec![b'x'; blocks * BLOCK_BYTES];
    text[0] = first_byte;
    text
}

#[test]
fn admit_finds_same_prefix_only() {
    let now = Instant::now();
    let mut cache = Cache::new(100 * BLOCK_TOKENS);
    assert_eq!(cache.admit(&prompt_text(b'a', 3), now), 0);
    assert_eq!(cache.admit(&prompt_text(b'a', 3), now), 3 * BLOCK_TOKENS);
    assert_eq!(cache.admit(&prompt_text(b'a', 5), now), 3 * BLOCK_TOKENS);
    // The same text after a different start belongs to different blocks.
    assert_eq!(cache.admit(&prompt_text(b'b', 3), now), 0);
}

#[test]
fn admit_evicts_least_recently_used() {
    let now = Instant::now();
    let mut cache = Cache::new(4 * BLOCK_TOKENS);
    cache.admit(&prompt_text(b'a', 2), now);
    cache.admit(&prompt_text(b'b', 2), now);
    cache.admit(&prompt_text(b'a', 2), now);
    cache.admit(&prompt_text(b'c', 2), now);
    assert_eq!(cache.admit(&prompt_text(b'a', 2), now), 2 * BLOCK_TOKENS);
    assert_eq!(cache.admit(&prompt_text(b'b', 2), now), 0);
}

#[test]
fn events_are_numbered_and_filtered_by_time() {
    let now = Instant::now();
    let mut cache = Cache::new(2 * BLOCK_TOKENS);
    cache.admit(&prompt_text(b'a', 2), now);
    let later = now + Duration::from_secs(1);
    cache.admit(&prompt_text(b'b', 1), later);

    let early = cache.events(0, now);
    assert_eq!(early.iter().map(|e| e.seq).collect::<Vec<_>>(), [0, 1]);
    let all = cache.events(2, later);
    let changes: Vec<_> = all.iter().map(|e| (e.seq, e.change)).collect();
    assert_eq!(
        changes,
        [(2, CacheChange::Stored), (3, CacheChange::Removed)]
    );
}

/// An entry identifies a prompt by the hash of its first 1,024 bytes. The first
/// block must have the same hash, so that events match without the prompt.
#[test]
fn events_identify_first_block_by_prefix_hash() {
    let now = Instant::now();
    let mut cache = Cache::new(4 * BLOCK_TOKENS);
    let prompt = prompt_text(b'a', 2);
    cache.admit(&prompt, now);
    let block = rapidhash::v3::rapidhash_v3(&prompt[..1024]);
    assert_eq!(cache.events(0, now)[0].block_hash, block);
}
