//! Small stand-ins for the platform, with each fault as a setting.
//!
//! - [`control`]: faults, changed while a stand-in runs.
//! - [`engine`]: a model engine that batches continuously.
//! - [`hosts`]: the list of hosts.
//! - [`ledger`]: what the stand-ins saw, for judging the router.
//! - [`log`]: the append-only log.
//! - [`orders`]: the side of an engine that takes orders.
//! - [`weights`]: the weight store.
//! - [`plain`]: a plain service.
//! - [`proxy`]: a forwarder whose connections can go silent.

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
