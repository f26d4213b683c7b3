//! Failures of the log, its replies, operators and daemons, injected through a
//! stand-in for the log on loopback.

mod common;
mod daemons;
mod publishing;
