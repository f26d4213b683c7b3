//! Bundles: what operators declare, how it is signed, and which version of it
//! is in force.
//!
//! - [`model`]: the declaration itself.
//! - [`lookup`]: the declaration prepared for every request.

pub mod lookup;
pub mod model;

pub use lookup::{Lookup, token_hash};
pub use model::{Bundle, Class, Pool, Service, Shares, Targets, Workspace};
