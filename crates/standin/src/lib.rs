//! Test doubles of the platform's services, with configurable faults.
//!
//! - [`control`]: faults that can be changed while a stand-in runs.
//! - [`engine`]: a model engine with continuous batching.
//! - [`hosts`]: the host list.
//! - [`ledger`]: counts of what was actually executed, to check the router's
//!   results.
//! - [`log`]: the append-only log.
//! - [`orders`]: the HTTP interface of an engine that accepts orders.
//! - [`plain`]: a plain service.
//! - [`proxy`]: a TCP proxy whose connections can stop passing data.
//! - [`weights`]: the weight store.

pub mod control;
pub mod engine;
pub mod hosts;
pub mod ledger;
pub mod log;
pub mod orders;
pub mod plain;
pub mod proxy;
pub mod weights;

pub use control::FaultControl;
pub use ledger::Ledger;
