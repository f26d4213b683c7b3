//! Which entries keep the log of stream origins, and what they write to it.

use std::net::SocketAddr;
use std::time::Duration;

use policy::origin_log::{LogGroup, LogRole, StoredOrigin, WriteQueue};
use policy::origins::{Origin, OriginRecord};
use policy::replica::OFFSET_BITS;
use policy::roster::EntryCounts;
use policy::versions::RECENT;
use proptest::prelude::*;
use rstest::rstest;

const TTL: Duration = Duration::from_secs(20);

/// A wall-clock time.
const START_MS: u64 = 1_700_000_000_000;

/// Writes that the store takes per second.
const WRITES_PER_S: f64 = 400.0;

fn record(stream: u64) -> OriginRecord {
    OriginRecord {
        stream,
        origin: Origin {
            service: 7,
            version: 1,
        },
        ttl: TTL,
    }
}

fn addr(zone: u8, entry: u8) -> SocketAddr {
    SocketAddr::from(([10, zone, 0, entry], 7))
}

/// The role of an entry among `members` of its zone, of zones of equal size.
fn role(own: SocketAddr, members: &[SocketAddr], zones: usize, in_zone: usize) -> LogRole {
    let counts = EntryCounts {
        total: zones * in_zone,
        same_zone: in_zone,
        preceding: 0,
    };
    LogRole::of(&LogGroup {
        own,
        members,
        zone: (zones > 1).then_some(u32::from(own.port())),
        counts,
        partitions: 8,
    })
}

/// Guards against streams that several entries write, which multiplies the writes, or none.
#[rstest]
#[case::one(1)]
#[case::three(3)]
#[case::many(90)]
fn one_writer(#[case] entries: u8) {
    let members: Vec<SocketAddr> = (0..entries).map(|n| addr(0, n)).collect();
    let roles = members.iter().map(|own| role(*own, &members, 1, 0));
    let roles: Vec<LogRole> = roles.collect();
    assert!(roles.iter().all(|r| r.writer == roles[0].writer));
    let writer = members.iter().position(|m| *m == roles[0].writer);
    assert!(writer.is_some_and(|n| roles[n].reads));
    // Each entry of a small fleet reads, and no more than that of a large one.
    let readers = roles.iter().filter(|r| r.reads).count();
    assert_eq!(readers, usize::from(entries).min(4));
}

/// Guards against more writes by all entries together than their share of the store's, and
/// against streams that are lost with the entries although there is room for more writes.
#[rstest]
#[case::one_group(1, 90, 20)]
#[case::zones(24, 62, 300)]
#[case::many_zones(60, 25, 750)]
fn writes_of_all_entries(#[case] zones: usize, #[case] in_zone: usize, #[case] expected_ms: u128) {
    let members = [addr(0, 1), addr(0, 2)];
    let role = role(members[0], &members, zones, in_zone);
    let interval = role.write_interval(WRITES_PER_S);
    assert_eq!(interval.as_millis(), expected_ms);
    let writes_per_s = zones as f64 / interval.as_secs_f64();
    assert!(writes_per_s <= WRITES_PER_S / 5.0 + 0.1, "{writes_per_s}");
}

/// Guards against an interval that is zero, infinite or a panic with odd settings.
#[rstest]
#[case(0.0)]
#[case(f64::MIN_POSITIVE)]
#[case(f64::NAN)]
#[case(f64::INFINITY)]
fn interval_of_odd_settings(#[case] writes_per_s: f64) {
    let interval = role(addr(0, 1), &[], 1, 1).write_interval(writes_per_s);
    assert!(interval >= Duration::from_millis(20) && interval <= Duration::from_secs(10));
}

/// Guards against zones of a large fleet that read each other's streams.
#[test]
fn partitions_of_zones() {
    let counts = EntryCounts {
        total: 1_500,
        same_zone: 62,
        preceding: 0,
    };
    let members = [addr(0, 1)];
    let of = |zone, partitions| {
        LogRole::of(&LogGroup {
            own: members[0],
            members: &members,
            zone,
            counts,
            partitions,
        })
    };
    assert_eq!(of(None, 8).partition, 0);
    let zones: Vec<u32> = (0..7).map(|zone| of(Some(zone), 8).partition).collect();
    assert_eq!(zones, [1, 2, 3, 4, 5, 6, 7]);
    assert_eq!(of(Some(9), 8).zone, Some(9));
    // A store without further partitions.
    assert_eq!(of(Some(9), 1).partition, 0);
}

/// Guards against a queue that grows during an outage of the store, and against dropping
/// the newest streams, which are the likeliest to be taken up.
#[test]
fn queue_bounded() {
    let mut queue = WriteQueue::default();
    for stream in 0..40_000 {
        queue.push(START_MS, &record(stream));
        if stream % 1_000 == 0 {
            let batch = queue.next_batch(START_MS);
            queue.put_back(&batch);
        }
    }
    let mut written = Vec::new();
    while !queue.is_empty() {
        let batch = queue.next_batch(START_MS);
        queue.stored(START_MS, 0, &batch, written.len() as u64);
        written.extend(batch.iter().map(|s| s.stream));
    }
    assert_eq!(written.len() as u64 + queue.dropped_count(), 40_000);
    assert!(written.len() < 40_000);
    let newest = 40_000 - written.len() as u64..40_000;
    assert!(written.iter().copied().eq(newest));
    assert_eq!(queue.stored_count(), written.len() as u64);
}

/// Guards against writes of streams that nobody can take up any more.
#[test]
fn expired_not_written() {
    let mut queue = WriteQueue::default();
    queue.push(START_MS, &record(1));
    queue.push(START_MS + 5_000, &record(2));
    let batch = queue.next_batch(START_MS + 20_000);
    assert_eq!(batch.iter().map(|s| s.stream).collect::<Vec<_>>(), [2]);
}

/// Guards against streams that are forgotten since the clocks of hosts differ.
#[rstest]
#[case::equal_clocks(0, true)]
#[case::fast(20_000 + 9_000, true)]
#[case::slow(-60_000, true)]
#[case::expired(20_000 + 11_000, false)]
#[case::earliest(-(START_MS as i64), true)]
#[case::latest(i64::MAX - START_MS as i64, false)]
fn expiry_by_another_clock(#[case] later_ms: i64, #[case] valid: bool) {
    let stored = StoredOrigin {
        stream: 1,
        origin: record(1).origin,
        expires_ms: START_MS + 20_000,
    };
    let record = stored.to_record(START_MS.saturating_add_signed(later_ms));
    assert_eq!(record.is_some(), valid);
    assert!(record.is_none_or(|r| r.ttl <= RECENT));
}

/// Guards against trims of records that may still be needed, and against a log that is
/// never trimmed.
#[test]
fn trimmed_after_expiry() {
    let mut queue = WriteQueue::default();
    let mut now = START_MS;
    for end in 1..=40 {
        queue.push(now, &record(end));
        let batch = queue.next_batch(now);
        queue.stored(now, 3, &batch, end);
        if let Some((partition, before)) = queue.take_trim(now) {
            assert_eq!(partition, 3);
            let newest_ms = START_MS + (before - 1) * 2_000;
            assert!(now >= newest_ms + 30_000, "{before} at {}", now - START_MS);
        }
        now += 2_000;
    }
    assert_eq!(queue.take_trim(now + 60_000), Some((3, 40)));
    assert_eq!(queue.take_trim(now + 60_000), None);
}

/// Guards against a trim at a position from before the store was restored from an old copy,
/// where other records are by now.
#[rstest]
#[case::other_era(0, (1 << OFFSET_BITS) + 2)]
#[case::other_partition(1, 100)]
fn trim_after_restore(#[case] partition: u32, #[case] end: u64) {
    let mut queue = WriteQueue::default();
    queue.push(START_MS, &record(1));
    let batch = queue.next_batch(START_MS);
    queue.stored(START_MS, 0, &batch, 90);
    queue.stored(START_MS + 15_000, partition, &batch, end);
    assert_eq!(queue.take_trim(START_MS + 100_000), Some((partition, end)));
}

proptest! {
    /// Guards against a panic at odd times and offsets.
    #[test]
    fn any_time_and_offset(
        times in prop::collection::vec(any::<u64>(), 1..8),
        ends in prop::collection::vec(any::<u64>(), 1..8),
    ) {
        let mut queue = WriteQueue::default();
        for (now, end) in times.iter().zip(&ends) {
            queue.push(*now, &record(*end));
            let batch = queue.next_batch(*now);
            queue.stored(*now, 0, &batch, *end);
            queue.take_trim(*now);
            for stored in batch {
                let _ = stored.to_record(*end);
            }
        }
    }
}
