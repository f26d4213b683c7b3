//! The routing policies that a comparison runs.

use std::fmt::{self, Display, Formatter};
use std::str::FromStr;

use policy::placement::PlacementMode;
use policy::queue::QueuePolicy;
use serde::{Deserialize, Serialize};

/// A routing policy: the shipped one, a variant with one feature replaced by
/// its simpler alternative, or a baseline with all features replaced.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Arm {
    /// The shipped policy: late binding, tiers, admission and retry budgets.
    #[default]
    #[serde(rename = "late")]
    LateBinding,
    /// Sends to a random server.
    Random,
    /// Sends to the server with the least load in the last, possibly stale,
    /// load reports.
    LeastLoaded,
    /// Sends to the less loaded of two random servers, by the last load
    /// reports.
    TwoChoices,
    /// Serves queues first come, first served, without tiers.
    Fifo,
    /// Queues requests that cannot meet their target, until it has passed,
    /// instead of refusing them.
    NoAdmission,
    /// Retries without a budget.
    NoRetryBudget,
    /// A router without late binding and tiers: sends to the less loaded of
    /// two by load reports, first come, first served, without admission
    /// control and retry budget.
    #[serde(rename = "plain")]
    Baseline,
}

impl Arm {
    /// All arms.
    pub const ALL: [Self; 8] = [
        Self::LateBinding,
        Self::Random,
        Self::LeastLoaded,
        Self::TwoChoices,
        Self::Fifo,
        Self::NoAdmission,
        Self::NoRetryBudget,
        Self::Baseline,
    ];

    /// The arm's name on the command line and in reports.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::LateBinding => "late",
            Self::Random => "random",
            Self::LeastLoaded => "least_loaded",
            Self::TwoChoices => "two_choices",
            Self::Fifo => "fifo",
            Self::NoAdmission => "no_admission",
            Self::NoRetryBudget => "no_retry_budget",
            Self::Baseline => "plain",
        }
    }

    /// Applies the arm to an entry's settings.
    pub fn configure_entry(self, settings: &mut entry::Settings) {
        let routing = &mut settings.routing;
        match self {
            Self::LateBinding | Self::Fifo | Self::NoAdmission => {}
            Self::Random => routing.mode = PlacementMode::Random,
            Self::LeastLoaded => routing.mode = PlacementMode::LeastLoaded,
            Self::TwoChoices => routing.mode = PlacementMode::TwoChoices,
            Self::NoRetryBudget => routing.retry_budget = false,
            Self::Baseline => {
                routing.mode = PlacementMode::TwoChoices;
                routing.retry_budget = false;
            }
        }
    }

    /// Applies the arm to a sidecar's settings.
    pub fn configure_sidecar(self, settings: &mut sidecar::Settings) {
        match self {
            Self::Fifo | Self::Baseline => settings.queue.policy = QueuePolicy::Fifo,
            Self::NoAdmission => settings.queue.policy = QueuePolicy::NoAdmission,
            Self::LateBinding
            | Self::Random
            | Self::LeastLoaded
            | Self::TwoChoices
            | Self::NoRetryBudget => {}
        }
    }
}

impl Display for Arm {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        f.pad(self.as_str())
    }
}

impl FromStr for Arm {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let found = Self::ALL.into_iter().find(|arm| arm.as_str() == text);
        found.ok_or_else(|| {
            let known: Vec<_> = Self::ALL.iter().map(|a| a.as_str()).collect();
            format!("unknown arm {text:?}; expected one of {}", known.join(", "))
        })
    }
}
