//! The engine stand-in's prefix cache: what is found, what is dropped and
//! what its events say.

use std::time::{Duration, Instant};

use clients::engine::CacheChange;
use standin::engine::cache::{BLOCK_BYTES, BLOCK_TOKENS, Cache};

fn text(first: u8, blocks: usize) -> Vec<u8> {
    let mut text = vec![b'x'; blocks * BLOCK_BYTES];
    text[0] = first;
    text
}

#[test]
fn admit_finds_same_prefix_only() {
    let now = Instant::now();
    let mut cache = Cache::new(100 * BLOCK_TOKENS);
    assert_eq!(cache.admit(&text(b'a', 3), now), 0);
    assert_eq!(cache.admit(&text(b'a', 3), now), 3 * BLOCK_TOKENS);
    assert_eq!(cache.admit(&text(b'a', 5), now), 3 * BLOCK_TOKENS);
    // The same blocks after another beginning are other blocks.
    assert_eq!(cache.admit(&text(b'b', 3), now), 0);
}

#[test]
fn admit_drops_what_was_unused_longest() {
    let now = Instant::now();
    let mut cache = Cache::new(4 * BLOCK_TOKENS);
    cache.admit(&text(b'a', 2), now);
    cache.admit(&text(b'b', 2), now);
    cache.admit(&text(b'a', 2), now);
    cache.admit(&text(b'c', 2), now);
    assert_eq!(cache.admit(&text(b'a', 2), now), 2 * BLOCK_TOKENS);
    assert_eq!(cache.admit(&text(b'b', 2), now), 0);
}

#[test]
fn events_are_numbered_and_late() {
    let now = Instant::now();
    let mut cache = Cache::new(2 * BLOCK_TOKENS);
    cache.admit(&text(b'a', 2), now);
    let later = now + Duration::from_secs(1);
    cache.admit(&text(b'b', 1), later);

    let early = cache.events(0, now);
    assert_eq!(early.iter().map(|e| e.seq).collect::<Vec<_>>(), [0, 1]);
    let all = cache.events(2, later);
    let changes: Vec<_> = all.iter().map(|e| (e.seq, e.change)).collect();
    assert_eq!(
        changes,
        [(2, CacheChange::Stored), (3, CacheChange::Removed)]
    );
}

/// An entry knows a prompt by the hash of its first 1,024 bytes, which is the
/// first block's, so that events can be matched without the prompt.
#[test]
fn events_name_first_block_by_prefix_hash() {
    let now = Instant::now();
    let mut cache = Cache::new(4 * BLOCK_TOKENS);
    let prompt = text(b'a', 2);
    cache.admit(&prompt, now);
    let block = rapidhash::v3::rapidhash_v3(&prompt[..1024]);
    assert_eq!(cache.events(0, now)[0].block_hash, block);
}
