//! Clients of everything outside the system: model engines, plain services,
//! the log, the host list and the weight store. This is the only package
//! that knows their formats, which docs/PLATFORM.md writes down.
//!
//! - [`engine`]: running, resuming and cancelling completions.
//! - [`hosts`]: the lagging list of live and leaving hosts.
//! - [`log`]: the append-only log.
//! - [`orders`]: orders to model engines.
//! - [`plain`]: calls of plain services.
//! - [`weights`]: permits of the weight store.

pub mod engine;
pub mod hosts;
pub mod log;
pub mod orders;
pub mod plain;
pub mod weights;
