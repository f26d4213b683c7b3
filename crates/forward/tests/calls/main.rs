//! Calls through a whole entry over real sockets, between callers and backend
//! servers that misbehave.

mod callers;
mod common;
mod feedback;
mod grants;
mod retries;
mod shares;
mod streams;
mod usage;
