//! How a process divides the memory and the descriptors that its host allows, and which
//! caller gives way when memory is short. See docs/design/host-resources.md.

use std::time::{Duration, Instant};

/// Bytes in a megabyte, as hosts state their memory.
const MEGABYTE: f64 = 1e6;

/// Memory of the process itself, in bytes: its code, the tables of the store and the log.
const OWN_BYTES: usize = 32 << 20;

/// Share of the remaining memory that may be held for others. The rest covers what the
/// allocator loses between allocations and the copy while a buffer grows.
const HELD_SHARE: f64 = 0.6;

/// Least number of bytes that may be held for others, in bytes: two of the largest answers.
const MIN_HELD: usize = 16 << 20;

/// Bytes that an open connection of a caller takes: its buffers for reading and writing, and
/// the state of its task.
pub const CONNECTION_BYTES: usize = 32 << 10;

/// Bytes that only answers may take, so that an answer can always be read to its end.
pub const ANSWER_RESERVE: usize = 8 << 20;

/// Descriptors for listeners, the store, other entries, operators and files.
const OWN_FDS: usize = 264;

/// Time without a byte after which a caller counts as stalled.
pub const STALLED_TIME: Duration = Duration::from_secs(1);

/// How much a process may hold for others.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HostLimits {
    /// Bytes of connections, bodies and answers together.
    pub held_bytes: usize,
    /// Connections of callers.
    pub connections: usize,
}

impl HostLimits {
    /// Divides `memory_mb` megabytes, if they are limited, and `fds` descriptors.
    #[must_use]
    pub fn new(memory_mb: Option<f64>, fds: usize) -> Self {
        let held_bytes = memory_mb.map_or(usize::MAX, held_bytes);
        // Each call also needs a connection to a backend server.
        let own_fds = OWN_FDS.min(fds / 2);
        let by_fds = (fds - own_fds) / 2;
        // The other half is for the bytes of the calls.
        let by_memory = held_bytes / 2 / CONNECTION_BYTES;
        Self {
            held_bytes,
            connections: by_fds.min(by_memory).max(1),
        }
    }
}

fn held_bytes(memory_mb: f64) -> usize {
    let left = (memory_mb * MEGABYTE) as usize;
    let held = left.saturating_sub(OWN_BYTES) as f64 * HELD_SHARE;
    (held as usize).max(MIN_HELD)
}

/// A body makes way for one that is smaller by this factor.
const SMALLER_FACTOR: usize = 8;

/// A request body that is being read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BodyProgress {
    /// Identifies the body; a later one has a greater number.
    pub number: u64,
    /// Its declared length in bytes, or the bytes it takes if that is more.
    pub size: usize,
    /// When its last bytes arrived.
    pub active_at: Instant,
}

/// Chooses the body that gives way when there is no memory for another part of `own`: the
/// one that has been stalled longest, or the newest of those that are much larger, or else
/// the newest of all, so that the older ones can end. Returns `None` if that is `own`.
#[must_use]
pub fn choose_victim(
    now: Instant,
    own: BodyProgress,
    others: impl Iterator<Item = BodyProgress> + Clone,
) -> Option<BodyProgress> {
    let idle = |body: &BodyProgress| now.saturating_duration_since(body.active_at);
    let stalled = others.clone().filter(|body| idle(body) >= STALLED_TIME);
    let larger = |body: &BodyProgress| body.size / SMALLER_FACTOR > own.size;
    let larger = others.clone().filter(larger);
    stalled
        .max_by_key(idle)
        .or_else(|| larger.max_by_key(|body| body.number))
        .or_else(|| others.max_by_key(|body| body.number))
        .filter(|body| idle(body) >= STALLED_TIME || larger_or_newer(body, &own))
}

fn larger_or_newer(body: &BodyProgress, own: &BodyProgress) -> bool {
    body.size / SMALLER_FACTOR > own.size || body.number > own.number
}
