//! Benchmarks of the router itself: added latency, throughput and how its
//! resource use grows with load.
//!
//! - [`testbed`]: one entry with a few sidecars and engine stand-ins.
//! - [`closed_loop`]: a closed-loop load generator.
//! - [`resources`]: CPU time by thread and resident memory of the process.
//! - [`fit`]: least-squares fit of a line with its standard error.
//! - [`overhead`]: added latency, throughput and idle memory.
//! - [`slopes`]: cost per peer, request, chunk, open stream and workspace.
//! - [`capacity`]: the slopes extrapolated to the target deployment size.

pub mod capacity;
pub mod closed_loop;
pub mod fit;
pub mod overhead;
pub mod resources;
pub mod slopes;
pub mod testbed;
