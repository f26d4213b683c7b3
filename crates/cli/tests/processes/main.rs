//! The daemons as processes of their own, as operators run them: what they
//! do with bad settings, when told to stop, when killed and when frozen.
//!
//! The stand-ins run inside the test, so that it sees what they saw.

mod bundles;
mod caller;
mod fleet;
mod settings;
mod signals;
