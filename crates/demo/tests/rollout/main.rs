//! Bundles and idempotency keys over whole fleets: entries, a sidecar, a
//! plain service and a log that fails.

mod bundles;
mod common;
mod keys;
