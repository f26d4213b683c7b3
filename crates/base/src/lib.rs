//! Shared foundations of all packages: time, identifiers, reasons, settings,
//! logs, metrics and HTTP serving.
//!
//! - [`clock`]: an abstract clock, with a system and a manual implementation.
//! - [`descriptors`]: the limit on the process's file descriptors.
//! - [`memory`]: an account of the bytes held for others.
//! - [`ids`]: request ids, incarnations, bundle sequence numbers, log offsets
//!   and priority tiers.
//! - [`reason`]: the closed sets of refusal and retry reasons.
//! - [`settings`]: JSON settings with errors that name the offending key.
//! - [`logging`]: structured logs, one line of key=value pairs per event.
//! - [`timeline`]: the events of one request, collected from logs.
//! - [`telemetry`]: the metrics recorder of one daemon.
//! - [`mod@connect`]: outgoing TCP connections.
//! - [`mod@listen`]: binding sockets to addresses from the settings.
//! - [`admin`]: the admin address with health, status and metrics.
//! - [`http`]: serving an actix-web application on the daemon's thread.
//! - [`stop`]: a shared signal for graceful shutdown and settings reload.
//! - [`task`]: background tasks that are restarted when they fail.

pub mod admin;
pub mod clock;
pub mod connect;
pub mod descriptors;
pub mod http;
pub mod ids;
pub mod listen;
pub mod logging;
pub mod memory;
pub mod reason;
pub mod settings;
pub mod stop;
pub mod task;
pub mod telemetry;
pub mod timeline;
pub use listen::listen;
