//! The prompt parts that an engine is expected to cache.

use policy::grants::parts::PartCache;

const SHARED: (u64, u32) = (1, 2_500);
const SESSION: (u64, u32) = (2, 3_800);

#[test]
fn missing_after_read() {
    let mut parts = PartCache::default();
    assert_eq!(parts.missing_tokens(&[SHARED, SESSION, (3, 100)]), 6_400);
    parts.insert(&[SHARED, SESSION, (3, 100)]);
    assert_eq!(parts.missing_tokens(&[SHARED, SESSION, (4, 200)]), 200);
    assert_eq!(parts.missing_tokens(&[SHARED, (5, 10), SESSION]), 3_810);
}

#[test]
fn limit_evicts_least_recent() {
    let mut parts = PartCache::default();
    parts.insert(&[(1, 100)]);
    parts.insert(&[(2, 100)]);
    parts.insert(&[(1, 100)]);
    parts.set_capacity(150);
    assert_eq!(parts.missing_tokens(&[(1, 100)]), 0);
    assert_eq!(parts.missing_tokens(&[(2, 100)]), 100);
}
