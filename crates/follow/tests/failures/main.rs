//! Failures of the log, of its replies, of operators and of daemons, each
//! brought about with a log on loopback.

mod common;
mod daemons;
mod publishing;
