//! What a platform has to translate for this package.

use policy::grants::EngineReport;
use snafu::Snafu;

/// The engine beside the sidecar.
pub trait Engine {
    /// What the engine says of itself now.
    fn fetch_status(&self) -> impl Future<Output = EngineStatus>;
}

/// What an engine says of itself.
#[derive(Debug)]
pub struct EngineStatus {
    /// Whether it is about to end, which it says also where it fails.
    pub leaving: bool,
    /// What it runs and holds.
    pub report: Result<EngineReport, EngineError>,
}

/// Why an engine said nothing.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub), display("step={step} peer={peer}: {cause}"))]
pub struct EngineError {
    /// The call.
    pub step: &'static str,
    /// The engine.
    pub peer: String,
    /// What came instead of an answer.
    pub cause: String,
}
