//! Starts of all daemons as separate processes: ports that are not available yet, addresses
//! that never are, and signals that arrive while a process starts.

mod ports;
mod process;
mod signals;
