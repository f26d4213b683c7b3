//! The ground shared by every package: time, identities, reasons, settings,
//! logs, metrics and HTTP serving.
//!
//! - [`clock`]: the clock as an interface, with a real and a manual one.
//! - [`ids`]: tickets, incarnations, sequence numbers and log offsets.
//! - [`reason`]: the closed sets of refusal and retry reasons.
//! - [`settings`]: JSON settings with errors that name the place.
//! - [`logging`]: one line of key=value pairs for each event.
//! - [`story`]: the story of one request, from the logs.
//! - [`telemetry`]: the metrics recorder of one daemon.
//! - [`mod@listen`]: listening on an address from the settings.
//! - [`operators`]: health, status and metrics of one daemon.
//! - [`http`]: serving an actix-web application on the daemon's own thread.
//! - [`stop`]: a shared flag and wake-up for graceful shutdown.

pub mod clock;
pub mod http;
pub mod ids;
pub mod listen;
pub mod logging;
pub mod operators;
pub mod reason;
pub mod settings;
pub mod stop;
pub mod story;
pub mod telemetry;
pub use listen::listen;
