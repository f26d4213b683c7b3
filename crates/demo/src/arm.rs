//! The policies that a comparison sets side by side.

use std::fmt::{self, Display, Formatter};
use std::str::FromStr;

use policy::placement::PlacementMode;
use policy::queue::QueuePolicy;
use serde::{Deserialize, Serialize};

/// A policy of the router: the shipped one, or one in which exactly one thing
/// is as a plain router has it, or one in which all are.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Arm {
    /// The shipped policy: late binding, tiers, admission and retry budgets.
    #[default]
    #[serde(rename = "late")]
    LateBinding,
    /// One server at random is asked.
    Random,
    /// The server with the least load by late reports is asked.
    LeastLoaded,
    /// The less loaded of two by late reports is asked.
    TwoChoices,
    /// Queues go first come, first served, without tiers.
    Fifo,
    /// Queues hold what cannot meet its target until that has passed.
    NoAdmission,
    /// Retries are not limited by a budget.
    NoRetryBudget,
    /// The less loaded of two by late reports, first come, first served,
    /// without admission and retry budget: what a router without late binding
    /// and tiers does.
    #[serde(rename = "plain")]
    Baseline,
}

impl Arm {
    /// Every arm.
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

    /// The arm's name.
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

    /// Sets an entry up for the arm.
    pub fn configure_entry(self, settings: &mut entry::Settings) {
        let routing = &mut settings.routing;
        match self {
            Self::LateBinding | Self::Fifo | Self::NoAdmission => {}
            Self::Random => routing.mode = PlacementMode::Random,
            Self::LeastLoaded => routing.mode = PlacementMode::LeastLoaded,
            Self::TwoChoices => routing.mode = PlacementMode::TwoChoices,
            Self::NoRetryBudget => routing.budget = false,
            Self::Baseline => {
                routing.mode = PlacementMode::TwoChoices;
                routing.budget = false;
            }
        }
    }

    /// Sets a sidecar up for the arm.
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
            format!("no arm {text:?}; expected one of {}", known.join(", "))
        })
    }
}
