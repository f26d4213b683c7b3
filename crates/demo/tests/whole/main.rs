//! Tests of whole fleets over real loopback sockets.
//!
//! - `sessions`: golden files of what goes over the sockets.
//! - `callers`: callers that go away.

mod callers;
mod common;
mod sessions;
