//! What a sidecar lets into its engine, replayed under loads that are above
//! what the engine reads.
//!
//! - [`common`]: calls, and what a burst comes to.
//! - [`bursts`]: bursts above what the engine reads.
//! - [`order`]: calls that wait, and messages that are lost.
//! - [`streams`]: reading beside streams that write.
//! - [`room`]: memory, slots and restarts of the engine.
//! - [`fetch`]: prompts that are fetched from other engines.
//! - [`tiers`]: small engines under calls of several tiers.

mod bursts;
mod common;
mod fetch;
mod order;
mod room;
mod streams;
mod tiers;
