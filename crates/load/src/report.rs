//! The report on a run and its printed form.

use std::collections::BTreeMap;
use std::fmt::{self, Display, Formatter};

use serde::{Deserialize, Serialize};

/// The report on a run.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct Report {
    /// Seed of the run.
    pub seed: u64,
    /// The fleet's name.
    pub fleet: String,
    /// Time during which requests arrived, in seconds.
    pub seconds: f64,
    /// The reports on the request classes by name.
    pub classes: BTreeMap<String, ClassReport>,
    /// Tokens per second of complete answers that met their targets.
    pub goodput: f64,
    /// Tokens that the engines generated.
    pub tokens_made: u64,
    /// Generated tokens that no caller received in a complete answer.
    pub tokens_wasted: u64,
    /// Share of the generated tokens that were wasted.
    pub wasted_share: f64,
    /// Non-repeatable requests that ran more than once.
    #[serde(rename = "doubled")]
    pub duplicated: u64,
    /// Requests that ended without a complete answer and without an error
    /// reply.
    pub lost: u64,
    /// Answers with a token of another request or out of order.
    #[serde(rename = "mixed")]
    pub corrupted: u64,
    /// Requests that ran although the error reply says that they did not.
    pub false_not_run: u64,
}

/// The report on one request class.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct ClassReport {
    /// The tier.
    pub tier: u8,
    /// Requests sent.
    pub offered: u64,
    /// Requests that were not refused.
    pub accepted: u64,
    /// Requests with a complete answer.
    pub whole: u64,
    /// Requests with a complete answer that met all targets.
    pub in_target: u64,
    /// Share of the offered requests that met all targets.
    pub attainment: f64,
    /// Number of refusals by reason.
    pub refused: BTreeMap<String, u64>,
    /// Time to the first token, in milliseconds.
    pub ttft_ms: Quantiles,
    /// Mean time between tokens of one answer, in milliseconds.
    pub gap_ms: Quantiles,
}

/// Quantiles of a time, in milliseconds.
#[derive(Debug, Clone, Copy, Default, Serialize, Deserialize)]
pub struct Quantiles {
    /// The median.
    pub p50: f64,
    /// The 95th percentile.
    pub p95: f64,
    /// The 99th percentile.
    pub p99: f64,
}

impl Report {
    /// Whether no request was duplicated, lost, corrupted or falsely reported
    /// as not run.
    #[must_use]
    pub fn is_correct(&self) -> bool {
        self.duplicated + self.lost + self.corrupted + self.false_not_run == 0
    }
}

impl Display for Report {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        writeln!(
            f,
            "fleet={} seed={} seconds={}",
            self.fleet, self.seed, self.seconds
        )?;
        writeln!(
            f,
            "{:<12} {:>4} {:>8} {:>8} {:>8} {:>10} {:>10} {:>10} {:>9}  refused",
            "class",
            "tier",
            "offered",
            "whole",
            "target",
            "attained",
            "ttft p50",
            "ttft p99",
            "gap p95"
        )?;
        for (name, class) in &self.classes {
            let refused: Vec<_> = class
                .refused
                .iter()
                .map(|(r, n)| format!("{r}={n}"))
                .collect();
            writeln!(
                f,
                "{name:<12} {:>4} {:>8} {:>8} {:>8} {:>10.4} {:>10.1} {:>10.1} {:>9.2}  {}",
                class.tier,
                class.offered,
                class.whole,
                class.in_target,
                class.attainment,
                class.ttft_ms.p50,
                class.ttft_ms.p99,
                class.gap_ms.p95,
                refused.join(" ")
            )?;
        }
        writeln!(
            f,
            "goodput={:.0} tokens/s made={} wasted={} wasted_share={:.4}",
            self.goodput, self.tokens_made, self.tokens_wasted, self.wasted_share
        )?;
        write!(
            f,
            "doubled={} lost={} mixed={} false_not_run={}",
            self.duplicated, self.lost, self.corrupted, self.false_not_run
        )
    }
}
