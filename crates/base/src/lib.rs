//! The ground shared by every package: time, identities, reasons, settings,
//! logs, metrics and HTTP serving.
//!
//! - [`clock`]: the clock as an interface, with a real and a manual one.
//! - [`ids`]: tickets, incarnations, sequence numbers and log offsets.
//! - [`reason`]: the closed sets of refusal and retry reasons.
//! - [`settings`]: JSON settings with errors that name the place.
//! - [`logging`]: one line of key=value pairs for each event.
//! - [`timeline`]: the story of one request, from the logs.
//! - [`telemetry`]: the metrics recorder of one daemon.
//! - [`mod@listen`]: listening on an address from the settings.
//! - [`admin`]: health, status and metrics of one daemon.
//! - [`http`]: serving an actix-web application on the daemon's own thread.
//! - [`stop`]: a shared flag and wake-up for graceful shutdown.

pub mod admin;
pub mod clock;
pub mod http;
pub mod ids;
pub mod listen;
pub mod logging;
pub mod reason;
pub mod settings;
pub mod stop;
pub mod telemetry;
pub mod timeline;
pub use listen::listen;
