//! What the operators set.

use std::net::SocketAddr;

use base::logging::Level;
use base::settings::{HumanDuration, check};
use serde::{Deserialize, Serialize};

/// Settings of a sidecar for routed calls.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// The daemon's name, for logs.
    pub name: String,
    /// Where entries ask, by datagrams.
    pub listen: SocketAddr,
    /// The engine that calls are let into.
    pub engine: SocketAddr,
    /// Where metrics are scraped, if anywhere.
    #[serde(default)]
    pub metrics: Option<SocketAddr>,
    /// How often the engine is asked for its report.
    #[serde(default = "report_every")]
    pub report_every: HumanDuration,
    /// How much is logged.
    #[serde(default)]
    pub log_level: Level,
}

/// Memory fills within some tenths of a second; asking costs about 0.1 ms.
fn report_every() -> HumanDuration {
    HumanDuration::ms(50)
}

impl Settings {
    /// Checks what parsing cannot.
    ///
    /// # Errors
    ///
    /// Returns the key, what was found and a hint.
    pub fn check(&self) -> Result<(), base::settings::Error> {
        let every = self.report_every.0;
        let hint = "a time above zero, such as \"100ms\"";
        check("report_every", format!("{every:?}"), !every.is_zero(), hint)
    }
}
