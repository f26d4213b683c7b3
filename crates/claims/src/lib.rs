//! Claims of idempotency keys in the platform's log, so that a call that must
//! not be repeated runs at most once, whichever entries its caller tries.
//!
//! An entry appends a claim before it grants the call; the first claim in the
//! log's order owns the key for a window shorter than the log's retention.
//! See docs/DECISIONS/0302-claims.md.
//!
//! - [`record`]: what stands in the log.
//! - [`table`]: who owns which key, by the log's order.
//! - [`claims`]: appending claims in batches and learning who won.
//! - [`claim`]: a key that is owned.

pub mod claim;
pub mod claims;
pub mod record;
pub mod table;

pub use claim::Claim;
pub use claims::{ClaimDenied, Claims, Settings};
pub use record::CallOutcome;

/// The stream that carries the claims.
pub const STREAM: &str = "claims";
