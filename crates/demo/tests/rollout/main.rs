//! Distribution of bundles and idempotency keys in a fleet of two entries, a
//! sidecar, a plain service and a log that can fail.

mod bundles;
mod common;
mod keys;
