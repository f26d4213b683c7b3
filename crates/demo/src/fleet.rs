//! The fleets of the two users, with the sizes that their requirements give.

use std::str::FromStr;
use std::time::Duration;

use base::settings::HumanDuration;
use serde::{Deserialize, Serialize};

/// Number of concurrent requests of an engine.
pub const ENGINE_SLOTS: usize = 8;

/// Time that each request after the first adds to an engine's step.
pub const STEP_PER_REQUEST: HumanDuration = HumanDuration(Duration::from_micros(250));

/// Prompt tokens that an engine prefills in one step.
pub const PREFILL_TOKENS: u32 = 1024;

/// Number of plain services' backend servers in each fleet.
pub const PLAIN_SERVERS: u8 = 3;

/// Number of entries in each fleet.
pub const ENTRY_COUNT: u8 = 2;

/// Number of workspaces in each fleet.
pub const WORKSPACE_COUNT: u8 = 10;

/// Calls of plain services per second, about 5% of all requests.
pub const CALLS_PER_SECOND: f64 = 8.0;

/// The fleet of one of the two users.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Fleet {
    /// School meals in Dakar.
    Teranga,
    /// A marketplace of designers in San José.
    Tallerazul,
}

/// The load profile of one class of completions.
#[derive(Debug, Clone, Copy)]
pub struct ClassProfile {
    /// The class's name.
    pub name: &'static str,
    /// The class's tier; 0 is the top tier.
    pub tier: u8,
    /// Share of the engines' capacity that it uses at its usual rate.
    pub share: f64,
    /// Median number of prompt tokens, without the shared prefix.
    pub prompt_tokens: f64,
    /// Number of tokens in a shared prefix.
    pub prefix_tokens: u32,
    /// Number of distinct shared prefixes.
    pub prefix_count: u32,
    /// Median number of answer tokens.
    pub answer_tokens: f64,
    /// Standard deviation of the logarithm of the prompt and answer sizes.
    pub sigma: f64,
    /// Target of the time to the first token, in milliseconds.
    pub first_ms: u64,
    /// Target of the mean time between tokens, in milliseconds.
    pub gap_ms: u64,
    /// Target of the time to the end of the answer, in milliseconds.
    pub whole_ms: u64,
}

impl FromStr for Fleet {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text {
            "teranga" => Ok(Self::Teranga),
            "tallerazul" => Ok(Self::Tallerazul),
            _ => Err(format!(
                "unknown fleet {text:?}; expected teranga or tallerazul"
            )),
        }
    }
}

impl Fleet {
    /// The fleet's name.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::Teranga => "teranga",
            Self::Tallerazul => "tallerazul",
        }
    }

    /// Its availability zones.
    #[must_use]
    pub fn zones(self) -> [&'static str; 3] {
        match self {
            Self::Teranga => ["plateau", "almadies", "rufisque"],
            Self::Tallerazul => ["heredia-a", "escazu-b", "cartago-c"],
        }
    }

    /// Number of model engines.
    #[must_use]
    pub fn engine_count(self) -> u8 {
        match self {
            Self::Teranga => 18,
            Self::Tallerazul => 12,
        }
    }

    /// Time of an engine's step with a batch of one request.
    #[must_use]
    pub fn step_time(self) -> HumanDuration {
        match self {
            Self::Teranga => HumanDuration::ms(3),
            Self::Tallerazul => HumanDuration::ms(4),
        }
    }

    /// The model that its engines serve.
    #[must_use]
    pub fn model(self) -> &'static str {
        match self {
            Self::Teranga => "dossier-8b",
            Self::Tallerazul => "brief-8b",
        }
    }

    /// The name of its plain service.
    #[must_use]
    pub fn service(self) -> &'static str {
        match self {
            Self::Teranga => "messaging",
            Self::Tallerazul => "marketplace",
        }
    }

    /// The class of its plain service's calls, none of which is repeatable.
    #[must_use]
    pub fn call_class(self) -> &'static str {
        match self {
            Self::Teranga => "letter",
            Self::Tallerazul => "quote",
        }
    }

    /// The lower-tier class that bursts.
    #[must_use]
    pub fn burst_class(self) -> &'static str {
        match self {
            Self::Teranga => "dossier",
            Self::Tallerazul => "brief",
        }
    }

    /// The profiles of its completion classes. At their usual rates they use
    /// 70% of the engines' capacity.
    #[must_use]
    pub fn classes(self) -> [ClassProfile; 3] {
        match self {
            Self::Teranga => [
                size(
                    "counter",
                    0,
                    0.18,
                    (60.0, 256, 4),
                    (60.0, 0.7),
                    (300, 30, 6_000),
                ),
                size(
                    "summary",
                    1,
                    0.26,
                    (300.0, 512, 8),
                    (120.0, 0.7),
                    (1_000, 43, 12_000),
                ),
                size(
                    "dossier",
                    2,
                    0.26,
                    (1500.0, 512, 40),
                    (150.0, 0.7),
                    (4_000, 60, 30_000),
                ),
            ],
            Self::Tallerazul => [
                size(
                    "proposal",
                    0,
                    0.18,
                    (200.0, 512, 4),
                    (100.0, 1.0),
                    (400, 43, 20_000),
                ),
                size(
                    "brief",
                    1,
                    0.26,
                    (2000.0, 1024, 40),
                    (150.0, 0.7),
                    (2_000, 43, 20_000),
                ),
                size(
                    "feedback",
                    2,
                    0.26,
                    (600.0, 512, 20),
                    (80.0, 0.7),
                    (4_000, 60, 30_000),
                ),
            ],
        }
    }

    /// Tokens per second that one engine generates with a full batch.
    #[must_use]
    pub fn engine_rate(self) -> f64 {
        let step = self.step_time().0 + STEP_PER_REQUEST.0 * (ENGINE_SLOTS as u32 - 1);
        ENGINE_SLOTS as f64 / step.as_secs_f64()
    }
}

impl ClassProfile {
    /// Mean number of steps for which a request occupies a slot: one per answer
    /// token, and one per prefilled chunk of the prompt.
    #[must_use]
    pub fn mean_steps(&self) -> f64 {
        let mean = (self.sigma * self.sigma / 2.0).exp();
        self.answer_tokens * mean + (self.prompt_tokens * mean / f64::from(PREFILL_TOKENS)).ceil()
    }
}

fn size(
    name: &'static str,
    tier: u8,
    share: f64,
    (prompt_tokens, prefix_tokens, prefix_count): (f64, u32, u32),
    (answer_tokens, sigma): (f64, f64),
    (first_ms, gap_ms, whole_ms): (u64, u64, u64),
) -> ClassProfile {
    ClassProfile {
        name,
        tier,
        share,
        prompt_tokens,
        prefix_tokens,
        prefix_count,
        answer_tokens,
        sigma,
        first_ms,
        gap_ms,
        whole_ms,
    }
}
