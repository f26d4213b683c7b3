//! Measurements of the router itself: what it adds, and how its cost grows.
//!
//! - [`site`]: one entry before a few sidecars and stand-ins.
//! - [`callers`]: callers that send the next request when one has ended.
//! - [`cost`]: processor time by thread, and memory of the process.
//! - [`fit`]: least squares with their error.
//! - [`overhead`]: added time, throughput and memory.
//! - [`slopes`]: cost by peer, request, piece, open stream and workspace.
//! - [`capacity`]: the slopes multiplied to the size to design for.

pub mod capacity;
pub mod closed_loop;
pub mod fit;
pub mod overhead;
pub mod resources;
pub mod slopes;
pub mod testbed;
