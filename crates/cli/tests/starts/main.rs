//! Starts of all daemons as separate processes: signals that arrive while a process starts.

mod process;
mod signals;
