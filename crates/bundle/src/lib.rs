//! Bundles: what operators declare, how it is signed, and which version of it
//! is in force.
//!
//! - [`model`]: the declaration itself.

pub mod model;

pub use model::{Bundle, Class, Pool, Service, Shares, Targets, Workspace};
