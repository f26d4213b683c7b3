//! Replication of the bundle: a daemon reads the bundle stream of the platform's
//! log and activates the newest version.
//!
//! - [`state`]: the active bundle, shared with the rest of the daemon.
//! - [`follower`]: the actor that reads the log and appends checkpoints.
//! - [`publish`]: publishing a version from the operators' CLI.
//! - [`transfer`]: sending the bundle from one daemon to another.
//! - [`settings`]: settings of the follower.

pub mod follower;
pub mod publish;
pub mod settings;
pub mod state;
pub mod transfer;

pub use follower::{ApplyTransfer, Follower};
pub use publish::{PublishOutcome, Publisher};
pub use settings::Settings;
pub use state::{ActiveVersion, BundleState};

/// Name of the log stream for bundle records.
pub const STREAM: &str = "bundle";
