//! A digest over a bundle's entries that follows a change in microseconds.
//!
//! Hashing 46,000 workspaces anew for each of 27,000 changes a day would
//! spend the daemons' share of a core on that alone. Entries fall into 256
//! buckets by their names' hash; a change rehashes one bucket and the root.

use std::collections::BTreeMap;

use crate::hash::Hash;

/// How many buckets there are: one for each first byte of a name's hash.
const BUCKETS: usize = 256;

/// The hashes of all entries.
#[derive(Debug, Clone)]
pub struct DigestTree {
    buckets: Vec<Bucket>,
    sums: Vec<Hash>,
}

/// The entries whose names' hashes share the first byte.
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
        // Marked as stale; the sum is made when the root is asked for, so
        // that loading many entries costs one pass.
        self.sums[at] = Hash::default();
    }

    /// The digest over all entries.
    #[must_use]
    pub fn root(&self) -> Hash {
        let sums: Vec<Hash> = (0..BUCKETS).map(|at| self.sum(at)).collect();
        let parts: Vec<&[u8]> = sums.iter().map(|h| h.0.as_slice()).collect();
        Hash::of(&parts)
    }

    /// Makes the sums that changes left stale.
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
