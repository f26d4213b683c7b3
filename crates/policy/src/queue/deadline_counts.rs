//! Counts how many waiting requests are due before a given one.

use std::time::{Duration, Instant};

/// Width of a bucket; deadlines within one bucket count as equal.
const BUCKET_WIDTH: Duration = Duration::from_millis(32);

/// Number of buckets; they cover about 33 seconds.
const BUCKETS: u64 = 1024;

/// Buckets kept for deadlines that passed recently; about 1 second.
const PAST_BUCKETS: u64 = 32;

/// Counts of deadlines in a ring of buckets, kept as a Fenwick tree: adding,
/// removing and counting take a number of steps logarithmic in the number of
/// buckets. Deadlines beyond the ring are counted in the last bucket.
#[derive(Debug)]
pub(super) struct DeadlineCounts {
    /// Start of bucket 0.
    epoch: Instant,
    /// The Fenwick tree, with indexes from 1.
    tree: Vec<u32>,
}

/// The bucket in which a deadline was counted, needed to remove it again.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct Bucket(u64);

impl Bucket {
    /// The bucket after this one.
    pub(super) fn next(self) -> Self {
        Self(self.0 + 1)
    }
}

impl DeadlineCounts {
    pub(super) fn new(epoch: Instant) -> Self {
        Self {
            epoch,
            tree: vec![0; BUCKETS as usize + 1],
        }
    }

    /// Adds a deadline.
    pub(super) fn add(&mut self, bucket: Bucket) {
        self.update(bucket, |count| *count += 1);
    }

    /// Removes a deadline.
    pub(super) fn remove(&mut self, bucket: Bucket) {
        self.update(bucket, |count| *count = count.saturating_sub(1));
    }

    /// Number of deadlines in earlier buckets.
    pub(super) fn count_before(&self, now: Instant, bucket: Bucket) -> usize {
        let first = self.first(now);
        if bucket.0 <= first {
            return 0;
        }
        if bucket.0 - first >= BUCKETS {
            return self.prefix_sum(BUCKETS) as usize;
        }
        let (a, b) = (first % BUCKETS, bucket.0 % BUCKETS);
        let count = match a <= b {
            true => self.prefix_sum(b) - self.prefix_sum(a),
            false => self.prefix_sum(BUCKETS) - self.prefix_sum(a) + self.prefix_sum(b),
        };
        count as usize
    }

    /// The bucket in which a deadline is counted.
    pub(super) fn bucket(&self, now: Instant, due: Instant) -> Bucket {
        let first = self.first(now);
        let wanted = self.bucket_number(due);
        Bucket(wanted.clamp(first, first + BUCKETS - 1))
    }

    /// The earliest bucket in use.
    fn first(&self, now: Instant) -> u64 {
        self.bucket_number(now).saturating_sub(PAST_BUCKETS)
    }

    fn bucket_number(&self, at: Instant) -> u64 {
        let since = at.saturating_duration_since(self.epoch);
        u64::try_from(since.as_micros() / BUCKET_WIDTH.as_micros()).unwrap_or(u64::MAX / 2)
    }

    fn update(&mut self, bucket: Bucket, update: impl Fn(&mut u32)) {
        let mut i = bucket.0 % BUCKETS + 1;
        while i <= BUCKETS {
            update(&mut self.tree[i as usize]);
            i += i & i.wrapping_neg();
        }
    }

    /// Sum of the first `end` positions of the ring.
    fn prefix_sum(&self, end: u64) -> u32 {
        let (mut i, mut sum) = (end, 0);
        while i > 0 {
            sum += self.tree[i as usize];
            i -= i & i.wrapping_neg();
        }
        sum
    }
}
