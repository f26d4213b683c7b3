//! The limit on the process's file descriptors.

use nix::sys::resource::{Resource, getrlimit};

/// Assumed if the limit cannot be read: the usual default.
const DEFAULT_SOFT_LIMIT: usize = 1024;

/// Largest limit that is used. More descriptors than this need no care.
const MAX_SOFT_LIMIT: u64 = 1 << 20;

/// Number of file descriptors that the process may use.
#[must_use]
pub fn soft_limit() -> usize {
    let limit = getrlimit(Resource::RLIMIT_NOFILE).map(|(soft, _)| soft.min(MAX_SOFT_LIMIT));
    let limit = limit.ok().and_then(|soft| usize::try_from(soft).ok());
    limit.unwrap_or(DEFAULT_SOFT_LIMIT)
}
