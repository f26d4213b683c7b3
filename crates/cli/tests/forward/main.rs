//! The entry for routed calls as a process of its own, before a stand-in for
//! the platform's store and for backend servers: told to read its settings
//! again, to stop, killed and frozen, calls that end
//! servers, and a soak of all of that by seeds.

mod caller;
mod fatal;
mod limits;
mod platform;
mod process;
mod signals;
mod soak;
mod words;
