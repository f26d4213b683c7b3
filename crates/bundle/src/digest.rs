//! An incremental digest of a bundle's entries, updated within microseconds.
//!
//! Rehashing 46,000 workspaces for each of 27,000 changes per day would use up
//! the daemons' CPU budget. Entries are distributed over 256 buckets by the
//! hash of their names; a change rehashes one bucket and the root.

use std::collections::BTreeMap;

use crate::hash::Hash;

/// Number of buckets: one for each first byte of a name's hash.
const BUCKETS: usize = 256;

/// Hashes of all entries, grouped into buckets.
#[derive(Debug, Clone)]
pub struct DigestTree {
    buckets: Vec<Bucket>,
    sums: Vec<Hash>,
}

/// Hashes of the entries whose name hashes share the first byte, by name hash.
type Bucket = BTreeMap<Hash, Hash>;

impl Default for DigestTree {
    fn default() -> Self {
        Self {
            buckets: vec![Bucket::new(); BUCKETS],
            sums: vec![Hash::default(); BUCKETS],
        }
    }
}

impl DigestTree {
    /// Sets or removes one entry.
    pub fn set(&mut self, section: &str, name: &str, value: Option<&str>) {
        let key = Hash::of(&[section.as_bytes(), name.as_bytes()]);
        let at = usize::from(key.0[0]);
        let bucket = &mut self.buckets[at];
        match value {
            Some(value) => bucket.insert(key, Hash::of(&[&key.0, value.as_bytes()])),
            None => bucket.remove(&key),
        };
        // Marks the bucket's sum as stale. Sums are computed later, so that
        // loading many entries takes one pass.
        self.sums[at] = Hash::default();
    }

    /// Digest of all entries.
    #[must_use]
    pub fn root(&self) -> Hash {
        let sums: Vec<Hash> = (0..BUCKETS).map(|at| self.sum(at)).collect();
        let parts: Vec<&[u8]> = sums.iter().map(|h| h.0.as_slice()).collect();
        Hash::of(&parts)
    }

    /// Recomputes the stale bucket sums.
    pub fn update_sums(&mut self) {
        for at in 0..BUCKETS {
            self.sums[at] = self.sum(at);
        }
    }

    fn sum(&self, at: usize) -> Hash {
        if self.sums[at] != Hash::default() || self.buckets[at].is_empty() {
            return self.sums[at];
        }
        let parts: Vec<&[u8]> = self.buckets[at].values().map(|h| h.0.as_slice()).collect();
        Hash::of(&parts)
    }
}
