//! Following the platform's log: which bundle a daemon goes by, and which
//! idempotency keys are taken.
//!
//! - [`state`]: the bundle in force, as the rest of the daemon reads it.
//! - [`follower`]: the actor that follows the log and appends checkpoints.
//! - [`publish`]: publishing a version, as the operators' tool does.
//! - [`transfer`]: how one daemon hands its bundle to another.
//! - [`settings`]: what the operators set.

pub mod follower;
pub mod publish;
pub mod settings;
pub mod state;
pub mod transfer;

pub use follower::{ApplyTransfer, Follower};
pub use publish::{PublishOutcome, Publisher};
pub use settings::Settings;
pub use state::{ActiveVersion, BundleState};

/// The stream that carries the bundle's records.
pub const STREAM: &str = "bundle";
