//! Calls through a whole entry over real sockets, between callers and backend
//! servers that misbehave.

mod backups;
mod callers;
mod common;
mod ends;
mod engines;
mod feedback;
mod grants;
mod moves;
mod out_of_step;
mod partial_tables;
mod records;
mod retries;
mod shares;
mod streams;
mod suspects;
mod urgent;
mod usage;
mod versions;
