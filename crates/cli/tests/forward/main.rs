//! Tests of the entry for routed calls as a separate process, with a simulated
//! store and simulated backend servers: signals, rate limits and backoff that
//! servers ask for, requests that crash servers, and a randomized soak test.

mod caller;
mod config;
mod connections;
mod descriptors;
mod ends;
mod engines;
mod fatal;
mod fatal_part;
mod fleet;
mod hints;
mod hosts;
mod kept;
mod limits;
mod memory;
mod out_of_step;
mod platform;
mod process;
mod records;
mod signals;
mod soak;
mod soak_ends;
mod soak_parts;
mod soak_streams;
mod stops;
mod store_link;
mod unnamed;
mod versions;
mod versions_restart;
