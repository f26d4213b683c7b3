//! The interface to the engine, implemented by the platform adapter.

use policy::grants::EngineReport;
use snafu::Snafu;

/// The engine that a sidecar schedules calls for.
pub trait Engine {
    /// Fetches the engine's current status.
    fn fetch_status(&self) -> impl Future<Output = EngineStatus>;
}

/// The status of an engine.
#[derive(Debug)]
pub struct EngineStatus {
    /// Whether it is shutting down; known also when the report failed but the
    /// response announced it.
    pub leaving: bool,
    /// Its running calls and KV cache usage.
    pub report: Result<EngineReport, EngineError>,
}

/// An engine's report could not be fetched.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub), display("step={step} peer={peer}: {cause}"))]
pub struct EngineError {
    /// The operation that failed.
    pub step: &'static str,
    /// The engine's address.
    pub peer: String,
    /// What went wrong.
    pub cause: String,
}
