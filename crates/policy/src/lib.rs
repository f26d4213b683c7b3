//! Decisions only: no sockets, no runtime and no clock of its own. Whoever
//! asks hands the time in.
//!
//! - [`estimate`]: what a request is expected to take.
//! - [`queue`]: what a sidecar decides: who waits, who starts, who is shed.
//! - [`placement`]: what an entry decides: where to ask for a slot.

pub mod estimate;
pub mod placement;
pub mod queue;

pub use placement::Placement;
pub use queue::Queue;
