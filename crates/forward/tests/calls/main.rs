//! Calls through a whole entry over real sockets: callers on one side,
//! backend servers that misbehave on the other.

mod callers;
mod common;
mod grants;
mod repeats;
mod streams;
mod usage;
mod words;
