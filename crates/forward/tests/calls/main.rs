//! Calls through a whole entry over real sockets: callers on one side,
//! backend servers that misbehave on the other.

mod callers;
mod common;
mod feedback;
mod grants;
mod retries;
mod streams;
mod usage;
