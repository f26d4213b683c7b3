//! Rendezvous hashing: every process ranks the servers for a key in the same
//! order, without coordination.

use rapidhash::v3::rapidhash_v3;

/// The score of a server for a key. The key is assigned to the server with the
/// highest score.
#[must_use]
pub fn score(key: u64, server: u64) -> u64 {
    let mut bytes = [0; 16];
    bytes[..8].copy_from_slice(&key.to_le_bytes());
    bytes[8..].copy_from_slice(&server.to_le_bytes());
    rapidhash_v3(&bytes)
}

/// Hashes the name of a server.
#[must_use]
pub fn hash_name(name: &str) -> u64 {
    rapidhash_v3(name.as_bytes())
}

/// Hashes bytes, as a checksum.
#[must_use]
pub fn hash_bytes(bytes: &[u8]) -> u64 {
    rapidhash_v3(bytes)
}

/// The score of a server whose share of all keys is proportional to `weight`,
/// which is positive. If a weight changes, keys move to or from this server
/// only.
#[must_use]
pub fn weighted_score(key: u64, server: u64, weight: f64) -> f64 {
    -weight / unit_interval(score(key, server)).ln()
}

/// A hash as a number between 0 and 1, without the ends.
#[must_use]
pub fn unit_interval(hash: u64) -> f64 {
    ((hash >> 11) as f64 + 0.5) / (1_u64 << 53) as f64
}
