//! Rendezvous hashing: every process ranks servers for a key in the same
//! order, without any exchange.

use rapidhash::v3::rapidhash_v3;

/// The rank of a server for a key; the highest is the key's home.
#[must_use]
pub fn score(key: u64, server: u64) -> u64 {
    let mut both = [0; 16];
    both[..8].copy_from_slice(&key.to_le_bytes());
    both[8..].copy_from_slice(&server.to_le_bytes());
    rapidhash_v3(&both)
}

/// A server's number, from its name.
#[must_use]
pub fn hash_name(name: &str) -> u64 {
    rapidhash_v3(name.as_bytes())
}
