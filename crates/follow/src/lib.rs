//! Following the platform's log: which bundle a daemon goes by, and which
//! idempotency keys are taken.
//!
//! - [`held`]: the bundle in force, as the rest of the daemon reads it.
//! - [`follower`]: the actor that follows the log and appends checkpoints.
//! - [`publish`]: publishing a version, as the operators' tool does.
//! - [`transfer`]: how one daemon hands its bundle to another.
//! - [`settings`]: what the operators set.

pub mod follower;
pub mod held;
pub mod publish;
pub mod settings;
pub mod transfer;

pub use follower::{Follower, Take};
pub use held::{Held, InForce};
pub use publish::{Outcome, Publisher};
pub use settings::Settings;

/// The stream that carries the bundle's records.
pub const STREAM: &str = "bundle";
