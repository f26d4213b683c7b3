//! The policies that a comparison sets side by side.

use std::fmt::{self, Display, Formatter};
use std::str::FromStr;

use serde::{Deserialize, Serialize};

/// A policy of the router, the shipped one or a plain baseline.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Arm {
    /// The shipped policy: late binding, tiers, admission and retry budgets.
    #[default]
    Late,
    /// One server at random is asked.
    Random,
}

impl Arm {
    /// Every arm.
    pub const ALL: [Self; 2] = [Self::Late, Self::Random];

    /// The arm's name.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Late => "late",
            Self::Random => "random",
        }
    }

    /// Sets an entry up for the arm.
    pub fn entry(self, settings: &mut entry::Settings) {
        match self {
            Self::Late => {}
            Self::Random => settings.fan = 1,
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
