//! Small stand-ins for the platform, with each fault as a setting.
//!
//! - [`engine`]: a model engine that batches continuously.
//! - [`ledger`]: what the stand-ins saw, for judging the router.
//! - [`plain`]: a plain service.

pub mod engine;
pub mod ledger;
pub mod plain;

pub use ledger::Ledger;
