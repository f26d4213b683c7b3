//! Who reads the store for an availability zone, replayed by the losses that
//! the order has to bear.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use policy::readers::{MAX_COPY_AGE, MIN_SHARING_ENTRIES, Rank, ZoneReaders};
use rstest::rstest;

const ZONE: u32 = 7;

/// A neighbour that is never heard again counts for so long.
const HEARD: Duration = Duration::from_secs(3600);

fn addr(n: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, n], 7340))
}

/// A thin host, but the first two have wide links.
fn rank(n: u8) -> Rank {
    Rank::new(ZONE, addr(n), if n < 2 { 200 } else { 20 })
}

/// The view of entry `own` among `count` entries that all hear each other.
fn view(now: Instant, own: u8, count: u8) -> ZoneReaders {
    let mut readers = ZoneReaders::new(rank(own));
    for n in (0..count).filter(|n| *n != own) {
        readers.observe(addr(n), rank(n), now + HEARD);
    }
    readers
}

/// Entries 0 and 1 in the order of their zone.
fn wide(now: Instant) -> (u8, u8) {
    match view(now, 0, 12).preferred_peer(now) {
        None => (0, 1),
        Some(_) => (1, 0),
    }
}

/// A dozen entries hear each other. One of those with a wide link reads the
/// store, and all others ask it, each by what it knows alone.
#[test]
fn all_agree_on_one() {
    let now = Instant::now();
    let (first, _) = wide(now);
    for own in 0..12 {
        let asked = view(now, own, 12).preferred_peer(now);
        assert_eq!(asked, (own != first).then(|| addr(first)));
    }
}

/// A few entries gain next to nothing from asking each other.
#[test]
fn few_read_by_themselves() {
    let now = Instant::now();
    let few = u8::try_from(MIN_SHARING_ENTRIES).expect("a few") - 1;
    for own in 0..few {
        assert_eq!(view(now, own, few).preferred_peer(now), None);
    }
    assert!((0..=few).any(|own| view(now, own, few + 1).preferred_peer(now).is_some()));
}

/// The reader is killed without a word. Its neighbours' questions fail, and
/// the next in the order has to stand in with the first of them, not when the
/// dead one is heard no more, seconds later. When that one is gone as well, an
/// entry asks nobody: each further question would make its copy older.
#[test]
fn next_one_stands_in() {
    let now = Instant::now();
    let (first, second) = wide(now);
    let mut stand_in = view(now, second, 12);
    stand_in.record_failure(now, addr(first));
    assert_eq!(stand_in.preferred_peer(now), None);
    let mut other = view(now, 9, 12);
    other.record_failure(now, addr(first));
    assert_eq!(other.preferred_peer(now), Some(addr(second)));
    other.record_failure(now, addr(second));
    assert_eq!(other.preferred_peer(now), None);
}

/// The reader comes back. It is asked again within seconds, however often it
/// has failed.
#[rstest]
#[case::once(1, 1)]
#[case::often(20, 8)]
fn back_after_a_rest(#[case] failures: u32, #[case] seconds: u64) {
    let now = Instant::now();
    let (first, _) = wide(now);
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

/// The reader alone is cut off from the store. It answers, but with ever older
/// news: the next in the order reads by then and is asked, before anybody else
/// turns to the store.
#[test]
fn one_that_lost_the_store_is_passed_over() {
    let now = Instant::now();
    let (first, second) = wide(now);
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

/// Both who may read for the zone are cut off from the store. Any other entry
/// that reaches it has to do, for them as well, or each of the zone would read
/// by itself.
#[test]
fn one_that_reaches_the_store_is_followed() {
    let now = Instant::now();
    let (first, second) = wide(now);
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

/// The store is down for all. Passing over one neighbour after the other would
/// have every entry ask the store by itself, several times a second.
#[test]
fn nobody_is_passed_over_while_the_store_is_down() {
    let now = Instant::now();
    let (first, second) = wide(now);
    let mut other = view(now, 9, 12);
    for _ in 0..40 {
        let asked = other.preferred_peer(now).expect("a neighbour");
        assert!([first, second].map(addr).contains(&asked));
        other.record_answer(now, asked, Some(MAX_COPY_AGE * 10));
    }
}

/// A neighbour that has just started knows nothing. Asking it again and again
/// would leave the asker as ignorant as it is.
#[test]
fn one_that_knows_nothing_is_passed_over() {
    let now = Instant::now();
    let (first, second) = wide(now);
    let mut other = view(now, 9, 12);
    other.record_answer(now, addr(first), None);
    assert_eq!(other.preferred_peer(now), Some(addr(second)));
}

/// A neighbour that is heard no more is not asked, and when too few are left
/// nobody is.
#[test]
fn silent_ones_are_forgotten() {
    let now = Instant::now();
    let mut other = view(now, 9, 12);
    assert!(other.preferred_peer(now).is_some());
    assert_eq!(other.preferred_peer(now + HEARD), None);
}

/// Whatever its neighbours say, an entry reads a copy that has become too old
/// by itself, and not all of a zone in the same moment.
#[test]
fn patience_is_bounded_and_spread() {
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

/// Guards against the tries of a store that is away growing with the zone: all of
/// its entries together make a few a second.
#[rstest]
#[case::dozen(12)]
#[case::hundred(100)]
#[case::many(400)]
fn tries_of_a_lost_store_do_not_grow(#[case] size: usize) {
    let now = Instant::now();
    let mut other = view(now, 9, 12);
    other.set_zone_size(size);
    let aside = other.store_retry_delay(now).expect("others are before it");
    let rate = size as f64 / aside.as_secs_f64();
    assert!(rate <= 6.0, "{rate} a second");
}

/// Guards against entries that have started waiting for a reader that has no copies
/// either, as it started while the store turned it away.
#[test]
fn first_copies_come_from_whoever_has_them() {
    let now = Instant::now();
    let (first, second) = wide(now);
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

/// Guards against all entries of a large zone turning to the store before the first of
/// them that reaches it can tell the others.
#[rstest]
#[case::dozen(12, 200)]
#[case::hundred(100, 1000)]
fn impatience_of_a_large_zone_is_spread(#[case] size: usize, #[case] least_ms: u64) {
    let now = Instant::now();
    let spans = (2..60).map(|n| {
        let mut other = view(now, n, 60);
        other.set_zone_size(size);
        other.copy_age_limit()
    });
    let spans: Vec<Duration> = spans.collect();
    let (least, most) = (spans.iter().min(), spans.iter().max());
    let spread = *most.expect("some") - *least.expect("some");
    assert!(spread.as_millis() >= u128::from(least_ms) / 2, "{spread:?}");
    assert!(
        spans
            .iter()
            .all(|s| *s <= MAX_COPY_AGE + Duration::from_millis(2500))
    );
}

/// Guards against an entry of a small zone leaving the store alone for seconds after
/// one question has failed, while it has no neighbour to learn from: what operators
/// declare has to be in force by then.
#[rstest]
#[case::pair(2)]
#[case::nine(9)]
fn few_try_again_at_once(#[case] size: u8) {
    let now = Instant::now();
    for own in 0..size {
        let mut other = view(now, own, size);
        other.set_zone_size(usize::from(size));
        for n in 0..size {
            other.record_failure(now, addr(n));
        }
        assert_eq!(other.preferred_peer(now), None);
        let aside = other.store_retry_delay(now).unwrap_or_default();
        assert!(aside <= Duration::from_millis(300), "{aside:?}");
    }
}
