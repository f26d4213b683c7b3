//! The settings of an admission sidecar.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use base::logging::Level;
use base::settings::{HumanDuration, check};
use policy::grants::GrantController;
use policy::rendezvous;
use policy::shares::ShareAccount;
use serde::{Deserialize, Serialize};

/// Bounds of the weights of workspaces; the account counts in thousandths.
const MIN_WEIGHT: f64 = 0.001;
const MAX_WEIGHT: f64 = 1_000.0;

/// Settings of an admission sidecar.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Name of the sidecar, for logs.
    pub name: String,
    /// UDP address that receives the requests of entries.
    pub listen: SocketAddr,
    /// Address of the engine that calls are admitted to.
    pub engine: SocketAddr,
    /// Address that serves metrics, if any.
    #[serde(default)]
    pub metrics: Option<SocketAddr>,
    /// Interval at which the engine's report is polled.
    #[serde(default = "report_every")]
    pub report_every: HumanDuration,
    /// Whether the engine is shared fairly between workspaces while calls wait.
    #[serde(default)]
    pub fair_shares: bool,
    /// Weights of workspaces by name in fair shares; 1 for all others.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub share_weights: BTreeMap<String, f64>,
    /// Whether streams are admitted by the pauses that they have to expect.
    #[serde(default)]
    pub paced_streams: bool,
    /// Minimum level of log lines.
    #[serde(default)]
    pub log_level: Level,
}

/// The engine's memory can fill up within tenths of a second; one poll costs
/// about 0.1 ms.
fn report_every() -> HumanDuration {
    HumanDuration::ms(50)
}

impl Settings {
    /// Checks constraints that deserialization does not.
    ///
    /// # Errors
    ///
    /// Returns the invalid key with its value and a hint.
    pub fn check(&self) -> Result<(), base::settings::Error> {
        let interval = self.report_every.0;
        let hint = "a duration above zero, such as \"100ms\"";
        check(
            "report_every",
            format!("{interval:?}"),
            !interval.is_zero(),
            hint,
        )?;
        let mut weights = self.share_weights.values();
        let valid = |weight: &f64| MIN_WEIGHT <= *weight && *weight <= MAX_WEIGHT;
        check(
            "share_weights",
            format!("{:?}", self.share_weights),
            weights.all(valid),
            "weights from 0.001 to 1000",
        )
    }

    /// The admission controller that the settings describe.
    #[must_use]
    pub fn controller(&self) -> GrantController {
        if !self.fair_shares {
            return GrantController::default();
        }
        let weights = self.share_weights.iter().map(|(name, weight)| {
            let thousandths = (weight * 1_000.0).round() as u32;
            (rendezvous::hash_name(name), thousandths)
        });
        GrantController::with_shares(ShareAccount::weighted(weights.collect()))
    }
}
