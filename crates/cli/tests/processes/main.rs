//! Tests of the daemons as separate processes, as operators run them: invalid
//! settings, SIGTERM, SIGKILL and SIGSTOP, and the `bundle` commands.
//!
//! Simulated backends run in the test process, so that tests can inspect the
//! requests that they received.

mod bundles;
mod caller;
mod fleet;
mod settings;
mod signals;
