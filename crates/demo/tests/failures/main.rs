//! Failures injected into a small fleet on loopback. A comment above each test
//! describes the sequence of events and what callers must see.
//!
//! - [`drain`]: daemons that drain and stop under load.
//! - [`fleet`]: the fleet, whose daemons are started and stopped individually.
//! - [`membership`]: hosts that join and leave while the list of hosts is stale
//!   or faulty.
//! - [`silence`]: engines that crash or stall, and connections that go silent.

mod drain;
mod fleet;
mod membership;
mod silence;
