//! HTTP clients of the external services: model engines, plain services, the
//! log, the host list and the weight store. Only this package knows their
//! formats, which are specified in docs/PLATFORM.md.
//!
//! - [`engine`]: runs, resumes and cancels completions.
//! - `event_limit`: bounds the bytes of one event of a stream.
//! - [`hosts`]: fetches the list of live and leaving hosts, which may be stale.
//! - [`log`]: reads and appends records of the append-only log.
//! - [`orders`]: sends orders to model engines.
//! - [`plain`]: calls plain services.
//! - [`weights`]: requests permits from the weight store.

pub mod engine;
mod event_limit;
pub mod hosts;
pub mod log;
pub mod orders;
pub mod plain;
pub mod weights;
