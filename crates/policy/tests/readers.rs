//! Tests which entry reads the store for an availability zone, under host and store
//! failures.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use policy::readers::{MAX_COPY_AGE, MIN_SHARING_ENTRIES, Rank, ZoneReaders};
use rstest::rstest;

const ZONE: u32 = 7;

/// A peer that is never heard again expires after this time.
const PEER_TTL: Duration = Duration::from_secs(3600);

fn addr(n: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, n], 7340))
}

/// Only the first two entries have wide links.
fn rank(n: u8) -> Rank {
    Rank::new(ZONE, addr(n), if n < 2 { 200 } else { 20 })
}

/// The view of entry `own` among `count` entries that all know each other.
fn view(now: Instant, own: u8, count: u8) -> ZoneReaders {
    let mut readers = ZoneReaders::new(rank(own));
    for n in (0..count).filter(|n| *n != own) {
        readers.observe(addr(n), rank(n), now + PEER_TTL);
    }
    readers
}

/// Entries 0 and 1 in the order of their zone.
fn wide_link_entries(now: Instant) -> (u8, u8) {
    match view(now, 0, 12).preferred_peer(now) {
        None => (0, 1),
        Some(_) => (1, 0),
    }
}

/// A dozen entries know each other. One of those with a wide link reads the store and
/// all others ask it; each derives this from its own view.
#[test]
fn all_entries_agree_on_one_reader() {
    let now = Instant::now();
    let (first, _) = wide_link_entries(now);
    for own in 0..12 {
        let asked = view(now, own, 12).preferred_peer(now);
        assert_eq!(asked, (own != first).then(|| addr(first)));
    }
}

/// Few entries gain almost nothing from asking each other.
#[test]
fn small_zone_does_not_share_reads() {
    let now = Instant::now();
    let few = u8::try_from(MIN_SHARING_ENTRIES).expect("the count fits") - 1;
    for own in 0..few {
        assert_eq!(view(now, own, few).preferred_peer(now), None);
    }
    assert!((0..=few).any(|own| view(now, own, few + 1).preferred_peer(now).is_some()));
}

/// The reader is killed. The next in the order must take over when its first request to
/// the reader fails, not seconds later when the reader expires. If that one fails as
/// well, an entry asks nobody: each further request would make its copy older.
#[test]
fn next_entry_replaces_dead_reader() {
    let now = Instant::now();
    let (first, second) = wide_link_entries(now);
    let mut successor = view(now, second, 12);
    successor.record_failure(now, addr(first));
    assert_eq!(successor.preferred_peer(now), None);
    let mut other = view(now, 9, 12);
    other.record_failure(now, addr(first));
    assert_eq!(other.preferred_peer(now), Some(addr(second)));
    other.record_failure(now, addr(second));
    assert_eq!(other.preferred_peer(now), None);
}

/// The reader comes back. It is asked again within seconds, even after many failures.
#[rstest]
#[case::once(1, 1)]
#[case::often(20, 8)]
fn reader_is_asked_again_after_backoff(#[case] failures: u32, #[case] seconds: u64) {
    let now = Instant::now();
    let (first, _) = wide_link_entries(now);
    let mut other = view(now, 9, 12);
    for _ in 0..failures {
        other.record_failure(now, addr(first));
    }
    let back = now + Duration::from_secs(seconds);
    assert_ne!(
        other.preferred_peer(back - Duration::from_millis(1)),
        Some(addr(first))
    );
    assert_eq!(other.preferred_peer(back), Some(addr(first)));
}

/// Only the reader is cut off from the store. It answers with ever older copies. The
/// next in the order reads by then and is asked, before any other entry reads from the
/// store.
#[test]
fn reader_without_store_is_skipped() {
    let now = Instant::now();
    let (first, second) = wide_link_entries(now);
    let mut other = view(now, 9, 12);
    other.record_answer(now, addr(first), Some(MAX_COPY_AGE * 2));
    assert_eq!(other.preferred_peer(now), Some(addr(second)));
    let next = view(now, second, 12).copy_age_limit();
    let others = (0..12).filter(|n| ![first, second].contains(n));
    assert!(
        others
            .map(|n| view(now, n, 12).copy_age_limit())
            .all(|p| p > next)
    );
}

/// Both readers of the zone are cut off from the store. They must copy from any other
/// entry that reaches it, or each entry of the zone would read the store itself.
#[test]
fn any_peer_with_fresh_copies_is_asked() {
    let now = Instant::now();
    let (first, second) = wide_link_entries(now);
    for own in [first, second] {
        let mut reader = view(now, own, 12);
        let old = Some(MAX_COPY_AGE * 2);
        reader.record_answer(now, addr(first), old);
        reader.record_answer(now, addr(second), old);
        let before = reader.preferred_peer(now);
        assert_eq!(reader.update_source(now, old), before);
        reader.set_copy_age(now, addr(9), Duration::from_millis(100));
        assert_eq!(reader.update_source(now, old), Some(addr(9)));
        assert_eq!(reader.update_source(now, Some(Duration::ZERO)), before);
        let later = now + MAX_COPY_AGE * 3;
        assert_ne!(reader.update_source(later, old), Some(addr(9)));
    }
}

/// The store is down for all entries. Skipping one peer after the other would make
/// every entry query the store itself, several times a second.
#[test]
fn no_peer_is_skipped_while_the_store_is_down() {
    let now = Instant::now();
    let (first, second) = wide_link_entries(now);
    let mut other = view(now, 9, 12);
    for _ in 0..40 {
        let asked = other.preferred_peer(now).expect("a peer to ask");
        assert!([first, second].map(addr).contains(&asked));
        other.record_answer(now, asked, Some(MAX_COPY_AGE * 10));
    }
}

/// A peer that has just started has no copies. Asking it repeatedly would leave the
/// asker without data.
#[test]
fn peer_without_copies_is_skipped() {
    let now = Instant::now();
    let (first, second) = wide_link_entries(now);
    let mut other = view(now, 9, 12);
    other.record_answer(now, addr(first), None);
    assert_eq!(other.preferred_peer(now), Some(addr(second)));
}

/// An expired peer is not asked, and no peer is asked when too few are left.
#[test]
fn silent_peers_expire() {
    let now = Instant::now();
    let mut other = view(now, 9, 12);
    assert!(other.preferred_peer(now).is_some());
    assert_eq!(other.preferred_peer(now + PEER_TTL), None);
}

/// Regardless of its peers, an entry reads the store when its copy has become too old,
/// and not all entries of a zone do so at the same moment.
#[test]
fn copy_age_limit_is_bounded_and_spread() {
    let now = Instant::now();
    let spans: Vec<Duration> = (0..12).map(|n| view(now, n, 12).copy_age_limit()).collect();
    assert!(
        spans
            .iter()
            .all(|s| *s <= MAX_COPY_AGE && *s * 2 > MAX_COPY_AGE)
    );
    let (least, most) = (spans.iter().min(), spans.iter().max());
    assert!(least < most);
}

/// Guards against the retries of an unavailable store growing with the zone: all
/// entries together make a few a second.
#[rstest]
#[case::dozen(12)]
#[case::hundred(100)]
#[case::many(400)]
fn store_retry_rate_is_independent_of_zone_size(#[case] size: usize) {
    let now = Instant::now();
    let mut other = view(now, 9, 12);
    other.set_zone_size(size);
    let retry_delay = other
        .store_retry_delay(now)
        .expect("other entries precede it");
    let rate = size as f64 / retry_delay.as_secs_f64();
    assert!(rate <= 6.0, "{rate} retries a second");
}

/// Guards against starting entries that wait for a reader which has no copies either,
/// because the store refused it when it started.
#[test]
fn initial_copies_come_from_any_peer() {
    let now = Instant::now();
    let (first, second) = wide_link_entries(now);
    let mut other = view(now, 9, 12);
    assert_eq!(other.update_source(now, None), Some(addr(first)));
    other.set_copy_age(now, addr(3), Duration::from_millis(200));
    assert_eq!(other.update_source(now, None), Some(addr(3)));
    let mut reader = view(now, first, 12);
    assert!(!reader.has_fresh_peer(now, true));
    reader.set_copy_age(now, addr(3), Duration::from_millis(200));
    assert!(reader.has_fresh_peer(now, true) && !reader.has_fresh_peer(now, false));
    assert_eq!(reader.update_source(now, None), Some(addr(3)));
    let waits = |n| view(now, n, 12).initial_copy_wait();
    assert!((2..12).all(|n| waits(second) < waits(n)));
}

/// Guards against all entries of a large zone reading from the store before the first
/// of them that reaches it can update the others.
#[rstest]
#[case::dozen(12, 200)]
#[case::hundred(100, 1000)]
fn copy_age_limit_is_spread_in_a_large_zone(#[case] size: usize, #[case] least_ms: u64) {
    let now = Instant::now();
    let spans = (2..60).map(|n| {
        let mut other = view(now, n, 60);
        other.set_zone_size(size);
        other.copy_age_limit()
    });
    let spans: Vec<Duration> = spans.collect();
    let (least, most) = (spans.iter().min(), spans.iter().max());
    let spread = *most.expect("at least one entry") - *least.expect("some");
    assert!(spread.as_millis() >= u128::from(least_ms) / 2, "{spread:?}");
    assert!(
        spans
            .iter()
            .all(|s| *s <= MAX_COPY_AGE + Duration::from_millis(2500))
    );
}

/// Guards against an entry of a small zone not retrying the store for seconds after one
/// failed request while it has no peer to learn from: changes by operators must be in
/// force by then.
#[rstest]
#[case::pair(2)]
#[case::nine(9)]
fn small_zone_retries_quickly(#[case] size: u8) {
    let now = Instant::now();
    for own in 0..size {
        let mut other = view(now, own, size);
        other.set_zone_size(usize::from(size));
        for n in 0..size {
            other.record_failure(now, addr(n));
        }
        assert_eq!(other.preferred_peer(now), None);
        let retry_delay = other.store_retry_delay(now).unwrap_or_default();
        assert!(retry_delay <= Duration::from_millis(300), "{retry_delay:?}");
    }
}
