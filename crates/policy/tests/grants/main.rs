//! The admission decisions of a sidecar, simulated under loads above the
//! engine's prefill rate.
//!
//! - [`common`]: calls and a simulated burst.
//! - [`bursts`]: bursts above the prefill rate.
//! - [`order`]: order of queued calls, and lost messages.
//! - [`pace`]: the typical time between events.
//! - [`streams`]: prefill beside running streams.
//! - [`room`]: memory, slots and restarts of the engine.
//! - [`fetch`]: prompts that are fetched from other engines.
//! - [`gaps`]: gaps of streams that are learned from finished ones.
//! - [`tiers`]: small engines under calls of several tiers.
//! - [`shares`]: fair shares between workspaces.
//! - [`replay`]: calls of many workspaces, shared with an example.

mod bursts;
mod common;
mod fetch;
mod gaps;
mod order;
mod pace;
#[path = "../../examples/fair_shares/replay.rs"]
mod replay;
mod room;
mod shares;
mod streams;
mod tiers;
