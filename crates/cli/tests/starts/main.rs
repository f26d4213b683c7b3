//! Starts of all daemons as separate processes: ports that are not available yet, addresses
//! that never are, signals that arrive while a process starts, settings out of range, and
//! output that nobody reads.

mod output;
mod ports;
mod process;
mod settings;
mod signals;
