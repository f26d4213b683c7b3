//! Decisions only: no sockets, no runtime and no clock of its own. Whoever
//! asks hands the time in.
//!
//! - [`membership`]: which hosts there are.
//! - [`subset`]: which backend servers one entry keeps connections to.
//! - [`queue`]: what a sidecar decides: who waits, who starts, who is shed.
//! - [`placement`]: what an entry decides: where to ask for a slot.

pub mod membership;
pub mod placement;
pub mod queue;
pub mod subset;

pub use placement::Placement;
pub use queue::Queue;
