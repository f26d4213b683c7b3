//! Claims of idempotency keys in the platform's log. They ensure that a call
//! that must not be repeated runs at most once, even if the caller sends it to
//! several entries.
//!
//! An entry appends a claim before it grants the call; the first claim in the
//! log's order owns the key for a window shorter than the log's retention.
//! See docs/DECISIONS/0302-claims.md.
//!
//! - [`record`]: the log records.
//! - [`table`]: the owners of keys according to the log's order.
//! - [`claims`]: appending claims in batches.
//! - [`claim`]: a claimed key.

pub mod claim;
pub mod claims;
pub mod record;
pub mod table;

pub use claim::Claim;
pub use claims::{ClaimDenied, Claims, Settings};
pub use record::CallOutcome;

/// Name of the log stream for claims.
pub const STREAM: &str = "claims";
