//! The log in the store that holds which software versions began streams.
//!
//! The homes of a stream keep its version in memory only, which is lost when all entries
//! end at once. While a service runs several versions, one entry of each group appends what
//! the homes are told to a log in batches. Entries that start read it. See
//! docs/design/stream-versions.md.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::Duration;

use crate::origins::{Origin, OriginRecord};
use crate::replica::OFFSET_BITS;
use crate::roster::EntryCounts;
use crate::versions::RECENT;

/// Share of the store's writes that all entries together use for this log.
const WRITE_SHARE: f64 = 0.2;

/// Shortest interval between two writes. What began since the last one is lost with the
/// entries.
const MIN_WRITE_INTERVAL: Duration = Duration::from_millis(20);

/// Longest interval between two writes.
const MAX_WRITE_INTERVAL: Duration = Duration::from_secs(10);

/// Entries that read the log where all entries report to each other. Each of a small fleet
/// does, so that it depends on no other one that starts at the same time.
const READERS: usize = 4;

/// Streams in one write.
const MAX_BATCH: usize = 4_096;

/// Streams that wait to be written, also during an outage of the store. The oldest are
/// dropped beyond that.
const MAX_PENDING: usize = 32_768;

/// Additional time for which a stored stream is valid, for hosts whose clocks differ. A
/// record that is kept too long does no harm, as its key is not used again.
const CLOCK_MARGIN: Duration = Duration::from_secs(10);

/// Time for which written records share one [`Mark`], and thus the interval of trims.
const MARK_INTERVAL: Duration = Duration::from_secs(10);

/// Time of the wall clock in milliseconds since the Unix epoch.
type WallMs = u64;

/// A stored stream and where it began.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StoredOrigin {
    /// The stream's key.
    pub stream: u64,
    /// Where it began.
    pub origin: Origin,
    /// Wall-clock time until which its caller may take it up, in milliseconds since the Unix
    /// epoch.
    pub expires_ms: u64,
}

impl StoredOrigin {
    /// The record to keep at the wall-clock time `wall_ms`; `None` if it has expired.
    #[must_use]
    pub fn to_record(self, wall_ms: u64) -> Option<OriginRecord> {
        let end_ms = self.expires_ms.saturating_add(millis(CLOCK_MARGIN));
        let ttl = Duration::from_millis(end_ms.saturating_sub(wall_ms)).min(RECENT);
        (!ttl.is_zero()).then_some(OriginRecord {
            stream: self.stream,
            origin: self.origin,
            ttl,
        })
    }
}

/// Streams that are written together.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct OriginBatch {
    /// Number of the availability zone of the entry that writes them.
    pub zone: u32,
    /// The streams, in the order of their start.
    pub streams: Vec<StoredOrigin>,
}

/// What an entry does for the log.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LogRole {
    /// The entry that writes the streams that begin here.
    pub writer: SocketAddr,
    /// Whether this entry reads the log when it starts.
    pub reads: bool,
    /// The partition that its group uses.
    pub partition: u32,
    /// The zone whose streams it reads; `None` for all.
    pub zone: Option<u32>,
    /// Number of entries in the fleet that write.
    writers: usize,
}

/// What determines the roles of an entry.
#[derive(Debug, Clone, Copy)]
pub struct LogGroup<'a> {
    /// Address of the entry.
    pub own: SocketAddr,
    /// The entries that all of its group know.
    pub members: &'a [SocketAddr],
    /// Number of its zone, if the fleet is so large that each zone is a group; otherwise all
    /// entries are one.
    pub zone: Option<u32>,
    /// Numbers of entries.
    pub counts: EntryCounts,
    /// Number of partitions of a topic.
    pub partitions: u32,
}

impl LogRole {
    /// The role of an entry in its group.
    #[must_use]
    pub fn of(group: &LogGroup<'_>) -> Self {
        let mut members = group.members.to_vec();
        members.sort_unstable();
        let (readers, writers) = match group.zone {
            Some(_) => {
                let in_zone = group.counts.same_zone.max(1);
                (1, group.counts.total.div_ceil(in_zone))
            }
            None => (READERS, 1),
        };
        // The first partition is that of the fleet as one group.
        let zone_partitions = group.partitions.saturating_sub(1);
        let partition = match group.zone {
            Some(zone) if zone_partitions > 0 => 1 + zone % zone_partitions,
            _ => 0,
        };
        Self {
            writer: members.first().copied().unwrap_or(group.own),
            reads: members.iter().take(readers).any(|m| *m == group.own),
            partition,
            zone: group.zone,
            writers: writers.max(1),
        }
    }

    /// Time between two writes of one entry, where the store takes `writes_per_s` from all
    /// daemons together.
    #[must_use]
    pub fn write_interval(&self, writes_per_s: f64) -> Duration {
        let interval = self.writers as f64 / (writes_per_s * WRITE_SHARE);
        let interval = Duration::try_from_secs_f64(interval).unwrap_or(MAX_WRITE_INTERVAL);
        interval.clamp(MIN_WRITE_INTERVAL, MAX_WRITE_INTERVAL)
    }
}

/// Streams that wait to be written, and how far the log may be trimmed.
#[derive(Debug, Default)]
pub struct WriteQueue {
    pending: VecDeque<StoredOrigin>,
    /// Positions in the log up to which this entry has written, in order.
    marks: VecDeque<Mark>,
    stored: u64,
    dropped: u64,
}

/// Records of one [`MARK_INTERVAL`].
#[derive(Debug, Clone, Copy)]
struct Mark {
    partition: u32,
    /// The position after the last one.
    end: u64,
    opened_ms: WallMs,
    /// When all of them have expired.
    expires_ms: WallMs,
}

impl WriteQueue {
    /// Adds a stream.
    pub fn push(&mut self, wall_ms: u64, record: &OriginRecord) {
        self.pending.push_back(StoredOrigin {
            stream: record.stream,
            origin: record.origin,
            expires_ms: wall_ms.saturating_add(millis(record.ttl.min(RECENT))),
        });
        self.drop_excess();
    }

    /// Takes the streams to write next, without those that have expired.
    #[must_use]
    pub fn next_batch(&mut self, wall_ms: u64) -> Vec<StoredOrigin> {
        self.pending.retain(|s| wall_ms < s.expires_ms);
        let count = self.pending.len().min(MAX_BATCH);
        self.pending.drain(..count).collect()
    }

    /// Returns streams to the queue, as writing them has failed.
    pub fn put_back(&mut self, batch: &[StoredOrigin]) {
        for stream in batch.iter().rev() {
            self.pending.push_front(*stream);
        }
        self.drop_excess();
    }

    /// Records that `batch` was written to `partition`, which now ends at `end`.
    pub fn stored(&mut self, wall_ms: u64, partition: u32, batch: &[StoredOrigin], end: u64) {
        self.stored += batch.len() as u64;
        let expires_ms = batch.iter().map(|s| s.expires_ms).max().unwrap_or(wall_ms);
        // Positions from before a restore of the store, or in another partition, do not
        // compare with this one.
        let era = |position: u64| position >> OFFSET_BITS;
        self.marks
            .retain(|m| m.partition == partition && era(m.end) == era(end) && m.end <= end);
        let open = |m: &&mut Mark| wall_ms < m.opened_ms.saturating_add(millis(MARK_INTERVAL));
        match self.marks.back_mut().filter(open) {
            Some(mark) => {
                mark.end = end;
                mark.expires_ms = mark.expires_ms.max(expires_ms);
            }
            None => self.marks.push_back(Mark {
                partition,
                end,
                opened_ms: wall_ms,
                expires_ms,
            }),
        }
    }

    /// The partition and the position before which all records have expired, if there are
    /// any. They are returned once.
    pub fn take_trim(&mut self, wall_ms: u64) -> Option<(u32, u64)> {
        let mut trim = None;
        while let Some(mark) = self.marks.front() {
            if wall_ms < mark.expires_ms.saturating_add(millis(CLOCK_MARGIN)) {
                break;
            }
            trim = Some((mark.partition, mark.end));
            self.marks.pop_front();
        }
        trim
    }

    /// Whether no stream waits.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.pending.is_empty()
    }

    /// Number of streams written.
    #[must_use]
    pub fn stored_count(&self) -> u64 {
        self.stored
    }

    /// Number of streams dropped because too many were waiting.
    #[must_use]
    pub fn dropped_count(&self) -> u64 {
        self.dropped
    }

    fn drop_excess(&mut self) {
        let excess = self.pending.len().saturating_sub(MAX_PENDING);
        self.pending.drain(..excess);
        self.dropped += excess as u64;
    }
}

fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
