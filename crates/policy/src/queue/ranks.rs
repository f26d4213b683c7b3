//! Counting how many waiting requests are due before a given one.

use std::time::{Duration, Instant};

/// Deadlines within one bucket count as equal.
const BUCKET: Duration = Duration::from_millis(32);

/// Buckets in all; about 30 seconds.
const BUCKETS: u64 = 1024;

/// Buckets kept for deadlines that passed a moment ago.
const PAST: u64 = 32;

/// Counts deadlines in a ring of buckets, as a Fenwick tree: adding, taking
/// out and counting take a number of steps logarithmic in the buckets.
/// Deadlines beyond the ring count as the last bucket's.
#[derive(Debug)]
pub(super) struct Ranks {
    /// Start of bucket 0.
    epoch: Instant,
    /// The tree, one-based.
    tree: Vec<u32>,
}

/// Where a deadline was counted, for taking it out again.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct Bucket(u64);

impl Bucket {
    /// The bucket after this one.
    pub(super) fn next(self) -> Self {
        Self(self.0 + 1)
    }
}

impl Ranks {
    pub(super) fn new(epoch: Instant) -> Self {
        Self {
            epoch,
            tree: vec![0; BUCKETS as usize + 1],
        }
    }

    /// Counts a deadline in.
    pub(super) fn add(&mut self, bucket: Bucket) {
        self.change(bucket, |count| *count += 1);
    }

    /// Takes a deadline out.
    pub(super) fn remove(&mut self, bucket: Bucket) {
        self.change(bucket, |count| *count = count.saturating_sub(1));
    }

    /// How many deadlines stand in earlier buckets.
    pub(super) fn before(&self, now: Instant, bucket: Bucket) -> usize {
        let first = self.first(now);
        if bucket.0 <= first {
            return 0;
        }
        if bucket.0 - first >= BUCKETS {
            return self.prefix(BUCKETS) as usize;
        }
        let (a, b) = (first % BUCKETS, bucket.0 % BUCKETS);
        let count = match a <= b {
            true => self.prefix(b) - self.prefix(a),
            false => self.prefix(BUCKETS) - self.prefix(a) + self.prefix(b),
        };
        count as usize
    }

    /// The bucket in which a deadline counts.
    pub(super) fn bucket(&self, now: Instant, due: Instant) -> Bucket {
        let first = self.first(now);
        let wanted = self.number(due);
        Bucket(wanted.clamp(first, first + BUCKETS - 1))
    }

    /// The earliest bucket in use.
    fn first(&self, now: Instant) -> u64 {
        self.number(now).saturating_sub(PAST)
    }

    fn number(&self, at: Instant) -> u64 {
        let since = at.saturating_duration_since(self.epoch);
        u64::try_from(since.as_micros() / BUCKET.as_micros()).unwrap_or(u64::MAX / 2)
    }

    fn change(&mut self, bucket: Bucket, change: impl Fn(&mut u32)) {
        let mut i = bucket.0 % BUCKETS + 1;
        while i <= BUCKETS {
            change(&mut self.tree[i as usize]);
            i += i & i.wrapping_neg();
        }
    }

    /// Sum of the ring's first `end` places.
    fn prefix(&self, end: u64) -> u32 {
        let (mut i, mut sum) = (end, 0);
        while i > 0 {
            sum += self.tree[i as usize];
            i -= i & i.wrapping_neg();
        }
        sum
    }
}
